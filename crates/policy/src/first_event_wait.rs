//! How long a run is awaited that has not sent its first event.
//!
//! Load pattern: more load than the engines can take, or engines that are several times slower than
//! the cost model says. First events then come later than any timeout that is a multiple of the
//! expected time. A run that is abandoned for that is repeated elsewhere, which adds load at the
//! moment when there is too much of it, and throws away work that is nearly done. The engine's own
//! report tells this from a lost connection: a busy engine says that it has work, and how much of
//! the wait its queue and its pace explain.

use crate::cast::{f64_to_u64, u64_to_f64};
use crate::ids::Millis;

/// A run is abandoned after this multiple of its expected time, plus [`PASS_TIME`], unless its
/// engine says that it is busy.
const EXPECTED_TIMES: u64 = 3;

/// Longest pass of an engine that meets its pause targets, in milliseconds: the largest pause target
/// is 1 s.
const PASS_TIME: Millis = 1_000;

/// Time that each other running run explains, in milliseconds: its prompt may be prefilled first,
/// which takes as long as the latency target of short prompts.
const PREFILL_TIME: Millis = 250;

/// Time in which an engine is expected to replace all runs in its slots, in milliseconds: half of the
/// 10 s within which callers want whole answers.
const SLOT_TIME: Millis = 5_000;

/// Time by which the first report of a busy engine prolongs the wait at least, and the shortest time
/// between two reports for one run, in milliseconds.
const SHORTEST_INTERVAL: Millis = 1_000;

/// Longest time between two reports for one run, in milliseconds, except before the end of the caller's
/// time. A run of the shortest kind has five reports at most within its deadline of 10 s.
const LONGEST_INTERVAL: Millis = 2_000;

/// Time within which an engine is to answer, in milliseconds. Its report needs no slot; an instance
/// under load may take some hundred milliseconds to read it. It is requested this long before the run
/// would be abandoned, so that an engine without a report delays nothing.
pub const REPORT_TIME: Millis = 500;

/// What an engine says of its load. A member is `None` if the engine says nothing of it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EngineReport {
    /// Number of runs that wait for a slot.
    pub queued: Option<u64>,
    /// Number of runs in slots.
    pub running: Option<u64>,
    /// Memory in use, in the engine's own unit.
    pub kv_used: Option<f64>,
    /// Time of the engine's work as a multiple of the usual time.
    pub pace: Option<f64>,
}

impl EngineReport {
    /// Whether the engine says that it has runs.
    #[must_use]
    pub fn has_work(&self) -> bool {
        self.running.unwrap_or(0) > 0 || self.queued.unwrap_or(0) > 0
    }

    /// Longest wait for a first event that the engine's load explains, in milliseconds, for a run of
    /// which it was expected after `expected`.
    #[must_use]
    pub fn explained_wait(&self, expected: Millis) -> Millis {
        let pace = self.pace.unwrap_or(1.0).max(1.0);
        let others = self.running.unwrap_or(0).saturating_sub(1);
        let queued = u64_to_f64(self.queued.unwrap_or(0));
        let slot_rounds = match self.running {
            Some(running) if running > 0 => queued / u64_to_f64(running),
            // The number of slots is unknown: all that waits is taken for one round.
            _ => queued.min(1.0),
        };
        let at_usual_pace = u64_to_f64(default_timeout(expected))
            + u64_to_f64(others.saturating_mul(PREFILL_TIME))
            + u64_to_f64(SLOT_TIME) * slot_rounds;
        f64_to_u64(at_usual_pace * pace)
    }
}

/// Time after which a run is abandoned whose engine does not say that it is busy.
fn default_timeout(expected: Millis) -> Millis {
    expected
        .saturating_mul(EXPECTED_TIMES)
        .saturating_add(PASS_TIME)
}

/// Whether the request of a run may run again if the run is abandoned.
#[derives::tag]
pub enum RepeatOption {
    /// It may run again.
    Repeatable,
    /// This is its last run, which is awaited until the caller's time ends.
    LastRun,
}

/// What an engine's answer means for a run.
#[derives::tag]
pub enum WaitDecision {
    /// The engine is busy: the wait continues until the new limit.
    Continue,
    /// The engine is busy: the run is awaited until the caller's time ends.
    ContinueToEnd,
    /// The engine has not answered, or was not asked.
    Unanswered,
    /// The engine says nothing of work that it has.
    Idle,
    /// The engine is busy, but the wait is longer than its load explains: the connection is probably
    /// lost.
    Unexplained,
}

impl WaitDecision {
    /// Name in logs and metrics.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::Continue => "busy",
            Self::ContinueToEnd => "busy_to_end",
            Self::Unanswered => "unanswered",
            Self::Idle => "idle",
            Self::Unexplained => "unexplained",
        }
    }

    /// All decisions.
    pub const ALL: [Self; 5] = [
        Self::Continue,
        Self::ContinueToEnd,
        Self::Unanswered,
        Self::Idle,
        Self::Unexplained,
    ];
}

/// The wait for the first event of one run. Times are in milliseconds since the run was sent.
///
/// Invariant: the limit never exceeds the caller's time, and two limits are at least
/// [`SHORTEST_INTERVAL`] apart, unless the later one is the end of the caller's time.
#[derives::value]
pub struct FirstEventWait {
    expected: Millis,
    time_left: Millis,
    limit: Millis,
}

impl FirstEventWait {
    /// The wait for a run whose first event is expected after `expected` and whose caller waits for
    /// `time_left`.
    #[must_use]
    pub fn new(expected: Millis, time_left: Millis, repeat: RepeatOption) -> Self {
        let limit = match repeat {
            RepeatOption::Repeatable => default_timeout(expected).min(time_left),
            RepeatOption::LastRun => time_left,
        };
        Self {
            expected,
            time_left,
            limit,
        }
    }

    /// When the run is abandoned unless its engine is busy.
    #[must_use]
    pub fn limit(&self) -> Millis {
        self.limit
    }

    /// When the engine is to be asked for its report; `None` if the limit is too near.
    #[must_use]
    pub fn report_due(&self) -> Option<Millis> {
        // The values of a report are some hundred milliseconds old; before, they may not contain the
        // run.
        let is_known = self.limit >= 2 * REPORT_TIME;
        is_known.then(|| self.limit - REPORT_TIME)
    }

    /// Decides what becomes of the run at its limit; `report` is `None` if the engine has not
    /// answered.
    pub fn decide(&mut self, report: Option<&EngineReport>) -> WaitDecision {
        let Some(report) = report else {
            return WaitDecision::Unanswered;
        };
        if !report.has_work() {
            return WaitDecision::Idle;
        }
        let least = default_timeout(self.expected).saturating_add(SHORTEST_INTERVAL);
        let allowed = report.explained_wait(self.expected).max(least);
        if self.limit >= allowed {
            return WaitDecision::Unexplained;
        }
        if self.limit >= self.time_left {
            return WaitDecision::ContinueToEnd;
        }
        let interval = (allowed - self.limit).clamp(SHORTEST_INTERVAL, LONGEST_INTERVAL);
        let next = self.limit + interval;
        self.limit = if next + SHORTEST_INTERVAL > self.time_left {
            self.time_left
        } else {
            next
        };
        WaitDecision::Continue
    }
}
