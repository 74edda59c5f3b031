//! Estimators of the time to first token and of the time between tokens.

use std::time::Duration;

use crate::num::tokens_to_f64;

/// Factor on the weight of older samples when a new one arrives.
const SAMPLE_DECAY: f64 = 0.97;
/// Total sample weight below which there is no estimate.
const MIN_SAMPLE_WEIGHT: f64 = 3.0;
/// Time in which an estimate falls to one half without samples. Otherwise an estimate so high that
/// all work is shed would get no more samples and would never be corrected. The estimate falls with
/// the inverse of the age, because computing an exponential for each target makes a decision too
/// slow.
const HALF_LIFE_SECONDS: f64 = 5.0;
/// Factor by which the lowest time per prompt token may rise with each sample.
const MIN_SECONDS_DRIFT: f64 = 1.001;

/// Weighted linear regression of the time to first token over the prompt length.
#[derive(Clone, Debug, Default)]
pub(crate) struct FirstTokenEstimator {
    weight: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
    /// Lowest seconds per prompt token seen, with a slow upward drift.
    min_seconds_per_token: Option<f64>,
    /// Regression line: seconds for an empty prompt, and seconds per prompt token.
    intercept: f64,
    slope: f64,
    last_sample: Duration,
}

impl FirstTokenEstimator {
    pub(crate) fn record(&mut self, now: Duration, prompt: u64, seconds: f64) {
        let x = tokens_to_f64(prompt);
        self.weight = self.weight * SAMPLE_DECAY + 1.0;
        self.sum_x = self.sum_x * SAMPLE_DECAY + x;
        self.sum_y = self.sum_y * SAMPLE_DECAY + seconds;
        self.sum_xx = self.sum_xx * SAMPLE_DECAY + x * x;
        self.sum_xy = self.sum_xy * SAMPLE_DECAY + x * seconds;
        let seconds_per_token = seconds / x.max(1.0);
        self.min_seconds_per_token = Some(self.min_seconds_per_token.map_or(
            seconds_per_token,
            |min_seconds_per_token| {
                seconds_per_token.min(min_seconds_per_token * MIN_SECONDS_DRIFT)
            },
        ));
        self.last_sample = now;
        self.fit();
    }

    fn fit(&mut self) {
        let mean_x = self.sum_x / self.weight;
        let mean_y = self.sum_y / self.weight;
        let variance = self.sum_xx / self.weight - mean_x * mean_x;
        let covariance = self.sum_xy / self.weight - mean_x * mean_y;
        // Prompts of nearly equal length don't determine the slope.
        self.slope = if variance > mean_x * mean_x * 1e-3 {
            (covariance / variance).max(0.0)
        } else {
            0.0
        };
        self.intercept = mean_y - self.slope * mean_x;
    }

    /// Estimated seconds to the first token, if there are enough samples.
    pub(crate) fn estimate(&self, now: Duration, prompt: u64) -> Option<f64> {
        if self.weight < MIN_SAMPLE_WEIGHT {
            return None;
        }
        let seconds = (self.intercept + self.slope * tokens_to_f64(prompt)).max(0.0);
        let age = now.saturating_sub(self.last_sample).as_secs_f64();
        Some(seconds / (1.0 + age / HALF_LIFE_SECONDS))
    }

    /// Lowest expected seconds to the first token, as on an unloaded target.
    pub(crate) fn min_prefill_seconds(&self, prompt: u64) -> f64 {
        self.min_seconds_per_token.unwrap_or(0.0) * tokens_to_f64(prompt)
    }
}

/// Exponentially weighted moving average.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingAverage(Option<f64>);

impl MovingAverage {
    pub(crate) fn record(&mut self, value: f64) {
        self.0 = Some(self.0.map_or(value, |mean| mean * 0.9 + value * 0.1));
    }

    pub(crate) fn get(self) -> Option<f64> {
        self.0
    }
}
