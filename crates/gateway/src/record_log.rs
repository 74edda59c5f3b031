//! Copy of the store's items with their recent changes, from which other members are served.

use std::collections::{HashMap, HashSet, VecDeque};

use admit::Name;

use crate::adapter::Record;
use crate::position::Position;
use crate::record_digest;

/// Recent changes that are kept at least. A member that missed more than is kept gets a difference
/// or a snapshot.
const MIN_HISTORY: usize = 1024;
/// Recent changes that are kept for each item: in one burst each target may be removed and written
/// again.
const HISTORY_PER_ITEM: usize = 2;

/// What a member that knows a revision has to apply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogDelta {
    /// Nothing; the log has no newer revision.
    None,
    /// Changes, in order.
    Changes(Vec<Record>),
    /// Items that were written later, and the digest of all items. Known items that are not in the
    /// digest are gone.
    Difference {
        /// Items with a revision after the one that the member knows.
        newer: Vec<Record>,
        /// Hashes of all items.
        digest: Vec<u64>,
    },
    /// All items. Items that it lacks are gone.
    Snapshot(Vec<Record>),
}

/// All items of the store and their recent changes, as of a revision.
#[derive(Debug, Default)]
pub struct RecordLog {
    items: HashMap<Name, Record>,
    /// Changes of the current era, with the revision of the log at which each was added.
    history: VecDeque<(u64, Record)>,
    /// The history holds all changes of the current era after this revision.
    history_start: u64,
    position: Position,
    /// Largest number of items so far. A burst may remove all of them first.
    max_items: usize,
}

impl RecordLog {
    /// Position up to which all changes are applied; zero if nothing was read yet.
    #[must_use]
    pub fn position(&self) -> Position {
        self.position
    }

    /// Whether anything was read yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.position == Position::default()
    }

    /// Applies a complete list of items as of a position. Returns what changed, or `None` if the
    /// list is older than the log and is not applied.
    ///
    /// A list of a later era replaces all items, whatever their revisions.
    pub fn apply_listing(&mut self, records: &[Record], position: Position) -> Option<Vec<Record>> {
        if position < self.position {
            return None;
        }
        let revision = position.revision;
        let listed: HashSet<&Name> = records.iter().map(|record| &record.key).collect();
        let gone = self.items.keys().filter(|key| !listed.contains(key));
        let removals: Vec<Record> = gone
            .map(|key| Record {
                key: key.clone(),
                value: None,
                revision,
            })
            .collect();
        let mut changed = removals;
        let is_new = |record: &&Record| self.items.get(&record.key) != Some(record);
        changed.extend(records.iter().filter(is_new).cloned());
        for record in &changed {
            self.set(record.clone(), revision);
        }
        if self.is_empty() || position.era > self.position.era {
            self.history.clear();
            self.history_start = revision;
        }
        self.position = position;
        self.trim_history();
        Some(changed)
    }

    /// Applies changes, after which the log is as of a position. Returns those that were not known:
    /// a member that lags behind repeats changes that others have passed on.
    ///
    /// Changes of another era are ignored: those of an earlier one are out of date, and those of a
    /// later one need a listing first.
    pub fn apply_changes(&mut self, records: Vec<Record>, position: Position) -> Vec<Record> {
        if position.era != self.position.era {
            return Vec::new();
        }
        let Position { revision, .. } = position;
        let known_revision = self.position.revision;
        let mut applied = Vec::with_capacity(records.len());
        for record in records {
            let known = self.items.get(&record.key);
            if known.is_some_and(|known| known.revision >= record.revision) {
                continue;
            }
            // A change that another member found by a listing may be older than the known revision.
            let added = if record.revision > known_revision {
                record.revision
            } else {
                revision
            };
            self.set(record.clone(), added);
            applied.push(record);
        }
        self.position = self.position.max(position);
        self.trim_history();
        applied
    }

    /// What a member that has applied all changes up to `after` lacks. A member that has applied
    /// nothing passes the default.
    #[must_use]
    pub fn since(&self, after: Position) -> LogDelta {
        if self.position <= after {
            return LogDelta::None;
        }
        let is_in_history = after.era == self.position.era && after.revision >= self.history_start;
        if after == Position::default() || !is_in_history {
            return LogDelta::Snapshot(self.items.values().cloned().collect());
        }
        let newer = self
            .history
            .iter()
            .filter(|&&(added, _)| added > after.revision);
        LogDelta::Changes(newer.map(|(_, record)| record.clone()).collect())
    }

    /// As `since`, but with a difference in place of a snapshot for a member that knows an earlier
    /// revision of the same era. Revisions of different eras can't be compared.
    #[must_use]
    pub fn difference_since(&self, after: Position) -> LogDelta {
        let is_known = after != Position::default() && after.era == self.position.era;
        if !is_known || after.revision >= self.history_start {
            return self.since(after);
        }
        let Some(digest) = record_digest::digest(self.items.values()) else {
            return self.since(after);
        };
        let items = self.items.values();
        let newer = items.filter(|record| record.revision > after.revision);
        LogDelta::Difference {
            newer: newer.cloned().collect(),
            digest,
        }
    }

    /// All items of the sender of a difference; `None` if they can't be derived from the items here.
    #[must_use]
    pub fn complete(&self, newer: Vec<Record>, digest: &[u64]) -> Option<Vec<Record>> {
        record_digest::complete(&self.items, newer, digest)
    }

    fn set(&mut self, record: Record, added: u64) {
        if record.value.is_some() {
            self.items.insert(record.key.clone(), record.clone());
            self.max_items = self.max_items.max(self.items.len());
        } else {
            self.items.remove(&record.key);
        }
        self.history.push_back((added, record));
    }

    fn trim_history(&mut self) {
        let max_history = MIN_HISTORY.max(self.max_items * HISTORY_PER_ITEM);
        while self.history.len() > max_history {
            if let Some((added, _)) = self.history.pop_front() {
                self.history_start = self.history_start.max(added);
            }
        }
    }
}
