//! Reads the sheet from the configuration service or a file.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use sheet::{Sheet, SheetSource};

use super::http::{ReadError, ReadMonitor, get};
use crate::node::Node;

/// Reads a sheet file. The error text is ready to print.
pub(crate) fn read_file(path: &Path) -> Result<Sheet, String> {
    let bytes =
        std::fs::read(path).map_err(|err| format!("{}: cannot be read: {err}", path.display()))?;
    Sheet::parse(&bytes).map_err(|errors| {
        errors
            .iter()
            .map(|err| format!("{}: {err}", path.display()))
            .collect::<Vec<_>>()
            .join("\n")
    })
}

/// Watches the source of the sheet for the life of the daemon.
pub(crate) async fn follow(node: Arc<Node>) {
    match &node.settings.sheet {
        SheetSource::File(_) => {}
        SheetSource::Service(address) => watch(&node, *address).await,
    }
}

/// Watches the configuration service with long polls.
async fn watch(node: &Arc<Node>, address: SocketAddr) {
    let timing = &node.settings.timing;
    let subject = format!("the configuration service at {address}");
    let mut monitor = ReadMonitor::new(subject, "sheet");
    // The first read does not wait, so that a starting daemon gets the newest sheet at once.
    let mut path = "/v1/values/sheet".to_string();
    loop {
        if node.sheet().revision > 0 && !node.fleet.reads_platform(node.now()) {
            // The relays of the zone announce new revisions to this daemon.
            tokio::time::sleep(timing.heartbeat).await;
            continue;
        }
        let response = get(address, &path, timing.watch_wait + timing.silent).await;
        let response = response.and_then(|response| match response.status {
            200 | 204 => Ok(response),
            status => Err(ReadError::Status(status)),
        });
        monitor.record(response.as_ref().err());
        match response {
            Ok(response) if response.status == 200 => {
                let newer = node.parse_and_apply_sheet(&response.body, response.revision);
                if !newer {
                    // A stale service responds at once, so without a delay it would be polled in
                    // a tight loop.
                    tokio::time::sleep(timing.redial_max).await;
                }
            }
            Ok(_) => {}
            Err(_) => {
                tokio::time::sleep(timing.redial_max.mul_f64(rand::random_range(0.5..1.5))).await;
            }
        }
        let wait = humantime::format_duration(timing.watch_wait).to_string();
        let seen = node.sheet().revision;
        path = format!(
            "/v1/values/sheet?after={seen}&wait={}",
            wait.replace(' ', "")
        );
    }
}
