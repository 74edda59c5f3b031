//! Demand for the tokens of a workspace at one owner.

use std::time::Duration;

/// Time over which demand is measured, and for which a lease is meant to last.
const DEMAND_TIME: Duration = Duration::from_millis(250);

/// Units asked for in the current and in the previous quarter second.
#[derive(Default)]
pub(crate) struct RateDemand {
    since: Duration,
    current: f64,
    previous: f64,
}

impl RateDemand {
    fn roll(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.since);
        if elapsed >= DEMAND_TIME {
            let is_next = elapsed < DEMAND_TIME * 2;
            self.previous = if is_next { self.current } else { 0.0 };
            self.current = 0.0;
            self.since = now;
        }
    }

    pub(crate) fn add(&mut self, now: Duration, units: f64) {
        self.roll(now);
        self.current += units;
    }

    pub(crate) fn last_quarter_second(&mut self, now: Duration) -> f64 {
        self.roll(now);
        self.current.max(self.previous)
    }
}
