//! Grants runs to queued offers.

use std::time::Duration;

use crate::convert::count_to_f64;
use crate::model::Name;
use crate::offer::{Decision, Offer, Refusal};
use crate::owner::{Owner, Run};
use crate::queued_offer::QueuedOffer;
use crate::shard::HASH_MULTIPLIER;
use crate::target::{OwnerShares, Room, TargetState};

/// Penalty for a target in another zone, and bonus for the target that has the session's cache, in
/// units of load.
const ZONE_LOAD: f64 = 0.02;
const SESSION_LOAD: f64 = 0.25;
/// Load that a request adds which uses all that it bears.
const TIGHTNESS_LOAD: f64 = 1.0;
/// In this last part of its wait, a request takes any target on which it ends within its time limit,
/// although its first event may be late. Lower tiers would otherwise get that target while it is
/// refused.
const LAST_CHANCE_TIME: Duration = Duration::from_millis(20);
/// Maximum number of sessions whose target is remembered.
const MAX_SESSIONS: usize = 8192;

/// Targets of one shard with free capacity, and the limits that apply to them.
struct ShardCandidates {
    /// Number of shards, and index of the shard.
    shard_key: (u32, u32),
    shares: OwnerShares,
    keys: Vec<u64>,
    /// Whether a further target would have capacity, but for the limit that it has named.
    is_limited: bool,
}

pub(crate) fn is_of_shard(state: &TargetState, offer: &Offer) -> bool {
    state.pool == offer.pool && (offer.shards <= 1 || state.shard(offer.shards) == offer.shard)
}

/// Candidates by shard, computed on first use.
#[derive(Default)]
struct CandidateCache(Vec<ShardCandidates>);

impl CandidateCache {
    fn get(&mut self, owner: &mut Owner, now: Duration, offer: &Offer) -> &mut ShardCandidates {
        let shard_key = (offer.shards, offer.shard);
        let at = self
            .0
            .iter()
            .position(|candidates| candidates.shard_key == shard_key);
        let at = at.unwrap_or_else(|| {
            self.0.push(owner.candidates(now, offer));
            self.0.len() - 1
        });
        &mut self.0[at]
    }
}

impl Owner {
    /// Targets of the offer's shard with free capacity.
    fn candidates(&mut self, now: Duration, offer: &Offer) -> ShardCandidates {
        let shares = self.owner_shares(now, &offer.pool, offer.shard);
        let salt = self.tie_salt;
        let mut keys = Vec::new();
        let mut is_limited = false;
        for (&key, state) in &mut self.targets {
            if !is_of_shard(state, offer) {
                continue;
            }
            match state.room(now, &shares, salt) {
                Room::Free => keys.push(key),
                Room::LimitReached => is_limited = true,
                Room::Full => {}
            }
        }
        ShardCandidates {
            shard_key: (offer.shards, offer.shard),
            shares,
            keys,
            is_limited,
        }
    }

    /// Grants as many offers of a pool's queue as possible, and refuses those whose wait is over.
    pub(crate) fn serve_queue(&mut self, now: Duration, name: &Name) {
        let mut queue = std::mem::take(&mut self.pool(name).queue);
        let mut candidates = CandidateCache::default();
        let mut kept = Vec::new();
        // Usually no offer can be decided; then none is moved.
        let first = queue.iter().position(|waiting| {
            now >= waiting.deadline || !candidates.get(self, now, &waiting.offer).keys.is_empty()
        });
        let rest = queue.split_off(first.unwrap_or(queue.len()));
        let before = queue.len();
        let pool_unit = self.mean_unit(now, name);
        for waiting in rest {
            let candidates = candidates.get(self, now, &waiting.offer);
            let is_last_chance = now + LAST_CHANCE_TIME >= waiting.deadline;
            if let Some(at) =
                self.choose_target(now, &candidates.keys, &waiting, pool_unit, is_last_chance)
            {
                let key = candidates.keys[at];
                self.grant(now, waiting, key);
                let salt = self.tie_salt;
                let state = self
                    .targets
                    .get_mut(&key)
                    .expect("candidates are known targets");
                let room = state.room(now, &candidates.shares, salt);
                if room != Room::Free {
                    candidates.keys.swap_remove(at);
                    candidates.is_limited |= room == Room::LimitReached;
                }
            } else if now >= waiting.deadline {
                self.refund(&waiting.offer, waiting.charged);
                let reason = self.no_capacity_reason(now, &waiting.offer);
                let ahead = count_to_f64(before + kept.len());
                let flow = &mut self.pool(name).flow;
                let after = flow.book_return(now, waiting.offer.tier, ahead);
                self.refuse(waiting.offer.id, reason, after);
            } else {
                kept.push(waiting);
            }
        }
        queue.append(&mut kept);
        if candidates.0.iter().any(|candidates| candidates.is_limited) {
            for waiting in &mut queue {
                let candidates = candidates.get(self, now, &waiting.offer);
                waiting.has_met_limit |= candidates.is_limited;
            }
        }
        self.pool(name).queue = queue;
    }

