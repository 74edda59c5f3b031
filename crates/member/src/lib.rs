//! Membership of the fleet: the VM list, incarnations, rendezvous ownership, leases and hold-downs.
//!
//! The package holds no sockets and reads no clock; each call takes the time as `now`.

#![forbid(unsafe_code)]

mod action;
mod answer;
mod claims;
mod config;
mod fence;
mod hash;
mod lease;
mod links;
mod list;
mod ownership;
mod peer;
mod relay;
mod target;
mod view;
mod wait;

pub use action::{Action, Source, State};
pub use answer::Answer;
pub use config::{Config, ConfigError};
pub use fence::Fence;
pub use hash::{first, ranked, weight};
pub use links::{FULL_MESH, OTHER_ZONE_LINKS, OWN_ZONE_LINKS};
pub use list::{BadIncarnation, Incarnation, Name, Vm, VmList, VmState};
pub use ownership::{Grants, Ownership};
pub use peer::{Beat, Entry, Greeting, Lease};
pub use relay::{
    RELAY_SILENCE, RELAYS_PER_ZONE, RelayRole, STAND_IN_SLOT, STAND_INS_PER_ZONE, is_relay,
    relay_role,
};
pub use view::View;
