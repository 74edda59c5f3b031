//! The largest or smallest number of a sliding window.

use std::cmp::Ordering;
use std::collections::VecDeque;
use std::time::Duration;

/// Numbers of the last `window` that no later one replaces.
pub(crate) struct SlidingExtremum {
    window: Duration,
    /// How an earlier number compares to a later one beside which it is kept.
    kept: Ordering,
    entries: VecDeque<(Duration, usize)>,
}

impl SlidingExtremum {
    /// Keeps the largest number.
    pub(crate) fn largest(window: Duration) -> Self {
        SlidingExtremum {
            window,
            kept: Ordering::Greater,
            entries: VecDeque::new(),
        }
    }

    /// Keeps the smallest number.
    pub(crate) fn smallest(window: Duration) -> Self {
        SlidingExtremum {
            kept: Ordering::Less,
            ..SlidingExtremum::largest(window)
        }
    }

    pub(crate) fn push(&mut self, now: Duration, number: usize) {
        while self
            .entries
            .back()
            .is_some_and(|(_, earlier)| earlier.cmp(&number) != self.kept)
        {
            self.entries.pop_back();
        }
        self.entries.push_back((now, number));
        while self
            .entries
            .front()
            .is_some_and(|&(at, _)| now.saturating_sub(at) > self.window)
        {
            self.entries.pop_front();
        }
    }

    /// The extreme number at the last push.
    pub(crate) fn get(&self) -> Option<usize> {
        self.entries.front().map(|&(_, number)| number)
    }
}
