//! Why a run failed.

use policy::dispatch::placement::{RunOutcome, RunReport};
use policy::outcome::RetryReason;

use crate::answer::WholeAnswer;

/// Whether an endpoint may have received the request. An undelivered request can be sent elsewhere
/// without repeating anything.
#[derives::tag]
pub(super) enum RequestDelivery {
    Undelivered,
    Delivered,
}

/// Why a run produced no stream, or why its stream broke off.
pub(super) struct RunError {
    pub(super) report: RunReport,
    pub(super) delivery: RequestDelivery,
    pub(super) reason: RetryReason,
    /// Answer for the caller in case the request is not retried.
    pub(super) answer: Option<WholeAnswer>,
}

impl RunError {
    pub(super) fn new(outcome: RunOutcome, reason: RetryReason) -> Self {
        Self {
            report: RunReport::new(outcome),
            delivery: if matches!(outcome, RunOutcome::NotConnected | RunOutcome::NoPath) {
                RequestDelivery::Undelivered
            } else {
                RequestDelivery::Delivered
            },
            reason,
            answer: None,
        }
    }

    /// Whether the request may have run.
    pub(super) fn may_have_run(&self) -> bool {
        !matches!(
            self.report.outcome,
            RunOutcome::NotConnected | RunOutcome::NoPath | RunOutcome::Refused
        )
    }
}
