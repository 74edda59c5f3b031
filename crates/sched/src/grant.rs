//! Grant and shed decisions on waiting descriptors.

use std::time::Duration;

use crate::containment::FingerprintState;
use crate::model::{Descriptor, Event, Name, Permit, PermitId, ShedReason};
use crate::num::tokens_to_f64;
use crate::runs::Run;
use crate::scheduler::Scheduler;
use crate::target::Target;

/// Result of deciding on the next descriptor of a tier.
enum Decision {
    /// It was granted or shed and left the queue.
    Dequeued,
    /// It may only run on an empty target.
    NeedsEmptyTarget,
    /// No target has room for it.
    Blocked,
}

impl Scheduler {
    /// Makes all decisions that are possible now and returns the events since the last call.
    pub fn poll(&mut self, now: Duration) -> Vec<Event> {
        self.advance_clock(now);
        self.sheds_left = self.cfg.max_removals_per_poll.max(1);
        self.remove_overdue_runs();
        for (_, target) in &mut self.targets {
            target.advance(&self.cfg, self.now);
        }
        if self.has_schedulable() {
            self.shed_expired();
            self.grant_all();
        } else {
            self.shed_all();
        }
        // Drops stale heap entries, so that `next_wakeup` reads an exact time.
        self.queue.next_grant_deadline();
        std::mem::take(&mut self.events)
    }

    /// Latest time of a grant that meets the deadline, on the schedulable target with the shortest
    /// estimated time to first token.
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

    /// Estimated seconds to the first token on a target. Falls back to the estimate of the pool if
    /// the target has too few samples, and to 0 if the pool has too few as well.
    fn first_token(&self, target: &Target, prompt: u64) -> f64 {
        let own = target.first_token.estimate(self.now, prompt);
        own.unwrap_or_else(|| {
            let speed = target.spec.speed.max(f64::MIN_POSITIVE);
            let pool = self.first_token.estimate(self.now, prompt);
            pool.map_or(0.0, |seconds| seconds / speed)
        })
    }

    fn remove_overdue_runs(&mut self) {
        for _ in 0..self.cfg.max_removals_per_poll.max(1) {
            let Some(run) = self.runs.next_overdue(self.now) else {
                return;
            };
            self.remove_run(run);
        }
    }

    fn shed_expired(&mut self) {
        while self.sheds_left > 0
            && let Some(key) = self.queue.pop_due(self.now)
        {
            self.sheds_left -= 1;
            let latest = self.latest_grant(self.queue.get(key));
            if latest <= self.now {
                self.shed_waiting(key, ShedReason::Deadline);
            } else {
                // The estimate has decreased since the deadline was set.
                self.queue.reschedule(key, latest);
            }
        }
    }

    fn shed_all(&mut self) {
        while self.sheds_left > 0
            && let Some(key) = self.queue.shed_candidate()
        {
            self.sheds_left -= 1;
            self.shed_waiting(key, ShedReason::NoTarget);
        }
    }

    /// Grants in tier order until the head of a tier finds no room. Work of a lower tier must not
    /// overtake it, because that work would keep the targets full.
    fn grant_all(&mut self) {
        // A target that gets no work until it is empty, for work that needs an empty target.
        let mut reserved = None;
        for tier in 0..self.queue.tiers() {
            self.reserved_fraction = self.reserved_fraction_for(tier);
            self.grant_needing_empty_target(tier, &mut reserved);
            while let Some(key) = self.queue.head(tier) {
                if self.sheds_left == 0 {
                    return;
                }
                match self.decide(key, reserved) {
                    Decision::Dequeued => {}
                    Decision::Blocked => return,
                    Decision::NeedsEmptyTarget => {
                        self.queue.move_to_empty_target_list(key);
                        self.grant_needing_empty_target(tier, &mut reserved);
                    }
                }
            }
        }
    }

    /// Fraction of the limits that work of a tier leaves free for higher tiers. Without it, a
    /// request of a higher tier would find the targets full of lower tiers' work, and runs last
    /// longer than a request may wait.
    fn reserved_fraction_for(&self, tier: usize) -> f64 {
        let above = self
            .arrival_rates
            .expected_above(self.now, tier, self.cfg.reserve_window);
        if above <= 0.0 {
            return 0.0;
        }
        let schedulable = self
            .targets
            .iter()
            .filter(|(_, target)| target.spec.schedulable);
        let limit: u64 = schedulable.map(|(_, target)| target.allowed()).sum();
        (above / tokens_to_f64(limit.max(1)))
            .min(self.cfg.max_reserved_fraction)
            .max(0.0)
    }

    fn grant_needing_empty_target(&mut self, tier: usize, reserved: &mut Option<usize>) {
        while let Some(key) = self.queue.awaiting_empty_target(tier) {
            if self.sheds_left == 0 {
                return;
            }
            match self.decide(key, *reserved) {
                Decision::Dequeued => {}
                Decision::Blocked => return,
                Decision::NeedsEmptyTarget => {
                    if !self.grant_on_empty_target(key, reserved) {
                        return;
                    }
                }
            }
        }
    }

