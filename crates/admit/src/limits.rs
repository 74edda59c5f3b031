//! Enforces this owner's share of the fleet-wide limits.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use crate::catalog::Catalog;
use crate::convert::count_to_f64;
use crate::grant_ledger::GrantedElsewhere;
use crate::model::{LimitShare, Name, Rate, Settings, TokenCounts, Unit};
use crate::offer::{Offer, RunId};
use crate::owner::Owner;
use crate::rate_charge::{Charge, RateLeases};
use crate::target::OwnerShares;
use crate::token_bucket::TokenBucket;

/// Fractions of the overage and of the slack of a rate that owners grant. Over one window of eight
/// bursts with one change of owner, where the new owner starts with a quarter of a burst, the limit
/// holds: 8 * 1.15 + 1.25 * (1.2 + 0.4 s) < 9 * 1.25 + s, for a burst of one second's rate and a
/// slack of s.
const RATE_OVERAGE_SHARE: f64 = 0.6;
const BURST_OVERAGE_SHARE: f64 = 0.8;
const BURST_SLACK_SHARE: f64 = 0.4;
/// Share of a limit that a target has named, for an owner that is not the first one. Some entries may
/// ask it while others still ask the first owner.
const NAMED_LIMIT_SHARE_OTHER: f64 = 0.5;
/// Limit shares that are older than two heartbeats were set before a pause of the process.
const MAX_LIMIT_SHARES_AGE: Duration = Duration::from_millis(600);

impl Owner {
    /// Whether the limit shares must be set before the next decision, because the process was
    /// paused since they were set or because an entry asks for the first time.
    #[must_use]
    pub fn needs_limit_shares(&self, now: Duration) -> bool {
        self.has_new_requester || self.limit_shares_are_stale(now)
    }

    fn limit_shares_are_stale(&self, now: Duration) -> bool {
        now.saturating_sub(self.limit_shares_set_at) > MAX_LIMIT_SHARES_AGE
    }

    /// Sets the share of the fleet-wide limits that this owner may use, by shard. After a pause, as
    /// at the start, it is unknown what other owners granted in the meantime.
    pub fn set_limit_shares(&mut self, now: Duration, limit_shares: Vec<LimitShare>) {
        if self.limit_shares_are_stale(now) {
            self.started_at = now;
            self.first_since.fill(None);
        }
        self.limit_shares_set_at = now;
        self.has_new_requester = false;
        self.first_since.resize(limit_shares.len(), None);
        for (since, limit_share) in self.first_since.iter_mut().zip(&limit_shares) {
            *since = limit_share.is_first_owner.then(|| since.unwrap_or(now));
        }
        let old = self.rate_share();
        self.limit_shares = limit_shares;
        let new = self.rate_share();
        if (new - old).abs() > f64::EPSILON {
            for (bucket, _) in self.buckets.values_mut() {
                bucket.scale(now, new / old);
            }
        }
    }

    /// Share of a workspace's rate and of the retry budget that this owner may grant. Each shard
    /// has an equal share. A shard for which no entry asks counts for its first owner only.
    pub(crate) fn rate_share(&self) -> f64 {
        let shards = f64::from(self.max_shards);
        let first_owner_shares = self
            .limit_shares
            .iter()
            .filter(|limit_share| limit_share.is_first_owner);
        let first_owner_shares: f64 = first_owner_shares
            .map(|limit_share| limit_share.share)
            .sum();
        if first_owner_shares > 0.0 {
            return first_owner_shares / shards;
        }
        let largest = self
            .limit_shares
            .iter()
            .map(|limit_share| limit_share.share)
            .reduce(f64::max);
        largest.unwrap_or(1.0) / shards
    }

    /// Limit share for a shard.
    pub(crate) fn limit_share_of(&self, shard: u32) -> Option<LimitShare> {
        let shard = usize::try_from(shard).unwrap_or(usize::MAX);
        // An entry that counts more shards than this member has a newer or older catalog.
        self.limit_shares
            .get(shard)
            .or(self.limit_shares.first())
            .copied()
    }

    pub(crate) fn charge(&mut self, now: Duration, catalog: &Catalog, offer: &Offer) -> Charge {
        let Some(name) = &offer.workspace else {
            return Charge::Taken(0.0);
        };
        let rate = catalog.workspace(name).and_then(|workspace| workspace.rate);
        let unit = match (rate, self.buckets.get(name)) {
            (Some(rate), _) => rate.unit,
            (None, Some(&(_, unit))) => unit,
            (None, None) => return Charge::Taken(0.0),
        };
        let units = rate_units(unit, offer.token_counts);
        if let Some(rate) = rate
            && let Some(holder) = self.rate_holder(name)
        {
            return self.charge_lease(now, holder, offer, (name, rate), units);
        }
        self.charge_own_part(now, name, rate, units)
    }

