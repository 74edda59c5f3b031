//! One daemon process with a sheet file, a stand-in engine and a stand-in service.

use std::fs::{File, read_to_string};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Output, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tempfile::TempDir;
use testkit::client::{Call, Client};
use testkit::{
    Engine, EngineConfig, PlainService, ReservedPort, RouteRow, SheetBuilder, TargetRow,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};

use super::LONG;

/// Key of workspace `w1` for all tiers.
pub const KEY: &str = "plain-key-of-w1-for-all-tiers";
/// Key of workspace `w1` for the lowest tier only.
pub const LOW_KEY: &str = "plain-key-of-w1-for-the-low-tier";
/// Key that is withdrawn.
pub const OLD_KEY: &str = "plain-key-of-w1-that-is-withdrawn";

/// One daemon and its surroundings. Dropping it ends the process.
pub struct Single {
    pub entry: SocketAddr,
    pub admin: SocketAddr,
    pub peer: SocketAddr,
    pub engine: Engine,
    pub service: PlainService,
    pub sheet: SheetBuilder,
    dir: TempDir,
    child: Option<Child>,
    _ports: [ReservedPort; 3],
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Sheet with one engine and one service: keyed `/v1/completions` and `/app`, open `/open`.
fn sheet(engine: SocketAddr, service: SocketAddr) -> SheetBuilder {
    let mut sheet = SheetBuilder::new("single");
    let model = RouteRow {
        max_body: "4KiB".to_owned(),
        max_tokens: 100,
        idempotent: true,
        ..RouteRow::new("llm", "mid")
    };
    let app = RouteRow {
        max_tokens: 1,
        ..RouteRow::new("app", "mid")
    };
    let open = RouteRow {
        keyed: false,
        ..app.clone()
    };
    sheet
        .zone("zone-a")
        .tier("top")
        .tier("mid")
        .tier("low")
        .workspace("w1", 1_000_000, 10_000_000)
        .key("k-all", "w1", "top", KEY)
        .key("k-low", "w1", "low", LOW_KEY)
        .key("k-old", "w1", "top", OLD_KEY)
        .withdraw_key("k-old")
        .engine_pool("llm")
        .service_pool("app")
        .target("llm-1", &TargetRow::new("llm", "zone-a", engine, 100_000))
        .target("app-1", &TargetRow::new("app", "zone-a", service, 1_000))
        .route("/v1/completions", &model)
        .route("/app", &app)
        .route("/open", &open);
    sheet
}

impl Single {
    /// Starts stand-ins and reserves addresses, but starts no daemon.
    pub async fn prepare() -> Single {
        let config = EngineConfig {
            time_scale: 0.05,
            ..EngineConfig::default()
        };
        let engine = Engine::start(loopback(), config).await.unwrap();
        let service = PlainService::start(loopback()).await.unwrap();
        let ports = [(); 3].map(|()| ReservedPort::loopback().unwrap());
        let [entry, admin, peer] = [&ports[0], &ports[1], &ports[2]].map(ReservedPort::addr);
        Single {
            entry,
            admin,
            peer,
            sheet: sheet(engine.addr(), service.addr()),
            engine,
            service,
            dir: tempfile::tempdir().unwrap(),
            child: None,
            _ports: ports,
        }
    }

