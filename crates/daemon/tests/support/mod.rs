//! Sites of real daemon processes with stand-in targets, built from the example sheets.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod load;
pub mod messages;
pub mod single_daemon;
pub mod small_site;
pub mod stalled_listener;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::json;
use sheet::{PoolKind, Settings, Sheet};
use testkit::client::{Call, Client, ClientError, ClientResponse};
use testkit::fleet::{Fleet, FleetBuilder, fast_timing};
use testkit::{Engine, EngineConfig, PlainService};

/// Upper bound of every wait; only a failing test reaches it.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Running daemons with the sheet that they use and the stand-ins of its targets.
pub struct Site {
    pub fleet: Fleet,
    pub sheet: Sheet,
    pub engines: BTreeMap<String, Engine>,
    pub services: BTreeMap<String, PlainService>,
}

fn example_dir(site: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(site)
}

/// Names and zones of the VMs of an example site.
fn site_vms(site: &str) -> Vec<(String, String)> {
    let mut vms: Vec<_> = std::fs::read_dir(example_dir(site))
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "jsonc")
        })
        .map(|path| {
            let text = std::fs::read_to_string(&path).unwrap();
            let settings = Settings::parse(&text, &path.display().to_string()).unwrap();
            (settings.vm.to_string(), settings.zone.to_string())
        })
        .collect();
    vms.sort();
    vms
}

/// Fleet builder with the VMs of an example site and fast timing.
pub fn builder(site: &str) -> FleetBuilder {
    let mut builder = Fleet::builder(env!("CARGO_BIN_EXE_primrosechute"))
        .setting("timing", fast_timing())
        .setting("log", json!({ "level": "debug" }))
        .ready_timeout(WAIT_TIMEOUT);
    for (vm, zone) in site_vms(site) {
        builder = builder.vm(&vm, &zone);
    }
    builder
}

/// Loopback address with a port that the system chooses.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Configuration of a fast engine with the speed, cold limit and fencing of its sheet row.
fn engine_config(target: &sheet::Target) -> EngineConfig {
    EngineConfig {
        speed: target.speed,
        time_scale: 0.05,
        cold_limit: usize::try_from(target.cold_limit).unwrap(),
        load_lag: Duration::from_millis(200),
        check_fencing: target.fencing,
        ..EngineConfig::default()
    }
}

impl Site {
    /// Starts the targets and daemons of an example site and waits until they are ready and have
    /// tokens.
    pub async fn start(site: &str) -> Site {
        Site::start_with(site, builder(site), |_| {}).await
    }

    /// Like [`start`](Self::start), but changes the sheet before it is published.
    pub async fn start_with(
        site: &str,
        builder: FleetBuilder,
        change: impl FnOnce(&mut Sheet),
    ) -> Site {
        let csv = std::fs::read(example_dir(site).join("sheet.csv")).unwrap();
        let mut sheet = Sheet::parse(&csv).unwrap();
        change(&mut sheet);
        let mut site = Site::prepare(sheet, builder).await;
        site.launch().await;
        site
    }

    /// Starts the targets of a sheet and publishes it with their addresses; starts no daemon.
    pub async fn prepare(mut sheet: Sheet, builder: FleetBuilder) -> Site {
        let mut fleet = builder.start().await.unwrap();
        let (mut engines, mut services) = (BTreeMap::new(), BTreeMap::new());
        let kinds = sheet.pools.clone();
        for (name, target) in &mut sheet.targets {
            let address = match kinds[&target.pool].kind {
                PoolKind::Engine => {
                    let engine = Engine::start(any_port(), engine_config(target))
                        .await
                        .unwrap();
                    let address = engine.addr();
                    engines.insert(name.to_string(), engine);
                    address
                }
                PoolKind::Service => {
                    let service = PlainService::start(any_port()).await.unwrap();
                    let address = service.addr();
                    services.insert(name.to_string(), service);
                    address
                }
            };
            target.address = fleet.add_target(name, address).await.unwrap();
        }
        let site = Site {
            fleet,
            sheet,
            engines,
            services,
        };
        site.publish();
        site
    }

    /// Starts all daemons and waits until they are ready and have tokens.
    pub async fn launch(&mut self) {
        self.fleet.launch_all().await.unwrap();
        self.wait_for_tokens().await;
    }

