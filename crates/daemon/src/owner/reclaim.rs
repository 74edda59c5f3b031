//! Permits of entries that are gone or whose link closed, and of earlier owners.
//!
//! The place of such a permit is freed only when the engine says that the request is not there.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use sched::{Name, PermitId};
use sheet::PoolKind;

use super::Msg;
use crate::node::Node;
use crate::target::control_call;

/// First time between two questions to the engine; it doubles up to the largest.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Largest time between two questions.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(8);

/// Questions before the owner leaves the place to the hard deadline: about five minutes.
const MAX_POLLS: u32 = 40;

/// A permit whose end may not be reported.
#[derive(Debug)]
pub(super) struct OrphanedPermit {
    pub(super) pool: Name,
    /// `None` if an earlier owner granted it.
    pub(super) permit: Option<PermitId>,
    pub(super) target: Name,
    pub(super) id: Name,
    pub(super) expires: Duration,
}

/// Asks the engine for the run until it is over, then frees its place.
///
/// A plain service can't be asked; its places come free at the hard deadline.
pub(super) fn watch_run(node: Arc<Node>, orphan: OrphanedPermit) {
    let kind = node.sheet().pools.get(&orphan.pool).map(|pool| pool.kind);
    if kind != Some(PoolKind::Engine) {
        return;
    }
    tokio::spawn(async move {
        // Before the permit is void its request may be on its way to the engine.
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
                log::info!("owner: request {} is over, by its engine", orphan.id);
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

/// Whether the engine still has the run. An answer that can't be read says nothing, so the place
/// stays taken.
fn is_running(body: &[u8]) -> bool {
    #[derive(serde::Deserialize)]
    struct Answer {
        state: String,
    }
    serde_json::from_slice::<Answer>(body).map_or(true, |answer| answer.state == "running")
}
