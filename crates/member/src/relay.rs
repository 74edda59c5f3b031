//! Which daemons read the configuration service and the VM list from the platform.

use std::time::Duration;

use crate::hash::{ranked, weight};
use crate::list::{VmList, VmState};
use crate::view::View;

/// Daemons of each zone that always read from the platform. In 24 zones these are 48 readers.
pub const RELAYS_PER_ZONE: usize = 2;
/// Upper bound of the expected number of stand-ins per zone: with 24 zones and one read a second,
/// relays and stand-ins stay near 240 of the 2,000 calls a second that the platform allows.
pub const STAND_INS_PER_ZONE: usize = 8;
/// A daemon whose list is older than this, or that heard no relay of its zone for this time, lacks
/// a relay. Ages of some 3.5 s are usual, since a relayed list counts for 2 s more.
pub const RELAY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a stand-in keeps its role before it draws again.
pub const STAND_IN_SLOT: Duration = Duration::from_secs(2);

/// Whether a daemon reads from the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayRole {
    /// One of the zone's relays.
    Relay,
    /// Reads for the rest of the slot, since the zone lacks a relay.
    StandIn,
    /// Learns revisions and lists from peers.
    Follower,
}

/// Names of the relays of `zone`.
pub(crate) fn relays<'a>(list: &'a VmList, zone: &str) -> Vec<&'a str> {
    let live = list
        .vms
        .iter()
        .filter(|row| &*row.zone == zone && row.state == VmState::Live);
    let mut relays = ranked(&format!("relay/{zone}"), live.map(|row| &*row.name));
    relays.truncate(RELAYS_PER_ZONE);
    relays
}

/// Whether this VM is one of its zone's relays. A daemon without a list is one, since it has to
/// find its first list.
#[must_use]
pub fn is_relay(view: &View) -> bool {
    let Some(list) = view.list() else { return true };
    view.zone()
        .is_some_and(|zone| relays(list, zone).contains(&view.name()))
}

/// Role of this daemon at `now`; ask again at least once per [`STAND_IN_SLOT`].
///
/// If no relay of the zone is heard, or the list grows old, each follower draws once per slot, so
/// that about [`RELAYS_PER_ZONE`] of the daemons that hear each other step in. The number doubles
/// with each slot that the list stays old, up to [`STAND_INS_PER_ZONE`], so that an outage of the
/// platform doesn't turn the fleet into readers. A daemon that hears no peer of its zone always
/// steps in.
#[must_use]
pub fn relay_role(now: Duration, view: &View) -> RelayRole {
    if is_relay(view) {
        return RelayRole::Relay;
    }
    let (Some(list), Some(zone)) = (view.list(), view.zone()) else {
        return RelayRole::StandIn;
    };
    let is_heard = |name: &str| {
        view.last_heard(name)
            .is_some_and(|at| now.saturating_sub(at) <= RELAY_TIMEOUT)
    };
    let overdue = view.list_age(now).saturating_sub(RELAY_TIMEOUT);
    if overdue.is_zero() && relays(list, zone).into_iter().any(is_heard) {
        return RelayRole::Follower;
    }
    let heard_in_zone = list
        .vms
        .iter()
        .filter(|row| &*row.zone == zone && is_heard(&row.name))
        .count()
        + 1;
    let overdue_slots =
        u32::try_from(overdue.as_millis() / STAND_IN_SLOT.as_millis()).unwrap_or(u32::MAX);
    let stand_ins = RELAYS_PER_ZONE
        .saturating_mul(1 << overdue_slots.min(8))
        .min(STAND_INS_PER_ZONE);
    let slot = now.as_millis() / STAND_IN_SLOT.as_millis();
    let hash = weight(&format!("{}/{slot}", view.incarnation()), view.name());
    if hash % (heard_in_zone as u64) < stand_ins as u64 {
        RelayRole::StandIn
    } else {
        RelayRole::Follower
    }
}
