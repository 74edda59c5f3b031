//! The task that runs the schedulers of all pools.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use member::Incarnation;
use sched::{Config, Descriptor, Name, PermitId, RunEnd, RunReport, Scheduler};
use tokio::sync::{mpsc, oneshot};
use wire::{Body, Release, Verdict};

use super::decide::verdict;
use super::{Handle, Msg, Source, run_end};
use crate::node::Node;

/// Longest time between two polls of the schedulers, so that deadlines of waiting requests are
/// checked although nothing else happens.
const MAX_IDLE: Duration = Duration::from_millis(250);

/// Time between two looks for permits whose release was lost.
const SWEEP: Duration = Duration::from_secs(10);

/// An offer whose decision is open.
pub(super) struct Waiting {
    pub(super) reply: oneshot::Sender<Body>,
    pub(super) entry: Incarnation,
    pub(super) received: Duration,
    pub(super) hard_deadline: Duration,
}

/// A permit that was given and not yet ended.
pub(super) struct Given {
    pub(super) target: Name,
    pub(super) id: Name,
    pub(super) entry: Incarnation,
    pub(super) expires: Duration,
    /// Time by which the scheduler has freed the place, whatever became of the run.
    pub(super) hard_deadline: Duration,
    /// Whether the engine is being asked for the run.
    pub(super) watched: bool,
}

pub(super) struct Task {
    pub(super) node: Arc<Node>,
    pub(super) pools: HashMap<Name, Scheduler>,
    /// Pool of each owned target.
    pub(super) targets: HashMap<Name, Name>,
    pub(super) waiting: HashMap<Name, Waiting>,
    /// Permits are numbered by each scheduler, so the pool is part of the key.
    pub(super) given: HashMap<(Name, PermitId), Given>,
    pub(super) in_doubt: bool,
    /// When permits past their hard deadline were last forgotten.
    pub(super) swept: Duration,
}

/// Starts the owner task.
pub(crate) fn start(node: Arc<Node>, rx: mpsc::UnboundedReceiver<Msg>) {
    let task = Task {
        node,
        pools: HashMap::new(),
        targets: HashMap::new(),
        waiting: HashMap::new(),
        given: HashMap::new(),
        in_doubt: false,
        swept: Duration::ZERO,
    };
    tokio::spawn(task.run(rx));
}

impl Task {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Msg>) {
        loop {
            let wait = self.next_wait();
            match tokio::time::timeout(wait, rx.recv()).await {
                Ok(Some(msg)) => {
                    self.receive(msg);
                    // Takes what has arrived before deciding, so that a burst is judged as a whole.
                    while let Ok(msg) = rx.try_recv() {
                        self.receive(msg);
                    }
                }
                Ok(None) => return,
                Err(_) => {}
            }
            self.decide();
            self.sweep();
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.node.now()
    }

    /// Forgets permits whose release was lost.
    fn sweep(&mut self) {
        let now = self.now();
        if now.saturating_sub(self.swept) >= SWEEP {
            self.swept = now;
            self.given.retain(|_, given| given.hard_deadline > now);
        }
    }

    fn next_wait(&self) -> Duration {
        let now = self.now();
        self.pools
            .values()
            .filter_map(Scheduler::next_wakeup)
            .min()
            .map_or(MAX_IDLE, |at| at.saturating_sub(now).min(MAX_IDLE))
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
            Msg::Own { pool, spec, source } => self.own(&pool, spec, source),
            Msg::GiveUp { target, reply } => {
                // The asking task may be gone; the target is given up all the same.
                let _ = reply.send(self.give_up(&target));
            }
            Msg::InDoubt(in_doubt) => self.set_in_doubt(in_doubt),
            Msg::LinkClosed(entry) => self.link_closed(entry),
            Msg::EntryGone(entry) => self.entry_gone(entry),
            Msg::RunGone { pool, id, permit } => self.run_gone(&pool, &id, permit),
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
        let Some(found) = self.pools.get_mut(pool).filter(|_| owns_any) else {
            let _ = reply.send(verdict(Verdict::NotOwner(self.node.sheet().revision)));
            return;
        };
        let waiting = Waiting {
            reply,
            entry,
            received: now,
            hard_deadline: descriptor.hard_deadline,
        };
        let before = self.waiting.insert(descriptor.id.clone(), waiting);
        // An entry offers a request to one owner at a time, so a second offer of a waiting request
        // only replaces the reply channel.
        if before.is_none() {
            found.offer(now, descriptor);
        }
    }

    fn withdraw(&mut self, pool: &Name, id: &Name) {
        let now = self.now();
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.withdraw(now, id);
        }
        self.waiting.remove(id);
    }

    /// Ends a permit, of this owner or of the one before it.
    fn release(&mut self, release: Release) {
        let pool = Name::from(release.pool.as_str());
        let permit = PermitId(release.permit);
        let own = Incarnation(release.owner) == self.node.incarnation;
        let known = self.given.contains_key(&(pool.clone(), permit));
        if own && known {
            self.end(&pool, permit, report_of(&release));
        } else if own {
            crate::fleet::forward_release(&self.node, release);
        } else if let Some(found) = self.pools.get_mut(&pool) {
            let now = self.node.now();
            found.release_request(now, &release.id, report_of(&release));
        }
    }

    /// Ends a permit of this owner.
    pub(super) fn end(&mut self, pool: &Name, permit: PermitId, report: RunReport) {
        let now = self.now();
        self.given.remove(&(pool.clone(), permit));
        if let Some(found) = self.pools.get_mut(pool) {
            found.release(now, permit, report);
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

    fn own(&mut self, pool: &Name, spec: sched::TargetSpec, source: Source) {
        let now = self.now();
        let tiers = u8::try_from(self.node.sheet().tiers.len().max(1)).unwrap_or(u8::MAX);
        let (max_waiting, permit_life) = {
            let settings = &self.node.settings;
            (settings.limits.max_waiting, settings.timing.permit_life)
        };
        let in_doubt = self.in_doubt;
        let found = self.pools.entry(pool.clone()).or_insert_with(|| {
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
            Source::Fresh | Source::Changed => found.set_target(now, spec, false),
            Source::AssumeFull => found.set_target(now, spec, true),
            Source::Handed(handover) => {
                found.adopt(now, spec, &handover);
                self.watch_handed_over(pool, &handover);
            }
        }
    }

    fn give_up(&mut self, target: &Name) -> Option<sched::Handover> {
        let now = self.now();
        let pool = self.targets.remove(target)?;
        let handover = self.pools.get_mut(&pool)?.hand_over(now, target);
        self.given.retain(|_, given| given.target != *target);
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

pub(super) fn report_of(release: &Release) -> RunReport {
    RunReport {
        end: run_end(release.end),
        tokens: release.tokens,
        first_token: release.first_token_us.map(Duration::from_micros),
        token_gap: release.token_gap_us.map(Duration::from_micros),
    }
}

/// Report of a permit of which no run was seen.
pub(super) fn without_run(end: RunEnd) -> RunReport {
    RunReport {
        end,
        tokens: 0,
        first_token: None,
        token_gap: None,
    }
}

/// Whole microseconds, as messages carry times.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
