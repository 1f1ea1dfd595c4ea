//! Conversions between integer counts or times and floats.

/// Converts a count to a float. The conversion is exact for counts in use, which stay far below
/// 2^52.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub fn u64_to_f64(count: u64) -> f64 {
    count as f64
}

/// Converts a `usize` count to a float; exact under the same bound.
#[must_use]
pub fn usize_to_f64(count: usize) -> f64 {
    u64_to_f64(count as u64)
}

/// Truncates a float to an integer; zero for negative numbers and NaN.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the fraction is to be dropped, and the cast saturates"
)]
pub fn f64_to_u64(value: f64) -> u64 {
    value as u64
}
