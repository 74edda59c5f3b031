//! A site of three VMs in one zone with few targets, for tests that control each stage of a
//! request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use sheet::Sheet;
use testkit::client::{Call, Client, ClientError, ClientResponse, StreamingResponse};
use testkit::fleet::{Fleet, FleetBuilder, fast_timing};
use testkit::{RouteRow, SheetBuilder, TargetRow, expected_text};
use tokio::task::JoinHandle;

use super::{Site, WAIT_TIMEOUT, completion_call};

pub const KEY: &str = "plain-key-one";
pub const OTHER_KEY: &str = "plain-key-two";

/// Concurrent requests that a cold engine of this site accepts.
const COLD_LIMIT: u32 = 1;

/// Fleet builder of `vm-1` to `vm-3` with short timeouts and proxies before peers and platform.
pub fn builder() -> FleetBuilder {
    builder_without_proxies().peer_proxies().platform_proxies()
}

/// Like [`builder`], but without proxies. With proxies, each VM reads a list with different peer
/// addresses, so a list relayed by a peer makes it dial its links again.
pub fn builder_without_proxies() -> FleetBuilder {
    Fleet::builder(env!("CARGO_BIN_EXE_primrosechute"))
        .vms(3, &["zone-a"])
        .setting("timing", fast_timing())
        .setting(
            "timing",
            // With `silent` at 600 ms, links broke and leases became uncertain at a load average of
            // 30.
            json!({
                "silent": "1s",
                "lease": "1500ms",
                "stream_silent": "500ms",
                "keepalive": "200ms",
                "drain": "30s",
            }),
        )
        .setting("log", json!({ "level": "debug" }))
        .ready_timeout(WAIT_TIMEOUT)
}

/// A sheet with engines `llm-1`... and plain services `app-1`.... Their addresses are placeholders
/// until the targets start.
pub fn sheet(engines: usize, services: usize) -> Sheet {
    // The sheet rejects duplicate addresses.
    let unset = |port: usize| SocketAddr::from(([127, 0, 0, 1], u16::try_from(port).unwrap()));
    let mut sheet = SheetBuilder::new("small");
    sheet
        .zone("zone-a")
        .tier("quick")
        .tier("long")
        .workspace("w1", 1_000_000, 1_000_000)
        .workspace("w2", 1_000_000, 1_000_000)
        .key("k1", "w1", "quick", KEY)
        .key("k2", "w2", "quick", OTHER_KEY)
        .engine_pool("llm")
        .service_pool("app");
    for n in 1..=engines {
        let mut row = TargetRow::new("llm", "zone-a", unset(n), 16_384);
        row.cold_limit = COLD_LIMIT;
        sheet.target(&format!("llm-{n}"), &row);
    }
    for n in 1..=services {
        let row = TargetRow::new("app", "zone-a", unset(100 + n), 1000);
        sheet.target(&format!("app-{n}"), &row);
    }
    let mut order = RouteRow::new("app", "quick");
    order.max_tokens = 10;
    order.deadline = "2s".to_string();
    sheet
        .route("/v1/completions", &RouteRow::new("llm", "quick"))
        .route("/v1/chat/completions", &RouteRow::new("llm", "quick"))
        .route("/orders", &order);
    Sheet::parse(sheet.csv().as_bytes()).unwrap()
}

/// Number of connects to a port that are still in the state `SYN_SENT`, from `/proc/net/tcp`; see
/// proc(5).
pub fn pending_connects(port: u16) -> usize {
    const SYN_SENT: &str = "02";
    let suffix = format!(":{port:04X}");
    let text = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = text.lines().skip(1).filter(|row| {
        let mut fields = row.split_whitespace().skip(2);
        let (remote, state) = (fields.next(), fields.next());
        remote.is_some_and(|remote| remote.ends_with(&suffix)) && state == Some(SYN_SENT)
    });
    rows.count()
}

/// Starts the small site.
pub async fn start(engines: usize, services: usize) -> Site {
    let mut site = Site::prepare(sheet(engines, services), builder()).await;
    site.launch().await;
    site
}

/// A model call of the first workspace with a body that is unique to `seed`.
pub fn model_call(seed: u64, tokens: u32, stream: bool) -> Call {
    completion_call(seed, 40, tokens, stream).key(KEY)
}

/// Sends a call in the background.
pub fn spawn(client: Client, call: Call) -> JoinHandle<Result<ClientResponse, ClientError>> {
    tokio::spawn(async move { client.call(call).await })
}

/// Polls until a condition holds.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let reached = tokio::time::timeout(WAIT_TIMEOUT, wait).await.is_ok();
    assert!(reached, "timed out waiting for: {what}");
}

/// Asserts that a response is successful and complete and belongs to this call.
pub fn assert_correct_response(call: &Call, response: &ClientResponse) {
    assert!(response.status.is_success(), "{response:?}");
    assert!(response.is_complete(), "{response:?}");
    let sent: serde_json::Value = serde_json::from_slice(call.sent_body()).unwrap();
    let tokens = u32::try_from(sent["max_tokens"].as_u64().unwrap()).unwrap();
    assert_eq!(response.text(), expected_text(call.sent_body(), tokens));
    if !response.events.is_empty() {
        assert!(response.is_done(), "{response:?}");
        let ids: Vec<String> = response
            .events
            .iter()
            .filter_map(|e| e.id.clone())
            .collect();
        let expected: Vec<String> = (0..tokens + 2).map(|id| id.to_string()).collect();
        assert_eq!(
            ids, expected,
            "events are missing, repeated or out of order"
        );
    }
}

