//! The limit in effect and increases that are delayed by the propagation time.

use std::collections::VecDeque;
use std::time::Duration;

use crate::model::Limit;

/// Applies decreases at once and increases after the propagation time. Otherwise, when an increase
/// follows a decrease, one daemon could use the increase while another still uses the limit from
/// before the decrease.
#[derive(Debug, Default)]
pub(crate) struct LimitSchedule {
    current: Limit,
    pending: VecDeque<(Duration, Limit)>,
}

impl LimitSchedule {
    pub(crate) fn new(limit: Limit) -> Self {
        Self {
            current: limit,
            pending: VecDeque::new(),
        }
    }

    pub(crate) fn current(&self) -> Limit {
        self.current
    }

    /// Sets the limit of a new sheet: decreases take effect at once, increases at time `at`.
    pub(crate) fn set(&mut self, limit: Limit, at: Duration) {
        let newest = self.pending.back().map_or(self.current, |&(_, l)| l);
        if newest == limit {
            return;
        }
        self.current = self.current.min(limit);
        for (_, pending) in &mut self.pending {
            *pending = pending.min(limit);
        }
        self.pending.push_back((at, limit));
    }

    /// Removes and returns the next limit that is due at `now`, with its time.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<(Duration, Limit)> {
        let &(at, _) = self.pending.front()?;
        if at > now {
            return None;
        }
        self.pending.pop_front()
    }

    /// Makes the limit that [`Self::pop_due`] returned take effect.
    pub(crate) fn apply(&mut self, limit: Limit) {
        self.current = limit;
    }
}
