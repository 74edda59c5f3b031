//! Which target served a prompt prefix last, in bounded memory.

use std::collections::HashMap;

/// The target, and its epoch; a restarted target has lost its cache.
type Served = (usize, u64);

/// Two generations of prefixes. The older one is dropped when the younger one is full, which
/// keeps the prefixes used most recently.
pub(crate) struct Prefixes {
    young: HashMap<u64, Served>,
    old: HashMap<u64, Served>,
    max: usize,
}

impl Prefixes {
    pub(crate) fn new(max: usize) -> Self {
        Prefixes {
            young: HashMap::new(),
            old: HashMap::new(),
            max,
        }
    }

    pub(crate) fn get(&self, prefix: u64) -> Option<Served> {
        if prefix == 0 {
            return None;
        }
        let served = self.young.get(&prefix).or_else(|| self.old.get(&prefix));
        served.copied()
    }

    pub(crate) fn set(&mut self, prefix: u64, target: usize, epoch: u64) {
        if prefix == 0 || self.max == 0 {
            return;
        }
        if self.young.len() >= self.max.div_ceil(2) && !self.young.contains_key(&prefix) {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(prefix, (target, epoch));
    }

    /// Drops what is known of a target whose place in the table may be used again.
    pub(crate) fn forget(&mut self, target: usize) {
        self.young.retain(|_, served| served.0 != target);
        self.old.retain(|_, served| served.0 != target);
    }
}
