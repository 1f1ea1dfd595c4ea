//! A small random generator (splitmix64).

use std::sync::atomic::{AtomicU64, Ordering};

pub struct Random(AtomicU64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(AtomicU64::new(seed))
    }

    /// A number from 0 up to 1.
    pub fn draw(&self) -> f64 {
        let step = 0x9e37_79b9_7f4a_7c15;
        let mut bits = self.0.fetch_add(step, Ordering::Relaxed).wrapping_add(step);
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((bits ^ (bits >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}
