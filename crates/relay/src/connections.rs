//! Connection pool for endpoints.
//!
//! Endpoints may answer before they have read the whole request body, may end a body by closing the
//! connection, and may send more than they should. The client of the HTTP server library cannot
//! read a body that ends with its connection, so requests to endpoints use `hyper`, on one
//! connection each.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use ntex::http::StatusCode;
use peer::{HostReport, TunnelPurpose};
use policy::catalog::RepeatRule;
use policy::dispatch::placement::{EndpointTarget, HelperGrant, RunOutcome};
use policy::ids::EndpointId;
use policy::outcome::RetryReason;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use transport::{ExchangeError, is_final_status};

use crate::dialect::LeavingStatement;
use crate::endpoint_connector::{ConnectError, EndpointConnector, OpenConnection, TunnelUse};
use crate::endpoint_gate::{EndpointGate, GateRefusal};
use crate::metered_stream::{MAX_HEAD_BYTES, MeteredStream, StreamMeter};
use crate::read_turns::ReadTurns;
use crate::silence_table::{DoubtScope, SilenceTable};

/// Longest time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time before the end of the endpoint's keep-alive timeout at which a connection is no longer
/// used.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(800);

/// Largest number of idle connections kept for one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 8;

/// Size up to which an answer, or an event of one, is read whatever else is being read, in bytes.
const SMALL_ANSWER_BYTES: usize = 32 * 1_024;

/// Largest sum of the answers and events that are being read at the same time, in bytes; beyond it, those
/// above [`SMALL_ANSWER_BYTES`] fail.
const MAX_BUFFERED_BYTES: usize = 16 * 1_024 * 1_024;

/// Time for which the head of an answer is still awaited that nobody waits for any more: a refusal is
/// written at once, and an endpoint is to stop a run within half a second after its caller has left.
const ABANDONED_HEAD_TIME: Duration = Duration::from_millis(250);

/// Header in which an endpoint states how long it keeps idle connections.
const KEEP_ALIVE: &str = "keep-alive";

/// A request to an endpoint.
#[derive(Debug)]
pub struct ForwardRequest<'a> {
    /// The endpoint and its address.
    pub target: &'a EndpointTarget,
    /// Engines to which the endpoint sends parts of the request.
    pub helpers: &'a [HelperGrant],
    /// HTTP method.
    pub method: &'a str,
    /// Path and query as sent by the caller.
    pub path_and_query: &'a str,
    /// Headers for the endpoint.
    pub headers: ntex::http::HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Whether the request may run more than once.
    pub repeat: RepeatRule,
    /// Whether the request is sent only if requests may go to the endpoint.
    pub gate: GateRule,
    /// Kept connections that were last heard from before this are not used; `None` to use all.
    pub heard_after: Option<Instant>,
}

/// Whether a request is not sent while its endpoint leaves or wants none.
#[derives::tag]
pub enum GateRule {
    /// It is not sent.
    Observed,
    /// It is sent regardless: it belongs to a run that the endpoint has accepted.
    Ignored,
}

/// A pooled connection.
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    meter: Rc<StreamMeter>,
    task: AbortHandle,
    /// When its last answer ended.
    heard_at: Instant,
    until: Instant,
}

/// Connections to endpoints. Repeatable requests reuse idle connections; all other requests open a
/// new one.
///
/// Invariant: a request that may run at most once gets a new connection, so that the closing of an
/// idle connection is never mistaken for a lost answer.
pub struct EndpointConnections {
    connector: Rc<EndpointConnector>,
    gate: Rc<EndpointGate>,
    /// Bytes of the answers that are being read.
    buffered: Rc<Cell<usize>>,
    turns: ReadTurns,
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    silences: RefCell<SilenceTable>,
}

/// Bytes that are kept of one answer that is being read, as a part of all.
pub(crate) struct BufferedAnswer {
    total: Rc<Cell<usize>>,
    bytes: usize,
}

impl BufferedAnswer {
    fn new(total: &Rc<Cell<usize>>) -> Self {
        Self {
            total: Rc::clone(total),
            bytes: 0,
        }
    }

    /// Sets how many bytes are kept. Returns whether the answer may be read on.
    pub(crate) fn set(&mut self, bytes: usize) -> bool {
        self.total.set(self.total.get() - self.bytes + bytes);
        self.bytes = bytes;
        self.bytes <= SMALL_ANSWER_BYTES || self.total.get() <= MAX_BUFFERED_BYTES
    }
}

