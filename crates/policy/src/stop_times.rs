//! How the time between an order to stop and the end of the process is spent.

use crate::cast::{f64_to_u64, u64_to_f64};
use crate::ids::Millis;

/// Longest time for which a stopping instance admits requests: the platform probes readiness every
/// second and stops routing to the instance after the second failed probe.
const LONGEST_ADMISSION: Millis = 2_800;

/// Share of the grace period after which every request has been answered.
const ANSWERS_SHARE: f64 = 0.93;

/// Share of the grace period after which the process has ended.
const EXIT_SHARE: f64 = 0.97;

/// Default share of the grace period in which requests are admitted.
pub const DEFAULT_ADMISSION_SHARE: f64 = 0.35;

/// Largest share of the grace period in which requests may be admitted.
pub const LARGEST_ADMISSION_SHARE: f64 = 0.8;

/// Phases of a stop, as times since the order.
#[derives::tag]
pub struct StopTimes {
    /// Until when requests are admitted that can end in time, in milliseconds.
    pub admission: Millis,
    /// When the requests that are left are answered, in milliseconds.
    pub answers: Millis,
    /// When the process has ended, in milliseconds.
    pub exit: Millis,
}

impl StopTimes {
    /// Divides a grace period, in milliseconds. Requests are admitted in `admission_share` of it at
    /// the most.
    #[must_use]
    pub fn new(grace_period: Millis, admission_share: f64) -> Self {
        let share = |share: f64| f64_to_u64(u64_to_f64(grace_period) * share);
        Self {
            admission: share(admission_share).min(LONGEST_ADMISSION),
            answers: share(ANSWERS_SHARE),
            exit: share(EXIT_SHARE),
        }
    }
}
