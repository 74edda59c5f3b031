//! The project's members as processes, with settings like those of a small deployment.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::record::Record;
use crate::store::Store;

pub const FRONTEND_PORT: u16 = 8221;
const READINESS_PORT: u16 = 8224;
const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// One member; clones share its process.
#[derive(Clone)]
pub struct Member {
    pub ip: Ipv4Addr,
    settings: PathBuf,
    pub log: PathBuf,
    record: Record,
    child: Arc<Mutex<Option<Child>>>,
    /// Whether it has got SIGTERM, or was killed, at least once.
    was_stopped: Arc<AtomicBool>,
}

/// A store and members, on a network of their own in the loopback range.
pub struct Fleet {
    pub store: Store,
    pub members: Vec<Member>,
    pub record: Record,
    net: [u8; 2],
    dir: PathBuf,
}

/// Processes that the case started, to end them also if it fails.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends all processes that are still running.
pub fn end_all() {
    for pid in STARTED.lock().unwrap().drain(..) {
        // The process was started here and was not waited for.
        unsafe { kill(pid, SIGKILL) };
    }
}

impl Fleet {
    /// Starts the store and prepares members, which are not started yet.
    pub fn new(size: usize, record: &Record) -> std::io::Result<Self> {
        let pid = std::process::id();
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .subsec_nanos();
        let dir = std::env::temp_dir().join(format!("review-2-{pid}"));
        fs::create_dir_all(&dir)?;
        for attempt in 0..50 {
            let seed = nanos / 1000 + pid * 7 + attempt * 101;
            let low = |bits: u32| u8::try_from(bits % 200).unwrap();
            let net = [20 + low(seed), low(seed / 200)];
            let store = Ipv4Addr::new(127, net[0], net[1], 2);
            if let Ok(store) = Store::start((store, 8225).into()) {
                let mut fleet = Fleet {
                    store,
                    members: Vec::new(),
                    record: record.clone(),
                    net,
                    dir,
                };
                fleet.prepare_members(size)?;
                return Ok(fleet);
            }
        }
        Err(std::io::ErrorKind::AddrInUse.into())
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], host)
    }

    fn prepare_members(&mut self, size: usize) -> std::io::Result<()> {
        let ips: Vec<Ipv4Addr> = (0..size)
            .map(|at| self.ip(10 + u8::try_from(at).unwrap()))
            .collect();
        let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("{ip}:8229")).collect();
        for (at, &ip) in ips.iter().enumerate() {
            let zone = ZONES[at % ZONES.len()];
            let settings = self.dir.join(format!("node-{at}.conf"));
            fs::write(
                &settings,
                settings_text(at, ip, zone, &seeds, self.store.address),
            )?;
            self.members.push(Member {
                ip,
                settings,
                log: self.dir.join(format!("member-{at}.log")),
                record: self.record.clone(),
                child: Arc::default(),
                was_stopped: Arc::default(),
            });
        }
        Ok(())
    }

    /// Starts all members and waits until they are ready and have met.
    pub fn start(&self) -> Result<(), String> {
        for member in &self.members {
            member.start()?;
        }
        for member in &self.members {
            member.wait_until_ready(Duration::from_secs(10))?;
        }
        thread::sleep(Duration::from_millis(1500));
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        end_all();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Member {
    pub fn start(&self) -> Result<(), String> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|err| err.to_string())?;
        let child = Command::new("target/release/primrosechute")
            .arg("member")
            .env_clear()
            .env("PRIMROSECHUTE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|err| err.to_string())?)
            .stdout(log)
            .spawn()
            .map_err(|err| format!("target/release/primrosechute can't be started: {err}"))?;
        STARTED.lock().unwrap().push(pid_of(&child));
        self.record.line(&format!("start of member {}", self.ip));
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    pub fn wait_until_ready(&self, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        let address = SocketAddr::from((self.ip, READINESS_PORT));
        while Instant::now() < until {
            let answer = http::call(
                address,
                b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
                Duration::from_secs(1),
            );
            if answer.status == 200 {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(10));
        }
        Err(format!("member {} does not become ready", self.ip))
    }

    pub fn frontend(&self) -> SocketAddr {
        (self.ip, FRONTEND_PORT).into()
    }

    /// SIGKILL, after which the process is gone.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let pid = pid_of(&child);
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|&started| started != pid);
            self.was_stopped.store(true, Ordering::Relaxed);
            self.record.line(&format!("SIGKILL of member {}", self.ip));
        }
    }

    pub fn was_stopped(&self) -> bool {
        self.was_stopped.load(Ordering::Relaxed)
    }

    /// SIGTERM, after which the process shuts down by itself.
    pub fn stop(&self) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            // The process was started here and was not waited for.
            unsafe { kill(pid_of(child), SIGTERM) };
            self.was_stopped.store(true, Ordering::Relaxed);
            self.record.line(&format!("SIGTERM to member {}", self.ip));
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

fn pid_of(child: &Child) -> i32 {
    i32::try_from(child.id()).unwrap()
}

fn settings_text(
    at: usize,
    ip: Ipv4Addr,
    zone: &str,
    seeds: &[String],
    store: SocketAddr,
) -> String {
    let seeds = seeds.join(",");
    format!(
        "node_name=edge-{at}\nrole=member\nmachine_class=edge\nserves=edge,control,registry\nip={ip}\nzone={zone}\n\
region=here\nzones.zone-a=here\nzones.zone-b=here\nzones.zone-c=here\n\
listen.frontend={ip}:{FRONTEND_PORT}\nlisten.readiness={ip}:{READINESS_PORT}\n\
listen.control_plane={ip}:8229\nlisten.directory={ip}:8220\ninternal_ports=7600,7615\nseeds={seeds}\n\
bootstrap=true\ncounts_as_loss=false\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n\
limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=registry\n\
heartbeat_ms=1200\n\
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,places,platform\n\
fault_tolerance.machines=1\nfault_tolerance.zones=1\nfault_tolerance.regions=0\n\
bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.stable_window_ms=3000\nbounds.ack_ms=4000\n\
bounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
bounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\nbounds.partition_max_ms=5000\n\
bounds.revoke_strict=false\nbounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.2\nbounds.retry_window_s=10\n\
bounds.retry_slack=54\nbounds.quota_window_s=8\nbounds.quota_overage=0.25\nbounds.quota_slack=140000\n\
bounds.cold_overage=1.5\nbounds.cold_slack=5\nbounds.evacuation_ms=5000\nbounds.recovery_s=12\n\
bounds.iteration_ms=120\nbounds.retry_after_s=10\nbounds.ttl_max_s=5\nplatform.address={store}\n\
platform.form=read\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\n\
platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n"
    )
}
