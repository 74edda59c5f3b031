//! Scheduler for the targets of one owner in one pool.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::Duration;

use slab::Slab;

use crate::affinity::PrefixTable;
use crate::config::Config;
use crate::containment::{Containment, FingerprintState, Suspect};
use crate::demand::ArrivalRates;
use crate::estimate::{FirstTokenEstimator, MovingAverage};
use crate::model::{
    Descriptor, Digest, Event, Handover, InFlight, Name, PermitId, ShedReason, TargetPhase,
    TargetSpec,
};
use crate::queue::Queue;
use crate::runs::{Run, Runs};
use crate::stats::Stats;
use crate::target::Target;

/// Queues descriptors and grants permits for the targets that this daemon owns in one pool.
pub struct Scheduler {
    pub(crate) cfg: Config,
    /// Latest time passed to any call.
    pub(crate) now: Duration,
    pub(crate) queue: Queue,
    pub(crate) targets: Slab<Target>,
    pub(crate) by_name: HashMap<Name, usize>,
    pub(crate) runs: Runs,
    pub(crate) containment: Containment,
    pub(crate) prefixes: PrefixTable,
    /// Time to first token over all targets, normalized to speed 1.
    pub(crate) first_token: FirstTokenEstimator,
    /// Time between tokens over all targets, normalized to speed 1.
    pub(crate) token_gap: MovingAverage,
    pub(crate) arrival_rates: ArrivalRates,
    /// Fraction of the limits that the tier being decided leaves free for higher tiers.
    pub(crate) reserved_fraction: f64,
    pub(crate) lease_in_doubt: bool,
    /// Number of descriptors that the current poll may still shed.
    pub(crate) sheds_left: usize,
    pub(crate) next_permit: u64,
    pub(crate) events: Vec<Event>,
    pub(crate) stats: Stats,
}

impl Scheduler {
    /// Creates a scheduler without targets.
    #[must_use]
    pub fn new(cfg: Config) -> Self {
        Scheduler {
            now: Duration::ZERO,
            queue: Queue::new(cfg.tiers),
            targets: Slab::new(),
            by_name: HashMap::new(),
            runs: Runs::default(),
            containment: Containment::new(cfg.max_suspects, cfg.suspect_ttl, cfg.poison_ttl),
            prefixes: PrefixTable::new(cfg.max_prefixes),
            first_token: FirstTokenEstimator::default(),
            token_gap: MovingAverage::default(),
            arrival_rates: ArrivalRates::new(usize::from(cfg.tiers.max(1))),
            reserved_fraction: 0.0,
            lease_in_doubt: false,
            sheds_left: 1,
            next_permit: 1,
            events: Vec::new(),
            stats: Stats::default(),
            cfg,
        }
    }

    /// Adds a target that this daemon now owns, or changes its specification.
    ///
    /// Set `assume_full` if the old owner could not hand over the target: the whole cold limit then
    /// counts as in use until a load report shows less or [`Config::assumed_run_time`] has passed.
    /// It has no effect on a target that is already known.
    pub fn set_target(&mut self, now: Duration, spec: TargetSpec, assume_full: bool) {
        let now = self.advance_clock(now);
        if let Some(&key) = self.by_name.get(&spec.name) {
            self.targets[key].set_spec(now, spec);
            return;
        }
        let name = spec.name.clone();
        let mut target = Target::new(now, spec);
        if assume_full {
            target.assume_full(now, self.cfg.assumed_run_time);
        }
        let key = self.targets.insert(target);
        self.by_name.insert(name, key);
    }

    /// Adds a target with the state that its old owner handed over. If the target is already known,
    /// only its specification changes.
    pub fn adopt(&mut self, now: Duration, spec: TargetSpec, handover: &Handover) {
        let now = self.advance_clock(now);
        let known = self.by_name.contains_key(&spec.name);
        let (name, open) = (spec.name.clone(), spec.schedulable);
        self.set_target(now, spec, false);
        if known {
            return;
        }
        let key = self.by_name[&name];
        let target = &mut self.targets[key];
        if open {
            target.adopt_warmup(&self.cfg, now, handover.phase, handover.limit);
        }
        for run in &handover.in_flight {
            target.tokens = target.tokens.saturating_add(run.cost);
            target.running += 1;
            self.runs.insert(Run {
                permit: run.permit,
                handed_over: true,
                request: run.request.clone(),
                target: key,
                cost: run.cost,
                prompt: 0,
                fingerprints: None,
                isolated: false,
                cold: target.is_cold(),
                epoch: target.epoch,
                hard_deadline: now.saturating_add(run.hard_deadline),
            });
        }
    }

