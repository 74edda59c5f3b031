//! `explain` on a log with complete and truncated lines.

mod common;

use common::{run, write_file};
use serde_json::Value;

const LOG: &str = concat!(
    r#"   0.10 vm-1 {"timestamp":"2026-04-06T21:05:01.0+00:00","level":"INFO","target":"t","message":"member: 10.0.0.2 is a member"}"#,
    "\n",
    r#"   0.20 vm-2 {"timestamp":"2026-04-06T21:05:02.0+00:00","level":"INFO","target":"t","message":"target: the entry of i-9 is gone"}"#,
    "\n",
    r#"   0.30 vm-1 {"timestamp":"2026-04-06T21:05:03.0+00:00","level":"INFO","target":"t","message":"entry: another attempt","kvs":{"id":"call-1","target":"i-9","seen":"broken","sends":1}}"#,
    "\n",
    r#"   0.40 vm-1 {"timestamp":"2026-04-06T21:05:04.0+00:00","level":"WARN","target":"t","message":"entry: refused or failed","kvs":{"id":"call-1","target":"i-9","reason":"outcome unknown","status":502,"sends":1,"took_ms":90}}"#,
    "\n",
    r#"   0.50 vm-1 {"timestamp":"2026-04-06T21:05:05.0+00:00","level":"WARN","target":"t","message":"entry: refused or failed","kvs":{"id":"call-2","target":"","reason":"rate","status":429,"workspace":"salon","live":3}}"#,
    "\n",
    r#"   0.55 vm-1 {"timestamp":"2026-04-06T21:05:05.2+00:00","level":"WARN","target":"t","message":"entry: refused or failed","kvs":{"id":"call-3","target":"","reason":"target_limit","status":503,"took_ms":151}}"#,
    "\n",
    r#"   0.56 vm-1 {"timestamp":"2026-04-06T21:05:05.3+00:00","level":"INFO","target":"t","message":"entry: served","kvs":{"id":"call-4","target":"i-8","waited_ms":90,"first_ms":120,"took_ms":130,"sends":1,"met_limit":true}}"#,
    "\n",
    r#"   0.60 vm-1 {"timestamp":"2026-04-06T21:05:06.0+00:00","level":"WA"#,
    "\n",
);

/// The explanation must include the state changes that the decision was based on, and a truncated
/// line must be counted instead of ending the command.
#[test]
fn an_explanation_has_a_cause_and_the_state_events_before_it() {
    let dir = tempfile::tempdir().unwrap();
    let log = write_file(&dir, "all.log", LOG);

    let done = run(&["explain", "call-1", &log, "--json"]);

    assert_eq!(done.code, Some(0), "{}", done.stderr);
    let story: Value = done.json();
    assert!(
        story["cause"]
            .as_str()
            .unwrap()
            .contains("it may have run: i-9")
    );
    assert_eq!(story["lines"].as_array().unwrap().len(), 2);
    assert_eq!(story["context"].as_array().unwrap().len(), 2);
    assert_eq!(story["torn_lines"], 1);
}

#[test]
fn a_refusal_names_the_workspace_and_the_live_members() {
    let dir = tempfile::tempdir().unwrap();
    let log = write_file(&dir, "all.log", LOG);

    let done = run(&["explain", "call-2", &log]);

    assert_eq!(done.code, Some(0), "{}", done.stderr);
    assert!(
        done.stdout
            .contains("workspace salon was over its rate; 3 members were live")
    );
}

/// Guards against a refusal or a wait for the limit of a target that looks like overload.
#[test]
fn a_refusal_and_a_wait_for_a_named_limit_are_told() {
    let dir = tempfile::tempdir().unwrap();
    let log = write_file(&dir, "all.log", LOG);
    let rows = [
        (
            "call-3",
            "not run: the targets with free capacity had reached the limits",
        ),
        (
            "call-4",
            "90 ms of it waiting for a permit (targets with free capacity had reached",
        ),
    ];
    for (id, expected) in rows {
        let done = run(&["explain", id, &log]);

        assert_eq!(done.code, Some(0), "{}", done.stderr);
        assert!(done.stdout.contains(expected), "{id}: {}", done.stdout);
    }
}

#[test]
fn a_request_without_log_lines_is_a_partial_result() {
    let dir = tempfile::tempdir().unwrap();
    let log = write_file(&dir, "all.log", LOG);

    let done = run(&["explain", "call-9", &log]);

    assert_eq!(done.code, Some(3), "{}", done.stderr);
    assert!(done.stdout.contains("no line about this request"));
}
