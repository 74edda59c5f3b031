//! Load on fleets of equal daemons, and checks over what the engines recorded of it.

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

use super::{LONG, outcome, prompt};

/// Allows one fleet at a time in a test process, to bound the number of daemons.
pub async fn one_fleet() -> MutexGuard<'static, ()> {
    static FLEET: Mutex<()> = Mutex::const_new(());
    FLEET.lock().await
}

/// Daemons `vm-1`... in two zones behind proxies, with short timeouts.
pub fn builder(vms: usize) -> FleetBuilder {
    Fleet::builder(env!("CARGO_BIN_EXE_primrosechute"))
        .vms(vms, &["zone-a", "zone-b"])
        .peer_proxies()
        .platform_proxies()
        .setting("timing", fast_timing())
        .setting("log", json!({ "level": "debug" }))
        .ready_timeout(LONG)
}

/// A workspace row: name, rate and burst; its key is `key-<name>`.
pub type Workspace<'a> = (&'a str, u64, u64);

/// A sheet of two zones with engines `llm-1`... in turn and one route. Tiers stand in rank order.
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
        // Addresses are set when the engines start; the sheet rejects repeated ones.
        let unset = SocketAddr::from(([127, 0, 0, 1], u16::try_from(n).unwrap()));
        let zone = ["zone-b", "zone-a"][n % 2];
        let mut row = TargetRow::new("llm", zone, unset, capacity);
        row.cold_limit = cold_limit;
        sheet.target(&format!("llm-{n}"), &row);
    }
    sheet.route("/v1/completions", &RouteRow::new("llm", tiers[0]));
    Sheet::parse(sheet.csv().as_bytes()).unwrap()
}

pub fn key(workspace: &str) -> String {
    format!("key-{workspace}")
}

/// A model call of a workspace with a body of its own.
pub fn call(workspace: &str, seed: u64, bytes: usize, tokens: u32) -> Call {
    prompt(seed, bytes, tokens, false).key(&key(workspace))
}

/// Tokens of a run as its workspace pays for them: the prompt by the daemon's estimate of a
/// quarter of its bytes plus one, and the generated tokens.
pub fn tokens(run: &RunRecord) -> u64 {
    run.prompt_tokens + 1 + u64::from(run.generated)
}

/// Answers by outcome and reason; a call without an answer counts as `error`.
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

    fn note(&mut self, answer: &Result<ClientResponse, ClientError>) {
        self.sent += 1;
        let end = match answer {
            Ok(answer) => outcome(answer),
            Err(_) => ("error".to_string(), String::new()),
        };
        *self.ends.entry(end).or_default() += 1;
    }
}

/// Calls that are sent at a fixed interval, each without waiting for the one before.
pub struct Load {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Tally>,
}

impl Load {
    /// Starts to send; `next` returns receiver and call of each number.
    pub fn start(
        interval: Duration,
        mut next: impl FnMut(u64) -> (Client, Call) + Send + 'static,
    ) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let task = tokio::spawn(async move {
            let mut ticks = tokio::time::interval(interval);
            let mut calls = Vec::new();
            let mut number = 0;
            while !stopped.load(Ordering::Relaxed) {
                ticks.tick().await;
                let (client, call) = next(number);
                number += 1;
                calls.push(tokio::spawn(async move { client.call(call).await }));
            }
            let mut tally = Tally::default();
            for call in calls {
                tally.note(&call.await.unwrap());
            }
            tally
        });
        Load { stop, task }
    }

    /// Ends the load and waits for all answers.
    pub async fn stop(self) -> Tally {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await.unwrap()
    }
}
