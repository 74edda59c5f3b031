//! Messages from peers: what each one changes, and the answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use member::{HeartbeatInfo, HelloOutcome, Incarnation, View, VmList, VmState};
use sheet::Name;
use tokio::sync::oneshot;
use wire::{Body, Heartbeat, Hello, ListPush, OutcomeReply, PROTOCOL_VERSION};

use super::{Node, lock};
use crate::entry::return_permit;
use crate::owner::{self, Msg};
use crate::peer::{LinkEvent, Peer};
use crate::shares::take_moves;

impl Node {
    pub(crate) fn hello(&self) -> Hello {
        Hello {
            version: PROTOCOL_VERSION,
            vm: self.settings.vm.to_string(),
            incarnation: self.incarnation.0,
            zone: self.settings.zone.to_string(),
            entry: self.settings.entry.to_string(),
        }
    }

    pub(crate) fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            list_generation: self.fleet.view(View::generation),
            list_age_us: owner::micros(self.fleet.view(|view| view.list_age(self.now()))),
            sheet_revision: self.sheet().revision,
            ready: self.takes_calls(),
            id_prefix: self.id_prefix().0,
        }
    }

    /// Takes what a dialled link says of its peer.
    pub(crate) fn on_link(&self, vm: &Name, address: SocketAddr, event: &LinkEvent) {
        let now = self.now();
        match event {
            LinkEvent::Up(hello) => {
                let incarnation = Incarnation(hello.incarnation);
                log::info!("peer: linked to {vm}, incarnation {incarnation}");
                self.peers.set_up(vm, Some(incarnation));
                let greeting = self.fleet.on_hello(vm, incarnation, address.ip());
                if let HelloOutcome::Restarted { old } = greeting {
                    self.owner.send(Msg::EntryGone(old));
                }
                let moves = self.holder.in_transit_to(now, incarnation);
                if !moves.moves.is_empty() {
                    self.peers.send(vm, Body::PartMoves(moves));
                }
                self.sync_listed();
            }
            LinkEvent::Refused => {
                self.peers.set_up(vm, None);
                if let Some(gone) = self.fleet.on_refused(now, vm) {
                    self.owner.send(Msg::EntryGone(gone));
                }
            }
            LinkEvent::Down => {
                self.peers.set_up(vm, None);
                self.fleet.on_silent(now, vm);
            }
        }
    }

    pub(crate) fn on_heartbeat(&self, vm: &Name, heartbeat: &Heartbeat) {
        let beat = HeartbeatInfo {
            generation: heartbeat.list_generation,
            age: Duration::from_micros(heartbeat.list_age_us),
            ready: heartbeat.ready,
        };
        self.fleet.on_heartbeat(self.now(), vm, beat);
        lock(&self.prefixes).insert(vm.clone(), Incarnation(heartbeat.id_prefix));
        self.newest_revision
            .fetch_max(heartbeat.sheet_revision, Ordering::SeqCst);
        if heartbeat.sheet_revision > self.sheet().revision {
            self.peers.send(vm, Body::SheetAsk(self.sheet().revision));
        }
        let generation = self.fleet.view(View::generation);
        if heartbeat.list_generation > generation {
            self.peers.send(vm, Body::ListAsk(generation));
        }
    }

    /// Takes a message that needs no reply.
    pub(crate) fn on_message(self: &Arc<Self>, peer: &Peer, body: Body) {
        match body {
            Body::Withdraw(withdraw) => self.owner.send(Msg::Withdraw {
                pool: withdraw.pool.into(),
                id: withdraw.id.into(),
            }),
            Body::Release(release) => self.owner.send(Msg::Release(release)),
            Body::Digest(digest) => {
                lock(&self.owners).on_digest(self.now(), &peer.vm, digest);
            }
            Body::SheetAsk(revision) => self.push_sheet(peer, revision),
            Body::SheetPush(push) => {
                self.offer_sheet(&push.content, Some(push.revision));
            }
            Body::ListAsk(generation) => self.push_list(peer, generation),
            Body::ListPush(push) => {
                if let Some(list) = list_of(&push) {
                    self.on_list_push(list, Duration::from_micros(push.age_us));
                }
            }
            Body::PartMoves(moves) => take_moves(self, &peer.vm, peer.incarnation, &moves),
            Body::PartAck(ack) => self.holder.on_ack(self.now(), peer.incarnation, &ack),
            Body::Suspect(suspect) => self.owner.send(suspect_msg(suspect, None)),
            _ => log::debug!("peer: message from {} without use", peer.vm),
        }
    }

    /// Tells the owner role of this daemon of a suspect and returns what it knows afterwards.
    pub(crate) async fn note_suspect(&self, suspect: wire::Suspect) -> Option<wire::Suspect> {
        let ask = |reply| suspect_msg(suspect, Some(reply));
        self.owner.ask(ask).await
    }

    /// Answers a request of a peer.
    pub(crate) async fn on_request(self: &Arc<Self>, peer: &Peer, body: Body) -> Option<Body> {
        match body {
            Body::Offer(offer) => self.offer(offer, peer.incarnation).await.ok(),
            Body::Suspect(suspect) => self.note_suspect(suspect).await.map(Body::Suspect),
            Body::HandoverAsk(ask) => crate::fleet::on_ask(self, peer, &ask).await,
            Body::PartAsk(ask) => Some(Body::PartMoves(self.holder.on_ask(self.now(), peer, &ask))),
            Body::PartQuery(query) => {
                let claims = self.holder.on_query(self.now(), peer, &query);
                Some(Body::PartClaims(claims))
            }
            Body::OutcomeAsk(ask) => {
                let (outcome, reason) = self.outcome(&ask.id).unwrap_or_default();
                Some(Body::OutcomeReply(OutcomeReply { outcome, reason }))
            }
            _ => None,
        }
    }

    /// Takes a reply that nobody waits for any more.
    pub(crate) fn on_orphan(self: &Arc<Self>, vm: &Name, body: &Body) {
        match (body, self.peers.incarnation(vm)) {
            (Body::PartMoves(moves), Some(giver)) => take_moves(self, vm, giver, moves),
            _ => return_permit(self, vm, body),
        }
    }

    fn push_sheet(&self, peer: &Peer, revision: u64) {
        let sheet = self.sheet();
        if sheet.revision > revision {
            let push = wire::SheetPush {
                revision: sheet.revision,
                content: sheet.to_csv().into(),
                piece: 0,
                pieces: 1,
            };
            self.peers.send(&peer.vm, Body::SheetPush(push));
        }
    }

    fn push_list(&self, peer: &Peer, generation: u64) {
        let push = self.fleet.view(|view| {
            let list = view.list().filter(|list| list.generation > generation)?;
            Some(list_push(list, view.list_age(self.now())))
        });
        if let Some(push) = push {
            self.peers.send(&peer.vm, Body::ListPush(push));
        }
    }
}

