//! Times that the membership rules use.

use std::time::Duration;

/// Times of the membership rules; equal in all daemons of a fleet.
///
/// ```
/// let cfg = member::Config::default();
/// assert!(cfg.check().is_ok());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Longest time by which the platform's list lags behind its state.
    pub max_list_lag: Duration,
    /// Time for which a list that contains this VM confirms the lease. It has to cover two relays,
    /// each of which adds `silence` to the age of a list.
    pub lease: Duration,
    /// Wait of a new owner whose predecessor can't be reached.
    pub hold_down: Duration,
    /// A peer that wasn't heard for this time is not reached, and its link is closed. So no message
    /// of an open link spent longer in transit and in buffers, and ages from peers count for this
    /// much more: without it, a list that daemons confirm to each other would never grow old.
    pub peer_timeout: Duration,
    /// Least wait after proof that the old owner's process is gone.
    pub grace: Duration,
    /// First interval between two questions to an old owner; it doubles up to eight times this.
    pub ask_interval: Duration,
    /// The daemon runs without a fleet: the lease is always held and targets start at once.
    pub standalone: bool,
}

/// The times contradict each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigError {
    /// `hold_down` must exceed twice the sum of `lag` and `lease`.
    HoldDownTooShort,
    /// `lease` must exceed `silence`.
    LeaseTooShort,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_list_lag: Duration::from_secs(10),
            lease: Duration::from_secs(8),
            hold_down: Duration::from_secs(38),
            peer_timeout: Duration::from_secs(2),
            grace: Duration::from_secs(1),
            ask_interval: Duration::from_millis(500),
            standalone: false,
        }
    }
}

impl Config {
    /// Checks the relations that the safety argument of [`Ownership`](crate::Ownership) needs.
    ///
    /// # Errors
    ///
    /// The first relation that doesn't hold.
    pub fn check(&self) -> Result<(), ConfigError> {
        if self.hold_down <= 2 * (self.max_list_lag + self.lease) {
            return Err(ConfigError::HoldDownTooShort);
        }
        if self.lease <= self.peer_timeout {
            return Err(ConfigError::LeaseTooShort);
        }
        Ok(())
    }
}
