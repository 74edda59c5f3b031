//! Aggregation of measurements.

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::json;
use testkit::measure::{EngineWork, Measurement, goals, goals_under_faults, markdown};
use testkit::{RunEnd, RunRecord};

fn run(id: &str, end: Option<RunEnd>, prefilled: u64) -> RunRecord {
    RunRecord {
        request_id: id.into(),
        path: "/v1/completions".into(),
        headers: Vec::new(),
        workspace: None,
        body_hash: 0,
        order: 0,
        started_at: Duration::ZERO,
        ended_at: None,
        end,
        prompt_tokens: prefilled,
        cached_tokens: 0,
        prefilled_tokens: prefilled,
        max_tokens: 1,
        generated: 0,
        in_flight: 1,
        cold: false,
        engine_start: 1,
    }
}

// Guards against waste that is not counted: late responses, second runs and runs without an end.
#[test]
fn only_the_first_complete_run_of_a_request_served_in_time_is_not_wasted() {
    let records = [
        run("in-time", Some(RunEnd::Complete), 100),
        run("late", Some(RunEnd::Complete), 10),
        run("retried", Some(RunEnd::Reset), 20),
        run("retried", Some(RunEnd::Complete), 200),
        run("twice", Some(RunEnd::Complete), 300),
        run("twice", Some(RunEnd::Complete), 40),
        run("endless", None, 80),
    ];
    let in_time = ["in-time", "retried", "twice", "endless"].map(String::from);

    let work = EngineWork::from_records(&records, &BTreeSet::from(in_time));

    assert_eq!((work.runs, work.prefill_tokens), (7, 750));
    assert_eq!(work.wasted_tokens, 10 + 20 + 40 + 80);
    assert_eq!((work.most_runs, work.repeated_ids), (2, 2));
    assert!((work.wasted_share() - 0.2).abs() < 1e-9);
    assert!(
        EngineWork::from_records(&[], &BTreeSet::new())
            .wasted_share()
            .abs()
            < 1e-9
    );
}

fn measurement(
    policy: &str,
    load: f64,
    quick: (u64, u64),
    goodput: f64,
    wasted: u64,
) -> Measurement {
    let result = json!({
        "total": {
            "sent": 1000, "served_in_time": 900, "served_late": 20,
            "shed": { "queue_full": 60 }, "refused": { "rate": 15, "expired": 5 },
            "failed": {}, "unknown": {}, "goodput_tokens_per_second": goodput,
        },
        "tiers": { "quick": { "sent": quick.0, "served_in_time": quick.1 } },
        "workspaces": {
            "a": { "sent": 10, "served_in_time": 10 }, "b": { "sent": 10, "served_in_time": 8 },
            "c": { "sent": 10, "served_in_time": 6 }, "noisy": { "sent": 99, "served_in_time": 9 },
        },
        "worst_workspace": { "workspace": "academy", "ratio_to_median": 0.8 },
        "generator": { "send_lag_seconds": { "p99": 0.002 }, "over_limit": 3 },
    });
    Measurement {
        site: "lv-riga".into(),
        policy: policy.into(),
        load,
        work: EngineWork {
            prefill_tokens: 1000,
            wasted_tokens: wasted,
            ..EngineWork::default()
        },
        ..Measurement::from_load_result(&result)
    }
}

// Guards against goals that compare the wrong measurements or in the wrong direction.
#[test]
fn goals_compare_loads_and_policies() {
    let measurements = [
        measurement("scheduler", 0.7, (100, 100), 500.0, 0),
        measurement("baseline", 0.7, (100, 50), 900.0, 0),
        measurement("scheduler", 1.5, (200, 200), 1000.0, 15),
        measurement("baseline", 1.5, (200, 10), 100.0, 100),
        measurement("scheduler", 3.0, (400, 398), 940.0, 30),
    ];

    let goals = goals(&measurements, "quick");

    let results: Vec<(f64, bool)> = goals.iter().map(|g| (g.value, g.met)).collect();
    let expected = [
        (0.995, true),  // top tier at 3x over 0.7x
        (0.94, false),  // goodput at 3x over the peak of the same policy
        (0.015, true),  // wasted prefill
        (0.015, false), // wasted prefill, bound at a tenth of the baseline's
        (0.015, false), // refused by the rate, not for other reasons
    ];
    assert_eq!(results.len(), expected.len());
    for ((value, met), (expected_value, expected_met)) in results.iter().zip(expected) {
        assert!(
            (value - expected_value).abs() < 1e-9,
            "{value} instead of {expected_value}"
        );
        assert_eq!(*met, expected_met, "{value}");
    }
}

// Guards against counting a workspace that sends too much as the worst-served one.
#[test]
fn goals_under_faults_exclude_the_noisy_workspace() {
    let measurements = [
        measurement("scheduler", 0.7, (100, 100), 500.0, 0),
        measurement("baseline", 0.7, (100, 50), 900.0, 0),
    ];

    let goals = goals_under_faults(&measurements, "noisy");

    let results: Vec<(f64, bool)> = goals.iter().map(|g| (g.value, g.met)).collect();
    assert_eq!(results, [(0.0, true), (0.02, false), (0.6 / 0.8, false)]);
}

// Guards against a table whose ratio or columns belong to another measurement.
#[test]
fn table_contains_both_policies_and_their_ratio() {
    let measurements = [
        measurement("scheduler", 1.5, (200, 200), 1000.0, 15),
        measurement("baseline", 1.5, (200, 10), 100.0, 100),
        measurement("scheduler", 1.5, (200, 200), 600.0, 15),
        measurement("baseline", 1.5, (200, 10), 200.0, 100),
    ];

    let text = markdown(&measurements, &goals(&measurements, "quick"), 7, "abc");

    for line in [
        "| lv-riga | 1.5 | goodput, tokens/s | 1000 | 100 | 10.00 | 7 | abc |",
        "| lv-riga | 1.5 | goodput, tokens/s | 600 | 200 | 3.00 | 7 | abc |",
        "| lv-riga | 1.5 | wasted prefill, % | 1.50 | 10.00 | 0.15 | 7 | abc |",
        "| lv-riga | 1.5 | tier quick: in time, % | 100 | 5.00 | 20.00 | 7 | abc |",
        "| wasted prefill at 1.5x | <= 0.02 | 0.0150 | met |",
    ] {
        assert!(text.contains(line), "{line:?} is not in\n{text}");
    }
}
