//! Largest or smallest value in a sliding window.

use std::cmp::Ordering;
use std::collections::VecDeque;
use std::time::Duration;

/// Values of the last `window` that no later value supersedes.
pub struct SlidingExtremum {
    window: Duration,
    /// Order of an earlier value relative to a later one for which the earlier one is retained.
    retained_order: Ordering,
    samples: VecDeque<(Duration, usize)>,
}

impl SlidingExtremum {
    /// Tracks the largest value.
    #[must_use]
    pub fn largest(window: Duration) -> Self {
        SlidingExtremum {
            window,
            retained_order: Ordering::Greater,
            samples: VecDeque::new(),
        }
    }

    /// Tracks the smallest value.
    #[must_use]
    pub fn smallest(window: Duration) -> Self {
        SlidingExtremum {
            retained_order: Ordering::Less,
            ..SlidingExtremum::largest(window)
        }
    }

    /// Records a value.
    pub fn push(&mut self, now: Duration, value: usize) {
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

    /// The extremum as of the last push.
    #[must_use]
    pub fn get(&self) -> Option<usize> {
        self.samples.front().map(|&(_, value)| value)
    }
}
