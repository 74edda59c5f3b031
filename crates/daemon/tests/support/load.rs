//! Open-loop load on fleets of identical daemons, and what the engines recorded of it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde_json::json;
use sheet::Sheet;
use testkit::client::{Call, Client, ClientError, ClientResponse};
use testkit::fleet::{Fleet, FleetBuilder, fast_timing};
use testkit::{RouteRow, RunRecord, SheetBuilder, TargetRow};
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinHandle;

use super::{WAIT_TIMEOUT, completion_call, outcome_and_reason};

/// Lets only one test of a process run a fleet at a time, to bound the number of daemons.
pub async fn fleet_lock() -> MutexGuard<'static, ()> {
    static FLEET: Mutex<()> = Mutex::const_new(());
    FLEET.lock().await
}

/// Fleet builder of `vm-1`... in two zones, with short timeouts and proxies before peers and
/// platform.
pub fn builder(vms: usize) -> FleetBuilder {
    Fleet::builder(env!("CARGO_BIN_EXE_primrosechute"))
        .vms(vms, &["zone-a", "zone-b"])
        .peer_proxies()
        .platform_proxies()
        .setting("timing", fast_timing())
        .setting("log", json!({ "level": "debug" }))
        .ready_timeout(WAIT_TIMEOUT)
}

/// A workspace row: name, rate and burst; its key is `key-<name>`.
pub type Workspace<'a> = (&'a str, u64, u64);

/// A sheet with two zones, engines `llm-1`... that alternate between them, and one route. `tiers`
/// are in rank order, highest first.
pub fn sheet(
    tiers: &[&str],
    workspaces: &[Workspace<'_>],
    engines: usize,
    capacity: u64,
    cold_limit: u32,
) -> Sheet {
    let mut sheet = SheetBuilder::new("load");
    sheet.zone("zone-a").zone("zone-b").engine_pool("llm");
    for tier in tiers {
        sheet.tier(tier);
    }
    for (name, rate, burst) in workspaces {
        sheet
            .workspace(name, *rate, *burst)
            .key(&format!("k-{name}"), name, tiers[0], &key(name));
    }
    for n in 1..=engines {
        // A placeholder until the engine starts; the sheet rejects duplicate addresses.
        let unset = SocketAddr::from(([127, 0, 0, 1], u16::try_from(n).unwrap()));
        let zone = ["zone-b", "zone-a"][n % 2];
        let mut row = TargetRow::new("llm", zone, unset, capacity);
        row.cold_limit = cold_limit;
        sheet.target(&format!("llm-{n}"), &row);
    }
    sheet.route("/v1/completions", &RouteRow::new("llm", tiers[0]));
    Sheet::parse(sheet.csv().as_bytes()).unwrap()
}

/// Key of a workspace.
pub fn key(workspace: &str) -> String {
    format!("key-{workspace}")
}

/// A model call of a workspace with a body that is unique to `seed`.
pub fn call(workspace: &str, seed: u64, bytes: usize, tokens: u32) -> Call {
    completion_call(seed, bytes, tokens, false).key(&key(workspace))
}

/// Tokens that a run costs its workspace: the daemon's estimate of the prompt, a quarter of its
/// bytes plus one, and the generated tokens.
pub fn tokens(run: &RunRecord) -> u64 {
    run.prompt_tokens + 1 + u64::from(run.generated)
}

/// Number of responses by outcome and reason; a call without a response counts as `error`.
#[derive(Debug, Default)]
pub struct Tally {
    pub sent: u64,
    pub ends: BTreeMap<(String, String), u64>,
}

impl Tally {
    pub fn count(&self, outcome: &str, reason: &str) -> u64 {
        let key = (outcome.to_string(), reason.to_string());
        self.ends.get(&key).copied().unwrap_or(0)
    }

    fn record(&mut self, response: &Result<ClientResponse, ClientError>) {
        self.sent += 1;
        let end = match response {
            Ok(response) => outcome_and_reason(response),
            Err(_) => ("error".to_string(), String::new()),
        };
        *self.ends.entry(end).or_default() += 1;
    }
}

/// Open-loop load: calls are sent at a fixed interval without waiting for earlier responses.
pub struct Load {
    stop: Arc<AtomicBool>,
    sender: JoinHandle<Tally>,
}

impl Load {
    /// Starts to send; `next` returns the client and the call for each sequence number.
    pub fn start(
        interval: Duration,
        mut next: impl FnMut(u64) -> (Client, Call) + Send + 'static,
    ) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let should_stop = Arc::clone(&stop);
        let sender = tokio::spawn(async move {
            let mut ticks = tokio::time::interval(interval);
            let mut calls = Vec::new();
            let mut number = 0;
            while !should_stop.load(Ordering::Relaxed) {
                ticks.tick().await;
                let (client, call) = next(number);
                number += 1;
                calls.push(tokio::spawn(async move { client.call(call).await }));
            }
            let mut tally = Tally::default();
            for call in calls {
                tally.record(&call.await.unwrap());
            }
            tally
        });
        Load { stop, sender }
    }

    /// Stops sending and waits for all responses.
    pub async fn stop(self) -> Tally {
        self.stop.store(true, Ordering::Relaxed);
        self.sender.await.unwrap()
    }
}
