//! Deficit round robin by cost over the workspaces of one tier.
//!
//! A workspace that starts to wait has its first turn before those that wait already. Deadlines
//! are short against a round: at the end of the round, the requests of a workspace that sends few
//! would expire behind those of one that sends many.

use std::collections::HashMap;

use slab::Slab;

use crate::list::{Link, List};
use crate::model::Name;
use crate::queue::Waiting;

/// Waiting work of one workspace in one tier.
struct Flow {
    workspace: Name,
    waiting: List,
    len: usize,
    deficit: u64,
    /// Whether this visit's quantum was added.
    visited: bool,
    /// Whether its first turn is still to come.
    fresh: bool,
    ring: Link,
    peers: Link,
}

fn ring(flow: &mut Flow) -> &mut Link {
    &mut flow.ring
}

fn peers(flow: &mut Flow) -> &mut Link {
    &mut flow.peers
}

fn link(waiting: &mut Waiting) -> &mut Link {
    &mut waiting.link
}

/// One tier's descriptors. The descriptors themselves are in a slab shared by all tiers.
#[derive(Default)]
pub(crate) struct Fair {
    flows: Slab<Flow>,
    by_name: HashMap<Name, usize>,
    /// Flows that started to wait and had no turn yet.
    fresh: List,
    /// Flows that had a turn. One without work stays until its next turn, so that it is not fresh
    /// again before the others had theirs.
    ring: List,
    /// Number of descriptors.
    len: usize,
    /// Flows by number of waiting descriptors, to find the longest in constant time.
    by_len: Vec<List>,
    longest: usize,
    /// Largest cost queued since the tier was last empty. A quantum of at least each cost makes
    /// every visit to a workspace grant something, so that a decision takes constant time.
    quantum: u64,
}

impl Fair {
    /// Adds the descriptor at the end of its workspace's queue.
    pub(crate) fn push(&mut self, items: &mut Slab<Waiting>, at: usize) {
        let workspace = items[at].descriptor.workspace.clone();
        self.quantum = self.quantum.max(items[at].cost());
        let cost = items[at].cost();
        let flow = match self.by_name.get(&workspace) {
            Some(&flow) => flow,
            None => self.add_flow(workspace),
        };
        let own = &mut self.flows[flow];
        if own.len == 0 && !own.fresh && cost <= own.deficit {
            // It ran out of work before it had used its last turn, and goes on with that.
            own.fresh = true;
            own.visited = true;
            self.ring.remove(&mut self.flows, ring, flow);
            self.fresh.push_back(&mut self.flows, ring, flow);
        }
        items[at].flow = Some(flow);
        self.flows[flow].waiting.push_back(items, link, at);
        self.resize(flow, self.flows[flow].len + 1);
        self.len += 1;
    }

    /// The descriptor whose turn it is.
    pub(crate) fn head(&mut self, items: &Slab<Waiting>) -> Option<usize> {
        loop {
            let at = self.fresh.head().or(self.ring.head())?;
            let flow = &mut self.flows[at];
            match flow.waiting.head() {
                Some(first) => {
                    if !flow.visited {
                        flow.visited = true;
                        flow.deficit += self.quantum;
                    }
                    if items[first].cost() <= flow.deficit {
                        return Some(first);
                    }
                    self.end_turn(at);
                }
                None if flow.fresh => self.end_turn(at),
                None => {
                    self.ring.remove(&mut self.flows, ring, at);
                    let flow = self.flows.remove(at);
                    self.by_name.remove(&flow.workspace);
                }
            }
        }
    }

    /// Removes a descriptor and charges its cost to its workspace.
    pub(crate) fn take(&mut self, items: &mut Slab<Waiting>, at: usize) {
        let cost = items[at].cost();
        if let Some(flow) = items[at].flow {
            let deficit = &mut self.flows[flow].deficit;
            *deficit = deficit.saturating_sub(cost);
        }
        self.remove(items, at);
    }

    /// Removes a descriptor without a charge.
    pub(crate) fn remove(&mut self, items: &mut Slab<Waiting>, at: usize) {
        let Some(flow) = items[at].flow.take() else {
            return;
        };
        self.flows[flow].waiting.remove(items, link, at);
        self.resize(flow, self.flows[flow].len - 1);
        self.len -= 1;
        if self.len == 0 {
            self.quantum = 0;
        }
    }

    /// The newest descriptor of the workspace with most waiting, and how many that has.
    pub(crate) fn newest_of_longest(&self) -> Option<(usize, usize)> {
        let flow = self.by_len.get(self.longest)?.head()?;
        let newest = self.flows[flow].waiting.tail()?;
        Some((newest, self.longest))
    }

    /// Number of descriptors that wait for a workspace.
    pub(crate) fn waiting_for(&self, workspace: &str) -> usize {
        let flow = self.by_name.get(workspace);
        flow.map_or(0, |&flow| self.flows[flow].len)
    }

    fn add_flow(&mut self, workspace: Name) -> usize {
        let at = self.flows.insert(Flow {
            workspace: workspace.clone(),
            waiting: List::default(),
            len: 0,
            deficit: 0,
            visited: false,
            fresh: true,
            ring: Link::default(),
            peers: Link::default(),
        });
        self.by_name.insert(workspace, at);
        self.fresh.push_back(&mut self.flows, ring, at);
        at
    }

    fn end_turn(&mut self, at: usize) {
        self.flows[at].visited = false;
        if std::mem::take(&mut self.flows[at].fresh) {
            self.fresh.remove(&mut self.flows, ring, at);
        } else {
            self.ring.remove(&mut self.flows, ring, at);
        }
        self.ring.push_back(&mut self.flows, ring, at);
    }

    /// Moves a flow to the list of its new length.
    fn resize(&mut self, at: usize, len: usize) {
        let old = std::mem::replace(&mut self.flows[at].len, len);
        if old > 0 {
            self.by_len[old].remove(&mut self.flows, peers, at);
        }
        if len > 0 {
            if self.by_len.len() <= len {
                self.by_len.resize(len + 1, List::default());
            }
            self.by_len[len].push_back(&mut self.flows, peers, at);
        }
        self.longest = self.longest.max(len);
        // Lengths change by one, so this steps at most once.
        while self.longest > 0 && self.by_len[self.longest].is_empty() {
            self.longest -= 1;
        }
    }
}
