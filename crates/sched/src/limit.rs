//! The learned limit on the tokens in flight at one target.

use crate::num::{f64_to_tokens, tokens_to_f64};

/// Growth, as a fraction of the capacity, for each limit's worth of completed work whose times were
/// `FULL_GROWTH_HEADROOM` below the goals.
const GROWTH_FRACTION: f64 = 1.0 / 32.0;
/// With less headroom to the goals than this fraction, growth is proportionally slower; with more,
/// it is faster.
const FULL_GROWTH_HEADROOM: f64 = 0.3;
/// Decrease of the limit per token of a run that missed a goal.
const DECREASE_PER_TOKEN: f64 = 0.9;
/// The limit is multiplied by this when the target refuses work as overloaded. A missed goal
/// decreases it by no larger factor.
const OVERLOAD_FACTOR: f64 = 0.7;
/// The lower bound of the limit is the capacity divided by this.
const FLOOR_DIVISOR: f64 = 16.0;
/// The limit grows only while at least this fraction of it is used; a run at lower utilization
/// doesn't show whether a higher limit is safe.
const MIN_UTILIZATION: f64 = 0.5;

/// Additive increase and additive decrease, weighted by the cost of the runs that met or missed
/// the goals.
///
/// Trials on the engine model of `tests/learning.rs` compared it with a gradient algorithm on the
/// ratio of goal to measured time. The best gradient variant served as many tokens on time but
/// 1.5 times as many late; a variant with a lower set point fell to the lower bound on an engine
/// whose times are close to the goals even when idle.
pub(crate) struct LearnedLimit {
    tokens: f64,
    capacity: f64,
}

impl LearnedLimit {
    pub(crate) fn new(capacity: u64) -> Self {
        let capacity = tokens_to_f64(capacity.max(1));
        LearnedLimit {
            tokens: capacity,
            capacity,
        }
    }

    pub(crate) fn get(&self) -> u64 {
        f64_to_tokens(self.tokens)
    }

    pub(crate) fn set(&mut self, tokens: u64) {
        self.tokens = tokens_to_f64(tokens).clamp(self.floor(), self.capacity);
    }

    /// Changes the upper bound. A limit that was at the old bound moves to the new one.
    pub(crate) fn set_capacity(&mut self, capacity: u64) {
        let capacity = tokens_to_f64(capacity.max(1));
        if self.tokens >= self.capacity {
            self.tokens = capacity;
        }
        self.capacity = capacity;
        self.tokens = self.tokens.clamp(self.floor(), capacity);
    }

    /// Increases the limit after a run that met its goals with `in_flight` tokens at the target.
    /// `ratio` is the largest ratio of measured time to goal.
    pub(crate) fn record_met(&mut self, ratio: f64, cost: u64, in_flight: u64) {
        if tokens_to_f64(in_flight) >= self.tokens * MIN_UTILIZATION {
            let share = (tokens_to_f64(cost) / self.tokens).min(1.0);
            let headroom = (1.0 - ratio).max(0.0) / FULL_GROWTH_HEADROOM;
            let growth = self.capacity * GROWTH_FRACTION * share * headroom;
            self.tokens = (self.tokens + growth).min(self.capacity);
        }
    }

    /// Decreases the limit after a run that missed a goal with `in_flight` tokens at the target. A
    /// limit above `in_flight` also moves towards it, because that many tokens were already too
    /// many; otherwise the allowance of a warming target would grow far beyond what it can serve.
    pub(crate) fn record_missed(&mut self, cost: u64, in_flight: u64) {
        let (cost, in_flight) = (tokens_to_f64(cost), tokens_to_f64(in_flight.max(1)));
        let unused = (self.tokens - in_flight).max(0.0) * (cost / in_flight).min(1.0);
        let loss = (DECREASE_PER_TOKEN * cost + unused).min(self.tokens * (1.0 - OVERLOAD_FACTOR));
        self.tokens = (self.tokens - loss).max(self.floor());
    }

    /// Decreases the limit after the target refused work as overloaded.
    pub(crate) fn record_overload(&mut self) {
        self.tokens = (self.tokens * OVERLOAD_FACTOR).max(self.floor());
    }

    fn floor(&self) -> f64 {
        (self.capacity / FLOOR_DIVISOR).max(1.0)
    }
}
