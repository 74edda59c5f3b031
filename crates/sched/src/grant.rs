//! Decisions on waiting descriptors.

use std::time::Duration;

use crate::containment::Standing;
use crate::model::{Descriptor, Event, Name, Permit, PermitId, ShedReason};
use crate::num::float;
use crate::runs::Run;
use crate::scheduler::Scheduler;
use crate::target::Target;

/// What became of a descriptor whose turn it was.
enum Turn {
    /// It left the queue.
    Done,
    /// It has to run on an empty target.
    Alone,
    /// No target has room for it.
    Blocked,
}

impl Scheduler {
    /// Decides as much as can be decided now and returns the events since the last call.
    pub fn poll(&mut self, now: Duration) -> Vec<Event> {
        self.see(now);
        self.sheds_left = self.cfg.max_removals_per_poll.max(1);
        self.free_overdue();
        for (_, target) in &mut self.targets {
            target.advance(&self.cfg, self.now);
        }
        if self.has_open() {
            self.shed_late();
            self.grant_all();
        } else {
            self.shed_all();
        }
        // Leaves the first entry exact for `next_wakeup`.
        self.queue.next_due();
        std::mem::take(&mut self.events)
    }

    /// Time at which a descriptor must be granted to meet its deadline on the best open target.
    pub(crate) fn latest_grant(&self, descriptor: &Descriptor) -> Duration {
        let targets = self
            .targets
            .iter()
            .filter(|(_, target)| target.spec.schedulable);
        let best = targets
            .map(|(_, target)| self.first_token(target, descriptor.prompt))
            .fold(f64::INFINITY, f64::min);
        let best = Duration::try_from_secs_f64(best).unwrap_or(Duration::ZERO);
        descriptor.deadline.saturating_sub(best)
    }

    /// Estimated seconds until the first token on a target; what the pool shows if the target has
    /// served too little, and 0 if the pool has as well.
    fn first_token(&self, target: &Target, prompt: u64) -> f64 {
        let own = target.first_token.estimate(self.now, prompt);
        own.unwrap_or_else(|| {
            let speed = target.spec.speed.max(f64::MIN_POSITIVE);
            let pool = self.first_token.estimate(self.now, prompt);
            pool.map_or(0.0, |seconds| seconds / speed)
        })
    }

    fn free_overdue(&mut self) {
        for _ in 0..self.cfg.max_removals_per_poll.max(1) {
            let Some(run) = self.runs.next_over(self.now) else {
                return;
            };
            self.free(run);
        }
    }

    fn shed_late(&mut self) {
        while self.sheds_left > 0
            && let Some(at) = self.queue.pop_due(self.now)
        {
            self.sheds_left -= 1;
            let latest = self.latest_grant(self.queue.get(at));
            if latest <= self.now {
                self.shed_waiting(at, ShedReason::Deadline);
            } else {
                // The estimate has become shorter since the time was set.
                self.queue.rearm(at, latest);
            }
        }
    }

    fn shed_all(&mut self) {
        while self.sheds_left > 0
            && let Some(at) = self.queue.last()
        {
            self.sheds_left -= 1;
            self.shed_waiting(at, ShedReason::NoTarget);
        }
    }

    /// Grants in the order of the tiers until the head of one finds no room. Nothing of a lower
    /// tier passes it, or the lower tier's work would keep the targets full.
    fn grant_all(&mut self) {
        // A target left to run empty for work that has to run alone.
        let mut reserved = None;
        for tier in 0..self.queue.tiers() {
            self.reserve = self.reserve_for(tier);
            self.grant_alone(tier, &mut reserved);
            while let Some(at) = self.queue.head(tier) {
                if self.sheds_left == 0 {
                    return;
                }
                match self.take_turn(at, reserved) {
                    Turn::Done => {}
                    Turn::Blocked => return,
                    Turn::Alone => {
                        self.queue.set_alone(at);
                        self.grant_alone(tier, &mut reserved);
                    }
                }
            }
        }
    }

    /// Part of the limits that work of a tier leaves free. Runs are long against the time that a
    /// request may wait, so that a higher tier would find the targets full of lower tiers' work.
    fn reserve_for(&self, tier: usize) -> f64 {
        let above = self.demand.above(self.now, tier, self.cfg.reserve_window);
        if above <= 0.0 {
            return 0.0;
        }
        let open = self
            .targets
            .iter()
            .filter(|(_, target)| target.spec.schedulable);
        let limit: u64 = open.map(|(_, target)| target.allowed()).sum();
        (above / float(limit.max(1)))
            .min(self.cfg.max_reserved_fraction)
            .max(0.0)
    }

    fn grant_alone(&mut self, tier: usize, reserved: &mut Option<usize>) {
        while let Some(at) = self.queue.alone(tier) {
            if self.sheds_left == 0 {
                return;
            }
            match self.take_turn(at, *reserved) {
                Turn::Done => {}
                Turn::Blocked => return,
                Turn::Alone => {
                    if !self.take_empty(at, reserved) {
                        return;
                    }
                }
            }
        }
    }

