//! Acts on what targets state about themselves in their responses: that they are leaving, the limit
//! that they name, and a pause that they ask for.

use admit::{LimitReport, Target, target_key};
use log::{info, warn};
use metrics::counter;

use crate::adapter::{Attestation, ResponseHead, StatedLimit};
use crate::clock;
use crate::node::Node;

/// Records what the response of a target says.
pub(crate) fn record(node: &Node, target: &Target, head: &ResponseHead) {
    // Another target responds at this address.
    if head.attestation == Attestation::Misdirected {
        return;
    }
    let (now, key) = (clock::now(), target_key(target));
    if head.is_leaving && node.catalog.borrow_mut().record_leaving(now, key) {
        info!("target: {} says that it is leaving", target.id);
        node.apply_catalog_to_owner();
        node.heartbeat_requested.notify_one();
    }
    if let Some(pause) = head.pause {
        info!("target: {} asks for a pause of {pause:?}", target.id);
        counter!("primrosechute_target_pauses_total").increment(1);
        node.target_pauses.borrow_mut().record(now, key, pause);
    }
    record_limit(node, target, head);
}

fn record_limit(node: &Node, target: &Target, head: &ResponseHead) {
    let (now, key) = (clock::now(), target_key(target));
    let per_s = match &head.limit {
        StatedLimit::PerSecond(per_s) => Some(*per_s),
        // Only the target itself can say that its limit has ended.
        StatedLimit::None if head.attestation == Attestation::Signed => None,
        StatedLimit::None => return,
        StatedLimit::Malformed(value) => {
            counter!("primrosechute_malformed_limits_total").increment(1);
            if node.malformed_limits.borrow_mut().allow(now, key) {
                warn!(
                    "target: {} at {} names a limit that can't be used and is ignored: {value:?}",
                    target.id, target.address
                );
            }
            return;
        }
    };
    if node.named_limits.borrow_mut().record(now, key, per_s) {
        match per_s {
            Some(per_s) => info!(
                "target: {} names a limit of {per_s} requests a second",
                target.id
            ),
            None => info!("target: {} no longer names a limit", target.id),
        }
        node.apply_named_limits();
        node.heartbeat_requested.notify_one();
    }
}

/// Merges the limits that another member knows.
pub(crate) fn merge_limits(node: &Node, reports: &[LimitReport]) {
    let changed = node.named_limits.borrow_mut().merge(clock::now(), reports);
    if !changed.is_empty() {
        node.apply_named_limits();
    }
}

/// Closes targets of which another member heard that they are leaving.
pub(crate) fn merge_leaving(node: &Node, targets: &[u64]) {
    let now = clock::now();
    let mut catalog = node.catalog.borrow_mut();
    let mut has_changed = false;
    for &target in targets {
        has_changed |= catalog.record_leaving(now, target);
    }
    drop(catalog);
    if has_changed {
        node.apply_catalog_to_owner();
    }
}
