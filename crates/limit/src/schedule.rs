//! The limit in force and the increases that wait for the propagation time.

use std::collections::VecDeque;
use std::time::Duration;

use crate::model::Limit;

/// Applies decreases at once and increases after the propagation time, so that no daemon uses an
/// increase while another still counts on a limit from before the decrease that came first.
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

    /// Puts the limit of a new sheet in force.
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

    /// Applies the next increase due at `now` and returns its time.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<(Duration, Limit)> {
        let &(at, _) = self.pending.front()?;
        if at > now {
            return None;
        }
        self.pending.pop_front()
    }

    /// Sets the limit that [`Self::next_due`] returned.
    pub(crate) fn apply(&mut self, limit: Limit) {
        self.current = limit;
    }
}
