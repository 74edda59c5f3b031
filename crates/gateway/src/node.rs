//! State of the process, shared by all tasks of its single thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use admit::{
    Catalog, Decision, GrantLedger, GrantedElsewhere, Name, NamedLimits, Offer, Owner, Refusal,
    RunId, RunReport, Settings, StartReport,
};
use log::debug;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use prost::Message;
use rand::RngExt;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{sleep, timeout};

use crate::adapter::HttpDialect;
use crate::buffer_budget::BufferBudget;
use crate::clock;
use crate::left_runs::LeftRuns;
use crate::log_throttle::LogThrottle;
use crate::membership::{Membership, vm_class, zone_code};
use crate::message::{Body, Datagram, GrantMsg, RefuseMsg, ReleaseMsg, StartMsg, millis};
use crate::poison_parts::{Part, PoisonParts};
use crate::rate_link;
use crate::record_log::RecordLog;
use crate::run_listing::RunListing;
use crate::run_number::RunNumber;
use crate::target_pauses::TargetPauses;
use crate::upstream::UpstreamPool;

/// Why a reply is meant for no request of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StrayReply {
    /// It is for a process that ran at this address before.
    OtherProcess,
    /// Another owner is asked for the run by now.
    NotAsked,
    /// No request waits for it any more.
    Over,
}

impl StrayReply {
    /// Label in metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            StrayReply::OtherProcess => "other_process",
            StrayReply::NotAsked => "not_asked",
            StrayReply::Over => "over",
        }
    }
}

/// Reply of an owner to an offer.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    Queued,
    Granted {
        from: Ipv4Addr,
        target: Name,
        /// Whether a target was passed over before because of the limit that it names.
        has_met_limit: bool,
    },
    Refused {
        reason: Refusal,
        retry_after: Duration,
        /// Whether no other owner would admit the request.
        is_final: bool,
    },
}

/// An offer of this entry that waits for the reply of one owner.
struct PendingOffer {
    asked: Ipv4Addr,
    tx: mpsc::UnboundedSender<Reply>,
}

/// A run of this entry that is in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlight {
    pub(crate) owner: Ipv4Addr,
    pub(crate) target: u64,
}

/// Calls to the store that succeeded one after the other.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreContact {
    pub(crate) first: Duration,
    pub(crate) last: Duration,
}

/// Counts as one in a shared counter until it is dropped.
pub(crate) struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    pub(crate) fn new(count: &Rc<Cell<usize>>) -> Self {
        count.update(|count| count + 1);
        CountGuard(Rc::clone(count))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.update(|count| count - 1);
    }
}

pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) dialect: Box<dyn HttpDialect>,
    /// Renders the metrics; `None` if another recorder was already installed.
    pub(crate) metrics: Option<PrometheusHandle>,
    pub(crate) incarnation: u64,
    pub(crate) catalog: RefCell<Catalog>,
    pub(crate) membership: RefCell<Membership>,
    pub(crate) owner: RefCell<Owner>,
    pub(crate) poison_parts: RefCell<PoisonParts>,
    pub(crate) left_runs: RefCell<LeftRuns>,
    /// Wakes the task that checks the targets of left runs.
    pub(crate) run_left: Notify,
    pub(crate) grant_ledger: RefCell<GrantLedger>,
    pub(crate) named_limits: RefCell<NamedLimits>,
    /// Targets, by key, whose malformed limits were logged.
    pub(crate) malformed_limits: RefCell<LogThrottle<u64>>,
    pub(crate) target_pauses: RefCell<TargetPauses>,
    pub(crate) upstreams: UpstreamPool,
    /// Bounds what is buffered for all requests together.
    pub(crate) buffers: BufferBudget,
    /// Wakes the task that polls the owner.
    pub(crate) owner_changed: Notify,
    /// Copy of the store's items, from which other members are served.
    pub(crate) record_log: RefCell<RecordLog>,
    /// Wakes the followers that wait for changes of the record log.
    pub(crate) log_changed: watch::Sender<()>,
    /// Whether this member reads the store itself.
    pub(crate) reads_store: Cell<bool>,
    /// Requests a heartbeat before the next regular one.
    pub(crate) heartbeat_requested: Notify,
    /// Notifies the store follower that another member may have seen a newer revision.
    pub(crate) relist_requested: Notify,
    pub(crate) stopping: watch::Sender<bool>,
    /// Time by which all requests have to be answered, once the process stops.
    pub(crate) answer_by: watch::Sender<Option<Duration>>,
    /// Requests that are being served.
    pub(crate) serving: Rc<Cell<usize>>,
    /// Open connections of callers and of the auxiliary servers.
    pub(crate) connections: Rc<Cell<usize>>,
    /// Time of the last successful call to the store.
    pub(crate) last_store_success: Cell<Duration>,
    /// Successful calls of this member to the store, since one failed.
    pub(crate) store_contact: Cell<Option<StoreContact>>,
    pub(crate) runs: RefCell<HashMap<RunNumber, InFlight>>,
    pub(crate) run_listing: RefCell<RunListing>,
    pending: RefCell<HashMap<RunNumber, PendingOffer>>,
    /// Addresses of the entries that sent offers or heartbeats to this process, by incarnation.
    entry_addresses: RefCell<HashMap<u64, Ipv4Addr>>,
    next_run: Cell<RunNumber>,
    /// `Membership::discoveries` when the owner's limit shares were set.
    limit_shares_discoveries: Cell<u64>,
    socket: UdpSocket,
}