    /// Removes a target and returns its state for the new owner. Later releases of its permits have
    /// no effect here; they are sent to the new owner by request id.
    pub fn hand_over(&mut self, now: Duration, target: &str) -> Option<Handover> {
        let now = self.advance_clock(now);
        let key = self.by_name.remove(target)?;
        let target = self.targets.remove(key);
        self.prefixes.remove_target(key);
        let ids: Vec<usize> = self.runs.on_target(key).map(|(id, _)| id).collect();
        let mut in_flight = Vec::with_capacity(ids.len());
        for id in ids {
            let run = self.runs.remove(id);
            if run.isolated
                && let Some(fingerprints) = run.fingerprints
            {
                self.containment.set_isolated_run(fingerprints, false);
            }
            in_flight.push(InFlight {
                request: run.request,
                permit: run.permit,
                cost: run.cost,
                hard_deadline: run.hard_deadline.saturating_sub(now),
            });
        }
        in_flight.sort_by_key(|run| run.permit);
        Some(Handover {
            phase: target.phase(),
            limit: target.limit.get(),
            target: target.spec.name,
            in_flight,
        })
    }

    /// Sets whether the owner's lease is in doubt. While it is, cold targets get no grants, and the
    /// allowances and limits of warm ones don't grow.
    pub fn set_lease_in_doubt(&mut self, in_doubt: bool) {
        self.lease_in_doubt = in_doubt;
    }

    /// Queues a request. [`Scheduler::poll`] returns the decision as an event. A request whose id
    /// is already in the queue is ignored.
    pub fn offer(&mut self, now: Duration, descriptor: Descriptor) {
        self.advance_clock(now);
        if self.queue.find(&descriptor.id).is_some() {
            return;
        }
        if !self.has_schedulable() {
            self.shed(&descriptor, ShedReason::NoTarget);
            return;
        }
        let state = self.containment.state(self.now, descriptor.fingerprints());
        if state == FingerprintState::Refused {
            self.shed(&descriptor, ShedReason::Poison);
            return;
        }
        let latest = self.latest_grant(&descriptor);
        if latest <= self.now {
            self.shed(&descriptor, ShedReason::Deadline);
            return;
        }
        let tier = self.queue.tier_of(descriptor.tier);
        self.arrival_rates
            .record_arrival(now, tier, descriptor.cost);
        if self.queue.len() >= self.cfg.max_waiting && !self.make_room(&descriptor) {
            self.shed(&descriptor, ShedReason::QueueFull);
            return;
        }
        self.queue.push(descriptor, latest);
    }

    /// Removes a waiting request whose caller has disconnected. Returns false if it is not in the
    /// queue.
    pub fn withdraw(&mut self, now: Duration, id: &str) -> bool {
        self.advance_clock(now);
        let key = self.queue.find(id);
        key.map(|key| self.queue.remove(key)).is_some()
    }

    /// Ends runs without a report, for permits whose entry has failed. Unknown permits are ignored.
    pub fn reclaim(&mut self, now: Duration, permits: &[PermitId]) {
        self.advance_clock(now);
        for &permit in permits {
            if let Some(key) = self.runs.by_permit(permit) {
                self.remove_run(key);
            }
        }
    }

    /// Merges another owner's record of a fingerprint that was in flight when the given targets
    /// crashed. With one crash it is suspect, with two it is refused, until the given time. An
    /// empty list means that an isolated run completed, and clears a suspect fingerprint. An
    /// expired record has no effect. Returns the merged record.
    pub fn merge_suspect(
        &mut self,
        fingerprint: u64,
        crashed: &[Name],
        until: Duration,
    ) -> Option<Suspect> {
        self.containment
            .merge(self.now, fingerprint, crashed, until);
        self.containment.get(self.now, fingerprint)
    }

