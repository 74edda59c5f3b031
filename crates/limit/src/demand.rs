//! Recent demand of this daemon and of its peers, and the peers' known tokens.

use std::collections::HashSet;
use std::time::Duration;

use crate::model::{Incarnation, MICROS_PER_TOKEN};

/// Time over which demand is measured: long enough to contain several requests of an active
/// workspace, short enough to follow traffic shifts within a few seconds.
const WINDOW: Duration = Duration::from_secs(2);

/// Maximum number of peers remembered for each workspace; bounds memory in a large fleet.
const MAX_PEERS: usize = 16;

/// Time for which a peer without tokens isn't asked again. Bounds the messages caused by a
/// workspace that sends above its rate.
const EMPTY_RETRY: Duration = Duration::from_millis(250);

/// Tokens requested in the current and in the previous window.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    start: Duration,
    current: u64,
    previous: u64,
}

impl Demand {
    fn advance_window(&mut self, now: Duration) {
        let age = now.saturating_sub(self.start);
        if age < WINDOW {
            return;
        }
        self.previous = if age < WINDOW * 2 { self.current } else { 0 };
        self.current = 0;
        self.start = now;
    }

    pub(crate) fn add(&mut self, now: Duration, micros: u64) {
        self.advance_window(now);
        self.current = self.current.saturating_add(micros);
    }

    /// Subtracts refunds, so that unused parts of reservations don't count as demand.
    pub(crate) fn sub(&mut self, now: Duration, micros: u64) {
        self.advance_window(now);
        let remainder = micros.saturating_sub(self.current);
        self.current = self.current.saturating_sub(micros);
        self.previous = self.previous.saturating_sub(remainder);
    }

    /// Recent demand in millionths of a token per second.
    pub(crate) fn per_second(&mut self, now: Duration) -> u64 {
        self.advance_window(now);
        let window = WINDOW.as_millis();
        let left = (WINDOW.saturating_sub(now.saturating_sub(self.start))).as_millis();
        let sum = u128::from(self.previous) * left / window + u128::from(self.current);
        u64::try_from(sum * 1_000 / window).unwrap_or(u64::MAX)
    }
}

#[derive(Debug)]
struct PeerTokens {
    peer: Incarnation,
    tokens: u64,
    updated: Duration,
}

#[derive(Debug)]
struct PeerDemand {
    peer: Incarnation,
    demand: Demand,
    updated: Duration,
}

/// Last known tokens of peers, and the demand of peers that asked for tokens.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    tokens_by_peer: Vec<PeerTokens>,
    demand_by_peer: Vec<PeerDemand>,
}

impl PeerTable {
    pub(crate) fn record_tokens(&mut self, now: Duration, peer: Incarnation, tokens: u64) {
        self.tokens_by_peer.retain(|entry| entry.peer != peer);
        if self.tokens_by_peer.len() >= MAX_PEERS {
            let lowest = (0..self.tokens_by_peer.len())
                .min_by_key(|&i| {
                    (
                        self.tokens_by_peer[i].tokens,
                        self.tokens_by_peer[i].updated,
                    )
                })
                .expect("the list is full");
            if self.tokens_by_peer[lowest].tokens > tokens {
                return;
            }
            self.tokens_by_peer.swap_remove(lowest);
        }
        self.tokens_by_peer.push(PeerTokens {
            peer,
            tokens,
            updated: now,
        });
    }

    /// Peers in descending order of known tokens, without those that recently had none.
    pub(crate) fn by_tokens(&self, now: Duration) -> Vec<Incarnation> {
        let may_have_tokens = |entry: &&PeerTokens| {
            entry.tokens > 0 || now.saturating_sub(entry.updated) >= EMPTY_RETRY
        };
        let mut tokens_by_peer: Vec<_> =
            self.tokens_by_peer.iter().filter(may_have_tokens).collect();
        tokens_by_peer.sort_unstable_by_key(|entry| {
            (std::cmp::Reverse(entry.tokens), entry.updated, entry.peer)
        });
        tokens_by_peer.into_iter().map(|entry| entry.peer).collect()
    }

    pub(crate) fn record_ask(&mut self, now: Duration, peer: Incarnation, tokens: u64) {
        self.remove_expired(now);
        let micros = tokens.saturating_mul(MICROS_PER_TOKEN);
        if let Some(entry) = self
            .demand_by_peer
            .iter_mut()
            .find(|entry| entry.peer == peer)
        {
            entry.demand.add(now, micros);
            entry.updated = now;
        } else if self.demand_by_peer.len() < MAX_PEERS {
            let mut demand = Demand::default();
            demand.add(now, micros);
            self.demand_by_peer.push(PeerDemand {
                peer,
                demand,
                updated: now,
            });
        }
    }

    /// The peer that asked for the most tokens, and its demand in millionths of a token per second.
    pub(crate) fn highest_demand(&mut self, now: Duration) -> Option<(Incarnation, u64)> {
        self.remove_expired(now);
        self.demand_by_peer
            .iter_mut()
            .map(|entry| (entry.peer, entry.demand.per_second(now)))
            .filter(|&(_, rate)| rate > 0)
            .max_by_key(|&(peer, rate)| (rate, peer))
    }

    fn remove_expired(&mut self, now: Duration) {
        self.demand_by_peer
            .retain(|entry| now.saturating_sub(entry.updated) < WINDOW * 2);
    }

    pub(crate) fn retain(&mut self, peers: &HashSet<Incarnation>) {
        self.tokens_by_peer
            .retain(|entry| peers.contains(&entry.peer));
        self.demand_by_peer
            .retain(|entry| peers.contains(&entry.peer));
    }
}
