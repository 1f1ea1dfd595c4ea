//! Starts and stops an entry instance.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use caller::CallerLimits;
use engine::HttpEngineClient;
use ntex::SharedCfg;
use ntex::http::{HttpService, HttpServiceConfig, KeepAlive};
use ntex::io::{Io, Layer};
use ntex::server::Server;
use ntex::service::{ServiceFactory, chain_factory, fn_service};
use ntex::time::Seconds;
use ntex::web::App;
use peer::PeerLinks;
use platform::HttpPlatformClient;
use service::HttpServiceClient;
use settings::{EntrySettings, LimitSettings};
use transport::UnreadLimit;
use weights::HttpWeightStore;

use crate::clock_and_ids::SystemClockAndIds;
use crate::core::{EntryCore, GatewayFactory};
use crate::ports::{ControlFuture, ControlPorts, TaskSpawner, WorkerPorts};

/// A listener address that could not be bound, with the I/O error.
#[derive(Debug)]
pub struct StartError {
    address: SocketAddr,
    error: std::io::Error,
}

impl std::fmt::Display for StartError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "cannot listen on {}: {}",
            self.address, self.error
        )
    }
}

impl std::error::Error for StartError {}

/// A running entry instance with its listeners.
pub struct RunningEntry {
    core: EntryCore,
    servers: Vec<Server>,
}

/// Shutdown timeout of the HTTP servers, after which open connections are closed, in seconds.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(5);

/// Keep-alive timeout of idle HTTP connections, in seconds.
const HTTP_KEEP_ALIVE: Seconds = Seconds(75);

/// Base timeout for an answer from another entry instance.
const PEER_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Binds the listeners and starts an entry instance. The control tasks run on the calling thread,
/// which must run an ntex system; worker threads are started for callers and operators.
///
/// # Errors
///
/// Returns an error if a listener address cannot be bound.
pub async fn start_entry(settings: EntrySettings) -> Result<RunningEntry, StartError> {
    let callers = bind(settings.listen.callers)?;
    let operators = bind(settings.listen.operators)?;
    let peers = bind_async(settings.listen.peers)?;
    let ports = control_ports(&settings).await;
    let core = EntryCore::new(settings.clone(), ports, Arc::new(SystemClockAndIds::new()));
    tokio::task::spawn_local(peer::serve_peers(peers, core.peer_handler()));
    core.start();
    let servers = vec![
        serve_callers(callers, &settings, core.gateways())?,
        serve_operators(operators, &settings, core.gateways())?,
    ];
    Ok(RunningEntry { core, servers })
}

fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(|error| StartError { address, error })
}

fn bind_async(address: SocketAddr) -> Result<tokio::net::TcpListener, StartError> {
    let start_error = |error| StartError { address, error };
    let listener = bind(address)?;
    listener.set_nonblocking(true).map_err(start_error)?;
    tokio::net::TcpListener::from_std(listener).map_err(start_error)
}

/// Spawns control tasks on the current thread's local task set.
struct LocalSpawner;

impl TaskSpawner for LocalSpawner {
    fn spawn(&self, task: ControlFuture) {
        tokio::task::spawn_local(task);
    }
}

async fn control_ports(settings: &EntrySettings) -> ControlPorts {
    let address = &settings.platform;
    ControlPorts {
        platform: Rc::new(HttpPlatformClient::new(address.key_value, address.instances).await),
        engines: Rc::new(http_engines(&settings.limits).await),
        weights: Rc::new(HttpWeightStore::new(address.weights).await),
        peers: Rc::new(PeerLinks::new(PEER_ANSWER_TIMEOUT)),
        spawner: Rc::new(LocalSpawner),
    }
}

async fn worker_ports(limits: &LimitSettings) -> WorkerPorts {
    let connect_timeout = Duration::from_millis(limits.connect_ms);
    WorkerPorts {
        engines: Rc::new(http_engines(limits).await),
        services: Rc::new(HttpServiceClient::new(connect_timeout).await),
    }
}

async fn http_engines(limits: &LimitSettings) -> HttpEngineClient {
    let connect_timeout = Duration::from_millis(limits.connect_ms);
    let head_timeout = Duration::from_millis(limits.silence_ms);
    HttpEngineClient::new(connect_timeout, head_timeout).await
}

fn serve_callers(
    listener: TcpListener,
    settings: &EntrySettings,
    gateways: GatewayFactory,
) -> Result<Server, StartError> {
    let address = settings.listen.callers;
    let workers = settings.workers;
    let limits = CallerLimits {
        body_bytes: settings.limits.body_bytes,
        header_bytes: settings.limits.header_bytes,
        body_ms: settings.limits.body_ms,
    };
    let timeouts = settings.limits.clone();
    let server = ntex::server::build()
        .workers(workers)
        .disable_signals()
        .shutdown_timeout(SHUTDOWN_TIMEOUT)
        .listen("callers", listener, async move |config| {
            config.config(server_config("callers"));
            let gateway = gateways.callers(worker_ports(&timeouts).await);
            let limits = limits.clone();
            let app =
                App::new().configure(move |config| caller::configure(config, gateway, limits));
            chain_factory(fn_service(limit_unread))
                .and_then(HttpService::new(app).map_err(|_| ConnectionFailed))
        })
        .map_err(|error| StartError { address, error })?;
    Ok(server.run())
}

fn serve_operators(
    listener: TcpListener,
    settings: &EntrySettings,
    gateways: GatewayFactory,
) -> Result<Server, StartError> {
    let address = settings.listen.operators;
    let server = ntex::server::build()
        .workers(1)
        .disable_signals()
        .shutdown_timeout(SHUTDOWN_TIMEOUT)
        .listen("operators", listener, async move |config| {
            config.config(server_config("operators"));
            let gateway = gateways.operators();
            let app = App::new().configure(move |config| operator::configure(config, gateway));
            chain_factory(fn_service(limit_unread))
                .and_then(HttpService::new(app).map_err(|_| ConnectionFailed))
        })
        .map_err(|error| StartError { address, error })?;
    Ok(server.run())
}

/// The requests on a connection handle its end.
#[derive(Debug)]
struct ConnectionFailed;

async fn limit_unread(io: Io) -> Result<Io<Layer<UnreadLimit>>, ConnectionFailed> {
    Ok(io.add_filter(UnreadLimit))
}

fn server_config(name: &'static str) -> SharedCfg {
    let config = HttpServiceConfig::new().set_keepalive(KeepAlive::Timeout(HTTP_KEEP_ALIVE));
    SharedCfg::new(name).add(config).into()
}

impl RunningEntry {
    /// Stops the instance gracefully: drains it, stops the HTTP servers, then leaves the
    /// membership. Admitted requests run to completion.
    pub async fn stop(self) {
        self.core.drain().await;
        for server in &self.servers {
            server.stop(true).await;
        }
        self.core.leave_membership().await;
    }

    /// Resolves when an operator has announced that this instance will be stopped.
    pub async fn stop_announced(&self) {
        self.core.stop_announced().await;
    }

    /// Whether load balancers should send requests to this instance.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.core.is_ready()
    }
}
