//! The members, as separate processes, and the stand-ins around them.

use std::fs::{self, File};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Arrival, Plan, Worker};

pub const TERM: i32 = 15;
pub const KILL: i32 = 9;

unsafe extern "C" {
    safe fn kill(pid: i32, signal: i32) -> i32;
}

/// Bounds of the deployment, from the users' pages for rota-playas.
pub const STABLE_WINDOW: Duration = Duration::from_millis(3000);
pub const DRAIN: Duration = Duration::from_millis(2000);
pub const CONFIG_APPLY: Duration = Duration::from_millis(2000);

pub struct Member {
    pub index: usize,
    pub ip: Ipv4Addr,
    child: Mutex<Option<Child>>,
    settings: PathBuf,
    log: PathBuf,
    /// Times of the last signal or start.
    disturbed: Mutex<Duration>,
}

pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub members: Vec<Arc<Member>>,
    pub workers: Mutex<Vec<Arc<Worker>>>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    base: [u8; 2],
    program: PathBuf,
}

/// A loopback network whose addresses nobody uses yet.
fn free_base() -> [u8; 2] {
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").subsec_nanos();
    for turn in 0..200 {
        let mixed = (seed ^ std::process::id()).wrapping_mul(2_654_435_761).wrapping_add(turn * 40_503);
        let base = [(mixed >> 24) as u8 % 200 + 20, (mixed >> 16) as u8 % 250 + 1];
        let address = SocketAddr::from(([127, base[0], base[1], 10], 7600));
        if UdpSocket::bind(address).is_ok() {
            return base;
        }
    }
    panic!("no free loopback network");
}

impl Fleet {
    /// Starts the store and prepares one member for each of `zones`.
    pub fn new(record: Arc<Record>, folder: &Path, zones: &[&str], page_items: usize) -> Self {
        let base = free_base();
        let ip = |last: usize| Ipv4Addr::new(127, base[0], base[1], u8::try_from(last).expect("a short list"));
        let store_address = |at: usize| SocketAddr::from((ip(2), 8300 + u16::try_from(at).expect("a short list")));
        let addresses: Vec<SocketAddr> = (0..zones.len()).map(store_address).collect();
        let store = Store::start(&addresses, page_items);
        let seeds: Vec<String> = (0..zones.len().min(3)).map(|at| format!("{}:8229", ip(10 + at))).collect();
        let mut all_zones: Vec<&str> = zones.to_vec();
        all_zones.dedup();
        let members = zones.iter().enumerate().map(|(at, &zone)| {
            let settings = folder.join(format!("member-{at}.conf"));
            let text = settings_text(at, ip(10 + at), zone, &all_zones, &seeds.join(","), addresses[at]);
            fs::write(&settings, text).expect("settings can be written");
            Arc::new(Member {
                index: at,
                ip: ip(10 + at),
                child: Mutex::new(None),
                settings,
                log: folder.join(format!("member-{at}.log")),
                disturbed: Mutex::new(Duration::ZERO),
            })
        });
        let members = members.collect();
        let program = std::env::current_dir().expect("a folder").join("target/release/primrosechute");
        Fleet {
            record,
            store,
            members,
            workers: Mutex::default(),
            arrivals: Arc::default(),
            base,
            program,
        }
    }

    pub fn add_worker(&self, plan: &Plan<'_>) -> Arc<Worker> {
        let mut workers = self.workers.lock().expect("workers");
        let index = workers.len();
        let port = 9000 + u16::try_from(index).expect("a short list");
        let address = SocketAddr::from(([127, self.base[0], self.base[1], 3], port));
        let worker = Worker::start(index, address, plan, &self.record, &self.store, &self.arrivals);
        workers.push(Arc::clone(&worker));
        worker
    }

    pub fn start_members(&self) {
        for member in &self.members {
            self.start_member(member);
        }
        for member in &self.members {
            assert!(member.wait_until_ready(Duration::from_secs(10)), "a member does not become ready");
        }
        self.record.show(&format!("{} members are ready", self.members.len()));
    }

    pub fn start_member(&self, member: &Member) {
        let log = File::options().create(true).append(true).open(&member.log).expect("a log");
        let err = log.try_clone().expect("a log");
        let child = Command::new(&self.program)
            .arg("member")
            .env_clear()
            .env("PRIMROSECHUTE_NODE_FILE", &member.settings)
            .env("PATH", "/usr/bin:/bin")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(err)
            .spawn()
            .expect("the program of the deploy file starts");
        // `run.sh` ends the processes that are left if the case can't.
        let pids = File::options().create(true).append(true).open(member.log.with_file_name("pids"));
        let _ = writeln!(pids.expect("a list of processes"), "{}", child.id());
        *member.disturbed.lock().expect("disturbed") = self.record.now();
        *member.child.lock().expect("child") = Some(child);
        self.record.line(&format!("member {} starts", member.index));
    }

    pub fn signal(&self, member: &Member, signal: i32) {
        let mut child = member.child.lock().expect("child");
        if let Some(child) = child.as_mut()
            && matches!(child.try_wait(), Ok(None))
        {
            *member.disturbed.lock().expect("disturbed") = self.record.now();
            kill(i32::try_from(child.id()).expect("a process id"), signal);
            self.record.line(&format!("member {} gets signal {signal}", member.index));
        }
    }

