//! The system under test: member processes, workers behind proxies, and a store.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::{Value, json};
use tempfile::TempDir;
use testkit::Proxy;
use testkit::fleet::Process;

use super::relay::{PEER_PORT, PEER_REACH_PORT, Relay};
use crate::platform_support::echo::EchoWorker;
use crate::platform_support::member::{config, publish, set_evacuated, with_cold_limit, with_keys};
use crate::platform_support::next_ip;
use crate::platform_support::store::{Store, WorkerEntry};

pub const MEMBERS: usize = 5;
pub const WORKERS: usize = 6;
pub const ZONES: [&str; 2] = ["zone-a", "zone-b"];
/// Limits in the settings of the fleet, against which the checks compare.
pub const RATE: f64 = 3000.0;
pub const BURST: f64 = 3000.0;
pub const RATE_PART: f64 = 0.25;
pub const RATE_SLACK: f64 = 3000.0;
pub const RATE_WINDOW: Duration = Duration::from_secs(8);
pub const COLD_PER_S: f64 = 10.0;
pub const COLD_PART: f64 = 1.5;
pub const COLD_SLACK: f64 = 5.0;
pub const COLD_START: Duration = Duration::from_secs(4);
pub const REPEATS_WINDOW: Duration = Duration::from_secs(10);
pub const REPEATS_RATIO: f64 = 0.2;
pub const REPEATS_SLACK: f64 = 30.0;
pub const GRACE: Duration = Duration::from_secs(8);
/// Time limit of all routes.
pub const TIMEOUT: Duration = Duration::from_secs(3);
pub const KEYS: [&str; 2] = ["key-1", "key-2"];

const ENTRY_PORT: u16 = 8221;
const READY_PORT: u16 = 8224;
const DIRECTORY_PORT: u16 = 8220;
const ATTEMPTS: u32 = 3;

pub struct Member {
    pub ip: Ipv4Addr,
    /// Proxy for the connections of this member to the store.
    pub store: Proxy,
    pub process: Process,
    pub paused: bool,
    /// Time of the SIGTERM after which the process has not exited yet.
    pub stopping: Option<Instant>,
    pub started: Instant,
}

pub struct Worker {
    pub echo: EchoWorker,
    pub proxy: Proxy,
    pub zone: &'static str,
    /// Number of starts. It is passed as `WorkerEntry::start_time`, which the store keeps as `born`.
    pub starts: u64,
    pub draining: bool,
    pub registered: bool,
    /// Number of entries that it wrote.
    reports: u64,
}

pub struct Fleet {
    pub dir: TempDir,
    pub members: Vec<Member>,
    pub workers: Vec<Worker>,
    pub store: Store,
    pub relay: Relay,
    version: u64,
}

impl Member {
    pub fn entry_address(&self) -> SocketAddr {
        (self.ip, ENTRY_PORT).into()
    }

    pub fn readiness_address(&self) -> SocketAddr {
        (self.ip, READY_PORT).into()
    }

    pub fn directory_address(&self) -> SocketAddr {
        (self.ip, DIRECTORY_PORT).into()
    }

    /// Whether the process has had time to install its signal handlers, before which a signal would
    /// terminate it.
    pub fn handles_signals(&self) -> bool {
        self.process.is_started() && self.started.elapsed() > Duration::from_millis(200)
    }

    pub fn signal(&self, signal: Signal) {
        // The process may have exited just now.
        let _ = self.process.signal(signal);
    }

    /// Kills the process and waits for its end.
    pub async fn kill(&mut self) {
        self.process.kill().await.expect("the member can be killed");
        self.paused = false;
        self.stopping = None;
    }

    /// Starts the process with the settings file in `dir`.
    pub fn spawn(&mut self, dir: &Path) {
        self.started = Instant::now();
        let program = Path::new(env!("CARGO_BIN_EXE_primrosechute"));
        let config = dir.join(format!("{}.jsonc", self.ip));
        self.process
            .spawn(program, &config)
            .expect("the daemon's program");
    }
}

