//! Cost of a daemon in the data path: added latency, relayed tokens and memory.
//!
//! One real daemon process is pinned to two cores; target and callers run in this process. Direct
//! calls and calls through the daemon alternate in the same run, so that noise of the machine
//! affects both.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use axum::Router;
use axum::body::Body;
use axum::routing::{get, post};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use rustix::process::Pid;
use rustix::thread::{CpuSet, sched_setaffinity};
use testkit::client::{Call, Client, Connection};
use testkit::fleet::Usage;
use testkit::{ReservedPort, RouteRow, SheetBuilder, TargetRow};

/// Calls a second in the latency part.
const RATE: u32 = 1_000;
/// Calls of one connection in the latency part.
const CALLS: u32 = 125;
/// Connections that the callers keep open.
const CONNECTIONS: u32 = 64;
/// Streams at once in the throughput part.
const STREAMS: usize = 100;
/// Events of one stream before its last one.
const EVENTS: u32 = 10_000;
/// Cores of the daemon.
const CORES: [usize; 2] = [8, 9];

const KEY: &str = "bench-key";

fn main() {
    // `cargo test --benches` passes this flag; a measurement is not a test.
    if std::env::args().any(|arg| arg == "--test") {
        return;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(6)
        .enable_all()
        .build()
        .expect("the runtime starts");
    runtime.block_on(measure());
}

struct Daemon {
    child: Child,
    entry: SocketAddr,
    _dir: tempfile::TempDir,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn measure() {
    let target = start_target().await;
    let daemon = start_daemon(target).await;
    println!("idle resident: {} MiB", resident_mib(&daemon.child));
    measure_latency(target, &daemon).await;
    measure_throughput(&daemon).await;
    println!("resident after load: {} MiB", resident_mib(&daemon.child));
}

/// A target that responds at once, with a small JSON body or a stream as fast as it is read.
async fn start_target() -> SocketAddr {
    let app = Router::new()
        .route(
            "/v1/completions",
            post(|| async { r#"{"usage":{"completion_tokens":1}}"# }),
        )
        .route("/v1/chat/completions", post(stream))
        .route(
            "/load",
            get(|| async { r#"{"start":1,"running":0,"tokens":0,"cold":false,"age_ms":0}"# }),
        );
    let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0))
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move { axum::serve(listener, app).await });
    address
}

async fn stream() -> ([(&'static str, &'static str); 1], Body) {
    let events = async_stream::stream! {
        for offset in 0..EVENTS {
            let event = format!(
                "id: {offset}\ndata: {{\"choices\":[{{\"delta\":{{\"content\":\"token\"}}}}]}}\n\n"
            );
            yield Ok::<_, Infallible>(Bytes::from(event));
            // Each event is a write of its own, as an engine sends its tokens.
            tokio::task::yield_now().await;
        }
        yield Ok(Bytes::from(format!("id: {EVENTS}\ndata: [DONE]\n\n")));
    };
    (
        [("content-type", "text/event-stream")],
        Body::from_stream(events),
    )
}

async fn start_daemon(target: SocketAddr) -> Daemon {
    let dir = tempfile::tempdir().expect("a temporary folder can be made");
    let entry = ReservedPort::loopback().expect("a port is free");
    let admin = ReservedPort::loopback().expect("a port is free");
    let sheet_file = dir.path().join("sheet.csv");
    std::fs::write(&sheet_file, sheet(target)).expect("the folder is writable");
    let settings = serde_json::json!({
        "vm": "bench-1",
        "zone": "zone-a",
        "entry": entry.addr().to_string(),
        "admin": admin.addr().to_string(),
        "sheet": { "file": sheet_file },
        "log": { "level": "warn" },
    });
    let file = dir.path().join("bench.jsonc");
    std::fs::write(&file, settings.to_string()).expect("the folder is writable");
    let child = spawn(&file);
    let admin = Client::new(admin.addr());
    while !is_ready(&admin).await {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // Shares of a new daemon start empty.
    tokio::time::sleep(Duration::from_secs(2)).await;
    Daemon {
        child,
        entry: entry.addr(),
        _dir: dir,
    }
}

/// Starts the daemon on its cores. Its threads inherit them, and its runtime starts as many
/// workers as there are.
fn spawn(settings: &Path) -> Child {
    let all = rustix::thread::sched_getaffinity(None).expect("the kernel shows the cores");
    let mut cores = CpuSet::new();
    for core in CORES {
        cores.set(core);
    }
    let own: Option<Pid> = None;
    sched_setaffinity(own, &cores).expect("the cores exist");
    let child = Command::new(env!("CARGO_BIN_EXE_primrosechute"))
        .args(["serve", "--config"])
        .arg(settings)
        .stdout(Stdio::null())
        .spawn()
        .expect("the daemon starts");
    sched_setaffinity(own, &all).expect("the cores exist");
    child
}

async fn is_ready(admin: &Client) -> bool {
    let response = admin.call(Call::get("/readyz")).await;
    response.is_ok_and(|response| response.status.is_success())
}

fn sheet(target: SocketAddr) -> String {
    let rate = 1_000_000_000;
    let mut sheet = SheetBuilder::new("bench");
    sheet
        .zone("zone-a")
        .tier("quick")
        .workspace("bench", rate, rate)
        .key("bench", "bench", "quick", KEY)
        .engine_pool("llm")
        .target(
            "llm-1",
            &TargetRow::new("llm", "zone-a", target, 100_000_000),
        )
        .route("/v1/completions", &RouteRow::new("llm", "quick"))
        .route("/v1/chat/completions", &RouteRow::new("llm", "quick"));
    sheet.csv()
}

fn usage(child: &Child) -> Usage {
    let pid = Pid::from_child(child);
    Usage::of(pid).expect("the daemon runs")
}

fn resident_mib(child: &Child) -> u64 {
    usage(child).resident_bytes >> 20
}

/// Open loop: each call has its planned time, and its latency counts from there.
async fn measure_latency(target: SocketAddr, daemon: &Daemon) {
    // A new daemon treats its target as cold; the limit grows only with completed work.
    open_loop(daemon.entry).await;
    for round in 1..=3 {
        let direct = open_loop(target).await;
        let through = open_loop(daemon.entry).await;
        let (before, after) = (
            direct.value_at_quantile(0.99),
            through.value_at_quantile(0.99),
        );
        println!(
            "round {round} at {RATE} requests/s: p50 {} and {} us, \
             p99 {before} and {after} us, added p99 {} us",
            direct.value_at_quantile(0.5),
            through.value_at_quantile(0.5),
            after.saturating_sub(before),
        );
    }
}

async fn open_loop(address: SocketAddr) -> Histogram<u64> {
    let start = Instant::now() + Duration::from_millis(100);
    let mut tasks = Vec::new();
    for index in 0..CONNECTIONS {
        tasks.push(tokio::spawn(async move {
            let mut connection = Client::new(address).connect().await.expect("it accepts");
            let mut latencies = Vec::new();
            for n in 0..CALLS {
                let planned = start + Duration::from_secs(1) / RATE * (n * CONNECTIONS + index);
                tokio::time::sleep_until(planned.into()).await;
                call(&mut connection).await;
                latencies.push(planned.elapsed());
            }
            latencies
        }));
    }
    let mut histogram = Histogram::new(3).expect("3 digits are valid");
    for task in tasks {
        for latency in task.await.expect("the caller runs to its end") {
            let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            histogram.record(micros).expect("the histogram grows");
        }
    }
    histogram
}

async fn call(connection: &mut Connection) {
    let call = Call::post("/v1/completions", r#"{"prompt":"hello","max_tokens":1}"#).key(KEY);
    let response = connection.call(call).await.expect("the call is answered");
    assert!(response.status.is_success(), "{response:?}");
}

/// Measures streams at full speed: tokens and processor time of the daemon.
async fn measure_throughput(daemon: &Daemon) {
    let cpu = usage(&daemon.child).cpu_time;
    let start = Instant::now();
    let tasks: Vec<_> = (0..STREAMS)
        .map(|_| tokio::spawn(read_stream(daemon.entry)))
        .collect();
    let mut events = 0;
    for task in tasks {
        events += task.await.expect("the caller runs to its end");
    }
    let took = start.elapsed().as_secs_f64();
    let cpu = usage(&daemon.child)
        .cpu_time
        .saturating_sub(cpu)
        .as_secs_f64();
    println!(
        "relayed {events} tokens in {took:.2} s: {:.0} tokens/s on {:.2} cores, \
         {:.1} us of processor time a token",
        f64::from(events) / took,
        cpu / took,
        cpu * 1e6 / f64::from(events)
    );
}

/// Counts the events of one stream by their blank lines, without the cost of parsing them.
async fn read_stream(entry: SocketAddr) -> u32 {
    let stream = tokio::net::TcpStream::connect(entry)
        .await
        .expect("it accepts");
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(hyper_util::rt::TokioIo::new(stream))
            .await
            .expect("the handshake succeeds");
    tokio::spawn(connection);
    let body = r#"{"prompt":"hello","max_tokens":4000,"stream":true}"#;
    let req = http::Request::post("/v1/chat/completions")
        .header("host", entry.to_string())
        .header("authorization", format!("Bearer {KEY}"))
        .body(http_body_util::Full::new(Bytes::from_static(
            body.as_bytes(),
        )))
        .expect("the request is valid");
    let response = sender
        .send_request(req)
        .await
        .expect("the call is answered");
    assert!(response.status().is_success(), "{response:?}");
    let mut body = response.into_body();
    let (mut events, mut last) = (0, 0);
    while let Some(frame) = body.frame().await {
        let frame = frame.expect("the stream is whole");
        for byte in frame.data_ref().into_iter().flatten() {
            events += u32::from(*byte == b'\n' && last == b'\n');
            last = *byte;
        }
    }
    assert_eq!(events, EVENTS + 1, "events of a stream");
    events
}
