//! Waiting descriptors, indexed by tier, by id and by the latest useful time of a grant.

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
    /// Index of the tier queue in which it waits.
    pub(crate) tier: usize,
    /// Flow of its workspace; `None` while it waits for an empty target.
    pub(crate) flow: Option<usize>,
    pub(crate) link: Link,
    /// Distinguishes it from an earlier item with the same slab key.
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
    /// Descriptors that were already charged to their workspace and wait for an empty target.
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

    /// Index of the tier queue for a rank; ranks below the lowest tier use the lowest.
    pub(crate) fn tier_of(&self, rank: u8) -> usize {
        usize::from(rank).min(self.tiers.len() - 1)
    }

    pub(crate) fn find(&self, id: &str) -> Option<usize> {
        self.by_id.get(id).copied()
    }

    pub(crate) fn get(&self, key: usize) -> &Descriptor {
        &self.items[key].descriptor
    }

    /// Adds a descriptor; from `latest` on, a grant would miss its deadline.
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

    /// Next descriptor of a tier in fair order.
    pub(crate) fn head(&mut self, tier: usize) -> Option<usize> {
        self.tiers[tier].fair.head(&self.items)
    }

    /// First descriptor of a tier that waits for an empty target.
    pub(crate) fn awaiting_empty_target(&self, tier: usize) -> Option<usize> {
        self.tiers[tier].awaiting_empty_target.head()
    }

    /// Charges the workspace of a descriptor and moves the descriptor to the list of those that
    /// wait for an empty target.
    pub(crate) fn move_to_empty_target_list(&mut self, key: usize) {
        let tier = &mut self.tiers[self.items[key].tier];
        tier.fair.remove_charged(&mut self.items, key);
        tier.awaiting_empty_target
            .push_back(&mut self.items, link, key);
    }

    /// Removes a granted descriptor and charges its workspace, unless that was charged before.
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

    /// Removes a descriptor that was not granted.
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

    /// Lowest tier with a waiting descriptor.
    pub(crate) fn lowest(&self) -> Option<usize> {
        (0..self.tiers.len())
            .rev()
            .find(|&tier| self.tiers[tier].len > 0)
    }

    /// Descriptor to evict from a tier: the newest of the workspace with the most waiting.
    pub(crate) fn victim(&self, tier: usize) -> Option<usize> {
        let tier = &self.tiers[tier];
        let fair = tier.fair.newest_of_longest().map(|(key, _)| key);
        fair.or_else(|| tier.awaiting_empty_target.tail())
    }

    /// Descriptor to evict from a tier in favour of `workspace` in the same tier. The workspace
    /// with the most waiting descriptors loses one only if it then still has at least as many as
    /// the other.
    pub(crate) fn victim_for_workspace(&self, tier: usize, workspace: &str) -> Option<usize> {
        let fair = &self.tiers[tier].fair;
        let (key, longest) = fair.newest_of_longest()?;
        (fair.waiting_count(workspace) + 1 < longest).then_some(key)
    }

    /// Takes the next due descriptor off the deadline heap. The descriptor stays in the queue; the
    /// caller sheds it or calls `reschedule`.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<usize> {
        let key = self
            .next_grant_deadline()
            .filter(|&(latest, _)| latest <= now)?
            .1;
        self.grant_deadlines.pop();
        Some(key)
    }

    /// Puts a descriptor that `pop_due` returned back on the deadline heap with a later time.
    pub(crate) fn reschedule(&mut self, key: usize, latest: Duration) {
        self.grant_deadlines
            .push(Reverse((latest, key, self.items[key].serial)));
    }

    /// Returns the first entry of the deadline heap that is still waiting. Drops stale entries
    /// before it, so that `first_grant_deadline` is exact.
    pub(crate) fn next_grant_deadline(&mut self) -> Option<(Duration, usize)> {
        while let Some(&Reverse((latest, key, serial))) = self.grant_deadlines.peek() {
            if is_waiting(&self.items, key, serial) {
                return Some((latest, key));
            }
            self.grant_deadlines.pop();
        }
        None
    }

    /// Time of the first entry of the deadline heap, which may be stale.
    pub(crate) fn first_grant_deadline(&self) -> Option<Duration> {
        self.grant_deadlines
            .peek()
            .map(|&Reverse((latest, ..))| latest)
    }

    /// Next descriptor to shed when all are shed: the eviction victim of the lowest tier.
    pub(crate) fn shed_candidate(&self) -> Option<usize> {
        self.victim(self.lowest()?)
    }

    fn remove_item(&mut self, key: usize) -> Descriptor {
        let waiting = self.items.remove(key);
        self.tiers[waiting.tier].len -= 1;
        self.by_id.remove(&waiting.descriptor.id);
        waiting.descriptor
    }

    /// Removes stale entries from the deadline heap when they are the majority.
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
