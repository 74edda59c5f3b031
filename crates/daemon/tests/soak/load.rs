//! Callers on persistent connections, and how their requests ended.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::fleet::KEYS;
use crate::platform_support::caller::{self, Response};
use crate::platform_support::echo::work_body;

/// Requests on one connection.
const CALLS_PER_CONNECTION: u32 = 30;
/// Time after which a caller gives up; longer than all time limits and pauses.
const CALLER_TIMEOUT: Duration = Duration::from_secs(12);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Read,
    Order,
    Stream,
    Resume,
}

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Kind::Read => "/read/1",
            Kind::Order => "/order/1",
            Kind::Stream => "/stream/1",
            Kind::Resume => "/stream/resume/1",
        }
    }

    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream | Kind::Resume)
    }
}

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug)]
pub enum CallResult {
    /// The caller received a response head; the framing shows whether the body is complete.
    Response(Response),
    /// The connection closed without a response.
    Closed,
    /// The caller disconnected early, on purpose.
    CallerLeft,
    /// No complete response within `CALLER_TIMEOUT`.
    TimedOut,
}

#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub kind: Kind,
    pub key: &'static str,
    pub member: Ipv4Addr,
    pub sent: Instant,
    pub ended: Instant,
    pub result: CallResult,
}

/// Records all calls of a run.
#[derive(Clone, Default)]
pub struct CallLog {
    calls: Arc<Mutex<Vec<Call>>>,
    next: Arc<AtomicU64>,
}

impl CallLog {
    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().expect("calls").clone()
    }
}

/// One caller: sends calls on connections to random members until `stop` is set.
pub async fn run_caller(
    call_log: CallLog,
    members: Vec<(Ipv4Addr, SocketAddr)>,
    seed: u64,
    stop: Arc<AtomicBool>,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while !stop.load(Ordering::Relaxed) {
        let (member, entry) = members[rng.random_range(0..members.len())];
        let Ok(Ok(mut stream)) =
            timeout(Duration::from_millis(500), TcpStream::connect(entry)).await
        else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        for _ in 0..CALLS_PER_CONNECTION {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            sleep(Duration::from_millis(rng.random_range(0..80))).await;
            let call = send_one(&call_log, &mut stream, member, &mut rng).await;
            let reusable = matches!(&call.result, CallResult::Response(response) if response.whole
                && response.header("connection") != Some("close"));
            let refused =
                matches!(&call.result, CallResult::Response(response) if response.status >= 400);
            call_log.calls.lock().expect("calls").push(call);
            if !reusable {
                break;
            }
            if refused {
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Sends a random call and waits for its end.
async fn send_one(
    call_log: &CallLog,
    stream: &mut TcpStream,
    member: Ipv4Addr,
    rng: &mut SmallRng,
) -> Call {
    let kind = match rng.random_range(0..10) {
        0..3 => Kind::Read,
        3..6 => Kind::Order,
        6..8 => Kind::Stream,
        _ => Kind::Resume,
    };
    let id = format!("c{}", call_log.next.fetch_add(1, Ordering::Relaxed));
    let key = KEYS[usize::from(rng.random_bool(0.2))];
    let extra = caller::keyed_headers(key, rng.random_range(10..50));
    let body = work_body(rng.random_range(5..150));
    let disconnects = rng.random_bool(0.03);
    let bytes = caller::request("POST", kind.path(), &id, &extra, &body);
    let sent = Instant::now();
    let time_limit = if disconnects {
        Duration::from_millis(rng.random_range(1..60))
    } else {
        CALLER_TIMEOUT
    };
    let exchange = async {
        stream.write_all(bytes.as_bytes()).await.ok()?;
        Some(caller::read_response(stream).await)
    };
    let result = match timeout(time_limit, exchange).await {
        Err(_) if disconnects => CallResult::CallerLeft,
        Err(_) => CallResult::TimedOut,
        Ok(Some(response)) if response.status > 0 => CallResult::Response(response),
        Ok(_) => CallResult::Closed,
    };
    Call {
        id,
        kind,
        key,
        member,
        sent,
        ended: Instant::now(),
        result,
    }
}
