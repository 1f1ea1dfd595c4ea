//! Estimate of how long large prompts wait in the queue.
//!
//! A large prompt waits until one endpoint has enough free memory, which the amount of queued work
//! does not predict. The interval between recent grants of such prompts does.

use std::collections::HashSet;

use super::grant::TicketId;
use crate::ids::Millis;

/// Inverse weight of the newest interval in the moving average.
const INTERVAL_SAMPLES: u64 = 8;

/// The waiting large prompts and the average interval between two of their grants.
#[derive(Debug, Default)]
pub(super) struct LargeGrants {
    waiting: HashSet<TicketId>,
    /// When the last large prompt was granted, or when the first waiting one was queued, if that is
    /// later.
    since: Millis,
    interval: Option<Millis>,
}

impl LargeGrants {
    /// Adds a large prompt that begins to wait.
    pub(super) fn wait(&mut self, ticket: TicketId, now: Millis) {
        if self.waiting.is_empty() {
            self.since = now;
        }
        self.waiting.insert(ticket);
    }

    /// Samples the interval at the grant of a waiting large prompt; other grants are ignored.
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

    /// Removes a prompt that no longer waits.
    pub(super) fn forget(&mut self, ticket: TicketId) {
        self.waiting.remove(&ticket);
    }

    /// Expected wait of one more large prompt, in milliseconds.
    pub(super) fn expected_wait(&self) -> Millis {
        let ahead = u64::try_from(self.waiting.len()).unwrap_or(u64::MAX);
        ahead.saturating_mul(self.interval.unwrap_or(0))
    }
}
