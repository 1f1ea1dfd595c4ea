//! Bound of the queue of short requests.
//!
//! In a burst of short prompts more arrive than the engines can start in time. A request that would
//! wait for longer than its target is refused when it arrives, while its caller still has time to
//! come back.

use std::collections::VecDeque;

use super::limits::DispatchLimits;
use crate::cast::{u64_to_f64, usize_to_f64};
use crate::ids::Millis;

/// Time over which the rate of placements is measured, in milliseconds: a few targets of short
/// requests.
const RATE_WINDOW: Millis = 1_000;

/// Recent placements of short requests.
#[derive(Debug, Default)]
pub(super) struct ShortQueueGauge {
    placed_at: VecDeque<Millis>,
}

impl ShortQueueGauge {
    /// Records that a short request was placed.
    pub(super) fn placed(&mut self, now: Millis) {
        self.placed_at.push_back(now);
        self.expire(now);
    }

    fn expire(&mut self, now: Millis) {
        let is_old = |at: &Millis| now.saturating_sub(*at) > RATE_WINDOW;
        while self.placed_at.front().is_some_and(is_old) {
            self.placed_at.pop_front();
        }
    }

    /// Expected wait of a short request behind `queued` others, in milliseconds, if it is longer than
    /// `target`; `None` if the request may be queued.
    pub(super) fn excess_wait(
        &mut self,
        limits: &DispatchLimits,
        queued: usize,
        target: Millis,
        now: Millis,
    ) -> Option<f64> {
        if queued < limits.short_queue {
            return None;
        }
        self.expire(now);
        let placed = usize_to_f64(self.placed_at.len().max(1));
        let wait_ms = usize_to_f64(queued) * u64_to_f64(RATE_WINDOW) / placed;
        (wait_ms > u64_to_f64(target)).then_some(wait_ms)
    }
}