/// Problem document of a response: the error event of a stream if there is one, else the body.
pub fn problem(response: &ClientResponse) -> serde_json::Value {
    let error = response
        .events
        .iter()
        .find(|event| event.kind.as_deref() == Some("error"));
    match error {
        Some(event) => serde_json::from_str(&event.data).unwrap(),
        None => response.json(),
    }
}

/// Reads the next `count` events of a stream.
pub async fn read_events(
    stream: &mut StreamingResponse,
    count: usize,
) -> Vec<testkit::client::Event> {
    let mut events = Vec::new();
    while events.len() < count {
        events.push(stream.next().await.expect("the stream has another event"));
    }
    events
}

impl Site {
    /// A request id with the incarnation of `vm`'s daemon, which only that daemon may dispatch.
    pub async fn request_id(&self, vm: &str, name: &str) -> String {
        format!("{}-{name}", self.incarnation(vm).await)
    }

    /// Owning VM by target, for all targets that have an owner.
    pub async fn owners(&self) -> BTreeMap<String, String> {
        let mut owners = BTreeMap::new();
        for vm in self.fleet.names() {
            let call = Call::get("/status").timeout(Duration::from_secs(5));
            let Ok(status) = self.fleet.admin_client(&vm).call(call).await else {
                continue;
            };
            for owned in status.json()["owned"].as_array().into_iter().flatten() {
                owners.insert(owned["target"].as_str().unwrap().to_string(), vm.clone());
            }
        }
        owners
    }

    /// Waits until a target has an owner and returns the owning VM.
    pub async fn owner(&self, target: &str) -> String {
        wait_until("the target has an owner", async || {
            self.owners().await.contains_key(target)
        })
        .await;
        self.owners().await.remove(target).unwrap()
    }

    /// All VMs but the given one.
    pub fn other_vms(&self, vm: &str) -> Vec<String> {
        let names = self.fleet.names().into_iter();
        names.filter(|name| name != vm).collect()
    }

    /// Waits until exactly `count` requests are queued at an owner.
    pub async fn wait_queue_length(&self, owner: &str, count: u64) {
        self.wait_status(owner, &format!("{count} waiting"), |status| {
            let pools = status["pools"].as_array().into_iter().flatten();
            let waiting = pools.flat_map(|pool| pool["waiting_by_tier"].as_array().unwrap());
            waiting.map(|n| n.as_u64().unwrap()).sum::<u64>() == count
        })
        .await;
    }

    /// Sum of a metric of a VM over all labels; 0 if the metric has no series yet.
    pub async fn metric(&self, vm: &str, name: &str) -> f64 {
        let call = Call::get("/metrics");
        let response = self.fleet.admin_client(vm).call(call).await.unwrap();
        let text = String::from_utf8(response.body.to_vec()).unwrap();
        let rows = text.lines().filter(|row| {
            let rest = row.strip_prefix(name);
            rest.is_some_and(|rest| rest.starts_with(['{', ' ']))
        });
        let values = rows.filter_map(|row| row.rsplit(' ').next()?.parse::<f64>().ok());
        values.sum()
    }

    /// Occupies the only engine of a pool with a run that lasts until the slowdown ends, so that
    /// later requests queue. Returns the call and its pending response.
    pub async fn block_engine(
        &self,
        engine: &str,
        vm: &str,
    ) -> (Call, JoinHandle<Result<ClientResponse, ClientError>>) {
        let engine = &self.engines[engine];
        engine.set_slowdown(1e6);
        let before = engine.stats().runs;
        let call = model_call(900_000 + before, 4, false);
        let blocker = spawn(self.client(vm), call.clone());
        engine.wait_for(|stats| stats.runs > before).await;
        (call, blocker)
    }

    /// Asserts that `count` sequential requests are served, which needs a free slot at a target.
    pub async fn assert_serves(&self, vm: &str, seed: u64, count: u64) {
        for n in 0..count {
            let call = model_call(seed + n, 3, false).header("x-primrosechute-deadline", "20s");
            let response = self.client(vm).call(call.clone()).await.unwrap();
            assert_correct_response(&call, &response);
        }
    }

    /// Asserts from the targets' records that no request ran twice, that no request ran whose
    /// response has `not_run` set, and that services got only load polls and calls with a
    /// request id.
    pub fn assert_runs_match_responses(&self, responses: &[&ClientResponse]) {
        let runs = self.runs();
        for (id, count) in &runs {
            assert_eq!(*count, 1, "request {id} ran more than once");
        }
        for response in responses {
            let problem = problem(response);
            if problem["not_run"] == true {
                let id = problem["request_id"].as_str().unwrap();
                assert!(
                    !runs.contains_key(id),
                    "{id} ran, but its response says: {problem}"
                );
            }
        }
        for (name, service) in &self.services {
            for call in service.calls() {
                let known = call.path.starts_with("/load") || !call.request_id.is_empty();
                assert!(known, "{name} got a call that no caller sent: {call:?}");
            }
        }
    }
}
