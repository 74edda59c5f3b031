//! Compact list of all records, by which a member finds those that it lacks or has to remove.

use std::collections::{HashMap, HashSet};

use admit::Name;
use xxhash_rust::xxh3::Xxh3Default;

use crate::adapter::Record;

/// Hashes of the key, revision and value of each record; `None` if two are equal.
pub(crate) fn digest<'a>(records: impl Iterator<Item = &'a Record>) -> Option<Vec<u64>> {
    let hashes: Vec<u64> = records.map(record_hash).collect();
    let distinct: HashSet<&u64> = hashes.iter().collect();
    (distinct.len() == hashes.len()).then_some(hashes)
}

/// All records of the digest, taken from the known ones and from newer ones that came with it;
/// `None` if they do not match the digest exactly.
pub(crate) fn complete(
    known: &HashMap<Name, Record>,
    newer: Vec<Record>,
    digest: &[u64],
) -> Option<Vec<Record>> {
    let mut missing: HashSet<u64> = digest.iter().copied().collect();
    if missing.len() != digest.len() {
        return None;
    }
    let replaced: HashSet<Name> = newer.iter().map(|record| record.key.clone()).collect();
    let mut records = Vec::with_capacity(digest.len());
    for record in newer {
        if record.value.is_none() || !missing.remove(&record_hash(&record)) {
            return None;
        }
        records.push(record);
    }
    let kept = known
        .values()
        .filter(|record| !replaced.contains(&record.key) && missing.remove(&record_hash(record)));
    records.extend(kept.cloned());
    missing.is_empty().then_some(records)
}

/// Revisions are given out again after a restore of the store, so the value is part of the hash.
fn record_hash(record: &Record) -> u64 {
    let mut hasher = Xxh3Default::new();
    hasher.update(&record.key.len().to_le_bytes());
    hasher.update(record.key.as_bytes());
    hasher.update(&record.revision.to_le_bytes());
    if let Some(value) = &record.value {
        hasher.update(value);
    }
    hasher.digest()
}
