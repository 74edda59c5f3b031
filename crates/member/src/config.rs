//! Timing of the membership rules.

use std::time::Duration;

/// Timing of the membership rules. All daemons of a fleet must use the same values.
///
/// ```
/// let cfg = member::Config::default();
/// assert!(cfg.check().is_ok());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Longest time by which a list read from the platform is out of date.
    pub max_list_lag: Duration,
    /// Time for which a list that contains this VM renews the lease. It has to cover two relays,
    /// each of which adds `peer_timeout` to the age of a list.
    pub lease: Duration,
    /// Time that a new owner waits if the previous one can't be reached.
    pub hold_down: Duration,
    /// Time without a message after which a peer counts as unreachable and its link is closed. No
    /// message on an open link has therefore spent longer in transit and in buffers. It is added to
    /// the list ages that peers report; otherwise a list that daemons confirm to each other would
    /// never expire.
    pub peer_timeout: Duration,
    /// Minimum wait after proof that the previous owner's process is gone.
    pub grace: Duration,
    /// First interval between two handover requests; it doubles up to eight times this value.
    pub ask_interval: Duration,
    /// The daemon runs without a fleet: the lease is always held, and targets start at once.
    pub standalone: bool,
}

/// Values of [`Config`] that contradict each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigError {
    /// `hold_down` must exceed twice the sum of `max_list_lag` and `lease`.
    HoldDownTooShort,
    /// `lease` must exceed `peer_timeout`.
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
    /// Checks the inequalities that the safety argument of [`Ownership`](crate::Ownership) needs.
    ///
    /// # Errors
    ///
    /// The first inequality that doesn't hold.
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
