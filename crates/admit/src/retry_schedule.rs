//! Spreads the retry times of refused callers.

use std::time::Duration;

/// Refused requests that are expected back. Callers that come back all at once would be refused
/// again, so each one gets a later time than those before it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetrySchedule {
    pending: f64,
    updated_at: Duration,
}

impl RetrySchedule {
    /// Schedules a refused request. `per_s` requests are admitted per second, and `ahead` others
    /// are queued before it. Returns the time after which it would be admitted.
    pub(crate) fn schedule(&mut self, now: Duration, ahead: f64, per_s: f64) -> Duration {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.pending = (self.pending - elapsed * per_s).max(0.0);
        let wait = (ahead.max(0.0) + self.pending) / per_s;
        self.pending += 1.0;
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }
}
