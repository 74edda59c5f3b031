use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Size of a cached block in bytes. A block holds `BLOCK_BYTES / 4` tokens.
const BLOCK_BYTES: usize = 256;
const BLOCK_TOKENS: u64 = (BLOCK_BYTES / 4) as u64;

/// Maximum number of events kept for readers. Older ones are dropped.
const MAX_EVENTS: usize = 4096;

/// Prefix cache with least-recently-used eviction. Each entry is a prompt, stored as the hashes of
/// its blocks.
pub(crate) struct PrefixCache {
    capacity: u64,
    used: u64,
    /// Ordered from the least to the most recently used.
    entries: VecDeque<Entry>,
}

struct Entry {
    prefix: u64,
    block_hashes: Vec<u64>,
}

impl Entry {
    fn tokens(&self) -> u64 {
        self.block_hashes.len() as u64 * BLOCK_TOKENS
    }
}

/// A change to the contents of the cache. Prefixes are identified by the hash of their first block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CacheChange {
    Stored(u64),
    Evicted(u64),
}

impl PrefixCache {
    pub(crate) fn new(capacity: u64) -> Self {
        Self {
            capacity,
            used: 0,
            entries: VecDeque::new(),
        }
    }

    /// Looks up a prompt, stores it and returns the number of its tokens that were cached.
    ///
    /// Prompts with the same first 256 bytes use the same entry: the later one replaces the earlier
    /// one. They share the tokens of their common leading blocks.
    pub(crate) fn lookup_and_store(
        &mut self,
        prompt: &[u8],
        changes: &mut Vec<CacheChange>,
    ) -> u64 {
        let prefix = xxh3_64(&prompt[..prompt.len().min(BLOCK_BYTES)]);
        let block_hashes = hash_blocks(prompt);
        if block_hashes.is_empty() {
            return 0;
        }
        let found = self.entries.iter().position(|entry| entry.prefix == prefix);
        let old = found.and_then(|at| self.entries.remove(at));
        let shared_tokens = old.as_ref().map_or(0, |entry| {
            let pairs = entry.block_hashes.iter().zip(&block_hashes);
            pairs.take_while(|(a, b)| a == b).count() as u64 * BLOCK_TOKENS
        });
        match &old {
            Some(entry) => self.used -= entry.tokens(),
            None => changes.push(CacheChange::Stored(prefix)),
        }
        let entry = Entry {
            prefix,
            block_hashes,
        };
        self.used += entry.tokens();
        self.entries.push_back(entry);
        while self.used > self.capacity {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.used -= entry.tokens();
            changes.push(CacheChange::Evicted(entry.prefix));
        }
        shared_tokens
    }
}

/// Hashes each whole block of a prompt. Each hash also covers all blocks before it.
fn hash_blocks(prompt: &[u8]) -> Vec<u64> {
    let mut last = 0;
    let blocks = prompt.chunks_exact(BLOCK_BYTES);
    blocks
        .map(|block| {
            last = xxh3_64_with_seed(block, last);
            last
        })
        .collect()
}

/// Log of cache events. Events become visible after a lag, and every n-th event is lost.
pub(crate) struct CacheEventLog {
    lag: Duration,
    loss_interval: u64,
    seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

/// A cache event as `GET /cache-events` returns it.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct CacheEvent {
    seq: u64,
    /// Serialized as 16 hex digits, because JSON readers may round numbers above 2^53.
    #[serde(serialize_with = "hex")]
    prefix: u64,
    kind: &'static str,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
fn hex<S: serde::Serializer>(value: &u64, to: S) -> Result<S::Ok, S::Error> {
    to.collect_str(&format_args!("{value:016x}"))
}

impl CacheEventLog {
    pub(crate) fn new(lag: Duration, loss_interval: u64) -> Self {
        Self {
            lag,
            loss_interval,
            seq: 0,
            events: VecDeque::new(),
        }
    }

    pub(crate) fn push(&mut self, now: Instant, change: CacheChange) {
        self.seq += 1;
        if self.loss_interval > 0 && self.seq.is_multiple_of(self.loss_interval) {
            return;
        }
        let (kind, prefix) = match change {
            CacheChange::Stored(prefix) => ("stored", prefix),
            CacheChange::Evicted(prefix) => ("evicted", prefix),
        };
        let event = CacheEvent {
            seq: self.seq,
            prefix,
            kind,
        };
        self.events.push_back((now + self.lag, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Events with a number above `seq` that are visible at `now`.
    pub(crate) fn after(&self, seq: u64, now: Instant) -> Vec<CacheEvent> {
        let visible = self.events.iter().take_while(|(at, _)| *at <= now);
        visible
            .map(|(_, event)| *event)
            .filter(|event| event.seq > seq)
            .collect()
    }
}
