//! Answers of model engines: streams of events that are passed on as they come and go on
//! elsewhere when an engine breaks off.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::{HeaderMap, StatusCode};
use ntex::util::Bytes;
use policy::catalog::RepeatRule;
use policy::dispatch::placement::{
    PlacementDecision, PlacementGrant, PlacementRequest, RunOutcome, RunReport,
};
use policy::ids::{AccountId, EndpointId, Millis};
use policy::outcome::{RefusalReason, RetryReason, UnfinishedReason};

use crate::answer::{RelayFailure, WholeAnswer, strip_connection_headers};
use crate::core::RelayCore;
use crate::dialect::{AnswerSignature, ForwardHead, ForwardHelper, PromptSize, RunStatement};
use crate::events::{EventSplitter, is_after};
use crate::links::{BodyPiece, ForwardCall, LinkAnswer, LinkBody, exchange_end};
use crate::request::RelayRequest;
use crate::reservation::MemoryHold;

/// Places tried at most for one request, those that could not be reached included.
const MOST_TRIES: u32 = 5;

/// Least time left for which a request is still sent, in milliseconds.
const LEAST_TIME: Millis = 30;

/// Time beyond three times the expected one after which a first event is given up, in
/// milliseconds: the longest pass of an engine that keeps its pause aims.
const FIRST_EVENT_SLACK: Millis = 1_000;

/// Shortest silence between events that is given up, in milliseconds.
const SHORTEST_SILENCE: Millis = 1_000;

/// Pause aims of silence between events that are given up.
const SILENT_PAUSES: Millis = 3;

/// Longest wait for another place for a run that is silent.
const PLACE_TIME: Duration = Duration::from_millis(200);

/// Return time of a request whose places could not be reached, in milliseconds.
const UNREACHED_RETURN: Millis = 500;

/// Size assumed of a prompt whose caller states none.
const USUAL_PROMPT: PromptSize = PromptSize {
    prompt_tokens: 4_000,
    output_tokens: 1_000,
};

/// Finishes an ask when it is dropped.
struct RunGuard {
    core: Rc<RelayCore>,
    number: u64,
    report: RefCell<RunReport>,
}

impl RunGuard {
    fn new(core: &Rc<RelayCore>) -> Self {
        Self {
            core: Rc::clone(core),
            number: core.next_ask(),
            report: RefCell::new(RunReport::new(RunOutcome::CallerLeft)),
        }
    }

    fn report(&self, report: RunReport) {
        *self.report.borrow_mut() = report;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let report = self.report.borrow().clone();
        self.core.desk().finish(self.number, report);
    }
}

/// Whether a request came as far as an endpoint; if not, sending it elsewhere repeats nothing.
#[derives::tag]
enum EndpointReach {
    Untouched,
    Reached,
}

/// Why a run gave no stream, or its stream broke off.
struct RunFault {
    report: RunReport,
    reached: EndpointReach,
    reason: RetryReason,
    /// An answer that may be passed on if the request is not repeated.
    answer: Option<WholeAnswer>,
}

impl RunFault {
    fn new(end: RunOutcome, reason: RetryReason) -> Self {
        Self {
            report: RunReport::new(end),
            reached: if end == RunOutcome::NotConnected {
                EndpointReach::Untouched
            } else {
                EndpointReach::Reached
            },
            reason,
            answer: None,
        }
    }

    /// Whether the request may have run.
    fn ran(&self) -> bool {
        !matches!(
            self.report.outcome,
            RunOutcome::NotConnected | RunOutcome::Refused
        )
    }
}

/// A run whose stream has begun.
struct StreamRun {
    guard: RunGuard,
    stream: EventStream,
    /// Released when the run ends.
    _memory: Option<MemoryHold>,
}

/// The head of a stream that has begun.
pub(crate) struct StreamHead {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
}

/// One caller's stream over all its runs.
///
/// Invariant: the caller gets every event once and in order; an event that came already is left
/// out, and a run that would begin anywhere else than after the last event is not joined on.
pub(crate) struct StreamSession {
    core: Rc<RelayCore>,
    request: Rc<RelayRequest>,
    run: Option<StreamRun>,
    last_event: Option<String>,
    excluded: Vec<EndpointId>,
    tries: u32,
    runs: u32,
    retry: Option<RetryReason>,
    patience: StreamPatience,
}

