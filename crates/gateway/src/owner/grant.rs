//! Grants of runs to the offers that wait.

use std::time::Duration;

use super::shard::HASH_MULTIPLIER;
use super::target::{RateCaps, TargetState};
use super::{Decision, Offer, Owner, Refusal, Run};
use crate::convert::count_to_f64;
use crate::model::Name;

/// Load by which a target of another zone or without the session's cache is worse.
const ZONE_LOAD: f64 = 0.02;
const SESSION_LOAD: f64 = 0.25;
/// Most sessions whose target is remembered.
const MAX_SESSIONS: usize = 8192;

/// Targets of one shard with room, and what bounds them.
struct ShardCandidates {
    /// Number of shards and shard.
    of: (u32, u32),
    caps: Option<RateCaps>,
    /// Part of the places of a target that is used here.
    share: f64,
    keys: Vec<u64>,
}

/// The rooms of a pool, found when they are first asked for.
#[derive(Default)]
struct CandidateCache(Vec<ShardCandidates>);

impl CandidateCache {
    fn of(&mut self, owner: &mut Owner, now: Duration, offer: &Offer) -> &mut ShardCandidates {
        let of = (offer.shards, offer.shard);
        let at = self.0.iter().position(|candidates| candidates.of == of);
        let at = at.unwrap_or_else(|| {
            self.0.push(owner.candidates(now, offer));
            self.0.len() - 1
        });
        &mut self.0[at]
    }
}

impl Owner {
    /// Targets of the offer's shard that have room.
    fn candidates(&mut self, now: Duration, offer: &Offer) -> ShardCandidates {
        let caps = self.caps(now, &offer.pool, offer.shard);
        let share = self.slot_share(offer.shard);
        let of_shard = |state: &TargetState| {
            state.pool == offer.pool
                && (offer.shards <= 1 || state.shard(offer.shards) == offer.shard)
        };
        let keys = self
            .targets
            .iter_mut()
            .filter(|(_, state)| of_shard(state))
            .filter_map(|(&key, state)| state.has_room(now, caps, share).then_some(key))
            .collect();
        ShardCandidates {
            of: (offer.shards, offer.shard),
            caps,
            share,
            keys,
        }
    }

    /// Grants what can be granted of a pool's queue, and refuses what has waited long enough.
    pub(super) fn serve_queue(&mut self, now: Duration, name: &Name) {
        let mut queue = std::mem::take(&mut self.pool(name).queue);
        let mut candidates = CandidateCache::default();
        let mut kept = Vec::new();
        // Mostly nothing can be done: then no entry is moved.
        let first = queue.iter().position(|waiting| {
            now >= waiting.deadline || !candidates.of(self, now, &waiting.offer).keys.is_empty()
        });
        let rest = queue.split_off(first.unwrap_or(queue.len()));
        let time_per_unit = self.mean_pace(name);
        let before = queue.len();
        for waiting in rest {
            let candidates = candidates.of(self, now, &waiting.offer);
            if let Some(at) = self.choose_target(&candidates.keys, &waiting.offer, time_per_unit) {
                let key = candidates.keys[at];
                self.grant(now, waiting.offer, key);
                let state = self.targets.get_mut(&key).expect("the target was chosen");
                if !state.has_room(now, candidates.caps, candidates.share) {
                    candidates.keys.swap_remove(at);
                }
            } else if now >= waiting.deadline {
                self.refund(&waiting.offer, waiting.charged);
                let open = self.targets.values().any(|s| s.open && s.pool == *name);
                let reason = if open {
                    Refusal::Busy
                } else {
                    Refusal::NoTarget
                };
                let after = self.pool(name).retry_after(now, before + kept.len());
                self.refuse(waiting.offer.id, reason, after);
            } else {
                kept.push(waiting);
            }
        }
        queue.append(&mut kept);
        self.pool(name).queue = queue;
    }

    /// The target with the least load among those with room, by its place in the list.
    fn choose_target(
        &self,
        candidates: &[u64],
        offer: &Offer,
        time_per_unit: f64,
    ) -> Option<usize> {
        let session_target = self.session_targets.get(&offer.session).copied();
        let mut best: Option<(f64, u64, usize)> = None;
        for (at, &key) in candidates.iter().enumerate() {
            if offer.avoid.contains(&key) {
                continue;
            }
            let state = &self.targets[&key];
            let mut load = state.load(time_per_unit);
            if state.zone != offer.zone {
                load += ZONE_LOAD;
            }
            if session_target == Some(key) && offer.session != 0 {
                load -= SESSION_LOAD;
            }
            let tie = (key ^ self.tie_salt).wrapping_mul(HASH_MULTIPLIER);
            if best.is_none_or(|(least, other, _)| (load, tie) < (least, other)) {
                best = Some((load, tie, at));
            }
        }
        best.map(|(.., at)| at)
    }

    /// Part of the places of a target that is used here. Askers pass over a first owner that is
    /// slow, which goes on granting to others; the places of both together stay in bounds.
    fn slot_share(&self, shard: u32) -> f64 {
        match self.limit_share_of(shard) {
            Some(share) if !share.is_first_owner => share.share,
            _ => 1.0,
        }
    }

    fn grant(&mut self, now: Duration, offer: Offer, key: u64) {
        if offer.session != 0 {
            if self.session_targets.len() >= MAX_SESSIONS {
                self.session_targets.clear();
            }
            self.session_targets.insert(offer.session, key);
        }
        let state = self.targets.get_mut(&key).expect("the target was chosen");
        state.record_send(now);
        self.decisions.push(Decision::Grant {
            id: offer.id,
            target: state.id.clone(),
        });
        self.runs.insert(
            offer.id,
            Run {
                target: key,
                pool: offer.pool,
                fingerprint: offer.fingerprint,
                granted: now,
                until: now + offer.left,
            },
        );
    }

    fn mean_pace(&self, pool: &str) -> f64 {
        let paces = self.targets.values().filter(|state| &*state.pool == pool);
        let (sum, count) = paces
            .filter_map(|state| state.time_per_unit)
            .fold((0.0, 0), |(sum, count), time_per_unit| {
                (sum + time_per_unit, count + 1)
            });
        if count == 0 {
            0.0
        } else {
            sum / count_to_f64(count)
        }
    }
}
