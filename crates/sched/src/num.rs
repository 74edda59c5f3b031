//! Conversions between token counts and floating point.

/// Converts a token count to floating point.
#[expect(
    clippy::cast_precision_loss,
    reason = "token counts stay far below 2^52"
)]
pub(crate) fn tokens_to_f64(tokens: u64) -> f64 {
    tokens as f64
}

/// Converts floating point to a token count, rounding down; negative numbers become 0.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates and the fraction is not needed"
)]
pub(crate) fn f64_to_tokens(tokens: f64) -> u64 {
    tokens as u64
}
