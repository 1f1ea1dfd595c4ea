//! State machine of one plain-service call, idempotent or at-most-once.
//!
//! The adapter that drives the state machine reports each [`CallEvent`] and carries out the
//! returned [`CallStep`].

use crate::claim::{ClaimStatus, KeptResult};
use crate::flow::RetryLimiter;
use crate::ids::{EndpointId, Millis};
use crate::outcome::{Refusal, RefusalReason, RequestOutcome, RetryReason, UnfinishedReason};
use crate::retry::RetryDecision;
use crate::template::Repeatability;

/// An event that concerns the call.
#[derives::value]
pub enum CallEvent {
    /// The status of the claim is known.
    Claim(ClaimStatus),
    /// The key-value service did not answer the claim in time.
    ClaimUnavailable,
    /// No connection could be established; no byte was sent.
    ConnectFailed,
    /// The complete answer arrived.
    Answered,
    /// The connection closed or timed out after bytes may have been sent.
    ConnectionLost,
    /// The call's deadline passed.
    DeadlineReached,
}

/// What to do next.
#[derives::value]
pub enum CallStep {
    /// Claim the idempotency key.
    TakeClaim,
    /// Send the call on a new connection.
    Send {
        /// The endpoint to call.
        endpoint: EndpointId,
    },
    /// Store the answer with the claim, if there is one, and forward it to the caller.
    Deliver,
    /// Replay the stored answer of the first call.
    Replay(KeptResult),
    /// Release the claim, since the call was never sent, then end with this refusal.
    ReleaseClaim(Refusal),
    /// End the call with this outcome.
    Finish(RequestOutcome),
}

#[derives::tag]
enum CallPhase {
    /// No byte was sent and no claim is held.
    Unclaimed,
    /// This call holds the claim; no byte was sent.
    Claimed,
    /// Bytes may have reached an endpoint.
    Sent,
}

/// State machine of one plain-service call.
///
/// Invariants: a call that is not idempotent is sent at most once and only under its claim; the
/// outcome is `NotRun` only if no byte can have reached an endpoint.
#[derives::value]
pub struct CallFlow {
    repeatability: Repeatability,
    endpoints: Vec<EndpointId>,
    next_endpoint: usize,
    phase: CallPhase,
    execution: ExecutionState,
}

#[derives::tag]
enum ExecutionState {
    NotRun,
    MayHaveRun,
}

/// Retry-after of a call refused because the platform is unavailable, in milliseconds.
const PLATFORM_RETRY_AFTER: Millis = 2_000;

/// Retry-after of a call refused because no endpoint is available, in milliseconds.
const ENDPOINT_RETRY_AFTER: Millis = 1_000;

impl CallFlow {
    /// Creates a call that tries `endpoints` in order.
    #[must_use]
    pub fn new(repeatability: Repeatability, endpoints: Vec<EndpointId>) -> Self {
        Self {
            repeatability,
            endpoints,
            next_endpoint: 0,
            phase: CallPhase::Unclaimed,
            execution: ExecutionState::NotRun,
        }
    }

    /// The first step.
    #[must_use]
    pub fn start(&mut self) -> CallStep {
        if self.endpoints.is_empty() {
            return self.refuse(RefusalReason::NoEndpoint, ENDPOINT_RETRY_AFTER);
        }
        match self.repeatability {
            Repeatability::Once => CallStep::TakeClaim,
            Repeatability::Idempotent => self.send(),
        }
    }

    /// Applies an event and returns the next step.
    pub fn on_event(&mut self, event: CallEvent, limiter: &mut dyn RetryLimiter) -> CallStep {
        match event {
            CallEvent::Claim(status) => self.on_claim(status),
            CallEvent::ClaimUnavailable => {
                self.refuse(RefusalReason::PlatformDown, PLATFORM_RETRY_AFTER)
            }
            CallEvent::ConnectFailed => self.on_connect_failed(limiter),
            CallEvent::Answered => CallStep::Deliver,
            CallEvent::ConnectionLost => self.on_connection_lost(limiter),
            CallEvent::DeadlineReached => self.on_deadline(),
        }
    }

    fn on_claim(&mut self, status: ClaimStatus) -> CallStep {
        match status {
            ClaimStatus::Ours => {
                self.phase = CallPhase::Claimed;
                self.send()
            }
            ClaimStatus::Done(result) => CallStep::Replay(result),
            ClaimStatus::DoneNotKept => unfinished(UnfinishedReason::ResultNotKept),
            ClaimStatus::Held => unfinished(UnfinishedReason::ClaimHeld),
            ClaimStatus::Free => self.refuse(RefusalReason::PlatformDown, PLATFORM_RETRY_AFTER),
        }
    }

    fn send(&mut self) -> CallStep {
        let Some(endpoint) = self.endpoints.get(self.next_endpoint).cloned() else {
            return self.no_endpoint_left();
        };
        self.phase = CallPhase::Sent;
        CallStep::Send { endpoint }
    }

    fn on_connect_failed(&mut self, limiter: &mut dyn RetryLimiter) -> CallStep {
        self.phase = match self.repeatability {
            Repeatability::Once => CallPhase::Claimed,
            Repeatability::Idempotent => CallPhase::Unclaimed,
        };
        self.try_next(RetryReason::ConnectFailed, limiter)
    }

    fn on_connection_lost(&mut self, limiter: &mut dyn RetryLimiter) -> CallStep {
        self.execution = ExecutionState::MayHaveRun;
        match self.repeatability {
            Repeatability::Once => unfinished(UnfinishedReason::ConnectionLost),
            Repeatability::Idempotent => self.try_next(RetryReason::StreamClosed, limiter),
        }
    }

    fn try_next(&mut self, reason: RetryReason, limiter: &mut dyn RetryLimiter) -> CallStep {
        let Some(failed) = self.endpoints.get(self.next_endpoint).cloned() else {
            return self.no_endpoint_left();
        };
        self.next_endpoint += 1;
        if self.next_endpoint >= self.endpoints.len() {
            return self.no_endpoint_left();
        }
        if limiter.retry(&failed, reason) == RetryDecision::Exhausted {
            return self.refuse(RefusalReason::RetryBudget, ENDPOINT_RETRY_AFTER);
        }
        self.send()
    }

    fn no_endpoint_left(&mut self) -> CallStep {
        self.refuse(RefusalReason::NoEndpoint, ENDPOINT_RETRY_AFTER)
    }

    fn on_deadline(&mut self) -> CallStep {
        if self.phase == CallPhase::Sent {
            return unfinished(UnfinishedReason::DeadlinePassed);
        }
        self.refuse(RefusalReason::DeadlinePassed, 0)
    }

    /// Refuses the call if it cannot have run, releasing an unused claim; otherwise ends it as
    /// unfinished.
    fn refuse(&mut self, reason: RefusalReason, retry_after: Millis) -> CallStep {
        if self.execution == ExecutionState::MayHaveRun {
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
