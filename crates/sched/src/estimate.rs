//! Estimates of the time to first token by the number of prompt tokens.

use std::time::Duration;

use crate::num::float;

/// Weight that older samples keep when a new one arrives.
const KEEP: f64 = 0.97;
/// Fewer samples (by weight) than this give no estimate.
const ENOUGH: f64 = 3.0;
/// Without samples an estimate halves in this time; otherwise one that sheds all work, and so
/// gets no more samples, would never be corrected. It falls with the
/// inverse of the age: an exponential for each target is too slow for a decision.
const HALF_LIFE: f64 = 5.0;
/// Upward drift of the least time per prompt token with each sample.
const DRIFT: f64 = 1.001;

/// Weighted linear regression of the time to first token over the prompt length.
#[derive(Clone, Debug, Default)]
pub(crate) struct FirstToken {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    /// Least seconds per prompt token seen, with a slow upward drift.
    least: Option<f64>,
    /// The regression line: seconds at no prompt token and for each.
    base: f64,
    slope: f64,
    updated: Duration,
}

impl FirstToken {
    pub(crate) fn learn(&mut self, now: Duration, prompt: u64, seconds: f64) {
        let x = float(prompt);
        self.n = self.n * KEEP + 1.0;
        self.x = self.x * KEEP + x;
        self.y = self.y * KEEP + seconds;
        self.xx = self.xx * KEEP + x * x;
        self.xy = self.xy * KEEP + x * seconds;
        let rate = seconds / x.max(1.0);
        self.least = Some(self.least.map_or(rate, |least| rate.min(least * DRIFT)));
        self.updated = now;
        self.fit();
    }

    fn fit(&mut self) {
        let mean_x = self.x / self.n;
        let mean_y = self.y / self.n;
        let variance = self.xx / self.n - mean_x * mean_x;
        let covariance = self.xy / self.n - mean_x * mean_y;
        // Prompts of nearly one length say nothing about the slope.
        self.slope = if variance > mean_x * mean_x * 1e-3 {
            (covariance / variance).max(0.0)
        } else {
            0.0
        };
        self.base = mean_y - self.slope * mean_x;
    }

    /// Estimated seconds until the first token, if enough runs were seen.
    pub(crate) fn estimate(&self, now: Duration, prompt: u64) -> Option<f64> {
        if self.n < ENOUGH {
            return None;
        }
        let seconds = (self.base + self.slope * float(prompt)).max(0.0);
        let age = now.saturating_sub(self.updated).as_secs_f64();
        Some(seconds / (1.0 + age / HALF_LIFE))
    }

    /// Seconds that the prompt takes on an unloaded target at the least.
    pub(crate) fn unloaded(&self, prompt: u64) -> f64 {
        self.least.unwrap_or(0.0) * float(prompt)
    }
}

/// Exponentially weighted mean.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean(Option<f64>);

impl Mean {
    pub(crate) fn learn(&mut self, value: f64) {
        self.0 = Some(self.0.map_or(value, |mean| mean * 0.9 + value * 0.1));
    }

    pub(crate) fn get(self) -> Option<f64> {
        self.0
    }
}
