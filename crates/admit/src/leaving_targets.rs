//! Targets that will accept no further requests, whatever their entries say.

use std::collections::HashMap;
use std::time::Duration;

/// Targets that are leaving are remembered for this long after they said so, also without an entry.
const MEMORY: Duration = Duration::from_mins(2);
/// Other members are told of a leaving target for this long.
const REPORT_TIME: Duration = Duration::from_secs(2);
/// Maximum number of leaving targets of which other members are told at once.
const MAX_REPORTED: usize = 32;

/// Targets that said in a response that they are leaving, by key, with the time at which this became
/// known.
#[derive(Default)]
pub(crate) struct LeavingTargets {
    known_since: HashMap<u64, Duration>,
}

impl LeavingTargets {
    /// Records that a target said so, to this or another member. Returns whether it was unknown; a
    /// repetition does not prolong the reports, or members would keep them alive.
    pub(crate) fn record(&mut self, now: Duration, key: u64) -> bool {
        let is_new = !self.contains(key);
        self.known_since.entry(key).or_insert(now);
        is_new
    }

    pub(crate) fn contains(&self, key: u64) -> bool {
        self.known_since.contains_key(&key)
    }

    /// Targets of which other members are to be told.
    pub(crate) fn reports(&self, now: Duration) -> Vec<u64> {
        let is_recent = |&(_, &at): &(&u64, &Duration)| now.saturating_sub(at) < REPORT_TIME;
        let recent = self.known_since.iter().filter(is_recent);
        recent.map(|(&key, _)| key).take(MAX_REPORTED).collect()
    }

    pub(crate) fn expire(&mut self, now: Duration) {
        self.known_since
            .retain(|_, &mut at| now.saturating_sub(at) < MEMORY);
    }
}
