//! What an owner gives out of a workspace's rate while its holder does not reply.

use std::time::Duration;

use crate::rate_holder::FleetRate;
use crate::token_bucket::TokenBucket;

/// During a fallback the holder is asked again at this interval. A holder of an older build never
/// replies.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// What all owners together give out while the holder does not reply to any: this much of the rate
/// at once, and this part of it continually. The holder may be giving out the whole rate to other
/// owners. In any 8 s this is at most 0.55 of one second's rate, the part of the overage that is
/// left beside a holder that gives out everything and is replaced once; see `RATE_OVERAGE_SHARE`.
const FALLBACK_BURST: Duration = Duration::from_millis(300);
const FALLBACK_RATE_SHARE: f64 = 0.02;
/// After this time without a fallback the next one starts with its whole burst. Longer than the
/// window of the rate.
const FALLBACK_RESET_TIME: Duration = Duration::from_secs(10);

/// Own part of the rate.
pub(crate) struct Fallback {
    bucket: TokenBucket,
    /// Largest request that is admitted, for a share of 1. Each of many owners would otherwise admit
    /// one of any size.
    max_units: f64,
    /// Share of the rate for which the bucket was made.
    share: f64,
    /// Time and level at which it was used last.
    used: (Duration, f64),
}

impl Fallback {
    /// Starts a fallback. Between fallbacks that follow each other closely the bucket is not
    /// refilled, as the holder gave out the tokens meanwhile.
    pub(crate) fn start(
        now: Duration,
        rate: FleetRate,
        share: f64,
        last: Option<Fallback>,
    ) -> Self {
        let is_recent = |last: &Fallback| now.saturating_sub(last.used.0) < FALLBACK_RESET_TIME;
        let max_units = rate.per_s * FALLBACK_BURST.as_secs_f64();
        let burst = max_units * share;
        let level = last.filter(is_recent).map_or(burst, |last| last.used.1);
        let per_s = rate.per_s * share * FALLBACK_RATE_SHARE;
        Fallback {
            bucket: TokenBucket::with_level(now, per_s, burst, level),
            max_units,
            share,
            used: (now, level),
        }
    }

    pub(crate) fn try_take(
        &mut self,
        now: Duration,
        share: f64,
        units: f64,
    ) -> Result<(), Duration> {
        if (share - self.share).abs() > f64::EPSILON {
            self.bucket.scale(now, share / self.share);
            self.share = share;
        }
        if units > self.max_units * share {
            return Err(PROBE_INTERVAL);
        }
        let taken = self.bucket.try_take(now, units);
        self.used = (now, self.bucket.level(now));
        taken
    }

    pub(crate) fn refund(&mut self, units: f64) {
        self.bucket.refund(units);
    }
}
