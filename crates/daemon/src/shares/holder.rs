//! Bucket parts that this daemon holds, and their conversion to and from messages.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};

use limit::{
    Claim, LeaseState, Limit, MAX_CLAIM_AGE, MoveId, PARTS, Reclaim, Reservation, Shares, Timing,
};
use member::Incarnation;
use sheet::{Name, Settings, Sheet};
use wire::{PartAck, PartAsk, PartClaim, PartClaims, PartMove, PartMoves, PartQuery};

use crate::peer::Peer;

/// Daemons that may hold parts of one workspace without having asked for them, which are all
/// daemons of a small fleet. In a large fleet the bound keeps the number of queries about a
/// workspace's parts low.
const MAX_HOLDERS: usize = 16;

/// The parts that this daemon holds, and those of which it is the successor.
#[derive(Debug)]
pub(crate) struct ShareHolder {
    state: Mutex<State>,
    /// A standalone daemon holds all parts from its start.
    standalone: bool,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) shares: Shares,
    pub(super) reclaim: Reclaim,
    lease: LeaseState,
    lease_end: Duration,
    /// Generation of the VM list with which the lease was last held.
    generation: u64,
}

impl ShareHolder {
    pub(crate) fn new(
        now: Duration,
        incarnation: Incarnation,
        settings: &Settings,
        standalone: bool,
    ) -> Self {
        let timing = Timing {
            propagation: settings.timing.propagation,
            hold_down: settings.timing.hold_down() + MAX_CLAIM_AGE,
        };
        ShareHolder {
            state: Mutex::new(State {
                shares: Shares::new(incarnation.0, timing),
                reclaim: Reclaim::new(now, timing),
                lease: LeaseState::Held,
                lease_end: Duration::MAX,
                generation: 0,
            }),
            standalone,
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the workspace limits of a sheet.
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
        if self.standalone {
            let epoch = unix_millis();
            for workspace in sheet.workspaces.keys() {
                for number in 0..PARTS {
                    // Returns false for parts that are held already.
                    state.shares.start_part(now, workspace, number, epoch);
                }
            }
        }
    }

    /// Applies a VM list: which daemons may hold parts, and of which parts this daemon is the
    /// successor.
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
            let parts = successor_parts(own, live, workspace);
            state.reclaim.set_successor(now, workspace, parts);
        }
    }

    /// Sets the lease state as of a list generation. `margin` is the time for which a lease that is
    /// held now lasts without a further call, as when the process is paused.
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
            state.shares.keep_parts_after_expiry();
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
    pub(crate) fn status(&self, now: Duration) -> Vec<limit::WorkspaceStatus> {
        self.lock().shares.status(now).collect()
    }

    /// Records the claims in a query and returns all claims of this daemon.
    pub(crate) fn on_query(&self, now: Duration, peer: &Peer, query: &PartQuery) -> PartClaims {
        let mut state = self.lock();
        for claim in &query.claims {
            state
                .shares
                .record_claim(now, peer.incarnation.0, &claim_from_message(claim));
        }
        let claims = state.shares.claims(now);
        PartClaims {
            claims: claims.iter().map(claim_message).collect(),
        }
    }

    /// Gives parts to a peer that is short of tokens.
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

    /// Accepts parts from a peer and returns an acknowledgement for each of them.
    pub(crate) fn on_moves(
        &self,
        now: Duration,
        sender: Incarnation,
        moves: &PartMoves,
    ) -> Vec<PartAck> {
        let mut state = self.lock();
        let mut acks = Vec::new();
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
                .record_peer_tokens(now, &part.workspace, sender.0, moves.left);
            acks.push(PartAck {
                workspace: message.workspace.clone(),
                number: message.number,
                epoch: message.epoch,
                hops: message.hops,
                taken: state.shares.accept(now, sender.0, &part),
            });
        }
        acks
    }

    /// Handles the acknowledgement of a part that was sent.
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
            state.shares.move_accepted(now, from.0, &id);
        } else {
            state.shares.move_denied(now, from.0, &id);
        }
    }

    /// Parts in transit to an incarnation, to be resent on a new link.
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

    /// Gives all parts to a receiver before this daemon leaves.
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

    /// Whether any part of a workspace is held.
    pub(super) fn holds_parts_of(&self, now: Duration, workspace: &Name) -> bool {
        !self.lock().shares.claim(now, workspace).parts.is_empty()
    }

    pub(super) fn try_reserve(
        &self,
        now: Duration,
        workspace: &Name,
        tokens: u64,
    ) -> Result<Reservation, limit::ReserveError> {
        self.lock().shares.reserve(now, workspace, tokens)
    }

    pub(super) fn peers_by_tokens(&self, now: Duration, workspace: &Name) -> Vec<Incarnation> {
        let peers_by_tokens = self.lock().shares.peers_by_tokens(now, workspace);
        peers_by_tokens.into_iter().map(Incarnation).collect()
    }
}

/// Parts of a workspace of which `own` is the successor, as a bit set.
fn successor_parts(own: &Name, live: &[Name], workspace: &Name) -> u32 {
    let mut holders = member::ranked(workspace, live.iter().map(|vm| &**vm));
    holders.truncate(MAX_HOLDERS);
    (0..PARTS)
        .filter(|number| {
            let key = format!("{workspace}#{number}");
            member::first_ranked(&key, holders.iter().copied()) == Some(&**own)
        })
        .fold(0, |parts, number| parts | 1 << number)
}

/// Unix time in milliseconds. As a lower bound for epochs it grows over restarts of the whole
/// fleet.
pub(super) fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |since| {
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        })
}

pub(super) fn move_message(part: &limit::PartMove) -> PartMove {
    PartMove {
        workspace: part.workspace.to_string(),
        number: u32::from(part.number),
        epoch: part.epoch,
        level_millis: part.level_millis,
        receiver: part.receiver,
        hops: part.hops,
    }
}

pub(super) fn claim_message(claim: &Claim) -> PartClaim {
    PartClaim {
        workspace: claim.workspace.to_string(),
        numbers: claim.parts.iter().map(|(n, _)| u32::from(*n)).collect(),
        epochs: claim.parts.iter().map(|(_, epoch)| *epoch).collect(),
        tokens: claim.tokens,
    }
}

pub(super) fn claim_from_message(message: &PartClaim) -> Claim {
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
