//! Keeps a request that crashed a target from crashing more of them.

use std::sync::Arc;

use futures_util::future::{join, join_all};
use gateway::Fingerprints;
use sheet::Name;
use wire::{Body, Suspect};

use super::admit::Job;
use super::permit::HeldPermit;
use crate::node::Node;

/// Sends what the permit's owner knows about the request after its crash to all owners of the pool,
/// and waits until they have recorded it, or for the time after which a link counts as silent.
///
/// Broadcasts between owners alone lose a race with a caller that resends the request as soon as it
/// has the response, so that each owner would let it crash a target.
pub(super) async fn notify_owners(node: &Arc<Node>, job: &Job, held: &HeldPermit) {
    let Fingerprints { coarse, exact } = job.fingerprints;
    let notify = |hash| notify_of(node, job, held, hash);
    join(notify(exact), notify(coarse)).await;
}

async fn notify_of(node: &Arc<Node>, job: &Job, held: &HeldPermit, fingerprint: u64) {
    // A time of zero only queries. The release was sent before on the same link.
    let ask = Suspect {
        fingerprint,
        targets: vec![held.target.to_string()],
        remember_us: 0,
    };
    let Some(known) = record_at(node, &held.owner, ask).await else {
        return;
    };
    if known.targets.is_empty() {
        return;
    }
    let owners = node.owners_of(&job.pool);
    let others = owners.iter().filter(|vm| **vm != held.owner);
    join_all(others.map(|vm| record_at(node, vm, known.clone()))).await;
}

async fn record_at(node: &Arc<Node>, vm: &Name, suspect: Suspect) -> Option<Suspect> {
    if *vm == node.settings.vm {
        return node.record_suspect(suspect).await;
    }
    let wait = node.settings.timing.silent;
    match node.peers.call(vm, Body::Suspect(suspect), wait).await {
        Ok(Body::Suspect(known)) => Some(known),
        _ => None,
    }
}
