//! Deficit round robin by cost over the workspaces of one tier.
//!
//! As in FQ-CoDel, a workspace that starts to wait has its first turn before those that already
//! wait. A round takes longer than many deadlines: if new workspaces joined at the end of the
//! round, the few requests of a light sender would expire behind those of heavy senders.

use std::collections::HashMap;

use slab::Slab;

use crate::list::{Link, List};
use crate::model::Name;
use crate::queue::Waiting;

/// Waiting descriptors of one workspace in one tier.
struct Flow {
    workspace: Name,
    waiting: List,
    len: usize,
    deficit: u64,
    /// Whether the quantum of the current turn was added.
    quantum_added: bool,
    /// Whether it is in `new_flows`, before the end of its first turn.
    first_turn: bool,
    turn_link: Link,
    len_link: Link,
}

fn turn_link(flow: &mut Flow) -> &mut Link {
    &mut flow.turn_link
}

fn len_link(flow: &mut Flow) -> &mut Link {
    &mut flow.len_link
}

fn link(waiting: &mut Waiting) -> &mut Link {
    &mut waiting.link
}

/// Fair queue of one tier. The descriptors are stored in a slab that all tiers share.
#[derive(Default)]
pub(crate) struct FairQueue {
    flows: Slab<Flow>,
    by_name: HashMap<Name, usize>,
    /// Flows that started to wait and have not finished a turn.
    new_flows: List,
    /// Flows that had a turn. One without work stays until its next turn, so that it can't become a
    /// new flow again before the others have had theirs.
    old_flows: List,
    /// Number of descriptors.
    len: usize,
    /// Flows by number of waiting descriptors, which gives the longest in constant time.
    by_len: Vec<List>,
    longest: usize,
    /// Largest cost queued since this queue was last empty. As no cost exceeds the quantum, each
    /// turn of a workspace yields at least one descriptor, and a decision takes constant time.
    quantum: u64,
}

impl FairQueue {
    /// Appends the descriptor to the queue of its workspace.
    pub(crate) fn push(&mut self, items: &mut Slab<Waiting>, key: usize) {
        let workspace = items[key].descriptor.workspace.clone();
        self.quantum = self.quantum.max(items[key].cost());
        let cost = items[key].cost();
        let flow = match self.by_name.get(&workspace) {
            Some(&flow) => flow,
            None => self.add_flow(workspace),
        };
        let state = &mut self.flows[flow];
        if state.len == 0 && !state.first_turn && cost <= state.deficit {
            // Its work ran out before it used up its last turn; it continues that turn.
            state.first_turn = true;
            state.quantum_added = true;
            self.old_flows.remove(&mut self.flows, turn_link, flow);
            self.new_flows.push_back(&mut self.flows, turn_link, flow);
        }
        items[key].flow = Some(flow);
        self.flows[flow].waiting.push_back(items, link, key);
        self.set_len(flow, self.flows[flow].len + 1);
        self.len += 1;
    }

    /// Next descriptor in fair order.
    pub(crate) fn head(&mut self, items: &Slab<Waiting>) -> Option<usize> {
        loop {
            let key = self.new_flows.head().or(self.old_flows.head())?;
            let flow = &mut self.flows[key];
            match flow.waiting.head() {
                Some(first) => {
                    if !flow.quantum_added {
                        flow.quantum_added = true;
                        flow.deficit += self.quantum;
                    }
                    if items[first].cost() <= flow.deficit {
                        return Some(first);
                    }
                    self.end_turn(key);
                }
                None if flow.first_turn => self.end_turn(key),
                None => {
                    self.old_flows.remove(&mut self.flows, turn_link, key);
                    let flow = self.flows.remove(key);
                    self.by_name.remove(&flow.workspace);
                }
            }
        }
    }

    /// Removes a descriptor and subtracts its cost from the deficit counter of its workspace.
    pub(crate) fn remove_charged(&mut self, items: &mut Slab<Waiting>, key: usize) {
        let cost = items[key].cost();
        if let Some(flow) = items[key].flow {
            let deficit = &mut self.flows[flow].deficit;
            *deficit = deficit.saturating_sub(cost);
        }
        self.remove(items, key);
    }

    /// Removes a descriptor without charging its workspace.
    pub(crate) fn remove(&mut self, items: &mut Slab<Waiting>, key: usize) {
        let Some(flow) = items[key].flow.take() else {
            return;
        };
        self.flows[flow].waiting.remove(items, link, key);
        self.set_len(flow, self.flows[flow].len - 1);
        self.len -= 1;
        if self.len == 0 {
            self.quantum = 0;
        }
    }

    /// Newest descriptor of the workspace with the most waiting, and the number waiting there.
    pub(crate) fn newest_of_longest(&self) -> Option<(usize, usize)> {
        let flow = self.by_len.get(self.longest)?.head()?;
        let newest = self.flows[flow].waiting.tail()?;
        Some((newest, self.longest))
    }

    /// Number of waiting descriptors of a workspace.
    pub(crate) fn waiting_count(&self, workspace: &str) -> usize {
        let flow = self.by_name.get(workspace);
        flow.map_or(0, |&flow| self.flows[flow].len)
    }

    fn add_flow(&mut self, workspace: Name) -> usize {
        let key = self.flows.insert(Flow {
            workspace: workspace.clone(),
            waiting: List::default(),
            len: 0,
            deficit: 0,
            quantum_added: false,
            first_turn: true,
            turn_link: Link::default(),
            len_link: Link::default(),
        });
        self.by_name.insert(workspace, key);
        self.new_flows.push_back(&mut self.flows, turn_link, key);
        key
    }

    fn end_turn(&mut self, key: usize) {
        self.flows[key].quantum_added = false;
        if std::mem::take(&mut self.flows[key].first_turn) {
            self.new_flows.remove(&mut self.flows, turn_link, key);
        } else {
            self.old_flows.remove(&mut self.flows, turn_link, key);
        }
        self.old_flows.push_back(&mut self.flows, turn_link, key);
    }

    /// Sets the length of a flow and moves the flow to the list for that length.
    fn set_len(&mut self, key: usize, len: usize) {
        let old = std::mem::replace(&mut self.flows[key].len, len);
        if old > 0 {
            self.by_len[old].remove(&mut self.flows, len_link, key);
        }
        if len > 0 {
            if self.by_len.len() <= len {
                self.by_len.resize(len + 1, List::default());
            }
            self.by_len[len].push_back(&mut self.flows, len_link, key);
        }
        self.longest = self.longest.max(len);
        // Lengths change by one, so this loop runs at most once.
        while self.longest > 0 && self.by_len[self.longest].is_empty() {
            self.longest -= 1;
        }
    }
}
