//! Conversion of counts for calculations.

/// Converts a count to a floating-point number.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
#[must_use]
pub fn count_to_f64(count: usize) -> f64 {
    count as f64
}
