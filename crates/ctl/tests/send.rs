//! `send` against a stub server that acts as an entry.

mod common;

use common::server::{
    ReceivedRequest, StubServer, entries_response, response, truncated_response, unused_address,
};
use common::{CommandResult, command, command_result, run, write_file};

const INCARNATION: &str = "00000000000000aa";
const STREAM: &str = "content-type: text/event-stream\r\nx-primrosechute-outcome: streaming\r\n";

/// Starts a stub entry. `respond` gets each request except those for the list of entries, and the
/// number of earlier ones.
fn site(respond: impl Fn(&ReceivedRequest, usize) -> String + Send + Sync + 'static) -> StubServer {
    StubServer::start(move |addr, request, before| match request.line.as_str() {
        "GET /v1/entries" => entries_response(addr, INCARNATION),
        _ => respond(request, before - 1),
    })
}

fn send(server: &StubServer, more: &[&str]) -> CommandResult {
    let entry = server.addr.to_string();
    let args = ["send", "--entry", &entry, "--json"];
    run(&[&args, more].concat())
}

fn served(request: &ReceivedRequest, body: &str) -> String {
    let id = request.header("x-request-id").unwrap();
    let headers = format!("x-request-id: {id}\r\nx-primrosechute-outcome: served\r\n");
    response("200 OK", &headers, body)
}

fn event(at: usize, text: &str) -> String {
    format!("id: {at}\ndata: {{\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n")
}

