//! Places of one pool that become free, and the tiers that take them, from which waits are predicted.
//!
//! Answers this load: callers that are refused in a burst come back all at once, to places that the next
//! arrivals of their tier and of higher ones take.

use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of a new observation in the mean interval between ends of runs, and in the shares of tiers.
const INTERVAL_WEIGHT: f64 = 0.05;
const SHARE_WEIGHT: f64 = 0.02;
/// Longer intervals between ends of runs are ignored, because there was no work in between.
const MAX_INTERVAL: f64 = 0.2;
/// Shortest mean interval between ends of runs: 1000 per second.
const MIN_INTERVAL: f64 = 0.001;
/// Share of the places that requests get at least which come back. Bursts end, and the time to come
/// back would otherwise have no bound.
const MIN_RETURN_SHARE: f64 = 0.3;

/// Places and their use at one owner.
#[derive(Clone, Debug, Default)]
pub(crate) struct TierFlow {
    /// Mean seconds between ends of runs while there is work.
    mean_interval: f64,
    last_end: Duration,
    /// Share of the recent grants, by tier.
    shares: BTreeMap<u8, f64>,
    /// Refused requests that are expected back, by tier.
    returns: BTreeMap<u8, Returns>,
}

/// Requests that were told to return.
#[derive(Clone, Copy, Debug, Default)]
struct Returns {
    expected: f64,
    updated_at: Duration,
}

impl Returns {
    /// Number of them that are still to come if `per_s` of them find a place each second.
    fn expected(&self, now: Duration, per_s: f64) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        (self.expected - elapsed * per_s).max(0.0)
    }
}

impl TierFlow {
    pub(crate) fn record_grant(&mut self, tier: u8) {
        for share in self.shares.values_mut() {
            *share *= 1.0 - SHARE_WEIGHT;
        }
        *self.shares.entry(tier).or_default() += SHARE_WEIGHT;
    }

    pub(crate) fn record_end(&mut self, now: Duration) {
        let interval = now.saturating_sub(self.last_end).as_secs_f64();
        if interval < MAX_INTERVAL {
            self.mean_interval += (interval - self.mean_interval) * INTERVAL_WEIGHT;
        }
        self.last_end = now;
    }

    fn places_per_s(&self) -> f64 {
        1.0 / self.mean_interval.max(MIN_INTERVAL)
    }

    /// Shortest time until a request gets a place, with `ahead` others in front. Places that no higher
    /// tier can use in time go to lower ones, so what higher tiers took says little of what is left.
    pub(crate) fn min_wait(&self, ahead: f64) -> Duration {
        seconds(ahead / self.places_per_s())
    }

    /// Books the return of a refused request. Returns the time after which it finds a place: after the
    /// `ahead` requests that wait, and after those of its tier or above that were told to return before
    /// it. New requests of these tiers take places meanwhile.
    pub(crate) fn book_return(&mut self, now: Duration, tier: u8, ahead: f64) -> Duration {
        let taken: f64 = self.shares.range(..=tier).map(|(_, share)| share).sum();
        let per_s = self.places_per_s() * (1.0 - taken).max(MIN_RETURN_SHARE);
        let earlier = self.returns.range(..=tier);
        let earlier: f64 = earlier
            .map(|(_, returns)| returns.expected(now, per_s))
            .sum();
        let returns = self.returns.entry(tier).or_default();
        *returns = Returns {
            expected: returns.expected(now, per_s) + 1.0,
            updated_at: now,
        };
        seconds((ahead + earlier) / per_s)
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
