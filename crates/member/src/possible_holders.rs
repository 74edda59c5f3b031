//! VMs that may hold a target.

use std::time::Duration;

use crate::list::Name;

/// VMs that owned a target according to the lists that this process read, each with the time by
/// which it has stopped.
#[derive(Clone, Debug, Default)]
pub(crate) struct PossibleHolders {
    until_by_vm: Vec<(Name, Duration)>,
    unknown_until: Duration,
}

impl PossibleHolders {
    /// Records that `vm` may hold the target until `until`.
    pub(crate) fn add(&mut self, vm: Name, until: Duration) {
        self.remove(&vm);
        self.until_by_vm.push((vm, until));
    }

    /// Records that a VM that this process doesn't know of may hold the target until `until`.
    pub(crate) fn add_unknown(&mut self, until: Duration) {
        self.unknown_until = self.unknown_until.max(until);
    }

    pub(crate) fn remove(&mut self, vm: &str) {
        self.until_by_vm.retain(|(name, _)| &**name != vm);
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    pub(crate) fn remove_expired(&mut self, now: Duration) {
        self.until_by_vm.retain(|(_, until)| now < *until);
    }

    pub(crate) fn may_be_unknown(&self, now: Duration) -> bool {
        now < self.unknown_until
    }

    /// Whether no VM can hold the target.
    pub(crate) fn is_empty(&self, now: Duration) -> bool {
        !self.may_be_unknown(now) && self.until_by_vm.iter().all(|(_, until)| *until <= now)
    }

    /// Whether no VM other than `vm` can hold the target.
    pub(crate) fn none_except(&self, vm: &str, now: Duration) -> bool {
        let mut holders = self.until_by_vm.iter();
        !self.may_be_unknown(now) && holders.all(|(name, until)| &**name == vm || *until <= now)
    }

    pub(crate) fn names(&self) -> impl Iterator<Item = &Name> {
        self.until_by_vm.iter().map(|(name, _)| name)
    }

    /// The VM that may hold the target, if there is exactly one.
    pub(crate) fn only_holder(&self, now: Duration) -> Option<&Name> {
        match &self.until_by_vm[..] {
            [(name, _)] if !self.may_be_unknown(now) => Some(name),
            _ => None,
        }
    }
}