    /// SIGTERM; the process ends by itself, and is killed after `grace_s` (8 s). Then it starts again.
    pub fn restart(&self, member: &Member) {
        self.signal(member, TERM);
        let deadline = Instant::now() + Duration::from_secs(8);
        loop {
            let mut child = member.child.lock().expect("child");
            let Some(process) = child.as_mut() else { break };
            if matches!(process.try_wait(), Ok(Some(_))) {
                break;
            }
            if Instant::now() > deadline {
                let _ = process.kill();
                let _ = process.wait();
                break;
            }
            drop(child);
            thread::sleep(Duration::from_millis(10));
        }
        self.record.line(&format!("member {} has ended", member.index));
        self.start_member(member);
        assert!(member.wait_until_ready(Duration::from_secs(10)), "a member does not become ready");
        self.record.line(&format!("member {} is ready again", member.index));
    }

    /// Resident memory of a member's process, as the system reports it.
    pub fn memory(&self, member: usize) -> String {
        let child = self.members[member].child.lock().expect("child");
        let pid = child.as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.unwrap_or_default().trim().to_owned()
    }

    /// Fetches the metrics of a member, as the platform does while it examines an incident.
    pub fn fetch_metrics(&self, member: usize) {
        let address = SocketAddr::from((self.members[member].ip, 9464));
        let mut stream = TcpStream::connect(address).expect("the metrics");
        let sent = stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n");
        sent.expect("the metrics");
        let answer = http::read(&mut BufReader::new(stream)).expect("the metrics");
        assert_eq!(answer.status(), 200, "the metrics");
    }

    pub fn stop_members(&self) {
        for member in &self.members {
            if let Some(mut child) = member.child.lock().expect("child").take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }

    /// Sends one request of a client to a member on a new channel. Returns when it was sent and the
    /// answer, if one came complete.
    pub fn call(&self, member: &Member, request: &Request<'_>) -> Call {
        let mut call = Call {
            sent: self.record.now(),
            answer: None,
            connected: false,
        };
        let address = SocketAddr::from((member.ip, 8221));
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
            return call;
        };
        call.connected = true;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(request.deadline + Duration::from_secs(1)));
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\nAuthorization: Bearer {}\r\nContent-Length: {}\r\n\r\n",
            request.path,
            request.attempt,
            request.deadline.as_millis(),
            request.key,
            request.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(request.body);
        call.sent = self.record.now();
        self.record.line_at(call.sent, &format!("client sends {} {} to member {}", request.attempt, request.path, member.index));
        if stream.write_all(&bytes).is_ok() {
            call.answer = http::read(&mut BufReader::new(stream));
        }
        let status = call.answer.as_ref().map_or(0, Message::status);
        let shown = call.answer.as_ref().map(|answer| String::from_utf8_lossy(&answer.body).into_owned()).unwrap_or_default();
        self.record.line(&format!("client has {status} for {}: {shown}", request.attempt));
        call
    }
}

pub struct Request<'a> {
    pub path: &'a str,
    pub attempt: &'a str,
    pub key: &'a str,
    pub deadline: Duration,
    pub body: &'a [u8],
}

pub struct Call {
    pub sent: Duration,
    pub answer: Option<Message>,
    pub connected: bool,
}

impl Call {
    /// Status of the answer; 0 without one.
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, Message::status)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop_members();
        self.record.flush();
    }
}

impl Member {
    /// Time of the last signal or start of this member.
    pub fn disturbed(&self) -> Duration {
        *self.disturbed.lock().expect("disturbed")
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::from((self.ip, 8224));
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let sent = stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n");
        sent.is_ok() && http::read(&mut BufReader::new(stream)).is_some_and(|answer| answer.status() == 200)
    }

    pub fn wait_until_ready(&self, longest: Duration) -> bool {
        let deadline = Instant::now() + longest;
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

/// The settings file of DEPLOY.md, with the bounds of rota-playas.
fn settings_text(at: usize, ip: Ipv4Addr, zone: &str, zones: &[&str], seeds: &str, store: SocketAddr) -> String {
    let zones: String = zones.iter().map(|zone| format!("zones.{zone}=costa-atl\n")).collect();
    format!(
        "node_name=edge-{zone}-{at}\nrole=member\nmachine_class=edge\nserves=edge,control,registry\nip={ip}\n\
zone={zone}\nregion=costa-atl\n{zones}\
listen.frontend={ip}:8221\nlisten.readiness={ip}:8224\nlisten.control_plane={ip}:8229\nlisten.directory={ip}:8220\n\
internal_ports=7600,7615\nseeds={seeds}\nbootstrap=true\ncounts_as_loss=false\n\
limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=110\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n\
discovery=platform\nentry=registry\nheartbeat_ms=1200\n\
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,places,platform\n\
fault_tolerance.machines=1\nfault_tolerance.zones=1\nfault_tolerance.regions=0\n\
bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.stable_window_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\n\
bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n\
bounds.rollback_slack_ms=250\nbounds.partition_max_ms=5000\nbounds.revoke_strict=false\nbounds.revoke_ms=5000\n\
bounds.retry_budget_ratio=0.2\nbounds.retry_window_s=10\nbounds.retry_slack=58\nbounds.quota_window_s=8\n\
bounds.quota_overage=0.25\nbounds.quota_slack=140000\nbounds.cold_overage=1.5\nbounds.cold_slack=5\n\
bounds.evacuation_ms=5000\nbounds.recovery_s=12\nbounds.iteration_ms=120\nbounds.retry_after_s=7\nbounds.ttl_max_s=5\n\
platform.address={store}\nplatform.form=read\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n\
platform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n"
    )
}

/// The configuration: one route that is `non_idempotent` to one service, and one tenant with `keys`.
pub fn config(version: u64, service: &str, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-1","host":"shop.example","prefix":"/swap/","type":"non_idempotent","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"{service}","max_attempts":1,"public":false,"sticky":false,"resumable":false}}],"services":[{{"name":"{service}","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":[{keys}],"priority":1,"unit":"token","uncached_tokens":200,"rate_per_s":203784,"burst":203784}}]}}"#
    )
}