impl Node {
    pub(crate) fn new(
        settings: Settings,
        dialect: Box<dyn HttpDialect>,
        socket: UdpSocket,
    ) -> Rc<Self> {
        let incarnation = rand::rng().random();
        let mut membership = Membership::new(settings.ip, incarnation, settings.seeds.clone());
        membership.update_local(|me| {
            me.capacity_class = vm_class(settings.cores, settings.link_mbps);
            me.zone = zone_code(&settings.zone);
        });
        Rc::new(Node {
            catalog: RefCell::new(Catalog::new(settings.lapse_grace)),
            membership: RefCell::new(membership),
            owner: RefCell::new(Owner::new(clock::now(), settings.clone())),
            poison_parts: RefCell::default(),
            left_runs: RefCell::default(),
            run_left: Notify::new(),
            grant_ledger: RefCell::default(),
            named_limits: RefCell::default(),
            malformed_limits: RefCell::default(),
            target_pauses: RefCell::default(),
            upstreams: UpstreamPool::default(),
            buffers: BufferBudget::for_memory(settings.memory),
            owner_changed: Notify::new(),
            record_log: RefCell::default(),
            log_changed: watch::Sender::new(()),
            reads_store: Cell::new(true),
            heartbeat_requested: Notify::new(),
            relist_requested: Notify::new(),
            stopping: watch::Sender::new(false),
            answer_by: watch::Sender::new(None),
            serving: Rc::default(),
            connections: Rc::default(),
            last_store_success: Cell::new(Duration::ZERO),
            store_contact: Cell::new(None),
            runs: RefCell::default(),
            run_listing: RefCell::default(),
            pending: RefCell::default(),
            entry_addresses: RefCell::default(),
            next_run: Cell::new(RunNumber::first(incarnation)),
            limit_shares_discoveries: Cell::new(0),
            incarnation,
            dialect,
            metrics: PrometheusBuilder::new().install_recorder().ok(),
            settings,
            socket,
        })
    }

    pub(crate) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Time left until a deadline, or until the process has to have answered because it stops.
    pub(crate) fn time_left(&self, deadline: Duration) -> Duration {
        let answer_by = *self.answer_by.borrow();
        let until = answer_by.map_or(deadline, |answer_by| answer_by.min(deadline));
        until.saturating_sub(clock::now())
    }

