//! Rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Rendezvous weight of `candidate` for `key`; the candidate with the highest weight ranks first.
#[must_use]
pub fn weight(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// The candidate with the highest rank for `key`.
///
/// ```
/// let vms = ["vm-1", "vm-2", "vm-3"];
/// let owner = member::first_ranked("target-7", vms).unwrap();
/// let rest = vms.into_iter().filter(|vm| *vm != owner);
/// assert_ne!(member::first_ranked("target-7", rest), Some(owner));
/// ```
pub fn first_ranked<'a>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    candidates
        .into_iter()
        .max_by_key(|candidate| (weight(key, candidate), *candidate))
}

/// All candidates for `key` by descending rank.
#[must_use]
pub fn ranked<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<_> = candidates.into_iter().collect();
    ranked
        .sort_unstable_by_key(|candidate| std::cmp::Reverse((weight(key, candidate), *candidate)));
    ranked
}
