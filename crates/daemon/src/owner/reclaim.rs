//! Reclaims permits of entries that are gone or whose link closed, and of earlier owners.
//!
//! The capacity of such a permit is freed only when the engine reports that it does not run the
//! request.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use sched::{Name, PermitId};
use sheet::PoolKind;

use super::Msg;
use crate::node::Node;
use crate::target::control_call;

/// First interval between two polls of the engine; it doubles up to `MAX_POLL_INTERVAL`.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Longest interval between two polls of the engine.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(8);

/// Polls before the owner gives up and leaves it to the hard deadline to free the capacity: about
/// five minutes.
const MAX_POLLS: u32 = 40;

/// A permit whose end may never be reported.
#[derive(Debug)]
pub(super) struct OrphanedPermit {
    pub(super) pool: Name,
    /// `None` if an earlier owner granted it.
    pub(super) permit: Option<PermitId>,
    pub(super) target: Name,
    pub(super) id: Name,
    pub(super) expires: Duration,
}

/// Polls the engine until the run is over, then frees its capacity.
///
/// A plain service can't be polled; its capacity is freed at the hard deadline.
pub(super) fn watch_run(node: Arc<Node>, orphan: OrphanedPermit) {
    let kind = node.sheet().pools.get(&orphan.pool).map(|pool| pool.kind);
    if kind != Some(PoolKind::Engine) {
        return;
    }
    tokio::spawn(async move {
        // Until the permit expires, its request may still be on its way to the engine.
        tokio::time::sleep(orphan.expires.saturating_sub(node.now()) + MIN_POLL_INTERVAL).await;
        let mut interval = MIN_POLL_INTERVAL;
        for _ in 0..MAX_POLLS {
            let Some(address) = node.sheet().targets.get(&orphan.target).map(|t| t.address) else {
                break;
            };
            let path = format!("/v1/requests/{}", orphan.id);
            let wait = node.settings.timing.silent;
            if let Some((200, body)) = control_call(address, Method::GET, &path, wait).await
                && !is_running(&body)
            {
                log::info!("owner: the engine no longer runs request {}", orphan.id);
                node.owner.send(Msg::RunEnded {
                    pool: orphan.pool,
                    id: orphan.id,
                    permit: orphan.permit,
                });
                return;
            }
            tokio::time::sleep(interval).await;
            interval = (interval * 2).min(MAX_POLL_INTERVAL);
        }
    });
}

/// Whether the engine still runs the request. An unreadable response proves nothing, so the run
/// then counts as running.
fn is_running(body: &[u8]) -> bool {
    #[derive(serde::Deserialize)]
    struct StateResponse {
        state: String,
    }
    serde_json::from_slice::<StateResponse>(body)
        .map_or(true, |response| response.state == "running")
}