impl Drop for BufferedAnswer {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.bytes);
    }
}

/// A connection in use. Dropping it closes the connection, which tells the endpoint that the answer
/// is no longer needed.
struct ConnectionGuard {
    endpoint: EndpointId,
    address: SocketAddr,
    gate: Rc<EndpointGate>,
    sender: Option<SendRequest<Full<Bytes>>>,
    meter: Rc<StreamMeter>,
    age: ConnectionAge,
    task: AbortHandle,
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    keep_for: Duration,
    /// Bytes of the answers that are being read on all connections.
    buffered: Rc<Cell<usize>>,
    /// The tunnel that the connection uses, if any. Such a connection is not kept, so that the next
    /// request takes the direct path once that is open again.
    tunnel: Option<TunnelUse>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.meter.turns().end_turn();
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

impl ConnectionGuard {
    /// Returns the connection to the pool.
    fn release(mut self) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        if self.keep_for.is_zero() || sender.is_closed() || self.tunnel.is_some() {
            self.task.abort();
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(self.address).or_default();
        if connections.len() >= MAX_IDLE_PER_ENDPOINT {
            self.task.abort();
            return;
        }
        let now = Instant::now();
        connections.push(IdleConnection {
            sender,
            meter: Rc::clone(&self.meter),
            task: self.task.clone(),
            heard_at: now,
            until: now + self.keep_for,
        });
    }
}

/// Why a request got no answer.
#[derives::tag]
pub enum SendError {
    /// This instance has no path to the endpoint, and nothing was sent.
    NoPath,
    /// Nothing may be sent to the endpoint now, and nothing was.
    Closed(GateRefusal),
    /// The exchange failed.
    Exchange(ExchangeError),
}

impl From<ExchangeError> for SendError {
    fn from(error: ExchangeError) -> Self {
        Self::Exchange(error)
    }
}

/// Head of an endpoint's answer, with its body still to be read.
pub struct EndpointAnswer {
    pub status: StatusCode,
    pub headers: ntex::http::HeaderMap,
    pub body: AnswerBody,
    /// Whether the answer comes through a tunnel.
    pub is_tunnelled: bool,
    /// Whether the connection carried other requests before.
    pub connection: ConnectionAge,
}

/// Whether a connection has carried other requests.
#[derives::tag]
pub enum ConnectionAge {
    /// It carries its first request.
    New,
    /// An answer to an earlier request may still arrive on it.
    Reused,
}

/// Body of an endpoint's answer.
pub struct AnswerBody {
    incoming: Incoming,
    guard: Option<ConnectionGuard>,
    buffered: Rc<Cell<usize>>,
    /// Whether the body has a length or an end marker, so that its end is not that of its connection.
    has_explicit_end: bool,
}

/// Result of reading from a body.
#[derive(Debug)]
pub enum BodyChunk {
    /// A part of the body.
    Bytes(Bytes),
    /// The body is complete.
    End,
    /// The body broke off.
    Broken,
}

impl AnswerBody {
    /// Whether the body ends with its connection, so that its end may also be that of the endpoint.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        !self.has_explicit_end
    }

    /// Lets other bodies be read before the next chunk of this one, if there always is one.
    pub(crate) fn end_turn(&self) {
        if let Some(guard) = &self.guard {
            guard.meter.turns().end_turn();
        }
    }

    /// Counts what is kept of the body.
    pub(crate) fn buffered(&self) -> BufferedAnswer {
        BufferedAnswer::new(&self.buffered)
    }

