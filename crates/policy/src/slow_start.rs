//! Slow start: an endpoint that was seen to start gets less work at first.
//!
//! A process is slow for some seconds after its start, whatever its limits: caches are empty and
//! connections closed. The expected load is traffic that finds such an endpoint idle, so that every
//! cost model prefers it. Its share grows with time, and faster with answers that are as fast as those
//! of others.

use crate::cast::u64_to_f64;
use crate::dispatch::placement::StartPhase;
use crate::ids::Millis;

/// Time in which the share of a starting endpoint grows to a full one, in milliseconds: the few
/// seconds for which a process is slow, after which callers with the tightest deadlines would
/// otherwise have to be served elsewhere for longer than needed.
const START_TIME: Millis = 4_000;

/// Share of the work of others that an endpoint gets when it has just started: enough for several
/// answers a second, which show how fast it is.
const FIRST_SHARE: f64 = 0.33;

/// Part of the missing share that is left after an answer that is as fast as those of others. One
/// such answer is weak evidence; three leave an eighth.
const SHARE_LEFT_BY_ANSWER: f64 = 0.5;

/// Largest time of an answer, as a multiple of the time that others need, that counts as fast.
const FAST_ANSWER: f64 = 1.25;

/// Share of the work that an endpoint gets while it starts.
#[derive(Debug, Clone, PartialEq)]
pub struct SlowStart {
    phase: StartPhase,
    /// Part of the missing share that answers have left, from one down to zero.
    missing: f64,
}

impl Default for SlowStart {
    fn default() -> Self {
        Self::new(StartPhase::Settled)
    }
}

impl SlowStart {
    /// The share of an endpoint in this phase, before any answer.
    #[must_use]
    pub fn new(phase: StartPhase) -> Self {
        Self {
            phase,
            missing: 1.0,
        }
    }

    /// Begins anew if the endpoint has started again.
    pub fn set_phase(&mut self, phase: StartPhase) {
        if self.phase != phase {
            *self = Self::new(phase);
        }
    }

    /// Whether the endpoint gets less than a full share at `now`.
    #[must_use]
    pub fn is_starting(&self, now: Millis) -> bool {
        self.share(now) < 1.0
    }

    /// Share of the work that others get, above zero and at most one.
    #[must_use]
    pub fn share(&self, now: Millis) -> f64 {
        let StartPhase::StartedAt(started_at) = self.phase else {
            return 1.0;
        };
        let age = now.saturating_sub(started_at).min(START_TIME);
        let left = 1.0 - u64_to_f64(age) / u64_to_f64(START_TIME);
        1.0 - (1.0 - FIRST_SHARE) * left * self.missing
    }

    /// Records an answer that took `relative_time` times as long as those of others.
    pub fn answered(&mut self, relative_time: f64) {
        if relative_time <= FAST_ANSWER {
            self.missing *= SHARE_LEFT_BY_ANSWER;
        }
    }
}
