//! The learned limit of tokens in flight at one target.

use crate::num::{float, whole};

/// Growth per limit's worth of completed work, as a part of the capacity.
const GROWTH: f64 = 1.0 / 32.0;
/// Tokens that the limit loses per token of a run that missed a goal. At the capacity, growth and
/// loss balance when 5 in 100 tokens miss: 0.95 / 32 = 0.05 * 0.6.
const LOSS: f64 = 0.6;
/// Factor on the limit when the target refuses work as overloaded.
const OVERLOADED: f64 = 0.7;
/// The limit never falls below the capacity divided by this.
const FLOOR: f64 = 16.0;
/// The limit grows only while at least this part of it is used; otherwise the run shows nothing
/// about a higher limit.
const USED: f64 = 0.5;

/// Additive increase and proportional decrease by the cost of the runs that met or missed the
/// goals.
pub(crate) struct Limit {
    tokens: f64,
    capacity: f64,
}

impl Limit {
    pub(crate) fn new(capacity: u64) -> Self {
        let capacity = float(capacity.max(1));
        Limit {
            tokens: capacity,
            capacity,
        }
    }

    pub(crate) fn get(&self) -> u64 {
        whole(self.tokens)
    }

    pub(crate) fn set(&mut self, tokens: u64) {
        self.tokens = float(tokens).clamp(self.floor(), self.capacity);
    }

    /// Changes the upper bound. A limit that was at the old bound moves to the new one.
    pub(crate) fn set_capacity(&mut self, capacity: u64) {
        let capacity = float(capacity.max(1));
        if self.tokens >= self.capacity {
            self.tokens = capacity;
        }
        self.capacity = capacity;
        self.tokens = self.tokens.clamp(self.floor(), capacity);
    }

    /// Learns from a run that met the goals while `in_flight` tokens ran.
    pub(crate) fn met(&mut self, cost: u64, in_flight: u64) {
        if float(in_flight) >= self.tokens * USED {
            let share = (float(cost) / self.tokens).min(1.0);
            self.tokens = (self.tokens + self.capacity * GROWTH * share).min(self.capacity);
        }
    }

    /// Learns from a run that missed a goal.
    pub(crate) fn missed(&mut self, cost: u64) {
        let loss = (LOSS * float(cost)).min(self.tokens * (1.0 - OVERLOADED));
        self.tokens = (self.tokens - loss).max(self.floor());
    }

    /// Learns that the target refused work as overloaded.
    pub(crate) fn overloaded(&mut self) {
        self.tokens = (self.tokens * OVERLOADED).max(self.floor());
    }

    fn floor(&self) -> f64 {
        (self.capacity / FLOOR).max(1.0)
    }
}
