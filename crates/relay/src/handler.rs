//! Request handling: admission, serving, and the log line at the end.

use std::cell::{Cell, OnceCell};
use std::future::poll_fn;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use futures::stream::unfold;
use ntex::http::error::PayloadError;
use ntex::http::header::{HOST, HeaderName, HeaderValue};
use ntex::http::{Payload, Request, Response, StatusCode};
use ntex::io::IoRef;
use policy::cast::u64_to_f64;
use policy::catalog::{AdmissionError, AnswerKind, RepeatRule};
use policy::ids::Millis;
use policy::outcome::{RefusalReason, UnfinishedReason};

use crate::answer::{RelayFailure, begin_answer, strip_connection_headers};
use crate::core::{NOT_READY_RETRY_AFTER, RelayCore, RelayPhase, StopAdmission};
use crate::plain_call::serve_call;
use crate::read_turns::BodyTurns;
use crate::request::{RelayRequest, RequestTrace};
use crate::stream::{StreamHead, StreamSession, StreamStart, StreamStep};

/// Age of the configuration, in milliseconds, beyond which an unknown route or key may belong to a
/// newer configuration: the request is then refused as not ready instead of being denied.
const DENIAL_CONFIG_AGE: Millis = 2_500;

/// Largest body accepted before the configuration is known, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 4 * 1_024 * 1_024;

/// Bytes that separate a header's name and value and end its line.
const HEADER_SEPARATORS: usize = 4;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlightGuard(Rc<RelayCore>);

impl InFlightGuard {
    pub(crate) fn new(core: &Rc<RelayCore>) -> Self {
        core.counters().in_flight.inc();
        Self(Rc::clone(core))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.counters().in_flight.dec();
    }
}

/// Logs the end of a request. If dropped before an outcome was logged, the caller has disconnected.
struct TraceGuard {
    core: Rc<RelayCore>,
    request: Rc<RelayRequest>,
    is_logged: Cell<bool>,
}

impl TraceGuard {
    fn log_outcome(&self, outcome: &str, status: u16) {
        self.is_logged.set(true);
        self.core.log_end(&self.request, outcome, status);
    }
}

impl Drop for TraceGuard {
    fn drop(&mut self) {
        if !self.is_logged.get() {
            let reason = UnfinishedReason::CallerGone;
            self.core.counters().unfinished(reason);
            self.core.log_end(&self.request, reason.code(), 0);
        }
    }
}

impl RelayCore {
    /// Admits and serves one request.
    pub async fn handle(self: Rc<Self>, mut request: Request) -> Response {
        let _in_flight = InFlightGuard::new(&self);
        let arrived = self.now();
        let max_bytes = self.catalog().map_or(DEFAULT_MAX_BODY_BYTES, |catalog| {
            catalog.bounds().body_bytes
        });
        let turns = BodyTurns::new(self.body_turns());
        let body = read_body(request.take_payload(), max_bytes, turns).await;
        let mut response = match self.admit(&request, body, arrived) {
            Ok(admitted) => {
                let io = request.io().cloned();
                self.serve(Rc::new(admitted), io).await
            }
            Err(failure) => self.reject(&request, &failure),
        };
        if self.phase() >= RelayPhase::Draining {
            response
                .head_mut()
                .set_connection_type(ntex::http::ConnectionType::Close);
        }
        response
    }