    /// Why an offer is refused for which no target has capacity.
    pub(crate) fn no_capacity_reason(&mut self, now: Duration, offer: &Offer) -> Refusal {
        let is_open = |state: &TargetState| state.open && state.pool == offer.pool;
        if !self.targets.values().any(is_open) {
            return Refusal::NoTarget;
        }
        let shares = self.owner_shares(now, &offer.pool, offer.shard);
        let salt = self.tie_salt;
        let is_limited = |state: &mut TargetState| {
            is_of_shard(state, offer) && state.room(now, &shares, salt) == Room::LimitReached
        };
        if self.targets.values_mut().any(is_limited) {
            Refusal::TargetLimit
        } else {
            Refusal::Busy
        }
    }

    /// Returns the position of the best candidate on which the request, and the streams beside it,
    /// are expected to be in time. At its last chance, a request takes any candidate on which it ends
    /// within its time limit.
    fn choose_target(
        &self,
        now: Duration,
        candidates: &[u64],
        waiting: &QueuedOffer,
        pool_unit: f64,
        is_last_chance: bool,
    ) -> Option<usize> {
        let offer = &waiting.offer;
        let bounds = waiting.bounds(now);
        let session_target = self.session_targets.get(&offer.session).copied();
        let mut best: Option<(f64, u64, usize)> = None;
        for (at, &key) in candidates.iter().enumerate() {
            if offer.avoid.contains(&key) {
                continue;
            }
            let state = &self.targets[&key];
            let Some(tightness) = self.tightness(now, state, offer, &bounds, pool_unit) else {
                continue;
            };
            if tightness > 1.0 && !is_last_chance {
                continue;
            }
            let mut load = state.load() + TIGHTNESS_LOAD * tightness;
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

    fn grant(&mut self, now: Duration, waiting: QueuedOffer, key: u64) {
        let offer = waiting.offer;
        if offer.session != 0 {
            if self.session_targets.len() >= MAX_SESSIONS {
                self.session_targets.clear();
            }
            self.session_targets.insert(offer.session, key);
        }
        let pool_unit = self.mean_unit(now, &offer.pool);
        let pool = self.pool(&offer.pool);
        pool.flow.record_grant(offer.tier);
        let read_units = pool.speed.read_units(offer.prompt_tokens());
        let state = self
            .targets
            .get_mut(&key)
            .expect("candidates are known targets");
        let read_time = state.speed.unit_now(now, pool_unit) * read_units.unwrap_or(0.0);
        // A size that is absurd must not close the target to others for longer than the run lasts.
        let read_time = read_time.min(offer.time_left.as_secs_f64());
        let prompt_tokens = offer.prompt_tokens();
        let is_reading = state.unread_tokens > 0;
        state.record_send(now, prompt_tokens);
        state.queue_prompt(now, read_time);
        self.decisions.push(Decision::Grant {
            id: offer.id,
            target: state.id.clone(),
            has_met_limit: waiting.has_met_limit,
        });
        self.runs.insert(
            offer.id,
            Run {
                target: key,
                pool: offer.pool,
                granted_at: now,
                deadline: now + offer.time_left,
                prompt_tokens,
                expected_output: offer.expected_output,
                has_started: false,
                read_alone: !is_reading,
            },
        );
    }
}
