//! The life of one model request: grants, attempts, resumption, and the one final outcome.
//!
//! The adapter reports what happened as a [`FlowEvent`] and carries out the [`FlowStep`] that
//! comes back, until it is `Finish`.

use crate::frame::{FrameCheck, FrameHead, FrameKind};
use crate::ids::{AttemptId, EndpointId, Millis, RequestId};
use crate::outcome::{Refusal, RefusalReason, RequestOutcome, RetryReason, UnfinishedReason};
use crate::retry::RetryVerdict;

/// What happened to the request.
#[derives::value]
pub enum FlowEvent {
    /// The steward granted an endpoint.
    Granted(EndpointId),
    /// The steward refused.
    GrantRefused(Refusal),
    /// No connection could be made; no byte was sent.
    ConnectFailed,
    /// The endpoint said that it refused before starting.
    EndpointRefused,
    /// A frame arrived.
    Frame(FrameHead),
    /// The stream closed before its end mark.
    StreamClosed,
    /// Nothing arrived within the progress timeout.
    StreamSilent,
    /// The endpoint answered a probe; it has been up for this many milliseconds.
    Probed(Millis),
    /// The endpoint did not answer a probe on a fresh connection.
    ProbeFailed,
    /// The deadline has come.
    DeadlineReached,
    /// The caller closed its connection.
    CallerGone,
}

/// What the adapter is to do next.
#[derives::value]
pub enum FlowStep {
    /// Ask the steward for an endpoint outside the list.
    AskGrant {
        /// Endpoints that were tried in vain.
        excluded: Vec<EndpointId>,
    },
    /// Return the grant after `reason`, then ask for another endpoint.
    Move {
        /// Why the attempt ended.
        reason: RetryReason,
        /// What the attempt tells of its endpoint.
        evidence: EndpointEvidence,
        /// Endpoints that were tried in vain.
        excluded: Vec<EndpointId>,
    },
    /// Open a stream on a fresh connection.
    Open {
        /// Where.
        endpoint: EndpointId,
        /// The id that every frame must echo.
        attempt: AttemptId,
        /// The first token that the caller lacks.
        offset: u64,
    },
    /// Ask the endpoint, on a fresh connection, how long it has been up.
    Probe {
        /// Which endpoint.
        endpoint: EndpointId,
    },
    /// Hand the frame to the caller and read on.
    Deliver,
    /// Hand the frame to the caller; the answer is whole.
    DeliverLast,
    /// End with this outcome.
    Finish(RequestOutcome),
}

/// What a failed attempt tells of its endpoint.
#[derives::tag]
pub enum EndpointEvidence {
    /// Nothing: it may take other work.
    None,
    /// A fresh connection failed too.
    Unreachable,
    /// It died while the request ran on it.
    Crashed,
}

/// Decides whether one more attempt may be sent to an endpoint.
pub trait RetryGate {
    /// Counts one retry against the budgets of the account and of `endpoint`.
    fn retry(&mut self, endpoint: &EndpointId, reason: RetryReason) -> RetryVerdict;
}

#[derives::tag]
enum RunKnowledge {
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
    /// The stream broke for this reason; its endpoint is being probed.
    Probing(OpenAttempt, RetryReason),
    Finished,
}

/// Streams on one endpoint that may break one after the other without progress in between.
const BREAKS_WITHOUT_PROGRESS: u32 = 2;

/// The decisions of one model request.
///
/// Invariants: `NotRun` only while no attempt can have reached an endpoint; no token is handed
/// on twice and none is left out; an attempt number is never used again.
#[derives::value]
pub struct RequestFlow {
    request: RequestId,
    phase: FlowPhase,
    attempts: u32,
    offset: u64,
    knowledge: RunKnowledge,
    breaks: u32,
    excluded: Vec<EndpointId>,
}

impl RequestFlow {
    /// A request that no attempt has been made at.
    #[must_use]
    pub fn new(request: RequestId) -> Self {
        Self {
            request,
            phase: FlowPhase::AwaitingGrant,
            attempts: 0,
            offset: 0,
            knowledge: RunKnowledge::NotRun,
            breaks: 0,
            excluded: Vec::new(),
        }
    }

    /// The first step.
    #[must_use]
    pub fn start(&self) -> FlowStep {
        FlowStep::AskGrant {
            excluded: Vec::new(),
        }
    }