/// What is done about a silent run. An endpoint's silence is no reason to end an answer: a run is
/// only left once another has begun.
#[derives::tag]
enum StreamPatience {
    /// Another place is looked for.
    Replace,
    /// None was found; the run is waited for.
    Wait,
}

/// What comes next in a stream.
pub(crate) enum StreamStep {
    /// An event for the caller.
    Event(Bytes),
    /// The stream is whole.
    Whole,
    /// It cannot go on.
    Failed(UnfinishedReason),
}

/// What a request for a stream got.
pub(crate) enum StreamStart {
    /// A stream.
    Begun(StreamHead),
    /// An answer of another kind.
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
            patience: StreamPatience::Replace,
        }
    }

    pub(crate) fn core(&self) -> &RelayCore {
        &self.core
    }

    pub(crate) fn request(&self) -> &RelayRequest {
        &self.request
    }

    /// Finds a place and waits for the first event.
    pub(crate) async fn start(&mut self) -> Result<StreamStart, RelayFailure> {
        loop {
            let (guard, grant) = self.find_place().await?;
            if self.core.is_departed(&grant.host.endpoint) {
                // The steward has not heard yet that the endpoint leaves.
                guard.report(RunReport::new(RunOutcome::NotConnected));
                self.excluded.push(grant.host.endpoint.clone());
                self.tries += 1;
                if self.tries >= MOST_TRIES {
                    return Err(self.final_failure(&RunReport::new(RunOutcome::NotConnected)));
                }
                continue;
            }
            match self.try_run(guard, &grant).await {
                Ok((run, head)) => {
                    self.run = Some(run);
                    return Ok(StreamStart::Begun(head));
                }
                Err(fault) => {
                    if let Some(answer) = self.note_fault(fault, &grant)? {
                        return Ok(StreamStart::Answered(answer));
                    }
                }
            }
        }
    }

    /// The next event, from another run if this one breaks off.
    pub(crate) async fn next(&mut self) -> StreamStep {
        loop {
            let bound = self.silence_bound();
            let Some(run) = &mut self.run else {
                return StreamStep::Failed(UnfinishedReason::EndpointLost);
            };
            if let Some(bytes) = run.stream.events.pop_front() {
                let story = &self.request.story;
                story.events.set(story.events.get() + 1);
                return StreamStep::Event(bytes);
            }
            if run.stream.is_ended {
                run.guard.report(RunReport::new(RunOutcome::Served));
                self.run = None;
                return StreamStep::Whole;
            }
            let read = run.stream.read(&mut self.last_event);
            let fault = match tokio::time::timeout(bound, read).await {
                Ok(Ok(())) => continue,
                Ok(Err(fault)) => fault,
                Err(_) if self.request.time_left(self.core.now()) >= LEAST_TIME => {
                    self.replace_silent_run().await;
                    continue;
                }
                Err(_) => RunFault::new(RunOutcome::Silent, RetryReason::StreamSilent),
            };
            if let Some(failed) = self.go_on_elsewhere(fault).await {
                return StreamStep::Failed(failed);
            }
        }
    }

    /// Replaces a run that is silent, if there is another place at once; otherwise it is waited for.
    async fn replace_silent_run(&mut self) {
        self.patience = StreamPatience::Wait;
        if self.last_event.is_none() {
            return;
        }
        if let Some(endpoint) = self.request.story.endpoints.borrow().last() {
            self.excluded.push(endpoint.clone());
        }
        self.note_retry(RetryReason::StreamSilent);
        let asked = tokio::time::timeout(PLACE_TIME, self.find_place()).await;
        let Ok(Ok((guard, grant))) = asked else {
            return;
        };
        let Ok((run, head)) = self.try_run(guard, &grant).await else {
            return;
        };
        if head.status != StatusCode::OK {
            return;
        }
        self.runs += 1;
        if let Some(silent) = self.run.replace(run) {
            silent.guard.report(RunReport::new(RunOutcome::Silent));
        }
    }

    /// Replaces a run that broke off; says why if that cannot be.
    async fn go_on_elsewhere(&mut self, fault: RunFault) -> Option<UnfinishedReason> {
        if let Some(run) = self.run.take() {
            run.guard.report(fault.report.clone());
        }
        if self.request.time_left(self.core.now()) < LEAST_TIME {
            return Some(UnfinishedReason::DeadlinePassed);
        }
        let can_repeat = self.request.admitted.route.repeat == RepeatRule::Repeatable
            && self.runs < self.request.admitted.route.attempts
            && self.last_event.is_some();
        if !can_repeat {
            return Some(UnfinishedReason::EndpointLost);
        }
        if let Some(endpoint) = self.request.story.endpoints.borrow().last() {
            self.excluded.push(endpoint.clone());
        }
        self.note_retry(fault.reason);
        match Box::pin(self.start()).await {
            Ok(StreamStart::Begun(head)) if head.status == StatusCode::OK => None,
            Err(RelayFailure::Unfinished(reason)) => Some(reason),
            Err(RelayFailure::NotRun(refusal)) if refusal.reason == RefusalReason::RetryBudget => {
                Some(UnfinishedReason::RetryBudget)
            }
            Ok(_) | Err(_) => Some(UnfinishedReason::EndpointLost),
        }
    }

    /// Longest silence between events before another place is looked for.
    fn silence_bound(&self) -> Duration {
        let route = &self.request.admitted.route;
        let left = self.request.time_left(self.core.now());
        let silence = (route.pause_aim * SILENT_PAUSES).max(SHORTEST_SILENCE);
        let has_other = self.patience == StreamPatience::Replace
            && self.runs + 1 < route.attempts
            && route.repeat == RepeatRule::Repeatable;
        // Without another attempt there is nothing better than to wait.
        Duration::from_millis(if has_other { silence.min(left) } else { left })
    }

    async fn find_place(&mut self) -> Result<(RunGuard, PlacementGrant), RelayFailure> {
        let now = self.core.now();
        let left = self.request.time_left(now);
        if left < LEAST_TIME {
            return Err(self.deadline_failure());
        }
        let guard = RunGuard::new(&self.core);
        let work = self.work_ask(now, left);
        let asked = self.core.desk().ask(guard.number, work);
        let verdict = tokio::time::timeout(Duration::from_millis(left), asked).await;
        let waited = self.core.now().saturating_sub(now);
        let story = &self.request.story;
        story.queued.set(story.queued.get() + waited);
        match verdict {
            Err(_) => Err(self.deadline_failure()),
            Ok(PlacementDecision::Refused(_)) if self.runs > 0 => {
                Err(RelayFailure::Unfinished(UnfinishedReason::EndpointLost))
            }
            Ok(PlacementDecision::Refused(refusal)) => Err(RelayFailure::NotRun(refusal)),
            Ok(PlacementDecision::Granted(grant)) => Ok((guard, grant)),
        }
    }

    fn deadline_failure(&self) -> RelayFailure {
        if self.runs > 0 {
            return RelayFailure::Unfinished(UnfinishedReason::DeadlinePassed);
        }
        RelayFailure::not_run(RefusalReason::DeadlinePassed, UNREACHED_RETURN)
    }

    fn work_ask(&self, now: Millis, left: Millis) -> PlacementRequest {
        let request = &self.request;
        let route = &request.admitted.route;
        let size = request.head.prompt.clone().unwrap_or(USUAL_PROMPT);
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

    async fn try_run(
        &mut self,
        guard: RunGuard,
        grant: &PlacementGrant,
    ) -> Result<(StreamRun, StreamHead), RunFault> {
        let request = Rc::clone(&self.request);
        let story = &request.story;
        let endpoints = &story.endpoints;
        endpoints.borrow_mut().push(grant.host.endpoint.clone());
        story
            .helpers
            .set(story.helpers.get().max(grant.helpers.len()));
        story.expected.set(grant.expected_first);
        self.tries += 1;
        self.log_shared_place(grant);
        let bound = self.first_event_bound(grant);
        let reserved = self.reserve(&guard, grant).await;
        let hold = match reserved {
            Ok(hold) => hold,
            Err(fault) => {
                guard.report(fault.report.clone());
                return Err(fault);
            }
        };
        let opened = tokio::time::timeout(bound, self.open_run(grant, hold.as_ref())).await;
        let opened = opened.unwrap_or_else(|_| {
            let fault = RunFault::new(RunOutcome::Silent, RetryReason::StreamSilent);
            Err(fault)
        });
        match opened {
            Ok((stream, head)) => {
                self.core.desk().first_event(guard.number);
                let run = StreamRun {
                    guard,
                    stream,
                    _memory: hold,
                };
                Ok((run, head))
            }
            Err(fault) => {
                guard.report(fault.report.clone());
                Err(fault)
            }
        }
    }

    /// Logs a place whose engines share the reading; others stand in the line at the request's end.
    fn log_shared_place(&self, grant: &PlacementGrant) {
        if grant.helpers.is_empty() {
            return;
        }
        let helpers = grant.helpers.iter();
        let names: Vec<&str> = helpers
            .map(|helper| helper.target.endpoint.as_str())
            .collect();
        spdlog::info!("placed", kv: {
            request = self.request.head.request.as_str(),
            host = grant.host.endpoint.as_str(),
            helpers = names.join(",").as_str(),
            reserved = grant.helpers.iter().map(|helper| helper.reserved_tokens).sum::<u64>(),
            expected = grant.expected_first,
            queued = self.request.story.queued.get(),
        });
    }

    /// Reserves memory on helpers, if the prompt needs it.
    async fn reserve(
        &self,
        guard: &RunGuard,
        grant: &PlacementGrant,
    ) -> Result<Option<MemoryHold>, RunFault> {
        let helpers = &grant.helpers;
        if helpers.iter().all(|helper| helper.reserved_tokens == 0) {
            return Ok(None);
        }
        let id = self.core.reservation_id(guard.number);
        let hold_time = self.core.hold_time();
        let held = MemoryHold::reserve(self.core.memory(), &id, helpers, hold_time).await;
        held.map(Some).map_err(|address| {
            spdlog::info!("memory not reserved", kv: {
                request = self.request.head.request.as_str(),
                id = id.as_str(),
                address: = address,
            });
            let mut fault = RunFault::new(RunOutcome::Refused, RetryReason::EndpointRefused);
            fault.report = fault.report.with_fault_at(Some(address));
            fault.reached = EndpointReach::Untouched;
            fault
        })
    }

    /// Longest time until the first event.
    fn first_event_bound(&self, grant: &PlacementGrant) -> Duration {
        let route = &self.request.admitted.route;
        let left = self.request.time_left(self.core.now());
        let bound = grant.expected_first * 3 + FIRST_EVENT_SLACK;
        let has_other = self.runs + 1 < route.attempts && route.repeat == RepeatRule::Repeatable;
        Duration::from_millis(if has_other { bound.min(left) } else { left })
    }

    async fn open_run(
        &mut self,
        grant: &PlacementGrant,
        hold: Option<&MemoryHold>,
    ) -> Result<(EventStream, StreamHead), RunFault> {
        let answer = self.send(grant, hold).await?;
        let (body, head) = self.check_head(answer).await?;
        let mut stream = EventStream::new(body);
        while stream.events.is_empty() && !stream.is_ended {
            stream.read(&mut self.last_event).await?;
        }
        Ok((stream, head))
    }

    async fn send(
        &self,
        grant: &PlacementGrant,
        hold: Option<&MemoryHold>,
    ) -> Result<LinkAnswer, RunFault> {
        let request = &self.request;
        let helpers = grant.helpers.iter().map(|helper| ForwardHelper {
            address: helper.target.address,
            reservation: hold.and_then(|hold| hold.id_at(helper.target.address)),
        });
        let helpers: Vec<ForwardHelper> = helpers.collect();
        let head = ForwardHead {
            endpoint: &grant.host.endpoint,
            time_left: request.time_left(self.core.now()),
            account: request.admitted.account.as_ref(),
            helpers: &helpers,
            resume_after: self.last_event.as_deref(),
        };
        let call = ForwardCall {
            address: grant.host.address,
            method: request.method.as_str(),
            target: &request.target,
            headers: request.forward_headers(self.core.dialect(), &head),
            body: request.body.clone(),
            repeat: request.admitted.route.repeat,
        };
        let sent = self.core.links().send(call).await;
        sent.map_err(|fault| {
            let (end, reason) = exchange_end(fault);
            RunFault::new(end, reason)
        })
    }

    /// Tells the beginning of this request's stream from anything else that came.
    async fn check_head(&self, answer: LinkAnswer) -> Result<(LinkBody, StreamHead), RunFault> {
        let head = self.core.dialect().read_answer(&answer.headers);
        let status = answer.status;
        if head.statement == RunStatement::NotRun && !status.is_success() {
            // An endpoint that names another could not reach it.
            let end = match head.at_fault {
                Some(_) => RunOutcome::NotConnected,
                None => RunOutcome::Refused,
            };
            let mut fault = RunFault::new(end, RetryReason::EndpointRefused);
            fault.reached = EndpointReach::Reached;
            fault.report = fault.report.with_fault_at(head.at_fault);
            return Err(fault);
        }
        let is_ours = head.request.as_deref() == Some(self.request.head.request.as_str());
        if !is_ours || head.signed == AnswerSignature::Unsigned {
            return Err(RunFault::new(
                RunOutcome::Broken,
                RetryReason::FrameRejected,
            ));
        }
        let mut headers = answer.headers;
        strip_connection_headers(&mut headers);
        if status.is_success() {
            return Ok((answer.body, StreamHead { status, headers }));
        }
        let largest = self.request.catalog.bounds().body_bytes;
        let body = answer.body.read_whole(largest).await;
        let mut fault = RunFault::new(RunOutcome::Failed, RetryReason::EndpointRefused);
        fault.answer = body.ok().map(|body| WholeAnswer {
            status,
            headers,
            body,
        });
        Err(fault)
    }

    /// Counts a failed run; an answer or an error means that there is no other attempt.
    fn note_fault(
        &mut self,
        fault: RunFault,
        grant: &PlacementGrant,
    ) -> Result<Option<WholeAnswer>, RelayFailure> {
        let ran = fault.ran();
        if ran {
            self.runs += 1;
        }
        let route = &self.request.admitted.route;
        let can_repeat =
            !ran || (route.repeat == RepeatRule::Repeatable && self.runs < route.attempts);
        if !can_repeat || self.tries >= MOST_TRIES {
            if let Some(answer) = fault.answer
                && self.last_event == self.request.head.resume_after
            {
                return Ok(Some(answer));
            }
            return Err(self.final_failure(&fault.report));
        }
        if fault.report.at_fault.is_none() {
            self.excluded.push(grant.host.endpoint.clone());
        }
        if fault.reached == EndpointReach::Untouched {
            self.core.log_retry(&self.request, fault.reason);
        } else {
            self.note_retry(fault.reason);
        }
        Ok(None)
    }

    fn final_failure(&self, report: &RunReport) -> RelayFailure {
        if self.request.time_left(self.core.now()) < LEAST_TIME {
            return self.deadline_failure();
        }
        if self.runs > 0 {
            return RelayFailure::Unfinished(UnfinishedReason::EndpointLost);
        }
        let reason = match report.outcome {
            RunOutcome::Refused => RefusalReason::Overloaded,
            _ => RefusalReason::NoEndpoint,
        };
        RelayFailure::not_run(reason, UNREACHED_RETURN)
    }

    fn note_retry(&mut self, reason: RetryReason) {
        let story = &self.request.story;
        story.retries.set(story.retries.get() + 1);
        self.retry = Some(reason);
        self.core.log_retry(&self.request, reason);
    }
}