    /// Reads the next chunk.
    ///
    /// A body without a length ends with its connection. It is complete if the connection was
    /// closed, and broken if the connection was reset.
    pub async fn next_chunk(&mut self) -> BodyChunk {
        loop {
            if let Some(guard) = &self.guard {
                guard.meter.turns().await_chunk().await;
            }
            match self.incoming.frame().await {
                None => {
                    if let Some(guard) = self.guard.take() {
                        guard.release();
                    }
                    return BodyChunk::End;
                }
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return BodyChunk::Bytes(bytes);
                    }
                }
                Some(Err(_)) => return BodyChunk::Broken,
            }
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::Lost`] if the body breaks off, [`ExchangeError::Unreadable`] if it is
    /// longer than `max_bytes` bytes, or than what all answers together may take.
    pub async fn read_whole(mut self, max_bytes: usize) -> Result<Bytes, ExchangeError> {
        let mut body = bytes::BytesMut::new();
        let mut buffered = self.buffered();
        loop {
            match self.next_chunk().await {
                BodyChunk::Bytes(bytes) => {
                    if !buffered.set(body.len() + bytes.len()) {
                        return Err(ExchangeError::Unreadable);
                    }
                    body.extend_from_slice(&bytes);
                }
                BodyChunk::End => return Ok(body.freeze()),
                BodyChunk::Broken => return Err(ExchangeError::Lost),
            }
            if body.len() > max_bytes {
                return Err(ExchangeError::Unreadable);
            }
        }
    }
}

impl EndpointConnections {
    /// Creates an empty pool whose connections `connector` opens. `gate` is asked before
    /// each send, and reads the heads of all answers.
    #[must_use]
    pub fn new(connector: Rc<EndpointConnector>, gate: Rc<EndpointGate>) -> Self {
        Self {
            connector,
            gate,
            buffered: Rc::default(),
            turns: ReadTurns::default(),
            idle: Rc::default(),
            silences: RefCell::new(SilenceTable::new()),
        }
    }

    /// Opens the connections of this pool.
    #[must_use]
    pub fn connector(&self) -> &Rc<EndpointConnector> {
        &self.connector
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// The error states whether any bytes may have been sent.
    pub async fn send(&self, call: ForwardRequest<'_>) -> Result<EndpointAnswer, SendError> {
        self.check_gate(&call)?;
        let mut request = build_request(&call)?;
        if call.repeat == RepeatRule::Repeatable {
            while let Some(guard) = self.take_idle(&call) {
                self.check_gate(&call)?;
                match exchange(guard, request).await {
                    Ok(answer) => return Ok(answer),
                    // The pooled connection was already closed, and nothing was sent.
                    Err((_, Some(unsent))) => request = *unsent,
                    Err((error, None)) => return Err(error.into()),
                }
            }
        }
        let connected = self.connect(&call).await;
        if connected.is_err() && call.gate == GateRule::Observed {
            self.check_evacuated(&call)?;
        }
        let guard = connected?;
        // Another answer may have closed the gate while this request waited for its connection.
        self.check_gate(&call)?;
        let answered = exchange(guard, request).await;
        answered.map_err(|(error, _)| error.into())
    }

    fn check_gate(&self, call: &ForwardRequest<'_>) -> Result<(), SendError> {
        let endpoint = &call.target.endpoint;
        if call.gate == GateRule::Ignored {
            return Ok(());
        }
        let is_evacuated = |helper: &HelperGrant| self.gate.is_evacuated(&helper.target.endpoint);
        let helper = call.helpers.iter().find(|helper| is_evacuated(helper));
        let closed = helper.map_or(endpoint, |helper| &helper.target.endpoint);
        let Some(refusal) = self.gate.refusal(closed) else {
            return Ok(());
        };
        spdlog::info!("request held back", kv: {
            endpoint = closed.as_str(),
            path = call.path_and_query,
            cause:? = refusal,
        });
        Err(SendError::Closed(refusal))
    }

    /// The failure of a connection to an endpoint that has been evacuated meanwhile says nothing about
    /// the endpoint.
    fn check_evacuated(&self, call: &ForwardRequest<'_>) -> Result<(), SendError> {
        if self.gate.is_evacuated(&call.target.endpoint) {
            return self.check_gate(call);
        }
        Ok(())
    }

    fn take_idle(&self, call: &ForwardRequest<'_>) -> Option<ConnectionGuard> {
        let target = call.target;
        let address = target.address;
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        if self.connector.is_cut_off() {
            // Kept connections may be silent.
            for (_, connections) in idle.drain() {
                for kept in connections {
                    kept.task.abort();
                }
            }
            return None;
        }
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            let is_doubted = call.heard_after.is_some_and(|at| connection.heard_at < at);
            if is_doubted || connection.until <= now || !connection.sender.is_ready() {
                connection.task.abort();
                continue;
            }
            return Some(ConnectionGuard {
                endpoint: target.endpoint.clone(),
                address,
                gate: Rc::clone(&self.gate),
                sender: Some(connection.sender),
                meter: connection.meter,
                age: ConnectionAge::Reused,
                task: connection.task,
                idle: Rc::clone(&self.idle),
                keep_for: Duration::ZERO,
                buffered: Rc::clone(&self.buffered),
                tunnel: None,
            });
        }
        None
    }

    /// Closes connections whose idle timeout has passed.
    pub fn expire(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| {
                let is_kept = connection.until > now && !connection.sender.is_closed();
                if !is_kept {
                    connection.task.abort();
                }
                is_kept
            });
            !connections.is_empty()
        });
    }

    /// Records that a connection to `target` has been silent since `silent_from` although an answer
    /// was due, and closes the idle connections that may have fallen silent with it.
    pub fn silence_noticed(&self, target: &EndpointTarget, silent_from: Instant) {
        let now = self.connector.now();
        let scope = self
            .silences
            .borrow_mut()
            .silence_noticed(&target.endpoint, now);
        let mut closed = 0;
        self.idle.borrow_mut().retain(|address, connections| {
            let is_in_scope = scope == DoubtScope::AllEndpoints || *address == target.address;
            connections.retain(|connection| {
                let is_doubted = is_in_scope && connection.heard_at < silent_from;
                if is_doubted {
                    connection.task.abort();
                    closed += 1;
                }
                !is_doubted
            });
            !connections.is_empty()
        });
        if closed > 0 {
            spdlog::info!("idle connections closed after a silence", kv: {
                endpoint = target.endpoint.as_str(),
                scope:? = scope,
                silent_ms = silent_from.elapsed().as_millis(),
                closed,
            });
        }
    }

    async fn connect(&self, call: &ForwardRequest<'_>) -> Result<ConnectionGuard, SendError> {
        let target = call.target;
        let purpose = match call.gate {
            GateRule::Observed => TunnelPurpose::Request,
            GateRule::Ignored => TunnelPurpose::MemoryOrder,
        };
        let opened = self.connector.connect(target, purpose).await;
        let OpenConnection { stream, tunnel } = opened.map_err(|error| match error {
            ConnectError::EndpointLost => SendError::Exchange(ExchangeError::NotSent),
            ConnectError::EndpointLeaving => {
                self.gate.endpoint_leaves(&target.endpoint, "tunnel host");
                SendError::Closed(GateRefusal::Departed)
            }
            ConnectError::NoPath => SendError::NoPath,
        })?;
        let meter = Rc::new(StreamMeter::new(&self.turns));
        let stream = TokioIo::new(MeteredStream::new(stream, &meter));
        let mut client = http1::Builder::new();
        let handshaken = client.max_buf_size(MAX_HEAD_BYTES).handshake(stream).await;
        let (sender, connection) = handshaken.map_err(|_| ExchangeError::NotSent)?;
        let task = tokio::task::spawn_local(async move {
            // The request that uses the connection notices its end.
            let _ = connection.await;
        });
        Ok(ConnectionGuard {
            endpoint: target.endpoint.clone(),
            address: target.address,
            gate: Rc::clone(&self.gate),
            sender: Some(sender),
            meter,
            age: ConnectionAge::New,
            task: task.abort_handle(),
            idle: Rc::clone(&self.idle),
            keep_for: Duration::ZERO,
            buffered: Rc::clone(&self.buffered),
            tunnel,
        })
    }
}

type UnsentRequest = Option<Box<Request<Full<Bytes>>>>;

async fn exchange(mut guard: ConnectionGuard, request: Request<Full<Bytes>>) -> HeadResult {
    let Some(sender) = guard.sender.as_mut() else {
        return Err((ExchangeError::NotSent, Some(Box::new(request))));
    };
    guard.meter.await_head();
    let response = sender.try_send_request(request);
    let head = async move {
        match response.await {
            Ok(response) => {
                guard.meter.head_arrived();
                read_head(guard, response).map_err(|error| (error, None))
            }
            Err(mut error) => {
                if let Some(unsent) = error.take_message() {
                    return Err((ExchangeError::NotSent, Some(Box::new(unsent))));
                }
                let is_unreadable = error.error().is_parse() || guard.meter.is_head_too_long();
                let cause = if is_unreadable {
                    ExchangeError::Unreadable
                } else {
                    ExchangeError::Lost
                };
                Err((cause, None))
            }
        }
    };
    AwaitedHead::new(head.boxed_local()).await
}

type HeadResult = Result<EndpointAnswer, (ExchangeError, UnsentRequest)>;

/// The head of an answer that is on its way. If this is dropped before, the head is awaited for a
/// little longer, since the endpoint may be refusing the request for a time.
struct AwaitedHead {
    /// `None` once the head has arrived.
    head: Option<LocalBoxFuture<'static, HeadResult>>,
}

impl AwaitedHead {
    fn new(head: LocalBoxFuture<'static, HeadResult>) -> Self {
        Self { head: Some(head) }
    }
}

impl Future for AwaitedHead {
    type Output = HeadResult;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let Some(head) = &mut self.head else {
            return Poll::Pending;
        };
        let result = ready!(head.poll_unpin(context));
        self.head = None;
        Poll::Ready(result)
    }
}

impl Drop for AwaitedHead {
    fn drop(&mut self) {
        if let Some(head) = self.head.take() {
            tokio::task::spawn_local(async move {
                // The connection reads what the endpoint says of itself; there is no one to answer.
                let _ = tokio::time::timeout(ABANDONED_HEAD_TIME, head).await;
            });
        }
    }
}

fn read_head(
    mut guard: ConnectionGuard,
    response: Response<Incoming>,
) -> Result<EndpointAnswer, ExchangeError> {
    let status = final_status(response.status())?;
    guard.keep_for = keep_alive_time(response.headers());
    let has_explicit_end = has_explicit_end(response.headers());
    let (head, incoming) = response.into_parts();
    let mut headers = ntex::http::HeaderMap::new();
    for (name, value) in &head.headers {
        let name = ntex::http::header::HeaderName::from_bytes(name.as_str().as_bytes());
        let value = ntex::http::header::HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    let statement = guard.gate.read_answer(&guard.endpoint, status, &headers);
    if let Some(tunnel) = &guard.tunnel {
        // The endpoint means the instance from which the request reached it.
        if let Some(retry_after) = statement.retry_after {
            tunnel.report(HostReport::Refused(guard.endpoint.clone(), retry_after));
        }
        if statement.leaving == LeavingStatement::Leaving {
            tunnel.report(HostReport::Leaving(guard.endpoint.clone()));
        }
    }
    let is_tunnelled = guard.tunnel.is_some();
    Ok(EndpointAnswer {
        is_tunnelled,
        connection: guard.age,
        status,
        headers,
        body: AnswerBody {
            incoming,
            buffered: Rc::clone(&guard.buffered),
            guard: Some(guard),
            has_explicit_end,
        },
    })
}

/// The status of an answer, if it is one that ends an exchange.
fn final_status(status: http::StatusCode) -> Result<StatusCode, ExchangeError> {
    let status = StatusCode::from_u16(status.as_u16()).ok();
    let is_final = |status: &StatusCode| is_final_status(status.as_u16());
    status.filter(is_final).ok_or(ExchangeError::Unreadable)
}

fn has_explicit_end(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// How long a connection may be kept after an answer; zero if it must be closed.
fn keep_alive_time(headers: &HeaderMap) -> Duration {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let closes =
        text(CONNECTION.as_str()).is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if closes || !has_explicit_end(headers) {
        return Duration::ZERO;
    }
    let stated = text(KEEP_ALIVE).and_then(|value| {
        let mut parts = value.split(',').map(str::trim);
        parts.find_map(|part| part.strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    let Some(seconds) = stated else {
        return IDLE_TIMEOUT;
    };
    Duration::from_secs(seconds)
        .saturating_sub(KEEP_ALIVE_MARGIN)
        .min(IDLE_TIMEOUT)
}

fn build_request(call: &ForwardRequest<'_>) -> Result<Request<Full<Bytes>>, ExchangeError> {
    let request = Request::builder()
        .method(call.method)
        .uri(call.path_and_query);
    let mut request = request
        .body(Full::new(call.body.clone()))
        .map_err(|_| ExchangeError::NotSent)?;
    for (name, value) in &call.headers {
        let name = HeaderName::from_bytes(name.as_str().as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            request.headers_mut().append(name, value);
        }
    }
    Ok(request)
}

/// How a failed exchange counts for its endpoint, and the reason for a retry.
#[must_use]
pub fn exchange_outcome(error: SendError) -> (RunOutcome, RetryReason) {
    let error = match error {
        SendError::NoPath => return (RunOutcome::NoPath, RetryReason::ConnectFailed),
        // As with a lack of paths, this says nothing new about the endpoint.
        SendError::Closed(_) => return (RunOutcome::NoPath, RetryReason::EndpointRefused),
        SendError::Exchange(error) => error,
    };
    match error {
        ExchangeError::NotSent => (RunOutcome::NotConnected, RetryReason::ConnectFailed),
        ExchangeError::Silent => (RunOutcome::Silent, RetryReason::StreamSilent),
        ExchangeError::Lost => (RunOutcome::Broken, RetryReason::StreamClosed),
        ExchangeError::Unreadable => (RunOutcome::Broken, RetryReason::FrameRejected),
    }
}
