//! The task that runs the schedulers of all pools.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use member::Incarnation;
use sched::{Config, Descriptor, Name, PermitId, RunEnd, RunReport, Scheduler};
use tokio::sync::{mpsc, oneshot};
use wire::{Body, Release, Verdict};

use super::decisions::verdict;
use super::{Handle, Msg, StateSource, run_end_from_code};
use crate::node::Node;

/// Longest interval between two polls of the schedulers, so that the deadlines of waiting requests
/// are checked even if nothing else happens.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between sweeps for permits whose release was lost.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// An offer that has no decision yet.
pub(super) struct PendingOffer {
    pub(super) reply: oneshot::Sender<Body>,
    pub(super) entry: Incarnation,
    pub(super) received: Duration,
    pub(super) hard_deadline: Duration,
}

/// A granted permit that has not ended.
pub(super) struct GrantedPermit {
    pub(super) target: Name,
    pub(super) id: Name,
    pub(super) entry: Incarnation,
    pub(super) expires: Duration,
    /// Time by which the scheduler has freed the capacity, whatever happened to the run.
    pub(super) hard_deadline: Duration,
    /// Whether the engine is already polled about the run.
    pub(super) watched: bool,
}

pub(super) struct OwnerTask {
    pub(super) node: Arc<Node>,
    pub(super) pools: HashMap<Name, Scheduler>,
    /// Pool of each owned target.
    pub(super) targets: HashMap<Name, Name>,
    pub(super) pending: HashMap<Name, PendingOffer>,
    /// Permit ids are unique only within a scheduler, so the pool is part of the key.
    pub(super) granted: HashMap<(Name, PermitId), GrantedPermit>,
    pub(super) in_doubt: bool,
    /// When permits past their hard deadline were last removed.
    pub(super) last_sweep: Duration,
}

/// Starts the owner task.
pub(crate) fn start(node: Arc<Node>, rx: mpsc::UnboundedReceiver<Msg>) {
    let task = OwnerTask {
        node,
        pools: HashMap::new(),
        targets: HashMap::new(),
        pending: HashMap::new(),
        granted: HashMap::new(),
        in_doubt: false,
        last_sweep: Duration::ZERO,
    };
    tokio::spawn(task.run(rx));
}

impl OwnerTask {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Msg>) {
        loop {
            let wait = self.time_to_next_poll();
            match tokio::time::timeout(wait, rx.recv()).await {
                Ok(Some(msg)) => {
                    self.receive(msg);
                    // Receives everything that has arrived before the poll, so that a burst is
                    // scheduled as a whole.
                    while let Ok(msg) = rx.try_recv() {
                        self.receive(msg);
                    }
                }
                Ok(None) => return,
                Err(_) => {}
            }
            self.poll_schedulers();
            self.sweep();
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.node.now()
    }

    /// Removes permits past their hard deadline, whose release was lost.
    fn sweep(&mut self) {
        let now = self.now();
        if now.saturating_sub(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = now;
            self.granted
                .retain(|_, granted| granted.hard_deadline > now);
        }
    }

    fn time_to_next_poll(&self) -> Duration {
        let now = self.now();
        self.pools
            .values()
            .filter_map(Scheduler::next_wakeup)
            .min()
            .map_or(MAX_POLL_INTERVAL, |at| {
                at.saturating_sub(now).min(MAX_POLL_INTERVAL)
            })
    }

    fn receive(&mut self, msg: Msg) {
        match msg {
            Msg::Offer {
                pool,
                descriptor,
                entry,
                reply,
            } => self.offer(&pool, descriptor, entry, reply),
            Msg::Withdraw { pool, id } => self.withdraw(&pool, &id),
            Msg::Release(release) => self.release(release),
            Msg::Load {
                target,
                report,
                measured,
            } => self.load(&target, report, measured),
            Msg::TargetRefused(target) => self.target_refused(&target),
            Msg::SetTarget { pool, spec, source } => self.set_target(&pool, spec, source),
            Msg::GiveUp { target, reply } => {
                // The target is given up even if the requesting task is gone.
                let _ = reply.send(self.give_up(&target));
            }
            Msg::InDoubt(in_doubt) => self.set_in_doubt(in_doubt),
            Msg::LinkClosed(entry) => self.link_closed(entry),
            Msg::EntryGone(entry) => self.entry_gone(entry),
            Msg::RunEnded { pool, id, permit } => self.run_ended(&pool, &id, permit),
            Msg::Suspect {
                fingerprint,
                crashed,
                remember,
                reply,
            } => {
                let known = self.suspect(fingerprint, &crashed, remember);
                if let Some(reply) = reply {
                    let _ = reply.send(known);
                }
            }
            Msg::Digests(reply) => {
                let _ = reply.send(self.digests());
            }
            Msg::Status(reply) => {
                let _ = reply.send(self.status());
            }
        }
    }

    fn offer(
        &mut self,
        pool: &Name,
        descriptor: Descriptor,
        entry: Incarnation,
        reply: oneshot::Sender<Body>,
    ) {
        let now = self.now();
        let owns_any = self.targets.values().any(|owned| owned == pool);
        let Some(scheduler) = self.pools.get_mut(pool).filter(|_| owns_any) else {
            let _ = reply.send(verdict(Verdict::NotOwner(self.node.sheet().revision)));
            return;
        };
        let pending = PendingOffer {
            reply,
            entry,
            received: now,
            hard_deadline: descriptor.hard_deadline,
        };
        let before = self.pending.insert(descriptor.id.clone(), pending);
        // An entry offers a request to one owner at a time, so a second offer of a waiting request
        // only replaces the reply channel.
        if before.is_none() {
            scheduler.offer(now, descriptor);
        }
    }

