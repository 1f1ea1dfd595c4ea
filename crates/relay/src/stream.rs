//! Streamed answers of model engines. Events are forwarded as they arrive; if an engine fails, the
//! stream is resumed on another one.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::{HeaderMap, StatusCode};
use ntex::util::Bytes;
use policy::catalog::RepeatRule;
use policy::dispatch::placement::{
    EndpointTarget, PlacementDecision, PlacementGrant, PlacementRequest, RunOutcome, RunReport,
};
use policy::ids::{AccountId, EndpointId, Millis};
use policy::outcome::{Refusal, RefusalReason, RetryReason, UnfinishedReason};

use crate::answer::{RelayFailure, WholeAnswer, strip_connection_headers};
use crate::connections::{AnswerBody, BodyChunk, EndpointAnswer, ForwardRequest, exchange_outcome};
use crate::core::RelayCore;
use crate::dialect::{
    AnswerSignature, ForwardHead, ForwardHelper, LeavingStatement, PromptSize, RunStatement,
};
use crate::events::{EventSplitter, is_after};
use crate::request::RelayRequest;
use crate::reservation::MemoryReservation;

/// Largest number of placements tried for one request, including endpoints that could not be
/// reached.
const MAX_TRIES: u32 = 5;

/// Least time left with which a request is still sent, in milliseconds.
const MIN_TIME_LEFT: Millis = 30;

/// Slack of the first-event timeout, in milliseconds: a run without a first event is abandoned
/// after three times the expected time plus this slack, the longest pass of an engine that meets
/// its pause targets.
const FIRST_EVENT_SLACK: Millis = 1_000;

/// Shortest silence between events after which a run is replaced, in milliseconds.
const MIN_SILENCE_TIMEOUT: Millis = 1_000;

/// Silence after which a run is replaced, as a multiple of the pause target.
const SILENCE_PAUSE_TARGETS: Millis = 3;

/// Longest wait for a placement that replaces a silent run.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_millis(200);

/// Retry-after of a request whose endpoints could not be reached, in milliseconds.
const UNREACHABLE_RETRY_AFTER: Millis = 500;

/// Sizes assumed for a request whose caller states none.
const DEFAULT_PROMPT_SIZE: PromptSize = PromptSize {
    prompt_tokens: 4_000,
    output_tokens: 1_000,
};

/// Finishes a placement request on drop.
struct RunGuard {
    core: Rc<RelayCore>,
    number: u64,
    report: RefCell<RunReport>,
    sent_run: RefCell<Option<SentRun>>,
}

/// A run that was sent to its host.
struct SentRun {
    request: Rc<RelayRequest>,
    endpoint: EndpointId,
    /// When the run was sent or its last event arrived.
    heard_at: Millis,
}

impl RunGuard {
    fn new(core: &Rc<RelayCore>) -> Self {
        Self {
            core: Rc::clone(core),
            number: core.next_request_number(),
            report: RefCell::new(RunReport::new(RunOutcome::CallerLeft)),
            sent_run: RefCell::new(None),
        }
    }

    /// Records that the run is sent to `endpoint`.
    fn sent(&self, request: &Rc<RelayRequest>, endpoint: &EndpointId) {
        *self.sent_run.borrow_mut() = Some(SentRun {
            request: Rc::clone(request),
            endpoint: endpoint.clone(),
            heard_at: self.core.now(),
        });
    }

    /// Records that an event of the run has arrived.
    fn heard(&self) {
        if let Some(sent_run) = self.sent_run.borrow_mut().as_mut() {
            sent_run.heard_at = self.core.now();
        }
    }

    fn report(&self, report: RunReport) {
        *self.report.borrow_mut() = report;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let report = self.report.borrow().clone();
        if let Some(sent_run) = self.sent_run.borrow().as_ref()
            && report.outcome == RunOutcome::CallerLeft
        {
            let SentRun {
                request,
                endpoint,
                heard_at,
            } = sent_run;
            self.core.run_abandoned(request, endpoint, *heard_at);
        }
        self.core.placement().finish(self.number, report);
    }
}

