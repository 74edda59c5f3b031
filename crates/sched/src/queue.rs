//! Waiting descriptors: by tier, by id and by the latest time of their grant.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use slab::Slab;

use crate::fairness::Fair;
use crate::list::{Link, List};
use crate::model::{Descriptor, Name};

/// A waiting descriptor.
pub(crate) struct Waiting {
    pub(crate) descriptor: Descriptor,
    /// Tier queue that it waits in.
    pub(crate) tier: usize,
    /// Flow of its workspace; none while it waits to run alone.
    pub(crate) flow: Option<usize>,
    pub(crate) link: Link,
    /// Number that tells it from an earlier one at the same place of the slab.
    serial: u64,
}

impl Waiting {
    pub(crate) fn cost(&self) -> u64 {
        self.descriptor.cost.max(1)
    }
}

fn link(waiting: &mut Waiting) -> &mut Link {
    &mut waiting.link
}

#[derive(Default)]
struct Tier {
    fair: Fair,
    /// Descriptors that had their turn and wait for an empty target.
    alone: List,
    len: usize,
}

/// All waiting descriptors of a scheduler.
pub(crate) struct Queue {
    items: Slab<Waiting>,
    by_id: HashMap<Name, usize>,
    tiers: Vec<Tier>,
    due: BinaryHeap<Reverse<(Duration, usize, u64)>>,
    serial: u64,
}

impl Queue {
    pub(crate) fn new(tiers: u8) -> Self {
        Queue {
            items: Slab::new(),
            by_id: HashMap::new(),
            tiers: (0..tiers.max(1)).map(|_| Tier::default()).collect(),
            due: BinaryHeap::new(),
            serial: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }

    pub(crate) fn tiers(&self) -> usize {
        self.tiers.len()
    }

    pub(crate) fn tier_len(&self, tier: usize) -> usize {
        self.tiers[tier].len
    }

    /// Tier queue for a rank; ranks below the lowest tier join the lowest.
    pub(crate) fn tier_of(&self, rank: u8) -> usize {
        usize::from(rank).min(self.tiers.len() - 1)
    }

    pub(crate) fn find(&self, id: &str) -> Option<usize> {
        self.by_id.get(id).copied()
    }

    pub(crate) fn get(&self, at: usize) -> &Descriptor {
        &self.items[at].descriptor
    }

    /// Adds a descriptor; `latest` is the time after which granting it is of no use.
    pub(crate) fn push(&mut self, descriptor: Descriptor, latest: Duration) {
        let tier = self.tier_of(descriptor.tier);
        let id = descriptor.id.clone();
        self.serial += 1;
        let at = self.items.insert(Waiting {
            descriptor,
            tier,
            flow: None,
            link: Link::default(),
            serial: self.serial,
        });
        self.by_id.insert(id, at);
        self.tiers[tier].fair.push(&mut self.items, at);
        self.tiers[tier].len += 1;
        self.due.push(Reverse((latest, at, self.serial)));
        self.compact();
    }

    /// The descriptor whose turn it is in a tier.
    pub(crate) fn head(&mut self, tier: usize) -> Option<usize> {
        self.tiers[tier].fair.head(&self.items)
    }

    /// The first descriptor of a tier that waits to run alone.
    pub(crate) fn alone(&self, tier: usize) -> Option<usize> {
        self.tiers[tier].alone.head()
    }

    /// Charges a descriptor's workspace and lets the descriptor wait for an empty target.
    pub(crate) fn set_alone(&mut self, at: usize) {
        let tier = &mut self.tiers[self.items[at].tier];
        tier.fair.take(&mut self.items, at);
        tier.alone.push_back(&mut self.items, link, at);
    }

    /// Removes a descriptor that is granted, and charges its workspace.
    pub(crate) fn take(&mut self, at: usize) -> Descriptor {
        let tier = &mut self.tiers[self.items[at].tier];
        if self.items[at].flow.is_some() {
            tier.fair.take(&mut self.items, at);
        } else {
            tier.alone.remove(&mut self.items, link, at);
        }
        self.forget(at)
    }

    /// Removes a descriptor that is not granted.
    pub(crate) fn remove(&mut self, at: usize) -> Descriptor {
        let tier = &mut self.tiers[self.items[at].tier];
        if self.items[at].flow.is_some() {
            tier.fair.remove(&mut self.items, at);
        } else {
            tier.alone.remove(&mut self.items, link, at);
        }
        self.forget(at)
    }

    /// The lowest tier in which something waits.
    pub(crate) fn lowest(&self) -> Option<usize> {
        (0..self.tiers.len())
            .rev()
            .find(|&tier| self.tiers[tier].len > 0)
    }

    /// The descriptor to evict from a tier: the newest of the workspace with most waiting.
    pub(crate) fn victim(&self, tier: usize) -> Option<usize> {
        let tier = &self.tiers[tier];
        let fair = tier.fair.newest_of_longest().map(|(at, _)| at);
        fair.or_else(|| tier.alone.tail())
    }

    /// The descriptor to evict from a tier for one of another workspace of the same tier: only
    /// a workspace that would still wait with no fewer descriptors than the other gives way.
    pub(crate) fn victim_for(&self, tier: usize, workspace: &str) -> Option<usize> {
        let fair = &self.tiers[tier].fair;
        let (at, longest) = fair.newest_of_longest()?;
        (fair.waiting_for(workspace) + 1 < longest).then_some(at)
    }

    /// Removes and returns the next descriptor of the deadline heap whose time has come. The
    /// descriptor still waits; the caller sheds it or calls `rearm`.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<usize> {
        let at = self.next_due().filter(|&(latest, _)| latest <= now)?.1;
        self.due.pop();
        Some(at)
    }

    /// Puts a descriptor returned by `pop_due` back with a later time.
    pub(crate) fn rearm(&mut self, at: usize, latest: Duration) {
        self.due.push(Reverse((latest, at, self.items[at].serial)));
    }

    /// Drops heap entries of descriptors that left, so that `due_at` is exact.
    pub(crate) fn next_due(&mut self) -> Option<(Duration, usize)> {
        while let Some(&Reverse((latest, at, serial))) = self.due.peek() {
            if is_waiting(&self.items, at, serial) {
                return Some((latest, at));
            }
            self.due.pop();
        }
        None
    }

    /// Time of the first entry of the deadline heap.
    pub(crate) fn due_at(&self) -> Option<Duration> {
        self.due.peek().map(|&Reverse((latest, ..))| latest)
    }

    /// A waiting descriptor of the lowest tier, for shedding all.
    pub(crate) fn last(&self) -> Option<usize> {
        self.victim(self.lowest()?)
    }

    fn forget(&mut self, at: usize) -> Descriptor {
        let waiting = self.items.remove(at);
        self.tiers[waiting.tier].len -= 1;
        self.by_id.remove(&waiting.descriptor.id);
        waiting.descriptor
    }

    /// Rebuilds the deadline heap when most of its entries are of descriptors that left.
    fn compact(&mut self) {
        if self.due.len() > 2 * self.items.len() + 64 {
            let items = &self.items;
            self.due
                .retain(|&Reverse((_, at, serial))| is_waiting(items, at, serial));
        }
    }
}

fn is_waiting(items: &Slab<Waiting>, at: usize, serial: u64) -> bool {
    items
        .get(at)
        .is_some_and(|waiting| waiting.serial == serial)
}
