//! The daemon's shared state: what its roles know and how they reach each other.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use limit::Reservation;
use member::{Incarnation, VmList, VmState};
use sched::{Descriptor, PermitId, RunReport, TargetSpec};
use serde::Serialize;
use sheet::{Name, Settings, Sheet};
use tokio::sync::{oneshot, watch};
use wire::{Body, Heartbeat, Hello, ListPush, Offer, OutcomeAsk, OutcomeReply, PROTOCOL_VERSION};

use crate::clock::Clock;
use crate::entry::{Table, return_permit};
use crate::owner::{self, Msg, Source, run_end};
use crate::owners::Owners;
use crate::peer::{LinkEvent, Peer, Peers};
use crate::shares::{Holder, take_moves};

/// An address for callers, as `/v1/entries` shows it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Entry {
    vm: Name,
    zone: Name,
    address: String,
    incarnation: String,
}

/// What is known of a linked peer.
#[derive(Clone, Copy, Debug)]
struct Seen {
    incarnation: Incarnation,
    ready: bool,
}

/// Whether the daemon takes new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Starting,
    Ready,
    Draining,
}

/// State of the daemon.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) peers: Peers,
    pub(crate) owner: owner::Handle,
    pub(crate) holder: Holder,
    clock: Box<dyn Clock>,
    sheet: watch::Sender<Arc<Sheet>>,
    list: Mutex<VmList>,
    /// Counts changes of the sheet and the list that peers should hear of at once.
    changes: watch::Sender<u64>,
    seen: Mutex<HashMap<Name, Seen>>,
    owners: Mutex<Owners>,
    owned: Mutex<HashMap<Name, TargetSpec>>,
    table: Mutex<Table>,
    phase: watch::Sender<Phase>,
    pauses: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    pub(crate) fn new(
        settings: Settings,
        incarnation: Incarnation,
        clock: Box<dyn Clock>,
        owner: owner::Handle,
    ) -> Self {
        let limits = &settings.limits;
        let table = Table::new(incarnation, limits.max_outcomes, limits.max_outcome_age);
        let single = is_single(&settings);
        let holder = Holder::new(clock.now(), incarnation, &settings, single);
        Node {
            settings,
            incarnation,
            peers: Peers::default(),
            owner,
            holder,
            clock,
            sheet: watch::Sender::new(Arc::new(Sheet::default())),
            list: Mutex::default(),
            changes: watch::Sender::new(0),
            seen: Mutex::default(),
            owners: Mutex::default(),
            owned: Mutex::default(),
            table: Mutex::new(table),
            phase: watch::Sender::new(Phase::Starting),
            pauses: AtomicU64::new(0),
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    pub(crate) fn sheet(&self) -> Arc<Sheet> {
        Arc::clone(&self.sheet.borrow())
    }

    pub(crate) fn sheet_changes(&self) -> watch::Receiver<Arc<Sheet>> {
        self.sheet.subscribe()
    }

    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    pub(crate) fn with_table<T>(&self, f: impl FnOnce(&mut Table) -> T) -> T {
        f(&mut lock(&self.table))
    }

    /// Number of times that this process was found to have been paused.
    pub(crate) fn pauses(&self) -> u64 {
        self.pauses.load(Ordering::SeqCst)
    }

    /// Notes that the process was paused, which voids all permits that it holds.
    pub(crate) fn on_pause(&self, length: Duration) {
        self.pauses.fetch_add(1, Ordering::SeqCst);
        log::warn!("config: the process was paused for {length:?}; its permits are void");
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    pub(crate) fn takes_calls(&self) -> bool {
        self.phase() == Phase::Ready
    }

    pub(crate) fn drain(&self) {
        self.phase.send_replace(Phase::Draining);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Names of the targets that this daemon owns.
    pub(crate) fn owned(&self) -> Vec<Name> {
        lock(&self.owned).keys().cloned().collect()
    }

    /// Generation of the VM list in use.
    pub(crate) fn list_generation(&self) -> u64 {
        lock(&self.list).generation
    }

    pub(crate) fn is_single(&self) -> bool {
        is_single(&self.settings)
    }

    /// Puts a sheet in force if it is newer. Returns whether it was taken.
    pub(crate) fn offer_sheet(self: &Arc<Self>, bytes: &[u8]) -> bool {
        match Sheet::parse(bytes) {
            Ok(sheet) => self.take_sheet(sheet),
            Err(errors) => {
                for err in errors.iter().take(5) {
                    log::error!("config: sheet rejected: {err}");
                }
                metrics::counter!("primrosechute_sheets_rejected_total").increment(1);
                false
            }
        }
    }

    /// Puts a checked sheet in force if it is newer.
    pub(crate) fn take_sheet(self: &Arc<Self>, newer: Sheet) -> bool {
        let revision = newer.revision;
        let newer = Arc::new(newer);
        let taken = self.sheet.send_if_modified(|sheet| {
            let is_newer = revision > sheet.revision;
            if is_newer {
                *sheet = Arc::clone(&newer);
            }
            is_newer
        });
        if taken {
            log::info!("config: sheet revision {revision} is in force");
            self.holder.configure(self.now(), &newer);
            self.sync();
            self.changes.send_modify(|count| *count += 1);
        }
        taken
    }

    /// Takes a VM list if it is fresher.
    pub(crate) fn on_list(self: &Arc<Self>, list: VmList, age: Duration) {
        let _ = age;
        {
            let mut current = lock(&self.list);
            if list.generation <= current.generation && current.generation > 0 {
                return;
            }
            log::info!(
                "config: VM list generation {} with {} VMs",
                list.generation,
                list.vms.len()
            );
            *current = list;
        }
        self.sync();
        self.changes.send_modify(|count| *count += 1);
    }

    /// Applies sheet and list: links, owned targets, owners of pools, readiness.
    fn sync(self: &Arc<Self>) {
        let sheet = self.sheet();
        let list = lock(&self.list).clone();
        self.sync_links(&list);
        let mut pools: HashMap<Name, Vec<Name>> = HashMap::new();
        let mut owned = HashMap::new();
        for (name, target) in &sheet.targets {
            let Some(vm) = self.owner_of(&list, name, &target.zone) else {
                continue;
            };
            let vms = pools.entry(target.pool.clone()).or_default();
            if !vms.contains(&vm) {
                vms.push(vm.clone());
            }
            if vm == self.settings.vm {
                let spec = TargetSpec {
                    name: name.clone(),
                    capacity: target.capacity,
                    cold_limit: target.cold_limit,
                    speed: target.speed,
                    open: sheet.takes_new_work(name),
                };
                owned.insert(name.clone(), (target.pool.clone(), spec));
            }
        }
        lock(&self.owners).set(pools);
        if !self.is_single() {
            self.sync_listed();
        }
        self.sync_owned(owned);
        let ready = sheet.revision > 0 && (self.is_single() || !list.vms.is_empty());
        self.phase.send_if_modified(|phase| {
            let starts = ready && *phase == Phase::Starting;
            if starts {
                *phase = Phase::Ready;
            }
            starts
        });
    }

    /// Applies the list and the known incarnations to the share holder role.
    fn sync_listed(&self) {
        let list = lock(&self.list).clone();
        let seen = lock(&self.seen).clone();
        let live: Vec<Name> = list
            .vms
            .iter()
            .filter(|vm| vm.state == VmState::Live)
            .map(|vm| vm.name.clone())
            .collect();
        let others = list
            .vms
            .iter()
            .filter(|vm| vm.name != self.settings.vm)
            .map(|vm| {
                let incarnation = seen.get(&vm.name).map(|seen| seen.incarnation);
                (vm.name.clone(), incarnation)
            });
        let sheet = self.sheet();
        let own = &self.settings.vm;
        self.holder
            .set_listed(self.now(), own, &live, others, &sheet);
    }

    fn sync_owned(&self, owned: HashMap<Name, (Name, TargetSpec)>) {
        let mut current = lock(&self.owned);
        let gone: Vec<Name> = current
            .keys()
            .filter(|name| !owned.contains_key(*name))
            .cloned()
            .collect();
        for target in gone {
            current.remove(&target);
            let (reply, _) = oneshot::channel();
            self.owner.send(Msg::GiveUp { target, reply });
        }
        for (name, (pool, spec)) in owned {
            let source = match current.insert(name, spec.clone()) {
                Some(known) if known == spec => continue,
                Some(_) => Source::Changed,
                None => Source::Fresh,
            };
            self.owner.send(Msg::Own { pool, spec, source });
        }
    }

    fn sync_links(self: &Arc<Self>, list: &VmList) {
        let peers: Vec<_> = list
            .vms
            .iter()
            .filter(|vm| vm.name != self.settings.vm)
            .map(|vm| (vm.name.clone(), vm.peer))
            .collect();
        self.peers.set(&peers, |vm, address, rx| {
            tokio::spawn(crate::peer::dial(Arc::clone(self), vm, address, rx)).abort_handle()
        });
    }

    fn owner_of(&self, list: &VmList, target: &str, zone: &str) -> Option<Name> {
        if self.is_single() {
            return Some(self.settings.vm.clone());
        }
        let live = || list.vms.iter().filter(|vm| vm.state == VmState::Live);
        let near = live().filter(|vm| *vm.zone == *zone).map(|vm| &*vm.name);
        member::first(target, near)
            .or_else(|| member::first(target, live().map(|vm| &*vm.name)))
            .map(Name::from)
    }

    /// Chooses an owner for an offer.
    pub(crate) fn pick_owner(
        &self,
        pool: &Name,
        tier: u8,
        tried: &[Name],
        cost: u64,
    ) -> Option<Name> {
        lock(&self.owners).pick(self.now(), pool, tier, tried, cost)
    }

    pub(crate) fn settle(&self, reservation: Reservation, used: u64) {
        self.holder.settle(self.now(), reservation, used);
    }

    /// Hands an offer to the owner role of this daemon.
    pub(crate) fn offer(&self, offer: Offer, entry: Incarnation) -> oneshot::Receiver<Body> {
        let (reply, rx) = oneshot::channel();
        let now = self.now();
        self.owner.send(Msg::Offer {
            pool: offer.pool.into(),
            descriptor: Descriptor {
                id: offer.id.into(),
                tier: u8::try_from(offer.tier).unwrap_or(u8::MAX),
                workspace: offer.workspace.into(),
                cost: offer.cost,
                prompt: offer.prompt,
                prefix: offer.prefix,
                deadline: now + Duration::from_micros(offer.deadline_us),
                hard_deadline: now + Duration::from_micros(offer.hard_deadline_us),
                fingerprint: offer.fingerprint,
            },
            entry,
            reply,
        });
        rx
    }

    /// This daemon as the sender of messages to its own owner role.
    pub(crate) fn own_peer(&self) -> Peer {
        Peer {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
        }
    }

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
            list_generation: self.list_generation(),
            list_age_us: 0,
            sheet_revision: self.sheet().revision,
            ready: self.takes_calls(),
        }
    }

    /// Takes what a dialled link says of its peer.
    pub(crate) fn on_link(&self, vm: &Name, event: &LinkEvent) {
        match event {
            LinkEvent::Up(hello) => {
                let incarnation = Incarnation(hello.incarnation);
                log::info!("peer: linked to {vm}, incarnation {incarnation}");
                self.peers.set_up(vm, Some(incarnation));
                let seen = Seen {
                    incarnation,
                    ready: false,
                };
                let before = lock(&self.seen).insert(vm.clone(), seen);
                let moves = self.holder.in_transit_to(incarnation);
                if !moves.moves.is_empty() {
                    self.peers.send(vm, Body::PartMoves(moves));
                }
                self.sync_listed();
                if let Some(before) = before
                    && before.incarnation != incarnation
                {
                    self.owner.send(Msg::EntryGone(before.incarnation));
                }
            }
            LinkEvent::Refused | LinkEvent::Down => {
                self.peers.set_up(vm, None);
                if let Some(seen) = lock(&self.seen).get_mut(vm) {
                    seen.ready = false;
                }
            }
        }
    }

    pub(crate) fn on_heartbeat(self: &Arc<Self>, vm: &Name, heartbeat: &Heartbeat) {
        if let Some(seen) = lock(&self.seen).get_mut(vm) {
            seen.ready = heartbeat.ready;
        }
        if heartbeat.sheet_revision > self.sheet().revision {
            self.peers.send(vm, Body::SheetAsk(self.sheet().revision));
        }
        if heartbeat.list_generation > self.list_generation() {
            self.peers.send(vm, Body::ListAsk(self.list_generation()));
        }
    }

    pub(crate) fn on_accepted_closed(&self, peer: &Peer) {
        log::debug!("peer: link from {} closed", peer.vm);
    }

    /// Takes a message that needs no reply.
    pub(crate) fn on_message(self: &Arc<Self>, peer: &Peer, body: Body) {
        match body {
            Body::Withdraw(withdraw) => self.owner.send(Msg::Withdraw {
                pool: withdraw.pool.into(),
                id: withdraw.id.into(),
            }),
            Body::Release(release) => self.owner.send(Msg::Release {
                pool: release.pool.into(),
                permit: PermitId(release.permit),
                owner: Incarnation(release.owner),
                id: release.id.into(),
                report: RunReport {
                    end: run_end(release.end),
                    tokens: release.tokens,
                    first_token: release.first_token_us.map(Duration::from_micros),
                    token_gap: release.token_gap_us.map(Duration::from_micros),
                },
            }),
            Body::Digest(digest) => {
                lock(&self.owners).on_digest(self.now(), &peer.vm, digest);
            }
            Body::SheetAsk(revision) => self.push_sheet(peer, revision),
            Body::SheetPush(push) => {
                self.offer_sheet(&push.content);
            }
            Body::ListAsk(generation) => self.push_list(peer, generation),
            Body::ListPush(push) => {
                if let Some(list) = list_of(&push) {
                    self.on_list(list, Duration::from_micros(push.age_us));
                }
            }
            Body::PartMoves(moves) => take_moves(self, &peer.vm, peer.incarnation, &moves),
            Body::PartAck(ack) => self.holder.on_ack(self.now(), peer.incarnation, &ack),
            Body::Suspect(suspect) => self.owner.send(Msg::Suspect {
                fingerprint: suspect.fingerprint,
                crashed: suspect.targets.into_iter().map(Name::from).collect(),
                remember: Duration::from_micros(suspect.remember_us),
            }),
            _ => log::debug!("peer: message from {} without use", peer.vm),
        }
    }

    /// Answers a request of a peer.
    pub(crate) async fn on_request(self: &Arc<Self>, peer: &Peer, body: Body) -> Option<Body> {
        match body {
            Body::Offer(offer) => self.offer(offer, peer.incarnation).await.ok(),
            Body::PartAsk(ask) => Some(Body::PartMoves(self.holder.on_ask(self.now(), peer, &ask))),
            Body::PartQuery(_) => Some(Body::PartClaims(self.holder.claims(self.now()))),
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
        let list = lock(&self.list).clone();
        if list.generation > generation {
            self.peers
                .send(&peer.vm, Body::ListPush(list_push(&list, Duration::ZERO)));
        }
    }

    /// Outcome and reason of a request of this incarnation.
    pub(crate) fn outcome(&self, id: &str) -> Option<(String, String)> {
        let record = self.with_table(|table| table.get(id))?;
        Some(match record.answer.outcome() {
            Some(outcome) => (outcome.label().into(), outcome.reason().into()),
            None => ("pending".into(), String::new()),
        })
    }

    /// Asks another incarnation for the outcome of its request.
    pub(crate) async fn ask_outcome(
        &self,
        id: &Name,
        incarnation: Incarnation,
    ) -> Option<(String, String)> {
        let vm = self.peers.find(incarnation)?;
        let ask = Body::OutcomeAsk(OutcomeAsk { id: id.to_string() });
        let wait = self.settings.timing.silent;
        match self.peers.call(&vm, ask, wait).await {
            Ok(Body::OutcomeReply(reply)) if !reply.outcome.is_empty() => {
                Some((reply.outcome, reply.reason))
            }
            Ok(_) => None,
            Err(err) => {
                log::info!("peer: outcome of request {id} not known: {err}");
                None
            }
        }
    }

    /// Addresses that callers may use.
    pub(crate) fn entries(&self) -> Vec<Entry> {
        let mut entries = Vec::new();
        if self.takes_calls() {
            entries.push(Entry {
                vm: self.settings.vm.clone(),
                zone: self.settings.zone.clone(),
                address: self.settings.entry.to_string(),
                incarnation: self.id_prefix().to_string(),
            });
        }
        let seen = lock(&self.seen).clone();
        for vm in &lock(&self.list).vms {
            if let Some(seen) = seen.get(&vm.name)
                && seen.ready
                && vm.state == VmState::Live
                && vm.name != self.settings.vm
            {
                entries.push(Entry {
                    vm: vm.name.clone(),
                    zone: vm.zone.clone(),
                    address: vm.entry.to_string(),
                    incarnation: seen.incarnation.to_string(),
                });
            }
        }
        entries
    }

    fn id_prefix(&self) -> Incarnation {
        self.with_table(|table| table.prefix())
    }

    /// Requests that have not ended.
    pub(crate) fn running(&self) -> usize {
        self.with_table(|table| table.running())
    }

    /// Sends the load of the owned targets to all peers and notes it here.
    pub(crate) async fn send_digests(&self) {
        let Some(digests) = self.owner.ask(Msg::Digests).await else {
            return;
        };
        for digest in digests {
            self.peers.broadcast(&Body::Digest(digest.clone()));
            lock(&self.owners).on_digest(self.now(), &self.settings.vm, digest);
        }
    }
}

/// Whether the settings name no fleet.
fn is_single(settings: &Settings) -> bool {
    settings.peer.is_none() || settings.vm_list.is_none()
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
