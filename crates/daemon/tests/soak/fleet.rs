//! The system under test: member processes, workers behind proxies, and a store.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::{Value, json};
use tempfile::TempDir;
use testkit::Proxy;
use testkit::fleet::Process;

use super::relay::{PEER, REACH, Relay};
use crate::platform_support::echo::EchoWorker;
use crate::platform_support::member::{config, publish, set_evacuated, with_cold_limit, with_keys};
use crate::platform_support::next_ip;
use crate::platform_support::store::{Store, WorkerEntry};

pub const MEMBERS: usize = 5;
pub const WORKERS: usize = 6;
pub const ZONES: [&str; 2] = ["zone-a", "zone-b"];
/// Limits of the site; the checks use the same figures.
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

const ENTRY: u16 = 8221;
const READY: u16 = 8224;
const DIRECTORY: u16 = 8220;
const ATTEMPTS: u32 = 3;

pub struct Member {
    pub ip: Ipv4Addr,
    /// Connections of this member to the store.
    pub store: Proxy,
    pub process: Process,
    pub paused: bool,
    /// Time of the SIGTERM that the process has not followed yet.
    pub stopping: Option<Instant>,
    pub started: Instant,
}

pub struct Worker {
    pub echo: EchoWorker,
    pub proxy: Proxy,
    pub zone: &'static str,
    pub born: u64,
    pub draining: bool,
    pub registered: bool,
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
    pub fn entry(&self) -> SocketAddr {
        (self.ip, ENTRY).into()
    }

    pub fn ready(&self) -> SocketAddr {
        (self.ip, READY).into()
    }

    pub fn directory(&self) -> SocketAddr {
        (self.ip, DIRECTORY).into()
    }

    /// Whether the program has got as far as its first instructions, before which a signal ends
    /// any process.
    pub fn is_up(&self) -> bool {
        self.process.is_started() && self.started.elapsed() > Duration::from_millis(200)
    }

    pub fn signal(&self, signal: Signal) {
        // It may have ended just now.
        let _ = self.process.signal(signal);
    }

    /// Kills the process and waits for its end.
    pub async fn kill(&mut self) {
        self.process.kill().await.expect("the child is ours");
        self.paused = false;
        self.stopping = None;
    }

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
            let any = SocketAddr::from((ip, 0));
            let proxy = Proxy::start(any, store.address).await.expect("proxy");
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
        for at in 0..WORKERS {
            let echo = EchoWorker::start(&format!("w-{at}")).await;
            let any = SocketAddr::from((next_ip(), 0));
            let proxy = Proxy::start(any, echo.address()).await.expect("proxy");
            workers.push(Worker {
                echo,
                proxy,
                zone: ZONES[at % ZONES.len()],
                born: 1,
                draining: false,
                registered: true,
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
        for at in 0..WORKERS {
            fleet.register(at, Duration::ZERO);
        }
        for at in 0..MEMBERS {
            let text = fleet.settings(at, &ips[..3]).to_string();
            let path = fleet.dir.path().join(format!("{}.jsonc", ips[at]));
            std::fs::write(path, text).expect("settings");
            fleet.members[at].spawn(fleet.dir.path());
        }
        fleet
    }

    fn settings(&self, at: usize, seeds: &[Ipv4Addr]) -> Value {
        let member = &self.members[at];
        json!({
            "vm": format!("vm-{at}"), "ip": member.ip, "zone": ZONES[at % ZONES.len()],
            "ports": {"entry": ENTRY, "ready": READY, "directory": DIRECTORY, "metrics": 8225,
                      "peer": PEER, "peer_reach": REACH},
            "seeds": seeds, "store": member.store.addr(), "cores": 0.25,
            "grace": format!("{}s", GRACE.as_secs()),
            "repeats": {"window": format!("{}s", REPEATS_WINDOW.as_secs()),
                        "ratio": REPEATS_RATIO, "slack": REPEATS_SLACK},
            "rates": {"part": RATE_PART, "slack": RATE_SLACK},
            "cold": {"part": COLD_PART, "slack": COLD_SLACK},
        })
    }

    /// Publishes a new version with the given keys.
    pub fn publish(&mut self, keys: &[&str]) {
        self.version += 1;
        let limits = json!({"rate_per_s": RATE, "burst": BURST});
        let cfg = config(self.version, ATTEMPTS, &limits);
        let cfg = with_keys(with_cold_limit(cfg, COLD_START, COLD_PER_S), keys);
        publish(&self.store, &cfg);
    }

    pub fn evacuate(&self, zone: &str, out: bool) {
        set_evacuated(&self.store, zone, out);
    }

    /// Writes the entry of a worker.
    pub fn register(&mut self, at: usize, cold: Duration) {
        let worker = &mut self.workers[at];
        worker.registered = true;
        let entry = WorkerEntry {
            address: worker.proxy.addr(),
            zone: worker.zone,
            state: if worker.draining { "draining" } else { "ready" },
            cold_remaining: cold,
            start_time: worker.born,
        };
        self.store.register(&worker.echo.id, entry);
    }

    /// Workers that no fault touches.
    pub fn sound_workers(&self) -> usize {
        let is_sound = |worker: &&Worker| worker.registered && !worker.draining;
        self.workers.iter().filter(is_sound).count()
    }
}