#[test]
fn a_request_carries_its_id_key_tier_and_deadline() {
    let server =
        site(|request, _| served(request, r#"{"choices":[{"message":{"content":"hello"}}]}"#));
    let dir = tempfile::tempdir().unwrap();
    let key = write_file(&dir, "key", "demo-key\n");

    let done = command_result(
        command(&[
            "send",
            "--entry",
            &server.addr.to_string(),
            "--key-file",
            &key,
        ])
        .args(["--prompt", "hi", "--tier", "quick", "--deadline", "410ms"])
        .args(["--max-tokens", "8"])
        .output()
        .unwrap(),
    );

    let sent = server.received().pop().unwrap();
    let id = sent.header("x-request-id").unwrap();
    assert_eq!(sent.line, "POST /v1/chat/completions");
    assert_eq!(sent.header("authorization"), Some("Bearer demo-key"));
    assert_eq!(sent.header("x-primrosechute-tier"), Some("quick"));
    assert_eq!(sent.header("x-primrosechute-deadline"), Some("410ms"));
    let body = r#"{"max_tokens":8,"messages":[{"content":"hi","role":"user"}]}"#;
    assert_eq!(sent.body, body);
    assert!(id.starts_with(INCARNATION) && id.len() == 49, "{id}");
    assert_eq!((done.code, done.stdout.as_str()), (Some(0), "hello\n"));
    assert_eq!(done.stderr, format!("request {id}\noutcome served\n"));
}

/// A broken stream must be resumed at its next event instead of sending the request again.
#[test]
fn a_broken_stream_is_resumed_at_its_next_event() {
    let server = site(|request, before| {
        if before == 0 {
            // The third event is truncated and must be received again in full.
            let parts = [
                &event(0, "a"),
                ": keepalive\n\n",
                &event(1, "b"),
                "id: 2\nda",
            ];
            return truncated_response(STREAM, &parts.concat());
        }
        assert!(request.line.ends_with("?offset=2"), "{}", request.line);
        let rest = event(2, "c") + "id: 3\ndata: [DONE]\n\n";
        response("200 OK", STREAM, &rest)
    });

    let done = send(&server, &["--prompt", "x", "--stream"]);

    let (result, requests) = (done.json(), server.received());
    assert_eq!(done.code, Some(0), "{result}");
    assert_eq!(result["answer"], "abc");
    assert_eq!(
        (&result["events"], &result["resumes"]),
        (&4.into(), &1.into())
    );
    let id = requests[1].header("x-request-id").unwrap();
    assert_eq!(requests[2].line, format!("GET /v1/streams/{id}?offset=2"));
    assert_eq!(requests.len(), 3);
}

/// A stream that ends with an error event is not a complete response.
#[test]
fn an_error_event_ends_a_stream_as_failed() {
    let server = site(|_, _| {
        let problem = r#"{"outcome":"failed","reason":"incomplete"}"#;
        let body = format!("{}event: error\ndata: {problem}\n\n", event(0, "a"));
        response("200 OK", STREAM, &body)
    });

    let done = send(&server, &["--prompt", "x", "--stream"]);

    assert_eq!(done.code, Some(1));
    let result = done.json();
    assert_eq!(
        (&result["outcome"], &result["whole"]),
        (&"failed".into(), &false.into())
    );
    assert_eq!(result["reason"], "incomplete");
}

/// After a lost response the request is sent again with the same id and body to the same entry, so
/// that it attaches to the run that already exists.
#[test]
fn a_request_without_a_response_is_resent_with_the_same_id() {
    let server = site(|request, before| match before {
        0 => String::new(),
        1 => truncated_response("", "{"),
        _ => served(request, r#"{"n":1}"#),
    });

    let done = send(&server, &["--path", "/orders", "--body", r#"{"item":7}"#]);

    let (result, requests) = (done.json(), server.received());
    assert_eq!(done.code, Some(0), "{result}");
    assert_eq!(
        (&result["resends"], &result["answer"]["n"]),
        (&2.into(), &1.into())
    );
    let ids: Vec<_> = requests[1..]
        .iter()
        .map(|s| s.header("x-request-id"))
        .collect();
    assert!(ids.iter().all(|id| *id == ids[0]), "{ids:?}");
    assert!(requests[1..].iter().all(|s| s.body == r#"{"item":7}"#));
}

/// A request that may have run must not be sent again.
#[test]
fn an_unknown_outcome_is_not_resent() {
    let server = site(|_, _| {
        let headers = "x-primrosechute-outcome: unknown\r\nx-primrosechute-reason: unknown\r\n";
        response("409 Conflict", headers, r#"{"outcome":"unknown"}"#)
    });

    let done = send(&server, &["--prompt", "x"]);

    assert_eq!(done.code, Some(1));
    assert_eq!(done.json()["outcome"], "unknown");
    assert_eq!(server.received().len(), 2);
}

/// The id must be printed after a timeout, because the outcome can't be looked up without it.
#[test]
fn a_timed_out_request_reports_its_id_and_an_unknown_outcome() {
    let server = site(|_, _| {
        std::thread::park();
        String::new()
    });

    let done = send(&server, &["--prompt", "x", "--timeout", "1s"]);

    let result = done.json();
    let sent = server.received().pop().unwrap();
    assert_eq!(done.code, Some(1));
    assert_eq!(result["request_id"], sent.header("x-request-id").unwrap());
    assert_eq!(result["outcome"], "unknown");
    assert_eq!(result["reason"], "no answer within 1s");
}

#[test]
fn an_id_of_another_incarnation_is_looked_up_but_not_sent() {
    let server = site(|_, _| response("200 OK", "", r#"{"outcome":"served","reason":""}"#));
    let id = "00000000000000bb-1";

    let done = send(&server, &["--prompt", "x", "--id", id]);

    assert_eq!(server.received()[1].line, format!("GET /v1/outcomes/{id}"));
    assert_eq!(done.json()["outcome"], "served");
    // A lookup returns the outcome without the response, so the request does not count as served.
    assert_eq!(done.code, Some(1));
}

#[test]
fn a_refusal_is_printed_with_its_reason() {
    let server = site(|_, _| {
        let headers = "x-primrosechute-outcome: refused\r\nx-primrosechute-reason: rate\r\n";
        response("429 Too Many Requests", headers, "{}")
    });

    let done = run(&["send", "--entry", &server.addr.to_string(), "--prompt", "x"]);

    assert_eq!((done.code, done.stdout.as_str()), (Some(1), ""));
    assert!(
        done.stderr.ends_with("\noutcome refused (rate)\n"),
        "{}",
        done.stderr
    );
}

/// If no connection can be opened, nothing was sent and another entry may receive the request.
#[test]
fn an_unreachable_entry_is_skipped() {
    let dead = unused_address();
    let server = StubServer::start(move |addr, request, _| match request.line.as_str() {
        "GET /v1/entries" => {
            let entry = |vm, addr, incarnation| {
                format!(
                    r#"{{"vm":"{vm}","zone":"a","address":"{addr}","incarnation":"{incarnation}"}}"#
                )
            };
            let (a, b) = (
                entry("a", dead, "00000000000000bb"),
                entry("b", addr, INCARNATION),
            );
            response(
                "200 OK",
                "",
                &format!(r#"{{"ttl_seconds":5,"entries":[{a},{b}]}}"#),
            )
        }
        _ => served(request, "ok"),
    });

    let done = send(&server, &["--path", "/catalogue"]);

    let sent = server.received().pop().unwrap();
    assert_eq!(done.code, Some(0), "{}", done.stderr);
    assert_eq!(sent.line, "GET /catalogue");
    assert!(
        sent.header("x-request-id")
            .unwrap()
            .starts_with(INCARNATION)
    );
}

/// Error messages about a key must not contain the key.
#[test]
fn errors_about_rejected_input_do_not_contain_the_key() {
    let dir = tempfile::tempdir().unwrap();
    let key = write_file(&dir, "key", "secret one");
    let base = ["send", "--entry", "127.0.0.1:1"];
    let help = "\n\nFor more information, try '--help'.";
    let cases: [(&[&str], String); 5] = [
        (
            &["--prompt", "x", "--key-file", &key],
            format!(
                "{key}: the key has other characters than visible ASCII; write one key on one line"
            ),
        ),
        (
            &["--path", "orders"],
            "--path: \"orders\" is not a path; start it with \"/\"".into(),
        ),
        (
            &["--body", "text", "--stream"],
            "--body: --stream and --max-tokens need a JSON object: expected ident at line 1 column 2"
                .into(),
        ),
        (
            &["--prompt", "x", "--deadline", "410"],
            format!(
                "invalid value '410' for '--deadline <DURATION>': not a duration; write a number \
                 and a unit, for example 410ms or 5s{help}"
            ),
        ),
        (
            &["--prompt", "x", "--deadline", "0s"],
            format!(
                "invalid value '0s' for '--deadline <DURATION>': zero; write a longer deadline{help}"
            ),
        ),
    ];
    for (more, expected) in cases {
        let done = run(&[&base[..], more].concat());

        assert_eq!(
            (done.code, done.stderr),
            (Some(2), format!("error: {expected}\n"))
        );
    }
}
