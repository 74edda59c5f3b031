//! Selection of the peers to which a daemon opens links.

use crate::hash::ranked;
use crate::list::{Name, VmList};
use crate::relay::relays;

/// Largest number of VMs at which each daemon links to all others.
pub const FULL_MESH_MAX_VMS: usize = 32;
/// Links of a daemon within its own zone in larger fleets, in addition to the zone's relays.
pub const OWN_ZONE_LINKS: usize = 14;
/// Links of a daemon to each other zone in larger fleets.
pub const OTHER_ZONE_LINKS: usize = 1;

/// Peers that `vm` opens links to.
///
/// A link costs two heartbeats a second in each direction, some 140 B/s with TCP/IP headers. With
/// 1,300 VMs in 24 zones a daemon opens at most 39 links and accepts 39 on average. That is 11 KB/s
/// of the 18 KB/s allowed for control traffic; a full mesh would take 180 KB/s.
///
/// Rendezvous hashing with the VM's own name as the key spreads the links evenly and changes few
/// of them when the list changes.
pub(crate) fn link_peers(list: &VmList, vm: &str) -> Vec<Name> {
    let others = || list.vms.iter().filter(|row| &*row.name != vm);
    if list.vms.len() <= FULL_MESH_MAX_VMS {
        return others().map(|row| row.name.clone()).collect();
    }
    let own_zone = list.vms.iter().find(|row| &*row.name == vm);
    let own_zone = own_zone.map_or("", |row| &*row.zone);
    let mut zones: Vec<&str> = others().map(|row| &*row.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let mut selected = Vec::new();
    for zone in zones {
        let rows = others().filter(|row| &*row.zone == zone);
        let ranks = ranked(vm, rows.map(|row| &*row.name));
        if zone == own_zone {
            let relays = relays(list, zone);
            selected.extend(relays.into_iter().filter(|name| *name != vm));
            selected.extend(ranks.into_iter().take(OWN_ZONE_LINKS));
        } else {
            selected.extend(ranks.into_iter().take(OTHER_ZONE_LINKS));
        }
    }
    selected.sort_unstable();
    selected.dedup();
    selected.into_iter().map(Name::from).collect()
}