/// The events of one run.
struct EventStream {
    body: LinkBody,
    splitter: EventSplitter,
    events: VecDeque<Bytes>,
    is_ended: bool,
}

impl EventStream {
    fn new(body: LinkBody) -> Self {
        Self {
            body,
            splitter: EventSplitter::new(),
            events: VecDeque::new(),
            is_ended: false,
        }
    }

    /// Reads on; events up to `last_event` are left out.
    async fn read(&mut self, last_event: &mut Option<String>) -> Result<(), RunFault> {
        let broken = |reason| RunFault::new(RunOutcome::Broken, reason);
        match self.body.next_piece().await {
            BodyPiece::Bytes(bytes) => self
                .splitter
                .push(&bytes)
                .map_err(|_| broken(RetryReason::FrameRejected))?,
            BodyPiece::End if self.splitter.is_empty() => self.is_ended = true,
            BodyPiece::End | BodyPiece::Broken => return Err(broken(RetryReason::StreamClosed)),
        }
        while let Some(event) = self.splitter.next_event() {
            if let Some(id) = event.id {
                let is_known = last_event.as_ref().is_some_and(|last| !is_after(&id, last));
                if is_known {
                    continue;
                }
                *last_event = Some(id);
            }
            self.events.push_back(event.bytes);
        }
        Ok(())
    }
}
