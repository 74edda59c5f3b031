//! `report` on result files that the tests write.

mod common;

use common::{run, write_file};
use serde_json::{Value, json};

fn percentiles(p50: f64) -> Value {
    json!({ "count": 9, "p50": p50, "p95": p50 * 2.0, "p99": p50 * 4.0 })
}

fn row(sent: u32, shed: u32, p50: f64) -> Value {
    let served = sent - shed;
    json!({
        "sent": sent, "served_in_time": served, "served_late": 0, "shed": { "queue_full": shed },
        "refused": {}, "failed": {}, "unknown": {}, "resends": 0, "resumes": 0,
        "first_token_seconds": percentiles(p50), "token_gap_seconds": null,
        "tokens_served": served * 10, "tokens_in_time": served * 10,
        "goodput_tokens_per_second": f64::from(served),
    })
}

fn result(sent: u32, shed: u32, p50: f64) -> Value {
    let row = row(sent, shed, p50);
    json!({
        "format": 1, "mix": "mix.jsonc", "seed": 1, "warm_up_seconds": 1.0, "duration_seconds": 10.0,
        "commit": null, "total": row, "workloads": { "a": row }, "tiers": { "a<b": row },
        "workspaces": { "w": row }, "worst_workspace": null,
        "generator": { "send_lag_seconds": null, "over_limit": 0 }, "events": [],
    })
}

fn metric<'a>(report: &'a Value, group: &str, name: &str) -> &'a Value {
    let metrics = report["metrics"].as_array().unwrap().iter();
    let mut found = metrics.filter(|m| m["group"] == group && m["metric"] == name);
    found.next().unwrap()
}

#[test]
fn results_are_compared_with_the_first() {
    let dir = tempfile::tempdir().unwrap();
    let base = write_file(&dir, "base.json", &result(100, 20, 0.1).to_string());
    let other = write_file(&dir, "other.json", &result(100, 0, 0.05).to_string());

    let done = run(&["report", &base, &other, "--json"]);
    let table = run(&["report", &base, &other]);

    let report = done.json();
    let in_time = metric(&report, "total", "served in time");
    assert_eq!(in_time["values"], json!([80.0, 100.0]));
    assert_eq!(in_time["ratios"], json!([1.0, 1.25]));
    let shed = metric(&report, "total", "shed: queue_full");
    assert_eq!(shed["values"], json!([20.0, 0.0]));
    assert_eq!(
        metric(&report, "tier a<b", "first token p95")["ratios"][1],
        0.5
    );
    let line = table
        .stdout
        .lines()
        .find(|l| l.contains("first token p99"))
        .unwrap();
    assert!(line.ends_with("400.0 ms  200.0 ms (0.50)"), "{line}");
    assert_eq!((done.code, table.code), (Some(0), Some(0)));
}

/// A name that contains markup must be escaped in the SVG.
#[test]
fn charts_show_each_tier_and_result() {
    let dir = tempfile::tempdir().unwrap();
    let base = write_file(&dir, "base.json", &result(100, 20, 0.1).to_string());
    let svg = dir.path().join("out.svg");

    let done = run(&["report", &base, &base, "--svg", &svg.display().to_string()]);

    assert_eq!(done.code, Some(0), "{}", done.stderr);
    let text = std::fs::read_to_string(svg).unwrap();
    // Two bars for the goodput and two for each of three percentiles.
    assert_eq!(text.matches("<title>base a&lt;b").count(), 8);
    assert!(!text.contains("a<b"));
    assert_eq!(text.matches("<svg").count(), text.matches("</svg>").count());
}

/// A result with implausible values, for example edited by hand, must not cause a panic.
#[test]
fn out_of_range_numbers_do_not_panic() {
    let dir = tempfile::tempdir().unwrap();
    let base = write_file(&dir, "base.json", &result(100, 20, 0.1).to_string());
    let odd = write_file(&dir, "odd.json", &result(100, 20, -1e300).to_string());
    let svg = dir.path().join("out.svg").display().to_string();

    let done = run(&["report", &base, &odd, "--svg", &svg]);

    assert_eq!(done.code, Some(0), "{}", done.stderr);
}

#[test]
fn invalid_result_files_are_rejected() {
    let dir = tempfile::tempdir().unwrap();
    let mut newer = result(1, 0, 0.1);
    newer["format"] = json!(2);
    let mut odd = result(1, 0, 0.1);
    odd["total"]["sent"] = json!(-1);
    let odd = serde_json::to_string_pretty(&odd).unwrap();
    let before = odd.split("-1").next().unwrap();
    let line = before.lines().count();
    // The deserializer reports the position of the last digit.
    let column = before.lines().last().unwrap().len() + 2;
    let cases = [
        (
            "not json",
            "is not JSON: expected ident at line 1 column 2".to_owned(),
        ),
        ("{}", "is not a result of load: it has no format".into()),
        (&newer.to_string(), "has format 2, not 1".into()),
        (
            &odd,
            format!(
                "is not a result of load: invalid value: integer `-1`, expected u64 at line {line} column {column}"
            ),
        ),
    ];
    for (text, expected) in cases {
        let path = write_file(&dir, "result.json", text);

        let done = run(&["report", &path]);

        assert_eq!(
            (done.code, done.stderr),
            (Some(2), format!("error: {path}: {expected}\n"))
        );
    }
}
