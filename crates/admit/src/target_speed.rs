//! Speed of targets, learned from their responses.
//!
//! Engines of one pool differ in speed by a factor of five, and a slow one makes every request late
//! that reads a long prompt. Reports of load don't tell the speed.

use std::time::Duration;

use crate::offer::{RunReport, TargetLoad};

/// Weight of a new observation of one target, and of one pool.
const TARGET_WEIGHT: f64 = 0.2;
const POOL_WEIGHT: f64 = 0.02;
/// Shorter prompts say little about the speed at which prompts are read, as the first event takes
/// some time by itself.
const MIN_OBSERVED_PROMPT: u32 = 2000;
/// Share of pauses that are shorter than the pause that is expected while a long prompt is read.
const PAUSE_QUANTILE: f64 = 0.95;
/// Step by which the expected pause follows the observations, as a fraction of itself.
const PAUSE_STEP: f64 = 0.05;
/// Pauses, in units of work, that are taken for pauses by long prompts. A longer one is a fault.
const MAX_PAUSE_UNITS: f64 = 40.0;
/// A reported slowdown is used for this long. Machines change their speed several times a second.
const SLOWDOWN_MEMORY: Duration = Duration::from_millis(250);
/// Reported slowdowns outside this range are taken as faults, as are reports of no time at all.
const SLOWDOWN_RANGE: std::ops::RangeInclusive<u32> = 20..=2000;

/// What is known of the speed of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetSpeed {
    /// Mean seconds per unit of work: between events of a stream, or for a whole response.
    unit: Option<f64>,
    /// Factor by which work takes longer at this moment, and the time of the report.
    slowdown: Option<(f64, Duration)>,
}

impl TargetSpeed {
    /// Mean seconds per unit of work, if any was observed.
    pub(crate) fn unit(&self) -> Option<f64> {
        self.unit
    }

    pub(crate) fn record_unit(&mut self, time_per_unit: Duration) {
        let seconds = time_per_unit.as_secs_f64();
        self.unit = Some(moved(self.unit, seconds, TARGET_WEIGHT));
    }

    pub(crate) fn record_load(&mut self, now: Duration, load: &TargetLoad) {
        let percent = load
            .slowdown_percent
            .filter(|percent| SLOWDOWN_RANGE.contains(percent));
        if let Some(percent) = percent {
            self.slowdown = Some((f64::from(percent) / 100.0, now));
        }
    }

    /// Seconds per unit of work now, given the mean of the pool for a target that is not yet known.
    pub(crate) fn unit_now(&self, now: Duration, pool_unit: f64) -> f64 {
        let factor = self
            .slowdown
            .filter(|&(_, at)| now.saturating_sub(at) < SLOWDOWN_MEMORY)
            .map_or(1.0, |(factor, _)| factor);
        self.unit.unwrap_or(pool_unit) * factor
    }
}

/// What the targets of a pool have in common, in units of work of the target.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolSpeed {
    /// Units of work that reading one prompt token takes.
    read_per_token: Option<f64>,
    /// Longest pause beside a long prompt, in units of work.
    pause: Option<f64>,
    /// Events and expected output tokens of the streams that were served.
    events: f64,
    expected_tokens: f64,
}

impl PoolSpeed {
    /// Records the first event of a stream whose target read no other prompt when it was sent.
    pub(crate) fn record_start(&mut self, first_event: Duration, prompt_tokens: u32, unit: f64) {
        if prompt_tokens < MIN_OBSERVED_PROMPT || unit <= 0.0 {
            return;
        }
        let reading = (first_event.as_secs_f64() - unit).max(0.0);
        let per_token = reading / unit / f64::from(prompt_tokens);
        // Prompts that are already in the cache take no time.
        if per_token > 0.0 {
            self.read_per_token = Some(moved(self.read_per_token, per_token, POOL_WEIGHT));
        }
    }

    /// Records a stream that was served completely.
    pub(crate) fn record_end(
        &mut self,
        report: &RunReport,
        expected_output: Option<u32>,
        unit: Option<f64>,
    ) {
        if let (Some(events), Some(expected)) = (report.events, expected_output) {
            self.events += (f64::from(events) - self.events) * POOL_WEIGHT;
            self.expected_tokens += (f64::from(expected) - self.expected_tokens) * POOL_WEIGHT;
        }
        if let (Some(pause), Some(unit)) = (report.longest_pause, unit)
            && unit > 0.0
        {
            self.record_pause(pause.as_secs_f64() / unit);
        }
    }

    /// Follows a quantile of the pauses.
    fn record_pause(&mut self, units: f64) {
        if units > MAX_PAUSE_UNITS {
            return;
        }
        let pause = self.pause.get_or_insert(units.max(1.0));
        *pause += if units > *pause {
            *pause * PAUSE_STEP * PAUSE_QUANTILE
        } else {
            -*pause * PAUSE_STEP * (1.0 - PAUSE_QUANTILE)
        };
    }

    /// Units of work that reading a prompt takes; `None` if no long prompt was read yet.
    pub(crate) fn read_units(&self, prompt_tokens: u32) -> Option<f64> {
        Some(self.read_per_token? * f64::from(prompt_tokens))
    }

    /// Longest pause of other streams while a prompt is read, in units of work.
    pub(crate) fn pause_units(&self, read_units: f64) -> f64 {
        1.0 + self.pause.map_or(read_units, |pause| read_units.min(pause))
    }

    /// Events that are expected of a stream; `None` if it is unknown.
    pub(crate) fn expected_events(&self, expected_output: Option<u32>) -> Option<f64> {
        let per_token = self.events / self.expected_tokens;
        per_token
            .is_finite()
            .then(|| expected_output.map(|tokens| f64::from(tokens) * per_token))
            .flatten()
    }
}

/// A moving average after a new observation.
fn moved(mean: Option<f64>, observed: f64, weight: f64) -> f64 {
    mean.map_or(observed, |mean| mean + (observed - mean) * weight)
}
