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

use super::WAIT_TIMEOUT;

/// Key of workspace `w1` for all tiers.
pub const KEY: &str = "plain-key-of-w1-for-all-tiers";
/// Key of workspace `w1` for the lowest tier only.
pub const LOW_KEY: &str = "plain-key-of-w1-for-the-low-tier";
/// Key of workspace `w1` that is withdrawn.
pub const OLD_KEY: &str = "plain-key-of-w1-that-is-withdrawn";

/// One daemon with its stand-ins, sheet and working directory. Dropping it kills the process.
pub struct SingleDaemon {
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

/// Loopback address with a port that the system chooses.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Sheet with one engine and one service. `/v1/completions` and `/app` need a key, `/open` doesn't.
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

impl SingleDaemon {
    /// Starts the stand-ins and reserves ports, but starts no daemon.
    pub async fn prepare() -> SingleDaemon {
        let config = EngineConfig {
            time_scale: 0.05,
            ..EngineConfig::default()
        };
        let engine = Engine::start(any_port(), config).await.unwrap();
        let service = PlainService::start(any_port()).await.unwrap();
        let ports = [(); 3].map(|()| ReservedPort::loopback().unwrap());
        let [entry, admin, peer] = [&ports[0], &ports[1], &ports[2]].map(ReservedPort::addr);
        SingleDaemon {
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

    /// Starts stand-ins and daemon with the given settings and waits until the daemon is ready.
    pub async fn start(settings: &Value) -> SingleDaemon {
        let mut daemon = SingleDaemon::prepare().await;
        daemon.spawn(settings);
        daemon.wait_ready().await;
        daemon
    }

    /// Path of a file in the working directory.
    pub fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Writes the current sheet of the builder to the sheet file.
    pub fn write_sheet(&self) {
        std::fs::write(self.path("sheet.csv"), self.sheet.csv()).unwrap();
    }

    /// Writes the sheet and settings files and starts the daemon. `settings` replace the defaults
    /// by top-level key.
    pub fn spawn(&mut self, settings: &Value) {
        self.write_sheet();
        let mut config = json!({
            "vm": "vm-1",
            "zone": "zone-a",
            "entry": self.entry,
            "admin": self.admin,
            "sheet": { "file": self.path("sheet.csv") },
            "timing": { "load_poll": "50ms", "heartbeat": "50ms", "silent": "500ms" },
            "log": { "level": "debug" },
        });
        for (field, value) in settings.as_object().unwrap() {
            config[field] = value.clone();
        }
        let config_path = self.path("site.jsonc");
        std::fs::write(&config_path, config.to_string()).unwrap();
        let child = command("serve", &config_path)
            .stderr(File::create(self.path("log")).unwrap())
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    pub async fn wait_ready(&self) {
        let client = Client::new(self.admin);
        let ready = async || match client.call(Call::get("/readyz")).await {
            Ok(response) => response.status.is_success(),
            Err(_) => false,
        };
        poll_until("the daemon is ready", || self.log(), ready).await;
    }

    /// Waits until the status meets a condition, then reads it again and returns it.
    pub async fn wait_status(&self, what: &str, condition: impl Fn(&Value) -> bool) -> Value {
        let holds = async || condition(&self.status().await);
        poll_until(what, || self.log(), holds).await;
        self.status().await
    }

    /// Waits until the log contains a text at least `times` times.
    pub async fn wait_log(&self, text: &str, times: usize) {
        let found = async || self.log().matches(text).count() >= times;
        poll_until(text, || self.log(), found).await;
    }

    /// Waits until the sum of a counter's series with all the given labels is at least `minimum`.
    pub async fn wait_counter(&self, name: &str, labels: &[&str], minimum: u64) {
        let reached = async || self.counter(name, labels).await >= minimum;
        poll_until(name, || self.log(), reached).await;
    }

    pub fn log(&self) -> String {
        read_to_string(self.path("log")).unwrap_or_default()
    }

    pub async fn status(&self) -> Value {
        let call = Client::new(self.admin).call(Call::get("/status")).await;
        // A daemon that is still starting does not respond.
        call.map_or(Value::Null, |response| response.json())
    }

    /// Sum over the series of a counter that have all the given labels, each written as
    /// `reason="key"`.
    pub async fn counter(&self, name: &str, labels: &[&str]) -> u64 {
        let call = Client::new(self.admin).call(Call::get("/metrics")).await;
        let text = String::from_utf8(call.unwrap().body.to_vec()).unwrap();
        let series = text.lines().filter(|line| line.starts_with(name));
        series
            .filter(|line| labels.iter().all(|label| line.contains(label)))
            .map(|line| line.rsplit(' ').next().unwrap().parse::<u64>().unwrap())
            .sum()
    }

    /// Incarnation of the daemon, which is the prefix of the request ids that it accepts as its
    /// own.
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
    pub fn resident_bytes(&self) -> u64 {
        let path = format!("/proc/{}/statm", self.pid().as_raw_nonzero());
        let text = read_to_string(path).unwrap();
        let pages: u64 = text.split(' ').nth(1).unwrap().parse().unwrap();
        pages * rustix::param::page_size() as u64
    }

    /// Paths of the calls to the service, without the polls of its load.
    pub fn service_paths(&self) -> Vec<String> {
        let paths = self.service.calls().into_iter().map(|call| call.path);
        paths.filter(|path| path != "/load").collect()
    }

    /// Number of engine runs and service calls.
    pub fn runs(&self) -> usize {
        self.engine.records().len() + self.service_paths().len()
    }

    /// Asserts that the daemon still serves a model call.
    pub async fn assert_serves(&self) {
        let body = json!({ "prompt": "still there?", "max_tokens": 2 });
        let call = Call::json("/v1/completions", &body)
            .key(KEY)
            .timeout(WAIT_TIMEOUT);
        let response = Client::new(self.entry).call(call).await.unwrap();
        assert!(response.status.is_success(), "{response:?}\n{}", self.log());
    }
}

/// Polls until a condition holds. On timeout, panics with the log.
pub async fn poll_until(
    what: &str,
    log: impl Fn() -> String,
    mut condition: impl AsyncFnMut() -> bool,
) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let reached = tokio::time::timeout(WAIT_TIMEOUT, wait).await.is_ok();
    assert!(reached, "timed out waiting for: {what}\n{}", log());
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

/// Runs a subcommand on a settings file and waits for its exit.
pub async fn run_subcommand(subcommand: &str, config: &Path, args: &[&str]) -> Output {
    let mut command = command(subcommand, config);
    command
        .args(args)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let output = tokio::time::timeout(WAIT_TIMEOUT, command.output()).await;
    output.expect("the process ends").unwrap()
}

/// An HTTP/1.1 response as received.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Response {
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
    // A daemon that refuses early may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    read_to_end(&mut stream).await
}

/// Reads until the daemon closes or resets the connection.
pub async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    let read = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut response)).await;
    let _ = read.expect("the daemon closes the connection");
    String::from_utf8_lossy(&response).into_owned()
}

