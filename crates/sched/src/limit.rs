//! The learned limit of tokens in flight at one target.

use crate::num::{f64_to_tokens, tokens_to_f64};

/// Growth per limit's worth of completed work that took all but `HEADROOM` of the goals, as a part
/// of the capacity.
const GROWTH_FRACTION: f64 = 1.0 / 32.0;
/// Growth slows down in proportion as the times come nearer than this to the goals.
const FULL_GROWTH_HEADROOM: f64 = 0.3;
/// Tokens that the limit loses per token of a run that missed a goal.
const DECREASE_PER_TOKEN: f64 = 0.9;
/// Factor on the limit when the target refuses work as overloaded.
const OVERLOAD_FACTOR: f64 = 0.7;
/// The limit never falls below the capacity divided by this.
const FLOOR_DIVISOR: f64 = 16.0;
/// The limit grows only while at least this part of it is used; otherwise the run shows nothing
/// about a higher limit.
const MIN_UTILIZATION: f64 = 0.5;

/// Additive increase and decrease by the cost of the runs that met or missed the goals.
///
/// Trials on the engine model of `tests/learning.rs` compared it with a gradient on the ratio of
/// goal to measured time. The best gradient served as many tokens on time and half again as many
/// late; one with a lower set point fell to the floor on an engine that takes most of the goal
/// even when idle.
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

    /// Learns from a run that met its goals while `in_flight` tokens ran. `ratio` is the largest
    /// part of a goal that it took.
    pub(crate) fn record_met(&mut self, ratio: f64, cost: u64, in_flight: u64) {
        if tokens_to_f64(in_flight) >= self.tokens * MIN_UTILIZATION {
            let share = (tokens_to_f64(cost) / self.tokens).min(1.0);
            let headroom = (1.0 - ratio).max(0.0) / FULL_GROWTH_HEADROOM;
            let growth = self.capacity * GROWTH_FRACTION * share * headroom;
            self.tokens = (self.tokens + growth).min(self.capacity);
        }
    }

    /// Learns from a run that missed a goal while `in_flight` tokens ran. A limit that was not
    /// used also moves towards the tokens in flight, as these were too many already; a warming
    /// target would grow far beyond what it can serve otherwise.
    pub(crate) fn record_missed(&mut self, cost: u64, in_flight: u64) {
        let (cost, in_flight) = (tokens_to_f64(cost), tokens_to_f64(in_flight.max(1)));
        let unused = (self.tokens - in_flight).max(0.0) * (cost / in_flight).min(1.0);
        let loss = (DECREASE_PER_TOKEN * cost + unused).min(self.tokens * (1.0 - OVERLOAD_FACTOR));
        self.tokens = (self.tokens - loss).max(self.floor());
    }

    /// Learns that the target refused work as overloaded.
    pub(crate) fn record_overload(&mut self) {
        self.tokens = (self.tokens * OVERLOAD_FACTOR).max(self.floor());
    }

    fn floor(&self) -> f64 {
        (self.capacity / FLOOR_DIVISOR).max(1.0)
    }
}
