//! Bounded table of the target that last served each prompt prefix.

use std::collections::HashMap;

/// Key and epoch of the target; a restarted target, which has another epoch, lost its cache.
type Location = (usize, u64);

/// Two generations of prefixes. When the recent one is full, it replaces the older one, so that
/// the most recently used prefixes are kept.
pub(crate) struct PrefixTable {
    recent: HashMap<u64, Location>,
    older: HashMap<u64, Location>,
    max_entries: usize,
}

impl PrefixTable {
    pub(crate) fn new(max_entries: usize) -> Self {
        PrefixTable {
            recent: HashMap::new(),
            older: HashMap::new(),
            max_entries,
        }
    }

    pub(crate) fn get(&self, prefix: u64) -> Option<Location> {
        if prefix == 0 {
            return None;
        }
        let location = self.recent.get(&prefix).or_else(|| self.older.get(&prefix));
        location.copied()
    }

    pub(crate) fn set(&mut self, prefix: u64, target: usize, epoch: u64) {
        if prefix == 0 || self.max_entries == 0 {
            return;
        }
        if self.recent.len() >= self.max_entries.div_ceil(2) && !self.recent.contains_key(&prefix) {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(prefix, (target, epoch));
    }

    /// Removes all prefixes of a target whose slab key may be reused.
    pub(crate) fn remove_target(&mut self, target: usize) {
        self.recent.retain(|_, location| location.0 != target);
        self.older.retain(|_, location| location.0 != target);
    }
}
