//! Limits on the rate of requests that cold endpoints get.
//!
//! An endpoint that has just started tolerates few requests a second and crashes at a rate well
//! above that. Unlike a limit that an endpoint names (see [`crate::rate_limit`]), this one is known
//! beforehand, ends when its time has passed, and must hold from the first request on. The expected
//! load is a burst that finds an endpoint, or all endpoints of a failure domain, idle and cold.

use std::collections::VecDeque;

use crate::cast::{u64_to_f64, usize_to_f64};
use crate::ids::Millis;
use crate::rate_limit::RequestRate;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Window of the platform's bound, in milliseconds.
const BOUND_WINDOW: Millis = 1_000;

/// Largest sum of the shares of dispatchers that decide at once. After a network partition a steward
/// takes the instances that it has lost for its own until their sessions expire, up to three seconds.
/// Demand reaches it from the failure domain that it is left with, a third of the fleet, while the
/// other two thirds already follow a steward of their own.
const OVERLAPPING_SHARES: f64 = 5.0 / 3.0;

/// Requests of the bound that are left for the edges of a window: for two dispatchers one grant more
/// than their rate gives, and one that arrives late, beside those of the next window.
const EDGE_REQUESTS: f64 = 4.0;

/// Least part of the stated rate that is used where the bound leaves nothing for several dispatchers.
const MIN_RATE_PART: f64 = 0.25;

/// Lateness of a grant that the next one may make up for, in milliseconds: the time between two
/// placement rounds. Without it, each grant to a queue would come up to a round late, and at 23
/// requests a second a quarter of the rate would be lost.
const ROUND_LATENESS: f64 = 15.0;

/// Most grants that are remembered of one endpoint: more than a cold one may get in a second.
const MAX_RECENT_GRANTS: usize = 64;

/// Requests that may arrive at a cold endpoint in any one second, from all instances together: `over`
/// times the rate that it tolerates, and `slack` more.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Multiple of the rate.
    pub over: f64,
    /// Additional requests.
    pub slack: f64,
}

impl Default for ColdBounds {
    fn default() -> Self {
        Self {
            over: 1.5,
            slack: 5.0,
        }
    }
}

impl ColdBounds {
    /// Pace at which a dispatcher that decides for all instances grants requests to an endpoint that
    /// tolerates `rate`: that rate, or as much less that dispatchers which decide at once keep the bound
    /// together.
    #[must_use]
    pub fn pace(&self, rate: RequestRate) -> RequestRate {
        let stated = rate.per_second();
        let allowed = stated * self.over + self.slack - EDGE_REQUESTS;
        let shared = (allowed / OVERLAPPING_SHARES).max(stated * MIN_RATE_PART);
        RequestRate::new(stated.min(shared)).unwrap_or(rate)
    }
}

/// Limit of a cold endpoint.
#[derives::tag]
pub struct ColdLimit {
    /// Requests a second from all instances together.
    pub rate: RequestRate,
    /// When the endpoint is warm.
    pub until: Millis,
}

/// Pace of a dispatcher's grants to a cold endpoint.
///
/// Between two grants lies at least one interval of the dispatcher's share of the limit, less the
/// lateness of one round; over a longer time the intervals add up.
#[derive(Debug, Clone)]
pub(crate) struct ColdPace {
    limit: ColdLimit,
    /// Time from which the interval before the next grant counts.
    due_at: f64,
    /// Part of an interval by which the first grant is delayed.
    phase: f64,
    /// Time by which the next grant is delayed beyond that, for grants shortly before the limit began,
    /// in intervals.
    excess: f64,
}

impl ColdPace {
    /// The pace of a limit that begins at `now`, on an endpoint with these `recent` grants. The first
    /// grant comes after an interval, and a part `phase` of one: dispatchers with small shares, which
    /// learn of the limit at the same moment, must not all have their first grant at the same moment too.
    pub(crate) fn new(
        limit: ColdLimit,
        recent: &RecentGrants,
        share: f64,
        phase: f64,
        now: Millis,
    ) -> Self {
        Self {
            limit,
            due_at: u64_to_f64(now),
            phase,
            excess: recent.excess(interval_ms(limit.rate, share), now),
        }
    }

    /// Replaces the limit and keeps the pace.
    pub(crate) fn set_limit(&mut self, limit: ColdLimit) {
        self.limit = limit;
    }

    pub(crate) fn limit(&self) -> ColdLimit {
        self.limit
    }

    pub(crate) fn is_over(&self, now: Millis) -> bool {
        self.limit.until <= now
    }

    /// Time of the next grant, or the end of the limit if that is earlier.
    fn next_at(&self, share: f64) -> f64 {
        let interval = interval_ms(self.limit.rate, share);
        let put_off = (self.excess * interval).min(u64_to_f64(BOUND_WINDOW));
        let next_at = self.due_at + interval * (1.0 + self.phase) + put_off;
        next_at.min(u64_to_f64(self.limit.until))
    }

    /// Time until the next grant, in milliseconds.
    pub(crate) fn wait_ms(&self, share: f64, now: Millis) -> f64 {
        (self.next_at(share) - u64_to_f64(now)).max(0.0)
    }

    /// Time until the endpoint is warm, in milliseconds.
    pub(crate) fn left_ms(&self, now: Millis) -> f64 {
        u64_to_f64(self.limit.until.saturating_sub(now))
    }

    /// Counts a grant.
    pub(crate) fn take(&mut self, share: f64, now: Millis) {
        self.due_at = self.next_at(share).max(u64_to_f64(now) - ROUND_LATENESS);
        self.phase = 0.0;
        self.excess = 0.0;
    }

    /// Requests a millisecond that this dispatcher may grant.
    pub(crate) fn per_ms(&self, share: f64) -> f64 {
        1.0 / interval_ms(self.limit.rate, share)
    }
}

/// Grants to an endpoint in the last second, the oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct RecentGrants(VecDeque<Millis>);

impl RecentGrants {
    pub(crate) fn record(&mut self, now: Millis) {
        while self.0.len() >= MAX_RECENT_GRANTS
            || self.0.front().is_some_and(|at| at + BOUND_WINDOW <= now)
        {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    pub(crate) fn is_outdated(&self, now: Millis) -> bool {
        self.0.back().is_none_or(|at| at + BOUND_WINDOW <= now)
    }

    /// Intervals after `now` at which these grants would have ended if they had kept the pace: some of
    /// them may still be on their way to an endpoint that turns cold.
    fn excess(&self, interval_ms: f64, now: Millis) -> f64 {
        let recent = self.0.iter().filter(|at| **at + BOUND_WINDOW > now);
        let paced = |next_at: f64, at: &Millis| next_at.max(u64_to_f64(*at)) + interval_ms;
        let next_at = recent.fold(0.0, paced);
        ((next_at - u64_to_f64(now)) / interval_ms).clamp(0.0, usize_to_f64(MAX_RECENT_GRANTS))
    }
}

/// Time between two grants, in milliseconds.
fn interval_ms(rate: RequestRate, share: f64) -> f64 {
    MILLIS_PER_SECOND / (rate.per_second() * share)
}
