//! How fast large prompts leave the queue.
//!
//! A large prompt waits for memory that is free in one piece, which the queue's work does not
//! tell. The pace at which such prompts have been granted does.

use std::collections::HashSet;

use super::ask::TicketId;
use crate::ids::Millis;

/// Weight of the newest interval in the mean, as one in this many.
const INTERVAL_SAMPLES: u64 = 8;

/// The waiting large prompts and the mean interval between two of their grants.
#[derive(Debug, Default)]
pub(super) struct GrantPace {
    waiting: HashSet<TicketId>,
    /// When the last one was granted, or when the first of those that wait came.
    since: Millis,
    interval: Option<Millis>,
}

impl GrantPace {
    /// Counts a large prompt that begins to wait.
    pub(super) fn wait(&mut self, ticket: TicketId, now: Millis) {
        if self.waiting.is_empty() {
            self.since = now;
        }
        self.waiting.insert(ticket);
    }

    /// Counts the grant of a prompt that waited; others are ignored.
    pub(super) fn granted(&mut self, ticket: TicketId, now: Millis) {
        if !self.waiting.remove(&ticket) {
            return;
        }
        let sample = now.saturating_sub(self.since);
        self.since = now;
        self.interval = Some(match self.interval {
            Some(mean) => (mean * (INTERVAL_SAMPLES - 1) + sample) / INTERVAL_SAMPLES,
            None => sample,
        });
    }

    /// Forgets a prompt that waits no longer.
    pub(super) fn forget(&mut self, ticket: TicketId) {
        self.waiting.remove(&ticket);
    }

    /// Milliseconds that one more large prompt would wait.
    pub(super) fn expected_wait(&self) -> Millis {
        let ahead = u64::try_from(self.waiting.len()).unwrap_or(u64::MAX);
        ahead.saturating_mul(self.interval.unwrap_or(0))
    }
}
