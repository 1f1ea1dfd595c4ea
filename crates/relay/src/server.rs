//! HTTP listeners for callers and for the platform's probes, on the calling thread.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use ntex::http::header::CONTENT_TYPE;
use ntex::http::{HttpService, HttpServiceConfig, KeepAlive, Request, Response, StatusCode};
use ntex::io::{Io, Layer};
use ntex::service::cfg::SharedCfg;
use ntex::service::{Pipeline, ServiceFactory, fn_service};
use ntex::time::Seconds;
use peer::accept;
use policy::ids::Millis;
use tokio::net::{TcpListener, TcpStream};
use transport::UnreadLimit;

use crate::core::{RelayCore, RelayPhase};

/// Idle timeout of callers' connections before the configuration is known.
const DEFAULT_IDLE_TIMEOUT: Seconds = Seconds(60);

/// Limit for reading a request's head before the configuration is known.
const DEFAULT_HEAD_TIMEOUT: Seconds = Seconds(10);

/// Limit for the orderly shutdown of a connection.
const CLOSE_TIMEOUT: Seconds = Seconds(1);

/// Largest head that is read, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1_024;

const MILLIS_PER_SECOND: u64 = 1_000;

type Answer = Result<Response, io::Error>;

/// Serves callers on `listener`. Never returns.
pub async fn serve_callers(core: Rc<RelayCore>, listener: TcpListener) {
    serve(listener, core, |core, request| async move {
        Ok(core.handle(request).await)
    })
    .await;
}

/// Serves readiness probes and metrics on `listener`. Never returns.
pub async fn serve_probes(core: Rc<RelayCore>, listener: TcpListener) {
    serve(listener, core, |core, request| async move {
        Ok(answer_probe(&core, &request))
    })
    .await;
}

fn answer_probe(core: &RelayCore, request: &Request) -> Response {
    if request.path() == "/metrics" {
        return Response::build(StatusCode::OK)
            .header(CONTENT_TYPE, "text/plain; version=0.0.4")
            .body(core.render_metrics());
    }
    let status = match core.phase() {
        RelayPhase::Serving => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    Response::new(status)
}

async fn serve<H, F>(listener: TcpListener, core: Rc<RelayCore>, handle: H)
where
    H: Fn(Rc<RelayCore>, Request) -> F + Clone + 'static,
    F: Future<Output = Answer> + 'static,
{
    let service = RefCell::new(None);
    loop {
        let stream = accept(&listener).await;
        let times = ConnectionTimeouts::of(&core);
        let is_current = matches!(&*service.borrow(), Some((known, _)) if *known == times);
        if !is_current {
            let core = Rc::clone(&core);
            let handle = handle.clone();
            let handler = fn_service(move |request: Request| {
                let answer = handle(Rc::clone(&core), request);
                async move {
                    // Requests that have arrived on one connection must not hold up the others.
                    tokio::task::yield_now().await;
                    answer.await
                }
            });
            let factory = HttpService::h1(handler);
            if let Ok(built) = factory.create(times.config()).await {
                *service.borrow_mut() = Some((times, Pipeline::new(built)));
            } else {
                spdlog::error!("cannot create the HTTP service");
            }
        }
        let Some((_, pipeline)) = &*service.borrow() else {
            continue;
        };
        match open(stream, times) {
            Ok(io) => {
                let entry = core.caller_connections().add(io.get_ref());
                let call = pipeline.call_static(io);
                ntex::rt::spawn(async move {
                    let _entry = entry;
                    // The requests on the connection handle its end.
                    let _ = call.await;
                });
            }
            Err(error) => spdlog::warn!("cannot set up a connection", kv: { error: }),
        }
    }
}

fn open(stream: TcpStream, times: ConnectionTimeouts) -> io::Result<Io<Layer<UnreadLimit>>> {
    let io = ntex::rt::from_tcp_stream(stream.into_std()?, times.config())?;
    Ok(io.add_filter(UnreadLimit))
}

/// Timeouts of callers' connections.
#[derives::tag]
struct ConnectionTimeouts {
    /// Idle timeout.
    idle: Seconds,
    /// Limit for reading a request's head.
    head: Seconds,
}

impl ConnectionTimeouts {
    /// The configured timeouts, or defaults before the configuration is known. Callers reuse
    /// connections that have been idle for nearly as long as the configured idle timeout.
    fn of(core: &RelayCore) -> Self {
        let Some(catalog) = core.catalog() else {
            return Self {
                idle: DEFAULT_IDLE_TIMEOUT,
                head: DEFAULT_HEAD_TIMEOUT,
            };
        };
        let bounds = catalog.bounds();
        Self {
            idle: seconds(bounds.idle_time),
            head: seconds(bounds.head_time),
        }
    }

    fn config(self) -> SharedCfg {
        let http = HttpServiceConfig::new()
            .set_keepalive(KeepAlive::Timeout(self.idle))
            .set_client_timeout(self.head)
            .set_max_buf_size(MAX_HEAD_BYTES);
        let io = ntex::io::IoConfig::new().set_disconnect_timeout(CLOSE_TIMEOUT);
        SharedCfg::new("jackdawpoint").add(http).add(io).into()
    }
}

/// Milliseconds as whole seconds, rounded up, plus one second.
fn seconds(time: Millis) -> Seconds {
    let seconds = time.div_ceil(MILLIS_PER_SECOND) + 1;
    Seconds(u16::try_from(seconds).unwrap_or(u16::MAX))
}

/// Binds a listener.
///
/// # Errors
///
/// If the address cannot be bound.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}