/// Whether an endpoint may have received the request. An undelivered request can be sent elsewhere
/// without repeating anything.
#[derives::tag]
enum RequestDelivery {
    Undelivered,
    Delivered,
}

/// Why a run produced no stream, or why its stream broke off.
struct RunError {
    report: RunReport,
    delivery: RequestDelivery,
    reason: RetryReason,
    /// Answer for the caller in case the request is not retried.
    answer: Option<WholeAnswer>,
}

impl RunError {
    fn new(outcome: RunOutcome, reason: RetryReason) -> Self {
        Self {
            report: RunReport::new(outcome),
            delivery: if outcome == RunOutcome::NotConnected {
                RequestDelivery::Undelivered
            } else {
                RequestDelivery::Delivered
            },
            reason,
            answer: None,
        }
    }

    /// Whether the request may have run.
    fn may_have_run(&self) -> bool {
        !matches!(
            self.report.outcome,
            RunOutcome::NotConnected | RunOutcome::Refused
        )
    }
}

/// A run whose stream has begun.
struct StreamRun {
    guard: RunGuard,
    /// Host of the run.
    endpoint: EndpointId,
    stream: EventStream,
    /// Held so that the reservation is released when the run ends.
    _reservation: Option<MemoryReservation>,
}

/// Status and headers of a stream that has begun.
pub(crate) struct StreamHead {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
}

/// The stream of one caller across all its runs.
///
/// Invariant: the caller receives every event exactly once and in order. Events that were already
/// delivered are dropped, and the stream only continues with a run that resumes after the last
/// event.
pub(crate) struct StreamSession {
    core: Rc<RelayCore>,
    request: Rc<RelayRequest>,
    run: Option<StreamRun>,
    last_event: Option<String>,
    excluded: Vec<EndpointId>,
    tries: u32,
    runs: u32,
    retry: Option<RetryReason>,
    silence_policy: SilencePolicy,
}

/// How to react to a silent run. Silence alone does not end an answer: a run is abandoned only
/// after its replacement has begun.
#[derives::tag]
enum SilencePolicy {
    /// Look for another placement.
    Replace,
    /// No other placement was found; wait for the run.
    Wait,
}

/// Next step of a stream.
pub(crate) enum StreamStep {
    /// An event for the caller.
    Event(Bytes),
    /// The stream is complete.
    Whole,
    /// The stream broke off and cannot be resumed.
    Failed(UnfinishedReason),
}

/// Result of starting a stream.
pub(crate) enum StreamStart {
    /// The stream has begun.
    Begun(StreamHead),
    /// The endpoint sent an answer that is no stream.
    Answered(WholeAnswer),
}

impl StreamSession {
    pub(crate) fn new(core: &Rc<RelayCore>, request: &Rc<RelayRequest>) -> Self {
        Self {
            core: Rc::clone(core),
            request: Rc::clone(request),
            run: None,
            last_event: request.head.resume_after.clone(),
            excluded: Vec::new(),
            tries: 0,
            runs: 0,
            retry: None,
            silence_policy: SilencePolicy::Replace,
        }
    }

    pub(crate) fn core(&self) -> &RelayCore {
        &self.core
    }

    pub(crate) fn request(&self) -> &RelayRequest {
        &self.request
    }

    /// Requests a placement, sends the request and waits for the first event.
    pub(crate) async fn start(&mut self) -> Result<StreamStart, RelayFailure> {
        loop {
            let (guard, grant) = self.request_placement().await?;
            if let Some(departed) = self.departed_engine(&grant) {
                // The dispatcher does not know yet that the endpoint is leaving.
                let report = RunReport::new(RunOutcome::NotConnected);
                guard.report(report.with_fault_at(Some(departed.address)));
                self.excluded.push(departed.endpoint.clone());
                self.tries += 1;
                if self.tries >= MAX_TRIES {
                    return Err(self.final_failure(&RunReport::new(RunOutcome::NotConnected)));
                }
                continue;
            }
            match self.start_run(guard, &grant).await {
                Ok((run, head)) => {
                    self.run = Some(run);
                    return Ok(StreamStart::Begun(head));
                }
                Err(error) => {
                    if let Some(answer) = self.record_failure(error, &grant)? {
                        return Ok(StreamStart::Answered(answer));
                    }
                }
            }
        }
    }

