//! Polls the VM list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use member::{Vm, VmList, VmState};
use serde::Deserialize;
use tokio::time::{MissedTickBehavior, interval};

use super::http::{ReadError, ReadMonitor, get};
use crate::node::Node;

#[derive(Deserialize)]
struct Rows {
    generation: u64,
    vms: Vec<Row>,
}

#[derive(Deserialize)]
struct Row {
    name: String,
    zone: String,
    state: State,
    entry: SocketAddr,
    peer: SocketAddr,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Live,
    Leaving,
}

/// Polls the list while this daemon reads from the platform, as a relay or in place of lost ones.
pub(crate) async fn poll(node: Arc<Node>, address: SocketAddr) {
    let timing = &node.settings.timing;
    let mut tick = interval(timing.list_poll);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut monitor = ReadMonitor::new(format!("the VM list at {address}"), "vm_list");
    loop {
        tick.tick().await;
        if !node.fleet.reads_platform(node.now()) {
            continue;
        }
        let asked = node.now();
        let list = read(address, timing.silent).await;
        monitor.record(list.as_ref().err());
        if let Ok(list) = list {
            node.on_list(list, node.now().saturating_sub(asked));
        }
    }
}

async fn read(address: SocketAddr, wait: Duration) -> Result<VmList, ReadError> {
    let response = get(address, "/v1/vms", wait).await?;
    if response.status != 200 {
        return Err(ReadError::Status(response.status));
    }
    let rows: Rows = serde_json::from_slice(&response.body)
        .map_err(|err| ReadError::Malformed(format!("not a VM list: {err}")))?;
    Ok(VmList {
        generation: rows.generation,
        vms: rows.vms.into_iter().map(vm_from_row).collect(),
    })
}

fn vm_from_row(row: Row) -> Vm {
    Vm {
        name: row.name.into(),
        zone: row.zone.into(),
        state: match row.state {
            State::Live => VmState::Live,
            State::Leaving => VmState::Leaving,
        },
        entry: row.entry,
        peer: row.peer,
    }
}
