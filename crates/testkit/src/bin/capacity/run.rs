//! One measurement: starts the daemon, waits for its steady state and measures.

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

use crate::peers::{Peer, PeerState, start_peer};

/// Number of zones.
const ZONES: usize = 24;

/// Maximum time to wait until the daemon is ready and owns targets.
const START_TIMEOUT: Duration = Duration::from_mins(2);

/// Time that links and limit shares get to settle once the daemon is ready.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Sizes of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) peers: usize,
    pub(crate) targets: usize,
    pub(crate) workspaces: usize,
}

/// Resources that one daemon used.
#[derive(Debug)]
pub(crate) struct DaemonCost {
    pub(crate) links: usize,
    pub(crate) owned_targets: usize,
    pub(crate) core_percent: f64,
    pub(crate) resident_bytes: u64,
    pub(crate) sent_per_second: f64,
    pub(crate) received_per_second: f64,
    pub(crate) platform_calls_per_second: f64,
}

struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn zone_name(index: usize) -> String {
    format!("z{}", index % ZONES)
}

/// Measures one daemon in a fleet of the given size.
pub(crate) async fn measure(
    daemon: &Path,
    size: Size,
    duration: Duration,
) -> io::Result<DaemonCost> {
    let platform = Platform::start(any_port(), any_port()).await?;
    let entry = ReservedPort::loopback()?;
    let admin = ReservedPort::loopback()?;
    let peer = ReservedPort::loopback()?;
    let peer_state = Arc::new(PeerState::default());
    let targets = start_targets(size.targets).await?;
    let sheet = build_sheet(size, &targets);
    peer_state
        .revision
        .store(sheet.revision(), Ordering::Relaxed);
    platform.sheets.publish(sheet.revision(), sheet.csv());
    let rows = start_peers(&peer_state, size.peers, entry.addr(), peer.addr()).await?;
    platform.vms.update(|vms| *vms = rows);
    let generation = platform.vms.latest().generation;
    peer_state.generation.store(generation, Ordering::Relaxed);

    let dir = tempfile::tempdir()?;
    let settings_file = dir.path().join("settings.jsonc");
    let settings = json!({
        "vm": "vm-0",
        "zone": zone_name(0),
        "entry": entry.addr().to_string(),
        "admin": admin.addr().to_string(),
        "peer": peer.addr().to_string(),
        "sheet": { "service": platform.sheets.addr().to_string() },
        "vm_list": platform.vms.addr().to_string(),
        // Short times keep the hold-down short. They add no cost in the steady state.
        "timing": { "list_lag": "1s", "lease": "3s" },
        "log": { "level": "error" },
    });
    std::fs::write(&settings_file, settings.to_string())?;
    let process = Command::new(daemon)
        .args(["serve", "--config"])
        .arg(&settings_file)
        .stdout(Stdio::null())
        .spawn()?;
    let process = Daemon(process);
    let owned = wait_steady(&Client::new(admin.addr()), size).await?;

    let pid = Pid::from_child(&process.0);
    let calls = || platform.sheets.calls() + platform.vms.calls();
    let before = (Usage::of(pid)?, calls());
    let bytes_before = (
        read_counter(&peer_state.bytes_from_daemon),
        read_counter(&peer_state.bytes_to_daemon),
    );
    let start = Instant::now();
    sleep(duration).await;
    let elapsed = start.elapsed().as_secs_f64();
    let after = Usage::of(pid)?;
    Ok(DaemonCost {
        links: peer_state.dialled_links.load(Ordering::Relaxed),
        owned_targets: owned,
        core_percent: (after.cpu_time.saturating_sub(before.0.cpu_time)).as_secs_f64() / elapsed
            * 100.0,
        resident_bytes: after.resident_bytes,
        sent_per_second: per_second(
            read_counter(&peer_state.bytes_from_daemon) - bytes_before.0,
            elapsed,
        ),
        received_per_second: per_second(
            read_counter(&peer_state.bytes_to_daemon) - bytes_before.1,
            elapsed,
        ),
        platform_calls_per_second: per_second(calls() - before.1, elapsed),
    })
}

fn read_counter(counter: &std::sync::atomic::AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

#[expect(clippy::cast_precision_loss, reason = "a rate for printing")]
fn per_second(count: u64, seconds: f64) -> f64 {
    count as f64 / seconds
}

/// Starts targets that respond to every request with a load report.
async fn start_targets(count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::with_capacity(count);
    for _ in 0..count {
        let listener = tokio::net::TcpListener::bind(any_port()).await?;
        addresses.push(listener.local_addr()?);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(report_load(stream));
            }
        });
    }
    Ok(addresses)
}

/// Responds to one request with a load report.
async fn report_load(mut stream: tokio::net::TcpStream) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    const BODY: &str = r#"{"start":1,"running":0,"tokens":0,"cold":false,"age_ms":500}"#;
    let mut buf = [0; 1024];
    if stream.read(&mut buf).await.is_ok() {
        let response = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{BODY}",
            BODY.len()
        );
        // A failed write needs no handling here: the daemon detects it.
        let _ = stream.write_all(response.as_bytes()).await;
    }
}

/// Builds the sheet. Short names keep the sheet of the largest size below the platform's limit of
/// 1 MiB.
fn build_sheet(size: Size, targets: &[SocketAddr]) -> SheetBuilder {
    let mut sheet = SheetBuilder::new("c");
    for index in 0..ZONES {
        sheet.zone(&zone_name(index));
    }
    sheet.tier("t");
    for index in 0..size.workspaces {
        sheet.workspace(&format!("w{index}"), 1_000, 10_000);
    }
    sheet.engine_pool("p");
    for (index, address) in targets.iter().enumerate() {
        let row = TargetRow::new("p", &zone_name(index), *address, 10_000);
        sheet.target(&format!("e{index}"), &row);
    }
    sheet.route("/v1/completions", &RouteRow::new("p", "t"));
    sheet
}

/// Starts the simulated peers and returns the rows of the VM list: the daemon's and theirs.
async fn start_peers(
    peer_state: &Arc<PeerState>,
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
    let mut rows = vec![row("vm-0".into(), zone_name(0), entry, peer)];
    for index in 1..=peers {
        let simulated = Peer {
            name: format!("vm-{index}"),
            zone: zone_name(index),
            incarnation: (index as u64) << 16,
        };
        let (name, zone) = (simulated.name.clone(), simulated.zone.clone());
        let address = start_peer(Arc::clone(peer_state), simulated, peer).await?;
        rows.push(row(name, zone, address, address));
    }
    Ok(rows)
}

/// Waits until the daemon is ready and owns targets, and then for links to settle. Returns the
/// number of owned targets.
async fn wait_steady(admin: &Client, size: Size) -> io::Result<usize> {
    let deadline = Instant::now() + START_TIMEOUT;
    let mut last_state = String::new();
    while Instant::now() < deadline {
        sleep(Duration::from_millis(500)).await;
        let Ok(response) = admin.call(Call::get("/status")).await else {
            continue;
        };
        let status = response.json();
        let owned = status["owned"].as_array().map_or(0, Vec::len);
        if status["phase"] == "ready" && owned > 0 {
            sleep(SETTLE_TIME).await;
            return Ok(owned);
        }
        last_state.clear();
        // Writing to a `String` never fails.
        let _ = write!(last_state, "{} with {owned} targets", status["phase"]);
    }
    Err(io::Error::other(format!(
        "the daemon reached no steady state with {size:?}; last state: {last_state}"
    )))
}
