//! The state that the roles of a daemon share.

mod callers;
mod messages;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use gateway::BufferBudget;
use limit::Reservation;
use member::{Incarnation, VmList, VmState};
use metrics::counter;
use sched::Descriptor;
use sheet::{Name, Settings, Sheet};
use tokio::sync::{oneshot, watch};
use wire::{Body, Offer};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Clock;
use crate::entry::{RequestTable, TokenBuckets};
use crate::fleet::Fleet;
use crate::owner::{self, Msg};
use crate::owners::PoolOwners;
use crate::peer::{Peer, Peers};
use crate::rejected::LastRejectedSheet;
use crate::shares::ShareHolder;

/// Whether the daemon accepts calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Starting,
    Ready,
    Draining,
}

/// Shared state of the daemon.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) peers: Peers,
    pub(crate) owner: owner::Handle,
    pub(crate) holder: ShareHolder,
    /// Token buckets of the baseline policy.
    pub(crate) buckets: TokenBuckets,
    pub(crate) fleet: Fleet,
    pub(crate) rejected: LastRejectedSheet,
    /// Bounds what is buffered for all requests together.
    pub(crate) buffers: BufferBudget,
    clock: Box<dyn Clock>,
    sheet: watch::Sender<Arc<Sheet>>,
    /// Counts changes that are announced to peers at once instead of with the next heartbeat.
    announcements: watch::Sender<u64>,
    owners: Mutex<PoolOwners>,
    table: Mutex<RequestTable>,
    phase: watch::Sender<Phase>,
    leaving: watch::Sender<bool>,
    pauses: AtomicU64,
    /// Prefix of new request ids of each peer.
    peer_id_prefixes: Mutex<HashMap<Name, Incarnation>>,
    /// Highest sheet revision that a peer has announced.
    newest_peer_revision: AtomicU64,
    started: Duration,
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
        let table = RequestTable::new(incarnation, limits.max_outcomes, limits.max_outcome_age);
        let standalone = is_standalone(&settings);
        let started = clock.now();
        let holder = ShareHolder::new(started, incarnation, &settings, standalone);
        let fleet = Fleet::new(&settings, incarnation, standalone);
        let buffers = BufferBudget::for_memory(limits.memory);
        Node {
            buffers,
            settings,
            incarnation,
            peers: Peers::default(),
            owner,
            holder,
            buckets: TokenBuckets::default(),
            fleet,
            rejected: LastRejectedSheet::default(),
            clock,
            sheet: watch::Sender::new(Arc::new(Sheet::default())),
            announcements: watch::Sender::new(0),
            owners: Mutex::default(),
            table: Mutex::new(table),
            phase: watch::Sender::new(Phase::Starting),
            leaving: watch::Sender::new(false),
            pauses: AtomicU64::new(0),
            peer_id_prefixes: Mutex::default(),
            newest_peer_revision: AtomicU64::new(0),
            started,
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

    pub(crate) fn announcements(&self) -> watch::Receiver<u64> {
        self.announcements.subscribe()
    }

    pub(crate) fn with_table<T>(&self, f: impl FnOnce(&mut RequestTable) -> T) -> T {
        f(&mut lock(&self.table))
    }

    /// Number of detected pauses of this process.
    pub(crate) fn pauses(&self) -> u64 {
        self.pauses.load(Ordering::SeqCst)
    }

    /// Records a pause of the process, which voids all permits that it holds.
    pub(crate) fn on_pause(&self, length: Duration) {
        self.pauses.fetch_add(1, Ordering::SeqCst);
        self.holder.suspend();
        self.fleet.on_pause(self.now(), length);
        log::warn!("config: the process was paused for {length:?}; its permits are void");
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    pub(crate) fn accepts_calls(&self) -> bool {
        self.phase() == Phase::Ready
    }

    /// Stops accepting new calls.
    pub(crate) fn drain(&self) {
        self.phase.send_replace(Phase::Draining);
        self.fleet.set_ready(false);
        self.announce();
    }

    /// Signals that the VM list marks this VM as leaving, after which the daemon drains.
    pub(crate) fn mark_leaving(&self) {
        self.leaving.send_if_modified(|leaving| {
            let first = !*leaving;
            *leaving = true;
            first
        });
    }

    /// Becomes true when the VM list marks this VM as leaving.
    pub(crate) fn leaving(&self) -> watch::Receiver<bool> {
        self.leaving.subscribe()
    }

    /// Makes all dialled links send a heartbeat at once, which announces a change to the peers.
    fn announce(&self) {
        self.announcements.send_modify(|count| *count += 1);
    }

    pub(crate) fn is_standalone(&self) -> bool {
        is_standalone(&self.settings)
    }

    /// Parses a sheet and applies it if it is newer. Returns whether it was applied. `revision` is
    /// the one that its source gave.
    pub(crate) fn parse_and_apply_sheet(
        self: &Arc<Self>,
        bytes: &[u8],
        revision: Option<u64>,
    ) -> bool {
        match Sheet::parse(bytes) {
            Ok(sheet) => self.apply_sheet(sheet),
            Err(errors) => {
                let errors = errors.iter().map(ToString::to_string);
                self.rejected
                    .set("invalid", revision, xxh3_64(bytes), errors);
                false
            }
        }
    }

    /// Applies a checked sheet if it is newer. Returns whether it was applied.
    pub(crate) fn apply_sheet(self: &Arc<Self>, newer: Sheet) -> bool {
        let revision = newer.revision;
        let newer = Arc::new(newer);
        let mut in_force = (revision, newer.hash);
        let taken = self.sheet.send_if_modified(|sheet| {
            let is_newer = revision > sheet.revision;
            if is_newer {
                *sheet = Arc::clone(&newer);
            }
            in_force = (sheet.revision, sheet.hash);
            is_newer
        });
        if !taken && revision < in_force.0 {
            counter!("primrosechute_sheets_rejected_total", "reason" => "older").increment(1);
            log::debug!(
                "config: sheet revision {revision} is older than {}",
                in_force.0
            );
        } else if !taken && newer.hash != in_force.1 {
            let err = format!(
                "revision {revision} is in force with other content; give the change a higher \
                 revision"
            );
            let hash = xxh3_64(&newer.hash.0);
            self.rejected
                .set("conflict", Some(revision), hash, std::iter::once(err));
        }
        if taken {
            log::info!("config: sheet revision {revision} is in force");
            self.rejected.clear();
            self.holder.configure(self.now(), &newer);
            self.apply_sheet_and_list();
            self.announce();
        }
        taken
    }

    /// Applies a VM list if it is fresher; `age` is the time since it was read from the platform.
    pub(crate) fn on_list(self: &Arc<Self>, list: VmList, age: Duration) {
        let (generation, vms) = (list.generation, list.vms.len());
        if self.fleet.on_list(self.now(), list, age) {
            self.apply_list(generation, vms);
        }
    }

    /// Applies a VM list that a peer relayed, if it is fresher.
    fn on_list_push(self: &Arc<Self>, list: VmList, age: Duration) {
        let (generation, vms) = (list.generation, list.vms.len());
        if self.fleet.on_list_push(self.now(), list, age) {
            self.apply_list(generation, vms);
        }
    }

    fn apply_list(self: &Arc<Self>, generation: u64, vms: usize) {
        log::info!("config: VM list generation {generation} with {vms} VMs");
        self.apply_sheet_and_list();
        self.announce();
    }

    /// Applies sheet and list to links, ownership, owners of pools and shares.
    fn apply_sheet_and_list(self: &Arc<Self>) {
        self.sync_links();
        crate::fleet::update(self);
        lock(&self.owners).set(self.fleet.owners(&self.sheet()));
        if !self.is_standalone() {
            self.sync_share_holder();
        }
        self.update_readiness();
    }

    /// Accepts calls once the newest sheet has arrived and some daemon holds shares. Before that,
    /// requests within their workspace's rate would be refused.
    pub(crate) fn update_readiness(&self) {
        if self.phase() != Phase::Starting || self.sheet().revision == 0 {
            return;
        }
        let now = self.now();
        let has_shares = || {
            self.holder.holds_parts(now)
                || self
                    .fleet
                    .with_view(|view| view.entries(now).next().is_some())
        };
        if self.is_standalone() || (self.has_newest_sheet(now) && has_shares()) {
            log::info!("entry: ready");
            self.phase.send_replace(Phase::Ready);
            self.fleet.set_ready(true);
            self.announce();
        }
    }

    /// Whether no peer can have a newer sheet: heartbeats of all were received, or the silent ones
    /// were given time to send one. A restarted daemon must not go back to the sheet of a stale
    /// service.
    fn has_newest_sheet(&self, now: Duration) -> bool {
        let linked = self.peers.linked();
        // Tokens are requested on the links that this daemon dials, so these must be up as well.
        let heard_all = self.fleet.with_view(|view| {
            let mut peers = view.peers().iter();
            peers.all(|vm| view.last_heard(vm).is_some() && linked.contains(vm))
        });
        let waited = now.saturating_sub(self.started);
        let timing = &self.settings.timing;
        let newest = self.newest_peer_revision.load(Ordering::SeqCst);
        // A revision that no peer can send, as announced by a faulty peer, must not block the
        // start.
        (heard_all || waited > 2 * timing.silent)
            && (self.sheet().revision >= newest || waited > 2 * timing.propagation)
    }

    /// Applies the list and the known incarnations to the share holder role.
    fn sync_share_holder(&self) {
        let now = self.now();
        let (live, others) = self.fleet.with_view(|view| {
            let vms = view.list().map_or(&[][..], |list| &list.vms);
            let live: Vec<Name> = vms
                .iter()
                .filter(|vm| vm.state == VmState::Live)
                .map(|vm| vm.name.clone())
                .collect();
            let others: Vec<_> = vms
                .iter()
                .filter(|vm| vm.name != self.settings.vm)
                .map(|vm| (vm.name.clone(), view.incarnation_of(&vm.name)))
                .collect();
            (live, others)
        });
        self.holder
            .set_listed(now, &self.settings.vm, &live, others, &self.sheet());
    }

    /// Dials the peers that the fleet view names and closes links to others.
    pub(crate) fn sync_links(self: &Arc<Self>) {
        let peers = self.fleet.peers_to_dial(self.now());
        self.peers.set_peers(&peers, |vm, address, rx| {
            tokio::spawn(crate::peer::dial(Arc::clone(self), vm, address, rx)).abort_handle()
        });
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
                coarse_fingerprint: offer.coarse_fingerprint,
            },
            entry,
            reply,
        });
        rx
    }

    /// This daemon as the sender of messages to its own owner role.
    pub(crate) fn as_peer(&self) -> Peer {
        Peer {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
        }
    }

    /// VMs that own targets of a pool.
    pub(crate) fn owners_of(&self, pool: &Name) -> Vec<Name> {
        lock(&self.owners).owners_of(pool)
    }

    /// Sends the load of the owned targets to all peers and records it here.
    pub(crate) async fn send_digests(&self) {
        let Some(digests) = self.owner.call(Msg::Digests).await else {
            return;
        };
        for digest in digests {
            self.peers.broadcast(&Body::Digest(digest.clone()));
            lock(&self.owners).on_digest(self.now(), &self.settings.vm, digest);
        }
    }
}

/// Whether the settings configure a daemon without a fleet.
fn is_standalone(settings: &Settings) -> bool {
    settings.peer.is_none() || settings.vm_list.is_none()
}