    fn withdraw(&mut self, pool: &Name, id: &Name) {
        let now = self.now();
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.withdraw(now, id);
        }
        self.pending.remove(id);
    }

    /// Ends a permit. The release of an own permit that is no longer known is forwarded to the
    /// present owner of its target; a permit of an earlier owner is ended by its request id.
    fn release(&mut self, release: Release) {
        let pool = Name::from(release.pool.as_str());
        let permit = PermitId(release.permit);
        let own = Incarnation(release.owner) == self.node.incarnation;
        let known = self.granted.contains_key(&(pool.clone(), permit));
        if own && known {
            self.end_permit(&pool, permit, run_report(&release));
        } else if own {
            crate::fleet::forward_release(&self.node, release);
        } else if let Some(scheduler) = self.pools.get_mut(&pool) {
            let now = self.node.now();
            scheduler.release_request(now, &release.id, run_report(&release));
        }
    }

    /// Ends a permit that this owner granted.
    pub(super) fn end_permit(&mut self, pool: &Name, permit: PermitId, report: RunReport) {
        let now = self.now();
        self.granted.remove(&(pool.clone(), permit));
        if let Some(scheduler) = self.pools.get_mut(pool) {
            scheduler.release(now, permit, report);
        }
    }

    fn load(&mut self, target: &Name, report: sched::LoadReport, measured: Duration) {
        let now = self.now();
        let pool = self.targets.get(target);
        if let Some(pool) = pool.and_then(|pool| self.pools.get_mut(pool)) {
            pool.load_report_at(now, target, report, measured);
        }
    }

    fn target_refused(&mut self, target: &Name) {
        let now = self.now();
        let pool = self.targets.get(target);
        if let Some(pool) = pool.and_then(|pool| self.pools.get_mut(pool)) {
            pool.connection_refused(now, target);
        }
    }

    /// Starts or updates an owned target in the scheduler of its pool.
    fn set_target(&mut self, pool: &Name, spec: sched::TargetSpec, source: StateSource) {
        let now = self.now();
        let tiers = u8::try_from(self.node.sheet().tiers.len().max(1)).unwrap_or(u8::MAX);
        let (max_waiting, permit_life) = {
            let settings = &self.node.settings;
            (settings.limits.max_waiting, settings.timing.permit_life)
        };
        let in_doubt = self.in_doubt;
        let scheduler = self.pools.entry(pool.clone()).or_insert_with(|| {
            let mut scheduler = Scheduler::new(Config {
                tiers,
                max_waiting,
                permit_life,
                ..Config::default()
            });
            scheduler.set_lease_in_doubt(in_doubt);
            scheduler
        });
        self.targets.insert(spec.name.clone(), pool.clone());
        match source {
            StateSource::Fresh | StateSource::Changed => scheduler.set_target(now, spec, false),
            StateSource::AssumeFull => scheduler.set_target(now, spec, true),
            StateSource::HandedOver(handover) => {
                scheduler.adopt(now, spec, &handover);
                self.watch_adopted_runs(pool, &handover);
            }
        }
    }

    fn give_up(&mut self, target: &Name) -> Option<sched::Handover> {
        let now = self.now();
        let pool = self.targets.remove(target)?;
        let handover = self.pools.get_mut(&pool)?.hand_over(now, target);
        self.granted.retain(|_, granted| granted.target != *target);
        handover
    }

    fn set_in_doubt(&mut self, in_doubt: bool) {
        self.in_doubt = in_doubt;
        for pool in self.pools.values_mut() {
            pool.set_lease_in_doubt(in_doubt);
        }
    }

    fn suspect(&mut self, fingerprint: u64, crashed: &[Name], remember: Duration) -> wire::Suspect {
        let now = self.now();
        let known = self
            .pools
            .values_mut()
            .filter_map(|pool| pool.merge_suspect(fingerprint, crashed, now + remember))
            .max_by_key(|suspect| suspect.crashed.len());
        match known {
            Some(suspect) => suspect_message(now, &suspect),
            None => wire::Suspect {
                fingerprint,
                ..wire::Suspect::default()
            },
        }
    }
}

impl Handle {
    /// Creates the channel to the owner task.
    pub(crate) fn channel() -> (Handle, mpsc::UnboundedReceiver<Msg>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (Handle { tx }, rx)
    }
}

pub(super) fn suspect_message(now: Duration, suspect: &sched::Suspect) -> wire::Suspect {
    wire::Suspect {
        fingerprint: suspect.fingerprint,
        targets: suspect.crashed.iter().map(ToString::to_string).collect(),
        remember_us: micros(suspect.until.saturating_sub(now)),
    }
}

pub(super) fn run_report(release: &Release) -> RunReport {
    RunReport {
        end: run_end_from_code(release.end),
        tokens: release.tokens,
        first_token: release.first_token_us.map(Duration::from_micros),
        token_gap: release.token_gap_us.map(Duration::from_micros),
    }
}

/// Report for a permit without measurements of a run.
pub(super) fn report_without_run(end: RunEnd) -> RunReport {
    RunReport {
        end,
        tokens: 0,
        first_token: None,
        token_gap: None,
    }
}

/// Whole microseconds, the unit of times in messages.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