    /// Returns the fingerprint records that changed here since the last call, for other owners.
    pub fn take_changed_suspects(&mut self) -> Vec<Suspect> {
        self.containment.take_changed()
    }

    /// Time at which `poll` should be called even if there is no other call before, if any.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Duration> {
        if self.queue.len() == 0 {
            return self.runs.next_hard_deadline();
        }
        if !self.has_schedulable() || self.sheds_left == 0 {
            return Some(self.now);
        }
        let targets = self.targets.iter();
        targets
            .filter_map(|(_, target)| target.wakeup(self.now))
            .chain(self.queue.first_grant_deadline())
            .chain(self.runs.next_hard_deadline())
            .min()
    }

    /// Load summary for entries.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let mut digest = Digest::default();
        for (_, target) in &self.targets {
            let (free, limit) = target.free_and_limit(&self.cfg, self.now, self.lease_in_doubt);
            digest.free = digest.free.saturating_add(free);
            digest.limit = digest.limit.saturating_add(limit);
        }
        digest.waiting = (0..self.queue.tiers())
            .map(|tier| u32::try_from(self.queue.tier_len(tier)).unwrap_or(u32::MAX))
            .collect();
        digest
    }

    /// Phase of a target, for the status document.
    #[must_use]
    pub fn phase(&self, target: &str) -> Option<TargetPhase> {
        Some(self.targets[*self.by_name.get(target)?].phase())
    }

    /// Number of tokens that a target may have in flight now. While it is cold, `cold_limit` also
    /// limits its requests.
    #[must_use]
    pub fn limit(&self, target: &str) -> Option<u64> {
        Some(self.targets[*self.by_name.get(target)?].allowed())
    }

    /// Number of requests, known or assumed, and of known tokens in flight on a target.
    #[must_use]
    pub fn in_flight(&self, target: &str) -> Option<(u32, u64)> {
        let target = &self.targets[*self.by_name.get(target)?];
        Some((target.in_flight(), target.tokens))
    }

    /// Counters of decisions.
    #[must_use]
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Advances the clock to the time of a call, unless that is earlier, and returns the clock.
    pub(crate) fn advance_clock(&mut self, now: Duration) -> Duration {
        self.now = self.now.max(now);
        self.now
    }

    pub(crate) fn has_schedulable(&self) -> bool {
        self.targets
            .iter()
            .any(|(_, target)| target.spec.schedulable)
    }

    pub(crate) fn shed(&mut self, descriptor: &Descriptor, reason: ShedReason) {
        self.stats.record_shed(descriptor.tier, reason);
        self.events.push(Event::Shed {
            id: descriptor.id.clone(),
            tier: descriptor.tier,
            reason,
        });
    }

    pub(crate) fn shed_waiting(&mut self, key: usize, reason: ShedReason) {
        let descriptor = self.queue.remove(key);
        self.shed(&descriptor, reason);
    }

    /// Sheds one descriptor from the full queue to make room. A higher tier evicts from the lowest
    /// waiting one. Within the lowest waiting tier, the workspace with the most waiting descriptors
    /// loses one; otherwise a single workspace could fill the queue and exclude all others.
    fn make_room(&mut self, descriptor: &Descriptor) -> bool {
        let Some(lowest) = self.queue.lowest() else {
            return false;
        };
        let tier = self.queue.tier_of(descriptor.tier);
        let (victim, reason) = match tier.cmp(&lowest) {
            Ordering::Less => (self.queue.victim(lowest), ShedReason::Evicted),
            Ordering::Equal => {
                let victim = self
                    .queue
                    .victim_for_workspace(lowest, &descriptor.workspace);
                (victim, ShedReason::QueueFull)
            }
            Ordering::Greater => (None, ShedReason::QueueFull),
        };
        let Some(victim) = victim else { return false };
        self.shed_waiting(victim, reason);
        true
    }
}
