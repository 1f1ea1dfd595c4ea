//! Connections to endpoints.
//!
//! Endpoints may answer before they have read the whole body, end a body with its connection, and
//! send more than they should. The HTTP server library's own client reads no body that ends with
//! its connection, so that requests to endpoints go through `hyper`, one connection at a time.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use ntex::http::StatusCode;
use policy::catalog::RepeatRule;
use policy::dispatch::placement::RunOutcome;
use policy::outcome::RetryReason;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};
use transport::ExchangeFault;

/// Longest time for a connection to be made: some round trips between failure domains. An
/// endpoint that takes longer is dead, cut off or full.
const CONNECT_TIME: Duration = Duration::from_millis(400);

/// Longest time for which an idle connection is kept.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// Time by which a connection is given up before the endpoint says that it will close it.
const IDLE_MARGIN: Duration = Duration::from_millis(800);

/// Idle connections kept to one endpoint.
const MOST_IDLE: usize = 8;

/// Header by which an endpoint says how long it keeps an idle connection.
const KEEP_ALIVE: &str = "keep-alive";

/// A request as it goes to an endpoint.
#[derive(Debug)]
pub struct ForwardCall<'a> {
    /// Where the endpoint listens.
    pub address: SocketAddr,
    /// The method.
    pub method: &'a str,
    /// Path and query as the caller sent them.
    pub target: &'a str,
    /// Headers.
    pub headers: ntex::http::HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Whether the request may run more than once.
    pub repeat: RepeatRule,
}

/// A connection that no request uses.
struct IdleLink {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    until: Instant,
}

/// Connections to endpoints, kept for requests that may be repeated and fresh for the others.
///
/// Invariant: a request that may run at most once goes over a connection of its own, so that a
/// connection that closes while it was idle is never mistaken for a lost answer.
#[derive(Default)]
pub struct EndpointLinks {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleLink>>>>,
}

/// A connection in use. Dropping it closes it, by which the endpoint learns that the answer is not
/// wanted any more.
struct LinkLease {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortHandle,
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleLink>>>>,
    keep: Duration,
}

impl Drop for LinkLease {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

impl LinkLease {
    /// Keeps the connection for another request.
    fn give_back(mut self) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        if self.keep.is_zero() || sender.is_closed() {
            self.task.abort();
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let links = idle.entry(self.address).or_default();
        if links.len() >= MOST_IDLE {
            self.task.abort();
            return;
        }
        links.push(IdleLink {
            sender,
            task: self.task.clone(),
            until: Instant::now() + self.keep,
        });
    }
}

/// The head of an endpoint's answer, with its body to come.
pub struct LinkAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: ntex::http::HeaderMap,
    /// Its body.
    pub body: LinkBody,
}

/// The body of an endpoint's answer.
pub struct LinkBody {
    incoming: Incoming,
    lease: Option<LinkLease>,
}

/// A piece of a body.
#[derive(Debug)]
pub enum BodyPiece {
    /// Bytes.
    Bytes(Bytes),
    /// The body is whole.
    End,
    /// It broke off.
    Broken,
}

impl LinkBody {
    /// Reads the next piece.
    ///
    /// A body that ends with its connection is whole if the connection was closed, and broken if
    /// it was reset.
    pub async fn next_piece(&mut self) -> BodyPiece {
        loop {
            match self.incoming.frame().await {
                None => {
                    if let Some(lease) = self.lease.take() {
                        lease.give_back();
                    }
                    return BodyPiece::End;
                }
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return BodyPiece::Bytes(bytes);
                    }
                }
                Some(Err(_)) => return BodyPiece::Broken,
            }
        }
    }

    /// Reads the body whole.
    ///
    /// # Errors
    ///
    /// When it breaks off or is longer than `largest` bytes.
    pub async fn read_whole(mut self, largest: usize) -> Result<Bytes, ExchangeFault> {
        let mut body = bytes::BytesMut::new();
        loop {
            match self.next_piece().await {
                BodyPiece::Bytes(bytes) => body.extend_from_slice(&bytes),
                BodyPiece::End => return Ok(body.freeze()),
                BodyPiece::Broken => return Err(ExchangeFault::Lost),
            }
            if body.len() > largest {
                return Err(ExchangeFault::Unreadable);
            }
        }
    }
}

