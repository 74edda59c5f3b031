//! Values that go into and come out of a view.

use std::net::SocketAddr;
use std::time::Duration;

use crate::list::{Incarnation, Name};

/// Whether this daemon may rely on its list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lease {
    /// A recent list contains this VM, or all peers are reached and have the same list.
    Held,
    /// Neither is the case: no grants to cold targets, no growth, no new targets.
    InDoubt,
    /// In doubt for longer than the hold-down: owned targets are given up, no tokens are spent.
    Expired,
}

/// What a hello shows about the sender's VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HelloOutcome {
    /// The incarnation was known, or is the first one seen of this VM.
    Known,
    /// The old incarnation is gone: a new one answers at the VM's listed address.
    Restarted {
        /// The incarnation that is gone.
        old: Incarnation,
    },
    /// Another incarnation than before, from an address that isn't the VM's; nothing is known
    /// about the old one.
    Replaced {
        /// The incarnation that may still run.
        old: Incarnation,
    },
}

/// Content of a heartbeat that concerns the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatInfo {
    /// Generation of the sender's list.
    pub generation: u64,
    /// Time since it was read from the platform.
    pub age: Duration,
    /// Whether the sender takes calls.
    pub ready: bool,
}

/// A daemon that callers may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of the VM.
    pub vm: Name,
    /// Its zone.
    pub zone: Name,
    /// Address for callers.
    pub address: SocketAddr,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
}
