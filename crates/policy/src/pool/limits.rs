//! Limits of a pool and the objective of its routing.

use super::lane::LanePolicy;
use crate::ids::Millis;

/// The objective of a pool's routing.
#[derives::tag]
#[derive(Default)]
pub enum PoolObjective {
    /// Minimizes how much long requests slow down short ones.
    #[default]
    ShortSlowdown,
    /// Minimizes the time to first token at all prompt lengths.
    FirstToken,
}

impl PoolObjective {
    /// Largest share of the pool's endpoints in the long lane, in percent.
    fn lane_percent(self) -> usize {
        match self {
            Self::ShortSlowdown => 75,
            Self::FirstToken => 90,
        }
    }
}

/// Limits of one pool.
#[derives::value]
pub struct PoolLimits {
    /// Longest short prompt, in tokens; longer prompts are of the long class.
    pub long_tokens: u64,
    /// How the long lane's size follows the backlog.
    pub lane: LanePolicy,
    /// Smallest size of the long lane, in endpoints.
    pub lane_smallest: usize,
    /// Largest share of the pool's endpoints in the long lane, in percent.
    pub lane_largest_percent: usize,
    /// Most endpoints over which one prompt may be spread.
    pub largest_span: usize,
    /// Longest time for which a short request is queued, in milliseconds.
    pub short_wait: Millis,
    /// Longest time for which a long request is queued, in milliseconds.
    pub long_wait: Millis,
    /// How long the request at the head of the long queue waits before endpoints are reserved for
    /// it, in milliseconds.
    pub reserve_after: Millis,
    /// How long a failed endpoint gets no new work, in milliseconds.
    pub down_time: Millis,
    /// Capacity of the prefix index, in prefixes.
    pub prefixes: usize,
}

impl PoolLimits {
    /// The default limits for an objective.
    #[must_use]
    pub fn new(objective: PoolObjective) -> Self {
        Self {
            long_tokens: 32_768,
            lane: LanePolicy::Threshold { backlog: 1_000 },
            lane_smallest: 1,
            lane_largest_percent: objective.lane_percent(),
            largest_span: 4,
            short_wait: 800,
            long_wait: 60_000,
            reserve_after: 20_000,
            down_time: 2_000,
            prefixes: 65_536,
        }
    }
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self::new(PoolObjective::default())
    }
}
