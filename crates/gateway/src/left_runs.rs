//! Runs whose callers left while their targets were silent, and when these targets are checked.
//!
//! Callers may leave in crowds, for example when all targets are slow. All runs that were left on a target
//! share its checks, so that the checks grow with the targets and not with the callers.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use admit::{Target, target_key};

use crate::poison_parts::Part;

/// Time from the end of a run to the check. The connections of a process that ends may break a few
/// milliseconds before its listener is closed, and until then the kernel accepts further ones.
pub(crate) const CHECK_DELAY: Duration = Duration::from_millis(100);
/// Shortest time between two checks of a target. Verdicts on requests that crash targets are due within
/// seconds.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of runs that wait for a check, as many as there may be suspected parts; of more, the
/// new ones are ignored.
const MAX_WAITING: usize = 1024;

/// A run that ended without a complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Id of its request.
    pub id: String,
    /// What may be the cause if its target has crashed.
    pub parts: Rc<[Part]>,
}

struct LeftTarget {
    target: Target,
    last_check: Option<Duration>,
    /// Runs that wait for a check, each with the time at which it was left; oldest first.
    waiting: Vec<(Duration, EndedRun)>,
}

impl LeftTarget {
    fn due(&self) -> Option<Duration> {
        let &(left_at, _) = self.waiting.first()?;
        let next = self
            .last_check
            .map_or(Duration::ZERO, |at| at + CHECK_INTERVAL);
        Some(next.max(left_at + CHECK_DELAY))
    }
}

/// The runs, by key of their target.
#[derive(Default)]
pub struct LeftRuns {
    targets: HashMap<u64, LeftTarget>,
    waiting: usize,
}

impl LeftRuns {
    /// Adds a run that was left now. Returns whether there was room for it.
    pub fn add(&mut self, now: Duration, target: &Target, run: EndedRun) -> bool {
        if self.waiting >= MAX_WAITING {
            return false;
        }
        let key = target_key(target);
        let left = self.targets.entry(key).or_insert_with(|| LeftTarget {
            target: target.clone(),
            last_check: None,
            waiting: Vec::new(),
        });
        left.waiting.push((now, run));
        self.waiting += 1;
        true
    }

    /// Time of the next check; `None` if no run waits for one.
    #[must_use]
    pub fn next_check(&self) -> Option<Duration> {
        self.targets.values().filter_map(LeftTarget::due).min()
    }

    /// Takes the targets to be checked now, each with its runs. Runs that were left only just now wait for the
    /// next check.
    pub fn take_due(&mut self, now: Duration) -> Vec<(Target, Vec<EndedRun>)> {
        let mut due = Vec::new();
        for left in self.targets.values_mut() {
            if left.due().is_none_or(|at| at > now) {
                continue;
            }
            left.last_check = Some(now);
            let is_ripe = |(left_at, _): &(Duration, EndedRun)| *left_at + CHECK_DELAY <= now;
            let ripe = left.waiting.partition_point(is_ripe);
            self.waiting -= ripe;
            let runs = left.waiting.drain(..ripe).map(|(_, run)| run).collect();
            due.push((left.target.clone(), runs));
        }
        self.targets.retain(|_, left| {
            let is_recent = |at: Duration| now.saturating_sub(at) < CHECK_INTERVAL;
            !left.waiting.is_empty() || left.last_check.is_some_and(is_recent)
        });
        due
    }
}
