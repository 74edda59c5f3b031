//! The result file of `load`, which `report` reads.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Version of the format.
pub(crate) const FORMAT_VERSION: u32 = 1;

/// Result of a load.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct LoadResult {
    pub(crate) format: u32,
    /// Name of the mix file.
    pub(crate) mix: String,
    pub(crate) seed: u64,
    pub(crate) warm_up_seconds: f64,
    pub(crate) duration_seconds: f64,
    /// Commit that the caller named.
    pub(crate) commit: Option<String>,
    pub(crate) total: GroupStats,
    pub(crate) workloads: BTreeMap<String, GroupStats>,
    pub(crate) tiers: BTreeMap<String, GroupStats>,
    pub(crate) workspaces: BTreeMap<String, GroupStats>,
    pub(crate) worst_workspace: Option<WorstWorkspace>,
    pub(crate) generator: GeneratorStats,
    pub(crate) events: Vec<EventResult>,
}

/// Requests of one group that arrived in the measured time.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct GroupStats {
    pub(crate) sent: u64,
    /// Served with the first byte within the deadline, or without a deadline.
    pub(crate) served_in_time: u64,
    pub(crate) served_late: u64,
    /// Counts by reason.
    pub(crate) shed: BTreeMap<String, u64>,
    pub(crate) refused: BTreeMap<String, u64>,
    /// Failed by the site's word, or the answer was not the whole answer to the request.
    pub(crate) failed: BTreeMap<String, u64>,
    pub(crate) unknown: BTreeMap<String, u64>,
    /// Times that requests were sent again, and streams resumed, after a broken connection.
    pub(crate) resends: u64,
    pub(crate) resumes: u64,
    /// From the planned arrival to the first byte of the answer, of served requests.
    pub(crate) first_token_seconds: Option<Percentiles>,
    /// Between the events of served streams.
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
    /// Median of the share over all workspaces.
    pub(crate) median_share: f64,
    /// `None` if the median is zero.
    pub(crate) ratio_to_median: Option<f64>,
}

/// How well the load generator kept to its plan.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct GeneratorStats {
    /// Time by which requests were sent after their planned arrival.
    pub(crate) send_lag_seconds: Option<Percentiles>,
    /// Requests that were not sent because too many were in flight.
    pub(crate) over_limit: u64,
}

/// An HTTP event of the mix.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct EventResult {
    pub(crate) at_seconds: f64,
    pub(crate) action: String,
    /// Status of the answer, if one came.
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
    /// The worst of the workspaces that sent requests.
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

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
pub(crate) fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}
