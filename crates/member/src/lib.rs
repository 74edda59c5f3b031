//! Membership of the fleet: the VM list, incarnations, rendezvous ownership, leases and hold-downs.
//!
//! The package holds no sockets and reads no clock; each call takes the time as `now`.

#![forbid(unsafe_code)]

mod hash;
mod list;

pub use hash::{first, ranked, weight};
pub use list::{BadIncarnation, Incarnation, Name, Vm, VmList, VmState};
