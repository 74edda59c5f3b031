//! Token bucket of one workspace at one owner.

use std::time::Duration;

/// Part of the burst that a new owner starts with. The owner before it may have given out the
/// whole burst within the window of the rate.
const INITIAL_FILL_RATIO: f64 = 0.25;

/// A bucket that fills at a rate up to a burst.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_s: f64,
    burst: f64,
    level: f64,
    updated_at: Duration,
}

impl TokenBucket {
    /// A bucket for a new owner.
    #[must_use]
    pub fn new(now: Duration, per_s: f64, burst: f64) -> Self {
        TokenBucket {
            per_s,
            burst,
            level: burst * INITIAL_FILL_RATIO,
            updated_at: now,
        }
    }

    /// Changes rate and burst; the level keeps below the new burst.
    pub fn reconfigure(&mut self, now: Duration, per_s: f64, burst: f64) {
        self.refill(now);
        self.per_s = per_s;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Scales rate, burst and level, as when another part of the rate is given out here. A larger
    /// part starts without the tokens of the member that gave it out before.
    pub fn scale(&mut self, now: Duration, factor: f64) {
        self.refill(now);
        self.per_s *= factor;
        self.burst *= factor;
        self.level *= factor.min(1.0);
    }

    /// Takes units. One request that is larger than the burst may empty a full bucket.
    ///
    /// # Errors
    /// Returns the time until it would succeed.
    pub fn try_take(&mut self, now: Duration, units: f64) -> Result<(), Duration> {
        self.refill(now);
        let needed = units.min(self.burst);
        if self.level >= needed {
            self.level -= units;
            return Ok(());
        }
        let missing = needed - self.level;
        Err(Duration::try_from_secs_f64(missing / self.per_s).unwrap_or(Duration::MAX))
    }

    /// Gives units back that were not used.
    pub fn refund(&mut self, units: f64) {
        self.level = (self.level + units).min(self.burst);
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.level = (self.level + passed * self.per_s).min(self.burst);
    }
}