fn list_push(list: &VmList, age: Duration) -> ListPush {
    ListPush {
        generation: list.generation,
        age_us: owner::micros(age),
        vms: list
            .vms
            .iter()
            .map(|vm| wire::VmRow {
                name: vm.name.to_string(),
                zone: vm.zone.to_string(),
                leaving: vm.state == VmState::Leaving,
                entry: vm.entry.to_string(),
                peer: vm.peer.to_string(),
            })
            .collect(),
    }
}

/// The list in a message; `None` if an address is malformed.
fn list_of(push: &ListPush) -> Option<VmList> {
    let vms = push.vms.iter().map(|row| {
        Some(member::Vm {
            name: row.name.as_str().into(),
            zone: row.zone.as_str().into(),
            state: if row.leaving {
                VmState::Leaving
            } else {
                VmState::Live
            },
            entry: row.entry.parse().ok()?,
            peer: row.peer.parse().ok()?,
        })
    });
    Some(VmList {
        generation: push.generation,
        vms: vms.collect::<Option<_>>()?,
    })
}

fn suspect_msg(suspect: wire::Suspect, reply: Option<oneshot::Sender<wire::Suspect>>) -> Msg {
    Msg::Suspect {
        fingerprint: suspect.fingerprint,
        crashed: suspect.targets.into_iter().map(Name::from).collect(),
        remember: Duration::from_micros(suspect.remember_us),
        reply,
    }
}
