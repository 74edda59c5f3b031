//! Which target served a prompt prefix last, in bounded memory.

use std::collections::HashMap;

/// The target, and its epoch; a restarted target has lost its cache.
type Location = (usize, u64);

/// Two generations of prefixes. The older one is dropped when the younger one is full, which
/// keeps the prefixes used most recently.
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

    /// Drops what is known of a target whose place in the table may be used again.
    pub(crate) fn remove_target(&mut self, target: usize) {
        self.recent.retain(|_, location| location.0 != target);
        self.older.retain(|_, location| location.0 != target);
    }
}
