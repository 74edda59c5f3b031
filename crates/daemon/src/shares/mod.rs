//! The share holder role: holds parts of the workspaces' token buckets and transfers them between
//! daemons.

mod holder;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use limit::{Claim, RefusalReason, Reservation, ReserveError};
use member::Incarnation;
use metrics::counter;
use sheet::Name;
use tokio::time::{MissedTickBehavior, interval};
use wire::{Body, PartAsk, PartMoves, PartQuery};

pub(crate) use holder::ShareHolder;
use holder::{State, claim_from_message, claim_message, move_message, unix_millis};

use crate::node::Node;
use crate::outcome::Refusal;

/// Peers that are asked for tokens before a request is refused.
const MAX_ASKED_PEERS: usize = 8;

/// Interval of balancing, of claim queries and of starting unclaimed parts.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which parts without an acknowledgement are resent.
const RESEND_INTERVAL: Duration = Duration::from_secs(2);

/// Delay between two attempts to reserve while this daemon must not spend tokens.
const SPEND_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest time to give all parts away before a shutdown.
const GIVE_AWAY_TIMEOUT: Duration = Duration::from_secs(5);

/// A daemon that holds no part waits this many times `timing.silent` for peers that withhold their
/// tokens. Peers learn of its new incarnation when they dial it again, which takes less.
const WITHHELD_WAIT_SILENCES: u32 = 2;

/// Why no tokens were reserved.
struct Shortage {
    err: ReserveError,
    /// Whether this daemon holds no part and a peer has tokens that it did not give, as long as it
    /// does not know the incarnation of this daemon or must not move parts.
    withheld: bool,
}

/// Reserves tokens for a request that must start before `deadline`.
pub(crate) async fn reserve(
    node: &Arc<Node>,
    workspace: &Name,
    tokens: u64,
    deadline: Duration,
) -> Result<Reservation, Refusal> {
    let withheld_until =
        deadline.min(node.now() + node.settings.timing.silent * WITHHELD_WAIT_SILENCES);
    loop {
        let Shortage { err, withheld } = match reserve_once(node, workspace, tokens).await {
            Ok(reservation) => return Ok(reservation),
            Err(shortage) => shortage,
        };
        if withheld && node.now() + SPEND_RETRY_DELAY < withheld_until {
            tokio::time::sleep(SPEND_RETRY_DELAY).await;
            continue;
        }
        let refusal = match err.reason {
            // After a pause or without a lease the daemon must not spend tokens, which does not
            // depend on the workspace's rate.
            RefusalReason::Suspended | RefusalReason::Lease
                if node.now() + SPEND_RETRY_DELAY < deadline =>
            {
                tokio::time::sleep(SPEND_RETRY_DELAY).await;
                continue;
            }
            RefusalReason::Suspended | RefusalReason::Lease => Refusal::Expired,
            RefusalReason::Unknown | RefusalReason::TooLarge | RefusalReason::Level => {
                Refusal::Rate
            }
        };
        let reason = err.reason.as_str();
        counter!("primrosechute_rate_refused_total", "reason" => reason).increment(1);
        return Err(refusal);
    }
}

/// Reserves tokens, and asks other holders for parts if this daemon is short of them.
async fn reserve_once(
    node: &Arc<Node>,
    workspace: &Name,
    tokens: u64,
) -> Result<Reservation, Shortage> {
    let mut peer_has_tokens = false;
    let mut peers = peers_to_ask(node, workspace).into_iter();
    loop {
        let err = match node.holder.try_reserve(node.now(), workspace, tokens) {
            Ok(reservation) => return Ok(reservation),
            Err(err) => err,
        };
        let next = peers.next().filter(|_| err.reason == RefusalReason::Level);
        let Some(vm) = next else {
            let is_short = err.reason == RefusalReason::Level;
            let withheld =
                is_short && peer_has_tokens && !node.holder.holds_parts_of(node.now(), workspace);
            return Err(Shortage { err, withheld });
        };
        let ask = PartAsk {
            workspace: workspace.to_string(),
            tokens: err.missing,
        };
        let wait = node.settings.timing.silent;
        let Some(sender) = node.peers.incarnation_of(&vm) else {
            continue;
        };
        if let Ok(Body::PartMoves(moves)) = node.peers.call(&vm, Body::PartAsk(ask), wait).await {
            peer_has_tokens |= moves.left > 0;
            accept_moves(node, &vm, sender, &moves);
        }
    }
}

