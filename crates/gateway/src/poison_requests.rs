//! Detects poison requests, which crash the targets that run them.

use std::collections::HashMap;
use std::time::Duration;

/// A request is refused after its runs broke on this many distinct targets, with no complete
/// response in between.
const REFUSE_AFTER_TARGETS: usize = 3;
/// Time for which a broken run is remembered and a request is refused.
const MEMORY: Duration = Duration::from_mins(1);
/// Maximum number of fingerprints; the least recently broken one is evicted.
const MAX_RECORDS: usize = 4096;

struct BrokenRuns {
    /// Targets on which a run broke.
    broken_targets: Vec<u64>,
    last_break: Duration,
}

/// Bounded table of request fingerprints whose runs broke.
#[derive(Default)]
pub struct PoisonRequests {
    records: HashMap<u64, BrokenRuns>,
}

impl PoisonRequests {
    /// Whether requests with this fingerprint are refused.
    #[must_use]
    pub fn is_refused(&self, now: Duration, fingerprint: u64) -> bool {
        self.records.get(&fingerprint).is_some_and(|record| {
            record.broken_targets.len() >= REFUSE_AFTER_TARGETS
                && now.saturating_sub(record.last_break) < MEMORY
        })
    }

    /// Records that a run broke together with its connection.
    pub fn record_broken_run(&mut self, now: Duration, fingerprint: u64, target: u64) {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&fingerprint) {
            let oldest = self
                .records
                .iter()
                .min_by_key(|(_, record)| record.last_break);
            if let Some((&oldest, _)) = oldest {
                self.records.remove(&oldest);
            }
        }
        let record = self.records.entry(fingerprint).or_insert(BrokenRuns {
            broken_targets: Vec::new(),
            last_break: now,
        });
        if now.saturating_sub(record.last_break) >= MEMORY {
            record.broken_targets.clear();
        }
        record.last_break = now;
        if !record.broken_targets.contains(&target) {
            record.broken_targets.push(target);
        }
    }

    /// Forgets the broken runs of a request after a complete response.
    pub fn clear(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }
}
