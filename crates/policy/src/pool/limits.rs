//! Bounds of a pool and what its routing weighs most.

use super::lane::LanePolicy;
use crate::ids::Millis;

/// What routing weighs most.
#[derives::tag]
#[derive(Default)]
pub enum PoolObjective {
    /// Short requests are slowed as little as possible by long ones.
    #[default]
    ShortSlowdown,
    /// The time to first token is short at all prompt lengths.
    FirstToken,
}

impl PoolObjective {
    /// Largest share of the pool that the long lane takes, in hundredths.
    fn lane_percent(self) -> usize {
        match self {
            Self::ShortSlowdown => 75,
            Self::FirstToken => 90,
        }
    }
}

/// Bounds of one pool.
#[derives::value]
pub struct PoolLimits {
    /// Prompts of more tokens than this are long.
    pub long_tokens: u64,
    /// How the long lane follows the backlog.
    pub lane: LanePolicy,
    /// Endpoints always in the lane.
    pub lane_smallest: usize,
    /// Largest share of the pool that the lane takes, in hundredths.
    pub lane_largest_percent: usize,
    /// Endpoints over which one prompt may be spread.
    pub largest_span: usize,
    /// Longest wait of a short request that is still queued, in milliseconds.
    pub short_wait: Millis,
    /// Longest wait of a long request that is still queued, in milliseconds.
    pub long_wait: Millis,
    /// How long the long request whose turn it is waits before endpoints are kept free for it, in
    /// milliseconds.
    pub keep_after: Millis,
    /// How long a failed endpoint is left alone, in milliseconds.
    pub down_time: Millis,
    /// Prefixes remembered.
    pub prefixes: usize,
}

impl PoolLimits {
    /// The bounds that suit an objective.
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
            keep_after: 20_000,
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