/// Peers to ask for tokens: first those that had the most, then the others.
fn peers_to_ask(node: &Arc<Node>, workspace: &Name) -> Vec<Name> {
    let peers_by_tokens = node.holder.peers_by_tokens(node.now(), workspace);
    let mut vms: Vec<Name> = peers_by_tokens
        .into_iter()
        .filter_map(|incarnation| node.peers.vm_of(incarnation))
        .collect();
    let linked = node.peers.linked();
    for vm in member::ranked(workspace, linked.iter().map(|vm| &**vm)) {
        if !vms.iter().any(|known| &**known == vm) {
            vms.push(Name::from(vm));
        }
    }
    vms.truncate(MAX_ASKED_PEERS);
    vms
}

/// Accepts parts that a peer sent and acknowledges them.
pub(crate) fn accept_moves(node: &Arc<Node>, vm: &Name, sender: Incarnation, moves: &PartMoves) {
    for ack in node.holder.on_moves(node.now(), sender, moves) {
        node.peers.send(vm, Body::PartAck(ack));
    }
}

/// Periodically balances parts with peers and starts parts that no daemon holds.
pub(crate) async fn run(node: Arc<Node>) {
    let mut tick = interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_resend = node.now();
    loop {
        tick.tick().await;
        if node.now().saturating_sub(last_resend) > RESEND_INTERVAL {
            last_resend = node.now();
            resend(&node);
        }
        balance(&node);
        query(&node);
        start_unclaimed(&node);
    }
}

/// Resends parts that have not been acknowledged. Duplicates are harmless.
fn resend(node: &Arc<Node>) {
    let now = node.now();
    let moves: Vec<_> = node.holder.lock().shares.in_transit(now).collect();
    send_moves(node, moves);
}

fn balance(node: &Arc<Node>) {
    let moves = node.holder.lock().shares.balance(node.now());
    send_moves(node, moves);
}

fn send_moves(node: &Arc<Node>, moves: Vec<limit::PartMove>) {
    let mut by_receiver: HashMap<u64, PartMoves> = HashMap::new();
    for part in moves {
        let message = by_receiver.entry(part.receiver).or_default();
        message.moves.push(move_message(&part));
    }
    for (receiver, message) in by_receiver {
        if let Some(vm) = node.peers.vm_of(Incarnation(receiver)) {
            node.peers.send(&vm, Body::PartMoves(message));
        }
    }
}

/// Queries the claims of peers where a part may have to be started.
fn query(node: &Arc<Node>) {
    let query = {
        let mut guard = node.holder.lock();
        let State {
            shares, reclaim, ..
        } = &mut *guard;
        reclaim.next_query(node.now(), shares)
    };
    let message = PartQuery {
        claims: query.claims.iter().map(claim_message).collect(),
    };
    for incarnation in query.peers {
        let Some(vm) = node.peers.vm_of(Incarnation(incarnation)) else {
            continue;
        };
        let node = Arc::clone(node);
        let (query_id, message) = (query.id, message.clone());
        tokio::spawn(async move {
            let wait = node.settings.timing.silent;
            let reply = node.peers.call(&vm, Body::PartQuery(message), wait).await;
            if let Ok(Body::PartClaims(reply)) = reply {
                let claims: Vec<Claim> = reply.claims.iter().map(claim_from_message).collect();
                let now = node.now();
                let mut state = node.holder.lock();
                for claim in &claims {
                    state.shares.record_claim(now, incarnation, claim);
                }
                state.reclaim.record_reply(query_id, incarnation, &claims);
            }
        });
    }
}

fn start_unclaimed(node: &Arc<Node>) {
    let mut guard = node.holder.lock();
    let state = &mut *guard;
    let started = state
        .reclaim
        .poll(node.now(), &mut state.shares, unix_millis());
    drop(guard);
    if !started.is_empty() {
        log::info!(
            "share: started {} unclaimed parts without tokens",
            started.len()
        );
        counter!("primrosechute_parts_started_total")
            .increment(u64::try_from(started.len()).unwrap_or_default());
    }
}

/// Gives all parts to a ready peer, so that none is unavailable for a hold-down after the shutdown.
pub(crate) async fn give_parts_away(node: &Arc<Node>) {
    let until = node.now() + GIVE_AWAY_TIMEOUT;
    while node.now() < until && node.holder.holds_parts(node.now()) {
        let receiver = node
            .entries()
            .iter()
            .find_map(|entry| Some((entry.vm().clone(), node.peers.incarnation_of(entry.vm())?)));
        let Some((vm, incarnation)) = receiver else {
            return;
        };
        let moves = node.holder.give_all(node.now(), incarnation);
        if !moves.moves.is_empty() {
            node.peers.send(&vm, Body::PartMoves(moves));
        }
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}
