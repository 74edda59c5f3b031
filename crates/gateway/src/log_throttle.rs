//! Bounds the log lines about a fault that may repeat with each response.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// One line per source and interval.
const INTERVAL: Duration = Duration::from_mins(1);
/// Maximum number of sources that are remembered. Further ones are not logged.
const MAX_SOURCES: usize = 1024;

/// Remembers which sources were logged recently.
#[derive(Debug)]
pub struct LogThrottle<K> {
    logged_at: HashMap<K, Duration>,
}

impl<K> Default for LogThrottle<K> {
    fn default() -> Self {
        LogThrottle {
            logged_at: HashMap::new(),
        }
    }
}

impl<K: Eq + Hash> LogThrottle<K> {
    /// Whether a line about the source may be logged now.
    pub fn allow(&mut self, now: Duration, source: K) -> bool {
        let is_recent = |at: &Duration| now.saturating_sub(*at) < INTERVAL;
        if self.logged_at.len() >= MAX_SOURCES {
            self.logged_at.retain(|_, at| is_recent(at));
        }
        if self.logged_at.get(&source).is_some_and(is_recent) || self.logged_at.len() >= MAX_SOURCES
        {
            return false;
        }
        self.logged_at.insert(source, now);
        true
    }
}