    fn decide(&mut self, key: usize, reserved: Option<usize>) -> Decision {
        let descriptor = self.queue.get(key);
        let state = self.containment.state(self.now, descriptor.fingerprints());
        let reason = if state == FingerprintState::Refused {
            Some(ShedReason::Poison)
        } else {
            let late = self.latest_grant(descriptor) <= self.now;
            late.then_some(ShedReason::Deadline)
        };
        if let Some(reason) = reason {
            self.sheds_left -= 1;
            self.shed_waiting(key, reason);
            return Decision::Dequeued;
        }
        if state == FingerprintState::Suspect {
            return Decision::NeedsEmptyTarget;
        }
        if let Some(target) = self.choose(descriptor, reserved) {
            self.grant(key, target, false);
            return Decision::Dequeued;
        }
        let cost = descriptor.cost.max(1);
        let mut schedulable = self
            .targets
            .iter()
            .filter(|(_, target)| target.spec.schedulable);
        let too_large = schedulable
            .all(|(_, target)| target.allowed_below_reserve(self.reserved_fraction) < cost);
        if too_large
            && self
                .queue
                .awaiting_empty_target(self.queue.tier_of(descriptor.tier))
                .is_none_or(|first| first == key)
        {
            return Decision::NeedsEmptyTarget;
        }
        Decision::Blocked
    }

    /// Returns the target with the lowest load that has room, or the one that last served the
    /// prefix unless its load is much higher. Targets that would miss the deadline are the last
    /// choice.
    fn choose(&self, descriptor: &Descriptor, reserved: Option<usize>) -> Option<usize> {
        let cost = descriptor.cost.max(1);
        let served = self.prefixes.get(descriptor.prefix);
        let (mut best, mut least) = (None, (true, f64::INFINITY, PermitId(u64::MAX)));
        let mut affine = None;
        for (key, target) in &self.targets {
            if Some(key) == reserved
                || !target.has_room(cost, self.reserved_fraction)
                || !target.is_usable(self.now, self.lease_in_doubt)
            {
                continue;
            }
            let seconds = self.first_token(target, descriptor.prompt);
            let seconds = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
            let late = self.now.saturating_add(seconds) >= descriptor.deadline;
            // At equal load, the target with the oldest grant is next, so that all targets warm up.
            let score = (late, target.load(cost), target.last_grant);
            if best.is_none() || score < least {
                (best, least) = (Some(key), score);
            }
            if served == Some((key, target.epoch)) {
                affine = Some((key, score));
            }
        }
        match affine {
            Some((key, (late, load, _)))
                if late == least.0
                    && (load <= least.1 * self.cfg.affinity_factor
                        || load <= self.cfg.affinity_floor) =>
            {
                Some(key)
            }
            _ => best,
        }
    }

    /// Grants a run on an empty target, or else reserves a target that is to become empty. Returns
    /// whether the run was granted.
    fn grant_on_empty_target(&mut self, key: usize, reserved: &mut Option<usize>) -> bool {
        let descriptor = self.queue.get(key);
        let fingerprints = descriptor.fingerprints();
        let suspect = self.containment.state(self.now, fingerprints) == FingerprintState::Suspect;
        if suspect && self.containment.has_isolated_run(fingerprints) {
            return false;
        }
        // Prefers targets that this request has not crashed: a crash on another target is better
        // evidence, as the first target may itself be faulty.
        let crashed = if suspect {
            self.containment.crashed_by(fingerprints)
        } else {
            Vec::new()
        };
        let untried =
            |target: &Target| target.spec.schedulable && !crashed.contains(&target.spec.name);
        let all_tried = !self.targets.iter().any(|(_, target)| untried(target));
        let candidates = self
            .targets
            .iter()
            .filter(|&(key, target)| Some(key) != *reserved && (all_tried || untried(target)))
            .filter(|(_, target)| target.is_usable(self.now, self.lease_in_doubt));
        let Some((target, in_flight)) = candidates
            .map(|(key, target)| (key, target.in_flight()))
            .min_by_key(|&(_, in_flight)| in_flight)
        else {
            return false;
        };
        if in_flight > 0 {
            reserved.get_or_insert(target);
            return false;
        }
        self.grant(key, target, suspect);
        true
    }

    fn grant(&mut self, key: usize, target_key: usize, isolated: bool) {
        let descriptor = self.queue.remove_granted(key);
        let target = &mut self.targets[target_key];
        let cost = descriptor.cost.max(1);
        target.tokens = target.tokens.saturating_add(cost);
        target.running += 1;
        target.isolated = isolated;
        self.prefixes
            .set(descriptor.prefix, target_key, target.epoch);
        if isolated {
            self.containment
                .set_isolated_run(descriptor.fingerprints(), true);
        }
        self.stats.record_grant(descriptor.tier, descriptor.prompt);
        let id = PermitId(self.next_permit);
        self.next_permit += 1;
        target.last_grant = id;
        let expires = self.now + self.cfg.permit_life;
        self.runs.insert(Run {
            permit: id,
            handed_over: false,
            request: Name::clone(&descriptor.id),
            target: target_key,
            cost,
            prompt: descriptor.prompt,
            fingerprints: Some(descriptor.fingerprints()),
            isolated,
            cold: target.is_cold(),
            epoch: target.epoch,
            // The run counts at least until an unused permit is void.
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
