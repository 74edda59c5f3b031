//! Targets that asked this member to send nothing for a while.

use std::collections::HashMap;
use std::time::Duration;

/// Longest pause that is granted. A longer one is most likely an error.
const MAX_PAUSE: Duration = Duration::from_hours(1);

/// Targets to which this member sends nothing, each until a time. A target asks each member by
/// itself, so other members may go on.
#[derive(Debug, Default)]
pub struct TargetPauses {
    until: HashMap<u64, Duration>,
}

impl TargetPauses {
    /// Records that a target wants no request for `pause`. A shorter pause does not end a longer
    /// one.
    pub fn record(&mut self, now: Duration, target: u64, pause: Duration) {
        let until = now + pause.min(MAX_PAUSE);
        let known = self.until.entry(target).or_default();
        *known = until.max(*known);
    }

    /// Whether nothing may be sent to a target.
    #[must_use]
    pub fn is_paused(&self, now: Duration, target: u64) -> bool {
        self.until.get(&target).is_some_and(|&until| now < until)
    }

    /// Targets to which nothing may be sent.
    #[must_use]
    pub fn targets(&self, now: Duration) -> Vec<u64> {
        let paused = self.until.iter().filter(|&(_, &until)| now < until);
        paused.map(|(&target, _)| target).collect()
    }

    /// Forgets pauses that have ended.
    pub fn expire(&mut self, now: Duration) {
        self.until.retain(|_, &mut until| now < until);
    }
}
