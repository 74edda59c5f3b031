//! The share holder role: parts of workspaces' buckets and their moves between daemons.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};

use limit::{
    CLAIM_AGE, Claim, LeaseState, Limit, MoveId, PARTS, Reason, Reclaim, Reservation, Shares,
    Timing,
};
use member::Incarnation;
use metrics::counter;
use sheet::{Name, Settings, Sheet};
use tokio::time::{MissedTickBehavior, interval};
use wire::{Body, PartAck, PartAsk, PartClaim, PartClaims, PartMove, PartMoves, PartQuery};

use crate::node::Node;
use crate::outcome::Refusal;
use crate::peer::Peer;

/// Peers that are asked for tokens before a request is refused.
const MAX_ASKED: usize = 8;

/// Daemons that may hold parts of one workspace without having asked for them; all daemons of a
/// small fleet. A bound keeps the questions about a workspace's parts few in a large one.
const MAX_HOLDERS: usize = 16;

/// Time after which a move without an answer is sent again.
const RESEND: Duration = Duration::from_secs(2);

/// Time between two looks at balance and reclaim.
const TICK: Duration = Duration::from_millis(100);

/// Parts that this daemon holds, and the ones it is the successor of.
#[derive(Debug)]
pub(crate) struct Holder {
    state: Mutex<State>,
    /// A single daemon holds all parts from its start.
    single: bool,
}

#[derive(Debug)]
struct State {
    shares: Shares,
    reclaim: Reclaim,
    lease: LeaseState,
    lease_end: Duration,
    /// Generation of the list by which the lease was last held.
    generation: u64,
}

