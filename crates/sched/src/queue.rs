//! Waiting descriptors: by tier, by id and by the latest time of their grant.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use slab::Slab;

use crate::fairness::FairQueue;
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
    fair: FairQueue,
    /// Descriptors that had their turn and wait for an empty target.
    awaiting_empty_target: List,
    len: usize,
}

/// All waiting descriptors of a scheduler.
pub(crate) struct Queue {
    items: Slab<Waiting>,
    by_id: HashMap<Name, usize>,
    tiers: Vec<Tier>,
    grant_deadlines: BinaryHeap<Reverse<(Duration, usize, u64)>>,
    serial: u64,
}

impl Queue {
    pub(crate) fn new(tiers: u8) -> Self {
        Queue {
            items: Slab::new(),
            by_id: HashMap::new(),
            tiers: (0..tiers.max(1)).map(|_| Tier::default()).collect(),
            grant_deadlines: BinaryHeap::new(),
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

    pub(crate) fn get(&self, key: usize) -> &Descriptor {
        &self.items[key].descriptor
    }

    /// Adds a descriptor; `latest` is the time after which granting it is of no use.
    pub(crate) fn push(&mut self, descriptor: Descriptor, latest: Duration) {
        let tier = self.tier_of(descriptor.tier);
        let id = descriptor.id.clone();
        self.serial += 1;
        let key = self.items.insert(Waiting {
            descriptor,
            tier,
            flow: None,
            link: Link::default(),
            serial: self.serial,
        });
        self.by_id.insert(id, key);
        self.tiers[tier].fair.push(&mut self.items, key);
        self.tiers[tier].len += 1;
        self.grant_deadlines
            .push(Reverse((latest, key, self.serial)));
        self.compact_deadlines();
    }

    /// The descriptor whose turn it is in a tier.
    pub(crate) fn head(&mut self, tier: usize) -> Option<usize> {
        self.tiers[tier].fair.head(&self.items)
    }

    /// The first descriptor of a tier that waits to run alone.
    pub(crate) fn awaiting_empty_target(&self, tier: usize) -> Option<usize> {
        self.tiers[tier].awaiting_empty_target.head()
    }

    /// Charges a descriptor's workspace and lets the descriptor wait for an empty target.
    pub(crate) fn move_to_empty_target_list(&mut self, key: usize) {
        let tier = &mut self.tiers[self.items[key].tier];
        tier.fair.remove_charged(&mut self.items, key);
        tier.awaiting_empty_target
            .push_back(&mut self.items, link, key);
    }

    /// Removes a descriptor that is granted, and charges its workspace.
    pub(crate) fn remove_granted(&mut self, key: usize) -> Descriptor {
        let tier = &mut self.tiers[self.items[key].tier];
        if self.items[key].flow.is_some() {
            tier.fair.remove_charged(&mut self.items, key);
        } else {
            tier.awaiting_empty_target
                .remove(&mut self.items, link, key);
        }
        self.remove_item(key)
    }

    /// Removes a descriptor that is not granted.
    pub(crate) fn remove(&mut self, key: usize) -> Descriptor {
        let tier = &mut self.tiers[self.items[key].tier];
        if self.items[key].flow.is_some() {
            tier.fair.remove(&mut self.items, key);
        } else {
            tier.awaiting_empty_target
                .remove(&mut self.items, link, key);
        }
        self.remove_item(key)
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
        let fair = tier.fair.newest_of_longest().map(|(key, _)| key);
        fair.or_else(|| tier.awaiting_empty_target.tail())
    }

    /// The descriptor to evict from a tier for one of another workspace of the same tier: only
    /// a workspace that would still wait with no fewer descriptors than the other gives way.
    pub(crate) fn victim_for_workspace(&self, tier: usize, workspace: &str) -> Option<usize> {
        let fair = &self.tiers[tier].fair;
        let (key, longest) = fair.newest_of_longest()?;
        (fair.waiting_count(workspace) + 1 < longest).then_some(key)
    }

    /// Removes and returns the next descriptor of the deadline heap whose time has come. The
    /// descriptor still waits; the caller sheds it or calls `rearm`.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<usize> {
        let key = self
            .next_grant_deadline()
            .filter(|&(latest, _)| latest <= now)?
            .1;
        self.grant_deadlines.pop();
        Some(key)
    }

    /// Puts a descriptor returned by `pop_due` back with a later time.
    pub(crate) fn reschedule(&mut self, key: usize, latest: Duration) {
        self.grant_deadlines
            .push(Reverse((latest, key, self.items[key].serial)));
    }

    /// Drops heap entries of descriptors that left, so that `due_at` is exact.
    pub(crate) fn next_grant_deadline(&mut self) -> Option<(Duration, usize)> {
        while let Some(&Reverse((latest, key, serial))) = self.grant_deadlines.peek() {
            if is_waiting(&self.items, key, serial) {
                return Some((latest, key));
            }
            self.grant_deadlines.pop();
        }
        None
    }

    /// Time of the first entry of the deadline heap.
    pub(crate) fn first_grant_deadline(&self) -> Option<Duration> {
        self.grant_deadlines
            .peek()
            .map(|&Reverse((latest, ..))| latest)
    }

    /// A waiting descriptor of the lowest tier, for shedding all.
    pub(crate) fn shed_candidate(&self) -> Option<usize> {
        self.victim(self.lowest()?)
    }

    fn remove_item(&mut self, key: usize) -> Descriptor {
        let waiting = self.items.remove(key);
        self.tiers[waiting.tier].len -= 1;
        self.by_id.remove(&waiting.descriptor.id);
        waiting.descriptor
    }

    /// Rebuilds the deadline heap when most of its entries are of descriptors that left.
    fn compact_deadlines(&mut self) {
        if self.grant_deadlines.len() > 2 * self.items.len() + 64 {
            let items = &self.items;
            self.grant_deadlines
                .retain(|&Reverse((_, key, serial))| is_waiting(items, key, serial));
        }
    }
}

fn is_waiting(items: &Slab<Waiting>, key: usize, serial: u64) -> bool {
    items
        .get(key)
        .is_some_and(|waiting| waiting.serial == serial)
}