    fn admit(
        &self,
        request: &Request,
        body: Result<Bytes, StatusCode>,
        arrived: Millis,
    ) -> Result<RelayRequest, RelayFailure> {
        let body = body.map_err(RelayFailure::Denied)?;
        let not_ready = || RelayFailure::not_run(RefusalReason::NotReady, NOT_READY_RETRY_AFTER);
        let catalog = self.catalog().ok_or_else(not_ready)?;
        if self.phase() == RelayPhase::Closing {
            return Err(not_ready());
        }
        if header_bytes(request) > catalog.bounds().head_bytes {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return Err(RelayFailure::Denied(status));
        }
        let head = self.dialect().read_caller(request.headers());
        let host = request.headers().get(HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or("");
        let admitted = catalog.admit(host, request.path(), head.key.as_deref());
        let admitted = admitted.map_err(|error| match error {
            _ if self.config_age() > DENIAL_CONFIG_AGE => not_ready(),
            AdmissionError::NoRoute => RelayFailure::Denied(StatusCode::NOT_FOUND),
            AdmissionError::UnknownKey => RelayFailure::Denied(StatusCode::UNAUTHORIZED),
        })?;
        let route = &admitted.route;
        let service = route.target(self.draw()).ok_or_else(not_ready)?.clone();
        let timeout = head.time_left.unwrap_or(route.timeout);
        let ends_at = arrived + timeout.min(route.timeout);
        let trial = match self.stop_admission(route, ends_at) {
            StopAdmission::Expected => None,
            StopAdmission::Trial(trial) => Some(trial),
            StopAdmission::Refused => return Err(not_ready()),
        };
        let path_and_query = request.uri().path_and_query();
        let path_and_query = path_and_query
            .map_or("/", |path_and_query| path_and_query.as_str())
            .to_owned();
        let mut headers = request.headers().clone();
        strip_connection_headers(&mut headers);
        Ok(RelayRequest {
            head,
            method: request.method().clone(),
            path_and_query,
            headers,
            body,
            admitted,
            catalog,
            service,
            arrived,
            ends_at,
            trace: RequestTrace::default(),
            fingerprints: OnceCell::new(),
            _trial: trial,
        })
    }

    fn reject(&self, request: &Request, failure: &RelayFailure) -> Response {
        let head = self.dialect().read_caller(request.headers());
        self.counters().refused(failure.code());
        spdlog::info!("request rejected", kv: {
            request = head.request_id.as_str(),
            path = request.path(),
            reason = failure.code(),
            status = failure.status().as_u16(),
            config = self.catalog().map_or(0, |catalog| catalog.version()),
            config_age = self.config_age(),
        });
        failure.response(&head.request_id, &self.dialect().request_header())
    }

    async fn serve(self: &Rc<Self>, request: Rc<RelayRequest>, io: Option<IoRef>) -> Response {
        let trace = TraceGuard {
            core: Rc::clone(self),
            request: Rc::clone(&request),
            is_logged: Cell::new(false),
        };
        let served = match request.admitted.route.answer_kind {
            AnswerKind::Whole => {
                let serving = serve_call(self, &request);
                let served = self.until_stopped(&request, serving).await;
                served.map(StreamStart::Answered)
            }
            AnswerKind::Events => {
                let mut session = StreamSession::new(self, &request);
                match self.until_stopped(&request, session.start()).await {
                    Ok(StreamStart::Begun(head)) => {
                        return stream_response(session, &head, trace, io);
                    }
                    other => other,
                }
            }
        };
        match served {
            Ok(StreamStart::Answered(answer)) => {
                let status = answer.status.as_u16();
                self.record_duration(&request);
                self.counters().answered(
                    kind_label(&request),
                    status,
                    self.seconds_since(&request),
                );
                trace.log_outcome("answered", status);
                answer.into()
            }
            Ok(StreamStart::Begun(_)) => unreachable!("a stream that has begun was returned above"),
            Err(failure) => {
                self.count_failure(&failure);
                trace.log_outcome(failure.code(), failure.status().as_u16());
                failure.response(&request.head.request_id, &self.dialect().request_header())
            }
        }
    }

    /// Waits for `serving`, but no longer than until the requests that are left end.
    async fn until_stopped<T>(
        &self,
        request: &RelayRequest,
        serving: impl Future<Output = Result<T, RelayFailure>>,
    ) -> Result<T, RelayFailure> {
        tokio::select! {
            biased;
            served = serving => served,
            () = self.requests_ended() => Err(request.cut_off()),
        }
    }

    fn count_failure(&self, failure: &RelayFailure) {
        match failure {
            RelayFailure::Unfinished(reason) => self.counters().unfinished(*reason),
            _ => self.counters().refused(failure.code()),
        }
    }

    fn seconds_since(&self, request: &RelayRequest) -> f64 {
        u64_to_f64(self.now().saturating_sub(request.arrived)) / MILLIS_PER_SECOND
    }

    fn log_end(&self, request: &RelayRequest, outcome: &str, status: u16) {
        let trace = &request.trace;
        let size = request.head.prompt.as_ref();
        spdlog::info!("request finished", kv: {
            request = request.head.request_id.as_str(),
            route = request.admitted.route.name.as_str(),
            account = request.admitted.account.as_ref().map_or("", |account| account.as_str()),
            outcome = outcome,
            status = status,
            prompt_tokens = size.map_or(0, |size| size.prompt_tokens),
            endpoints = trace.endpoints_text().as_str(),
            helpers = trace.helpers.get(),
            retries = trace.retries.get(),
            tunnels = trace.tunnels.get(),
            queued = trace.queued.get(),
            expected = trace.expected.get(),
            first_event = trace.first_event.get().unwrap_or(0),
            events = trace.events.get(),
            took = self.now().saturating_sub(request.arrived),
            patience = request.ends_at - request.arrived,
            config = request.catalog.version(),
            config_age = self.config_age(),
        });
    }
}

/// Value of the metrics label `kind`.
fn kind_label(request: &RelayRequest) -> &'static str {
    let route = &request.admitted.route;
    match (route.answer_kind, route.repeat) {
        (AnswerKind::Events, _) => "events",
        (AnswerKind::Whole, RepeatRule::Repeatable) => "repeatable",
        (AnswerKind::Whole, RepeatRule::Once) => "once",
    }
}

