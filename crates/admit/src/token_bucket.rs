//! Token bucket of one workspace at one owner.

use std::time::Duration;

use crate::grant_ledger::GrantedElsewhere;

/// Fraction of the burst with which a new owner starts. The previous owner may have granted the
/// whole burst within the window of the rate.
const INITIAL_FILL_RATIO: f64 = 0.25;

/// A bucket that refills at a rate up to a burst.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_s: f64,
    burst: f64,
    level: f64,
    updated_at: Duration,
    created_at: Duration,
    /// Units that others granted shortly before this bucket was created.
    granted_before: f64,
}

impl TokenBucket {
    /// Creates the bucket of a new owner, filled to `INITIAL_FILL_RATIO`.
    #[must_use]
    pub fn new(now: Duration, per_s: f64, burst: f64) -> Self {
        TokenBucket {
            per_s,
            burst,
            level: burst * INITIAL_FILL_RATIO,
            updated_at: now,
            created_at: now,
            granted_before: 0.0,
        }
    }

    /// Creates a bucket with the given level, at most `burst`.
    #[must_use]
    pub(crate) fn with_level(now: Duration, per_s: f64, burst: f64, level: f64) -> Self {
        TokenBucket {
            per_s,
            burst,
            level: level.min(burst),
            updated_at: now,
            created_at: now,
            granted_before: 0.0,
        }
    }

    /// Units at hand; negative after a request larger than the burst.
    pub(crate) fn level(&mut self, now: Duration) -> f64 {
        self.refill(now);
        self.level
    }

    /// Changes rate and burst, and caps the level at the new burst.
    pub fn reconfigure(&mut self, now: Duration, per_s: f64, burst: f64) {
        self.refill(now);
        self.per_s = per_s;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Scales rate, burst and level when this owner's share of the rate changes. If the share
    /// grows, the level stays: the tokens of the added share may already have been granted by
    /// another member.
    pub fn scale(&mut self, now: Duration, factor: f64) {
        self.refill(now);
        self.per_s *= factor;
        self.burst *= factor;
        self.level *= factor.min(1.0);
    }

    /// Takes units. A request larger than the burst is admitted if the bucket is full, and leaves a
    /// negative level.
    ///
    /// # Errors
    /// Returns the time until the same call would succeed.
    pub fn try_take(&mut self, now: Duration, units: f64) -> Result<(), Duration> {
        self.refill(now);
        let needed = units.min(self.burst);
        if self.level >= needed {
            self.level -= units;
            return Ok(());
        }
        let shortfall = needed - self.level;
        Err(Duration::try_from_secs_f64(shortfall / self.per_s).unwrap_or(Duration::MAX))
    }

    /// Accounts for units that another owner granted some time ago. Those that the bucket has refilled
    /// since don't count. If both granted at the same time, the level becomes negative, and the excess is
    /// made up for, up to one burst.
    pub(crate) fn deduct_elsewhere(&mut self, now: Duration, elsewhere: GrantedElsewhere) {
        self.refill(now);
        if elsewhere.age.as_secs_f64() * self.per_s >= self.burst {
            return;
        }
        let left = if now.saturating_sub(elsewhere.age) < self.created_at {
            // The initial level makes up for what was granted before, up to the rest of the burst.
            self.granted_before += elsewhere.units;
            self.burst - self.granted_before
        } else {
            self.level - elsewhere.units
        };
        self.level = self.level.min(left.max(-self.burst));
    }

    /// Returns units that were not used.
    pub fn refund(&mut self, units: f64) {
        self.level = (self.level + units).min(self.burst);
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.level = (self.level + elapsed * self.per_s).min(self.burst);
    }
}
