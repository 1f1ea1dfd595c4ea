//! Delays between the attempts to reach a service that many instances share.
//!
//! Load pattern: a shared service is away, and each instance of a large fleet keeps trying. At a
//! fixed pace the attempts grow with instances times the length of the outage, and the service's
//! return is met by all instances at once. Delays that grow and are drawn anew each time
//! (decorrelated jitter) bound the first and spread the second.

use crate::cast::{f64_to_u64, u64_to_f64};
use crate::ids::Millis;

/// Factor by which the upper end of the next delay exceeds the previous delay.
const GROWTH: f64 = 3.0;

/// Shortest and longest delay, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DelayRange {
    /// Shortest delay; the first one is at least this long.
    pub shortest: Millis,
    /// Longest delay.
    pub longest: Millis,
}

/// The delays of one caller, in milliseconds.
///
/// Invariant: each delay is within its range.
#[derive(Debug, Clone)]
pub struct RetryDelay {
    range: DelayRange,
    /// The delay before the last attempt; `None` after a success.
    last: Option<Millis>,
}

impl RetryDelay {
    /// Creates the delays of a caller that has not failed yet.
    #[must_use]
    pub fn new(range: DelayRange) -> Self {
        Self { range, last: None }
    }

    /// The delay before the next attempt; `draw` is a random number between zero and one.
    pub fn next(&mut self, draw: f64) -> Millis {
        let shortest = u64_to_f64(self.range.shortest);
        let last = u64_to_f64(self.last.unwrap_or(self.range.shortest));
        let spread = (last * GROWTH - shortest).max(0.0) * draw;
        let delay = f64_to_u64(shortest + spread).min(self.range.longest);
        self.last = Some(delay);
        delay
    }

    /// Records a success: the next delay is a first one again.
    pub fn reset(&mut self) {
        self.last = None;
    }
}
