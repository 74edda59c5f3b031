//! Connections of callers with invalid or slow heads, pipelined requests, or HTTP/2.

mod support;

use serde_json::json;
use support::WAIT_TIMEOUT;
use support::single_daemon::{
    KEY, OLD_KEY, SingleDaemon, exchange, parse_responses, request, send,
};
use tokio::net::TcpStream;

const PROMPT: &str = "a-prompt-that-no-log-may-show";

fn body() -> String {
    json!({ "prompt": PROMPT, "max_tokens": 5 }).to_string()
}

/// Guards against a request head without a bound on its size or its number of headers.
#[tokio::test]
async fn oversized_heads_get_431() {
    let daemon = SingleDaemon::start(&json!({ "limits": { "max_header": "8KiB" } })).await;
    let long = format!("x-long: {}", "x".repeat(9000));
    let many: Vec<String> = (0..101).map(|n| format!("x-{n}: y")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    for headers in [&[long.as_str()][..], &many] {
        let response = send(&daemon, &request("GET /open", headers, "")).await;
        assert_eq!(response.status, 431, "{response:?}");
    }
    let name = "primrosechute_connections_failed_total";
    daemon
        .wait_counter(name, &["reason=\"header_too_large\""], 2)
        .await;
    assert_eq!(daemon.runs(), 0);
    daemon.assert_serves().await;
}

/// Guards against connections that stay open although no request head completes.
#[tokio::test]
async fn slow_heads_are_closed() {
    let daemon = SingleDaemon::start(&json!({ "limits": { "header_timeout": "200ms" } })).await;
    let heads = [
        "",
        "PRI * HT",
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        "GET /open HTTP/1.1\r\nhost: dae",
    ];
    for bytes in heads {
        exchange(daemon.entry, bytes.as_bytes()).await;
    }
    let name = "primrosechute_connections_failed_total";
    let label = "reason=\"header_timeout\"";
    daemon.wait_counter(name, &[label], 4).await;
    assert_eq!(daemon.runs(), 0);
    daemon.assert_serves().await;
}

/// Guards against connections that stay open although their bytes are neither HTTP/1.1 nor HTTP/2.
#[tokio::test]
async fn invalid_prefaces_close_the_connection() {
    let daemon = SingleDaemon::start(&json!({})).await;
    for bytes in [
        "PRI * HTTP/2.0\r\n\r\nXX\r\n\r\n",
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\nno frames at all, but text",
        "\u{16}\u{3}\u{1}\u{2}\u{0}\u{1}\r\n\r\n",
        "GET /open HTTP/9.9\r\n\r\n",
    ] {
        exchange(daemon.entry, bytes.as_bytes()).await;
    }
    daemon
        .wait_counter("primrosechute_connections_failed_total", &[], 4)
        .await;
    assert_eq!(daemon.runs(), 0);
    daemon.assert_serves().await;
}

/// Guards against responses that are lost or out of order when requests are pipelined.
#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let daemon = SingleDaemon::start(&json!({})).await;
    let paths = ["/open/1", "/open/2", "/none", "/open/3"];
    let ahead = paths.map(|path| format!("GET {path} HTTP/1.1\r\nhost: daemon\r\n\r\n"));
    let mut bytes = ahead.concat();
    bytes += &String::from_utf8(request("GET /open/4", &[], "")).unwrap();

    let text = exchange(daemon.entry, bytes.as_bytes()).await;

    let status: Vec<u16> = parse_responses(&text)
        .iter()
        .map(|response| response.status)
        .collect();
    assert_eq!(status, [200, 200, 404, 200, 200]);
    assert_eq!(
        daemon.service_paths(),
        ["/open/1", "/open/2", "/open/3", "/open/4"]
    );
}

/// Guards against a daemon that serves HTTP/1.1 only.
#[tokio::test]
async fn http2_with_prior_knowledge_works() {
    // At this level the HTTP/2 library logs the frames that it reads.
    let daemon = SingleDaemon::start(&json!({ "log": { "level": "trace" } })).await;
    let stream = TcpStream::connect(daemon.entry).await.unwrap();
    let io = hyper_util::rt::TokioIo::new(stream);
    let executor = hyper_util::rt::TokioExecutor::new();
    let (mut tx, connection) = hyper::client::conn::http2::handshake(executor, io)
        .await
        .unwrap();
    tokio::spawn(connection);
    for (key, status, reason) in [(KEY, 200, ""), (OLD_KEY, 401, "key")] {
        let req = http::Request::post(format!("http://{}/v1/completions", daemon.entry))
            .header("authorization", format!("Bearer {key}"))
            .body(http_body_util::Full::new(bytes::Bytes::from(body())))
            .unwrap();
        let response = tokio::time::timeout(WAIT_TIMEOUT, tx.send_request(req))
            .await
            .unwrap()
            .unwrap();
        assert_eq!(response.status(), status);
        let found = response.headers().get("x-primrosechute-reason");
        assert_eq!(found.map_or("", |value| value.to_str().unwrap()), reason);
    }
    assert_eq!(daemon.runs(), 1);
    let log = daemon.log();
    for secret in [KEY, OLD_KEY, PROMPT] {
        assert!(!log.contains(secret), "the log contains {secret:?}");
    }
}