    fn take_turn(&mut self, at: usize, reserved: Option<usize>) -> Turn {
        let descriptor = self.queue.get(at);
        let standing = self.containment.standing(self.now, descriptor.fingerprint);
        let reason = if standing == Standing::Refused {
            Some(ShedReason::Poison)
        } else {
            let late = self.latest_grant(descriptor) <= self.now;
            late.then_some(ShedReason::Deadline)
        };
        if let Some(reason) = reason {
            self.sheds_left -= 1;
            self.shed_waiting(at, reason);
            return Turn::Done;
        }
        if standing == Standing::Suspect {
            return Turn::Alone;
        }
        if let Some(target) = self.choose(descriptor, reserved) {
            self.grant(at, target, false);
            return Turn::Done;
        }
        let cost = descriptor.cost.max(1);
        let mut open = self
            .targets
            .iter()
            .filter(|(_, target)| target.spec.schedulable);
        let too_large = open.all(|(_, target)| target.allowed_without(self.reserve) < cost);
        if too_large
            && self
                .queue
                .alone(self.queue.tier_of(descriptor.tier))
                .is_none_or(|first| first == at)
        {
            return Turn::Alone;
        }
        Turn::Blocked
    }

    /// The target with the least load that has room, or one that served the prefix lately unless
    /// its load is much higher. Targets that would miss the deadline come last.
    fn choose(&self, descriptor: &Descriptor, reserved: Option<usize>) -> Option<usize> {
        let cost = descriptor.cost.max(1);
        let served = self.prefixes.get(descriptor.prefix);
        let (mut best, mut least) = (None, (true, f64::INFINITY, PermitId(u64::MAX)));
        let mut near = None;
        for (at, target) in &self.targets {
            if Some(at) == reserved
                || !target.has_room(cost, self.reserve)
                || !target.is_usable(self.now, self.in_doubt)
            {
                continue;
            }
            let seconds = self.first_token(target, descriptor.prompt);
            let seconds = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
            let late = self.now.saturating_add(seconds) >= descriptor.deadline;
            // At the same load the one that waited longest is next, so that all warm up.
            let score = (late, target.load(cost), target.last_grant);
            if best.is_none() || score < least {
                (best, least) = (Some(at), score);
            }
            if served == Some((at, target.epoch)) {
                near = Some((at, score));
            }
        }
        match near {
            Some((at, (late, load, _)))
                if late == least.0
                    && (load <= least.1 * self.cfg.affinity_factor
                        || load <= self.cfg.affinity_floor) =>
            {
                Some(at)
            }
            _ => best,
        }
    }

    /// Grants a run on an empty target, or else reserves one that is to run empty.
    fn take_empty(&mut self, at: usize, reserved: &mut Option<usize>) -> bool {
        let descriptor = self.queue.get(at);
        let fingerprint = descriptor.fingerprint;
        let suspect = self.containment.standing(self.now, fingerprint) == Standing::Suspect;
        if suspect && self.containment.is_running(fingerprint) {
            return false;
        }
        // A crash on another target is the better evidence; the same one may be faulty itself.
        let crashed = if suspect {
            self.containment.crashed(fingerprint)
        } else {
            &[]
        };
        let untried =
            |target: &Target| target.spec.schedulable && !crashed.contains(&target.spec.name);
        let any = !self.targets.iter().any(|(_, target)| untried(target));
        let candidates = self
            .targets
            .iter()
            .filter(|&(at, target)| Some(at) != *reserved && (any || untried(target)))
            .filter(|(_, target)| target.is_usable(self.now, self.in_doubt));
        let Some((target, in_flight)) = candidates
            .map(|(at, target)| (at, target.in_flight()))
            .min_by_key(|&(_, in_flight)| in_flight)
        else {
            return false;
        };
        if in_flight > 0 {
            reserved.get_or_insert(target);
            return false;
        }
        self.grant(at, target, suspect);
        true
    }

    fn grant(&mut self, at: usize, to: usize, alone: bool) {
        let descriptor = self.queue.take(at);
        let target = &mut self.targets[to];
        let cost = descriptor.cost.max(1);
        target.tokens = target.tokens.saturating_add(cost);
        target.running += 1;
        target.alone = alone;
        self.prefixes.set(descriptor.prefix, to, target.epoch);
        if alone {
            self.containment.set_running(descriptor.fingerprint, true);
        }
        self.stats.granted(descriptor.tier, descriptor.prompt);
        let id = PermitId(self.next_permit);
        self.next_permit += 1;
        target.last_grant = id;
        let expires = self.now + self.cfg.permit_life;
        self.runs.insert(Run {
            permit: id,
            handed_over: false,
            request: Name::clone(&descriptor.id),
            target: to,
            cost,
            prompt: descriptor.prompt,
            fingerprint: Some(descriptor.fingerprint),
            alone,
            cold: target.is_cold(),
            epoch: target.epoch,
            // An unused permit is void before its place is freed.
            hard_deadline: descriptor.hard_deadline.max(expires),
        });
        self.events.push(Event::Granted(Permit {
            id,
            request: descriptor.id,
            target: target.spec.name.clone(),
            expires,
        }));
    }
}