    /// Learns what other owners granted to the entry of an offer since it last asked this one. Must be
    /// called before the offer is submitted.
    pub fn learn_grants(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        offer: &Offer,
        elsewhere: &[GrantedElsewhere],
    ) {
        let Some(name) = offer.workspace.as_ref().filter(|_| !elsewhere.is_empty()) else {
            return;
        };
        let RunId { entry, run } = offer.id;
        let last = self.grant_reports.insert(entry, (run, now));
        let is_repeated = last.is_some_and(|(last, _)| last == run);
        if is_repeated || self.rate_holder(name).is_some() {
            return;
        }
        let rate = catalog.workspace(name).and_then(|workspace| workspace.rate);
        if let Some(bucket) = self.own_bucket(now, name, rate) {
            for &granted in elsewhere {
                bucket.deduct_elsewhere(now, granted);
            }
        }
    }

    /// Charges the owner's own part of the rate. With one shard, its first owner has all of it.
    fn charge_own_part(
        &mut self,
        now: Duration,
        name: &Name,
        rate: Option<Rate>,
        units: f64,
    ) -> Charge {
        let bucket = self
            .own_bucket(now, name, rate)
            .expect("a bucket without a rate is known, and one with a rate is inserted");
        match bucket.try_take(now, units) {
            Ok(()) => Charge::Taken(units),
            Err(wait) => Charge::Refused {
                wait,
                is_final: false,
            },
        }
    }

    /// Bucket of a workspace, which is created if the workspace has a rate.
    fn own_bucket(
        &mut self,
        now: Duration,
        name: &Name,
        rate: Option<Rate>,
    ) -> Option<&mut TokenBucket> {
        let rate_share = self.rate_share();
        if let Some(rate) = rate.filter(|_| !self.buckets.contains_key(name)) {
            let (per_s, burst) = effective_rate(&self.settings, rate);
            let bucket = TokenBucket::new(now, per_s * rate_share, burst * rate_share);
            self.buckets.insert(name.clone(), (bucket, rate.unit));
        }
        self.buckets.get_mut(name).map(|(bucket, _)| bucket)
    }

    pub(crate) fn refund(&mut self, offer: &Offer, charged: f64) {
        refund(
            self.settings.ip,
            &mut self.rates,
            &mut self.buckets,
            offer,
            charged,
        );
    }

    /// Parts of the limits of a shard's targets that this owner may use.
    pub(crate) fn owner_shares(&self, now: Duration, pool: &str, shard: u32) -> OwnerShares {
        OwnerShares {
            caps: self.caps(now, pool, shard),
            slots: self.slot_share(shard),
            limit: self.named_limit_share(shard),
            first_since: self.first_since(shard),
        }
    }

    /// Time since which this owner has been the first one of a shard.
    pub(crate) fn first_since(&self, shard: u32) -> Option<Duration> {
        let shard = usize::try_from(shard).ok()?;
        *self.first_since.get(shard)?
    }

    /// Share of a target's slots that this owner may use. Entries skip a first owner that is slow,
    /// which may still grant runs to other entries; both owners together must stay within the
    /// slots.
    fn slot_share(&self, shard: u32) -> f64 {
        match self.limit_share_of(shard) {
            Some(limit_share) if !limit_share.is_first_owner => limit_share.share,
            _ => 1.0,
        }
    }

    /// Share of the limits that targets have named. It grows only after the number of live members
    /// has settled, like that of the limits of cold targets.
    fn named_limit_share(&self, shard: u32) -> f64 {
        match self.limit_share_of(shard) {
            Some(known) if known.is_first_owner => known.cold_share,
            Some(known) => known.cold_share * NAMED_LIMIT_SHARE_OTHER,
            None => 1.0,
        }
    }
}

/// Units of a rate that a request counts as.
#[must_use]
pub fn rate_units(unit: Unit, token_counts: Option<TokenCounts>) -> f64 {
    match (unit, token_counts) {
        (Unit::Request, _) => 1.0,
        (Unit::Token { .. }, Some(token_counts)) => {
            f64::from(token_counts.prompt_tokens) + f64::from(token_counts.output_tokens)
        }
        (Unit::Token { default_tokens }, None) => {
            count_to_f64(usize::try_from(default_tokens).unwrap_or(usize::MAX))
        }
    }
}

/// Rate and burst that owners grant for a workspace's rate.
pub(crate) fn effective_rate(settings: &Settings, rate: Rate) -> (f64, f64) {
    let per_s = rate.per_s * (1.0 + settings.rate_overage * RATE_OVERAGE_SHARE);
    let burst = rate.burst * (1.0 + settings.rate_overage * BURST_OVERAGE_SHARE);
    (per_s, burst + settings.rate_slack * BURST_SLACK_SHARE)
}

pub(crate) fn refund(
    local: Ipv4Addr,
    rates: &mut RateLeases,
    buckets: &mut HashMap<Name, (TokenBucket, Unit)>,
    offer: &Offer,
    charged: f64,
) {
    if let Some(name) = &offer.workspace
        && !rates.refund(local, name, charged)
        && let Some((bucket, _)) = buckets.get_mut(name)
    {
        bucket.refund(charged);
    }
}
