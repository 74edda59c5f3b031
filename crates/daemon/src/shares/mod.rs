//! The share holder role: parts of workspaces' buckets and their moves between daemons.

mod holder;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use limit::{Claim, RefusalReason, Reservation};
use member::Incarnation;
use metrics::counter;
use sheet::Name;
use tokio::time::{MissedTickBehavior, interval};
use wire::{Body, PartAsk, PartMoves, PartQuery};

pub(crate) use holder::Holder;
use holder::{State, claim_message, claim_of, move_message, wall_millis};

use crate::node::Node;
use crate::outcome::Refusal;

/// Peers that are asked for tokens before a request is refused.
const MAX_ASKED: usize = 8;

/// Time between two looks at balance and reclaim.
const TICK: Duration = Duration::from_millis(100);

/// Time after which a move without an answer is sent again.
const RESEND: Duration = Duration::from_secs(2);

/// Time between two tries while this daemon must not spend.
const RETRY: Duration = Duration::from_millis(50);

/// Longest time to give all parts away before a shutdown.
const GIVE_AWAY: Duration = Duration::from_secs(5);

/// Reserves tokens for a request that has to begin before `deadline`.
pub(crate) async fn reserve(
    node: &Arc<Node>,
    workspace: &Name,
    tokens: u64,
    deadline: Duration,
) -> Result<Reservation, Refusal> {
    loop {
        let short = match reserve_once(node, workspace, tokens).await {
            Ok(reservation) => return Ok(reservation),
            Err(short) => short,
        };
        let refusal = match short.reason {
            // After a pause or without a lease the daemon must not spend, which says nothing about
            // the workspace's rate.
            RefusalReason::Suspended | RefusalReason::Lease if node.now() + RETRY < deadline => {
                tokio::time::sleep(RETRY).await;
                continue;
            }
            RefusalReason::Suspended | RefusalReason::Lease => Refusal::Expired,
            RefusalReason::Unknown | RefusalReason::TooLarge | RefusalReason::Level => {
                Refusal::Rate
            }
        };
        let reason = short.reason.as_str();
        counter!("primrosechute_rate_refused_total", "reason" => reason).increment(1);
        return Err(refusal);
    }
}

/// Reserves tokens, with parts of other holders if the own ones are short.
async fn reserve_once(
    node: &Arc<Node>,
    workspace: &Name,
    tokens: u64,
) -> Result<Reservation, limit::ReserveError> {
    let mut reserved = node.holder.try_reserve(node.now(), workspace, tokens);
    if reserved.is_ok() {
        return reserved;
    }
    for vm in holders_to_ask(node, workspace) {
        let short = match &reserved {
            Err(short) if short.reason == RefusalReason::Level => *short,
            _ => break,
        };
        let ask = PartAsk {
            workspace: workspace.to_string(),
            tokens: short.missing,
        };
        let wait = node.settings.timing.silent;
        let Some(giver) = node.peers.incarnation(&vm) else {
            continue;
        };
        if let Ok(Body::PartMoves(moves)) = node.peers.call(&vm, Body::PartAsk(ask), wait).await {
            take_moves(node, &vm, giver, &moves);
        }
        reserved = node.holder.try_reserve(node.now(), workspace, tokens);
    }
    reserved
}

/// Peers to ask for tokens: those that had most, then the others.
fn holders_to_ask(node: &Arc<Node>, workspace: &Name) -> Vec<Name> {
    let richest = node.holder.richest(node.now(), workspace);
    let mut vms: Vec<Name> = richest
        .into_iter()
        .filter_map(|incarnation| node.peers.find(incarnation))
        .collect();
    let linked = node.peers.linked();
    for vm in member::ranked(workspace, linked.iter().map(|vm| &**vm)) {
        if !vms.iter().any(|known| &**known == vm) {
            vms.push(Name::from(vm));
        }
    }
    vms.truncate(MAX_ASKED);
    vms
}

/// Takes parts that a peer sent and answers it.
pub(crate) fn take_moves(node: &Arc<Node>, vm: &Name, giver: Incarnation, moves: &PartMoves) {
    for ack in node.holder.on_moves(node.now(), giver, moves) {
        node.peers.send(vm, Body::PartAck(ack));
    }
}

/// Balances parts with peers and starts parts that no daemon holds, again and again.
pub(crate) async fn run(node: Arc<Node>) {
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut resent = node.now();
    loop {
        tick.tick().await;
        if node.now().saturating_sub(resent) > RESEND {
            resent = node.now();
            resend(&node);
        }
        balance(&node);
        query(&node);
        start_unclaimed(&node);
    }
}

/// Sends moves again whose answer has not come. Copies are harmless.
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
        if let Some(vm) = node.peers.find(Incarnation(receiver)) {
            node.peers.send(&vm, Body::PartMoves(message));
        }
    }
}

/// Asks peers for their claims where a part may have to be started.
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
        let Some(vm) = node.peers.find(Incarnation(incarnation)) else {
            continue;
        };
        let node = Arc::clone(node);
        let (round, message) = (query.id, message.clone());
        tokio::spawn(async move {
            let wait = node.settings.timing.silent;
            let answer = node.peers.call(&vm, Body::PartQuery(message), wait).await;
            if let Ok(Body::PartClaims(answer)) = answer {
                let claims: Vec<Claim> = answer.claims.iter().map(claim_of).collect();
                let now = node.now();
                let mut state = node.holder.lock();
                for claim in &claims {
                    state.shares.record_claim(now, incarnation, claim);
                }
                state.reclaim.record_answer(round, incarnation, &claims);
            }
        });
    }
}

fn start_unclaimed(node: &Arc<Node>) {
    let mut guard = node.holder.lock();
    let state = &mut *guard;
    let started = state
        .reclaim
        .poll(node.now(), &mut state.shares, wall_millis());
    drop(guard);
    if !started.is_empty() {
        log::info!("share: started {} unclaimed parts, empty", started.len());
        counter!("primrosechute_parts_started_total")
            .increment(u64::try_from(started.len()).unwrap_or_default());
    }
}

/// Gives all parts to a ready peer, so that nothing waits for a hold-down after a shutdown.
pub(crate) async fn give_away(node: &Arc<Node>) {
    let until = node.now() + GIVE_AWAY;
    while node.now() < until && node.holder.holds_parts(node.now()) {
        let receiver = node
            .entries()
            .iter()
            .find_map(|entry| Some((entry.vm().clone(), node.peers.incarnation(entry.vm())?)));
        let Some((vm, incarnation)) = receiver else {
            return;
        };
        let moves = node.holder.give_all(node.now(), incarnation);
        if !moves.moves.is_empty() {
            node.peers.send(&vm, Body::PartMoves(moves));
        }
        tokio::time::sleep(TICK).await;
    }
}
