//! Follows the store and applies its changes.

use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};
use metrics::counter;
use tokio::time::sleep;

use crate::adapter::{Batch, Store, StoreError};
use crate::catalog::Change;
use crate::clock;
use crate::node::Node;

/// Longest wait of one watch. A dead connection is detected after this time plus
/// `RESPONSE_TIMEOUT`, unless another member reports a newer revision first.
const WATCH_WAIT: Duration = Duration::from_millis(2500);
/// Pause after a response with changes, so that the changes that follow are read with one call.
/// Calls cost money, and each change wakes the watches of all members. Changes may take seconds to
/// take effect.
const BATCH_PAUSE: Duration = Duration::from_millis(400);
/// Longest time for a response, beyond the time for which the call itself waits.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after a failed call. It doubles up to the maximum.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(50);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// A member whose revision stays behind that of another one for this long lists the store again.
/// The watches of all members return within a few milliseconds of each other.
const MAX_REVISION_LAG: Duration = Duration::from_millis(300);

/// Reads the store for as long as the process runs.
pub(crate) async fn follow<S: Store>(node: Rc<Node>, mut store: S) {
    let mut pause = MIN_RETRY_PAUSE;
    let mut watch_from = None;
    let mut store_failing = false;
    loop {
        let read = match watch_from {
            None => list(&node, &mut store).await,
            Some(watch_from) => watch(&node, &mut store, watch_from).await,
        };
        match read {
            Ok(Some(next)) => {
                if std::mem::take(&mut store_failing) {
                    info!("store: reachable again");
                }
                pause = MIN_RETRY_PAUSE;
                watch_from = Some(next);
                node.last_store_success.set(clock::now());
                node.membership
                    .borrow_mut()
                    .update_local(|me| me.store_reachable = true);
            }
            Ok(None) => watch_from = None,
            Err(err) => {
                // A watch that starts at the revision of a broken one may not report the missed
                // changes until it expires.
                watch_from = None;
                counter!("primrosechute_store_errors_total", "reason" => label(&err)).increment(1);
                if err == StoreError::Compacted {
                    info!("store: the watched revision is no longer kept, listing again");
                    continue;
                }
                if !std::mem::replace(&mut store_failing, true) {
                    warn!("store: no answer: {err:?}");
                }
                node.catalog.borrow_mut().record_store_failure(clock::now());
                node.membership
                    .borrow_mut()
                    .update_local(|me| me.store_reachable = false);
                sleep(pause).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
}

async fn list<S: Store>(node: &Rc<Node>, store: &mut S) -> Result<Option<u64>, StoreError> {
    let known_revision = node.membership.borrow().newest_revision(clock::now());
    let batch = store.list(RESPONSE_TIMEOUT).await?;
    log_changes(&batch);
    node.catalog
        .borrow_mut()
        .apply_listing(clock::now(), batch.changes);
    // The listing is newer than the revisions that other members had reported before it.
    record_revision(node, batch.newest_revision.max(known_revision));
    node.apply_catalog_to_owner();
    Ok(Some(batch.watch_from))
}

/// Watches once. Returns `None` if the store has to be listed again.
async fn watch<S: Store>(
    node: &Rc<Node>,
    store: &mut S,
    watch_from: u64,
) -> Result<Option<u64>, StoreError> {
    let batch = tokio::select! {
        batch = store.watch(watch_from, WATCH_WAIT, WATCH_WAIT + RESPONSE_TIMEOUT) => batch?,
        () = wait_until_behind(node) => {
            info!("store: another member has seen a newer revision, listing again");
            return Ok(None);
        }
    };
    if !batch.changes.is_empty() {
        log_changes(&batch);
        let now = clock::now();
        node.catalog.borrow_mut().apply_changes(now, batch.changes);
        record_revision(node, batch.newest_revision);
        node.apply_catalog_to_owner();
        sleep(BATCH_PAUSE).await;
    }
    Ok(Some(batch.watch_from))
}

/// Waits until this member has been behind another one for `MAX_REVISION_LAG`.
async fn wait_until_behind(node: &Rc<Node>) {
    let is_behind = || {
        let membership = node.membership.borrow();
        membership.newest_revision(clock::now()) > membership.local().revision
    };
    loop {
        node.relist_requested.notified().await;
        if !is_behind() {
            continue;
        }
        sleep(MAX_REVISION_LAG).await;
        if is_behind() {
            return;
        }
    }
}

fn record_revision(node: &Node, revision: u64) {
    let mut membership = node.membership.borrow_mut();
    membership.update_local(|me| me.revision = me.revision.max(revision));
}

fn log_changes(batch: &Batch) {
    for change in &batch.changes {
        match change {
            Change::Config(cfg) => info!("config: version {}", cfg.version),
            Change::EvacuateZone(zone) => info!("config: zone {zone} is evacuated"),
            Change::RestoreZone(zone) => info!("config: zone {zone} is no longer evacuated"),
            Change::Target(target) => info!(
                "target: {} at {} in {}, pool {}, draining {}, cold for {:?}",
                target.id, target.address, target.zone, target.pool, target.draining, target.cold
            ),
            Change::TargetRemoved(id) => info!("target: the entry of {id} is gone"),
        }
    }
}

fn label(err: &StoreError) -> &'static str {
    match err {
        StoreError::Unreachable(_) => "unreachable",
        StoreError::Timeout => "timeout",
        StoreError::Refused(_) => "refused",
        StoreError::Compacted => "forgotten",
        StoreError::Malformed(_) => "malformed",
    }
}
