//! Budget for forwarding changes to other instances.
//!
//! The budget keeps the instance's link free for callers. A follower that is refused for lack of
//! budget can still read from another source in time.

use crate::ids::Millis;
use crate::notice_times::READER_MARGIN;

/// Share of the link's rate for forwarding changes, in percent; the rest is for callers.
const LINK_SHARE_PERCENT: u64 = 50;

/// Largest burst, as milliseconds of the forwarding rate. Bounded so that a burst reaches its
/// follower before the follower's timeout.
const BURST_MILLIS: Millis = READER_MARGIN;

/// Token bucket of bytes that may be forwarded.
#[derive(Debug, Clone)]
pub struct ForwardingBudget {
    /// Fill rate, in bytes per millisecond.
    rate: u64,
    /// Bytes that were left at `updated_at`.
    available: u64,
    /// Bytes that were forwarded beyond a full budget and are not yet made up for.
    owed: u64,
    updated_at: Millis,
}

impl ForwardingBudget {
    /// Creates a full budget for a link that carries `link_rate` bytes per millisecond.
    #[must_use]
    pub fn new(link_rate: u64, now: Millis) -> Self {
        let rate = link_rate * LINK_SHARE_PERCENT / 100;
        Self {
            rate,
            available: rate * BURST_MILLIS,
            owed: 0,
            updated_at: now,
        }
    }

    /// Takes `bytes` from the budget; `false` if fewer are available, and then nothing is taken. More
    /// than a full budget holds is taken from a full one, which then refills later.
    pub fn take(&mut self, bytes: usize, now: Millis) -> bool {
        let refill = self.rate * now.saturating_sub(self.updated_at);
        let full = self.rate * BURST_MILLIS;
        let made_up = refill.min(self.owed);
        self.owed -= made_up;
        self.available = (self.available + refill - made_up).min(full);
        self.updated_at = now;
        let bytes = bytes as u64;
        if self.available < bytes.min(full) {
            return false;
        }
        self.owed += bytes.saturating_sub(full);
        self.available -= bytes.min(full);
        true
    }
}
