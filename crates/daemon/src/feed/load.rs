//! Polls the load reports of owned targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use sched::{LoadReport, Name};
use serde::Deserialize;
use tokio::time::{MissedTickBehavior, interval};

use crate::node::Node;
use crate::owner::Msg;
use crate::target::{ProbeResult, probe};

#[derive(Deserialize)]
struct Load {
    start: u64,
    running: u32,
    tokens: u64,
    cold: bool,
    /// Age of the report.
    #[serde(default)]
    age_ms: u64,
}

/// Polls the load of each owned target.
pub(crate) async fn poll(node: Arc<Node>) {
    let mut tick = interval(node.settings.timing.load_poll);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let sheet = node.sheet();
        for name in node.fleet.owned() {
            if let Some(target) = sheet.targets.get(&name) {
                tokio::spawn(read(Arc::clone(&node), name, target.address));
            }
        }
    }
}

async fn read(node: Arc<Node>, target: Name, address: SocketAddr) {
    let wait = node.settings.timing.silent;
    let body = match probe(address, Method::GET, "/load", wait).await {
        ProbeResult::Response(200, body) => body,
        ProbeResult::Refused => {
            node.owner.send(Msg::TargetRefused(target));
            return;
        }
        ProbeResult::Response(..) | ProbeResult::Silent => return,
    };
    let Ok(load) = serde_json::from_slice::<Load>(&body) else {
        return;
    };
    let report = LoadReport {
        running: load.running,
        tokens: load.tokens,
        cold: load.cold,
        start: load.start,
    };
    let measured = node
        .now()
        .saturating_sub(Duration::from_millis(load.age_ms));
    node.owner.send(Msg::Load {
        target,
        report,
        measured,
    });
}
