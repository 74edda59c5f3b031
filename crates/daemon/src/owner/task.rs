//! The task that runs the schedulers of all pools.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use member::{Grants, Incarnation};
use metrics::counter;
use sched::{Config, Descriptor, Event, Name, PermitId, RunEnd, RunReport, Scheduler, TargetPhase};
use tokio::sync::{mpsc, oneshot};
use wire::{Body, Digest, Grant, OfferReply, Release, Shed, Verdict};

use super::{Handle, Msg, Source, TargetStatus, run_end};
use crate::node::Node;
use crate::outcome::shed_label;

/// Longest time between two polls of the schedulers, so that deadlines of waiting requests are
/// checked although nothing else happens.
const MAX_IDLE: Duration = Duration::from_millis(250);

/// An offer whose decision is open.
struct Waiting {
    reply: oneshot::Sender<Body>,
    entry: Incarnation,
    received: Duration,
}

/// A permit that was given and not yet ended.
struct Given {
    target: Name,
    id: Name,
    entry: Incarnation,
    expires: Duration,
    /// Whether the engine is being asked for the run.
    watched: bool,
}

struct Pool {
    scheduler: Scheduler,
}

struct Task {
    node: Arc<Node>,
    pools: HashMap<Name, Pool>,
    /// Pool of each owned target.
    targets: HashMap<Name, Name>,
    waiting: HashMap<Name, Waiting>,
    /// Permits are numbered by each scheduler, so the pool is part of the key.
    given: HashMap<(Name, PermitId), Given>,
    in_doubt: bool,
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
        }
    }

    fn now(&self) -> Duration {
        self.node.now()
    }

    fn next_wait(&self) -> Duration {
        let now = self.now();
        self.pools
            .values()
            .filter_map(|pool| pool.scheduler.next_wakeup())
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
        };
        let before = self.waiting.insert(descriptor.id.clone(), waiting);
        // An entry offers a request to one owner at a time, so a second offer of a waiting request
        // only replaces the reply channel.
        if before.is_none() {
            found.scheduler.offer(now, descriptor);
        }
    }

    fn withdraw(&mut self, pool: &Name, id: &Name) {
        let now = self.now();
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.scheduler.withdraw(now, id);
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
            found
                .scheduler
                .release_request(now, &release.id, report_of(&release));
        }
    }

    /// Ends a permit of this owner.
    fn end(&mut self, pool: &Name, permit: PermitId, report: RunReport) {
        let now = self.now();
        self.given.remove(&(pool.clone(), permit));
        if let Some(found) = self.pools.get_mut(pool) {
            found.scheduler.release(now, permit, report);
        }
    }

    fn load(&mut self, target: &Name, report: sched::LoadReport, measured: Duration) {
        let now = self.now();
        let pool = self.targets.get(target);
        if let Some(pool) = pool.and_then(|pool| self.pools.get_mut(pool)) {
            pool.scheduler.load_report_at(now, target, report, measured);
        }
    }

    fn target_refused(&mut self, target: &Name) {
        let now = self.now();
        let pool = self.targets.get(target);
        if let Some(pool) = pool.and_then(|pool| self.pools.get_mut(pool)) {
            pool.scheduler.refused(now, target);
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
            scheduler.set_in_doubt(in_doubt);
            Pool { scheduler }
        });
        self.targets.insert(spec.name.clone(), pool.clone());
        match source {
            Source::Fresh | Source::Changed => found.scheduler.set_target(now, spec, false),
            Source::AssumeFull => found.scheduler.set_target(now, spec, true),
            Source::Handed(handover) => {
                found.scheduler.adopt(now, spec, &handover);
                self.watch_handed_over(pool, &handover);
            }
        }
    }

    fn give_up(&mut self, target: &Name) -> Option<sched::Handover> {
        let now = self.now();
        let pool = self.targets.remove(target)?;
        let handover = self.pools.get_mut(&pool)?.scheduler.give_up(now, target);
        self.given.retain(|_, given| given.target != *target);
        handover
    }

    fn set_in_doubt(&mut self, in_doubt: bool) {
        self.in_doubt = in_doubt;
        for pool in self.pools.values_mut() {
            pool.scheduler.set_in_doubt(in_doubt);
        }
    }

    fn suspect(&mut self, fingerprint: u64, crashed: &[Name], remember: Duration) -> wire::Suspect {
        let now = self.now();
        let known = self
            .pools
            .values_mut()
            .filter_map(|pool| pool.scheduler.suspect(fingerprint, crashed, now + remember))
            .max_by_key(|suspect| suspect.crashed.len());
        match known {
            Some(suspect) => suspect_message(now, &suspect),
            None => wire::Suspect {
                fingerprint,
                ..wire::Suspect::default()
            },
        }
    }

    /// Withdraws the offers that came on a closed link, and looks after the permits of its entry,
    /// which may have got lost on it.
    fn link_closed(&mut self, entry: Incarnation) {
        self.withdraw_all(|waiting| waiting.reply.is_closed());
        self.watch_permits(entry);
    }

    /// Looks after the permits of an entry whose process is gone: their requests may still run.
    fn entry_gone(&mut self, entry: Incarnation) {
        self.withdraw_all(|waiting| waiting.entry == entry);
        self.watch_permits(entry);
    }

    fn withdraw_all(&mut self, is_gone: impl Fn(&Waiting) -> bool) {
        let gone: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| is_gone(waiting))
            .map(|(id, _)| id.clone())
            .collect();
        let now = self.now();
        for id in gone {
            self.waiting.remove(&id);
            for pool in self.pools.values_mut() {
                pool.scheduler.withdraw(now, &id);
            }
        }
    }

    fn watch_permits(&mut self, entry: Incarnation) {
        for ((pool, permit), given) in &mut self.given {
            if given.entry == entry && !std::mem::replace(&mut given.watched, true) {
                super::reclaim::watch(
                    Arc::clone(&self.node),
                    super::reclaim::Lost {
                        pool: pool.clone(),
                        permit: Some(*permit),
                        target: given.target.clone(),
                        id: given.id.clone(),
                        expires: given.expires,
                    },
                );
            }
        }
    }

    fn run_gone(&mut self, pool: &Name, id: &Name, permit: Option<PermitId>) {
        let report = without_run(RunEnd::Cancelled);
        let now = self.now();
        if let Some(permit) = permit {
            self.end(pool, permit, report);
        } else if let Some(found) = self.pools.get_mut(pool) {
            found.scheduler.release_request(now, id, report);
        }
    }

    /// Looks after runs that an earlier owner granted. It can't pass on their ends once it has left,
    /// or while its VM list does not name this owner.
    fn watch_handed_over(&self, pool: &Name, handover: &sched::Handover) {
        let expires = self.now() + self.node.settings.timing.permit_life;
        for run in &handover.in_flight {
            super::reclaim::watch(
                Arc::clone(&self.node),
                super::reclaim::Lost {
                    pool: pool.clone(),
                    permit: None,
                    target: handover.target.clone(),
                    id: run.request.clone(),
                    expires,
                },
            );
        }
    }

    /// Polls all schedulers and sends their decisions.
    fn decide(&mut self) {
        let now = self.now();
        let names: Vec<Name> = self.pools.keys().cloned().collect();
        for name in names {
            let Some(pool) = self.pools.get_mut(&name) else {
                continue;
            };
            for event in pool.scheduler.poll(now) {
                match event {
                    Event::Granted(permit) => self.grant(&name, permit),
                    Event::Shed { id, tier, reason } => self.shed(&name, &id, tier, reason),
                }
            }
            self.gossip_suspects(&name);
        }
    }

    fn grant(&mut self, pool: &Name, permit: sched::Permit) {
        let now = self.now();
        let Some(waiting) = self.waiting.remove(&permit.request) else {
            self.unused(pool, permit.id);
            return;
        };
        if self.node.fleet.grants(now, &permit.target) == Grants::None {
            // The target moves away; its next owner decides about the request.
            self.unused(pool, permit.id);
            let revision = self.node.sheet().revision;
            let _ = waiting.reply.send(verdict(Verdict::NotOwner(revision)));
            return;
        }
        let reply = verdict(Verdict::Grant(Grant {
            permit: permit.id.0,
            target: permit.target.to_string(),
            expires_us: micros(permit.expires.saturating_sub(waiting.received)),
            owner: self.node.incarnation.0,
        }));
        self.given.insert(
            (pool.clone(), permit.id),
            Given {
                target: permit.target,
                id: permit.request,
                entry: waiting.entry,
                expires: permit.expires,
                watched: false,
            },
        );
        counter!("primrosechute_permits_granted_total").increment(1);
        if waiting.reply.send(reply).is_err() {
            // The entry has withdrawn or its link broke before the reply was written.
            log::debug!("owner: nobody waits for the permit at {now:?}");
            self.unused(pool, permit.id);
        }
    }

    fn unused(&mut self, pool: &Name, permit: PermitId) {
        self.end(pool, permit, without_run(RunEnd::Unused));
    }

    fn shed(&mut self, pool: &Name, id: &Name, tier: u8, reason: sched::ShedReason) {
        if reason == sched::ShedReason::NoTarget && !self.targets.values().any(|p| p == pool) {
            // The targets were handed over while the request waited; their new owners decide.
            if let Some(waiting) = self.waiting.remove(id) {
                let revision = self.node.sheet().revision;
                let _ = waiting.reply.send(verdict(Verdict::NotOwner(revision)));
            }
            return;
        }
        let label = shed_label(reason);
        counter!("primrosechute_owner_shed_total", "reason" => label, "tier" => tier.to_string())
            .increment(1);
        if let Some(waiting) = self.waiting.remove(id) {
            let _ = waiting.reply.send(verdict(Verdict::Shed(Shed {
                reason: label.to_string(),
            })));
        }
    }

    /// Tells the other owners about fingerprints that crashed targets here.
    fn gossip_suspects(&mut self, pool: &Name) {
        let Some(pool) = self.pools.get_mut(pool) else {
            return;
        };
        let now = self.node.now();
        for suspect in pool.scheduler.suspects() {
            let message = suspect_message(now, &suspect);
            if suspect.crashed.is_empty() {
                log::info!("owner: fingerprint {:016x} is cleared", suspect.fingerprint);
            } else {
                log::warn!(
                    "owner: fingerprint {:016x} crashed {}",
                    suspect.fingerprint,
                    message.targets.join(", ")
                );
            }
            self.node.peers.broadcast(&Body::Suspect(message));
        }
    }

    fn digests(&self) -> Vec<Digest> {
        self.pools
            .iter()
            .map(|(name, pool)| {
                let digest = pool.scheduler.digest();
                Digest {
                    pool: name.to_string(),
                    free: digest.free,
                    limit: digest.limit,
                    waiting: digest.waiting,
                }
            })
            .collect()
    }

    fn status(&self) -> Vec<TargetStatus> {
        self.targets
            .iter()
            .filter_map(|(target, pool)| {
                let phase = self.pools.get(pool)?.scheduler.phase(target)?;
                Some(TargetStatus {
                    target: target.clone(),
                    pool: pool.clone(),
                    phase: phase_label(phase),
                })
            })
            .collect()
    }
}

