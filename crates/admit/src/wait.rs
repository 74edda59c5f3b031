//! Longest wait of a request for a place.
//!
//! Answers this load: the queue is full and prompts are long. A wait that is the same part of each
//! target latency is too long for long prompts, whose first event is late then, and too short for
//! short ones, which are refused although they could still be in time.

use std::time::Duration;

use crate::offer::Offer;
use crate::placement::{Estimate, FIRST_MARGIN};

/// Share of the time to the target latency that a request may wait while the speed of the targets is
/// not known.
const UNKNOWN_WAIT_SHARE: f64 = 0.5;
/// Share that it may always wait. A long prompt that no idle target reads in time is late anyway.
const MIN_WAIT_SHARE: f64 = 0.25;
/// Share of the time limit that a request may wait. A caller that has come back has less time left than
/// the target latency, and must not be held until it gives up.
const MAX_TIME_SHARE: f64 = 0.4;

/// Longest wait of an offer in the queue, given the least that any target needs for it. After it, no
/// target is expected to respond in time, or, as long as nothing is known of the targets, half of the
/// time is over.
pub(crate) fn wait_limit(offer: &Offer, best: Option<&Estimate>) -> Duration {
    if offer.aim_left.is_zero() {
        return offer.max_wait.mul_f64(UNKNOWN_WAIT_SHARE);
    }
    let Some(best) = best else {
        let half = offer.aim_left.mul_f64(UNKNOWN_WAIT_SHARE);
        return offer.max_wait.min(half);
    };
    let aim = offer.aim_left.as_secs_f64();
    let left = (aim - best.first * FIRST_MARGIN).max(aim * MIN_WAIT_SHARE);
    let max_time = offer.time_left.mul_f64(MAX_TIME_SHARE);
    Duration::from_secs_f64(left)
        .min(offer.max_wait)
        .min(max_time)
}
