//! `entries` and `status` against a stub server.

mod common;

use common::run;
use common::server::{StubServer, entries_response, response, unused_address};

fn status(revision: u64, generation: u64) -> StubServer {
    StubServer::start(move |addr, request, _| {
        assert_eq!(request.line, "GET /status");
        let port = addr.port();
        let body = format!(
            r#"{{"vm":"vm-{port}","zone":"a","phase":"ready","lease":"held","running":2,
                "sheet":{{"revision":{revision},"hash":"0{revision}"}},
                "list_generation":{generation},"owned":[{{"target":"t"}}]}}"#
        );
        response("200 OK", "", &body)
    })
}

#[test]
fn entries_come_from_the_first_address_that_answers() {
    let dead = unused_address().to_string();
    let server = StubServer::start(|addr, _, _| entries_response(addr, "00000000000000aa"));

    let done = run(&["entries", &dead, &server.addr.to_string(), "--json"]);

    assert_eq!(done.code, Some(0));
    let result = done.json();
    assert_eq!(result["from"], server.addr.to_string());
    assert_eq!(result["entries"][0]["incarnation"], "00000000000000aa");
    let refused = format!("warning: {dead}: Connection refused (os error 111)\n");
    assert_eq!(done.stderr, refused);
}

#[test]
fn entries_fail_when_no_address_answers() {
    let (dead, odd) = (
        unused_address(),
        StubServer::start(|_, _, _| response("404 Not Found", "", "")),
    );

    let done = run(&["entries", &dead.to_string(), &odd.addr.to_string()]);

    assert_eq!(done.code, Some(1));
    let expected = format!(
        "error: no address answered with its entries: {dead}: Connection refused (os error 111); \
         {}: GET /v1/entries was answered with 404 Not Found\n",
        odd.addr
    );
    assert_eq!(done.stderr, expected);
}

#[test]
fn status_warns_of_differing_revisions_and_generations() {
    let (one, other) = (status(4, 9), status(5, 8));

    let done = run(&["status", &one.addr.to_string(), &other.addr.to_string()]);

    assert_eq!(done.code, Some(0));
    let expected =
        "warning: sheet revisions differ: 4, 5\nwarning: list generations differ: 8, 9\n";
    assert_eq!(done.stderr, expected);
    let lines: Vec<&str> = done.stdout.lines().collect();
    let row: Vec<&str> = lines[1].split_whitespace().collect();
    let name = format!("vm-{}", one.addr.port());
    assert_eq!(row[1..], [&name, "a", "ready", "held", "4", "9", "1", "2"]);
    assert_eq!(lines.len(), 3, "{}", done.stdout);
    assert!(!done.stdout.contains('\x1b'), "colour without a terminal");
}

#[test]
fn status_of_some_daemons_is_a_partial_result() {
    let (one, dead) = (status(4, 9), unused_address().to_string());

    let some = run(&["status", &one.addr.to_string(), &dead, "--json"]);
    let none = run(&["status", &dead]);

    assert_eq!((some.code, none.code), (Some(3), Some(1)));
    let daemons = some.json()["daemons"].clone();
    assert_eq!(daemons[0]["status"]["phase"], "ready");
    assert_eq!(daemons[1]["ok"], false);
}

/// A paused daemon must not delay the rest of the table beyond the timeout.
#[test]
fn status_times_out_on_an_unresponsive_daemon() {
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = silent.local_addr().unwrap();

    let done = run(&["status", "--timeout", "100ms", &addr.to_string()]);

    assert_eq!(
        done.stderr,
        format!("error: {addr}: no answer within 100ms\n")
    );
}
