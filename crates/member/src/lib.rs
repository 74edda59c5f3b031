//! Membership of the fleet: the VM list, incarnations, rendezvous ownership, leases and hold-downs.
//!
//! This crate does no I/O and reads no clock; callers pass the time as `now`.

#![forbid(unsafe_code)]

mod action;
mod config;
mod fencing;
mod handover;
mod hash;
mod lease;
mod links;
mod list;
mod ownership;
mod peer;
mod possible_holders;
mod relay;
mod takeover;
mod target;
mod view;

pub use action::{Action, OwnershipState, StartState};
pub use config::{Config, ConfigError};
pub use fencing::FencingToken;
pub use handover::HandoverResponse;
pub use hash::{first_ranked, ranked, weight};
pub use links::{FULL_MESH_MAX_VMS, OTHER_ZONE_LINKS, OWN_ZONE_LINKS};
pub use list::{Incarnation, Name, ParseIncarnationError, Vm, VmList, VmState};
pub use ownership::{GrantLevel, Ownership};
pub use peer::{Entry, HeartbeatInfo, HelloOutcome, Lease};
pub use relay::{
    BACKUP_SLOT, BACKUPS_PER_ZONE, RELAY_TIMEOUT, RELAYS_PER_ZONE, RelayRole, is_relay, relay_role,
};
pub use view::View;
