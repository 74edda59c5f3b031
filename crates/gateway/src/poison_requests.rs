//! Requests that crash the targets that run them.

use std::collections::HashMap;
use std::time::Duration;

/// This many broken runs on distinct targets, without a whole answer between, make a request
/// refused.
const REFUSED_AFTER: usize = 3;
/// Time for which a broken run is remembered, and for which a request is refused.
const MEMORY: Duration = Duration::from_mins(1);
/// Most fingerprints that are remembered; the oldest yield.
const MAX_RECORDS: usize = 4096;

struct Record {
    /// Targets on which a run broke.
    broke: Vec<u64>,
    last: Duration,
}

/// Bounded table of fingerprints whose runs broke.
#[derive(Default)]
pub struct Containment {
    records: HashMap<u64, Record>,
}

impl Containment {
    /// Whether requests with the fingerprint are refused.
    #[must_use]
    pub fn is_refused(&self, now: Duration, fingerprint: u64) -> bool {
        self.records.get(&fingerprint).is_some_and(|record| {
            record.broke.len() >= REFUSED_AFTER && now.saturating_sub(record.last) < MEMORY
        })
    }

    /// Notes that a run broke together with its connection.
    pub fn broke(&mut self, now: Duration, fingerprint: u64, target: u64) {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&fingerprint) {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.last);
            if let Some((&oldest, _)) = oldest {
                self.records.remove(&oldest);
            }
        }
        let record = self.records.entry(fingerprint).or_insert(Record {
            broke: Vec::new(),
            last: now,
        });
        if now.saturating_sub(record.last) >= MEMORY {
            record.broke.clear();
        }
        record.last = now;
        if !record.broke.contains(&target) {
            record.broke.push(target);
        }
    }

    /// Notes a whole answer, which clears the request.
    pub fn served(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }
}
