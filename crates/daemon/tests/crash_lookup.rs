//! Lookups without a body at plain services, of which one crashes each service that runs it.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use serde_json::json;
use support::single_daemon::{KEY, SingleDaemon};
use support::{WAIT_TIMEOUT, outcome_and_reason};
use testkit::TargetRow;
use testkit::client::{Call, Client};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const TARGETS: usize = 4;
const ROUNDS: usize = 6;
/// Crashes after which `serve` refuses a request.
const MAX_CRASHES: usize = 2;
/// Text in the head of the lookup that crashes services.
const POISON: &str = "card=666 ";

/// Path and query of a lookup by number.
type Lookup = fn(usize) -> String;

/// Starts a service that breaks the connection of calls with the poison in their head, and counts them.
/// Its other connections live on, so that the test is about the call alone.
async fn start_service(crashes: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let crashes = Arc::clone(crashes);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond(stream, Arc::clone(&crashes)));
        }
    });
    address
}

async fn respond(mut stream: TcpStream, crashes: Arc<AtomicUsize>) {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read_u8().await {
                Ok(byte) => head.push(byte),
                Err(_) => return,
            }
        }
        if String::from_utf8_lossy(&head).contains(POISON) {
            crashes.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
        if stream.write_all(response).await.is_err() {
            return;
        }
    }
}

async fn start_daemon(crashes: &Arc<AtomicUsize>) -> SingleDaemon {
    let mut daemon = SingleDaemon::prepare().await;
    for at in 1..=TARGETS {
        let row = TargetRow::new("app", "zone-a", start_service(crashes).await, 1_000);
        daemon.sheet.target(&format!("app-{at}"), &row);
    }
    daemon.spawn(&json!({}));
    daemon.wait_ready().await;
    daemon
}

async fn look_up(daemon: &SingleDaemon, path: String) -> (String, String) {
    let call = Call::get(path).key(KEY).timeout(WAIT_TIMEOUT);
    let response = Client::new(daemon.entry).call(call).await.unwrap();
    outcome_and_reason(&response)
}

/// Sends the crashing lookup and, after it, sound ones. Returns how many sound ones were served.
async fn send_rounds(daemon: &SingleDaemon, poison: Lookup) -> usize {
    let mut served = 0;
    for round in 0..ROUNDS {
        look_up(daemon, poison(round)).await;
        for number in 0..3 {
            let sound = format!("/app/lookup?card={}", 1000 + 3 * round + number);
            let (outcome, _) = look_up(daemon, sound).await;
            served += usize::from(outcome == "served");
        }
        sleep(Duration::from_millis(100)).await;
    }
    served
}

/// Guards against calls that are all refused after two crashes, as calls without a body had one
/// fingerprint, and against a crashing one that sound ones clear.
#[tokio::test]
async fn a_lookup_that_crashes_services_is_refused_alone() {
    let rows: [(&str, Lookup); 2] = [
        ("the same query", |_| "/app/lookup?card=666".to_owned()),
        ("a query that is new each time", |round| {
            format!("/app/dead?n={round}&card=666")
        }),
    ];
    for (name, poison) in rows {
        let crashes = Arc::default();
        let daemon = start_daemon(&crashes).await;

        let served = send_rounds(&daemon, poison).await;

        let crashes = crashes.load(Ordering::Relaxed);
        assert_eq!(crashes, MAX_CRASHES, "{name}");
        assert_eq!(served, 3 * ROUNDS, "{name}: sound lookups that were served");
        let refused = look_up(&daemon, poison(ROUNDS)).await;
        assert_eq!(refused.1, "poison", "{name}");
    }
}
