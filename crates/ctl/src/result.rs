//! The result file that `load` writes and `report` reads.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Version of the file format.
pub(crate) const FORMAT_VERSION: u32 = 1;

/// Result of a load.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct LoadResult {
    pub(crate) format: u32,
    /// Name of the mix file without its folder.
    pub(crate) mix: String,
    pub(crate) seed: u64,
    pub(crate) warm_up_seconds: f64,
    pub(crate) duration_seconds: f64,
    /// Commit of the daemons, as given by the user.
    pub(crate) commit: Option<String>,
    pub(crate) total: GroupStats,
    pub(crate) workloads: BTreeMap<String, GroupStats>,
    pub(crate) tiers: BTreeMap<String, GroupStats>,
    pub(crate) workspaces: BTreeMap<String, GroupStats>,
    pub(crate) worst_workspace: Option<WorstWorkspace>,
    pub(crate) generator: GeneratorStats,
    pub(crate) events: Vec<EventResult>,
}

/// Statistics of one group of requests, such as a tier, over the measured period.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct GroupStats {
    pub(crate) sent: u64,
    /// Served requests whose first byte arrived within the deadline or that had no deadline.
    pub(crate) served_in_time: u64,
    pub(crate) served_late: u64,
    /// Counts of shed requests by reason; likewise for the outcomes below.
    pub(crate) shed: BTreeMap<String, u64>,
    pub(crate) refused: BTreeMap<String, u64>,
    /// Includes requests that the site reported as served but whose response failed verification.
    pub(crate) failed: BTreeMap<String, u64>,
    pub(crate) unknown: BTreeMap<String, u64>,
    /// Number of resends of requests and resumes of streams after a broken connection.
    pub(crate) resends: u64,
    pub(crate) resumes: u64,
    /// Time from the planned arrival to the first event of a stream, or to the end of any other
    /// response, for served requests.
    pub(crate) first_token_seconds: Option<Percentiles>,
    /// Time between consecutive events, for served streams.
    pub(crate) token_gap_seconds: Option<Percentiles>,
    pub(crate) tokens_served: u64,
    pub(crate) tokens_in_time: u64,
    pub(crate) goodput_tokens_per_second: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Percentiles {
    pub(crate) count: u64,
    pub(crate) p50: f64,
    pub(crate) p95: f64,
    pub(crate) p99: f64,
}

/// The workspace with the smallest share of its requests served in time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct WorstWorkspace {
    pub(crate) workspace: String,
    pub(crate) in_time_share: f64,
    /// Median of the shares of all workspaces that sent requests.
    pub(crate) median_share: f64,
    /// `None` if the median is zero.
    pub(crate) ratio_to_median: Option<f64>,
}

/// How closely the load generator followed its plan.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct GeneratorStats {
    /// Delay from the planned arrival of a request until it was sent.
    pub(crate) send_lag_seconds: Option<Percentiles>,
    /// Requests that were not sent because too many were in flight.
    pub(crate) over_limit: u64,
}

/// Result of an HTTP event of the mix.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct EventResult {
    pub(crate) at_seconds: f64,
    pub(crate) action: String,
    /// HTTP status of the response, if one arrived.
    pub(crate) status: Option<u16>,
    /// Why the event failed.
    pub(crate) error: Option<String>,
}

impl GroupStats {
    pub(crate) fn served(&self) -> u64 {
        self.served_in_time + self.served_late
    }
}

impl WorstWorkspace {
    /// Finds the worst of the workspaces that sent requests.
    pub(crate) fn among(workspaces: &BTreeMap<String, GroupStats>) -> Option<WorstWorkspace> {
        let shares = workspaces
            .iter()
            .filter(|(_, row)| row.sent > 0)
            .map(|(name, row)| (ratio(row.served_in_time, row.sent), name));
        let mut shares: Vec<(f64, &String)> = shares.collect();
        shares.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (worst, name) = *shares.first()?;
        let half = shares.len() / 2;
        let median = match shares.len() % 2 {
            1 => shares[half].0,
            _ => f64::midpoint(shares[half - 1].0, shares[half].0),
        };
        Some(WorstWorkspace {
            workspace: name.clone(),
            in_time_share: worst,
            median_share: median,
            ratio_to_median: (median > 0.0).then(|| worst / median),
        })
    }
}

/// Sum of the counts by reason.
pub(crate) fn total_count(reasons: &BTreeMap<String, u64>) -> u64 {
    reasons.values().sum()
}

/// Quotient of two counts. A divisor of 1 converts a count to a float.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
pub(crate) fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}
