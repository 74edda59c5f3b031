//! Fingerprints that were in flight when a target crashed.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::model::Name;

/// This many crashes make a fingerprint refused: on distinct targets, or of runs alone.
const REFUSED_AFTER: usize = 2;

/// What is known of one fingerprint, for other owners.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Hash of the body.
    pub fingerprint: u64,
    /// Targets that crashed while it ran, one name more than once if a run alone crashed it again;
    /// empty if a run alone has cleared it.
    pub crashed: Vec<Name>,
    /// Time until which this holds, on the clock of this owner.
    pub until: Duration,
}

/// How a request with a fingerprint is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    Clear,
    /// It runs alone on an empty target.
    Suspect,
    Refused,
}

struct Record {
    crashed: Vec<Name>,
    until: Duration,
    /// Whether a run alone is in flight.
    running: bool,
}

/// Bounded table of suspect and refused fingerprints.
pub(crate) struct Containment {
    records: HashMap<u64, Record>,
    changed: HashSet<u64>,
    max: usize,
    suspect_life: Duration,
    poison_life: Duration,
}

impl Containment {
    pub(crate) fn new(max: usize, suspect_life: Duration, poison_life: Duration) -> Self {
        Containment {
            records: HashMap::new(),
            changed: HashSet::new(),
            max: max.max(1),
            suspect_life,
            poison_life,
        }
    }

    pub(crate) fn standing(&self, now: Duration, fingerprint: u64) -> Standing {
        if self.records.is_empty() {
            return Standing::Clear;
        }
        match self.records.get(&fingerprint) {
            Some(record) if record.until <= now => Standing::Clear,
            Some(record) if record.crashed.len() >= REFUSED_AFTER => Standing::Refused,
            Some(_) => Standing::Suspect,
            None => Standing::Clear,
        }
    }

    /// Targets that crashed while the fingerprint ran.
    pub(crate) fn crashed(&self, fingerprint: u64) -> &[Name] {
        let record = self.records.get(&fingerprint);
        record.map_or(&[], |record| &record.crashed)
    }

    /// What is known of a fingerprint that is suspect or refused.
    pub(crate) fn get(&self, now: Duration, fingerprint: u64) -> Option<Suspect> {
        let record = self.records.get(&fingerprint)?;
        (record.until > now).then(|| Suspect {
            fingerprint,
            crashed: record.crashed.clone(),
            until: record.until,
        })
    }

    /// Whether a run alone of this fingerprint is in flight.
    pub(crate) fn is_running(&self, fingerprint: u64) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| record.running)
    }

    pub(crate) fn set_running(&mut self, fingerprint: u64, running: bool) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.running = running;
        }
    }

    /// Notes that the fingerprint was in flight when the target crashed, as the only run (`alone`)
    /// or with others.
    ///
    /// A crash of a run alone counts also on a target that crashed before: an owner may have no
    /// other target, and would let the request crash this one without end.
    pub(crate) fn blame(&mut self, now: Duration, fingerprint: u64, target: &Name, alone: bool) {
        self.forget_expired(now, fingerprint);
        let mut crashed = vec![target.clone()];
        if alone {
            crashed.extend(self.crashed(fingerprint).iter().cloned());
        }
        self.add(now, fingerprint, &crashed, now);
        self.changed.insert(fingerprint);
    }

    /// Clears a suspect fingerprint: a run alone was complete. A refused one stays refused.
    pub(crate) fn clear(&mut self, now: Duration, fingerprint: u64) {
        if self.standing(now, fingerprint) == Standing::Suspect {
            self.records.remove(&fingerprint);
            self.changed.insert(fingerprint);
        }
    }

    /// Merges what another owner found; an empty list of targets clears a suspect.
    pub(crate) fn merge(
        &mut self,
        now: Duration,
        fingerprint: u64,
        crashed: &[Name],
        until: Duration,
    ) {
        if crashed.is_empty() {
            if self.standing(now, fingerprint) == Standing::Suspect {
                self.records.remove(&fingerprint);
            }
            return;
        }
        if until <= now {
            return;
        }
        self.forget_expired(now, fingerprint);
        let before = self.crashed(fingerprint).len();
        self.add(now, fingerprint, crashed, until);
        let after = self.crashed(fingerprint);
        // Told on only if the union is news to both sides; otherwise gossip would never end.
        if after.len() > before && after.iter().any(|name| !crashed.contains(name)) {
            self.changed.insert(fingerprint);
        }
    }

    /// What changed since the last call.
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
            running: false,
        });
        for (i, name) in crashed.iter().enumerate() {
            let count = |names: &[Name]| names.iter().filter(|other| *other == name).count();
            // More names change nothing; the bound keeps the record small.
            if record.crashed.len() < REFUSED_AFTER
                && count(&record.crashed) < count(&crashed[..=i])
            {
                record.crashed.push(name.clone());
            }
        }
        let life = if record.crashed.len() >= REFUSED_AFTER {
            self.poison_life
        } else {
            self.suspect_life
        };
        // A record from elsewhere brings its own time; a crash seen here sets it anew.
        record.until = if until > now {
            record.until.max(until)
        } else {
            now + life
        };
    }

    fn forget_expired(&mut self, now: Duration, fingerprint: u64) {
        if let Some(record) = self.records.get(&fingerprint)
            && record.until <= now
        {
            self.records.remove(&fingerprint);
        }
    }

    /// Drops expired records or, if the table is still full, the suspect nearest to its end;
    /// refused fingerprints go last.
    fn make_room(&mut self, now: Duration) {
        if self.records.len() < self.max {
            return;
        }
        self.records.retain(|_, record| record.until > now);
        while self.records.len() >= self.max {
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
