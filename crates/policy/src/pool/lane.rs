//! The long lane: the endpoints of a pool on which long prompts may run.

use crate::ids::Millis;

/// How the lane's size follows the outstanding long work.
#[derives::tag]
pub enum LanePolicy {
    /// A fixed number of endpoints.
    Fixed(usize),
    /// One endpoint for each `backlog` milliseconds of outstanding long work.
    Threshold {
        /// Milliseconds of long work per endpoint.
        backlog: Millis,
    },
}

/// Current size of the long lane, with its bounds.
#[derives::value]
pub struct LongLane {
    policy: LanePolicy,
    smallest: usize,
    largest: usize,
    size: usize,
}

impl LongLane {
    /// A lane of at least `smallest` and at most `largest` endpoints.
    #[must_use]
    pub fn new(policy: LanePolicy, smallest: usize, largest: usize) -> Self {
        let largest = largest.max(smallest);
        let size = match policy {
            LanePolicy::Fixed(size) => size.clamp(smallest, largest),
            LanePolicy::Threshold { .. } => smallest,
        };
        Self {
            policy,
            smallest,
            largest,
            size,
        }
    }

    /// Number of endpoints in the lane.
    #[must_use]
    pub fn size(&self) -> usize {
        self.size
    }

    /// Resizes the lane for `work`, the outstanding long work in milliseconds of one endpoint's
    /// prefill. The lane gets at least `needed` endpoints, over which the next waiting prompt is
    /// spread; `needed` may exceed the upper bound.
    pub fn resize(&mut self, work: Millis, needed: usize) {
        let wanted = match self.policy {
            LanePolicy::Fixed(size) => size,
            LanePolicy::Threshold { backlog } => {
                usize::try_from(work.div_ceil(backlog.max(1))).unwrap_or(usize::MAX)
            }
        };
        self.size = wanted.clamp(self.smallest, self.largest).max(needed);
    }
}