impl Handle {
    /// Creates the channel to the owner task.
    pub(crate) fn channel() -> (Handle, mpsc::UnboundedReceiver<Msg>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (Handle { tx }, rx)
    }
}

fn suspect_message(now: Duration, suspect: &sched::Suspect) -> wire::Suspect {
    wire::Suspect {
        fingerprint: suspect.fingerprint,
        targets: suspect.crashed.iter().map(ToString::to_string).collect(),
        remember_us: micros(suspect.until.saturating_sub(now)),
    }
}

fn report_of(release: &Release) -> RunReport {
    RunReport {
        end: run_end(release.end),
        tokens: release.tokens,
        first_token: release.first_token_us.map(Duration::from_micros),
        token_gap: release.token_gap_us.map(Duration::from_micros),
    }
}

/// Report of a permit of which no run was seen.
fn without_run(end: RunEnd) -> RunReport {
    RunReport {
        end,
        tokens: 0,
        first_token: None,
        token_gap: None,
    }
}

fn verdict(verdict: Verdict) -> Body {
    Body::OfferReply(OfferReply {
        verdict: Some(verdict),
    })
}

fn phase_label(phase: TargetPhase) -> &'static str {
    match phase {
        TargetPhase::Cold => "cold",
        TargetPhase::Warming => "warming",
        TargetPhase::Serving => "serving",
        TargetPhase::Draining => "draining",
        TargetPhase::Out => "out",
    }
}

/// Whole microseconds, as messages carry times.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
