//! State machine of one model request: grants, attempts, resumption and the final outcome.
//!
//! The adapter that drives the state machine reports each [`FlowEvent`] and carries out the
//! returned [`FlowStep`] until it is `Finish`.

use crate::frame::{FrameCheck, FrameHeader, FrameKind};
use crate::ids::{AttemptId, EndpointId, Millis, RequestId};
use crate::outcome::{Refusal, RefusalReason, RequestOutcome, RetryReason, UnfinishedReason};
use crate::retry::RetryDecision;

/// An event that concerns the request.
#[derives::value]
pub enum FlowEvent {
    /// The steward granted an endpoint.
    Granted(EndpointId),
    /// The steward refused the grant request.
    GrantRefused(Refusal),
    /// No connection could be established; no byte was sent.
    ConnectFailed,
    /// The endpoint refused the attempt before starting it.
    EndpointRefused,
    /// A frame of the answer arrived.
    Frame(FrameHeader),
    /// The stream closed before its end frame.
    StreamClosed,
    /// No frame arrived within the progress timeout.
    StreamSilent,
    /// The endpoint answered a probe with its uptime in milliseconds.
    Probed(Millis),
    /// The endpoint did not answer a probe on a new connection.
    ProbeFailed,
    /// The request's deadline passed.
    DeadlineReached,
    /// The caller closed its connection.
    CallerGone,
}

/// What to do next.
#[derives::value]
pub enum FlowStep {
    /// Request a grant from the steward.
    RequestGrant {
        /// Endpoints on which earlier attempts failed; the grant must not use them.
        excluded: Vec<EndpointId>,
    },
    /// Release the grant, then request one on another endpoint.
    FailOver {
        /// Why the attempt failed.
        reason: RetryReason,
        /// What the failure says about its endpoint.
        evidence: EndpointEvidence,
        /// Endpoints on which earlier attempts failed; the new grant must not use them.
        excluded: Vec<EndpointId>,
    },
    /// Open a stream on a new connection.
    Open {
        /// The endpoint to connect to.
        endpoint: EndpointId,
        /// The attempt id that every frame must echo.
        attempt: AttemptId,
        /// Offset of the first token that the caller has not received.
        offset: u64,
    },
    /// Ask the endpoint for its uptime on a new connection.
    Probe {
        /// The endpoint to probe.
        endpoint: EndpointId,
    },
    /// Forward the frame to the caller and read the next one.
    Deliver,
    /// Forward the frame to the caller; the answer is complete.
    DeliverLast,
    /// End the request with this outcome.
    Finish(RequestOutcome),
}

/// What a failed attempt says about its endpoint.
#[derives::tag]
pub enum EndpointEvidence {
    /// Nothing; the endpoint may take other work.
    None,
    /// The endpoint cannot be reached or makes no progress.
    Unreachable,
    /// The endpoint crashed while the request ran on it.
    Crashed,
}

/// Decides whether the retry budgets allow another attempt.
pub trait RetryLimiter {
    /// Charges one retry to the budgets of the account and of `endpoint`.
    fn retry(&mut self, endpoint: &EndpointId, reason: RetryReason) -> RetryDecision;
}

#[derives::tag]
enum ExecutionState {
    NotRun,
    MayHaveRun,
}

#[derives::value]
struct OpenAttempt {
    endpoint: EndpointId,
    since: Millis,
    check: FrameCheck,
}

#[derives::value]
enum FlowPhase {
    AwaitingGrant,
    Streaming(OpenAttempt),
    /// The stream failed for this reason; its endpoint is being probed.
    Probing(OpenAttempt, RetryReason),
    Finished,
}

/// Consecutive stream failures without progress that an endpoint may have before the request fails
/// over.
const MAX_FAILURES_WITHOUT_PROGRESS: u32 = 2;

/// State machine of one model request.
///
/// Invariants: the outcome is `NotRun` only if no attempt can have run on an endpoint; every token
/// is delivered exactly once; an attempt number is never reused.
#[derives::value]
pub struct RequestFlow {
    request: RequestId,
    phase: FlowPhase,
    attempts: u32,
    offset: u64,
    execution: ExecutionState,
    failures: u32,
    excluded: Vec<EndpointId>,
}

