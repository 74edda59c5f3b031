//! What is held back after a restore of the store from an older copy.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::model::{Name, Target};

/// For this long after a restore, known data that is newer than that of the store counts. It is
/// longer than targets and operators take to write their data again, and longer than an entry that
/// nobody renews is kept: three reports, of 1.2 s on the known deployments.
const HOLD_TIME: Duration = Duration::from_secs(6);
/// Entries that are gone are remembered for this long, to recognize them in an older copy.
const REMOVED_MEMORY: Duration = Duration::from_mins(2);

/// Orders the entries that a target wrote under one id: by its starts and its reports.
type EntryOrder = (u64, u64);

fn entry_order(target: &Target) -> EntryOrder {
    (target.start_time, target.sequence)
}

/// Recognizes data of a restored store that is older than what is known, and holds it back until it
/// is written again or the hold ends.
#[derive(Default)]
pub(crate) struct RestoreHold {
    /// End of the hold; `None` if there is none.
    until: Option<Duration>,
    /// Entries of the copy that are older than what is known.
    targets: HashMap<Name, Target>,
    /// Zones whose evacuation the copy lacks.
    zones: HashSet<Name>,
    /// Last known entries of targets that were removed, each with the time of its removal.
    removed: HashMap<Name, (EntryOrder, Duration)>,
}

/// What counts after the hold as the store has it.
pub(crate) struct ReleasedData {
    pub(crate) targets: Vec<Target>,
    /// Zones that are no longer evacuated.
    pub(crate) zones: HashSet<Name>,
}

impl RestoreHold {
    /// Begins the hold, or extends it at a further restore.
    pub(crate) fn begin(&mut self, now: Duration) {
        self.until = Some(now + HOLD_TIME);
    }

    /// Records the removal of a target.
    pub(crate) fn record_removal(&mut self, now: Duration, target: &Target) {
        let removal = (entry_order(target), now);
        self.removed.insert(target.id.clone(), removal);
    }

    /// Holds an entry that was written after the restore back if a newer one, or its removal, is
    /// known. Returns whether it is held.
    pub(crate) fn hold_written(&mut self, known: Option<&Target>, target: &Target) -> bool {
        let is_older = known.is_some_and(|known| entry_order(target) < entry_order(known));
        self.hold_if(
            is_older || (known.is_none() && self.is_removed(target)),
            target,
        )
    }

    /// Holds an entry of the copy back unless it is newer than what is known. Returns whether it is
    /// held.
    pub(crate) fn hold_copied(&mut self, known: Option<&Target>, target: &Target) -> bool {
        let is_not_newer = known.is_some_and(|known| entry_order(target) <= entry_order(known));
        self.hold_if(
            is_not_newer || (known.is_none() && self.is_removed(target)),
            target,
        )
    }

    fn is_removed(&self, target: &Target) -> bool {
        let removed = self.removed.get(&target.id);
        removed.is_some_and(|&(removed, _)| entry_order(target) <= removed)
    }

    fn hold_if(&mut self, is_superseded: bool, target: &Target) -> bool {
        let is_held = self.until.is_some() && is_superseded;
        if is_held {
            self.targets.insert(target.id.clone(), target.clone());
        }
        is_held
    }

    /// Holds the end of an evacuation back.
    pub(crate) fn hold_zone(&mut self, zone: Name) {
        self.zones.insert(zone);
    }

    /// Drops what is held of a target, whose entry was written or removed.
    pub(crate) fn drop_target(&mut self, id: &str) {
        self.targets.remove(id);
    }

    /// Drops what is held of a zone, whose evacuation was written or removed.
    pub(crate) fn drop_zone(&mut self, zone: &str) {
        self.zones.remove(zone);
    }

    /// Forgets old removals, and ends the hold if its time is over.
    pub(crate) fn expire(&mut self, now: Duration) -> Option<ReleasedData> {
        self.removed
            .retain(|_, &mut (_, at)| now.saturating_sub(at) < REMOVED_MEMORY);
        self.until.take_if(|until| now >= *until)?;
        Some(ReleasedData {
            targets: self.targets.drain().map(|(_, target)| target).collect(),
            zones: std::mem::take(&mut self.zones),
        })
    }
}