    /// Tokens handed to the caller.
    #[must_use]
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Attempts opened.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Takes an event and says what to do next.
    ///
    /// An event that does not fit the present phase is late news of an attempt that has been
    /// given up; it ends the request truthfully rather than being guessed at.
    pub fn on_event(
        &mut self,
        event: FlowEvent,
        now: Millis,
        gate: &mut dyn RetryGate,
    ) -> FlowStep {
        match event {
            FlowEvent::DeadlineReached => return self.at_deadline(),
            FlowEvent::CallerGone => return self.unfinished(UnfinishedReason::CallerGone),
            _ => {}
        }
        match std::mem::replace(&mut self.phase, FlowPhase::Finished) {
            FlowPhase::AwaitingGrant => self.on_grant(event, now),
            FlowPhase::Streaming(open) => self.on_stream(open, event, gate),
            FlowPhase::Probing(open, reason) => self.on_probe(open, reason, &event, now, gate),
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
        gate: &mut dyn RetryGate,
    ) -> FlowStep {
        match event {
            FlowEvent::Frame(head) => self.on_frame(open, &head, gate),
            FlowEvent::ConnectFailed => {
                let evidence = EndpointEvidence::Unreachable;
                self.leave(open, RetryReason::ConnectFailed, evidence, gate)
            }
            FlowEvent::EndpointRefused => {
                let evidence = EndpointEvidence::None;
                self.leave(open, RetryReason::EndpointRefused, evidence, gate)
            }
            FlowEvent::StreamClosed => self.probe(open, RetryReason::StreamClosed),
            FlowEvent::StreamSilent => self.probe(open, RetryReason::StreamSilent),
            _ => self.unfinished(UnfinishedReason::EndpointLost),
        }
    }

    fn on_frame(
        &mut self,
        mut open: OpenAttempt,
        head: &FrameHead,
        gate: &mut dyn RetryGate,
    ) -> FlowStep {
        self.knowledge = RunKnowledge::MayHaveRun;
        let Ok(kind) = open.check.accept(head) else {
            self.breaks += 1;
            if self.breaks > BREAKS_WITHOUT_PROGRESS {
                let evidence = EndpointEvidence::Unreachable;
                return self.leave(open, RetryReason::FrameRejected, evidence, gate);
            }
            return self.reopen(open, RetryReason::FrameRejected, gate);
        };
        self.offset = open.check.offset();
        self.breaks = 0;
        match kind {
            FrameKind::Part => {
                self.phase = FlowPhase::Streaming(open);
                FlowStep::Deliver
            }
            FrameKind::End => FlowStep::DeliverLast,
        }
    }

    fn probe(&mut self, open: OpenAttempt, reason: RetryReason) -> FlowStep {
        self.knowledge = RunKnowledge::MayHaveRun;
        self.breaks += 1;
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
        gate: &mut dyn RetryGate,
    ) -> FlowStep {
        let elapsed = now.saturating_sub(open.since);
        match event {
            FlowEvent::Probed(uptime) if *uptime < elapsed => {
                self.leave(open, reason, EndpointEvidence::Crashed, gate)
            }
            FlowEvent::Probed(_) if self.breaks > BREAKS_WITHOUT_PROGRESS => {
                self.leave(open, reason, EndpointEvidence::Unreachable, gate)
            }
            FlowEvent::Probed(_) => self.reopen(open, reason, gate),
            FlowEvent::ProbeFailed if reason == RetryReason::StreamClosed => {
                self.leave(open, reason, EndpointEvidence::Crashed, gate)
            }
            _ => self.leave(open, reason, EndpointEvidence::Unreachable, gate),
        }
    }

    fn reopen(
        &mut self,
        open: OpenAttempt,
        reason: RetryReason,
        gate: &mut dyn RetryGate,
    ) -> FlowStep {
        if gate.retry(&open.endpoint, reason) == RetryVerdict::Spent {
            return self.unfinished(UnfinishedReason::RetryBudget);
        }
        let since = open.since;
        self.open(open.endpoint, since)
    }

    fn leave(
        &mut self,
        open: OpenAttempt,
        reason: RetryReason,
        evidence: EndpointEvidence,
        gate: &mut dyn RetryGate,
    ) -> FlowStep {
        self.breaks = 0;
        let verdict = gate.retry(&open.endpoint, reason);
        self.excluded.push(open.endpoint);
        if verdict == RetryVerdict::Spent && evidence != EndpointEvidence::Crashed {
            return self.give_up(Refusal::new(RefusalReason::RetryBudget, BUDGET_RETRY));
        }
        self.phase = FlowPhase::AwaitingGrant;
        FlowStep::Move {
            reason,
            evidence,
            excluded: self.excluded.clone(),
        }
    }

    /// Refuses if nothing can have run, and otherwise says that the answer is not whole.
    fn give_up(&mut self, refusal: Refusal) -> FlowStep {
        if self.knowledge == RunKnowledge::NotRun {
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

    fn at_deadline(&mut self) -> FlowStep {
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

/// When a caller whose retry budget is spent may come back, in milliseconds.
const BUDGET_RETRY: Millis = 2_000;