impl RequestFlow {
    /// Creates the state machine of a request without attempts.
    #[must_use]
    pub fn new(request: RequestId) -> Self {
        Self {
            request,
            phase: FlowPhase::AwaitingGrant,
            attempts: 0,
            offset: 0,
            execution: ExecutionState::NotRun,
            failures: 0,
            excluded: Vec::new(),
        }
    }

    /// The first step.
    #[must_use]
    pub fn start(&self) -> FlowStep {
        FlowStep::RequestGrant {
            excluded: Vec::new(),
        }
    }

    /// Number of tokens delivered to the caller.
    #[must_use]
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Number of attempts opened.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Applies an event and returns the next step.
    ///
    /// An event that does not fit the current phase belongs to an abandoned attempt. It ends the
    /// request as unfinished, because nothing certain can be said about the answer.
    pub fn on_event(
        &mut self,
        event: FlowEvent,
        now: Millis,
        limiter: &mut dyn RetryLimiter,
    ) -> FlowStep {
        match event {
            FlowEvent::DeadlineReached => return self.on_deadline(),
            FlowEvent::CallerGone => return self.unfinished(UnfinishedReason::CallerGone),
            _ => {}
        }
        match std::mem::replace(&mut self.phase, FlowPhase::Finished) {
            FlowPhase::AwaitingGrant => self.on_grant(event, now),
            FlowPhase::Streaming(open) => self.on_stream(open, event, limiter),
            FlowPhase::Probing(open, reason) => self.on_probe(open, reason, &event, now, limiter),
            FlowPhase::Finished => self.unfinished(UnfinishedReason::EndpointLost),
        }
    }

    fn on_grant(&mut self, event: FlowEvent, now: Millis) -> FlowStep {
        match event {
            FlowEvent::Granted(endpoint) => self.open(endpoint, now),
            FlowEvent::GrantRefused(refusal) => self.give_up(refusal),
            _ => self.unfinished(UnfinishedReason::EndpointLost),
        }
    }

    fn open(&mut self, endpoint: EndpointId, now: Millis) -> FlowStep {
        self.attempts += 1;
        let attempt = AttemptId {
            request: self.request,
            number: self.attempts,
        };
        self.phase = FlowPhase::Streaming(OpenAttempt {
            endpoint: endpoint.clone(),
            since: now,
            check: FrameCheck::new(attempt, self.offset),
        });
        FlowStep::Open {
            endpoint,
            attempt,
            offset: self.offset,
        }
    }

    fn on_stream(
        &mut self,
        open: OpenAttempt,
        event: FlowEvent,
        limiter: &mut dyn RetryLimiter,
    ) -> FlowStep {
        match event {
            FlowEvent::Frame(header) => self.on_frame(open, &header, limiter),
            FlowEvent::ConnectFailed => {
                let evidence = EndpointEvidence::Unreachable;
                self.fail_over(open, RetryReason::ConnectFailed, evidence, limiter)
            }
            FlowEvent::EndpointRefused => {
                let evidence = EndpointEvidence::None;
                self.fail_over(open, RetryReason::EndpointRefused, evidence, limiter)
            }
            FlowEvent::StreamClosed => self.probe(open, RetryReason::StreamClosed),
            FlowEvent::StreamSilent => self.probe(open, RetryReason::StreamSilent),
            _ => self.unfinished(UnfinishedReason::EndpointLost),
        }
    }

    fn on_frame(
        &mut self,
        mut open: OpenAttempt,
        header: &FrameHeader,
        limiter: &mut dyn RetryLimiter,
    ) -> FlowStep {
        self.execution = ExecutionState::MayHaveRun;
        let Ok(kind) = open.check.accept(header) else {
            self.failures += 1;
            if self.failures > MAX_FAILURES_WITHOUT_PROGRESS {
                let evidence = EndpointEvidence::Unreachable;
                return self.fail_over(open, RetryReason::FrameRejected, evidence, limiter);
            }
            return self.resume(open, RetryReason::FrameRejected, limiter);
        };
        self.offset = open.check.offset();
        self.failures = 0;
        match kind {
            FrameKind::Part => {
                self.phase = FlowPhase::Streaming(open);
                FlowStep::Deliver
            }
            FrameKind::End => FlowStep::DeliverLast,
        }
    }

