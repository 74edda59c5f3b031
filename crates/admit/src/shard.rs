//! Assigns targets to shards.

use xxhash_rust::xxh3::xxh3_64;

use crate::model::Target;

/// Maximum number of targets of a pool per shard. One owner decides for all targets of a shard.
const MAX_TARGETS_PER_SHARD: usize = 48;
/// Odd multiplier that mixes the bits of a key.
pub(crate) const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Key of one start of a target, for use in messages.
#[must_use]
pub fn target_key(target: &Target) -> u64 {
    id_hash(&target.id) ^ target.start_time.wrapping_mul(HASH_MULTIPLIER)
}

/// Number of shards of a pool with the given number of targets. It is a power of two, so that it
/// changes rarely, and half of the targets keep their shard when it does.
#[must_use]
pub(crate) fn shard_count(targets: usize) -> u32 {
    let shards = targets.div_ceil(MAX_TARGETS_PER_SHARD).max(1);
    u32::try_from(shards.next_power_of_two()).unwrap_or(u32::MAX)
}

/// Index of the shard of a target.
#[must_use]
pub fn shard_of(id: &str, shards: u32) -> u32 {
    shard_of_hash(id_hash(id), shards)
}

pub(crate) fn id_hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

pub(crate) fn shard_of_hash(hash: u64, shards: u32) -> u32 {
    u32::try_from(hash % u64::from(shards.max(1))).unwrap_or(0)
}
