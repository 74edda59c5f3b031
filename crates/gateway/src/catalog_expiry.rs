//! Ends the grace times of lapsed entries on time. Heartbeats come too seldom for that.

use std::rc::Rc;

use tokio::time::sleep;

use crate::clock;
use crate::node::Node;

/// Runs for as long as the process.
pub(crate) async fn run(node: Rc<Node>) {
    let mut changed = node.log_changed.subscribe();
    loop {
        let next = node.catalog.borrow().next_lapse();
        let lapsed = async {
            match next {
                Some(at) => sleep(at.saturating_sub(clock::now())).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = lapsed => {}
            // Fails only if the sender is dropped, but `node` holds it.
            _ = changed.changed() => {}
        }
        if node.catalog.borrow_mut().expire(clock::now()) {
            node.apply_catalog_to_owner();
        }
    }
}
