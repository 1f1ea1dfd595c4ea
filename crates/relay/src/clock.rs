//! Monotonic clock that includes the time for which the machine was suspended.

use policy::ids::Millis;
use rustix::time::{ClockId, clock_gettime};

const MILLIS_PER_SECOND: i64 = 1_000;

const NANOS_PER_MILLI: i64 = 1_000_000;

/// Clock that starts with the process and keeps running while the machine is suspended, unlike the
/// monotonic clock that timers use.
#[derive(Debug, Clone)]
pub struct BootClock {
    /// Time since the machine's boot at which the clock was created, in milliseconds.
    start: i64,
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl BootClock {
    /// Creates a clock that starts now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: boot_millis(),
        }
    }

    /// Milliseconds since the start; never zero, so that zero can stand for "never".
    #[must_use]
    pub fn now(&self) -> Millis {
        u64::try_from(boot_millis() - self.start).unwrap_or(0) + 1
    }
}

/// Time since the machine's boot, in milliseconds.
fn boot_millis() -> i64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec * MILLIS_PER_SECOND + time.tv_nsec / NANOS_PER_MILLI
}
