//! Budget of retries for one pool, over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

/// Fraction of the allowed retries that is used. An owner that takes over doesn't know how many
/// retries the previous owner allowed in the same window.
const USED_SHARE: f64 = 0.5;
/// Number of slices into which the window is divided.
const SLICES: u32 = 10;

#[derive(Clone, Copy, Debug, Default)]
struct WindowSlice {
    start: Duration,
    first_sends: f64,
    retries: f64,
}

/// Counts first sends and retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    slices: VecDeque<WindowSlice>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per first send in the window, plus `slack`.
    #[must_use]
    pub fn new(window: Duration, ratio: f64, slack: f64) -> Self {
        RetryBudget {
            window,
            ratio,
            slack,
            slices: VecDeque::new(),
        }
    }

    /// Records the first send of a request.
    pub fn record_first_send(&mut self, now: Duration) {
        self.current_slice(now).first_sends += 1.0;
    }

    /// Takes one retry from the budget if there is one. `share` is this owner's share of the slack.
    pub fn try_take_retry(&mut self, now: Duration, share: f64) -> bool {
        self.current_slice(now);
        let first_sends: f64 = self.slices.iter().map(|slice| slice.first_sends).sum();
        let retries: f64 = self.slices.iter().map(|slice| slice.retries).sum();
        let allowed = (self.ratio * first_sends + self.slack * share) * USED_SHARE;
        if retries + 1.0 > allowed {
            return false;
        }
        self.current_slice(now).retries += 1.0;
        true
    }

    fn current_slice(&mut self, now: Duration) -> &mut WindowSlice {
        let length = self.window / SLICES;
        let keep = self.window + length;
        while self
            .slices
            .front()
            .is_some_and(|slice| now.saturating_sub(slice.start) > keep)
        {
            self.slices.pop_front();
        }
        let is_new = |slice: &WindowSlice| now.saturating_sub(slice.start) >= length;
        if self.slices.back().is_none_or(is_new) {
            self.slices.push_back(WindowSlice {
                start: now,
                ..WindowSlice::default()
            });
        }
        self.slices.back_mut().expect("the current slice exists")
    }
}
