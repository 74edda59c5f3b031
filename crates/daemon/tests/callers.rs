//! Invalid calls get a refusal with a reason, and never run.

mod support;

use std::collections::BTreeMap;

use serde_json::json;
use support::single_daemon::{
    KEY, LOW_KEY, OLD_KEY, SingleDaemon, check_refusal, exchange, parse_responses, read_to_end,
    request, send,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const MODEL: &str = "POST /v1/completions";
const PROMPT: &str = "a-prompt-that-no-log-may-show";
const BAD_ID: &str = "x-request-id is not <incarnation>-<1 to 64 letters, digits, '-' or '_'>";
const BAD_DEADLINE: &str =
    "x-primrosechute-deadline is not a duration of at most 10min, such as 410ms";
const BAD_TIER: &str = "the key may not use this tier, or the tier does not exist";
const BAD_KEY: &str = "the route needs a valid key";
const NO_ROUTE: &str = "no route has this path";
const NOT_JSON: &str = "the body is not a JSON object of a model call";
const NOT_A_NUMBER: &str = "max_tokens is not a whole number";
const TOO_MANY: &str = "max_tokens is larger than the route allows";
const TOO_LARGE: &str = "the body is larger than the route allows";

/// A call that must be refused.
struct BadCall {
    line: String,
    headers: Vec<String>,
    body: String,
    status: u16,
    reason: &'static str,
    detail: &'static str,
}

fn body() -> String {
    json!({ "prompt": PROMPT, "max_tokens": 5 }).to_string()
}

fn key(key: &str) -> String {
    format!("authorization: Bearer {key}")
}

/// A model call with a valid key and one more header.
fn with_header(header: &str, status: u16, reason: &'static str, detail: &'static str) -> BadCall {
    BadCall {
        line: MODEL.into(),
        headers: vec![key(KEY), header.into()],
        body: body(),
        status,
        reason,
        detail,
    }
}

/// A model call with only the given headers.
fn with_headers(
    headers: &[String],
    status: u16,
    reason: &'static str,
    detail: &'static str,
) -> BadCall {
    BadCall {
        headers: headers.to_vec(),
        ..with_header("", status, reason, detail)
    }
}

fn with_line(line: &str, reason: &'static str, status: u16, detail: &'static str) -> BadCall {
    BadCall {
        line: line.into(),
        headers: vec![key(KEY)],
        ..with_header("", status, reason, detail)
    }
}

fn with_body(body: &str, detail: &'static str) -> BadCall {
    BadCall {
        body: body.into(),
        headers: vec![key(KEY)],
        ..with_header("", 400, "malformed", detail)
    }
}

fn bad_ids() -> Vec<BadCall> {
    let long = "r".repeat(65);
    let ids = [
        "",
        "no-prefix",
        "0123456789abcde-r",
        "0123456789abcdef0-r",
        "0123456789ABCDEF-r",
        "0123456789abcdef",
        "0123456789abcdef-",
        &format!("0123456789abcdef-{long}"),
        "0123456789abcdef-a b",
        "0123456789abcdef-caf\u{e9}",
    ];
    let bad = |id: &&str| with_header(&format!("x-request-id: {id}"), 400, "malformed", BAD_ID);
    let mut calls: Vec<BadCall> = ids.iter().map(bad).collect();
    let twice = "x-request-id: 0123456789abcdef-a\r\nx-request-id: 0123456789abcdef-b";
    let detail = "x-request-id is sent more than once";
    calls.push(with_header(twice, 400, "malformed", detail));
    calls.push(BadCall {
        line: "GET /v1/outcomes/not-an-id".into(),
        ..with_headers(&[], 400, "malformed", "the request id is malformed")
    });
    calls.push(BadCall {
        line: "GET /v1/streams/%ff".into(),
        ..with_headers(&[], 400, "malformed", "the request id is malformed")
    });
    calls
}

fn bad_keys() -> Vec<BadCall> {
    let refused = |headers: &[String]| with_headers(headers, 401, "key", BAD_KEY);
    let detail = "authorization is sent more than once";
    vec![
        refused(&[]),
        refused(&[key("a-key-that-nobody-has")]),
        refused(&[key(OLD_KEY)]),
        refused(&[key("")]),
        refused(&[format!("authorization: Basic {KEY}")]),
        refused(&[format!("authorization: {KEY}")]),
        refused(&[format!("authorization: Bearer {KEY}, Bearer {KEY}")]),
        with_headers(&[key(KEY), key(KEY)], 400, "malformed", detail),
        with_headers(&[key(LOW_KEY), key(KEY)], 400, "malformed", detail),
    ]
}

fn bad_paths() -> Vec<BadCall> {
    let paths = [
        "/v1/completion",
        "/v1/completionsx",
        "//v1/completions",
        "/v1//completions",
        "/open/../app",
        "/open/%2e%2e/app",
        "/open/%2E./app",
        "/open/..;x/app",
        "/open%2f..%2fapp",
        "/open%5capp",
        "/open/%",
        "/open/%00",
        "*",
    ];
    let bad = |path: &&str| with_line(&format!("POST {path}"), "route", 404, NO_ROUTE);
    let mut calls: Vec<BadCall> = paths.iter().map(bad).collect();
    // A path of the daemon's own API must not be dispatched to a route.
    calls.push(with_line("POST /v1/entries", "route", 404, NO_ROUTE));
    calls
}

fn bad_tiers_and_deadlines() -> Vec<BadCall> {
    let tier = |headers: &[String]| with_headers(headers, 403, "tier", BAD_TIER);
    let mut calls = vec![
        tier(&[key(KEY), "x-primrosechute-tier: highest".into()]),
        tier(&[key(KEY), "x-primrosechute-tier: TOP".into()]),
        tier(&[key(KEY), "x-primrosechute-tier:".into()]),
        tier(&[key(LOW_KEY), "x-primrosechute-tier: mid".into()]),
        with_header(
            "x-primrosechute-tier: mid\r\nx-primrosechute-tier: low",
            400,
            "malformed",
            "x-primrosechute-tier is sent more than once",
        ),
        with_header(
            "x-primrosechute-deadline: 1s\r\nx-primrosechute-deadline: 2s",
            400,
            "malformed",
            "x-primrosechute-deadline is sent more than once",
        ),
    ];
    let deadlines = [
        "",
        "soon",
        "5",
        "-5s",
        "0s",
        "0ms",
        "601s",
        "10000days",
        "1s 1s 1s 1s 1s 1s",
        // humantime 2.4 panics on this text.
        "18446744073709551615s 1000000000ns",
        "99999999999999999999999s",
        "caf\u{e9}",
    ];
    calls.extend(deadlines.map(|text| {
        let header = format!("x-primrosechute-deadline: {text}");
        with_header(&header, 400, "malformed", BAD_DEADLINE)
    }));
    calls
}

fn bad_bodies() -> Vec<BadCall> {
    let tokens = |value: &str| format!(r#"{{"prompt":"{PROMPT}","max_tokens":{value}}}"#);
    let deep = "[".repeat(2000);
    let bodies = [
        ("", NOT_JSON),
        (PROMPT, NOT_JSON),
        ("{", NOT_JSON),
        ("\"text\"", NOT_JSON),
        ("null", NOT_JSON),
        ("[]", NOT_JSON),
        // serde also deserializes a struct from an array, field by field.
        ("[5, 5]", NOT_JSON),
        (&deep, NOT_JSON),
        (&format!(r#"{{"prompt":{deep}"#), NOT_JSON),
        (r#"{"max_tokens":5,"max_tokens":6}"#, NOT_JSON),
        (&tokens("\"5\""), NOT_A_NUMBER),
        (&tokens("true"), NOT_A_NUMBER),
        (&tokens("[5]"), NOT_A_NUMBER),
        (&tokens("5.5"), NOT_A_NUMBER),
        (&tokens("-1"), NOT_A_NUMBER),
        (&tokens("99999999999999999999999999"), NOT_A_NUMBER),
        (&tokens("101"), TOO_MANY),
        (&tokens("18446744073709551615"), TOO_MANY),
        (r#"{"max_completion_tokens":101}"#, TOO_MANY),
        // An engine may honour either field.
        (r#"{"max_completion_tokens":5,"max_tokens":101}"#, TOO_MANY),
    ];
    let mut calls: Vec<BadCall> = bodies
        .iter()
        .map(|(body, detail)| with_body(body, detail))
        .collect();
    let large = format!(r#"{{"prompt":"{}","max_tokens":5}}"#, "x".repeat(5000));
    calls.push(BadCall {
        status: 413,
        reason: "too_large",
        ..with_body(&large, TOO_LARGE)
    });
    calls
}

/// Guards against invalid calls that run, are refused with another reason, or are not counted, and
/// against keys, prompts and generated text in the log.
#[tokio::test]
async fn bad_calls_are_refused_with_a_reason() {
    let daemon = SingleDaemon::start(&json!({})).await;
    let groups = [
        bad_ids(),
        bad_keys(),
        bad_paths(),
        bad_tiers_and_deadlines(),
        bad_bodies(),
    ];
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for bad in groups.iter().flatten() {
        let headers: Vec<&str> = bad.headers.iter().map(String::as_str).collect();
        let description = format!("{} {headers:?} {:.60}", bad.line, bad.body);
        let response = send(&daemon, &request(&bad.line, &headers, &bad.body)).await;
        check_refusal(&description, &response, bad.status, bad.reason, bad.detail);
        *counts.entry(bad.reason).or_default() += 1;
    }
    assert_eq!(daemon.runs(), 0);
    for (reason, count) in counts {
        let label = format!("reason=\"{reason}\"");
        let name = "primrosechute_requests_total";
        assert_eq!(daemon.counter(name, &[&label]).await, count, "{reason}");
    }
    let served = send(&daemon, &request(MODEL, &[&key(KEY)], &body())).await;
    assert_eq!(served.status, 200, "{served:?}");
    let served = served.json();
    let generated = served["choices"][0]["text"].as_str().unwrap();
    let log = daemon.log();
    assert!(
        log.contains("refused: malformed"),
        "the log has no debug lines:\n{log}"
    );
    let keys = [KEY, LOW_KEY, OLD_KEY, "a-key-that-nobody-has"];
    for secret in keys.into_iter().chain([PROMPT, generated]) {
        assert!(!log.contains(secret), "the log contains {secret:?}");
    }
}

/// Guards against a response that says "not run" although another incarnation may have run the
/// request.
#[tokio::test]
async fn invalid_offset_is_not_answered_as_not_run() {
    let daemon = SingleDaemon::start(&json!({})).await;
    let line = "GET /v1/streams/0123456789abcdef-a?offset=-1";

    let response = send(&daemon, &request(line, &[&key(KEY)], &body())).await;

    assert_eq!(response.status, 400);
    assert_eq!(response.header("x-primrosechute-reason"), "malformed");
    let problem = response.json();
    assert_eq!(problem["detail"], "offset is not a whole number");
    assert_eq!(problem["not_run"], false);
}

/// Guards against dispatching a request that another incarnation may have run.
#[tokio::test]
async fn id_of_another_incarnation_is_unknown_and_not_dispatched() {
    let daemon = SingleDaemon::start(&json!({})).await;
    let id = "x-request-id: 0123456789abcdef-r";

    let bytes = request(MODEL, &[&key(KEY), id], &body());
    let response = send(&daemon, &bytes).await;

    assert_eq!(response.status, 409);
    assert_eq!(response.header("x-primrosechute-outcome"), "unknown");
    assert_eq!(response.header("x-primrosechute-reason"), "unknown");
    let problem = response.json();
    assert_eq!(problem["not_run"], false);
    let detail = "the request may have run; its record is not here";
    assert_eq!(problem["detail"], detail);
    assert_eq!(problem["request_id"], "0123456789abcdef-r");
    assert_eq!(daemon.runs(), 0);
    let labels = ["outcome=\"unknown\""];
    assert_eq!(
        daemon
            .counter("primrosechute_requests_total", &labels)
            .await,
        1
    );
}

/// Guards against a reset that hides the refusal of an oversized body, and against a connection
/// that can't be reused after it.
#[tokio::test]
async fn oversized_bodies_leave_the_connection_usable() {
    let daemon = SingleDaemon::start(&json!({})).await;
    let mut stream = TcpStream::connect(daemon.entry).await.unwrap();
    let head = format!("{MODEL} HTTP/1.1\r\nhost: daemon\r\n{}\r\n", key(KEY));
    let large = "x".repeat(200_000);
    let sized = format!("{head}content-length: {}\r\n\r\n{large}", large.len());
    let chunk = format!("{:x}\r\n{large}\r\n", large.len());
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n{chunk}{chunk}0\r\n\r\n");
    let last = request("GET /open", &[], "");

    for bytes in [sized.as_bytes(), chunked.as_bytes(), &last] {
        stream.write_all(bytes).await.unwrap();
    }
    let text = read_to_end(&mut stream).await;

    let responses = parse_responses(&text);
    assert_eq!(responses.len(), 3, "{text}");
    check_refusal("sized", &responses[0], 413, "too_large", TOO_LARGE);
    check_refusal("chunked", &responses[1], 413, "too_large", TOO_LARGE);
    assert_eq!(responses[2].status, 200);
    assert_eq!(daemon.runs(), 1);
}

/// Guards against runs of partial bodies, and against connections that stay open because the body
/// never completes.
#[tokio::test]
async fn partial_bodies_are_refused() {
    let limits = json!({ "idle_timeout": "300ms", "header_timeout": "300ms" });
    let daemon = SingleDaemon::start(&json!({ "limits": limits })).await;
    let head = format!("{MODEL} HTTP/1.1\r\nhost: daemon\r\n{}\r\n", key(KEY));
    let partial = format!("{head}content-length: 100\r\n\r\n{{\"prompt\"");

    let mut early = TcpStream::connect(daemon.entry).await.unwrap();
    early.write_all(partial.as_bytes()).await.unwrap();
    early.shutdown().await.unwrap();
    let text = read_to_end(&mut early).await;
    let mut ended = parse_responses(&text);
    let text = exchange(daemon.entry, partial.as_bytes()).await;
    let mut late = parse_responses(&text);

    let detail = "the body ended early";
    check_refusal("early", &ended.remove(0), 400, "malformed", detail);
    let detail = "the body did not arrive in time";
    check_refusal("late", &late.remove(0), 400, "malformed", detail);
    assert_eq!(daemon.runs(), 0);
}

/// Guards against a caller that waits for `100 Continue` although its request is already refused.
#[tokio::test]
async fn expected_bodies_are_refused_before_they_are_sent() {
    let daemon = SingleDaemon::start(&json!({})).await;
    let expect = ["content-length: 5000", "expect: 100-continue"];
    let large = [&key(KEY), expect[0], expect[1]];
    let unknown = [&key(OLD_KEY), expect[0], expect[1]];

    let response = send(&daemon, &request(MODEL, &large, "")).await;
    check_refusal("large", &response, 413, "too_large", TOO_LARGE);
    let response = send(&daemon, &request(MODEL, &unknown, "")).await;
    check_refusal("unknown", &response, 401, "key", BAD_KEY);
    assert_eq!(daemon.runs(), 0);
}