    /// An engine of the placement that is leaving or was removed; the host first.
    fn departed_engine<'a>(&self, grant: &'a PlacementGrant) -> Option<&'a EndpointTarget> {
        let helpers = grant.helpers.iter().map(|helper| &helper.target);
        std::iter::once(&grant.host)
            .chain(helpers)
            .find(|target| self.core.is_departed(&target.endpoint))
    }

    /// The next event; if the run breaks off, the stream is resumed in another run.
    pub(crate) async fn next(&mut self) -> StreamStep {
        loop {
            let timeout = self.silence_timeout();
            let Some(run) = &mut self.run else {
                return StreamStep::Failed(UnfinishedReason::EndpointLost);
            };
            if let Some(bytes) = run.stream.events.pop_front() {
                let trace = &self.request.trace;
                trace.events.set(trace.events.get() + 1);
                return StreamStep::Event(bytes);
            }
            if run.stream.is_ended {
                run.guard.report(RunReport::new(RunOutcome::Served));
                self.core.run_served(&self.request);
                self.run = None;
                return StreamStep::Whole;
            }
            let read = run.stream.read(&mut self.last_event);
            let error = match tokio::time::timeout(timeout, read).await {
                Ok(Ok(())) => {
                    run.guard.heard();
                    continue;
                }
                Ok(Err(error)) => error,
                Err(_) if self.request.time_left(self.core.now()) >= MIN_TIME_LEFT => {
                    self.replace_silent_run().await;
                    continue;
                }
                Err(_) => RunError::new(RunOutcome::Silent, RetryReason::StreamSilent),
            };
            if let Some(failed) = self.fail_over(error).await {
                return StreamStep::Failed(failed);
            }
        }
    }

    /// Replaces a silent run if another placement is available at once; otherwise keeps waiting for
    /// it.
    async fn replace_silent_run(&mut self) {
        self.silence_policy = SilencePolicy::Wait;
        if self.last_event.is_none() {
            return;
        }
        if let Some(endpoint) = self.request.trace.endpoints.borrow().last() {
            self.excluded.push(endpoint.clone());
        }
        self.record_retry(RetryReason::StreamSilent);
        let requested = tokio::time::timeout(REPLACEMENT_TIMEOUT, self.request_placement()).await;
        let Ok(Ok((guard, grant))) = requested else {
            return;
        };
        if self.departed_engine(&grant).is_some() {
            return;
        }
        let Ok((run, head)) = self.start_run(guard, &grant).await else {
            return;
        };
        if head.status != StatusCode::OK {
            return;
        }
        self.runs += 1;
        if let Some(silent) = self.run.replace(run) {
            let error = RunError::new(RunOutcome::Silent, RetryReason::StreamSilent);
            self.report_failure(&silent.guard, &silent.endpoint, &error);
        }
    }

    /// Resumes the stream in another run after a failure; returns the reason if that is not
    /// possible.
    async fn fail_over(&mut self, error: RunError) -> Option<UnfinishedReason> {
        if let Some(run) = self.run.take() {
            self.report_failure(&run.guard, &run.endpoint, &error);
        }
        if self.request.time_left(self.core.now()) < MIN_TIME_LEFT {
            return Some(UnfinishedReason::DeadlinePassed);
        }
        let can_repeat = self.request.admitted.route.repeat == RepeatRule::Repeatable
            && self.runs < self.request.admitted.route.attempts
            && self.last_event.is_some();
        if !can_repeat {
            return Some(UnfinishedReason::EndpointLost);
        }
        if let Some(endpoint) = self.request.trace.endpoints.borrow().last() {
            self.excluded.push(endpoint.clone());
        }
        self.record_retry(error.reason);
        match Box::pin(self.start()).await {
            Ok(StreamStart::Begun(head)) if head.status == StatusCode::OK => None,
            Err(RelayFailure::Unfinished(reason)) => Some(reason),
            Err(RelayFailure::NotRun(refusal)) if refusal.reason == RefusalReason::RetryBudget => {
                Some(UnfinishedReason::RetryBudget)
            }
            Ok(_) | Err(_) => Some(UnfinishedReason::EndpointLost),
        }
    }

    /// Longest silence between events before a replacement is looked for.
    fn silence_timeout(&self) -> Duration {
        let route = &self.request.admitted.route;
        let left = self.request.time_left(self.core.now());
        let silence = (route.pause_aim * SILENCE_PAUSE_TARGETS).max(MIN_SILENCE_TIMEOUT);
        let has_retry_left = self.silence_policy == SilencePolicy::Replace
            && self.runs + 1 < route.attempts
            && route.repeat == RepeatRule::Repeatable;
        // Without attempts left, the only option is to wait until the deadline.
        Duration::from_millis(if has_retry_left {
            silence.min(left)
        } else {
            left
        })
    }

    async fn request_placement(&mut self) -> Result<(RunGuard, PlacementGrant), RelayFailure> {
        let now = self.core.now();
        let left = self.request.time_left(now);
        if left < MIN_TIME_LEFT {
            return Err(self.deadline_failure());
        }
        self.core
            .check_quarantine(&self.request)
            .map_err(|refusal| self.quarantine_failure(refusal))?;
        let guard = RunGuard::new(&self.core);
        let placement_request = self.placement_request(now, left);
        let requested = self
            .core
            .placement()
            .request_placement(guard.number, placement_request);
        let decision = tokio::time::timeout(Duration::from_millis(left), requested).await;
        let waited = self.core.now().saturating_sub(now);
        let trace = &self.request.trace;
        trace.queued.set(trace.queued.get() + waited);
        match decision {
            Err(_) => Err(self.deadline_failure()),
            Ok(PlacementDecision::Granted(grant)) => {
                // Crashes may have become known while the request was queued.
                self.core
                    .admit_run(&self.request)
                    .map_err(|refusal| self.quarantine_failure(refusal))?;
                Ok((guard, grant))
            }
            Ok(PlacementDecision::Refused(refusal))
                if refusal.reason == RefusalReason::Quarantined =>
            {
                Err(self.quarantine_failure(refusal))
            }
            Ok(PlacementDecision::Refused(_)) if self.runs > 0 => {
                Err(RelayFailure::Unfinished(UnfinishedReason::EndpointLost))
            }
            Ok(PlacementDecision::Refused(refusal)) => Err(RelayFailure::NotRun(refusal)),
        }
    }

    fn quarantine_failure(&self, refusal: Refusal) -> RelayFailure {
        if self.runs > 0 {
            return RelayFailure::Unfinished(UnfinishedReason::Quarantined);
        }
        RelayFailure::NotRun(refusal)
    }

    fn deadline_failure(&self) -> RelayFailure {
        if self.runs > 0 {
            return RelayFailure::Unfinished(UnfinishedReason::DeadlinePassed);
        }
        RelayFailure::not_run(RefusalReason::DeadlinePassed, UNREACHABLE_RETRY_AFTER)
    }

    fn placement_request(&self, now: Millis, left: Millis) -> PlacementRequest {
        let request = &self.request;
        let route = &request.admitted.route;
        let size = request.head.prompt.clone().unwrap_or(DEFAULT_PROMPT_SIZE);
        let account = request.admitted.account.clone();
        PlacementRequest {
            pool: request.service.clone(),
            account: account.unwrap_or_else(|| AccountId::new("")),
            scope: policy::dispatch::placement::PlacementScope::Fleet,
            prompt_tokens: size.prompt_tokens,
            output_tokens: size.output_tokens,
            waited: now.saturating_sub(request.arrived),
            first_event_aim: route.aim,
            pause_aim: route.pause_aim,
            time_left: left,
            retry: self.retry,
            excluded: self.excluded.clone(),
            caller_domain: None,
            fingerprint: request.fingerprint(),
        }
    }

    async fn start_run(
        &mut self,
        guard: RunGuard,
        grant: &PlacementGrant,
    ) -> Result<(StreamRun, StreamHead), RunError> {
        let request = Rc::clone(&self.request);
        let trace = &request.trace;
        let endpoints = &trace.endpoints;
        endpoints.borrow_mut().push(grant.host.endpoint.clone());
        trace
            .helpers
            .set(trace.helpers.get().max(grant.helpers.len()));
        trace.expected.set(grant.expected_first);
        self.tries += 1;
        self.log_shared_placement(grant);
        let timeout = self.first_event_timeout(grant);
        let reserved = self.reserve(&guard, grant).await;
        let reservation = match reserved {
            Ok(reservation) => reservation,
            Err(error) => {
                guard.report(error.report.clone());
                return Err(error);
            }
        };
        guard.sent(&request, &grant.host.endpoint);
        let opened =
            tokio::time::timeout(timeout, self.open_stream(grant, reservation.as_ref())).await;
        let opened = opened.unwrap_or_else(|_| {
            let error = RunError::new(RunOutcome::Silent, RetryReason::StreamSilent);
            Err(error)
        });
        match opened {
            Ok((stream, head)) => {
                self.core.placement().first_event(guard.number);
                guard.heard();
                let run = StreamRun {
                    guard,
                    endpoint: grant.host.endpoint.clone(),
                    stream,
                    _reservation: reservation,
                };
                Ok((run, head))
            }
            Err(error) => {
                self.report_failure(&guard, &grant.host.endpoint, &error);
                Err(error)
            }
        }
    }

    /// Reports a run that failed to the dispatcher.
    fn report_failure(&self, guard: &RunGuard, endpoint: &EndpointId, error: &RunError) {
        guard.report(error.report.clone());
        if error.may_have_run() {
            let outcome = error.report.outcome;
            self.core
                .run_failed(&self.request, endpoint, outcome, error.reason);
        }
    }

    /// Logs a placement whose prefill is shared with helpers. Other placements appear only in the
    /// line that is logged at the end of the request.
    fn log_shared_placement(&self, grant: &PlacementGrant) {
        if grant.helpers.is_empty() {
            return;
        }
        let helpers = grant.helpers.iter();
        let names: Vec<&str> = helpers
            .map(|helper| helper.target.endpoint.as_str())
            .collect();
        spdlog::info!("request placed with helpers", kv: {
            request = self.request.head.request_id.as_str(),
            host = grant.host.endpoint.as_str(),
            helpers = names.join(",").as_str(),
            reserved = grant.helpers.iter().map(|helper| helper.reserved_tokens).sum::<u64>(),
            expected = grant.expected_first,
            queued = self.request.trace.queued.get(),
        });
    }

    /// Reserves memory on the helpers if the prompt needs it.
    async fn reserve(
        &self,
        guard: &RunGuard,
        grant: &PlacementGrant,
    ) -> Result<Option<MemoryReservation>, RunError> {
        let helpers = &grant.helpers;
        if helpers.iter().all(|helper| helper.reserved_tokens == 0) {
            return Ok(None);
        }
        let id = self.core.reservation_id(guard.number);
        let reservation_ttl = self.core.reservation_ttl();
        let reserved =
            MemoryReservation::reserve(self.core.memory(), &id, helpers, reservation_ttl).await;
        reserved.map(Some).map_err(|address| {
            spdlog::info!("memory not reserved", kv: {
                request = self.request.head.request_id.as_str(),
                id = id.as_str(),
                address: = address,
            });
            let mut error = RunError::new(RunOutcome::Refused, RetryReason::EndpointRefused);
            error.report = error.report.with_fault_at(Some(address));
            error.delivery = RequestDelivery::Undelivered;
            error
        })
    }

    /// Longest wait for the first event.
    fn first_event_timeout(&self, grant: &PlacementGrant) -> Duration {
        let route = &self.request.admitted.route;
        let left = self.request.time_left(self.core.now());
        let timeout = grant.expected_first * 3 + FIRST_EVENT_SLACK;
        let has_retry_left =
            self.runs + 1 < route.attempts && route.repeat == RepeatRule::Repeatable;
        Duration::from_millis(if has_retry_left {
            timeout.min(left)
        } else {
            left
        })
    }

    async fn open_stream(
        &mut self,
        grant: &PlacementGrant,
        reservation: Option<&MemoryReservation>,
    ) -> Result<(EventStream, StreamHead), RunError> {
        let sent_at = self.core.now();
        let answer = self.send(grant, reservation).await?;
        let (body, head) = self.validate_head(grant, answer, sent_at).await?;
        let mut stream = EventStream::new(body);
        while stream.events.is_empty() && !stream.is_ended {
            stream.read(&mut self.last_event).await?;
        }
        Ok((stream, head))
    }

    async fn send(
        &self,
        grant: &PlacementGrant,
        reservation: Option<&MemoryReservation>,
    ) -> Result<EndpointAnswer, RunError> {
        let request = &self.request;
        let helpers = grant.helpers.iter().map(|helper| ForwardHelper {
            address: helper.target.address,
            reservation: reservation
                .and_then(|reservation| reservation.id_at(helper.target.address)),
        });
        let helpers: Vec<ForwardHelper> = helpers.collect();
        let head = ForwardHead {
            endpoint: &grant.host.endpoint,
            time_left: request.time_left(self.core.now()),
            account: request.admitted.account.as_ref(),
            helpers: &helpers,
            resume_after: self.last_event.as_deref(),
        };
        let call = ForwardRequest {
            address: grant.host.address,
            method: request.method.as_str(),
            path_and_query: &request.path_and_query,
            headers: request.forward_headers(self.core.dialect(), &head),
            body: request.body.clone(),
            repeat: request.admitted.route.repeat,
        };
        let sent = self.core.connections().send(call).await;
        sent.map_err(|error| {
            let (outcome, reason) = exchange_outcome(error);
            RunError::new(outcome, reason)
        })
    }

    /// Accepts the head of a signed, successful answer to this request. Anything else is an error,
    /// which keeps the answer if it may be forwarded.
    async fn validate_head(
        &self,
        grant: &PlacementGrant,
        answer: EndpointAnswer,
        sent_at: Millis,
    ) -> Result<(AnswerBody, StreamHead), RunError> {
        let head = self.core.dialect().read_answer(&answer.headers);
        let status = answer.status;
        let matches_request =
            head.request_id.as_deref() == Some(self.request.head.request_id.as_str());
        if matches_request && status != StatusCode::MISDIRECTED_REQUEST {
            self.core
                .heard_limit(&grant.host.endpoint, head.rate_limit, sent_at);
            if head.leaving == LeavingStatement::Leaving {
                self.core.heard_leaving(&grant.host.endpoint);
            }
        }
        if head.statement == RunStatement::NotRun && !status.is_success() {
            // An endpoint that names another one at fault could not connect to it.
            let outcome = match head.at_fault {
                Some(_) => RunOutcome::NotConnected,
                None => RunOutcome::Refused,
            };
            let mut error = RunError::new(outcome, RetryReason::EndpointRefused);
            error.delivery = RequestDelivery::Delivered;
            error.report = error.report.with_fault_at(head.at_fault);
            return Err(error);
        }
        if !matches_request || head.signed == AnswerSignature::Unsigned {
            return Err(RunError::new(
                RunOutcome::Broken,
                RetryReason::FrameRejected,
            ));
        }
        let mut headers = answer.headers;
        strip_connection_headers(&mut headers);
        if status.is_success() {
            return Ok((answer.body, StreamHead { status, headers }));
        }
        let max_bytes = self.request.catalog.bounds().body_bytes;
        let body = answer.body.read_whole(max_bytes).await;
        let mut error = RunError::new(RunOutcome::Failed, RetryReason::EndpointRefused);
        error.answer = body.ok().map(|body| WholeAnswer {
            status,
            headers,
            body,
        });
        Err(error)
    }

    /// Records a failed run. An `Ok` value with an answer, or an error, means that the request is
    /// not retried.
    fn record_failure(
        &mut self,
        error: RunError,
        grant: &PlacementGrant,
    ) -> Result<Option<WholeAnswer>, RelayFailure> {
        let may_have_run = error.may_have_run();
        if may_have_run {
            self.runs += 1;
        }
        let route = &self.request.admitted.route;
        let can_repeat =
            !may_have_run || (route.repeat == RepeatRule::Repeatable && self.runs < route.attempts);
        if !can_repeat || self.tries >= MAX_TRIES {
            if let Some(answer) = error.answer
                && self.last_event == self.request.head.resume_after
            {
                return Ok(Some(answer));
            }
            return Err(self.final_failure(&error.report));
        }
        if error.report.at_fault.is_none() {
            self.excluded.push(grant.host.endpoint.clone());
        }
        if error.delivery == RequestDelivery::Undelivered {
            self.core.log_retry(&self.request, error.reason);
        } else {
            self.record_retry(error.reason);
        }
        Ok(None)
    }

    fn final_failure(&self, report: &RunReport) -> RelayFailure {
        if self.request.time_left(self.core.now()) < MIN_TIME_LEFT {
            return self.deadline_failure();
        }
        if self.runs > 0 {
            return RelayFailure::Unfinished(UnfinishedReason::EndpointLost);
        }
        let reason = match report.outcome {
            RunOutcome::Refused => RefusalReason::Overloaded,
            _ => RefusalReason::NoEndpoint,
        };
        RelayFailure::not_run(reason, UNREACHABLE_RETRY_AFTER)
    }

    fn record_retry(&mut self, reason: RetryReason) {
        let trace = &self.request.trace;
        trace.retries.set(trace.retries.get() + 1);
        self.retry = Some(reason);
        self.core.log_retry(&self.request, reason);
    }
}

