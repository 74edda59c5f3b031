//! Level, accrual and refunds of the held parts of one workspace.
//!
//! The parts that one daemon holds form one pool, so that the time of a reservation doesn't depend
//! on their number. With `n` parts, level + refundable <= `n` capacities. Therefore the sum over
//! all pools and parts in transit is at most the burst, and only accrual increases it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::model::{Limit, PARTS};

/// Nanoseconds x tokens per second x parts that accrue one millionth of a token.
const ACCRUAL_DIVISOR: u128 = 1_000 * PARTS as u128;

/// Millionths of a token that `parts` parts accrue in `span`, and the remainder for the next call.
pub(crate) fn accrued(limit: Limit, parts: u32, span: Duration, remainder: u128) -> (u64, u128) {
    let sum = u128::from(limit.rate)
        .saturating_mul(u128::from(parts))
        .saturating_mul(span.as_nanos())
        .saturating_add(remainder);
    (
        u64::try_from(sum / ACCRUAL_DIVISOR).unwrap_or(u64::MAX),
        sum % ACCRUAL_DIVISOR,
    )
}

/// Tokens of all held parts of one workspace. Amounts are in millionths of a token.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    level: u64,
    /// Tokens used beyond reservations while the level was zero; accrual pays them first.
    debt: u64,
    /// Remainder of accrual, kept so that frequent calls lose nothing to rounding.
    remainder: u128,
    refunds: Refunds,
}

impl Pool {
    /// Creates an empty pool whose reservation numbers start at `first_seq`.
    pub(crate) fn new(first_seq: u64) -> Self {
        Self {
            refunds: Refunds {
                first_seq,
                ..Refunds::default()
            },
            ..Self::default()
        }
    }

    pub(crate) fn level(&self) -> u64 {
        self.level
    }

    pub(crate) fn debt(&self) -> u64 {
        self.debt
    }

    pub(crate) fn refundable(&self) -> u64 {
        self.refunds.total
    }

    /// Adds the accrual of `parts` parts over `span`.
    pub(crate) fn accrue(&mut self, limit: Limit, parts: u32, span: Duration) {
        if parts == 0 {
            return;
        }
        let (gain, remainder) = accrued(limit, parts, span, self.remainder);
        self.remainder = remainder;
        self.add(gain);
        self.clip_to_capacity(limit.capacity(parts));
    }

    /// Adds tokens, which pay debt first. The caller clips the pool to its capacity.
    pub(crate) fn add(&mut self, micros: u64) {
        let paid = micros.min(self.debt);
        self.debt -= paid;
        self.level = self.level.saturating_add(micros - paid);
    }

    /// Removes tokens that leave with a part.
    pub(crate) fn remove(&mut self, micros: u64) {
        self.level = self.level.saturating_sub(micros);
    }

    /// Restores level + refundable <= capacity. Clips the oldest refunds before the level: their
    /// tokens were most likely used, and the level can be spent now.
    pub(crate) fn clip_to_capacity(&mut self, capacity: u64) {
        self.level = self.level.min(capacity);
        let sum = self.level.saturating_add(self.refunds.total);
        if sum < capacity {
            return;
        }
        // A remainder of accrual counts as one whole unit.
        let excess = sum - capacity + u64::from(self.remainder > 0);
        if excess > self.refunds.total {
            self.remainder = 0;
        }
        self.refunds.clip(excess);
    }

    /// Takes tokens and returns the number for their refund; `None` if the level is too low.
    pub(crate) fn reserve(&mut self, micros: u64) -> Option<u64> {
        self.level = self.level.checked_sub(micros)?;
        Some(self.refunds.push(micros))
    }

    /// Puts back up to `unused` of the tokens taken under `seq`, as far as these weren't clipped.
    pub(crate) fn refund(&mut self, seq: u64, unused: u64) -> u64 {
        let refund = self.refunds.remove(seq).min(unused);
        self.add(refund);
        refund
    }

    /// Charges tokens that were used beyond a reservation.
    pub(crate) fn charge(&mut self, micros: u64) {
        let paid = micros.min(self.level);
        self.level -= paid;
        self.debt = self.debt.saturating_add(micros - paid);
    }

    /// Drops the level and the refunds, but keeps the debt.
    pub(crate) fn clear(&mut self) {
        self.level = 0;
        self.refunds.clear();
    }
}

/// Refundable amounts of the unsettled reservations, oldest first.
#[derive(Debug, Default)]
struct Refunds {
    /// Reservation number of the front entry.
    first_seq: u64,
    /// Amounts by consecutive reservation number. Settled entries stay as zeros until they reach
    /// the front.
    amounts: VecDeque<u64>,
    total: u64,
}

impl Refunds {
    fn push(&mut self, amount: u64) -> u64 {
        self.amounts.push_back(amount);
        self.total += amount;
        self.first_seq + self.amounts.len() as u64 - 1
    }

    fn remove(&mut self, seq: u64) -> u64 {
        let index = seq
            .checked_sub(self.first_seq)
            .and_then(|i| usize::try_from(i).ok());
        let Some(entry) = index.and_then(|i| self.amounts.get_mut(i)) else {
            return 0;
        };
        let amount = std::mem::take(entry);
        self.total -= amount;
        self.drop_settled();
        amount
    }

    fn clip(&mut self, excess: u64) {
        let mut left = excess.min(self.total);
        self.total -= left;
        while left > 0 {
            let front = self
                .amounts
                .front_mut()
                .expect("the total is the sum of the entries");
            let cut = left.min(*front);
            *front -= cut;
            left -= cut;
            self.drop_settled();
        }
    }

    fn drop_settled(&mut self) {
        while self.amounts.front() == Some(&0) {
            self.amounts.pop_front();
            self.first_seq += 1;
        }
    }

    fn clear(&mut self) {
        self.first_seq += self.amounts.len() as u64;
        self.amounts.clear();
        self.total = 0;
    }
}
