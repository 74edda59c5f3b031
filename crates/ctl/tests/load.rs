//! `load` against a stub server that acts as an entry.

mod common;

use common::server::{ReceivedRequest, StubServer, entries_response, response};
use common::{CommandResult, run, write_file};

const INCARNATION: &str = "00000000000000aa";

fn site(respond: impl Fn(&ReceivedRequest, &str) -> String + Send + Sync + 'static) -> StubServer {
    StubServer::start(move |addr, request, _| match request.line.as_str() {
        "GET /v1/entries" => entries_response(addr, INCARNATION),
        _ => respond(request, request.header("x-request-id").unwrap()),
    })
}

/// Response of an entry that serves two tokens to each streaming request.
fn serving(request: &ReceivedRequest, id: &str) -> String {
    if !request.body.contains("\"stream\":true") {
        return served(id, &format!(r#"{{"id":"{id}"}}"#));
    }
    let event = |n: u32| format!("id: {n}\ndata: {{\"id\":\"{id}\",\"n\":{n}}}\n\n");
    let body = event(0) + &event(1) + "id: 2\ndata: [DONE]\n\n";
    let headers = format!("x-request-id: {id}\r\ncontent-type: text/event-stream\r\n");
    response("200 OK", &headers, &body)
}

fn served(id: &str, body: &str) -> String {
    let headers = format!("x-request-id: {id}\r\nx-primrosechute-outcome: served\r\n");
    response("200 OK", &headers, body)
}

fn load(server: &StubServer, rest: &str, more: &[&str]) -> CommandResult {
    let dir = tempfile::tempdir().unwrap();
    let text = format!(
        r#"{{"duration": "400ms", "warm_up": "100ms", "seed": 3, "entries": ["{}"], {rest}}}"#,
        server.addr
    );
    let mix = write_file(&dir, "mix.jsonc", &text);
    run(&[&["load", "--mix", &mix, "--json"], more].concat())
}

fn bodies(server: &StubServer) -> Vec<String> {
    let requests = server.received().into_iter();
    let mut bodies: Vec<_> = requests
        .map(|s| s.body)
        .filter(|body| !body.is_empty())
        .collect();
    bodies.sort();
    bodies
}

const MODEL: &str = r#""workloads": [{"name": "quick", "rate": 60, "stream": true,
    "path": "/v1/chat/completions", "workspace": "w", "key": "demo-key", "tier": "quick",
    "deadline": "30s", "prompt_tokens": {"uniform": {"min": 5, "max": 50}},
    "output_tokens": {"constant": 2}, "prefix": {"groups": 2, "tokens": 40}}], "answer_ids": true"#;

#[test]
fn served_requests_are_counted_by_workload_tier_and_workspace() {
    let server = site(serving);

    let done = load(&server, MODEL, &["--commit", "abc"]);

    let result = done.json();
    assert_eq!((done.code, done.stderr.as_str()), (Some(0), ""));
    assert_eq!(
        (&result["commit"], &result["seed"]),
        (&"abc".into(), &3.into())
    );
    let sent = result["total"]["sent"].as_u64().unwrap();
    assert!(sent > 0);
    for row in ["workloads/quick", "tiers/quick", "workspaces/w"] {
        let row = result.pointer(&format!("/{row}")).unwrap();
        assert_eq!(row["served_in_time"], sent);
        assert_eq!(row["tokens_in_time"], sent * 2);
        assert_eq!(row["first_token_seconds"]["count"], sent);
        assert_eq!(row["token_gap_seconds"]["count"], sent);
    }
    let goodput = result["total"]["goodput_tokens_per_second"]
        .as_f64()
        .unwrap();
    // Two tokens for each request of the measured 0.4 s. The warm-up is excluded.
    let expected = f64::from(u32::try_from(sent * 2).unwrap()) / 0.4;
    assert!((goodput - expected).abs() < 1e-6, "{goodput} {expected}");
    assert!(
        bodies(&server).len() as u64 > sent,
        "the warm-up was counted as measured, or sent no requests"
    );
}

