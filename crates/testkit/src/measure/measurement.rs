use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::work::EngineWork;

/// Number of requests by reason.
pub type ReasonCounts = BTreeMap<String, u64>;

/// Results of a group of requests, as seen by the callers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestStats {
    /// Requests sent.
    pub sent: u64,
    /// Requests served in time.
    pub in_time: u64,
    /// Output tokens per second of requests served in time.
    pub goodput: f64,
    /// 95th percentile of the time to the first byte of served requests, in seconds.
    pub first_p95: Option<f64>,
}

/// Resources used per daemon of a site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DaemonCosts {
    /// CPU cores used by a daemon, mean over the daemons.
    pub cores: f64,
    /// CPU cores used by the busiest daemon.
    pub most_cores: f64,
    /// Bytes per second sent and received on peer links, mean over the daemons.
    pub peer_bytes: f64,
}

/// Measurement of one policy at one load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Measurement {
    /// Name of the site.
    pub site: String,
    /// Policy of the daemons.
    pub policy: String,
    /// Offered load as a multiple of the site's capacity.
    pub load: f64,
    /// Offered requests per second.
    pub offered: f64,
    /// Results of all requests.
    pub total: RequestStats,
    /// Requests served after their deadline.
    pub late: u64,
    /// Shed requests by reason.
    pub shed: ReasonCounts,
    /// Refused requests by reason.
    pub refused: ReasonCounts,
    /// Failed requests by reason.
    pub failed: ReasonCounts,
    /// Requests with unknown outcome by reason.
    pub unknown: ReasonCounts,
    /// Results by tier.
    pub tiers: BTreeMap<String, RequestStats>,
    /// Results by workspace.
    pub workspaces: BTreeMap<String, RequestStats>,
    /// Workspace with the smallest share of requests served in time.
    pub worst_workspace: String,
    /// Ratio of its share to the median share of all workspaces.
    pub worst_to_median: Option<f64>,
    /// 99th percentile of the delay with which the generator sent requests, in seconds.
    pub send_lag_p99: f64,
    /// Requests that the generator did not send because too many were in flight.
    pub over_limit: u64,
    /// Work done by the engines.
    pub work: EngineWork,
    /// Crashes of cold engines from overload.
    pub cold_overloads: u64,
    /// Resources used by the daemons.
    pub costs: DaemonCosts,
}

impl RequestStats {
    /// Fraction of the requests served in time.
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
    /// Reads the results seen by callers from the output of `primrosectl load --json`. All other
    /// fields get their default values.
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

    /// Ratio of the smallest in-time share to the median share, over all workspaces except `name`.
    #[must_use]
    pub fn worst_to_median_except(&self, name: &str) -> Option<f64> {
        let others = self
            .workspaces
            .iter()
            .filter(|(workspace, _)| *workspace != name);
        let mut shares: Vec<f64> = others.map(|(_, stats)| stats.in_time_share()).collect();
        shares.sort_by(f64::total_cmp);
        let half = shares.len() / 2;
        let median = match shares.len() % 2 {
            _ if shares.is_empty() => return None,
            1 => shares[half],
            _ => f64::midpoint(shares[half - 1], shares[half]),
        };
        (median > 0.0).then(|| shares[0] / median)
    }

    /// Fraction of the requests refused because of the workspace's rate.
    #[must_use]
    pub fn rate_refused_share(&self) -> f64 {
        self.share_of_sent(self.refused.get("rate").copied().unwrap_or(0))
    }

    /// Fraction of the requests served after their deadline.
    #[must_use]
    pub fn late_share(&self) -> f64 {
        self.share_of_sent(self.late)
    }

    /// Fraction of the requests counted in `reasons`.
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
