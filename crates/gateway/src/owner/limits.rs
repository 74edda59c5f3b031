//! The limits of the fleet, as far as one owner gives them out.

use std::collections::HashMap;
use std::time::Duration;

use super::target::{Caps, WINDOW};
use super::{Offer, Owner};
use crate::catalog::Catalog;
use crate::convert::float;
use crate::membership::Part;
use crate::model::{Name, Rate, Settings, Unit};
use crate::token_bucket::Bucket;

/// Part of a cold target's bound that its first owner uses, and any other one. Both may decide for
/// a second when the first one changes, and sends of one second may arrive closer together than
/// they left.
const COLD_PART: f64 = 0.5;
const COLD_PART_OTHER: f64 = 0.15;
/// The same for a target that is not known to be cold: it may turn cold at any moment, and the
/// store says so only later. With a new owner that knows it to be cold, and entries that decide for
/// themselves, both first owners stay below the bound.
const WARM_PART: f64 = 0.75;
const WARM_PART_OTHER: f64 = 0.4;
/// The same for a member that has just become the first owner while another one was: that one may
/// have sent up to its part within the second, and may have known of a cold start.
const WARM_PART_NEW: f64 = 0.2;
/// Least part of the fleet for which these count, for a first owner and for others: a target that
/// turns cold unseen just then is rarer than a cut under load.
const WARM_LEAST: f64 = 0.7;
const WARM_LEAST_OTHER: f64 = 0.25;
/// Parts of the overage and of the slack of rates that an owner gives out. Over one window of
/// eight bursts, with one change of owner, which starts with a quarter of a burst, this stays inside:
/// 8 * 1.15 + 1.25 * (1.2 + 0.4 s) < 9 * 1.25 + s, for a burst of one second's rate and a slack of s.
const OVERAGE_RATE: f64 = 0.6;
const OVERAGE_BURST: f64 = 0.8;
const SLACK_BURST: f64 = 0.4;
/// Parts of limits that are older than two beats were set before a pause of the process.
const PARTS_AGE: Duration = Duration::from_millis(600);
/// A member counts as first owner when it has been the first for this long.
const NEW_OWNER: Duration = Duration::from_secs(2);

impl Owner {
    /// Whether the parts of the limits have to be set before the next decision: they are from
    /// before a pause of the process, or an entry asks for the first time.
    #[must_use]
    pub fn needs_parts(&self, now: Duration) -> bool {
        self.new_askers || self.parts_are_old(now)
    }

    fn parts_are_old(&self, now: Duration) -> bool {
        now.saturating_sub(self.parts_at) > PARTS_AGE
    }

    /// Sets the part of the fleet's limits that may be used here, for each shard. After a pause
    /// nothing is known of what others sent meanwhile, as at the start.
    pub fn set_parts(&mut self, now: Duration, parts: Vec<Part>) {
        if self.parts_are_old(now) {
            self.started = now;
            self.first_since.fill(None);
        }
        self.parts_at = now;
        self.new_askers = false;
        self.first_since.resize(parts.len(), None);
        for (since, part) in self.first_since.iter_mut().zip(&parts) {
            *since = part.is_first.then(|| since.unwrap_or(now));
        }
        let old = self.rate_part();
        self.parts = parts;
        let new = self.rate_part();
        if (new - old).abs() > f64::EPSILON {
            for (bucket, _) in self.buckets.values_mut() {
                bucket.scale(now, new / old);
            }
        }
    }

    /// Part of a workspace's rate and of the budget of repeats that this owner gives out. Each
    /// shard has an equal part of them; one for which nobody asks counts for its first owner only.
    pub(super) fn rate_part(&self) -> f64 {
        let shards = f64::from(self.max_shards);
        let firsts = self.parts.iter().filter(|part| part.is_first);
        let firsts: f64 = firsts.map(|part| part.part).sum();
        if firsts > 0.0 {
            return firsts / shards;
        }
        let largest = self.parts.iter().map(|part| part.part).reduce(f64::max);
        largest.unwrap_or(1.0) / shards
    }