/// Size of a request's URI and headers, including the separators of each header line.
fn header_bytes(request: &Request) -> usize {
    let length_of = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + value.as_bytes().len() + HEADER_SEPARATORS
    };
    let headers: usize = request.headers().iter().map(length_of).sum();
    headers + request.uri().to_string().len()
}

async fn read_body(
    mut payload: Payload,
    max_bytes: usize,
    turns: BodyTurns,
) -> Result<Bytes, StatusCode> {
    if let Payload::H1(payload) = &payload {
        // The connection is not read on before what has been read is taken.
        payload.max_buffer_size(1);
    }
    let mut body = BytesMut::new();
    loop {
        turns.await_chunk().await;
        let chunk = poll_fn(|context| {
            let chunk = payload.poll_next_unpin(context);
            if chunk.is_pending() {
                turns.drained();
            }
            chunk
        });
        let Some(chunk) = chunk.await else {
            return Ok(body.freeze());
        };
        let bytes = chunk.map_err(|_| StatusCode::BAD_REQUEST)?;
        body.extend_from_slice(&bytes);
        if body.len() > max_bytes {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
    }
}

/// Streams an answer whose first event has arrived.
///
/// Invariant: a stream that cannot be completed ends by closing the connection, without the end
/// marker of the body, so that the caller never takes it for complete.
fn stream_response(
    session: StreamSession,
    head: &StreamHead,
    trace: TraceGuard,
    io: Option<IoRef>,
) -> Response {
    let in_flight = InFlightGuard::new(&trace.core);
    let status = head.status.as_u16();
    let state = (session, trace, io, in_flight);
    let events = unfold(
        state,
        move |(mut session, trace, io, in_flight)| async move {
            let step = next_step(&mut session, &trace.core).await;
            match step {
                StreamStep::Events(bytes) => {
                    record_first_event(&session);
                    Some((
                        Ok::<_, PayloadError>(bytes),
                        (session, trace, io, in_flight),
                    ))
                }
                StreamStep::Whole => {
                    let (core, request) = (session.core(), session.request());
                    let took = core.seconds_since(request);
                    core.record_duration(request);
                    core.counters().answered(kind_label(request), status, took);
                    trace.log_outcome("streamed", status);
                    None
                }
                StreamStep::Failed(reason) => {
                    session.core().counters().unfinished(reason);
                    trace.log_outcome(reason.code(), status);
                    drop((session, trace, in_flight));
                    abort_connection(io).await
                }
            }
        },
    );
    begin_answer(head.status, &head.headers).streaming(Box::pin(events))
}

/// The next step of a stream, which breaks off when the instance stops.
async fn next_step(session: &mut StreamSession, core: &RelayCore) -> StreamStep {
    tokio::select! {
        biased;
        step = session.next() => step,
        () = core.requests_ended() => StreamStep::Failed(UnfinishedReason::InstanceStopped),
    }
}

/// Closes a caller's connection in the middle of an answer. Never returns.
async fn abort_connection<T>(io: Option<IoRef>) -> T {
    if let Some(io) = io {
        io.close();
    }
    // The server drops the answer once it notices that the connection is closed.
    std::future::pending().await
}

fn record_first_event(session: &StreamSession) {
    let (core, request) = (session.core(), session.request());
    let trace = &request.trace;
    if trace.first_event.get().is_none() {
        let took = core.now().saturating_sub(request.arrived);
        trace.first_event.set(Some(took));
        let seconds = core.seconds_since(request);
        core.counters().first_event(kind_label(request), seconds);
    }
}
