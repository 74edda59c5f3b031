//! Which daemons read the configuration service and the VM list from the platform.

use std::time::Duration;

use crate::hash::{ranked, weight};
use crate::list::{VmList, VmState};
use crate::view::View;

/// Number of daemons in each zone that always read from the platform; 48 readers in 24 zones.
pub const RELAYS_PER_ZONE: usize = 2;
/// Upper bound of the expected number of backups per zone. With 24 zones and one read a second,
/// relays and backups make about 240 of the 2,000 calls a second that the platform allows.
pub const BACKUPS_PER_ZONE: usize = 8;
/// A follower whose list is older than this, or that received nothing from any relay of its zone
/// for this time, assumes that the relays are lost. List ages of about 3.5 s are normal, since 2 s
/// are added to the age of a relayed list.
pub const RELAY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time slot for which a follower keeps its random choice to be a backup or not.
pub const BACKUP_SLOT: Duration = Duration::from_secs(2);

/// Role of a daemon in reading from the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayRole {
    /// One of the zone's relays.
    Relay,
    /// Reads for the rest of the time slot, since the relays of the zone seem to be lost.
    Backup,
    /// Gets revisions and lists from peers only.
    Follower,
}

/// Names of the relays of `zone`: its first-ranked live VMs.
pub(crate) fn relays<'a>(list: &'a VmList, zone: &str) -> Vec<&'a str> {
    let live = list
        .vms
        .iter()
        .filter(|row| &*row.zone == zone && row.state == VmState::Live);
    let mut relays = ranked(&format!("relay/{zone}"), live.map(|row| &*row.name));
    relays.truncate(RELAYS_PER_ZONE);
    relays
}

/// Whether this VM is one of its zone's relays. A daemon without a list counts as one, since it
/// has to read its first list from the platform.
#[must_use]
pub fn is_relay(view: &View) -> bool {
    let Some(list) = view.list() else { return true };
    view.zone()
        .is_some_and(|zone| relays(list, zone).contains(&view.name()))
}

/// Role of this daemon at `now`. Callers have to check it at least once per [`BACKUP_SLOT`].
///
/// If no relay of the zone was heard from lately, or the list is too old, each follower decides at
/// random once per slot whether to be a backup. The probability is such that about
/// [`RELAYS_PER_ZONE`] of the daemons that reach each other are. This number doubles with each slot
/// for which the list stays too old, up to [`BACKUPS_PER_ZONE`], so that not all daemons read
/// during an outage of the platform. A daemon that reaches no peer of its zone is always a
/// backup.
#[must_use]
pub fn relay_role(now: Duration, view: &View) -> RelayRole {
    if is_relay(view) {
        return RelayRole::Relay;
    }
    let (Some(list), Some(zone)) = (view.list(), view.zone()) else {
        return RelayRole::Backup;
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
        u32::try_from(overdue.as_millis() / BACKUP_SLOT.as_millis()).unwrap_or(u32::MAX);
    let backups = RELAYS_PER_ZONE
        .saturating_mul(1 << overdue_slots.min(8))
        .min(BACKUPS_PER_ZONE);
    let slot = now.as_millis() / BACKUP_SLOT.as_millis();
    let hash = weight(&format!("{}/{slot}", view.incarnation()), view.name());
    if hash % (heard_in_zone as u64) < backups as u64 {
        RelayRole::Backup
    } else {
        RelayRole::Follower
    }
}
