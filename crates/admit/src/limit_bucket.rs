//! Limits the sends of one owner to a target that has named a limit.

use std::time::Duration;

/// Sends that may follow each other at once, in seconds of the limit.
const BURST_SECONDS: f64 = 1.0;
/// Lowest rate of an owner of all targets. A target that names zero, or almost zero, gets a request
/// from time to time, as only a response says that its limit has ended.
const MIN_PER_S: f64 = 0.05;

/// A bucket that refills at this owner's share of the limit.
#[derive(Clone, Debug)]
pub(crate) struct LimitBucket {
    per_s: f64,
    level: f64,
    updated_at: Duration,
}

impl LimitBucket {
    /// Creates an empty bucket: other owners may have used the limit until now.
    pub(crate) fn new(now: Duration, per_s: f64) -> Self {
        LimitBucket {
            per_s,
            level: 0.0,
            updated_at: now,
        }
    }

    pub(crate) fn set_limit(&mut self, per_s: f64) {
        self.per_s = per_s;
    }

    /// Whether one more request may be sent. `share` is this owner's share of the limit. An owner that
    /// has been the first one since `first_since` has saved nothing before: another one used the limit.
    pub(crate) fn has_room(
        &mut self,
        now: Duration,
        share: f64,
        first_since: Option<Duration>,
    ) -> bool {
        if let Some(since) = first_since.filter(|&since| since > self.updated_at) {
            self.level = self.level.min(0.0);
            self.updated_at = since;
        }
        let per_s = self.per_s.max(MIN_PER_S) * share;
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let burst = (per_s * BURST_SECONDS).max(1.0);
        self.level = (self.level + elapsed * per_s).min(burst);
        self.level >= 1.0
    }

    pub(crate) fn record_send(&mut self) {
        self.level -= 1.0;
    }
}