/// Events of one run.
struct EventStream {
    body: AnswerBody,
    splitter: EventSplitter,
    events: VecDeque<Bytes>,
    is_ended: bool,
}

impl EventStream {
    fn new(body: AnswerBody) -> Self {
        Self {
            body,
            splitter: EventSplitter::new(),
            events: VecDeque::new(),
            is_ended: false,
        }
    }

    /// Reads the next chunk; events up to `last_event` are dropped.
    async fn read(&mut self, last_event: &mut Option<String>) -> Result<(), RunError> {
        let broken = |reason| RunError::new(RunOutcome::Broken, reason);
        match self.body.next_chunk().await {
            BodyChunk::Bytes(bytes) => self
                .splitter
                .push(&bytes)
                .map_err(|_| broken(RetryReason::FrameRejected))?,
            BodyChunk::End if self.splitter.is_empty() => self.is_ended = true,
            BodyChunk::End | BodyChunk::Broken => return Err(broken(RetryReason::StreamClosed)),
        }
        while let Some(event) = self.splitter.next_event() {
            if let Some(id) = event.id {
                let is_duplicate = last_event.as_ref().is_some_and(|last| !is_after(&id, last));
                if is_duplicate {
                    continue;
                }
                *last_event = Some(id);
            }
            self.events.push_back(event.bytes);
        }
        Ok(())
    }
}
