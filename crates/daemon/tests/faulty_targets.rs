//! Targets whose responses break off in the head or do not end, and requests that outlast a shutdown.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::json;
use support::single_daemon::{SingleDaemon, parse_responses, read_to_end, request};
use testkit::TargetRow;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Memory that the daemon may use.
const MEMORY: u64 = 128 << 20;
/// Callers at a time; each response may have up to 16 MiB.
const CALLERS: usize = 24;
/// A chunk of 64 bytes.
const CHUNK: &str = "40\r\n0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\r\n";
/// Most of a response that is sent without a pause.
const BURST: usize = 64 << 10;

/// What the target sends in response to each request.
#[derive(Clone, Copy, Debug)]
enum Reply {
    /// This text, after which it closes the connection.
    Closes(&'static str),
    /// This text, and then the piece again and again.
    Endless(&'static str, &'static str),
    /// Nothing.
    Silent,
}

/// Starts a target that reads the head of each request and sends the reply.
async fn start_target(reply: Reply) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond(stream, reply));
        }
    });
    address
}

async fn respond(mut stream: TcpStream, reply: Reply) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return,
        }
    }
    match reply {
        Reply::Closes(text) => {
            let _ = stream.write_all(text.as_bytes()).await;
        }
        Reply::Endless(text, piece) => {
            let pieces = piece.repeat(BURST / piece.len());
            let mut sent = stream.write_all(text.as_bytes()).await;
            while sent.is_ok() {
                sent = stream.write_all(pieces.as_bytes()).await;
            }
        }
        Reply::Silent => sleep(Duration::from_mins(1)).await,
    }
}

/// Starts a daemon whose plain service is the given target.
async fn start_daemon(target: SocketAddr, settings: &serde_json::Value) -> SingleDaemon {
    let mut daemon = SingleDaemon::prepare().await;
    let row = TargetRow::new("app", "zone-a", target, 1_000);
    daemon.sheet.target("app-1", &row);
    daemon.spawn(settings);
    daemon.wait_ready().await;
    daemon
}

async fn connect_and_send(daemon: &SingleDaemon) -> TcpStream {
    let mut stream = TcpStream::connect(daemon.entry).await.unwrap();
    let req = request("GET /open", &["connection: close"], "");
    stream.write_all(&req).await.unwrap();
    stream
}

/// Guards against a response whose head breaks off and that reaches the caller as a complete success
/// with an empty or short body.
#[tokio::test]
async fn a_response_whose_head_breaks_off_is_no_success() {
    let parts = [
        "HTTP/1.1 20",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\ncontent-le",
        "HTTP/1.1 200 OK\r\ncontent-length: 5",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n",
    ];
    for part in parts {
        let daemon = start_daemon(start_target(Reply::Closes(part)).await, &json!({})).await;

        let mut stream = connect_and_send(&daemon).await;
        let responses = parse_responses(&read_to_end(&mut stream).await);

        assert_eq!(responses.len(), 1, "{part:?}");
        let response = &responses[0];
        let outcome = response.header("x-primrosechute-outcome");
        assert_eq!((response.status, outcome), (409, "unknown"), "{part:?}");
    }
}

/// Guards against a daemon that runs out of memory because each of many responses may fill a buffer.
#[tokio::test]
async fn endless_responses_stay_within_the_memory_of_the_process() {
    let endless = [
        Reply::Endless("HTTP/1.1 200 OK\r\n\r\n", "abcdefgh"),
        Reply::Endless(
            "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
            "abcdefgh",
        ),
        Reply::Endless(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            CHUNK,
        ),
        Reply::Endless("HTTP/1.1 200 OK\r\n", "x-a: b\r\n"),
        Reply::Endless("HTTP/1.1 200 OK\r\nx-a: ", "bbbbbbbb"),
    ];
    for reply in endless {
        let settings = json!({ "limits": { "memory": "128MiB" } });
        let daemon = start_daemon(start_target(reply).await, &settings).await;
        let mut callers = Vec::new();
        for _ in 0..CALLERS {
            let mut stream = connect_and_send(&daemon).await;
            callers.push(tokio::spawn(async move { read_to_end(&mut stream).await }));
        }

        let mut largest = 0;
        let end = Instant::now() + Duration::from_secs(2);
        while Instant::now() < end {
            largest = largest.max(daemon.resident_bytes());
            sleep(Duration::from_millis(10)).await;
        }

        assert!(largest < MEMORY, "{reply:?}: {} MiB", largest >> 20);
        for caller in callers {
            let responses = parse_responses(&caller.await.unwrap());
            let outcome = responses[0].header("x-primrosechute-outcome");
            assert_ne!(outcome, "served", "{reply:?}");
        }
    }
}

/// Guards against requests that are cut off with no answer when the time of a shutdown is over.
#[tokio::test]
async fn requests_that_outlast_the_shutdown_get_an_answer() {
    let settings = json!({ "timing": { "load_poll": "50ms", "heartbeat": "50ms",
                                       "silent": "500ms", "drain": "1s" } });
    let daemon = start_daemon(start_target(Reply::Silent).await, &settings).await;
    let mut stream = connect_and_send(&daemon).await;
    sleep(Duration::from_millis(300)).await;

    daemon.signal(Signal::TERM);
    let responses = parse_responses(&read_to_end(&mut stream).await);

    assert_eq!(responses.len(), 1);
    let response = &responses[0];
    assert_eq!(response.header("x-primrosechute-outcome"), "unknown");
    assert_eq!(response.json()["not_run"], false);
}
