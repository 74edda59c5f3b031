use serde::Serialize;

use super::measurement::{Measurement, RequestStats};

/// A design goal and the measured value.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Goal {
    /// Name of the measured quantity.
    pub name: String,
    /// Bound that the value must keep, with its comparison operator.
    pub target: String,
    /// Measured value.
    pub value: f64,
    /// Whether the value is within the bound.
    pub met: bool,
}

impl Goal {
    fn at_least(name: &str, bound: f64, value: f64) -> Self {
        Goal {
            name: name.into(),
            target: format!(">= {bound}"),
            value,
            met: value >= bound,
        }
    }

    fn at_most(name: &str, bound: f64, value: f64) -> Self {
        Goal {
            name: name.into(),
            target: format!("<= {}", (bound * 1e4).round() / 1e4),
            value,
            met: value <= bound,
        }
    }
}

/// Evaluates the goals of a site without faults. Goals whose loads were not measured are left out.
#[must_use]
pub fn goals(measurements: &[Measurement], top_tier: &str) -> Vec<Goal> {
    let find = |policy: &str, load: f64| {
        measurements
            .iter()
            .find(|m| m.policy == policy && (m.load - load).abs() < 1e-9)
    };
    let scheduler = || measurements.iter().filter(|m| m.policy == "scheduler");
    let mut goals = Vec::new();
    if let (Some(low), Some(high)) = (find("scheduler", 0.7), find("scheduler", 3.0)) {
        let share = |m: &Measurement| {
            m.tiers
                .get(top_tier)
                .map_or(0.0, RequestStats::in_time_share)
        };
        let ratio = share(high) / share(low).max(f64::MIN_POSITIVE);
        let name = "top tier: in-time share at 3x over 0.7x";
        goals.push(Goal::at_least(name, 0.99, ratio));
        let peak = scheduler().map(|m| m.total.goodput).fold(0.0, f64::max);
        let ratio = high.total.goodput / peak.max(f64::MIN_POSITIVE);
        goals.push(Goal::at_least("total goodput at 3x over peak", 0.95, ratio));
    }
    if let Some(scheduler) = find("scheduler", 1.5) {
        let wasted = scheduler.work.wasted_share();
        goals.push(Goal::at_most("wasted prefill at 1.5x", 0.02, wasted));
        if let Some(baseline) = find("baseline", 1.5) {
            let bound = baseline.work.wasted_share() / 10.0;
            let name = "wasted prefill at 1.5x, a tenth of the baseline";
            goals.push(Goal::at_most(name, bound, wasted));
        }
    }
    let refused = scheduler()
        .map(Measurement::rate_refused_share)
        .fold(0.0, f64::max);
    let name = "refused inside the rate, worst load";
    goals.push(Goal::at_most(name, 0.005, refused));
    goals
}

/// Evaluates the goals of a site under faults, for each load. `tenant` is the workspace that may
/// exceed its rate. Its share is not evaluated.
#[must_use]
pub fn goals_under_faults(measurements: &[Measurement], tenant: &str) -> Vec<Goal> {
    let scheduler = measurements.iter().filter(|m| m.policy == "scheduler");
    scheduler
        .flat_map(|measurement| {
            let name = |what: &str| format!("{what} at {}x", measurement.load);
            let worst = measurement.worst_to_median_except(tenant).unwrap_or(0.0);
            let lost = measurement.share_of(&measurement.failed)
                + measurement.share_of(&measurement.unknown);
            let late = measurement.late_share();
            [
                Goal::at_most(&name("failed or unknown"), 0.0, lost),
                Goal::at_most(&name("late"), 0.01, late),
                Goal::at_least(&name("worst other workspace to median"), 0.9, worst),
            ]
        })
        .collect()
}