#[test]
fn every_outcome_is_counted_by_reason() {
    let server = site(|request, id| {
        let refusal = |status, outcome, reason| {
            let headers = format!(
                "x-request-id: {id}\r\nx-primrosechute-outcome: {outcome}\r\n\
                 x-primrosechute-reason: {reason}\r\n"
            );
            response(status, &headers, "{}")
        };
        match request.line.as_str() {
            "GET /shed" => refusal("503 Service Unavailable", "shed", "queue_full"),
            "GET /refused" => refusal("429 Too Many Requests", "refused", "rate"),
            "GET /unknown" => refusal("409 Conflict", "unknown", "unknown"),
            "GET /crossed" => served(&format!("{INCARNATION}-other"), "{}"),
            "GET /foreign" => served(id, r#"{"id":"other"}"#),
            _ => serving(request, id),
        }
    });
    let names = ["shed", "refused", "unknown", "crossed", "foreign", "served"];
    let rows: Vec<String> = names
        .iter()
        .map(|name| format!(r#"{{"name": "{name}", "path": "/{name}", "rate": 40}}"#))
        .collect();
    let rest = format!(r#""answer_ids": true, "workloads": [{}]"#, rows.join(","));

    let done = load(&server, &rest, &[]);

    let result = done.json();
    let expected = [
        ("shed", "/shed/queue_full"),
        ("refused", "/refused/rate"),
        ("unknown", "/unknown/unknown"),
        ("crossed", "/failed/wrong_id"),
        ("foreign", "/failed/wrong_answer"),
        ("served", "/served_in_time"),
    ];
    for (name, path) in expected {
        let row = &result["workloads"][name];
        assert!(row["sent"].as_u64().unwrap() > 0, "{name}");
        assert_eq!(row.pointer(path), Some(&row["sent"]), "{name}: {row}");
    }
    // Workloads without a workspace add none to the result, so none is the worst.
    assert_eq!(result["workspaces"], serde_json::json!({}));
    assert!(result["worst_workspace"].is_null());
}

#[test]
fn the_same_seed_generates_the_same_requests() {
    let servers = [site(serving), site(serving), site(serving)];

    load(&servers[0], MODEL, &[]);
    load(&servers[1], MODEL, &[]);
    load(&servers[2], MODEL, &["--seed", "4"]);

    let [first, again, other] = servers.each_ref().map(bodies);
    assert_eq!(first, again);
    assert_ne!(first, other);
    // Prompts of a group share their first 40 tokens of 4 bytes, after the start of the body.
    let end = r#"{"messages":[{"role":"user","content":""#.len() + 40 * 4;
    let starts: std::collections::BTreeSet<_> = first.iter().map(|body| &body[..end]).collect();
    assert_eq!(starts.len(), 2);
}

/// A slow site must not delay later requests. Otherwise the latencies would omit the time that
/// those requests waited (coordinated omission).
#[test]
fn slow_responses_do_not_delay_later_requests() {
    const HOLD: std::time::Duration = std::time::Duration::from_millis(300);
    let (quick, slow) = (
        site(serving),
        site(|request, id| {
            std::thread::sleep(HOLD);
            serving(request, id)
        }),
    );

    let results = [&quick, &slow].map(|server| load(server, MODEL, &[]).json());

    assert_eq!(results[0]["total"]["sent"], results[1]["total"]["sent"]);
    let p50 = &results[1]["total"]["first_token_seconds"]["p50"];
    assert!(p50.as_f64().unwrap() >= HOLD.as_secs_f64() * 0.99, "{p50}");
}

#[test]
fn events_change_rates_and_send_requests() {
    let server = site(serving);
    let address = server.addr;
    let event = |at: &str, action: &str| format!(r#"{{"at": "{at}", "action": {action}}}"#);
    let off = event("0s", r#"{"rate": {"workload": "quick", "factor": 0}}"#);
    let on = event("250ms", r#"{"rate": {"workload": "quick", "factor": 2}}"#);
    let order = format!(
        r#"{{"http": {{"address": "{address}", "method": "GET", "path": "/v1/entries"}}}}"#
    );
    let rest = format!(
        r#"{MODEL}, "events": [{off}, {on}, {}]"#,
        event("10ms", &order)
    );

    let done = load(&server, &rest, &[]);

    let result = done.json();
    assert_eq!(result["events"][0]["status"], 200, "{result}");
    // The rate is 0 until 250 ms, so no request of the workload was sent before the HTTP event.
    let lines: Vec<String> = server
        .received()
        .into_iter()
        .map(|request| request.line)
        .collect();
    assert_eq!(lines[..2], ["GET /v1/entries", "GET /v1/entries"]);
    assert!(result["total"]["sent"].as_u64().unwrap() > 0);
}

/// The request log must list every request with its outcome. Measurements use it to determine which
/// engine runs were delivered in time.
#[test]
fn the_request_log_has_a_line_for_each_request() {
    let server = site(serving);
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("requests.jsonl");

    let done = load(&server, MODEL, &["--requests", path.to_str().unwrap()]);

    assert_eq!(done.code, Some(0));
    let lines: Vec<serde_json::Value> = std::fs::read_to_string(path)
        .unwrap()
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let sent: Vec<String> = server
        .received()
        .iter()
        .filter(|request| !request.body.is_empty())
        .map(|request| request.header("x-request-id").unwrap().to_owned())
        .collect();
    assert!(!sent.is_empty());
    assert_eq!(lines.len(), sent.len());
    for line in &lines {
        assert!(sent.iter().any(|id| line["id"] == id.as_str()));
        assert_eq!(
            (&line["outcome"], &line["in_time"]),
            (&"served".into(), &true.into())
        );
    }
}