/// Parses consecutive responses, each with a content length or without a body.
pub fn parse_responses(mut text: &str) -> Vec<Response> {
    let mut responses = Vec::new();
    while let Some((head, rest)) = text.split_once("\r\n\r\n") {
        let mut lines = head.split("\r\n");
        let status = lines.next().unwrap().split(' ').nth(1).unwrap();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(": "))
            .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
            .collect();
        let length = headers.iter().find(|(name, _)| name == "content-length");
        let length = length.map_or(0, |(_, value)| value.parse().unwrap());
        responses.push(Response {
            status: status.parse().unwrap(),
            headers,
            body: rest[..length].to_owned(),
        });
        text = &rest[length..];
    }
    responses
}

/// Bytes of a request with `connection: close`.
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

/// Sends bytes on a new connection and returns the only response before the daemon closes it.
pub async fn send(daemon: &SingleDaemon, bytes: &[u8]) -> Response {
    let text = exchange(daemon.entry, bytes).await;
    let mut responses = parse_responses(&text);
    assert_eq!(responses.len(), 1, "{text}");
    responses.remove(0)
}

/// Asserts the status, headers and problem document of a refusal.
pub fn check_refusal(what: &str, response: &Response, status: u16, reason: &str, detail: &str) {
    assert_eq!(response.status, status, "{what}: {response:?}");
    assert_eq!(
        response.header("x-primrosechute-outcome"),
        "refused",
        "{what}"
    );
    assert_eq!(response.header("x-primrosechute-reason"), reason, "{what}");
    let content_type = response.header("content-type");
    assert_eq!(content_type, "application/problem+json", "{what}");
    let problem = response.json();
    let expected = json!({
        "type": "about:blank",
        "title": "refused",
        "status": status,
        "detail": detail,
        "outcome": "refused",
        "reason": reason,
        "tier": null,
        "not_run": true,
        "request_id": response.header("x-request-id"),
    });
    assert_eq!(problem, expected, "{what}");
}