    /// Waits until each workspace has a quarter of its burst, since buckets of a new fleet start
    /// empty.
    async fn wait_for_tokens(&self) {
        let wait = async {
            while !self.has_tokens().await {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, wait)
            .await
            .expect("the token buckets fill");
    }

    async fn has_tokens(&self) -> bool {
        let mut tokens: BTreeMap<String, u64> = BTreeMap::new();
        for vm in self.fleet.names() {
            let status = self.status(&vm).await;
            for share in status["shares"].as_array().unwrap() {
                let workspace = share["workspace"].as_str().unwrap();
                *tokens.entry(workspace.to_string()).or_default() +=
                    share["tokens"].as_u64().unwrap();
            }
        }
        self.sheet.workspaces.iter().all(|(name, workspace)| {
            tokens.get(&**name).copied().unwrap_or(0) >= workspace.burst / 4
        })
    }

    /// Publishes the current sheet.
    pub fn publish(&self) {
        let csv = self.sheet.to_csv();
        self.fleet
            .platform()
            .sheets
            .publish(self.sheet.revision, csv);
    }

    /// Changes the sheet and publishes it with the next revision.
    pub fn change(&mut self, change: impl FnOnce(&mut Sheet)) {
        change(&mut self.sheet);
        self.sheet.revision += 1;
        self.publish();
    }

    pub fn client(&self, vm: &str) -> Client {
        self.fleet.client(vm)
    }

    /// Status document of a VM, from its admin address.
    pub async fn status(&self, vm: &str) -> serde_json::Value {
        let response = self
            .fleet
            .admin_client(vm)
            .call(Call::get("/status"))
            .await
            .unwrap();
        response.json()
    }

    /// Waits until the status of a VM meets a condition.
    pub async fn wait_status(
        &self,
        vm: &str,
        what: &str,
        condition: impl Fn(&serde_json::Value) -> bool,
    ) {
        let wait = async {
            while !condition(&self.status(vm).await) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let reached = tokio::time::timeout(WAIT_TIMEOUT, wait).await.is_ok();
        assert!(
            reached,
            "{vm} did not reach the status {what:?} in time:\n{}",
            self.status(vm).await
        );
    }

    /// Incarnation of a VM's daemon, from its own entry list.
    pub async fn incarnation(&self, vm: &str) -> String {
        let response = self
            .client(vm)
            .call(Call::get("/v1/entries"))
            .await
            .unwrap();
        let entries = response.json();
        let own = entries["entries"]
            .as_array()
            .unwrap()
            .iter()
            .find(|entry| entry["vm"] == vm)
            .unwrap_or_else(|| panic!("{vm} is not in its own entry list"));
        own["incarnation"].as_str().unwrap().to_string()
    }

    /// Number of engine runs and service calls by request id, over all targets.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        let mut runs = BTreeMap::new();
        let engines = self.engines.values().map(Engine::run_counts);
        let services = self.services.values().map(PlainService::call_counts);
        for (id, count) in engines.chain(services).flatten() {
            // Polls of load reports have no request id.
            if !id.is_empty() {
                *runs.entry(id).or_default() += count;
            }
        }
        runs
    }
}

/// A completion call with a prompt of about `bytes` bytes that is unique to `seed`.
pub fn completion_call(seed: u64, bytes: usize, tokens: u32, stream: bool) -> Call {
    let text = format!("{seed} ").repeat(bytes / 8 + 1);
    let body = json!({ "prompt": text, "max_tokens": tokens, "stream": stream });
    Call::json("/v1/completions", &body).timeout(WAIT_TIMEOUT)
}

/// Like [`completion_call`], for the chat endpoint.
pub fn chat_call(seed: u64, bytes: usize, tokens: u32, stream: bool) -> Call {
    let text = format!("{seed} ").repeat(bytes / 8 + 1);
    let message = json!({ "role": "user", "content": text });
    let body = json!({ "messages": [message], "max_tokens": tokens, "stream": stream });
    Call::json("/v1/chat/completions", &body).timeout(WAIT_TIMEOUT)
}

/// Outcome and reason from the headers of a response.
pub fn outcome_and_reason(response: &ClientResponse) -> (String, String) {
    (
        response.header("x-primrosechute-outcome").to_string(),
        response.header("x-primrosechute-reason").to_string(),
    )
}

/// Sends calls concurrently and returns the responses in the order of the calls.
pub async fn send_all(calls: Vec<(Client, Call)>) -> Vec<Result<ClientResponse, ClientError>> {
    let tasks: Vec<_> = calls
        .into_iter()
        .map(|(client, call)| tokio::spawn(async move { client.call(call).await }))
        .collect();
    let mut responses = Vec::with_capacity(tasks.len());
    for task in tasks {
        responses.push(task.await.unwrap());
    }
    responses
}
