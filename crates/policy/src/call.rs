//! The life of one plain-service call, repeatable or not.

use crate::claim::{ClaimVerdict, KeptResult};
use crate::flow::RetryGate;
use crate::ids::{EndpointId, Millis};
use crate::outcome::{Refusal, RefusalReason, RequestOutcome, RetryReason, UnfinishedReason};
use crate::retry::RetryVerdict;
use crate::template::Repeatability;

/// What happened to the call.
#[derives::value]
pub enum CallEvent {
    /// The claim was settled.
    Claim(ClaimVerdict),
    /// The key-value service could not settle the claim in time.
    ClaimUnavailable,
    /// No connection could be made; no byte was sent.
    ConnectFailed,
    /// The whole answer arrived.
    Answered,
    /// The connection broke, or fell silent, after bytes may have been sent.
    ConnectionLost,
    /// The deadline has come.
    DeadlineReached,
}

/// What the adapter is to do next.
#[derives::value]
pub enum CallStep {
    /// Take the claim.
    TakeClaim,
    /// Send the call on a fresh connection.
    Send {
        /// Where.
        endpoint: EndpointId,
    },
    /// Store the answer with the claim, where there is one, and hand it to the caller.
    Deliver,
    /// Hand the first answer to the caller again.
    Replay(KeptResult),
    /// Give the claim back, since the call was never sent, then end with this refusal.
    ReleaseClaim(Refusal),
    /// End with this outcome.
    Finish(RequestOutcome),
}

#[derives::tag]
enum CallPhase {
    /// Nothing was sent and no claim is held.
    Unclaimed,
    /// The claim is ours and nothing was sent.
    Claimed,
    /// Bytes may have reached an endpoint.
    Sent,
}

/// The decisions of one plain-service call.
///
/// Invariants: a call that may not be repeated is sent only under its claim and at most once;
/// `NotRun` only while no byte can have reached an endpoint.
#[derives::value]
pub struct CallFlow {
    calls: Repeatability,
    endpoints: Vec<EndpointId>,
    next: usize,
    phase: CallPhase,
    may_have_run: RunHistory,
}

#[derives::tag]
enum RunHistory {
    Never,
    Perhaps,
}

/// When a caller refused for want of the platform may come back, in milliseconds.
const PLATFORM_RETRY: Millis = 2_000;

/// When a caller refused for want of an endpoint may come back, in milliseconds.
const ENDPOINT_RETRY: Millis = 1_000;

impl CallFlow {
    /// A call that may go to `endpoints`, the first of them first.
    #[must_use]
    pub fn new(calls: Repeatability, endpoints: Vec<EndpointId>) -> Self {
        Self {
            calls,
            endpoints,
            next: 0,
            phase: CallPhase::Unclaimed,
            may_have_run: RunHistory::Never,
        }
    }

    /// The first step.
    #[must_use]
    pub fn start(&mut self) -> CallStep {
        if self.endpoints.is_empty() {
            return self.refuse(RefusalReason::NoEndpoint, ENDPOINT_RETRY);
        }
        match self.calls {
            Repeatability::Once => CallStep::TakeClaim,
            Repeatability::Idempotent => self.send(),
        }
    }

    /// Takes an event and says what to do next.
    pub fn on_event(&mut self, event: CallEvent, gate: &mut dyn RetryGate) -> CallStep {
        match event {
            CallEvent::Claim(verdict) => self.on_claim(verdict),
            CallEvent::ClaimUnavailable => self.refuse(RefusalReason::PlatformDown, PLATFORM_RETRY),
            CallEvent::ConnectFailed => self.on_connect_failed(gate),
            CallEvent::Answered => CallStep::Deliver,
            CallEvent::ConnectionLost => self.on_connection_lost(gate),
            CallEvent::DeadlineReached => self.at_deadline(),
        }
    }

    fn on_claim(&mut self, verdict: ClaimVerdict) -> CallStep {
        match verdict {
            ClaimVerdict::Ours => {
                self.phase = CallPhase::Claimed;
                self.send()
            }
            ClaimVerdict::Done(result) => CallStep::Replay(result),
            ClaimVerdict::DoneNotKept => unfinished(UnfinishedReason::ResultNotKept),
            ClaimVerdict::Held => unfinished(UnfinishedReason::ClaimHeld),
            ClaimVerdict::Free => self.refuse(RefusalReason::PlatformDown, PLATFORM_RETRY),
        }
    }

    fn send(&mut self) -> CallStep {
        let Some(endpoint) = self.endpoints.get(self.next).cloned() else {
            return self.no_endpoint_left();
        };
        self.phase = CallPhase::Sent;
        CallStep::Send { endpoint }
    }

    fn on_connect_failed(&mut self, gate: &mut dyn RetryGate) -> CallStep {
        self.phase = match self.calls {
            Repeatability::Once => CallPhase::Claimed,
            Repeatability::Idempotent => CallPhase::Unclaimed,
        };
        self.try_next(RetryReason::ConnectFailed, gate)
    }

    fn on_connection_lost(&mut self, gate: &mut dyn RetryGate) -> CallStep {
        self.may_have_run = RunHistory::Perhaps;
        match self.calls {
            Repeatability::Once => unfinished(UnfinishedReason::ConnectionLost),
            Repeatability::Idempotent => self.try_next(RetryReason::StreamClosed, gate),
        }
    }

    fn try_next(&mut self, reason: RetryReason, gate: &mut dyn RetryGate) -> CallStep {
        let Some(failed) = self.endpoints.get(self.next).cloned() else {
            return self.no_endpoint_left();
        };
        self.next += 1;
        if self.next >= self.endpoints.len() {
            return self.no_endpoint_left();
        }
        if gate.retry(&failed, reason) == RetryVerdict::Spent {
            return self.refuse(RefusalReason::RetryBudget, ENDPOINT_RETRY);
        }
        self.send()
    }

    fn no_endpoint_left(&mut self) -> CallStep {
        self.refuse(RefusalReason::NoEndpoint, ENDPOINT_RETRY)
    }

    fn at_deadline(&mut self) -> CallStep {
        if self.phase == CallPhase::Sent {
            return unfinished(UnfinishedReason::DeadlinePassed);
        }
        self.refuse(RefusalReason::DeadlinePassed, 0)
    }

    /// Refuses if nothing can have run, giving back a claim that was not used.
    fn refuse(&mut self, reason: RefusalReason, retry_after: Millis) -> CallStep {
        if self.may_have_run == RunHistory::Perhaps {
            return unfinished(UnfinishedReason::ConnectionLost);
        }
        let refusal = Refusal::new(reason, retry_after);
        if self.phase == CallPhase::Claimed {
            return CallStep::ReleaseClaim(refusal);
        }
        CallStep::Finish(RequestOutcome::NotRun(refusal))
    }
}

fn unfinished(reason: UnfinishedReason) -> CallStep {
    CallStep::Finish(RequestOutcome::Unfinished(reason))
}
