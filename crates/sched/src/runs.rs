//! Runs in flight, indexed by permit, by request id and by hard deadline.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use slab::Slab;

use crate::model::{Fingerprints, Name, PermitId};

/// One run in flight.
pub(crate) struct Run {
    pub(crate) permit: PermitId,
    /// Whether an earlier owner granted the permit; its number is not one of this owner's.
    pub(crate) handed_over: bool,
    pub(crate) request: Name,
    pub(crate) target: usize,
    pub(crate) cost: u64,
    pub(crate) prompt: u64,
    pub(crate) fingerprints: Option<Fingerprints>,
    /// Whether nothing else may run beside it because its fingerprint is suspect.
    pub(crate) isolated: bool,
    /// Whether the target was cold at the grant.
    pub(crate) cold: bool,
    /// Epoch of the target at the grant.
    pub(crate) epoch: u64,
    pub(crate) hard_deadline: Duration,
}

/// Table of the runs in flight.
#[derive(Default)]
pub(crate) struct Runs {
    items: Slab<(Run, u64)>,
    by_permit: HashMap<PermitId, usize>,
    by_request: HashMap<Name, usize>,
    hard_deadlines: BinaryHeap<Reverse<(Duration, usize, u64)>>,
    serial: u64,
}

impl Runs {
    pub(crate) fn insert(&mut self, run: Run) {
        self.serial += 1;
        let (permit, request, end) = (run.permit, run.request.clone(), run.hard_deadline);
        let handed_over = run.handed_over;
        let key = self.items.insert((run, self.serial));
        if !handed_over {
            self.by_permit.insert(permit, key);
        }
        self.by_request.insert(request, key);
        self.hard_deadlines.push(Reverse((end, key, self.serial)));
        if self.hard_deadlines.len() > 2 * self.items.len() + 64 {
            let items = &self.items;
            self.hard_deadlines
                .retain(|&Reverse((_, key, serial))| is_running(items, key, serial));
        }
    }

    pub(crate) fn by_permit(&self, permit: PermitId) -> Option<usize> {
        self.by_permit.get(&permit).copied()
    }

    pub(crate) fn by_request(&self, request: &str) -> Option<usize> {
        self.by_request.get(request).copied()
    }

    pub(crate) fn get(&self, key: usize) -> &Run {
        &self.items[key].0
    }

    pub(crate) fn remove(&mut self, key: usize) -> Run {
        let (run, _) = self.items.remove(key);
        if !run.handed_over {
            self.by_permit.remove(&run.permit);
        }
        // A second run of the same request may have replaced the entry.
        if self.by_request.get(&run.request) == Some(&key) {
            self.by_request.remove(&run.request);
        }
        run
    }

    /// Next run whose hard deadline has passed.
    pub(crate) fn next_overdue(&mut self, now: Duration) -> Option<usize> {
        while let Some(&Reverse((end, key, serial))) = self.hard_deadlines.peek() {
            if is_running(&self.items, key, serial) {
                return (end <= now).then_some(key);
            }
            self.hard_deadlines.pop();
        }
        None
    }

    /// Time of the earliest hard deadline, possibly of a run that has ended.
    pub(crate) fn next_hard_deadline(&self) -> Option<Duration> {
        self.hard_deadlines.peek().map(|&Reverse((end, ..))| end)
    }

    /// Runs on one target.
    pub(crate) fn on_target(&self, target: usize) -> impl Iterator<Item = (usize, &Run)> {
        self.items
            .iter()
            .filter(move |(_, (run, _))| run.target == target)
            .map(|(key, (run, _))| (key, run))
    }
}

fn is_running(items: &Slab<(Run, u64)>, key: usize, serial: u64) -> bool {
    items
        .get(key)
        .is_some_and(|&(_, current)| current == serial)
}
