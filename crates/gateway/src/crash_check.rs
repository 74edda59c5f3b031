//! Checks whether the target of a broken run has crashed.
//!
//! A connection breaks for many reasons: a target drops an idle one, a response is damaged, a link
//! fails. After a crash the target does not accept connections for a while.

use std::rc::Rc;
use std::time::Duration;

use admit::{Target, target_key};
use log::{info, warn};
use metrics::counter;
use tokio::time::sleep;

use crate::attempt::OutboundRequest;
use crate::clock;
use crate::node::Node;
use crate::poison_parts::Part;
use crate::upstream;

/// Time from the end of a run to the check. The connections of a process that ends may break a few
/// milliseconds before its listener is closed, and until then the kernel accepts further ones.
const CHECK_DELAY: Duration = Duration::from_millis(100);

/// Checks the target of a run that broke, or was given up for silence, and blames the request and the
/// parts of its prompt if it has crashed. Does not delay the caller.
pub(crate) fn check_target(node: &Rc<Node>, req: &OutboundRequest, target: &Target) {
    let (node, target) = (Rc::clone(node), target.clone());
    let (id, parts) = (req.id.clone(), Rc::clone(&req.parts));
    tokio::task::spawn_local(async move {
        sleep(CHECK_DELAY).await;
        // The connection is not kept: the pool takes its connections for used ones, on which a
        // refusal without the id of its request doesn't count.
        let outcome = if upstream::connect(target.address).await.is_err() {
            blame(&node, &id, &parts, &target);
            "crashed"
        } else {
            "alive"
        };
        counter!("primrosechute_crash_checks_total", "outcome" => outcome).increment(1);
    });
}

fn blame(node: &Node, id: &str, parts: &[Part], target: &Target) {
    let mut poison_parts = node.poison_parts.borrow_mut();
    let blame = poison_parts.record_crash(clock::now(), parts, target_key(target));
    counter!("primrosechute_crashed_runs_total").increment(1);
    // Parts that are not blamed are cleared by answers. If these are all parts of a run, the crash counts
    // against nothing.
    info!(
        id = id, target = &*target.id, parts = parts.len(), blamed = blame.parts.len();
        "poison: a crash cut off a run"
    );
    for &part in &blame.parts {
        warn!(part = &*hex(part), target = &*target.id; "poison: a target crashed");
    }
    if !blame.parts.is_empty() {
        node.heartbeat_requested.notify_one();
    }
    announce_refused(node, &blame.refused);
}

/// Logs parts that are refused from now on, and passes them on at once: until all members know them,
/// each of their requests crashes a target.
pub(crate) fn announce_refused(node: &Node, parts: &[u64]) {
    for &part in parts {
        warn!(part = &*hex(part); "poison: requests with a part are refused");
    }
    if !parts.is_empty() {
        node.heartbeat_requested.notify_one();
    }
}

fn hex(part: u64) -> String {
    format!("{part:x}")
}
