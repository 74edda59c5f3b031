//! Grants of runs to the offers that wait.

use std::time::Duration;

use super::shard::{TIE_FACTOR, session_shard, shard_of};
use super::{Decision, Offer, Owner, Refusal, Run, float};
use crate::model::Name;

/// Load by which a target of another zone or without the session's cache is worse.
const ZONE_LOAD: f64 = 0.02;
const SESSION_LOAD: f64 = 0.25;
/// Most sessions whose target is remembered.
const MAX_SESSIONS: usize = 8192;

impl Owner {
    pub(super) fn serve_queue(&mut self, now: Duration, name: &Name) {
        let queue = std::mem::take(&mut self.pool(name).queue);
        let mut kept = Vec::new();
        let pace = self.mean_pace(name);
        for waiting in queue {
            match self.choose(now, &waiting.offer, pace) {
                Some(key) => self.grant(now, waiting.offer, key),
                None if now >= waiting.give_up => {
                    self.give_back(&waiting.offer, waiting.charged);
                    let open = self.targets.values().any(|s| s.open && s.pool == *name);
                    let reason = if open {
                        Refusal::Busy
                    } else {
                        Refusal::NoTarget
                    };
                    let after = self.pool(name).come_back(now, kept.len());
                    self.refuse(waiting.offer.id, reason, after);
                }
                None => kept.push(waiting),
            }
        }
        self.pool(name).queue = kept;
    }

    /// The target with the least load that has room.
    fn choose(&mut self, now: Duration, offer: &Offer, pace: f64) -> Option<u64> {
        let shard = session_shard(offer.session, offer.id.run, offer.shards);
        let caps = self.caps(now, &offer.pool, shard);
        let home = self.sessions.get(&offer.session).copied();
        let salt = self.salt;
        let mut best: Option<(f64, u64, u64)> = None;
        for (&key, state) in &mut self.targets {
            if state.pool != offer.pool
                || offer.avoid.contains(&key)
                || (offer.shards > 1 && shard_of(&state.id, offer.shards) != shard)
                || !state.has_room(now, caps)
            {
                continue;
            }
            let mut load = state.load(pace);
            if state.zone != offer.zone {
                load += ZONE_LOAD;
            }
            if home == Some(key) && offer.session != 0 {
                load -= SESSION_LOAD;
            }
            let tie = (key ^ salt).wrapping_mul(TIE_FACTOR);
            if best.is_none_or(|(least, other, _)| (load, tie) < (least, other)) {
                best = Some((load, tie, key));
            }
        }
        best.map(|(.., key)| key)
    }

    fn grant(&mut self, now: Duration, offer: Offer, key: u64) {
        if offer.session != 0 {
            if self.sessions.len() >= MAX_SESSIONS {
                self.sessions.clear();
            }
            self.sessions.insert(offer.session, key);
        }
        let state = self.targets.get_mut(&key).expect("the target was chosen");
        state.sent(now);
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
            .filter_map(|state| state.pace)
            .fold((0.0, 0), |(sum, count), pace| (sum + pace, count + 1));
        if count == 0 { 0.0 } else { sum / float(count) }
    }
}
