use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::work::EngineWork;

/// Counts by reason.
pub type ReasonCounts = BTreeMap<String, u64>;

/// Requests of one group as their callers saw them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestStats {
    /// Requests sent.
    pub sent: u64,
    /// Requests served in time.
    pub in_time: u64,
    /// Output tokens served in time, a second.
    pub goodput: f64,
    /// 95th percentile of the time to the first byte, of served requests.
    pub first_p95: Option<f64>,
}

/// What the daemons of a site spent, per daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DaemonCosts {
    /// Mean part of one core.
    pub cores: f64,
    /// Part of one core of the busiest daemon.
    pub most_cores: f64,
    /// Mean bytes a second sent and received on links to peers.
    pub peer_bytes: f64,
}

/// One policy at one load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Measurement {
    /// Name of the site.
    pub site: String,
    /// Policy of the daemons.
    pub policy: String,
    /// Offered load as a multiple of the capacity.
    pub load: f64,
    /// Requests offered a second.
    pub offered: f64,
    /// All requests.
    pub total: RequestStats,
    /// Served after the deadline.
    pub late: u64,
    /// Shed requests by reason.
    pub shed: ReasonCounts,
    /// Refused requests by reason.
    pub refused: ReasonCounts,
    /// Failed requests by reason.
    pub failed: ReasonCounts,
    /// Requests of unknown outcome by reason.
    pub unknown: ReasonCounts,
    /// Requests by tier.
    pub tiers: BTreeMap<String, RequestStats>,
    /// Requests by workspace.
    pub workspaces: BTreeMap<String, RequestStats>,
    /// Name of the workspace with the smallest share of requests in time.
    pub worst_workspace: String,
    /// Its share relative to the median workspace.
    pub worst_to_median: Option<f64>,
    /// 99th percentile of the time by which the generator sent too late.
    pub send_lag_p99: f64,
    /// Requests that the generator left out.
    pub over_limit: u64,
    /// What the engines computed.
    pub work: EngineWork,
    /// Fall-overs of cold engines.
    pub cold_overloads: u64,
    /// What the daemons spent.
    pub costs: DaemonCosts,
}

impl RequestStats {
    /// Part of the requests that was served in time.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.sent.max(1) as f64
    }

    fn from_json(row: &Value) -> Self {
        RequestStats {
            sent: parse_count(&row["sent"]),
            in_time: parse_count(&row["served_in_time"]),
            goodput: row["goodput_tokens_per_second"].as_f64().unwrap_or(0.0),
            first_p95: row["first_token_seconds"]["p95"].as_f64(),
        }
    }
}

impl Measurement {
    /// Takes what callers saw from a result of `primrosectl load --json`.
    #[must_use]
    pub fn from_load_result(result: &Value) -> Self {
        let total = &result["total"];
        let worst = &result["worst_workspace"];
        Measurement {
            total: RequestStats::from_json(total),
            late: parse_count(&total["served_late"]),
            shed: parse_reason_counts(&total["shed"]),
            refused: parse_reason_counts(&total["refused"]),
            failed: parse_reason_counts(&total["failed"]),
            unknown: parse_reason_counts(&total["unknown"]),
            tiers: parse_groups(&result["tiers"]),
            workspaces: parse_groups(&result["workspaces"]),
            worst_workspace: worst["workspace"].as_str().unwrap_or_default().to_owned(),
            worst_to_median: worst["ratio_to_median"].as_f64(),
            send_lag_p99: result["generator"]["send_lag_seconds"]["p99"]
                .as_f64()
                .unwrap_or(0.0),
            over_limit: parse_count(&result["generator"]["over_limit"]),
            ..Measurement::default()
        }
    }

    /// The smallest share of requests in time of the workspaces but one, relative to their median.
    #[must_use]
    pub fn worst_to_median_except(&self, name: &str) -> Option<f64> {
        let others = self.workspaces.iter().filter(|(own, _)| *own != name);
        let mut shares: Vec<f64> = others.map(|(_, share)| share.in_time_share()).collect();
        shares.sort_by(f64::total_cmp);
        let half = shares.len() / 2;
        let median = match shares.len() % 2 {
            _ if shares.is_empty() => return None,
            1 => shares[half],
            _ => f64::midpoint(shares[half - 1], shares[half]),
        };
        (median > 0.0).then(|| shares[0] / median)
    }

    /// Part of the requests that was refused by the rate.
    #[must_use]
    pub fn rate_refused_share(&self) -> f64 {
        self.share_of_sent(self.refused.get("rate").copied().unwrap_or(0))
    }

    /// Part of the requests that was served after the deadline.
    #[must_use]
    pub fn late_share(&self) -> f64 {
        self.share_of_sent(self.late)
    }

    /// Part of the requests that ended for any of these reasons.
    #[must_use]
    pub fn share_of(&self, reasons: &ReasonCounts) -> f64 {
        self.share_of_sent(reasons.values().sum())
    }

    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
    fn share_of_sent(&self, requests: u64) -> f64 {
        requests as f64 / self.total.sent.max(1) as f64
    }
}

fn parse_count(value: &Value) -> u64 {
    value.as_u64().unwrap_or(0)
}

fn parse_groups(rows: &Value) -> BTreeMap<String, RequestStats> {
    let rows = rows.as_object().into_iter().flatten();
    rows.map(|(name, row)| (name.clone(), RequestStats::from_json(row)))
        .collect()
}

fn parse_reason_counts(value: &Value) -> ReasonCounts {
    let reasons = value.as_object().into_iter().flatten();
    reasons
        .map(|(reason, count)| (reason.clone(), parse_count(count)))
        .collect()
}
