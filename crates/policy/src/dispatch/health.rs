//! Health of an endpoint as its runs show it: outlier ejection and slowdown.

use super::placement::StartPhase;
use crate::ids::Millis;
use crate::learned_capacity::{ENGINE_HALF_LIFE, EVEN_SLOWDOWN, LearnedCapacity, SlowdownCurve};
use crate::slow_start::SlowStart;

/// Shortest ejection of an endpoint after failures, in milliseconds; it doubles with each further
/// failure in a row.
const FIRST_EJECTION: Millis = 400;

/// Longest ejection of an endpoint, in milliseconds: more than the few seconds that a restart
/// takes.
const LONGEST_EJECTION: Millis = 6_400;

/// Ejection of an endpoint that refused a run because it was full, in milliseconds.
const FULL_EJECTION: Millis = 150;

/// Consecutive broken or failed runs after which an endpoint is ejected. A single broken answer is
/// weak evidence, since the network loses some answers.
const CONSECUTIVE_FAILURES: u32 = 2;

/// Weight of the newest sample in the moving average of an endpoint's slowdown.
const SLOWDOWN_SMOOTHING: f64 = 0.3;

/// Minimum and maximum of a slowdown sample.
const SLOWDOWN_RANGE: (f64, f64) = (0.9, 8.0);

/// Half-life of a slowdown above one, in milliseconds: the estimate decays so that an endpoint
/// without runs is tried again.
const SLOWDOWN_HALF_LIFE: Millis = 4_000;

/// Kind of a failure that is attributed to an endpoint.
#[derives::tag]
pub enum FailureKind {
    /// The endpoint cannot be reached or does not answer.
    Unresponsive,
    /// The endpoint broke off or failed one run.
    RunFailed,
    /// The endpoint refused a run because it is full.
    Full,
}

/// Ejection and slowdown of one endpoint, estimated from its runs.
#[derive(Debug, Clone)]
pub struct EndpointHealth {
    failures: u32,
    ejected_until: Millis,
    slowdown: f64,
    slowdown_at: Millis,
    start: SlowStart,
    /// Slowdown by load; `None` if it is not learned.
    learned: Option<LearnedCapacity>,
}

impl Default for EndpointHealth {
    fn default() -> Self {
        Self::new()
    }
}

impl EndpointHealth {
    /// The health of an endpoint without any runs so far: not ejected, slowdown one.
    #[must_use]
    pub fn new() -> Self {
        Self {
            failures: 0,
            ejected_until: 0,
            slowdown: 1.0,
            slowdown_at: 0,
            start: SlowStart::default(),
            learned: None,
        }
    }

    /// Lets the slowdown depend on the number of hosted runs.
    #[must_use]
    pub fn with_learned_capacity(mut self) -> Self {
        self.learned = Some(LearnedCapacity::new(ENGINE_HALF_LIFE));
        self
    }

    /// Whether the endpoint is ejected at `now`, that is, should get no new runs.
    #[must_use]
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Time at which the last ejection ends; zero if there was none.
    #[must_use]
    pub fn ejected_until(&self) -> Millis {
        self.ejected_until
    }

    /// Sets whether the endpoint has just started.
    pub fn set_start(&mut self, phase: StartPhase) {
        self.start.set_phase(phase);
    }

    /// Whether the endpoint is assumed to be slow because it has just started.
    #[must_use]
    pub fn is_starting(&self, now: Millis) -> bool {
        self.start.is_starting(now)
    }

    /// Share of the work of others that the endpoint gets while it starts, at most one.
    #[must_use]
    pub fn start_share(&self, now: Millis) -> f64 {
        self.start.share(now)
    }

    /// Records an answer of the endpoint that took `relative_time` times as long as those of others.
    pub fn answered(&mut self, relative_time: f64) {
        self.start.answered(relative_time);
    }

    /// Estimated time of work on the endpoint as a multiple of the published cost: as its runs show it,
    /// or as it is assumed of an endpoint that has just started.
    #[must_use]
    pub fn slowdown(&self, now: Millis) -> f64 {
        let start_slowdown = 1.0 / self.start_share(now);
        if start_slowdown > 1.0 {
            return self.measured_slowdown(now).max(start_slowdown);
        }
        self.measured_slowdown(now)
    }

    /// Estimated time of work on the endpoint as its runs show it, as a multiple of the published cost.
    #[must_use]
    pub fn measured_slowdown(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.slowdown_at);
        if self.slowdown <= 1.0 || age < SLOWDOWN_HALF_LIFE {
            return self.slowdown;
        }
        let half_lives = u32::try_from(age / SLOWDOWN_HALF_LIFE).unwrap_or(u32::MAX);
        1.0 + (self.slowdown - 1.0) / f64::from(2_u32.saturating_pow(half_lives.min(16)))
    }

    /// Estimated time of work on the endpoint while it hosts `runs`, as a multiple of the published
    /// cost.
    ///
    /// The mean over all loads remains as a factor, of what the load does not explain. It also covers
    /// what the cost model leaves out.
    #[must_use]
    pub fn slowdown_at(&self, runs: usize, now: Millis) -> f64 {
        self.slowdown(now) * self.load_slowdown(runs, now)
    }

    /// The part of the slowdown that the number of hosted runs explains; one if it is not learned.
    fn load_slowdown(&self, runs: usize, now: Millis) -> f64 {
        let learned = self.curve(now).map(|curve| curve.at(runs));
        learned
            .filter(|slowdown| *slowdown > EVEN_SLOWDOWN)
            .unwrap_or(1.0)
    }

    /// The slowdown by the number of hosted runs; `None` if it is not learned.
    #[must_use]
    pub fn curve(&self, now: Millis) -> Option<SlowdownCurve> {
        self.learned.as_ref().map(|learned| learned.curve(now))
    }

    /// Records a run that succeeded, which resets the count of consecutive failures.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Records a failure of the endpoint and ejects the endpoint if the failures call for it.
    ///
    /// A failure during an ejection does not extend it, except for [`FailureKind::Full`].
    pub fn failed(&mut self, kind: FailureKind, now: Millis) {
        if kind == FailureKind::Full {
            self.ejected_until = self.ejected_until.max(now + FULL_EJECTION);
            return;
        }
        self.failures = self.failures.saturating_add(1);
        let threshold = match kind {
            FailureKind::Unresponsive => 1,
            FailureKind::RunFailed | FailureKind::Full => CONSECUTIVE_FAILURES,
        };
        if self.failures >= threshold && !self.is_ejected(now) {
            let doublings = (self.failures - threshold).min(4);
            let time = (FIRST_EJECTION << doublings).min(LONGEST_EJECTION);
            self.ejected_until = now + time;
        }
    }

    /// Ejects the endpoint at least until `until`, because its failure domain seems to be cut off.
    pub fn eject(&mut self, until: Millis) {
        self.ejected_until = self.ejected_until.max(until);
    }

    /// Updates the slowdown with a run whose first event took `actual` where the published cost
    /// says `expected`, both in milliseconds, while the endpoint hosted `runs`.
    pub fn record_latency(&mut self, runs: usize, expected: f64, actual: f64, now: Millis) {
        let ratio = actual / expected.max(1.0);
        if let Some(learned) = &mut self.learned {
            learned.record(runs, ratio, now);
        }
        let unexplained = ratio / self.load_slowdown(runs, now);
        let ratio = unexplained.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        let slowdown = self.measured_slowdown(now);
        self.slowdown = slowdown + (ratio - slowdown) * SLOWDOWN_SMOOTHING;
        self.slowdown_at = now;
    }
}
