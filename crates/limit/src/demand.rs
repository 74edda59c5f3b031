//! Recent demand and what is known about peers.

use std::collections::HashSet;
use std::time::Duration;

use crate::model::{Incarnation, MICROS};

/// Long enough to hold several requests of an active workspace, short enough to follow a shift of
/// traffic within a few seconds.
const WINDOW: Duration = Duration::from_secs(2);

/// Peers remembered for each workspace. Bounds memory in a large fleet.
const PEERS: usize = 16;

/// A peer without tokens isn't asked again for this time. Bounds the questions caused by a
/// workspace that sends above its rate.
const EMPTY_AGE: Duration = Duration::from_millis(250);

/// Tokens over the last one to two windows.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    start: Duration,
    current: u64,
    previous: u64,
}

impl Demand {
    fn roll(&mut self, now: Duration) {
        let age = now.saturating_sub(self.start);
        if age < WINDOW {
            return;
        }
        self.previous = if age < WINDOW * 2 { self.current } else { 0 };
        self.current = 0;
        self.start = now;
    }

    pub(crate) fn add(&mut self, now: Duration, micros: u64) {
        self.roll(now);
        self.current = self.current.saturating_add(micros);
    }

    /// Takes refunds back, so that reservations of a maximum output don't count as demand.
    pub(crate) fn sub(&mut self, now: Duration, micros: u64) {
        self.roll(now);
        let rest = micros.saturating_sub(self.current);
        self.current = self.current.saturating_sub(micros);
        self.previous = self.previous.saturating_sub(rest);
    }

    /// Millionths of a token per second.
    pub(crate) fn per_second(&mut self, now: Duration) -> u64 {
        self.roll(now);
        let window = WINDOW.as_millis();
        let left = (WINDOW.saturating_sub(now.saturating_sub(self.start))).as_millis();
        let sum = u128::from(self.previous) * left / window + u128::from(self.current);
        u64::try_from(sum * 1_000 / window).unwrap_or(u64::MAX)
    }
}

#[derive(Debug)]
struct Note {
    peer: Incarnation,
    tokens: u64,
    at: Duration,
}

#[derive(Debug)]
struct Ask {
    peer: Incarnation,
    demand: Demand,
    at: Duration,
}

/// Last known tokens of peers, and which peers asked for tokens.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    notes: Vec<Note>,
    asks: Vec<Ask>,
}

impl Peers {
    pub(crate) fn note(&mut self, now: Duration, peer: Incarnation, tokens: u64) {
        self.notes.retain(|n| n.peer != peer);
        if self.notes.len() >= PEERS {
            let poorest = (0..self.notes.len())
                .min_by_key(|&i| (self.notes[i].tokens, self.notes[i].at))
                .expect("the list is full");
            if self.notes[poorest].tokens > tokens {
                return;
            }
            self.notes.swap_remove(poorest);
        }
        self.notes.push(Note {
            peer,
            tokens,
            at: now,
        });
    }

    /// Peers by known tokens, richest first, without those that had none a moment ago.
    pub(crate) fn richest(&self, now: Duration) -> Vec<Incarnation> {
        let worth = |n: &&Note| n.tokens > 0 || now.saturating_sub(n.at) >= EMPTY_AGE;
        let mut notes: Vec<_> = self.notes.iter().filter(worth).collect();
        notes.sort_unstable_by_key(|n| (std::cmp::Reverse(n.tokens), n.at, n.peer));
        notes.into_iter().map(|n| n.peer).collect()
    }

    pub(crate) fn asked(&mut self, now: Duration, peer: Incarnation, tokens: u64) {
        self.expire(now);
        let micros = tokens.saturating_mul(MICROS);
        if let Some(ask) = self.asks.iter_mut().find(|a| a.peer == peer) {
            ask.demand.add(now, micros);
            ask.at = now;
        } else if self.asks.len() < PEERS {
            let mut demand = Demand::default();
            demand.add(now, micros);
            self.asks.push(Ask {
                peer,
                demand,
                at: now,
            });
        }
    }

    /// The peer that asked for most, with its millionths of a token per second.
    pub(crate) fn neediest(&mut self, now: Duration) -> Option<(Incarnation, u64)> {
        self.expire(now);
        self.asks
            .iter_mut()
            .map(|a| (a.peer, a.demand.per_second(now)))
            .filter(|&(_, rate)| rate > 0)
            .max_by_key(|&(peer, rate)| (rate, peer))
    }

    fn expire(&mut self, now: Duration) {
        self.asks.retain(|a| now.saturating_sub(a.at) < WINDOW * 2);
    }

    pub(crate) fn retain(&mut self, peers: &HashSet<Incarnation>) {
        self.notes.retain(|n| peers.contains(&n.peer));
        self.asks.retain(|a| peers.contains(&a.peer));
    }
}
