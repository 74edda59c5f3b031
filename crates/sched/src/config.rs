//! Limits and goals of a scheduler.

use std::time::Duration;

/// Limits and goals of a scheduler.
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of tiers.
    pub tiers: u8,
    /// Most descriptors that may wait.
    pub max_waiting: usize,
    /// Life of a permit.
    pub permit_life: Duration,
    /// Goal for the time from the first byte sent to the first token.
    pub first_token_goal: Duration,
    /// Goal for the mean time between tokens.
    pub token_gap_goal: Duration,
    /// A target that reported its load and then stays silent for longer than this turns cold.
    pub report_timeout: Duration,
    /// Time after which a place assumed to be taken at a takeover counts as free.
    pub assumed_run_time: Duration,
    /// The first allowance of a warming target is its learned limit divided by this.
    pub ramp_divisor: u64,
    /// Wait before the next grant to a cold target that failed while cold; doubles with each
    /// further failure up to `max_backoff`.
    pub min_backoff: Duration,
    /// Longest wait between grants to a cold target that keeps failing.
    pub max_backoff: Duration,
    /// Time for which a fingerprint that crashed two targets is refused.
    pub poison_ttl: Duration,
    /// Time for which a fingerprint stays suspect unless a run alone completes.
    pub suspect_ttl: Duration,
    /// Most fingerprints remembered as suspect or refused.
    pub max_suspects: usize,
    /// Most prefixes remembered for affinity.
    pub max_prefixes: usize,
    /// A target that served the prefix is preferred while its load is at most this factor above
    /// the least load.
    pub affinity_factor: f64,
    /// Below this relative load a target that served the prefix is preferred regardless of the
    /// least load.
    pub affinity_floor: f64,
    /// Room for the tokens that arrive in higher tiers in this time is kept free of lower tiers.
    pub reserve_window: Duration,
    /// Largest part of a limit that is kept free for higher tiers.
    pub max_reserved_fraction: f64,
    /// Most descriptors shed, and most runs freed by their hard deadline, in one poll; at least 1.
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
            // Reports may be 5 s stale; two missed ones on top are a gap.
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
