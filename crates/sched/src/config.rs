//! Settings of a scheduler.

use std::time::Duration;

/// Limits, timeouts and latency goals of a scheduler.
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of tiers.
    pub tiers: u8,
    /// Largest number of waiting descriptors.
    pub max_waiting: usize,
    /// Time for which an unused permit is valid.
    pub permit_life: Duration,
    /// Goal for the time from the first byte sent to the first token.
    pub first_token_goal: Duration,
    /// Goal for the mean time between tokens.
    pub token_gap_goal: Duration,
    /// A target that has sent a load report and then sends none for longer than this becomes cold.
    pub report_timeout: Duration,
    /// Time after which runs that were assumed at a takeover no longer count.
    pub assumed_run_time: Duration,
    /// The initial allowance of a warming target is its learned limit divided by this.
    pub ramp_divisor: u64,
    /// Wait before the next grant to a target that failed while cold. It doubles with each further
    /// failure up to `max_backoff`.
    pub min_backoff: Duration,
    /// Longest wait between grants to a cold target that keeps failing.
    pub max_backoff: Duration,
    /// Time for which a fingerprint is refused after two crashes.
    pub poison_ttl: Duration,
    /// Time for which a fingerprint stays suspect unless an isolated run completes.
    pub suspect_ttl: Duration,
    /// Largest number of fingerprints remembered as suspect or refused.
    pub max_suspects: usize,
    /// Largest number of prefixes remembered for affinity.
    pub max_prefixes: usize,
    /// A target that served the prefix is preferred while its load is at most this multiple of
    /// the lowest load.
    pub affinity_factor: f64,
    /// Up to this relative load, a target that served the prefix is preferred whatever the lowest
    /// load is.
    pub affinity_floor: f64,
    /// Lower tiers leave room for the tokens that are expected in higher tiers within this time.
    pub reserve_window: Duration,
    /// Largest fraction of a limit that is reserved for higher tiers.
    pub max_reserved_fraction: f64,
    /// Largest number of descriptors shed, and of runs ended by their hard deadline, in one poll.
    /// 0 counts as 1.
    pub max_removals_per_poll: usize,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            tiers: 5,
            max_waiting: 10_000,
            permit_life: Duration::from_secs(1),
            first_token_goal: Duration::from_millis(410),
            token_gap_goal: Duration::from_millis(50),
            // Reports may be 5 s old; two more missed ones count as a timeout.
            report_timeout: Duration::from_secs(15),
            assumed_run_time: Duration::from_mins(2),
            ramp_divisor: 16,
            min_backoff: Duration::from_millis(250),
            max_backoff: Duration::from_secs(4),
            poison_ttl: Duration::from_mins(5),
            suspect_ttl: Duration::from_mins(10),
            max_suspects: 1024,
            max_prefixes: 8192,
            affinity_factor: 1.5,
            affinity_floor: 0.25,
            reserve_window: Duration::from_secs(4),
            max_reserved_fraction: 0.1,
            max_removals_per_poll: 256,
        }
    }
}
