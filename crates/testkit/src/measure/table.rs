use std::fmt::Write;

use super::goals::Goal;
use super::measurement::Measurement;

/// Reads one value of a measurement.
type Metric = fn(&Measurement) -> f64;

/// Name and value of each table row. Shares are in percent.
const ROWS: [(&str, Metric); 12] = [
    ("goodput, tokens/s", |m| m.total.goodput),
    ("served in time, %", |m| 100.0 * m.total.in_time_share()),
    ("late, %", |m| 100.0 * m.late_share()),
    ("shed, %", |m| 100.0 * m.share_of(&m.shed)),
    ("refused, %", |m| 100.0 * m.share_of(&m.refused)),
    ("failed, %", |m| 100.0 * m.share_of(&m.failed)),
    ("unknown, %", |m| 100.0 * m.share_of(&m.unknown)),
    ("wasted prefill, %", |m| 100.0 * m.work.wasted_share()),
    ("cold overloads", |m| count_as_f64(m.cold_overloads)),
    ("worst workspace to median", |m| {
        m.worst_to_median.unwrap_or(0.0)
    }),
    ("cores per daemon", |m| m.costs.cores),
    ("peer KB/s per daemon", |m| m.costs.peer_bytes / 1000.0),
];

/// Formats two Markdown tables: the values of both policies for each site and load, and the goals.
#[must_use]
pub fn markdown(measurements: &[Measurement], goals: &[Goal], seed: u64, commit: &str) -> String {
    let mut text = String::from(
        "| site | load | measure | this build | baseline | ratio | seed | commit |\n\
         |---|---|---|---|---|---|---|---|\n",
    );
    for (index, scheduler) in measurements.iter().enumerate() {
        if scheduler.policy != "scheduler" {
            continue;
        }
        // A load may be measured more than once. The baseline of a measurement is the next one in
        // the list with the same site and load.
        let baseline = measurements[index..].iter().find(|m| {
            m.policy == "baseline"
                && m.site == scheduler.site
                && (m.load - scheduler.load).abs() < 1e-9
        });
        let mut line = |name: &str, a: f64, b: Option<f64>| {
            let shown = b.map_or("-".into(), format_number);
            let ratio = b
                .filter(|b| *b > 0.0)
                .map_or("-".into(), |b| format_number(a / b));
            // Writing to a `String` never fails.
            let _ = writeln!(
                text,
                "| {} | {} | {name} | {} | {shown} | {ratio} | {seed} | {commit} |",
                scheduler.site,
                scheduler.load,
                format_number(a),
            );
        };
        for (name, metric) in ROWS {
            line(name, metric(scheduler), baseline.map(metric));
        }
        for (tier, stats) in &scheduler.tiers {
            let other = baseline.and_then(|m| m.tiers.get(tier));
            line(
                &format!("tier {tier}: in time, %"),
                100.0 * stats.in_time_share(),
                other.map(|stats| 100.0 * stats.in_time_share()),
            );
        }
    }
    text.push_str("\n| goal | target | measured | |\n|---|---|---|---|\n");
    for goal in goals {
        let met = if goal.met { "met" } else { "missed" };
        let _ = writeln!(
            text,
            "| {} | {} | {:.4} | {met} |",
            goal.name, goal.target, goal.value
        );
    }
    text
}

fn format_number(value: f64) -> String {
    if value.abs() >= 100.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.2}")
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
fn count_as_f64(count: u64) -> f64 {
    count as f64
}