impl EndpointLinks {
    /// No connections yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// Says whether bytes may have been sent.
    pub async fn send(&self, call: ForwardCall<'_>) -> Result<LinkAnswer, ExchangeFault> {
        let mut request = build_request(&call)?;
        if call.repeat == RepeatRule::Repeatable {
            while let Some(lease) = self.take_idle(call.address) {
                match exchange(lease, request).await {
                    Ok(answer) => return Ok(answer),
                    // The connection had closed: nothing was sent.
                    Err((_, Some(unsent))) => request = *unsent,
                    Err((fault, None)) => return Err(fault),
                }
            }
        }
        let lease = self.connect(call.address).await?;
        exchange(lease, request).await.map_err(|(fault, _)| fault)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<LinkLease> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&address)?;
        while let Some(link) = links.pop() {
            if link.until <= now || !link.sender.is_ready() {
                link.task.abort();
                continue;
            }
            return Some(LinkLease {
                address,
                sender: Some(link.sender),
                task: link.task,
                idle: Rc::clone(&self.idle),
                keep: Duration::ZERO,
            });
        }
        None
    }

    /// Closes connections that have been idle for too long.
    pub fn expire(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, links| {
            links.retain(|link| {
                let is_kept = link.until > now && !link.sender.is_closed();
                if !is_kept {
                    link.task.abort();
                }
                is_kept
            });
            !links.is_empty()
        });
    }

    async fn connect(&self, address: SocketAddr) -> Result<LinkLease, ExchangeFault> {
        let connected = timeout(CONNECT_TIME, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connected else {
            return Err(ExchangeFault::NotSent);
        };
        stream
            .set_nodelay(true)
            .map_err(|_| ExchangeFault::NotSent)?;
        let shaken = handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|_| ExchangeFault::NotSent)?;
        let task = tokio::task::spawn_local(async move {
            // The end of the connection is seen by the request on it.
            let _ = connection.await;
        });
        Ok(LinkLease {
            address,
            sender: Some(sender),
            task: task.abort_handle(),
            idle: Rc::clone(&self.idle),
            keep: Duration::ZERO,
        })
    }
}

type UnsentRequest = Option<Box<Request<Full<Bytes>>>>;

async fn exchange(
    mut lease: LinkLease,
    request: Request<Full<Bytes>>,
) -> Result<LinkAnswer, (ExchangeFault, UnsentRequest)> {
    let Some(sender) = lease.sender.as_mut() else {
        return Err((ExchangeFault::NotSent, Some(Box::new(request))));
    };
    match sender.try_send_request(request).await {
        Ok(response) => Ok(read_head(lease, response)),
        Err(mut error) => {
            if let Some(unsent) = error.take_message() {
                return Err((ExchangeFault::NotSent, Some(Box::new(unsent))));
            }
            let fault = if error.error().is_parse() {
                ExchangeFault::Unreadable
            } else {
                ExchangeFault::Lost
            };
            Err((fault, None))
        }
    }
}

fn read_head(mut lease: LinkLease, response: Response<Incoming>) -> LinkAnswer {
    lease.keep = keep_time(response.headers());
    let (head, incoming) = response.into_parts();
    let mut headers = ntex::http::HeaderMap::new();
    for (name, value) in &head.headers {
        let name = ntex::http::header::HeaderName::from_bytes(name.as_str().as_bytes());
        let value = ntex::http::header::HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    LinkAnswer {
        status: StatusCode::from_u16(head.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY),
        headers,
        body: LinkBody {
            incoming,
            lease: Some(lease),
        },
    }
}

/// Time for which a connection may be kept after an answer; zero for none.
fn keep_time(headers: &HeaderMap) -> Duration {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let closes =
        text(CONNECTION.as_str()).is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    let is_marked = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    if closes || !is_marked {
        return Duration::ZERO;
    }
    let stated = text(KEEP_ALIVE).and_then(|value| {
        let mut parts = value.split(',').map(str::trim);
        parts.find_map(|part| part.strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    let Some(seconds) = stated else {
        return IDLE_TIME;
    };
    Duration::from_secs(seconds)
        .saturating_sub(IDLE_MARGIN)
        .min(IDLE_TIME)
}

fn build_request(call: &ForwardCall<'_>) -> Result<Request<Full<Bytes>>, ExchangeFault> {
    let request = Request::builder().method(call.method).uri(call.target);
    let mut request = request
        .body(Full::new(call.body.clone()))
        .map_err(|_| ExchangeFault::NotSent)?;
    for (name, value) in &call.headers {
        let name = HeaderName::from_bytes(name.as_str().as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            request.headers_mut().append(name, value);
        }
    }
    Ok(request)
}

/// What an exchange without an answer says of its endpoint, and why another may follow.
#[must_use]
pub fn exchange_end(fault: ExchangeFault) -> (RunOutcome, RetryReason) {
    match fault {
        ExchangeFault::NotSent => (RunOutcome::NotConnected, RetryReason::ConnectFailed),
        ExchangeFault::Silent => (RunOutcome::Silent, RetryReason::StreamSilent),
        ExchangeFault::Lost => (RunOutcome::Broken, RetryReason::StreamClosed),
        ExchangeFault::Unreadable => (RunOutcome::Broken, RetryReason::FrameRejected),
    }
}
