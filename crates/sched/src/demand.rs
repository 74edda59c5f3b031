//! Room kept free for the higher tiers.

use std::time::Duration;

use crate::num::float;

/// Time constant of the mean arrival rates.
const MEMORY: f64 = 5.0;

/// Mean arrival rate of tokens in one tier, as of the last arrival.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    tokens_per_second: f64,
    at: Duration,
}

impl Rate {
    fn get(self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.tokens_per_second * (-age / MEMORY).exp()
    }
}

/// Arrival rates by tier.
pub(crate) struct Demand(Vec<Rate>);

impl Demand {
    pub(crate) fn new(tiers: usize) -> Self {
        Demand(vec![Rate::default(); tiers])
    }

    pub(crate) fn arrived(&mut self, now: Duration, tier: usize, cost: u64) {
        let rate = &mut self.0[tier];
        *rate = Rate {
            tokens_per_second: rate.get(now) + float(cost) / MEMORY,
            at: now,
        };
    }

    /// Tokens that arrive in all tiers above the given one in a time.
    pub(crate) fn above(&self, now: Duration, tier: usize, time: Duration) -> f64 {
        let rates = self.0[..tier].iter().map(|rate| rate.get(now));
        rates.sum::<f64>() * time.as_secs_f64()
    }
}
