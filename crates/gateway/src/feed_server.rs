//! Passes on what this member read from the store to the members that follow it.

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};
use metrics::counter;
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use crate::body::count_full;
use crate::clock;
use crate::feed::{Connection, FeedError, FeedRequest, FeedResponse};
use crate::message::millis;
use crate::node::{CountGuard, Node};
use crate::record_log::LogDelta;

/// Maximum number of members that follow this one. The others follow another reader or read the
/// store themselves.
const MAX_FOLLOWERS: usize = 128;
/// A connection without a request for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for a change, whatever the request says.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Longest time for which a follower may stop reading a response.
const MAX_SEND_STALL: Duration = Duration::from_secs(2);
/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(50);

/// Accepts followers until `close` is set.
pub(crate) async fn serve(node: Rc<Node>, listener: TcpListener, mut close: watch::Receiver<bool>) {
    let followers = Rc::new(Cell::new(0));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Fails only if the sender is dropped, which happens when the process ends.
            _ = close.wait_for(|&close| close) => return,
        };
        match accepted {
            Ok((stream, _)) if followers.get() < MAX_FOLLOWERS => {
                let guard = CountGuard::new(&followers);
                let task = serve_follower(Rc::clone(&node), stream, guard, close.clone());
                tokio::task::spawn_local(task);
            }
            Ok(_) => {
                info!("store: a follower was turned away, there are {MAX_FOLLOWERS}");
            }
            Err(err) => {
                warn!("store: accept of a follower failed: {err}");
                sleep(ACCEPT_ERROR_PAUSE).await;
            }
        }
    }
}

async fn serve_follower(
    node: Rc<Node>,
    stream: TcpStream,
    _guard: CountGuard,
    mut close: watch::Receiver<bool>,
) {
    let follower = match stream.peer_addr() {
        Ok(SocketAddr::V4(address)) => *address.ip(),
        Ok(SocketAddr::V6(_)) | Err(_) => Ipv4Addr::UNSPECIFIED,
    };
    let mut conn = Connection::server(stream);
    let exchange = async {
        while let Some(req) = conn
            .receive::<FeedRequest>(IDLE_TIMEOUT, IDLE_TIMEOUT)
            .await?
        {
            let response = respond(&node, &req).await;
            // Snapshots for many followers at once are as large as all items of the store each.
            let mut reserved = node.buffers.reserve();
            if !reserved.grow(response.encoded_len()) {
                count_full("feed");
                return Err(FeedError::NoMemory);
            }
            if response.is_snapshot {
                info!(
                    "store: a whole snapshot of {} items is sent to {follower}",
                    response.records.len()
                );
            }
            node.count_sent(follower, response.kind(), response.frame_len());
            conn.send(&response, MAX_SEND_STALL).await?;
            counter!("primrosechute_feed_responses_total").increment(1);
        }
        Ok::<(), FeedError>(())
    };
    let ended = tokio::select! {
        ended = exchange => ended,
        _ = close.wait_for(|&close| close) => Ok(()),
    };
    if let Err(err) = ended {
        let reason = err.label();
        counter!("primrosechute_feed_errors_total", "side" => "server", "reason" => reason)
            .increment(1);
    }
}

/// Waits until there is something newer than the follower has.
async fn respond(node: &Node, req: &FeedRequest) -> FeedResponse {
    let mut changed = node.log_changed.subscribe();
    let wait = Duration::from_millis(req.wait_ms.into()).min(MAX_WAIT);
    let deadline = Instant::now() + wait;
    let delta = loop {
        let delta = delta_for(node, req);
        if delta != LogDelta::None || !is_reader(node) || Instant::now() >= deadline {
            break delta;
        }
        // Whether it ends with a change or the deadline, the log is read again.
        let _ = timeout_at(deadline, changed.changed()).await;
    };
    let now = clock::now();
    node.dismiss_connection_failures(now);
    let failure_age = node.catalog.borrow().store_failure_age(now);
    let position = node.record_log.borrow().position();
    let published = node.membership.borrow().local().position;
    FeedResponse {
        revision: position.revision,
        era: position.era,
        published_revision: published.revision,
        published_era: published.era,
        is_reader: is_reader(node),
        failure_age_ms: failure_age.map(millis),
        ..FeedResponse::new(delta)
    }
}

fn delta_for(node: &Node, req: &FeedRequest) -> LogDelta {
    let log = node.record_log.borrow();
    if req.accepts_difference {
        log.difference_since(req.after())
    } else {
        log.since(req.after())
    }
}

/// Whether this member reads the store itself, with success.
fn is_reader(node: &Node) -> bool {
    node.reads_store.get() && !node.membership.borrow().local().store_failed
}
