//! Which VMs may hold a target.

use std::time::Duration;

use crate::list::Name;

/// VMs that owned a target by lists that this process has read, each with the time by which it
/// has stopped at the latest.
#[derive(Clone, Debug, Default)]
pub(crate) struct Claims {
    by: Vec<(Name, Duration)>,
    unknown: Duration,
}

impl Claims {
    /// A VM may hold the target until `until`.
    pub(crate) fn add(&mut self, vm: Name, until: Duration) {
        self.remove(&vm);
        self.by.push((vm, until));
    }

    /// A VM that this process doesn't know of may hold the target until `until`.
    pub(crate) fn add_unknown(&mut self, until: Duration) {
        self.unknown = self.unknown.max(until);
    }

    pub(crate) fn remove(&mut self, vm: &str) {
        self.by.retain(|(name, _)| &**name != vm);
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    pub(crate) fn prune(&mut self, now: Duration) {
        self.by.retain(|(_, until)| now < *until);
    }

    pub(crate) fn is_unknown(&self, now: Duration) -> bool {
        now < self.unknown
    }

    /// Whether no VM may hold the target.
    pub(crate) fn none(&self, now: Duration) -> bool {
        !self.is_unknown(now) && self.by.iter().all(|(_, until)| *until <= now)
    }

    /// Whether no other VM than `vm` may hold the target.
    pub(crate) fn none_but(&self, vm: &str, now: Duration) -> bool {
        let mut by = self.by.iter();
        !self.is_unknown(now) && by.all(|(name, until)| &**name == vm || *until <= now)
    }

    pub(crate) fn names(&self) -> impl Iterator<Item = &Name> {
        self.by.iter().map(|(name, _)| name)
    }

    /// The only VM that may hold the target.
    pub(crate) fn sole(&self, now: Duration) -> Option<&Name> {
        match &self.by[..] {
            [(name, _)] if !self.is_unknown(now) => Some(name),
            _ => None,
        }
    }
}
