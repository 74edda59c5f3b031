//! The owners of each pool as an entry knows them, with their last reported load.

use std::collections::HashMap;
use std::time::Duration;

use rand::seq::IndexedRandom;
use sheet::Name;
use wire::Digest;

/// Age after which a digest is ignored.
const MAX_AGE: Duration = Duration::from_secs(3);

/// Owners sampled at random per choice, of which the less loaded one is taken. Two choices balance
/// the load even without full knowledge.
const CHOICES: usize = 2;

#[derive(Debug)]
struct ReceivedDigest {
    digest: Digest,
    received: Duration,
    /// Tokens that this entry offered since the digest arrived.
    offered: u64,
}

/// Owners by pool, with their digests.
#[derive(Debug, Default)]
pub(crate) struct PoolOwners {
    pools: HashMap<Name, Vec<Name>>,
    digests: HashMap<(Name, Name), ReceivedDigest>,
}

impl PoolOwners {
    /// Replaces the owners of all pools.
    pub(crate) fn set(&mut self, pools: HashMap<Name, Vec<Name>>) {
        self.pools = pools;
        let pools = &self.pools;
        self.digests
            .retain(|(vm, pool), _| pools.get(pool).is_some_and(|vms| vms.contains(vm)));
    }

    /// Owners of a pool.
    pub(crate) fn owners_of(&self, pool: &Name) -> Vec<Name> {
        self.pools.get(pool).cloned().unwrap_or_default()
    }

    /// Records a digest from an owner. Digests of other VMs are not kept, which bounds the memory.
    pub(crate) fn on_digest(&mut self, now: Duration, vm: &Name, digest: Digest) {
        let owners = self.pools.get(digest.pool.as_str());
        if !owners.is_some_and(|vms| vms.contains(vm)) {
            return;
        }
        let key = (vm.clone(), Name::from(digest.pool.as_str()));
        let known = ReceivedDigest {
            digest,
            received: now,
            offered: 0,
        };
        self.digests.insert(key, known);
    }

    /// Chooses an owner that has not been tried.
    ///
    /// Once an owner was tried (`tried` is not empty), only owners are chosen that may have
    /// capacity for the request, by free tokens or waiting work of a lower tier.
    pub(crate) fn pick(
        &mut self,
        now: Duration,
        pool: &Name,
        tier: u8,
        tried: &[Name],
        cost: u64,
    ) -> Option<Name> {
        let candidates: Vec<&Name> = self
            .pools
            .get(pool)?
            .iter()
            .filter(|vm| !tried.contains(vm))
            .filter(|vm| tried.is_empty() || self.may_have_room(now, vm, pool, tier))
            .collect();
        let picked = candidates
            .sample(&mut rand::rng(), CHOICES)
            .copied()
            .min_by(|a, b| {
                let (a, b) = (self.load(now, a, pool), self.load(now, b, pool));
                a.total_cmp(&b)
            })?
            .clone();
        if let Some(known) = self.digests.get_mut(&(picked.clone(), pool.clone())) {
            known.offered = known.offered.saturating_add(cost);
        }
        Some(picked)
    }

    fn known(&self, now: Duration, vm: &Name, pool: &Name) -> Option<&ReceivedDigest> {
        self.digests
            .get(&(vm.clone(), pool.clone()))
            .filter(|known| now.saturating_sub(known.received) <= MAX_AGE)
    }

    fn may_have_room(&self, now: Duration, vm: &Name, pool: &Name, tier: u8) -> bool {
        self.known(now, vm, pool).is_none_or(|known| {
            let lower = usize::from(tier) + 1;
            known.digest.free > known.offered
                || known.digest.waiting.iter().skip(lower).any(|n| *n > 0)
        })
    }

    /// Load relative to the limit; owners without a digest count as half loaded.
    fn load(&self, now: Duration, vm: &Name, pool: &Name) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "a ratio for comparison")]
        fn ratio(taken: u64, limit: u64) -> f64 {
            taken as f64 / limit as f64
        }
        const UNKNOWN: f64 = 0.5;
        match self.known(now, vm, pool) {
            Some(known) if known.digest.limit > 0 => {
                let waiting: f64 = known.digest.waiting.iter().copied().map(f64::from).sum();
                let used = known.digest.limit.saturating_sub(known.digest.free);
                ratio(used.saturating_add(known.offered), known.digest.limit) + waiting
            }
            Some(_) => f64::INFINITY,
            None => UNKNOWN,
        }
    }
}
