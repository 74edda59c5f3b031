//! The largest or smallest number of a sliding window.

use std::cmp::Ordering;
use std::collections::VecDeque;
use std::time::Duration;

/// Numbers of the last `window` that no later one replaces.
pub(crate) struct SlidingExtremum {
    window: Duration,
    /// How an earlier number compares to a later one beside which it is kept.
    retained_order: Ordering,
    samples: VecDeque<(Duration, usize)>,
}

impl SlidingExtremum {
    /// Keeps the largest number.
    pub(crate) fn largest(window: Duration) -> Self {
        SlidingExtremum {
            window,
            retained_order: Ordering::Greater,
            samples: VecDeque::new(),
        }
    }

    /// Keeps the smallest number.
    pub(crate) fn smallest(window: Duration) -> Self {
        SlidingExtremum {
            retained_order: Ordering::Less,
            ..SlidingExtremum::largest(window)
        }
    }

    pub(crate) fn push(&mut self, now: Duration, value: usize) {
        while self
            .samples
            .back()
            .is_some_and(|(_, earlier)| earlier.cmp(&value) != self.retained_order)
        {
            self.samples.pop_back();
        }
        self.samples.push_back((now, value));
        while self
            .samples
            .front()
            .is_some_and(|&(at, _)| now.saturating_sub(at) > self.window)
        {
            self.samples.pop_front();
        }
    }

    /// The extreme number at the last push.
    pub(crate) fn get(&self) -> Option<usize> {
        self.samples.front().map(|&(_, value)| value)
    }
}
