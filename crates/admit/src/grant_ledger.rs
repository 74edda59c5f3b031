//! What an entry was granted by which owner, so that an owner learns what others gave out of a rate.
//!
//! A workspace's rate is given out by one owner, but entries leave an owner that stands still or is cut off
//! for a moment, and ask another one. Each owner has a bucket of its own, which fills up while it is not
//! asked. Entries know all grants, whoever decided them; with its first offer after a change, an entry
//! tells the owner what it got elsewhere. So the buckets of all owners together give out about as much as
//! one bucket, however often entries change between them.

use std::collections::{HashMap, VecDeque};
use std::net::Ipv4Addr;
use std::time::Duration;

use crate::model::Name;

/// Grants are remembered for this long. A bucket that takes longer to fill up was nearly full before.
const GRANT_MEMORY: Duration = Duration::from_secs(8);
/// Grants of an owner within this time are one entry of the ledger.
const SLOT: Duration = Duration::from_millis(100);

/// Units of a rate that other owners granted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantedElsewhere {
    /// Time since they were granted.
    pub age: Duration,
    /// Units of the rate.
    pub units: f64,
}

struct Granted {
    at: Duration,
    owner: Ipv4Addr,
    units: f64,
}

#[derive(Default)]
struct Grants {
    /// Oldest first.
    granted: VecDeque<Granted>,
    /// Time up to which an owner has learned of the grants of others.
    reported: HashMap<Ipv4Addr, Duration>,
    last_report: Duration,
}

/// Grants of one entry, by workspace.
#[derive(Default)]
pub struct GrantLedger {
    workspaces: HashMap<Name, Grants>,
}

/// A report to an owner that has not replied yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenReport {
    owner: Ipv4Addr,
    /// Time up to which the owner had learned before.
    before: Option<Duration>,
}

impl GrantLedger {
    /// Records a grant.
    pub fn record(&mut self, now: Duration, workspace: &Name, owner: Ipv4Addr, units: f64) {
        let grants = self.workspaces.entry(workspace.clone()).or_default();
        // A slot that was reported has been passed on with the units it had then.
        let open_since = now.saturating_sub(SLOT).max(grants.last_report);
        let mut open = grants.granted.iter_mut().rev();
        let same = open
            .by_ref()
            .take_while(|granted| granted.at > open_since)
            .find(|granted| granted.owner == owner);
        match same {
            Some(granted) => granted.units += units,
            None => grants.granted.push_back(Granted {
                at: now,
                owner,
                units,
            }),
        }
        grants.expire(now);
    }

    /// What other owners granted since an owner was last told. The report is taken as received unless
    /// it is undone.
    pub fn report(
        &mut self,
        now: Duration,
        workspace: &Name,
        owner: Ipv4Addr,
    ) -> (Vec<GrantedElsewhere>, OpenReport) {
        let Some(grants) = self.workspaces.get_mut(workspace) else {
            let before = None;
            return (Vec::new(), OpenReport { owner, before });
        };
        grants.expire(now);
        let before = grants.reported.insert(owner, now);
        let is_new = |granted: &&Granted| {
            granted.owner != owner && before.is_none_or(|before| granted.at > before)
        };
        let mut elsewhere: Vec<GrantedElsewhere> = Vec::new();
        for granted in grants.granted.iter().filter(is_new) {
            let age = now.saturating_sub(granted.at);
            // Several owners may have granted in one slot.
            match elsewhere.last_mut() {
                Some(last) if last.age < age + SLOT => last.units += granted.units,
                _ => elsewhere.push(GrantedElsewhere {
                    age,
                    units: granted.units,
                }),
            }
        }
        if !elsewhere.is_empty() {
            grants.last_report = now;
        }
        (elsewhere, OpenReport { owner, before })
    }

    /// Undoes a report to an owner that did not reply. The next one repeats it.
    pub fn undo(&mut self, workspace: &Name, report: OpenReport) {
        if let Some(grants) = self.workspaces.get_mut(workspace) {
            match report.before {
                Some(before) => grants.reported.insert(report.owner, before),
                None => grants.reported.remove(&report.owner),
            };
        }
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: Duration) {
        self.workspaces.retain(|_, grants| {
            grants.expire(now);
            !grants.granted.is_empty()
        });
    }
}

impl Grants {
    fn expire(&mut self, now: Duration) {
        let is_old = |at: Duration| now.saturating_sub(at) > GRANT_MEMORY;
        while self
            .granted
            .front()
            .is_some_and(|granted| is_old(granted.at))
        {
            self.granted.pop_front();
        }
        self.reported.retain(|_, &mut at| !is_old(at));
    }
}