    fn probe(&mut self, open: OpenAttempt, reason: RetryReason) -> FlowStep {
        self.execution = ExecutionState::MayHaveRun;
        self.failures += 1;
        let endpoint = open.endpoint.clone();
        self.phase = FlowPhase::Probing(open, reason);
        FlowStep::Probe { endpoint }
    }

    fn on_probe(
        &mut self,
        open: OpenAttempt,
        reason: RetryReason,
        event: &FlowEvent,
        now: Millis,
        limiter: &mut dyn RetryLimiter,
    ) -> FlowStep {
        let elapsed = now.saturating_sub(open.since);
        match event {
            FlowEvent::Probed(uptime) if *uptime < elapsed => {
                self.fail_over(open, reason, EndpointEvidence::Crashed, limiter)
            }
            FlowEvent::Probed(_) if self.failures > MAX_FAILURES_WITHOUT_PROGRESS => {
                self.fail_over(open, reason, EndpointEvidence::Unreachable, limiter)
            }
            FlowEvent::Probed(_) => self.resume(open, reason, limiter),
            FlowEvent::ProbeFailed if reason == RetryReason::StreamClosed => {
                self.fail_over(open, reason, EndpointEvidence::Crashed, limiter)
            }
            _ => self.fail_over(open, reason, EndpointEvidence::Unreachable, limiter),
        }
    }

    fn resume(
        &mut self,
        open: OpenAttempt,
        reason: RetryReason,
        limiter: &mut dyn RetryLimiter,
    ) -> FlowStep {
        if limiter.retry(&open.endpoint, reason) == RetryDecision::Exhausted {
            return self.unfinished(UnfinishedReason::RetryBudget);
        }
        let since = open.since;
        self.open(open.endpoint, since)
    }

    fn fail_over(
        &mut self,
        open: OpenAttempt,
        reason: RetryReason,
        evidence: EndpointEvidence,
        limiter: &mut dyn RetryLimiter,
    ) -> FlowStep {
        self.failures = 0;
        let decision = limiter.retry(&open.endpoint, reason);
        self.excluded.push(open.endpoint);
        if decision == RetryDecision::Exhausted && evidence != EndpointEvidence::Crashed {
            return self.give_up(Refusal::new(RefusalReason::RetryBudget, BUDGET_RETRY_AFTER));
        }
        self.phase = FlowPhase::AwaitingGrant;
        FlowStep::FailOver {
            reason,
            evidence,
            excluded: self.excluded.clone(),
        }
    }

    /// Ends the request: with `refusal` if no attempt can have run, otherwise as unfinished.
    fn give_up(&mut self, refusal: Refusal) -> FlowStep {
        if self.execution == ExecutionState::NotRun {
            return self.finish(RequestOutcome::NotRun(refusal));
        }
        let reason = match refusal.reason {
            RefusalReason::DeadlinePassed | RefusalReason::DeadlineTooShort => {
                UnfinishedReason::DeadlinePassed
            }
            RefusalReason::RetryBudget => UnfinishedReason::RetryBudget,
            RefusalReason::Quarantined => UnfinishedReason::Quarantined,
            _ => UnfinishedReason::EndpointLost,
        };
        self.unfinished(reason)
    }

    fn on_deadline(&mut self) -> FlowStep {
        let is_open = matches!(self.phase, FlowPhase::Streaming(_) | FlowPhase::Probing(..));
        if is_open {
            return self.unfinished(UnfinishedReason::DeadlinePassed);
        }
        self.give_up(Refusal::new(RefusalReason::DeadlinePassed, 0))
    }

    fn unfinished(&mut self, reason: UnfinishedReason) -> FlowStep {
        self.finish(RequestOutcome::Unfinished(reason))
    }

    fn finish(&mut self, outcome: RequestOutcome) -> FlowStep {
        self.phase = FlowPhase::Finished;
        FlowStep::Finish(outcome)
    }
}

/// Retry-after of a request whose retry budget is exhausted, in milliseconds.
const BUDGET_RETRY_AFTER: Millis = 2_000;
