//! Request rates that targets name as their limits, as known to this member.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

/// A limit counts as ended only if a response without one is this much newer than the last one that
/// named it. Responses of different connections may arrive out of order.
const END_CONFIRMATION: Duration = Duration::from_millis(500);
/// What this member's own responses said is reported for this long, which spans two heartbeats.
const REPORT_TIME: Duration = Duration::from_millis(600);
/// Maximum number of own observations in one report. An entry gets responses of fewer targets than
/// this between two heartbeats.
const MAX_OWN_REPORTS: usize = 16;
/// Other limits in one report, in rotation. Members that have just started learn them.
const ROTATING_REPORTS: usize = 4;
/// The end of a limit is remembered for this long, longer than older reports of it circulate.
const END_MEMORY: Duration = Duration::from_secs(10);

/// What one member tells others about the limit of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// Key of the target.
    pub target: u64,
    /// Requests per second that the target accepts from all members together; `None` if it no
    /// longer names a limit.
    pub per_s: Option<f64>,
    /// Time since the target said so.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    per_s: Option<f64>,
    seen_at: Duration,
    /// Time of the last response of the target to this member itself.
    own_seen_at: Option<Duration>,
}

/// Limits that targets have named. The newest observation of any member counts.
#[derive(Debug, Default)]
pub struct NamedLimits {
    observations: HashMap<u64, Observation>,
    next_rotating: usize,
}

impl NamedLimits {
    /// Records what a response of a target says. Returns whether this changes its limit.
    pub fn record(&mut self, now: Duration, target: u64, per_s: Option<f64>) -> bool {
        let has_changed = self.update(target, per_s, now);
        if let Some(observation) = self.observations.get_mut(&target) {
            observation.own_seen_at = Some(now);
        }
        has_changed
    }

    /// Merges what another member reports. Returns the targets whose limits changed.
    pub fn merge(&mut self, now: Duration, reports: &[LimitReport]) -> Vec<u64> {
        let mut changed = Vec::new();
        for report in reports {
            let seen_at = now.saturating_sub(report.age);
            if self.update(report.target, report.per_s, seen_at) {
                changed.push(report.target);
            }
        }
        changed
    }

    /// Limit of a target in requests per second, if it names one.
    #[must_use]
    pub fn get(&self, target: u64) -> Option<f64> {
        self.observations.get(&target)?.per_s
    }

    /// Number of targets that name a limit.
    #[must_use]
    pub fn count(&self) -> usize {
        let limited = self.observations.values().filter(|o| o.per_s.is_some());
        limited.count()
    }

    /// Reports for other members: what responses to this member said recently, and some of the other
    /// limits in rotation.
    pub fn reports(&mut self, now: Duration) -> Vec<LimitReport> {
        let is_recent = |at| now.saturating_sub(at) < REPORT_TIME;
        let (mut own, mut others): (Vec<_>, Vec<_>) = self
            .observations
            .iter()
            .partition(|(_, observation)| observation.own_seen_at.is_some_and(is_recent));
        own.sort_unstable_by_key(|(target, observation)| (Reverse(observation.seen_at), **target));
        others.sort_unstable_by_key(|(target, _)| **target);
        let first = self.next_rotating % others.len().max(1);
        others.rotate_left(first);
        let reports = own.into_iter().take(MAX_OWN_REPORTS);
        let reports = reports.chain(others.into_iter().take(ROTATING_REPORTS));
        let reports = reports
            .map(|(&target, observation)| LimitReport {
                target,
                per_s: observation.per_s,
                age: now.saturating_sub(observation.seen_at),
            })
            .collect();
        self.next_rotating = self.next_rotating.wrapping_add(ROTATING_REPORTS);
        reports
    }

    /// Forgets limits that ended, and those of targets that no longer exist.
    pub fn remove_stale(&mut self, now: Duration, exists: impl Fn(u64) -> bool) {
        self.observations.retain(|&target, observation| {
            let is_recent = now.saturating_sub(observation.seen_at) < END_MEMORY;
            // A target may be heard of here before its entry in the store.
            is_recent || (observation.per_s.is_some() && exists(target))
        });
    }

    fn update(&mut self, target: u64, per_s: Option<f64>, seen_at: Duration) -> bool {
        let Some(known) = self.observations.get_mut(&target) else {
            if per_s.is_some() {
                let observation = Observation {
                    per_s,
                    seen_at,
                    own_seen_at: None,
                };
                self.observations.insert(target, observation);
            }
            return per_s.is_some();
        };
        let newer_than = match (known.per_s, per_s) {
            (Some(_), None) => known.seen_at + END_CONFIRMATION,
            _ => known.seen_at,
        };
        if seen_at < newer_than {
            return false;
        }
        known.seen_at = seen_at;
        std::mem::replace(&mut known.per_s, per_s) != per_s
    }
}
