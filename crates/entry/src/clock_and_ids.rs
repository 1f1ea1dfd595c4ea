//! The system wall clock and random unique ids.

use std::time::{SystemTime, UNIX_EPOCH};

use uuid::Uuid;

use crate::ports::ClockAndIds;

/// Reads the system wall clock and generates version 7 UUIDs.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClockAndIds;

impl SystemClockAndIds {
    /// Creates a source backed by the system clock and random number generator.
    #[must_use]
    pub fn new() -> Self {
        Self
    }
}

impl ClockAndIds for SystemClockAndIds {
    fn unix_millis(&self) -> u64 {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }

    fn unique_id(&self) -> u128 {
        Uuid::now_v7().as_u128()
    }
}
