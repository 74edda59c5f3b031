//! Longest wait of a request for a place.
//!
//! Answers this load: the queue is full and prompts are long. A wait that is the same part of each
//! target latency is too long for long prompts, whose first event is late then, and too short for
//! short ones, which are refused although they could still be in time.

use std::time::Duration;

use crate::grant::is_of_shard;
use crate::offer::Offer;
use crate::owner::Owner;
use crate::placement::FIRST_MARGIN;

/// Share of the time to the target latency that a request may wait while the speed of the targets is
/// not known.
const UNKNOWN_WAIT_SHARE: f64 = 0.5;
/// Share that it may always wait. A long prompt that no idle target reads in time is late anyway.
const MIN_WAIT_SHARE: f64 = 0.25;
/// Share of the time limit that a request may wait. A caller that has come back has less time left than
/// the target latency, and must not be held until it gives up.
const MAX_TIME_SHARE: f64 = 0.4;

impl Owner {
    /// Longest wait of an offer in the queue. After it, no target of the shard is expected to respond
    /// in time, or, as long as the speed of the targets is not known, half of the time is over.
    pub(crate) fn wait_limit(&mut self, now: Duration, offer: &Offer) -> Duration {
        let half = offer
            .max_wait
            .min(offer.aim_left.mul_f64(UNKNOWN_WAIT_SHARE));
        if offer.aim_left.is_zero() {
            return offer.max_wait.mul_f64(UNKNOWN_WAIT_SHARE);
        }
        let pool_unit = self.mean_unit(now, &offer.pool);
        let firsts = self
            .targets
            .values()
            .filter(|state| state.open && is_of_shard(state, offer))
            .filter_map(|state| {
                let estimate = self.estimate(now, state, offer, pool_unit)?;
                Some(estimate.first)
            });
        let Some(first) = firsts.reduce(f64::min) else {
            return half;
        };
        let aim = offer.aim_left.as_secs_f64();
        let left = (aim - first * FIRST_MARGIN).max(aim * MIN_WAIT_SHARE);
        let half_time = offer.time_left.mul_f64(MAX_TIME_SHARE);
        Duration::from_secs_f64(left)
            .min(offer.max_wait)
            .min(half_time)
    }
}
