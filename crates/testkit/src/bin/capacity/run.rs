//! One measurement: start the daemon, wait until it is steady, measure.

use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rustix::process::Pid;
use serde_json::json;
use testkit::client::{Call, Client};
use testkit::fleet::Usage;
use testkit::{Platform, ReservedPort, RouteRow, SheetBuilder, TargetRow, VmEntry, VmState};
use tokio::time::{Instant, sleep};

use crate::peers::{Peer, Shared, listen};

/// Zones of the fleet.
const ZONES: usize = 24;

/// Longest wait until the daemon owns its targets and holds its shares.
const START: Duration = Duration::from_mins(2);

/// Time after the start in which links and shares settle.
const SETTLE: Duration = Duration::from_secs(5);

/// Sizes of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) peers: usize,
    pub(crate) targets: usize,
    pub(crate) workspaces: usize,
}

/// Cost of one daemon.
#[derive(Debug)]
pub(crate) struct Point {
    pub(crate) links: usize,
    pub(crate) owned: usize,
    pub(crate) core_percent: f64,
    pub(crate) resident: u64,
    pub(crate) sent: f64,
    pub(crate) received: f64,
    pub(crate) platform_calls: f64,
}

struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn zone(at: usize) -> String {
    format!("z{}", at % ZONES)
}

/// Measures one size.
pub(crate) async fn measure(daemon: &Path, size: Size, span: Duration) -> io::Result<Point> {
    let platform = Platform::start(any(), any()).await?;
    let entry = ReservedPort::loopback()?;
    let admin = ReservedPort::loopback()?;
    let peer = ReservedPort::loopback()?;
    let shared = Arc::new(Shared::default());
    let targets = start_targets(size.targets).await?;
    let sheet = sheet(size, &targets);
    shared.revision.store(sheet.revision(), Ordering::Relaxed);
    platform.sheets.publish(sheet.revision(), sheet.csv());
    let rows = vms(&shared, size.peers, entry.addr(), peer.addr()).await?;
    platform.vms.update(|vms| *vms = rows);
    let generation = platform.vms.latest().generation;
    shared.generation.store(generation, Ordering::Relaxed);

    let dir = tempfile::tempdir()?;
    let file = dir.path().join("settings.jsonc");
    let settings = json!({
        "vm": "vm-0",
        "zone": zone(0),
        "entry": entry.addr().to_string(),
        "admin": admin.addr().to_string(),
        "peer": peer.addr().to_string(),
        "sheet": { "service": platform.sheets.addr().to_string() },
        "vm_list": platform.vms.addr().to_string(),
        // A short hold-down; in the steady state these times cost nothing.
        "timing": { "list_lag": "1s", "lease": "3s" },
        "log": { "level": "error" },
    });
    std::fs::write(&file, settings.to_string())?;
    let child = Command::new(daemon)
        .args(["serve", "--config"])
        .arg(&file)
        .stdout(Stdio::null())
        .spawn()?;
    let child = Daemon(child);
    let owned = wait_steady(&Client::new(admin.addr()), size).await?;

    let pid = Pid::from_child(&child.0);
    let calls = || platform.sheets.calls() + platform.vms.calls();
    let before = (Usage::of(pid)?, calls());
    let bytes = (load(&shared.received), load(&shared.sent));
    let start = Instant::now();
    sleep(span).await;
    let took = start.elapsed().as_secs_f64();
    let after = Usage::of(pid)?;
    Ok(Point {
        links: shared.links.load(Ordering::Relaxed),
        owned,
        core_percent: (after.cpu_time.saturating_sub(before.0.cpu_time)).as_secs_f64() / took
            * 100.0,
        resident: after.resident_bytes,
        sent: per_second(load(&shared.received) - bytes.0, took),
        received: per_second(load(&shared.sent) - bytes.1, took),
        platform_calls: per_second(calls() - before.1, took),
    })
}

fn load(counter: &std::sync::atomic::AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

#[expect(clippy::cast_precision_loss, reason = "a rate for printing")]
fn per_second(count: u64, seconds: f64) -> f64 {
    count as f64 / seconds
}

/// Targets that answer load reports and nothing else.
async fn start_targets(count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::with_capacity(count);
    for _ in 0..count {
        let listener = tokio::net::TcpListener::bind(any()).await?;
        addresses.push(listener.local_addr()?);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(report_load(stream));
            }
        });
    }
    Ok(addresses)
}

/// Answers one request with a load report.
async fn report_load(mut stream: tokio::net::TcpStream) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    const BODY: &str = r#"{"start":1,"running":0,"tokens":0,"cold":false,"age_ms":500}"#;
    let mut buf = [0; 1024];
    if stream.read(&mut buf).await.is_ok() {
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{BODY}",
            BODY.len()
        );
        // The daemon sees a failure itself.
        let _ = stream.write_all(answer.as_bytes()).await;
    }
}

/// Short names keep the sheet of the largest size below the platform's limit of 1 MB.
fn sheet(size: Size, targets: &[SocketAddr]) -> SheetBuilder {
    let mut sheet = SheetBuilder::new("c");
    for at in 0..ZONES {
        sheet.zone(&zone(at));
    }
    sheet.tier("t");
    for at in 0..size.workspaces {
        sheet.workspace(&format!("w{at}"), 1_000, 10_000);
    }
    sheet.engine_pool("p");
    for (at, address) in targets.iter().enumerate() {
        let row = TargetRow::new("p", &zone(at), *address, 10_000);
        sheet.target(&format!("e{at}"), &row);
    }
    sheet.route("/v1/completions", &RouteRow::new("p", "t"));
    sheet
}

/// The daemon's row and one for each light peer.
async fn vms(
    shared: &Arc<Shared>,
    peers: usize,
    entry: SocketAddr,
    peer: SocketAddr,
) -> io::Result<Vec<VmEntry>> {
    let row = |name: String, zone: String, entry, peer| VmEntry {
        name,
        zone,
        state: VmState::Live,
        entry,
        peer,
    };
    let mut rows = vec![row("vm-0".into(), zone(0), entry, peer)];
    for at in 1..=peers {
        let light = Peer {
            name: format!("vm-{at}"),
            zone: zone(at),
            incarnation: (at as u64) << 16,
        };
        let (name, zone) = (light.name.clone(), light.zone.clone());
        let address = listen(Arc::clone(shared), light, peer).await?;
        rows.push(row(name, zone, address, address));
    }
    Ok(rows)
}

/// Waits until the daemon is ready and owns targets. Returns their number.
async fn wait_steady(admin: &Client, size: Size) -> io::Result<usize> {
    let until = Instant::now() + START;
    let mut last = String::new();
    while Instant::now() < until {
        sleep(Duration::from_millis(500)).await;
        let Ok(answer) = admin.call(Call::get("/status")).await else {
            continue;
        };
        let status = answer.json();
        let owned = status["owned"].as_array().map_or(0, Vec::len);
        if status["phase"] == "ready" && owned > 0 {
            sleep(SETTLE).await;
            return Ok(owned);
        }
        last.clear();
        // Formatting into a string can't fail.
        let _ = write!(last, "{} with {owned} targets", status["phase"]);
    }
    Err(io::Error::other(format!(
        "the daemon is not steady with {size:?}: {last}"
    )))
}
