//! Estimate of how long requests of one kind take.

use crate::ids::Millis;

/// The newest duration counts for this part of the mean, and its distance from the mean for this part
/// of the deviation, as in RFC 6298.
const MEAN_PART: u64 = 8;
const DEVIATION_PART: u64 = 4;

/// Number of deviations above the mean below which nearly all durations lie.
const UPPER_DEVIATIONS: u64 = 2;

/// Smoothed mean and deviation of durations, in milliseconds.
#[derives::tag]
pub struct DurationEstimate {
    mean: Millis,
    deviation: Millis,
}

impl DurationEstimate {
    /// Creates an estimate from a first duration.
    #[must_use]
    pub fn new(first: Millis) -> Self {
        Self {
            mean: first,
            deviation: first / 2,
        }
    }

    /// Adds a duration.
    pub fn record(&mut self, took: Millis) {
        let distance = took.abs_diff(self.mean);
        let weighted = |value: u64, parts: u64, newest: u64| (value * (parts - 1) + newest) / parts;
        self.deviation = weighted(self.deviation, DEVIATION_PART, distance);
        self.mean = weighted(self.mean, MEAN_PART, took);
    }

    /// A time within which nearly all requests end, in milliseconds.
    #[must_use]
    pub fn upper(&self) -> Millis {
        self.mean + UPPER_DEVIATIONS * self.deviation
    }
}
