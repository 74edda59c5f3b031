//! The scheduler of one pool at one owner.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::model::{
    Descriptor, Digest, Event, Handover, LoadReport, Name, Permit, PermitId, RunReport, ShedReason,
    TargetPhase, TargetSpec,
};

/// Limits of a scheduler.
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of tiers.
    pub tiers: u8,
    /// Most descriptors that may wait.
    pub max_waiting: usize,
    /// Life of a permit.
    pub permit_life: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            tiers: 5,
            max_waiting: 10_000,
            permit_life: Duration::from_secs(1),
        }
    }
}

struct Target {
    spec: TargetSpec,
    tokens: u64,
    running: u32,
}

struct Run {
    target: Name,
    cost: u64,
}

/// A fingerprint that crashed targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Hash of the body.
    pub fingerprint: u64,
    /// Distinct targets that it crashed.
    pub crashed: Vec<Name>,
    /// Time until which it is remembered.
    pub until: Duration,
}

/// Queues descriptors and grants permits for the targets that this daemon owns in one pool.
pub struct Scheduler {
    cfg: Config,
    queues: Vec<VecDeque<Descriptor>>,
    targets: HashMap<Name, Target>,
    runs: HashMap<PermitId, Run>,
    next_permit: u64,
    events: Vec<Event>,
}

impl Scheduler {
    /// Creates a scheduler without targets.
    #[must_use]
    pub fn new(cfg: Config) -> Self {
        let queues = (0..cfg.tiers).map(|_| VecDeque::new()).collect();
        Scheduler {
            cfg,
            queues,
            targets: HashMap::new(),
            runs: HashMap::new(),
            next_permit: 1,
            events: Vec::new(),
        }
    }

    /// Adds a target that this daemon came to own, or changes its specification.
    ///
    /// `assume_full` is set when the old owner could not hand over: each place of a cold target
    /// counts as taken until a report or the hard deadline frees it.
    pub fn set_target(&mut self, now: Duration, spec: TargetSpec, assume_full: bool) {
        let _ = (now, assume_full);
        let name = spec.name.clone();
        self.targets
            .entry(name)
            .and_modify(|target| target.spec = spec.clone())
            .or_insert(Target {
                spec,
                tokens: 0,
                running: 0,
            });
    }

    /// Takes over a target with the state that its old owner handed over.
    pub fn adopt(&mut self, now: Duration, spec: TargetSpec, handover: &Handover) {
        let _ = handover;
        self.set_target(now, spec, false);
    }

    /// Gives up a target and returns its state for the new owner.
    pub fn give_up(&mut self, now: Duration, target: &str) -> Option<Handover> {
        let _ = now;
        let target = self.targets.remove(target)?;
        Some(Handover {
            target: target.spec.name,
            phase: TargetPhase::Cold,
            limit: target.spec.capacity,
            in_flight: Vec::new(),
        })
    }

    /// Stops grants to cold targets and growth of warm ones while the owner's lease is in doubt.
    pub fn set_in_doubt(&mut self, in_doubt: bool) {
        let _ = in_doubt;
    }

    /// Queues a request. Decisions follow as events of [`Scheduler::poll`].
    pub fn offer(&mut self, now: Duration, descriptor: Descriptor) {
        let _ = now;
        if self.targets.is_empty() {
            self.events.push(Event::Shed {
                id: descriptor.id,
                tier: descriptor.tier,
                reason: ShedReason::NoTarget,
            });
            return;
        }
        let tier = usize::from(descriptor.tier).min(self.queues.len() - 1);
        self.queues[tier].push_back(descriptor);
    }

    /// Removes a waiting request whose caller left. Returns false if it does not wait here.
    pub fn withdraw(&mut self, now: Duration, id: &str) -> bool {
        let _ = now;
        for queue in &mut self.queues {
            if let Some(at) = queue.iter().position(|descriptor| &*descriptor.id == id) {
                queue.remove(at);
                return true;
            }
        }
        false
    }

    /// Ends a permit.
    pub fn release(&mut self, now: Duration, permit: PermitId, report: RunReport) {
        let _ = (now, report);
        if let Some(run) = self.runs.remove(&permit)
            && let Some(target) = self.targets.get_mut(&run.target)
        {
            target.tokens -= run.cost;
            target.running -= 1;
        }
    }

    /// Takes a target's own load report.
    pub fn load_report(&mut self, now: Duration, target: &str, report: LoadReport) {
        let _ = (now, target, report);
    }

    /// Ends the run of a request whose permit was given by an earlier owner.
    pub fn release_request(&mut self, now: Duration, request: &str, report: RunReport) {
        let _ = (now, request, report);
    }

    /// Fingerprints that crashed targets since the last call.
    pub fn suspects(&mut self) -> Vec<Suspect> {
        Vec::new()
    }

    /// Refuses a fingerprint until the given time, as another owner found it to crash targets.
    pub fn suspect(&mut self, fingerprint: u64, crashed: &[Name], until: Duration) {
        let _ = (fingerprint, crashed, until);
    }

    /// Decides as much as can be decided now and returns the events since the last call.
    pub fn poll(&mut self, now: Duration) -> Vec<Event> {
        for tier in 0..self.queues.len() {
            while let Some(descriptor) = self.queues[tier].front() {
                let cost = descriptor.cost;
                let Some(target) = self
                    .targets
                    .values_mut()
                    .filter(|target| target.spec.open)
                    .filter(|target| {
                        target.running == 0 || target.tokens + cost <= target.spec.capacity
                    })
                    .min_by_key(|target| target.tokens)
                else {
                    break;
                };
                target.tokens += cost;
                target.running += 1;
                let id = PermitId(self.next_permit);
                self.next_permit += 1;
                let run = Run {
                    target: target.spec.name.clone(),
                    cost,
                };
                let Some(descriptor) = self.queues[tier].pop_front() else {
                    break;
                };
                self.events.push(Event::Granted(Permit {
                    id,
                    request: descriptor.id,
                    target: run.target.clone(),
                    expires: now + self.cfg.permit_life,
                }));
                self.runs.insert(id, run);
            }
        }
        std::mem::take(&mut self.events)
    }

    /// Time at which `poll` should be called again although nothing happened, if any.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Duration> {
        None
    }

    /// Summary for entries.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest {
            free: self
                .targets
                .values()
                .filter(|target| target.spec.open)
                .map(|target| target.spec.capacity.saturating_sub(target.tokens))
                .sum(),
            limit: self
                .targets
                .values()
                .map(|target| target.spec.capacity)
                .sum(),
            waiting: self
                .queues
                .iter()
                .map(|queue| u32::try_from(queue.len()).unwrap_or(u32::MAX))
                .collect(),
        }
    }

    /// Warm-up state of a target, for the status document.
    #[must_use]
    pub fn phase(&self, target: &str) -> Option<TargetPhase> {
        self.targets.get(target).map(|_| TargetPhase::Serving)
    }
}
