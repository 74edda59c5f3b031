//! Which owners get the list of runs of this entry with a heartbeat.

use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;
use std::time::Duration;

/// An owner gets the list with each heartbeat for this long after a run there ended: three times,
/// in case the report of the end or a list is lost. The last list is sent later than
/// `LISTING_DELAY` of the owner after the end.
const REPEAT_TIME: Duration = Duration::from_millis(750);
/// An owner of runs in flight gets the list at this interval. It needs it if it has taken this
/// entry for dead, or if a list overtook a grant.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
struct OwnerState {
    /// Time at which the last run or offer ended.
    ended_at: Option<Duration>,
    /// Time of the last list, and the incarnation to which it was sent.
    sent: Option<(Duration, Option<u64>)>,
}

/// Owners that have to learn which runs of this entry are in flight.
#[derive(Debug, Default)]
pub struct RunListing {
    owners: HashMap<Ipv4Addr, OwnerState>,
}

impl RunListing {
    /// Records that a run or an offer ended at an owner, which may not have received the message.
    pub fn record_end(&mut self, now: Duration, owner: Ipv4Addr) {
        self.owners.entry(owner).or_default().ended_at = Some(now);
    }

    /// Records that an owner gets the list now.
    pub fn record_sent(&mut self, now: Duration, owner: Ipv4Addr, incarnation: Option<u64>) {
        if let Some(state) = self.owners.get_mut(&owner) {
            state.sent = Some((now, incarnation));
        }
    }

    /// Owners that get the list with this heartbeat, given those with runs in flight. A new process
    /// at the address of an owner gets it at once, as it knows none of the runs. An owner that has
    /// just granted a run knows it, so it gets its first list after an interval.
    pub fn due(
        &mut self,
        now: Duration,
        in_flight: &HashSet<Ipv4Addr>,
        incarnation_of: impl Fn(Ipv4Addr) -> Option<u64>,
    ) -> Vec<Ipv4Addr> {
        for &owner in in_flight {
            let state = self.owners.entry(owner).or_default();
            state.sent.get_or_insert((now, incarnation_of(owner)));
        }
        let is_repeated = |state: &OwnerState| {
            let ended_at = state.ended_at;
            ended_at.is_some_and(|at| now.saturating_sub(at) < REPEAT_TIME)
        };
        self.owners
            .retain(|owner, state| in_flight.contains(owner) || is_repeated(state));
        let needs_list = |&(&owner, state): &(&Ipv4Addr, &OwnerState)| {
            let is_current = state.sent.is_some_and(|(at, incarnation)| {
                now.saturating_sub(at) < REFRESH_INTERVAL && incarnation == incarnation_of(owner)
            });
            is_repeated(state) || !is_current
        };
        let due = self.owners.iter().filter(needs_list);
        due.map(|(&owner, _)| owner).collect()
    }
}