impl Holder {
    pub(crate) fn new(
        now: Duration,
        incarnation: Incarnation,
        settings: &Settings,
        single: bool,
    ) -> Self {
        let timing = Timing {
            propagation: settings.timing.propagation,
            hold_down: settings.timing.hold_down() + CLAIM_AGE,
        };
        Holder {
            state: Mutex::new(State {
                shares: Shares::new(incarnation.0, timing),
                reclaim: Reclaim::new(now, timing),
                lease: LeaseState::Held,
                lease_end: Duration::MAX,
                generation: 0,
            }),
            single,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts the limits of a sheet in force.
    pub(crate) fn configure(&self, now: Duration, sheet: &Sheet) {
        let limits = sheet.workspaces.iter().map(|(name, workspace)| {
            let limit = Limit {
                rate: workspace.rate,
                burst: workspace.burst,
            };
            (name.clone(), limit)
        });
        let mut state = self.lock();
        state.shares.configure(now, limits);
        if self.single {
            let epoch = wall_millis();
            for workspace in sheet.workspaces.keys() {
                for number in 0..PARTS {
                    // False for parts that are held already.
                    state.shares.start_part(now, workspace, number, epoch);
                }
            }
        }
    }

    /// Applies a VM list: who may hold parts, and which parts this daemon succeeds to.
    pub(crate) fn set_listed(
        &self,
        now: Duration,
        own: &Name,
        live: &[Name],
        listed: impl IntoIterator<Item = (Name, Option<Incarnation>)>,
        sheet: &Sheet,
    ) {
        let mut state = self.lock();
        let listed = listed
            .into_iter()
            .map(|(vm, incarnation)| (vm, incarnation.map(|incarnation| incarnation.0)));
        let State {
            shares, reclaim, ..
        } = &mut *state;
        reclaim.set_listed(now, shares, listed);
        for workspace in sheet.workspaces.keys() {
            let parts = succession(own, live, workspace);
            state.reclaim.set_successor(now, workspace, parts);
        }
    }

    /// Sets the lease by the list of a generation; `margin` is the time for which a lease that is
    /// held now lasts without a further call, as in a pause of the process.
    pub(crate) fn set_lease(
        &self,
        now: Duration,
        lease: LeaseState,
        generation: u64,
        margin: Duration,
    ) {
        let mut state = self.lock();
        let expired = state.lease == LeaseState::Expired || now >= state.lease_end;
        if lease == LeaseState::Held && expired && generation == state.generation {
            // No list was missed, so no other daemon can have started these parts. Without this a
            // pause of all VMs at once would lose every part.
            state.shares.keep_expired();
        }
        state.shares.set_lease(now, lease);
        state.lease = lease;
        if lease == LeaseState::Held {
            state.shares.set_lease_end(now, now + margin);
            state.lease_end = now + margin;
            state.generation = generation;
        }
    }

    pub(crate) fn suspend(&self) {
        self.lock().shares.suspend();
    }

    pub(crate) fn resume(&self) {
        self.lock().shares.resume();
    }

    pub(crate) fn settle(&self, now: Duration, reservation: Reservation, used: u64) {
        self.lock().shares.settle(now, reservation, used);
    }

    /// State of each workspace for the status document.
    pub(crate) fn status(&self, now: Duration) -> Vec<limit::Status> {
        self.lock().shares.status(now).collect()
    }

    /// Notes the claims of a query and answers it with all own claims.
    pub(crate) fn on_query(&self, now: Duration, peer: &Peer, query: &PartQuery) -> PartClaims {
        let mut state = self.lock();
        for claim in &query.claims {
            state
                .shares
                .note_claim(now, peer.incarnation.0, &claim_of(claim));
        }
        let claims = state.shares.claims(now);
        PartClaims {
            claims: claims.iter().map(claim_message).collect(),
        }
    }

    /// Answers a peer that is short of tokens.
    pub(crate) fn on_ask(&self, now: Duration, peer: &Peer, ask: &PartAsk) -> PartMoves {
        let workspace = Name::from(ask.workspace.as_str());
        let mut state = self.lock();
        let moves = state
            .shares
            .give(now, &workspace, ask.tokens, peer.incarnation.0);
        PartMoves {
            moves: moves.iter().map(move_message).collect(),
            left: state.shares.claim(now, &workspace).tokens,
        }
    }

    /// Takes parts and returns the answers for their giver.
    pub(crate) fn on_moves(
        &self,
        now: Duration,
        giver: Incarnation,
        moves: &PartMoves,
    ) -> Vec<PartAck> {
        let mut state = self.lock();
        let mut answers = Vec::new();
        for message in &moves.moves {
            let Ok(number) = u16::try_from(message.number) else {
                continue;
            };
            let part = limit::PartMove {
                workspace: message.workspace.as_str().into(),
                number,
                epoch: message.epoch,
                hops: message.hops,
                level_millis: message.level_millis,
                receiver: message.receiver,
            };
            state
                .shares
                .note_peer(now, &part.workspace, giver.0, moves.left);
            answers.push(PartAck {
                workspace: message.workspace.clone(),
                number: message.number,
                epoch: message.epoch,
                hops: message.hops,
                taken: state.shares.accept(now, giver.0, &part),
            });
        }
        answers
    }

    /// Takes the answer to a move.
    pub(crate) fn on_ack(&self, now: Duration, from: Incarnation, ack: &PartAck) {
        let Ok(number) = u16::try_from(ack.number) else {
            return;
        };
        let id = MoveId {
            workspace: ack.workspace.as_str().into(),
            number,
            epoch: ack.epoch,
            hops: ack.hops,
        };
        let mut state = self.lock();
        if ack.taken {
            state.shares.acked(now, from.0, &id);
        } else {
            state.shares.denied(now, from.0, &id);
        }
    }

    /// Parts in transit to an incarnation, to be sent again on a new link.
    pub(crate) fn in_transit_to(&self, now: Duration, incarnation: Incarnation) -> PartMoves {
        let state = self.lock();
        let moves = state.shares.in_transit(now);
        PartMoves {
            moves: moves
                .filter(|part| part.receiver == incarnation.0)
                .map(|part| move_message(&part))
                .collect(),
            left: 0,
        }
    }

    /// Gives all parts to a receiver, for a daemon that leaves.
    pub(crate) fn give_all(&self, now: Duration, receiver: Incarnation) -> PartMoves {
        let mut state = self.lock();
        let names: Vec<Name> = state.shares.status(now).map(|s| s.workspace).collect();
        let moves = names
            .iter()
            .flat_map(|name| state.shares.give_all(now, name, receiver.0))
            .map(|part| move_message(&part))
            .collect();
        PartMoves { moves, left: 0 }
    }

    /// Whether any part is held or in transit.
    pub(crate) fn holds_parts(&self, now: Duration) -> bool {
        let mut state = self.lock();
        let mut parts = state.shares.status(now);
        parts.any(|s| !s.held.is_empty() || s.in_transit > 0)
    }

    fn try_reserve(
        &self,
        now: Duration,
        workspace: &Name,
        tokens: u64,
    ) -> Result<Reservation, limit::Short> {
        self.lock().shares.reserve(now, workspace, tokens)
    }

    fn richest(&self, now: Duration, workspace: &Name) -> Vec<Incarnation> {
        let richest = self.lock().shares.richest(now, workspace);
        richest.into_iter().map(Incarnation).collect()
    }
}

/// Time between two tries while this daemon must not spend.
const RETRY: Duration = Duration::from_millis(50);

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
            Reason::Suspended | Reason::Lease if node.now() + RETRY < deadline => {
                tokio::time::sleep(RETRY).await;
                continue;
            }
            Reason::Suspended | Reason::Lease => Refusal::Expired,
            Reason::Unknown | Reason::TooLarge | Reason::Level => Refusal::Rate,
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
) -> Result<Reservation, limit::Short> {
    let mut reserved = node.holder.try_reserve(node.now(), workspace, tokens);
    if reserved.is_ok() {
        return reserved;
    }
    for vm in holders_to_ask(node, workspace) {
        let short = match &reserved {
            Err(short) if short.reason == Reason::Level => *short,
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
        reclaim.ask(node.now(), shares)
    };
    let message = PartQuery {
        claims: query.claims.iter().map(claim_message).collect(),
    };
    for incarnation in query.peers {
        let Some(vm) = node.peers.find(Incarnation(incarnation)) else {
            continue;
        };
        let node = Arc::clone(node);
        let (round, message) = (query.round, message.clone());
        tokio::spawn(async move {
            let wait = node.settings.timing.silent;
            let answer = node.peers.call(&vm, Body::PartQuery(message), wait).await;
            if let Ok(Body::PartClaims(answer)) = answer {
                let claims: Vec<Claim> = answer.claims.iter().map(claim_of).collect();
                let now = node.now();
                let mut state = node.holder.lock();
                for claim in &claims {
                    state.shares.note_claim(now, incarnation, claim);
                }
                state.reclaim.answered(round, incarnation, &claims);
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

/// Longest time to give all parts away before a shutdown.
const GIVE_AWAY: Duration = Duration::from_secs(5);

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

/// Parts of a workspace of which `own` is the successor, one bit a part.
fn succession(own: &Name, live: &[Name], workspace: &Name) -> u32 {
    let mut holders = member::ranked(workspace, live.iter().map(|vm| &**vm));
    holders.truncate(MAX_HOLDERS);
    (0..PARTS)
        .filter(|number| {
            let key = format!("{workspace}#{number}");
            member::first(&key, holders.iter().copied()) == Some(&**own)
        })
        .fold(0, |parts, number| parts | 1 << number)
}

/// Lower bound for epochs, which grows over restarts of the whole fleet.
fn wall_millis() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |since| {
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        })
}

fn move_message(part: &limit::PartMove) -> PartMove {
    PartMove {
        workspace: part.workspace.to_string(),
        number: u32::from(part.number),
        epoch: part.epoch,
        level_millis: part.level_millis,
        receiver: part.receiver,
        hops: part.hops,
    }
}

fn claim_message(claim: &Claim) -> PartClaim {
    PartClaim {
        workspace: claim.workspace.to_string(),
        numbers: claim.parts.iter().map(|(n, _)| u32::from(*n)).collect(),
        epochs: claim.parts.iter().map(|(_, epoch)| *epoch).collect(),
        tokens: claim.tokens,
    }
}

fn claim_of(message: &PartClaim) -> Claim {
    let numbers = message
        .numbers
        .iter()
        .map(|n| u16::try_from(*n).unwrap_or(u16::MAX));
    Claim {
        workspace: message.workspace.as_str().into(),
        parts: numbers.zip(message.epochs.iter().copied()).collect(),
        tokens: message.tokens,
    }
}
