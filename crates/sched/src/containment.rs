//! Containment of poison requests, which crash targets, by their fingerprints.
//!
//! Each request has an exact fingerprint, and mostly a coarse one that similar requests share. A crash counts
//! against both as long as the exact one is not suspect: a request that comes again is found by the
//! exact one, and the coarse one is refused only for crashes by different requests. A complete isolated
//! run clears both, so that sound requests clear the coarse one and leave the exact one of a poison
//! request suspect.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::model::{Fingerprints, Name};

/// Number of crashes after which a fingerprint is refused. A repeated crash of the same target
/// counts only for an isolated run.
const CRASHES_TO_REFUSE: usize = 2;

/// Record of one fingerprint, sent to other owners.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Exact or coarse hash of a request.
    pub fingerprint: u64,
    /// Targets that crashed while it ran. A name occurs more than once if an isolated run crashed
    /// that target again; the list is empty if an isolated run has cleared the fingerprint.
    pub crashed: Vec<Name>,
    /// Expiry time of the record, on the clock of this owner.
    pub until: Duration,
}

/// Determines how requests with a fingerprint are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum FingerprintState {
    Clear,
    /// Runs isolated on an empty target.
    Suspect,
    Refused,
}

struct Record {
    crashed: Vec<Name>,
    until: Duration,
    /// Whether an isolated run is in flight.
    isolated_run: bool,
}

/// Bounded table of suspect and refused fingerprints.
pub(crate) struct Containment {
    records: HashMap<u64, Record>,
    changed: HashSet<u64>,
    max_records: usize,
    suspect_ttl: Duration,
    poison_ttl: Duration,
}

impl Containment {
    pub(crate) fn new(max_records: usize, suspect_ttl: Duration, poison_ttl: Duration) -> Self {
        Containment {
            records: HashMap::new(),
            changed: HashSet::new(),
            max_records: max_records.max(1),
            suspect_ttl,
            poison_ttl,
        }
    }

    /// How a request with these fingerprints is handled: by the graver of their states.
    pub(crate) fn state(&self, now: Duration, fingerprints: Fingerprints) -> FingerprintState {
        if self.records.is_empty() {
            return FingerprintState::Clear;
        }
        let states = fingerprints.iter().map(|hash| self.state_of(now, hash));
        states.max().unwrap_or(FingerprintState::Clear)
    }

    fn state_of(&self, now: Duration, fingerprint: u64) -> FingerprintState {
        match self.records.get(&fingerprint) {
            Some(record) if record.until <= now => FingerprintState::Clear,
            Some(record) if record.crashed.len() >= CRASHES_TO_REFUSE => FingerprintState::Refused,
            Some(_) => FingerprintState::Suspect,
            None => FingerprintState::Clear,
        }
    }

    /// Targets that crashed while a request with one of the fingerprints ran.
    pub(crate) fn crashed_by(&self, fingerprints: Fingerprints) -> Vec<Name> {
        let crashed = fingerprints.iter().flat_map(|hash| self.crashed(hash));
        crashed.cloned().collect()
    }

    fn crashed(&self, fingerprint: u64) -> &[Name] {
        let record = self.records.get(&fingerprint);
        record.map_or(&[], |record| &record.crashed)
    }

    /// Record of a fingerprint that is suspect or refused.
    pub(crate) fn get(&self, now: Duration, fingerprint: u64) -> Option<Suspect> {
        let record = self.records.get(&fingerprint)?;
        (record.until > now).then(|| Suspect {
            fingerprint,
            crashed: record.crashed.clone(),
            until: record.until,
        })
    }

    /// Whether an isolated run with one of these fingerprints is in flight.
    pub(crate) fn has_isolated_run(&self, fingerprints: Fingerprints) -> bool {
        let mut records = fingerprints
            .iter()
            .filter_map(|hash| self.records.get(&hash));
        records.any(|record| record.isolated_run)
    }

    pub(crate) fn set_isolated_run(&mut self, fingerprints: Fingerprints, isolated_run: bool) {
        for hash in fingerprints.iter() {
            if let Some(record) = self.records.get_mut(&hash) {
                record.isolated_run = isolated_run;
            }
        }
    }