impl Fleet {
    pub async fn start() -> Self {
        let dir = tempfile::tempdir().expect("directory");
        let store = Store::start().await;
        let ips: Vec<Ipv4Addr> = (0..MEMBERS).map(|_| next_ip()).collect();
        let relay = Relay::start(&ips).await;
        let mut members = Vec::new();
        for &ip in &ips {
            let any_port = SocketAddr::from((ip, 0));
            let proxy = Proxy::start(any_port, store.address).await.expect("proxy");
            members.push(Member {
                ip,
                store: proxy,
                process: Process::new("member", dir.path().join(format!("{ip}.log"))),
                paused: false,
                stopping: None,
                started: Instant::now(),
            });
        }
        let mut workers = Vec::new();
        for index in 0..WORKERS {
            let echo = EchoWorker::start(&format!("w-{index}")).await;
            let any_port = SocketAddr::from((next_ip(), 0));
            let proxy = Proxy::start(any_port, echo.address()).await.expect("proxy");
            workers.push(Worker {
                echo,
                proxy,
                zone: ZONES[index % ZONES.len()],
                starts: 1,
                draining: false,
                registered: true,
                reports: 0,
            });
        }
        let mut fleet = Fleet {
            dir,
            members,
            workers,
            store,
            relay,
            version: 0,
        };
        fleet.publish(&KEYS);
        for index in 0..WORKERS {
            fleet.register(index, Duration::ZERO);
        }
        for index in 0..MEMBERS {
            let text = fleet.settings(index, &ips[..3]).to_string();
            let path = fleet.dir.path().join(format!("{}.jsonc", ips[index]));
            std::fs::write(path, text).expect("settings");
            fleet.members[index].spawn(fleet.dir.path());
        }
        fleet
    }

    fn settings(&self, index: usize, seeds: &[Ipv4Addr]) -> Value {
        let member = &self.members[index];
        json!({
            "vm": format!("vm-{index}"), "ip": member.ip, "zone": ZONES[index % ZONES.len()],
            "ports": {"entry": ENTRY_PORT, "ready": READY_PORT, "directory": DIRECTORY_PORT,
                      "metrics": 8225, "peer": PEER_PORT, "peer_reach": PEER_REACH_PORT},
            "seeds": seeds, "store": member.store.addr(), "cores": 0.25,
            "grace": format!("{}s", GRACE.as_secs()),
            "repeats": {"window": format!("{}s", REPEATS_WINDOW.as_secs()),
                        "ratio": REPEATS_RATIO, "slack": REPEATS_SLACK},
            "rates": {"part": RATE_PART, "slack": RATE_SLACK},
            "cold": {"part": COLD_PART, "slack": COLD_SLACK},
        })
    }

    /// Publishes a new version of the configuration with the given keys.
    pub fn publish(&mut self, keys: &[&str]) {
        self.version += 1;
        let limits = json!({"rate_per_s": RATE, "burst": BURST});
        let cfg = config(self.version, ATTEMPTS, &limits);
        let cfg = with_keys(with_cold_limit(cfg, COLD_START, COLD_PER_S), keys);
        publish(&self.store, &cfg);
    }

    /// Takes a zone out, or back in.
    pub fn evacuate(&self, zone: &str, evacuated: bool) {
        set_evacuated(&self.store, zone, evacuated);
    }

    /// Writes the entry of a worker to the store.
    pub fn register(&mut self, index: usize, cold: Duration) {
        let worker = &mut self.workers[index];
        worker.registered = true;
        worker.reports += 1;
        let entry = WorkerEntry {
            address: worker.proxy.addr(),
            zone: worker.zone,
            state: if worker.draining { "draining" } else { "ready" },
            cold_remaining: cold,
            start_time: worker.starts,
            sequence: worker.reports,
        };
        self.store.register(&worker.echo.id, entry);
    }

    /// Number of workers that are registered and not draining.
    pub fn healthy_workers(&self) -> usize {
        let is_healthy = |worker: &&Worker| worker.registered && !worker.draining;
        self.workers.iter().filter(is_healthy).count()
    }
}