    /// Part of the limits for a shard.
    pub(super) fn part_of(&self, shard: u32) -> Option<Part> {
        let shard = usize::try_from(shard).unwrap_or(usize::MAX);
        // An entry that counts more shards than this member is behind or ahead of it.
        self.parts.get(shard).or(self.parts.first()).copied()
    }

    pub(super) fn charge(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        offer: &Offer,
    ) -> Result<f64, Duration> {
        let Some(name) = &offer.workspace else {
            return Ok(0.0);
        };
        let part = self.rate_part();
        if !self.buckets.contains_key(name) {
            let rate = catalog.workspace(name).and_then(|workspace| workspace.rate);
            let Some(rate) = rate else { return Ok(0.0) };
            let (per_s, burst) = allowance(&self.settings, rate);
            let bucket = Bucket::new(now, per_s * part, burst * part);
            self.buckets.insert(name.clone(), (bucket, rate.unit));
        }
        let (bucket, unit) = self.buckets.get_mut(name).expect("it was inserted");
        let units = match (unit, offer.cost) {
            (Unit::Request, _) => 1.0,
            (Unit::Token { .. }, Some(cost)) => f64::from(cost.prompt) + f64::from(cost.output),
            (Unit::Token { plain }, None) => float(usize::try_from(*plain).unwrap_or(usize::MAX)),
        };
        bucket.take(now, units)?;
        Ok(units)
    }

    pub(super) fn give_back(&mut self, offer: &Offer, charged: f64) {
        give_back(&mut self.buckets, offer, charged);
    }

    /// Sends a second that a target of a pool's shard may get from here.
    pub(super) fn caps(&self, now: Duration, pool: &str, shard: u32) -> Option<Caps> {
        let per_s = *self.cold.get(pool)?;
        let bound = per_s * self.settings.cold_overage + self.settings.cold_slack;
        let part = self.part_of(shard)?;
        let first_since = usize::try_from(shard)
            .ok()
            .and_then(|shard| *self.first_since.get(shard)?);
        let is_settled = |since| now.saturating_sub(since) >= NEW_OWNER;
        let cold = if first_since.is_some_and(is_settled) {
            COLD_PART
        } else {
            COLD_PART_OTHER
        };
        // After a restart of all members the backlog of all callers comes at once.
        let followed_another = |since: Duration| {
            now.saturating_sub(since) < WINDOW && since.saturating_sub(self.started) >= WINDOW
        };
        let warm = match first_since {
            Some(since) if followed_another(since) => WARM_PART_NEW,
            Some(_) => WARM_PART * part.part.max(WARM_LEAST),
            None => WARM_PART_OTHER * part.part.max(WARM_LEAST_OTHER),
        };
        // A process that started lately does not know what was sent before.
        let is_new = now.saturating_sub(self.started) < WINDOW;
        let suspect = bound * cold * part.cold_part;
        Some(Caps {
            cold: if is_new { 0.0 } else { suspect },
            suspect,
            warm: bound * warm,
        })
    }
}

/// Rate and burst that owners give out of a workspace's rate.
pub(super) fn allowance(settings: &Settings, rate: Rate) -> (f64, f64) {
    let per_s = rate.per_s * (1.0 + settings.rate_overage * OVERAGE_RATE);
    let burst = rate.burst * (1.0 + settings.rate_overage * OVERAGE_BURST);
    (per_s, burst + settings.rate_slack * SLACK_BURST)
}

pub(super) fn give_back(buckets: &mut HashMap<Name, (Bucket, Unit)>, offer: &Offer, charged: f64) {
    if let Some(name) = &offer.workspace
        && let Some((bucket, _)) = buckets.get_mut(name)
    {
        bucket.give_back(charged);
    }
}
