//! Suppression of statements that many instances would make at the same time.
//!
//! Load pattern: all instances of a fleet hear of the same crash, and each comes to the same verdict,
//! or holds the same evidence against it. If each states it, the notices grow with the square of the
//! fleet, since each statement is answered by all. So a statement waits for a random time, and is
//! dropped if another instance makes it first. The delays are distributed exponentially, as in the
//! feedback suppression of reliable multicast: about one instance of the fleet, however large, does
//! not wait at all.

use crate::cast::{f64_to_u64, u64_to_f64, usize_to_f64};
use crate::ids::Millis;

/// Longest time for which a statement waits in a large fleet, in milliseconds: about twice the time
/// in which a statement reaches the other instances through the store.
pub const LONGEST_STATEMENT_DELAY: Millis = 1_500;

/// Share of the longest delay for each instance of the fleet, in milliseconds: where few can make a
/// statement, waiting spares little and delays a quarantine.
const DELAY_PER_INSTANCE: Millis = 25;

/// Time after a statement in which the same statement is not made again, in milliseconds.
pub const STATEMENT_INTERVAL: Millis = 3_000;

/// Time for which an instance of a fleet of `instances` waits before it makes a statement; `draw` is a
/// random number between zero and one.
#[must_use]
pub fn statement_delay(instances: usize, draw: f64) -> Millis {
    if instances <= 1 {
        return 0;
    }
    let longest = LONGEST_STATEMENT_DELAY.min(instances as Millis * DELAY_PER_INSTANCE);
    let share = 1.0 + draw.max(f64::MIN_POSITIVE).ln() / usize_to_f64(instances).ln();
    f64_to_u64(u64_to_f64(longest) * share.max(0.0))
}