    /// Waits for an operation, but not beyond a deadline or the time by which the process has to
    /// have answered because it stops. Returns `None` if that comes first.
    pub(crate) async fn before<F: Future>(&self, deadline: Duration, op: F) -> Option<F::Output> {
        let mut answer_by = self.answer_by.subscribe();
        let is_over = async {
            // Fails only if the sender is dropped, but `self` holds it.
            let _ = timeout(
                self.time_left(deadline),
                answer_by.wait_for(Option::is_some),
            )
            .await;
            sleep(self.time_left(deadline)).await;
        };
        tokio::select! {
            biased;
            output = op => Some(output),
            () = is_over => None,
        }
    }

    /// Whether callers are served.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.catalog.borrow().is_ready()
    }

    /// Time since the last successful call to the store.
    pub(crate) fn store_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_store_success.get())
    }

    pub(crate) fn new_run(&self) -> RunNumber {
        let run = self.next_run.get();
        self.next_run.set(run.next());
        run
    }

    /// Id of a run of this entry.
    pub(crate) fn local_run_id(&self, run: RunNumber) -> RunId {
        RunId {
            entry: self.incarnation,
            run: run.to_wire(),
        }
    }

    /// Registers a run for which replies of one owner are expected, in place of those of any other.
    pub(crate) fn register_pending(
        &self,
        run: RunNumber,
        asked: Ipv4Addr,
    ) -> mpsc::UnboundedReceiver<Reply> {
        let (tx, rx) = mpsc::unbounded_channel();
        let offer = PendingOffer { asked, tx };
        self.pending.borrow_mut().insert(run, offer);
        rx
    }

    pub(crate) fn remove_pending(&self, run: RunNumber) {
        self.pending.borrow_mut().remove(&run);
    }

    /// Passes a reply to the request that waits for it.
    ///
    /// # Errors
    /// Returns why the reply is meant for no request.
    pub(crate) fn deliver(
        &self,
        run: RunNumber,
        from: Ipv4Addr,
        reply: Reply,
    ) -> Result<(), StrayReply> {
        if !run.is_of(self.incarnation) {
            return Err(StrayReply::OtherProcess);
        }
        let pending = self.pending.borrow();
        let offer = pending.get(&run).ok_or(StrayReply::Over)?;
        if offer.asked != from {
            return Err(StrayReply::NotAsked);
        }
        offer.tx.send(reply).map_err(|_| StrayReply::Over)
    }

    pub(crate) fn record_entry(&self, incarnation: u64, ip: Ipv4Addr) {
        self.entry_addresses.borrow_mut().insert(incarnation, ip);
    }

    /// Forgets the process that chose a run and was replaced by another one at its address, with all
    /// its runs and offers. Returns false if it is not known.
    pub(crate) fn drop_replaced_entry(&self, ip: Ipv4Addr, run: RunNumber) -> bool {
        let mut addresses = self.entry_addresses.borrow_mut();
        let ended: Vec<u64> = addresses
            .extract_if(|&incarnation, &mut at| at == ip && run.is_of(incarnation))
            .map(|(incarnation, _)| incarnation)
            .collect();
        if ended.is_empty() {
            return false;
        }
        let mut owner = self.owner.borrow_mut();
        owner.drop_entries(|incarnation| ended.contains(&incarnation));
        true
    }

    /// Forgets entries whose process has ended, and their runs.
    pub(crate) fn drop_ended_entries(&self, now: Duration) {
        let membership = self.membership.borrow();
        let mut ended = Vec::new();
        self.entry_addresses
            .borrow_mut()
            .retain(|&incarnation, &mut ip| {
                let is_over = membership.has_ended(now, ip, incarnation);
                if is_over {
                    ended.push(incarnation);
                }
                !is_over
            });
        if !ended.is_empty() {
            self.owner
                .borrow_mut()
                .drop_entries(|incarnation| ended.contains(&incarnation));
        }
    }

    /// Gives the owner its shares of the fleet-wide limits.
    pub(crate) fn set_limit_shares(&self, now: Duration) {
        let mut owner = self.owner.borrow_mut();
        let membership = self.membership.borrow();
        let share =
            |(shard, requesting_entries)| membership.limit_share(now, shard, requesting_entries);
        let limit_shares = (0..)
            .zip(owner.requesting_entries(now))
            .map(share)
            .collect();
        owner.set_limit_shares(now, limit_shares);
        let is_holder = |name: &Name| membership.rate_holder(now, name) == Some(self.settings.ip);
        owner.set_holder_shares(now, membership.holder_shares(now), is_holder);
        self.limit_shares_discoveries.set(membership.discoveries());
    }

    /// Whether the store has served this member for the grace time of lapsed entries, so that none
    /// lapsed because it was away.
    pub(crate) fn is_served_steadily(&self, now: Duration) -> bool {
        let grace = self.settings.lapse_grace;
        let is_recent = |contact: &StoreContact| {
            self.reads_store.get() || now.saturating_sub(contact.last) < grace
        };
        self.store_contact
            .get()
            .filter(is_recent)
            .is_some_and(|contact| now.saturating_sub(contact.first) >= grace)
    }

    /// Forgets failed calls to the store if it served another member all the while: this member, or
    /// the one that it follows, was cut off, and entries that are removed did not lapse.
    pub(crate) fn dismiss_connection_failures(&self, now: Duration) {
        if self.membership.borrow().is_store_steady(now) {
            self.catalog.borrow_mut().dismiss_store_failure();
        }
    }

    /// Updates the owner's limit shares if they are out of date. A member that has just met its
    /// fleet would otherwise start the buckets of workspaces with the share of an unknown fleet,
    /// which covers no request.
    pub(crate) fn refresh_limit_shares(&self, now: Duration) {
        let has_discovered =
            self.membership.borrow().discoveries() != self.limit_shares_discoveries.get();
        if has_discovered || self.owner.borrow().needs_limit_shares(now) {
            self.set_limit_shares(now);
        }
    }

    /// Finds the holder of a workspace's rate, if it is not known since the last heartbeat.
    pub(crate) fn find_rate_holder(&self, now: Duration, workspace: &Name) {
        if self.owner.borrow().needs_rate_holder(workspace) {
            let holder = self.membership.borrow().rate_holder(now, workspace);
            let mut owner = self.owner.borrow_mut();
            owner.set_rate_holder(workspace.clone(), holder);
        }
    }

    /// Applies the catalog to the owner.
    pub(crate) fn apply_catalog_to_owner(&self) {
        let now = clock::now();
        let mut owner = self.owner.borrow_mut();
        owner.apply_catalog(now, &self.catalog.borrow());
        owner.apply_named_limits(now, &self.named_limits.borrow());
        drop(owner);
        self.decide();
    }

    /// Applies the limits that targets have named to the owner.
    pub(crate) fn apply_named_limits(&self) {
        self.owner
            .borrow_mut()
            .apply_named_limits(clock::now(), &self.named_limits.borrow());
        self.decide();
    }

    /// Submits an offer to the local owner, and decides. `elsewhere` is what other owners granted to the
    /// entry.
    pub(crate) fn offer(&self, offer: Offer, elsewhere: &[GrantedElsewhere]) {
        let now = clock::now();
        let refusal = self
            .poison_parts
            .borrow()
            .refusal(now, &Part::of_fingerprints(offer.fingerprints));
        if let Some(retry_after) = refusal {
            // The entry may not know it yet.
            self.owner.borrow_mut().withdraw(now, offer.id);
            self.send_decision(Decision::Refuse {
                id: offer.id,
                reason: Refusal::Poison,
                retry_after,
                is_final: true,
            });
            return;
        }
        self.refresh_limit_shares(now);
        if let Some(workspace) = &offer.workspace {
            self.find_rate_holder(now, workspace);
        }
        if !elsewhere.is_empty() {
            metrics::counter!("primrosechute_rate_reports_total").increment(1);
        }
        let catalog = self.catalog.borrow();
        let mut owner = self.owner.borrow_mut();
        owner.learn_grants(now, &catalog, &offer, elsewhere);
        owner.offer(now, &catalog, offer);
        drop((owner, catalog));
        self.decide();
    }

    /// Lets the owner decide and sends its decisions.
    pub(crate) fn decide(&self) {
        let now = clock::now();
        self.refresh_limit_shares(now);
        let decisions = self.owner.borrow_mut().poll(now);
        for decision in decisions {
            self.send_decision(decision);
        }
        rate_link::send_requests(self);
        if self.owner.borrow().has_queued() {
            self.owner_changed.notify_one();
        }
    }

    pub(crate) fn send(&self, to: Ipv4Addr, body: Body) {
        let datagram = Datagram {
            sender: self.incarnation,
            body: Some(body),
        };
        let address = SocketAddr::from((to, self.settings.peer_reach));
        let encoded = datagram.encode_to_vec();
        let kind = datagram.body.as_ref().map_or("none", Body::kind);
        self.count_sent(to, kind, encoded.len());
        // A failed send counts as a lost datagram; whatever must arrive is sent again.
        if let Err(err) = self.socket.try_send_to(&encoded, address) {
            metrics::counter!("primrosechute_datagrams_unsent_total").increment(1);
            debug!("peer: a datagram to {to} was not sent: {err}");
        }
    }

    /// Sends the end of a run or an offer to its owner. Lists of runs repeat it.
    pub(crate) fn send_end(&self, owner: Ipv4Addr, body: Body) {
        self.run_listing
            .borrow_mut()
            .record_end(clock::now(), owner);
        self.send(owner, body);
    }

    /// Counts bytes sent to another member.
    pub(crate) fn count_sent(&self, to: Ipv4Addr, kind: &'static str, bytes: usize) {
        let zone = match self.membership.borrow().is_in_own_zone(to) {
            Some(true) => "own",
            Some(false) => "other",
            None => "unknown",
        };
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        metrics::counter!("primrosechute_peer_bytes_total", "kind" => kind, "zone" => zone)
            .increment(bytes);
    }

    pub(crate) async fn receive(&self, buf: &mut [u8]) -> std::io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(buf).await
    }

    /// Tells the owner that granted a run that its first event has arrived.
    pub(crate) fn start_run(&self, owner: Ipv4Addr, run: RunNumber, report: &StartReport) {
        if owner == self.settings.ip {
            let id = self.local_run_id(run);
            self.owner.borrow_mut().start(clock::now(), id, report);
        } else {
            self.send(owner, Body::Start(StartMsg::new(run, report)));
        }
    }

    /// Ends a run at the owner that granted it.
    pub(crate) fn release(&self, owner: Ipv4Addr, run: RunNumber, report: &RunReport) {
        self.runs.borrow_mut().remove(&run);
        if owner == self.settings.ip {
            let id = self.local_run_id(run);
            self.owner.borrow_mut().release(clock::now(), id, report);
            self.decide();
        } else {
            self.send_end(owner, Body::Release(ReleaseMsg::new(run, report)));
        }
    }

    fn send_decision(&self, decision: Decision) {
        let id = decision.id();
        if id.entry == self.incarnation {
            let run = RunNumber::from_wire(id.run);
            // A request that is over has withdrawn its offer.
            let _ = self.deliver(run, self.settings.ip, self.reply(decision));
            return;
        }
        let Some(to) = self.entry_addresses.borrow().get(&id.entry).copied() else {
            return;
        };
        let body = match decision {
            Decision::Grant {
                target,
                has_met_limit,
                ..
            } => Body::Grant(GrantMsg {
                run: id.run,
                target: target.to_string(),
                has_met_limit,
            }),
            Decision::Refuse {
                reason,
                retry_after,
                is_final,
                ..
            } => Body::Refuse(RefuseMsg {
                run: id.run,
                reason: reason.code(),
                retry_ms: millis(retry_after),
                is_final,
            }),
        };
        self.send(to, body);
    }

    fn reply(&self, decision: Decision) -> Reply {
        match decision {
            Decision::Grant {
                target,
                has_met_limit,
                ..
            } => Reply::Granted {
                from: self.settings.ip,
                target,
                has_met_limit,
            },
            Decision::Refuse {
                reason,
                retry_after,
                is_final,
                ..
            } => Reply::Refused {
                reason,
                retry_after,
                is_final,
            },
        }
    }
}
