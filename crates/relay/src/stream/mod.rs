//! Streamed answers of model engines. Events are forwarded as they arrive; if an engine fails, the
//! stream is resumed on another one.

mod event_stream;
mod first_event;
mod host_watch;
mod placing;
mod run_error;
mod run_guard;
mod running;

use std::rc::Rc;
use std::time::Duration;

use ntex::http::{HeaderMap, StatusCode};
use ntex::util::Bytes;
use policy::catalog::RepeatRule;
use policy::dispatch::placement::{EndpointTarget, PlacementGrant, RunOutcome, RunReport};
use policy::ids::{EndpointId, Millis};
use policy::outcome::{RefusalReason, RetryReason, UnfinishedReason};
use tokio::time::Instant;

use self::event_stream::EventStream;
use self::host_watch::{HostSilence, wait_for_host};
use self::run_error::{RequestDelivery, RunError};
use self::run_guard::RunGuard;
use crate::answer::{RelayFailure, WholeAnswer};
use crate::core::RelayCore;
use crate::endpoint_gate::GateRefusal;
use crate::request::RelayRequest;
use crate::reservation::MemoryReservation;

/// Largest number of placements tried for one request, including endpoints that could not be
/// reached.
const MAX_TRIES: u32 = 5;

/// Least time left with which a request is still sent, in milliseconds.
const MIN_TIME_LEFT: Millis = 30;

/// Shortest silence between events after which a run is replaced, in milliseconds.
const MIN_SILENCE_TIMEOUT: Millis = 1_000;

/// Silence between events after which the host is checked for the first time.
const FIRST_HOST_CHECK: Duration = Duration::from_millis(1_500);

/// Silence after which a run is replaced, as a multiple of the pause target.
const SILENCE_PAUSE_TARGETS: Millis = 3;

/// Longest wait for a placement that replaces a silent run.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_millis(200);

/// Retry-after of a request whose endpoints could not be reached, in milliseconds.
const UNREACHABLE_RETRY_AFTER: Millis = 500;

/// A run whose stream has begun.
struct StreamRun {
    guard: RunGuard,
    /// Host of the run.
    host: EndpointTarget,
    stream: EventStream,
    /// Held so that the reservation is released when the run ends.
    reservation: Option<MemoryReservation>,
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
    /// Number of runs that have ended without the whole stream, or were replaced.
    runs: u32,
    retry: Option<RetryReason>,
    silence_policy: SilencePolicy,
    /// Begin of the last silence; connections that were last heard from before it are not used.
    heard_after: Option<Instant>,
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
    /// Events for the caller, which have arrived together.
    Events(Bytes),
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
            heard_after: None,
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
            // The dispatcher does not know yet that an endpoint is leaving, nor that it wants no
            // requests from this instance.
            if let Some((closed, refusal)) = self.closed_engine(&grant) {
                let outcome = match refusal {
                    GateRefusal::Departed => RunOutcome::NotConnected,
                    GateRefusal::Held | GateRefusal::Doubted | GateRefusal::Evacuated => {
                        RunOutcome::NoPath
                    }
                };
                let report = RunReport::new(outcome);
                guard.report(report.with_fault_at(Some(closed.address)));
                self.exclude_closed(&closed.endpoint, refusal);
                self.tries += 1;
                if self.tries >= MAX_TRIES {
                    return Err(self.final_failure(&RunReport::new(outcome)));
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

    /// The next event; if the run breaks off, the stream is resumed in another run.
    pub(crate) async fn next(&mut self) -> StreamStep {
        loop {
            let timeout = self.silence_timeout();
            let may_replace = self.may_replace_lost_host();
            let Some(run) = &mut self.run else {
                return StreamStep::Failed(UnfinishedReason::EndpointLost);
            };
            if let Some((count, bytes)) = run.stream.take_events() {
                let trace = &self.request.trace;
                trace.events.set(trace.events.get() + count);
                return StreamStep::Events(bytes);
            }
            if run.stream.is_ended {
                run.guard.report(RunReport::new(RunOutcome::Served));
                self.core.run_served(&self.request);
                self.run = None;
                return StreamStep::Whole;
            }
            let read = run.stream.read(&mut self.last_event);
            let first_check = if may_replace || run.reservation.is_some() {
                FIRST_HOST_CHECK
            } else {
                timeout
            };
            let waited = wait_for_host(&self.core, &run.host, timeout, first_check, read);
            let error = match waited.await {
                Ok(Ok(())) => {
                    run.guard.heard(run.stream.events.len());
                    continue;
                }
                Ok(Err(error)) => error,
                Err(HostSilence::TimedOut)
                    if self.request.time_left(self.core.now()) >= MIN_TIME_LEFT =>
                {
                    let host = run.host.clone();
                    let now = Instant::now();
                    self.silence_noticed(&host, now.checked_sub(timeout).unwrap_or(now));
                    self.replace_silent_run().await;
                    continue;
                }
                Err(HostSilence::HostLost) => {
                    let lost = run.host.endpoint.clone();
                    self.core.endpoint_gone(&lost);
                    RunError::new(RunOutcome::Silent, RetryReason::StreamSilent)
                }
                Err(HostSilence::TimedOut) => {
                    RunError::new(RunOutcome::Silent, RetryReason::StreamSilent)
                }
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
        // There is only one try, which a dispatcher that does not know of an evacuation would waste.
        self.exclude_evacuated();
        self.record_retry(RetryReason::StreamSilent);
        let requested = tokio::time::timeout(REPLACEMENT_TIMEOUT, self.request_placement()).await;
        let Ok(Ok((guard, grant))) = requested else {
            return;
        };
        if self.closed_engine(&grant).is_some() {
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
            self.report_failure(&silent.guard, &silent.host.endpoint, &error);
        }
    }

    /// Resumes the stream in another run after a failure; returns the reason if that is not
    /// possible.
    async fn fail_over(&mut self, error: RunError) -> Option<UnfinishedReason> {
        if let Some(run) = self.run.take() {
            self.runs += 1;
            self.report_failure(&run.guard, &run.host.endpoint, &error);
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

    /// Whether another run may replace that of a lost host. A host that is presumed lost may still be
    /// writing, for example if its entry has expired, and a stream that cannot be resumed has no other
    /// source.
    fn may_replace_lost_host(&self) -> bool {
        self.request.admitted.route.repeat == RepeatRule::Repeatable
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
        let trace = &self.request.trace;
        trace.may_have_run.set(self.runs > 0);
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
        if self.evacuated_engine(grant).is_some() {
            self.exclude_evacuated();
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
