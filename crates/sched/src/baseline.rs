//! A simple policy with which the scheduler is compared.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::config::Config;
use crate::model::{Descriptor, Event, Name, Permit, PermitId, RunReport, ShedReason, TargetSpec};

/// Grants requests in FIFO order, each on a random target that has room; ignores tiers, deadlines
/// and warm-up. The methods take the same arguments as those of [`Scheduler`](crate::Scheduler).
pub struct Baseline {
    queue: VecDeque<Descriptor>,
    max_waiting: usize,
    permit_life: Duration,
    /// Specification, tokens in flight and runs in flight of each target.
    targets: Vec<(TargetSpec, u64, u32)>,
    runs: HashMap<PermitId, (Name, u64)>,
    random: fastrand::Rng,
    next_permit: u64,
    events: Vec<Event>,
}

impl Baseline {
    /// Creates a baseline scheduler; the seed determines its random choices. Of `cfg`, it uses only
    /// `max_waiting` and `permit_life`.
    #[must_use]
    pub fn new(cfg: &Config, seed: u64) -> Self {
        Baseline {
            queue: VecDeque::new(),
            max_waiting: cfg.max_waiting,
            permit_life: cfg.permit_life,
            targets: Vec::new(),
            runs: HashMap::new(),
            random: fastrand::Rng::with_seed(seed),
            next_permit: 1,
            events: Vec::new(),
        }
    }

    /// Adds a target or changes its specification.
    pub fn set_target(&mut self, _: Duration, spec: TargetSpec, _: bool) {
        match self
            .targets
            .iter_mut()
            .find(|entry| entry.0.name == spec.name)
        {
            Some(entry) => entry.0 = spec,
            None => self.targets.push((spec, 0, 0)),
        }
    }

    /// Queues a request, or sheds it if the queue is full.
    pub fn offer(&mut self, _: Duration, descriptor: Descriptor) {
        if self.queue.len() < self.max_waiting {
            self.queue.push_back(descriptor);
        } else {
            self.events.push(Event::Shed {
                id: descriptor.id,
                tier: descriptor.tier,
                reason: ShedReason::QueueFull,
            });
        }
    }

    /// Removes a waiting request. Returns false if it is not in the queue.
    pub fn withdraw(&mut self, _: Duration, id: &str) -> bool {
        let key = self.queue.iter().position(|waiting| &*waiting.id == id);
        key.and_then(|key| self.queue.remove(key)).is_some()
    }

    /// Ends a permit.
    pub fn release(&mut self, _: Duration, permit: PermitId, _: RunReport) {
        if let Some((name, cost)) = self.runs.remove(&permit)
            && let Some(entry) = self.targets.iter_mut().find(|entry| entry.0.name == name)
        {
            entry.1 -= cost;
            entry.2 -= 1;
        }
    }

    /// Grants requests from the front of the queue while a target has room.
    pub fn poll(&mut self, now: Duration) -> Vec<Event> {
        while let Some(first) = self.queue.front() {
            let cost = first.cost;
            let has_room = |(spec, tokens, running): &&mut (TargetSpec, u64, u32)| {
                spec.schedulable && (*running == 0 || *tokens + cost <= spec.capacity)
            };
            let candidates: Vec<_> = self.targets.iter_mut().filter(has_room).collect();
            let Some((spec, tokens, running)) = self.random.choice(candidates) else {
                break;
            };
            *tokens += cost;
            *running += 1;
            let id = PermitId(self.next_permit);
            self.next_permit += 1;
            self.runs.insert(id, (spec.name.clone(), cost));
            let target = spec.name.clone();
            if let Some(descriptor) = self.queue.pop_front() {
                self.events.push(Event::Granted(Permit {
                    id,
                    request: descriptor.id,
                    target,
                    expires: now + self.permit_life,
                }));
            }
        }
        std::mem::take(&mut self.events)
    }
}
