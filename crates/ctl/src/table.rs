//! Metrics of load results, and the table of them.

use std::collections::{BTreeMap, BTreeSet};

use crate::output::Output;
use crate::result::{GroupStats, LoadResult, Percentiles, ratio, total_count};

/// Stats of groups by name, such as tiers or workspaces.
type StatsByName = BTreeMap<String, GroupStats>;

/// Unit of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unit {
    Count,
    Rate,
    Seconds,
    Share,
}

/// One row of a report, with a value for each result.
#[derive(Debug)]
pub(crate) struct Metric {
    pub(crate) group: String,
    pub(crate) name: String,
    unit: Unit,
    pub(crate) values: Vec<Option<f64>>,
}

/// Metrics shown for workspaces. Latencies are left out, because they depend on the workloads that
/// a workspace runs.
const WORKSPACE_METRICS: [&str; 4] = [
    "sent",
    "served in time",
    "in time share",
    "goodput tokens/s",
];

/// Selects the groups of one kind from a result.
type SelectGroups = fn(&LoadResult) -> &StatsByName;

/// Extracts one number from the stats of a group.
type Extract = fn(&GroupStats) -> Option<f64>;

/// The metrics of each group.
const METRICS: [(&str, Unit, Extract); 17] = [
    ("sent", Unit::Count, |row| Some(ratio(row.sent, 1))),
    ("served in time", Unit::Count, |row| {
        Some(ratio(row.served_in_time, 1))
    }),
    ("served late", Unit::Count, |row| {
        Some(ratio(row.served_late, 1))
    }),
    ("shed", Unit::Count, |row| {
        Some(ratio(total_count(&row.shed), 1))
    }),
    ("refused", Unit::Count, |row| {
        Some(ratio(total_count(&row.refused), 1))
    }),
    ("failed", Unit::Count, |row| {
        Some(ratio(total_count(&row.failed), 1))
    }),
    ("unknown", Unit::Count, |row| {
        Some(ratio(total_count(&row.unknown), 1))
    }),
    ("sent again", Unit::Count, |row| Some(ratio(row.resends, 1))),
    ("streams resumed", Unit::Count, |row| {
        Some(ratio(row.resumes, 1))
    }),
    ("in time share", Unit::Share, |row| {
        (row.sent > 0).then(|| ratio(row.served_in_time, row.sent))
    }),
    ("goodput tokens/s", Unit::Rate, |row| {
        Some(row.goodput_tokens_per_second)
    }),
    ("first token p50", Unit::Seconds, |row| {
        row.first_token_seconds.map(p50)
    }),
    ("first token p95", Unit::Seconds, |row| {
        row.first_token_seconds.map(p95)
    }),
    ("first token p99", Unit::Seconds, |row| {
        row.first_token_seconds.map(p99)
    }),
    ("token gap p50", Unit::Seconds, |row| {
        row.token_gap_seconds.map(p50)
    }),
    ("token gap p95", Unit::Seconds, |row| {
        row.token_gap_seconds.map(p95)
    }),
    ("token gap p99", Unit::Seconds, |row| {
        row.token_gap_seconds.map(p99)
    }),
];

fn p50(percentiles: Percentiles) -> f64 {
    percentiles.p50
}

fn p95(percentiles: Percentiles) -> f64 {
    percentiles.p95
}

fn p99(percentiles: Percentiles) -> f64 {
    percentiles.p99
}

/// Metrics of the results, without those that have no value in any result. Those that are zero in
/// all results are left out, too, unless they are shares.
pub(crate) fn metrics(results: &[LoadResult]) -> Vec<Metric> {
    let mut metrics = Vec::new();
    add_group(&mut metrics, "total", results, |result| Some(&result.total));
    add_reason_counts(&mut metrics, results);
    let groups: [(&str, SelectGroups); 3] = [
        ("tier", |result| &result.tiers),
        ("workload", |result| &result.workloads),
        ("workspace", |result| &result.workspaces),
    ];
    for (kind, rows) in groups {
        let names: BTreeSet<&String> = results.iter().flat_map(|r| rows(r).keys()).collect();
        for name in names {
            let group = format!("{kind} {name}");
            add_group(&mut metrics, &group, results, |result| {
                rows(result).get(name)
            });
        }
    }
    let worst = |result: &LoadResult| result.worst_workspace.as_ref()?.ratio_to_median;
    metrics.push(Metric {
        group: "worst workspace".into(),
        name: "ratio to median".into(),
        unit: Unit::Share,
        values: results.iter().map(worst).collect(),
    });
    metrics.retain(|metric| {
        if metric.group.starts_with("workspace ") && !WORKSPACE_METRICS.contains(&&*metric.name) {
            return false;
        }
        let mut values = metric.values.iter().flatten();
        values.any(|value| metric.unit == Unit::Share || *value > 0.0)
    });
    metrics
}

