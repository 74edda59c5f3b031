//! Chooses a target by the time at which a request, and the streams beside it, would be late there.
//!
//! Answers this load: prompts of a hundred to fifty thousand tokens on engines whose speed differs by
//! a factor of five. By load alone, long prompts end up on slow engines, where their first event is
//! late, their output does not end within its time limit, and all streams beside them pause.

use std::time::Duration;

use crate::convert::count_to_f64;
use crate::grant::is_of_shard;
use crate::model::Name;
use crate::offer::Offer;
use crate::owner::Owner;
use crate::target::TargetState;

/// What a target is expected to need for a request, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Estimate {
    /// Until the first event, or until the whole response.
    pub(crate) first: f64,
    /// Until the end.
    pub(crate) total: f64,
    /// Longest pause of streams beside it.
    pub(crate) pause: f64,
}

/// What a request bears, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Bounds {
    pub(crate) first: f64,
    pub(crate) total: f64,
    pub(crate) pause: f64,
}

/// Time for which the mean speed of a pool is used. Speeds are averages over many runs.
const MEAN_UNIT_MEMORY: Duration = Duration::from_millis(100);
/// Times are estimates; a request fits only if this multiple of the time to its first event is left.
pub(crate) const FIRST_MARGIN: f64 = 1.25;
/// Callers estimate the output to within a factor of two. With this one, six in seven streams end
/// within the estimate.
const TOTAL_MARGIN: f64 = 1.6;
/// A target counts as good as the best one if it needs up to this multiple of its time.
const BEST_TOLERANCE: f64 = 1.5;

impl Bounds {
    /// Widens bounds that no target is expected to keep to what the best one needs. Estimates may be
    /// wrong, and a request without a target would be refused beside idle ones.
    pub(crate) fn widened_to(self, best: &Estimate) -> Bounds {
        let widened = |bound: f64, best: f64| {
            if best > bound {
                best * BEST_TOLERANCE
            } else {
                bound
            }
        };
        Bounds {
            first: widened(self.first, best.first * FIRST_MARGIN),
            total: widened(self.total, best.total * TOTAL_MARGIN),
            pause: widened(self.pause, best.pause),
        }
    }
}

impl Estimate {
    /// The least of each time.
    fn least(self, other: Estimate) -> Estimate {
        Estimate {
            first: self.first.min(other.first),
            total: self.total.min(other.total),
            pause: self.pause.min(other.pause),
        }
    }

    /// How much of its bounds a request would use: it fits up to 1.
    pub(crate) fn tightness(&self, bounds: &Bounds) -> f64 {
        let first = used(self.first * FIRST_MARGIN, bounds.first);
        let pause = used(self.pause, bounds.pause);
        first.max(pause).max(self.total_tightness(bounds))
    }

    /// How much of its time limit a request would use.
    pub(crate) fn total_tightness(&self, bounds: &Bounds) -> f64 {
        used(self.total * TOTAL_MARGIN, bounds.total)
    }

    /// Whether it would end within its time limit, without too long a pause for the streams beside
    /// it. Its first event may be late.
    pub(crate) fn can_finish(&self, bounds: &Bounds) -> bool {
        self.total_tightness(bounds) <= 1.0 && self.pause <= bounds.pause
    }
}

fn used(time: f64, bound: f64) -> f64 {
    if time <= 0.0 {
        0.0
    } else if bound <= 0.0 {
        f64::INFINITY
    } else {
        time / bound
    }
}

impl Owner {
    /// How much of its bounds a request would use at a target; zero if nothing is known. `None` if it
    /// could not end there, or would stop the streams beside it for too long.
    pub(crate) fn tightness(
        &self,
        now: Duration,
        state: &TargetState,
        offer: &Offer,
        bounds: &Bounds,
        pool_unit: f64,
    ) -> Option<f64> {
        let Some(mut estimate) = self.estimate(now, state, offer, pool_unit) else {
            return Some(0.0);
        };
        if state.running == 0 {
            estimate.pause = 0.0;
        }
        estimate
            .can_finish(bounds)
            .then(|| estimate.tightness(bounds))
    }

    /// What a target is expected to need for a request; `None` if too little is known.
    pub(crate) fn estimate(
        &self,
        now: Duration,
        state: &TargetState,
        offer: &Offer,
        pool_unit: f64,
    ) -> Option<Estimate> {
        let unit = state.speed.unit_now(now, pool_unit);
        if unit <= 0.0 {
            return None;
        }
        if offer.token_counts.is_none() {
            return Some(Estimate {
                first: unit,
                total: unit,
                pause: 0.0,
            });
        }
        let speed = &self.pools.get(&offer.pool)?.speed;
        let read = speed.read_units(offer.prompt_tokens())?;
        let queued = state.reading_until.saturating_sub(now).as_secs_f64();
        let first = queued + unit * (1.0 + read);
        let events = speed.expected_events(offer.expected_output).unwrap_or(0.0);
        Some(Estimate {
            first,
            total: first + unit * events,
            pause: unit * speed.pause_units(read),
        })
    }

    /// The least that any open target of the shard needs for a request; `None` if too little is known.
    pub(crate) fn best_estimate(&mut self, now: Duration, offer: &Offer) -> Option<Estimate> {
        let pool_unit = self.mean_unit(now, &offer.pool);
        let states = self.targets.values();
        let usable = states.filter(|state| state.open && is_of_shard(state, offer));
        let estimates = usable.filter_map(|state| self.estimate(now, state, offer, pool_unit));
        estimates.reduce(Estimate::least)
    }

    /// Mean seconds per unit of work over the targets of a pool; zero if none is known.
    pub(crate) fn mean_unit(&mut self, now: Duration, pool: &Name) -> f64 {
        let (mean, computed_at) = self.pool(pool).mean_unit;
        if mean > 0.0 && now.saturating_sub(computed_at) < MEAN_UNIT_MEMORY {
            return mean;
        }
        let states = self.targets.values().filter(|state| state.pool == *pool);
        let (sum, count) = states
            .filter_map(|state| state.speed.unit())
            .fold((0.0, 0), |(sum, count), unit| (sum + unit, count + 1));
        let mean = if count == 0 {
            0.0
        } else {
            sum / count_to_f64(count)
        };
        self.pool(pool).mean_unit = (mean, now);
        mean
    }
}
