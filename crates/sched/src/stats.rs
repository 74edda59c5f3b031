//! Counters of the scheduler's decisions.

use std::collections::BTreeMap;

use crate::model::ShedReason;

/// Number of decisions since the scheduler was created.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    grants: BTreeMap<u8, u64>,
    sheds: BTreeMap<(u8, usize), u64>,
    prefill_tokens: u64,
}

/// All reasons, ordered by [`index`].
const REASONS: [ShedReason; 5] = [
    ShedReason::QueueFull,
    ShedReason::Evicted,
    ShedReason::Deadline,
    ShedReason::NoTarget,
    ShedReason::Poison,
];

impl Stats {
    /// Number of grants to requests of a tier.
    #[must_use]
    pub fn grants(&self, tier: u8) -> u64 {
        self.grants.get(&tier).copied().unwrap_or(0)
    }

    /// Number of requests of a tier that were shed for a reason.
    #[must_use]
    pub fn sheds(&self, tier: u8, reason: ShedReason) -> u64 {
        let key = (tier, index(reason));
        self.sheds.get(&key).copied().unwrap_or(0)
    }

    /// Prompt tokens of all granted requests.
    #[must_use]
    pub fn prefill_tokens(&self) -> u64 {
        self.prefill_tokens
    }

    /// Tier, reason and count of all shed counters that are not 0.
    pub fn all_sheds(&self) -> impl Iterator<Item = (u8, ShedReason, u64)> {
        self.sheds
            .iter()
            .map(|(&(tier, reason), &count)| (tier, REASONS[reason], count))
    }

    pub(crate) fn record_grant(&mut self, tier: u8, prompt: u64) {
        *self.grants.entry(tier).or_default() += 1;
        self.prefill_tokens += prompt;
    }

    pub(crate) fn record_shed(&mut self, tier: u8, reason: ShedReason) {
        *self.sheds.entry((tier, index(reason))).or_default() += 1;
    }
}

fn index(reason: ShedReason) -> usize {
    match reason {
        ShedReason::QueueFull => 0,
        ShedReason::Evicted => 1,
        ShedReason::Deadline => 2,
        ShedReason::NoTarget => 3,
        ShedReason::Poison => 4,
    }
}