fn add_group<'a>(
    metrics: &mut Vec<Metric>,
    group: &str,
    results: &'a [LoadResult],
    row: impl Fn(&'a LoadResult) -> Option<&'a GroupStats>,
) {
    for (name, unit, extract) in METRICS {
        metrics.push(Metric {
            group: group.to_owned(),
            name: name.to_owned(),
            unit,
            values: results.iter().map(|r| row(r).and_then(extract)).collect(),
        });
    }
}

/// Adds the counts by outcome and reason over all requests.
fn add_reason_counts(metrics: &mut Vec<Metric>, results: &[LoadResult]) {
    let outcomes = ["shed", "refused", "failed", "unknown"];
    let reasons = |result: &LoadResult| {
        let row = &result.total;
        [&row.shed, &row.refused, &row.failed, &row.unknown].map(Clone::clone)
    };
    let counts: Vec<_> = results.iter().map(reasons).collect();
    for (index, outcome) in outcomes.into_iter().enumerate() {
        let names: BTreeSet<&String> = counts.iter().flat_map(|c| c[index].keys()).collect();
        for name in names {
            let count = |c: &[_; 4]| {
                let reasons: &BTreeMap<String, u64> = &c[index];
                Some(ratio(reasons.get(name).copied().unwrap_or(0), 1))
            };
            metrics.push(Metric {
                group: "total".into(),
                name: format!("{outcome}: {name}"),
                unit: Unit::Count,
                values: counts.iter().map(count).collect(),
            });
        }
    }
}

impl Metric {
    /// Ratio of the value of a result to that of the first result.
    pub(crate) fn ratio(&self, index: usize) -> Option<f64> {
        let first = self.values.first().copied().flatten()?;
        let value = self.values.get(index).copied().flatten()?;
        (first > 0.0).then(|| value / first)
    }

    fn format_cell(&self, index: usize) -> String {
        let Some(value) = self.values[index] else {
            return "-".into();
        };
        let text = match self.unit {
            Unit::Count => format!("{value:.0}"),
            Unit::Rate => format!("{value:.1}"),
            Unit::Share => format!("{value:.4}"),
            Unit::Seconds => format_seconds(value),
        };
        match self.ratio(index) {
            Some(ratio) if index > 0 => format!("{text} ({ratio:.2})"),
            _ => text,
        }
    }
}

/// Formats a time in milliseconds below a second, and in seconds otherwise.
fn format_seconds(value: f64) -> String {
    if value < 1.0 {
        format!("{:.1} ms", value * 1000.0)
    } else {
        format!("{value:.2} s")
    }
}

/// Prints the metrics with a column for each result.
pub(crate) fn print(names: &[String], results: &[LoadResult], out: Output) {
    let header = ["group", "metric"].map(String::from).into_iter();
    let mut rows: Vec<Vec<String>> = vec![header.chain(names.iter().cloned()).collect()];
    let mut previous_group = String::new();
    for metric in metrics(results) {
        let group = if previous_group == metric.group {
            String::new()
        } else {
            previous_group.clone_from(&metric.group);
            metric.group.clone()
        };
        let cells = (0..results.len()).map(|index| metric.format_cell(index));
        rows.push(
            [group, metric.name.clone()]
                .into_iter()
                .chain(cells)
                .collect(),
        );
    }
    out.table(&rows);
    for (name, result) in names.iter().zip(results) {
        let mut line = format!(
            "{name}: {} s measured after {} s, seed {}",
            result.duration_seconds, result.warm_up_seconds, result.seed
        );
        if let Some(worst) = &result.worst_workspace {
            line = format!("{line}, worst workspace {}", worst.workspace);
        }
        if let Some(lag) = result.generator.send_lag_seconds {
            line = format!("{line}, send lag p99 {}", format_seconds(lag.p99));
        }
        out.line(&line);
    }
}
