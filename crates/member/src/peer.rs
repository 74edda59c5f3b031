//! Values that a [`View`](crate::View) takes and returns.

use std::net::SocketAddr;
use std::time::Duration;

use crate::list::{Incarnation, Name};

/// Whether this daemon may rely on its VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lease {
    /// A recent list contains this VM, or all peers are reached and have the same list.
    Held,
    /// Neither holds: no grants for cold targets, no growth of limits, and no new targets.
    InDoubt,
    /// In doubt for longer than the hold-down: owned targets are given up, and no tokens are spent.
    Expired,
}

/// What the hello of a peer shows about earlier processes of its VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HelloOutcome {
    /// The incarnation was already known, or is the first one seen of this VM.
    Known,
    /// The earlier process ended: a new incarnation sent its hello from the VM's listed address.
    Restarted {
        /// Incarnation of the process that ended.
        old: Incarnation,
    },
    /// A new incarnation connected from an address that isn't the VM's listed one. The earlier
    /// process may still run.
    Replaced {
        /// Incarnation of the process that may still run.
        old: Incarnation,
    },
}

/// The part of a heartbeat that a view processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatInfo {
    /// Generation of the sender's list.
    pub generation: u64,
    /// Time since that list was read from the platform.
    pub age: Duration,
    /// Whether the sender accepts requests.
    pub ready: bool,
}

/// A daemon that accepts requests from callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of the VM.
    pub vm: Name,
    /// Its zone.
    pub zone: Name,
    /// Address that callers connect to.
    pub address: SocketAddr,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
}
