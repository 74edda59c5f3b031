//! Arrival rates by tier, from which the reserve for higher tiers is computed.

use std::time::Duration;

use crate::num::tokens_to_f64;

/// Time constant of the exponentially weighted arrival rates.
const TIME_CONSTANT_SECONDS: f64 = 5.0;

/// Exponentially weighted arrival rate of tokens in one tier, as of the last arrival.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    tokens_per_second: f64,
    updated: Duration,
}

impl Rate {
    fn decayed(self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.tokens_per_second * (-age / TIME_CONSTANT_SECONDS).exp()
    }
}

/// Arrival rates, indexed by tier.
pub(crate) struct ArrivalRates(Vec<Rate>);

impl ArrivalRates {
    pub(crate) fn new(tiers: usize) -> Self {
        ArrivalRates(vec![Rate::default(); tiers])
    }

    pub(crate) fn record_arrival(&mut self, now: Duration, tier: usize, cost: u64) {
        let rate = &mut self.0[tier];
        *rate = Rate {
            tokens_per_second: rate.decayed(now) + tokens_to_f64(cost) / TIME_CONSTANT_SECONDS,
            updated: now,
        };
    }

    /// Tokens that are expected to arrive within `window` in all tiers above the given one.
    pub(crate) fn expected_above(&self, now: Duration, tier: usize, window: Duration) -> f64 {
        let rates = self.0[..tier].iter().map(|rate| rate.decayed(now));
        rates.sum::<f64>() * window.as_secs_f64()
    }
}