    /// Starts everything with the given settings and waits until the daemon is ready.
    pub async fn start(settings: &Value) -> Single {
        let mut single = Single::prepare().await;
        single.spawn(settings);
        single.wait_ready().await;
        single
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Writes the sheet file as the builder has it now.
    pub fn write_sheet(&self) {
        std::fs::write(self.path("sheet.csv"), self.sheet.csv()).unwrap();
    }

    /// Writes sheet and settings and starts the daemon.
    pub fn spawn(&mut self, settings: &Value) {
        self.write_sheet();
        let mut all = json!({
            "vm": "vm-1",
            "zone": "zone-a",
            "entry": self.entry,
            "admin": self.admin,
            "sheet": { "file": self.path("sheet.csv") },
            "timing": { "load_poll": "50ms", "heartbeat": "50ms", "silent": "500ms" },
            "log": { "level": "debug" },
        });
        for (field, value) in settings.as_object().unwrap() {
            all[field] = value.clone();
        }
        let config = self.path("site.jsonc");
        std::fs::write(&config, all.to_string()).unwrap();
        let child = command("serve", &config)
            .stderr(File::create(self.path("log")).unwrap())
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    pub async fn wait_ready(&self) {
        let client = Client::new(self.admin);
        let ready = async || match client.call(Call::get("/readyz")).await {
            Ok(answer) => answer.status.is_success(),
            Err(_) => false,
        };
        wait("the daemon is ready", || self.log(), ready).await;
    }

    /// Waits until the status fulfils a condition, and returns it.
    pub async fn wait_status(&self, what: &str, condition: impl Fn(&Value) -> bool) -> Value {
        let fulfilled = async || condition(&self.status().await);
        wait(what, || self.log(), fulfilled).await;
        self.status().await
    }

    /// Waits until the log has a text at least `times` times.
    pub async fn wait_log(&self, text: &str, times: usize) {
        let found = async || self.log().matches(text).count() >= times;
        wait(text, || self.log(), found).await;
    }

    /// Waits until the sum of a counter's series with all the given labels is at least `least`.
    pub async fn wait_counter(&self, name: &str, labels: &[&str], least: u64) {
        let reached = async || self.counter(name, labels).await >= least;
        wait(name, || self.log(), reached).await;
    }

    pub fn log(&self) -> String {
        read_to_string(self.path("log")).unwrap_or_default()
    }

    pub async fn status(&self) -> Value {
        let call = Client::new(self.admin).call(Call::get("/status")).await;
        // Without an answer the daemon has not started yet.
        call.map_or(Value::Null, |answer| answer.json())
    }

    /// Sum over the series of a counter that have all the given labels, as `reason="key"`.
    pub async fn counter(&self, name: &str, labels: &[&str]) -> u64 {
        let call = Client::new(self.admin).call(Call::get("/metrics")).await;
        let text = String::from_utf8(call.unwrap().body.to_vec()).unwrap();
        let series = text.lines().filter(|line| line.starts_with(name));
        series
            .filter(|line| labels.iter().all(|label| line.contains(label)))
            .map(|line| line.rsplit(' ').next().unwrap().parse::<u64>().unwrap())
            .sum()
    }

    /// Prefix of ids that the daemon takes as its own.
    pub async fn incarnation(&self) -> String {
        let call = Client::new(self.entry).call(Call::get("/v1/entries")).await;
        let entries = call.unwrap().json();
        entries["entries"][0]["incarnation"]
            .as_str()
            .unwrap()
            .to_owned()
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(self.pid(), signal).unwrap();
    }

    fn pid(&self) -> Pid {
        let id = self.child.as_ref().and_then(Child::id).unwrap();
        Pid::from_raw(i32::try_from(id).unwrap()).unwrap()
    }

    /// Resident memory in bytes.
    pub fn resident(&self) -> u64 {
        let path = format!("/proc/{}/statm", self.pid().as_raw_nonzero());
        let text = read_to_string(path).unwrap();
        let pages: u64 = text.split(' ').nth(1).unwrap().parse().unwrap();
        pages * rustix::param::page_size() as u64
    }

    /// Paths that the service was called with, without the reads of its load.
    pub fn service_paths(&self) -> Vec<String> {
        let paths = self.service.calls().into_iter().map(|call| call.path);
        paths.filter(|path| path != "/load").collect()
    }

    /// Number of runs at both stand-ins.
    pub fn runs(&self) -> usize {
        self.engine.records().len() + self.service_paths().len()
    }

    /// Checks that the daemon still serves a model call.
    pub async fn assert_serves(&self) {
        let body = json!({ "prompt": "still there?", "max_tokens": 2 });
        let call = Call::json("/v1/completions", &body).key(KEY).timeout(LONG);
        let answer = Client::new(self.entry).call(call).await.unwrap();
        assert!(answer.status.is_success(), "{answer:?}\n{}", self.log());
    }
}

/// Waits until an event is seen, looking again and again where nothing announces it.
pub async fn wait(what: &str, log: impl Fn() -> String, mut seen: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !seen().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let came = tokio::time::timeout(LONG, wait).await.is_ok();
    assert!(came, "did not come: {what}\n{}", log());
}

fn command(subcommand: &str, config: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_primrosechute"));
    command
        .args([subcommand, "--config"])
        .arg(config)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .kill_on_drop(true);
    command
}

/// Runs a subcommand on a settings file to its end.
pub async fn run(subcommand: &str, config: &Path, args: &[&str]) -> Output {
    let mut command = command(subcommand, config);
    command
        .args(args)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let ended = tokio::time::timeout(LONG, command.output()).await;
    ended.expect("the process ends").unwrap()
}

/// An answer as it came over the connection.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Reply {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

/// Sends bytes and reads until the daemon closes the connection.
pub async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // A daemon that refuses early may close before it has all bytes.
    let _ = stream.write_all(bytes).await;
    read_to_end(&mut stream).await
}

/// Reads until the daemon closes the connection, with a reset or without.
pub async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let read = tokio::time::timeout(LONG, stream.read_to_end(&mut answer)).await;
    let _ = read.expect("the daemon closes the connection");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Takes answers with a content length apart.
pub fn replies(mut text: &str) -> Vec<Reply> {
    let mut replies = Vec::new();
    while let Some((head, rest)) = text.split_once("\r\n\r\n") {
        let mut lines = head.split("\r\n");
        let status = lines.next().unwrap().split(' ').nth(1).unwrap();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(": "))
            .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
            .collect();
        let length = headers.iter().find(|(name, _)| name == "content-length");
        let length = length.map_or(0, |(_, value)| value.parse().unwrap());
        replies.push(Reply {
            status: status.parse().unwrap(),
            headers,
            body: rest[..length].to_owned(),
        });
        text = &rest[length..];
    }
    replies
}

/// Bytes of a request whose last header ends the connection.
pub fn request(line: &str, headers: &[&str], body: &str) -> Vec<u8> {
    let mut lines = vec![line, " HTTP/1.1\r\nhost: daemon\r\nconnection: close"];
    for header in headers {
        lines.extend(["\r\n", header]);
    }
    let length = format!("\r\ncontent-length: {}", body.len());
    if !body.is_empty() {
        lines.push(&length);
    }
    lines.extend(["\r\n\r\n", body]);
    lines.concat().into_bytes()
}

/// The only answer on a connection that the daemon closed.
pub async fn send(single: &Single, bytes: &[u8]) -> Reply {
    let text = exchange(single.entry, bytes).await;
    let mut replies = replies(&text);
    assert_eq!(replies.len(), 1, "{text}");
    replies.remove(0)
}

/// Checks status, headers and problem document of a refusal.
pub fn check_refusal(what: &str, reply: &Reply, status: u16, reason: &str, detail: &str) {
    assert_eq!(reply.status, status, "{what}: {reply:?}");
    assert_eq!(reply.header("x-primrosechute-outcome"), "refused", "{what}");
    assert_eq!(reply.header("x-primrosechute-reason"), reason, "{what}");
    let kind = reply.header("content-type");
    assert_eq!(kind, "application/problem+json", "{what}");
    let problem = reply.json();
    let expected = json!({
        "type": "about:blank",
        "title": "refused",
        "status": status,
        "detail": detail,
        "outcome": "refused",
        "reason": reason,
        "tier": null,
        "not_run": true,
        "request_id": reply.header("x-request-id"),
    });
    assert_eq!(problem, expected, "{what}");
}