    /// Records that a request with the fingerprints was in flight when the target crashed, either as the only run
    /// (`isolated`) or beside others.
    ///
    /// A crash of an isolated run counts even on a target that crashed before: the owner may have
    /// no other target, and the request would otherwise crash this one again and again.
    pub(crate) fn record_crash(
        &mut self,
        now: Duration,
        fingerprints: Fingerprints,
        target: &Name,
        isolated: bool,
    ) {
        let is_explained = self.state_of(now, fingerprints.exact) != FingerprintState::Clear;
        self.add_crash(now, fingerprints.exact, target, isolated);
        if let Some(coarse) = fingerprints.coarse
            && !is_explained
        {
            self.add_crash(now, coarse, target, isolated);
        }
    }

    fn add_crash(&mut self, now: Duration, fingerprint: u64, target: &Name, isolated: bool) {
        self.remove_expired(now, fingerprint);
        let mut crashed = vec![target.clone()];
        if isolated {
            crashed.extend(self.crashed(fingerprint).iter().cloned());
        }
        self.add(now, fingerprint, &crashed, now);
        self.changed.insert(fingerprint);
    }

    /// Clears suspect fingerprints after a complete isolated run. Refused ones stay refused.
    pub(crate) fn clear(&mut self, now: Duration, fingerprints: Fingerprints) {
        for hash in fingerprints.iter() {
            if self.state_of(now, hash) == FingerprintState::Suspect {
                self.records.remove(&hash);
                self.changed.insert(hash);
            }
        }
    }

    /// Merges a record of another owner; an empty list of targets clears a suspect fingerprint.
    pub(crate) fn merge(
        &mut self,
        now: Duration,
        fingerprint: u64,
        crashed: &[Name],
        until: Duration,
    ) {
        if crashed.is_empty() {
            if self.state_of(now, fingerprint) == FingerprintState::Suspect {
                self.records.remove(&fingerprint);
            }
            return;
        }
        if until <= now {
            return;
        }
        self.remove_expired(now, fingerprint);
        let before = self.crashed(fingerprint).len();
        self.add(now, fingerprint, crashed, until);
        let after = self.crashed(fingerprint);
        // Sent on only if the merged record is new to both sides; otherwise the gossip would never
        // end.
        if after.len() > before && after.iter().any(|name| !crashed.contains(name)) {
            self.changed.insert(fingerprint);
        }
    }

    /// Returns the records that changed since the last call.
    pub(crate) fn take_changed(&mut self) -> Vec<Suspect> {
        let mut changed: Vec<Suspect> = self
            .changed
            .drain()
            .map(|fingerprint| {
                let record = self.records.get(&fingerprint);
                Suspect {
                    fingerprint,
                    crashed: record.map_or(Vec::new(), |record| record.crashed.clone()),
                    until: record.map_or(Duration::ZERO, |record| record.until),
                }
            })
            .collect();
        changed.sort_by_key(|suspect| suspect.fingerprint);
        changed
    }

    fn add(&mut self, now: Duration, fingerprint: u64, crashed: &[Name], until: Duration) {
        if !self.records.contains_key(&fingerprint) {
            self.make_room(now);
        }
        let record = self.records.entry(fingerprint).or_insert(Record {
            crashed: Vec::new(),
            until,
            isolated_run: false,
        });
        for (i, name) in crashed.iter().enumerate() {
            let count = |names: &[Name]| names.iter().filter(|other| *other == name).count();
            // Further names have no effect; the bound limits the size of the record.
            if record.crashed.len() < CRASHES_TO_REFUSE
                && count(&record.crashed) < count(&crashed[..=i])
            {
                record.crashed.push(name.clone());
            }
        }
        let ttl = if record.crashed.len() >= CRASHES_TO_REFUSE {
            self.poison_ttl
        } else {
            self.suspect_ttl
        };
        // A record of another owner has its own expiry time; a crash seen here starts a new TTL.
        record.until = if until > now {
            record.until.max(until)
        } else {
            now + ttl
        };
    }

    fn remove_expired(&mut self, now: Duration, fingerprint: u64) {
        if let Some(record) = self.records.get(&fingerprint)
            && record.until <= now
        {
            self.records.remove(&fingerprint);
        }
    }

    /// Drops expired records. If the table is still full, drops the records that expire first,
    /// suspect fingerprints before refused ones.
    fn make_room(&mut self, now: Duration) {
        if self.records.len() < self.max_records {
            return;
        }
        self.records.retain(|_, record| record.until > now);
        while self.records.len() >= self.max_records {
            let first = self
                .records
                .iter()
                .min_by_key(|(_, record)| (record.crashed.len(), record.until))
                .map(|(&fingerprint, _)| fingerprint);
            let Some(first) = first else { return };
            self.records.remove(&first);
        }
        self.changed
            .retain(|fingerprint| self.records.contains_key(fingerprint));
    }
}
