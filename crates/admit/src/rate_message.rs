//! Messages between the owner of a shard and the holder of a workspace's rate.

use std::net::Ipv4Addr;
use std::time::Duration;

use crate::model::Name;

/// Maximum number of offers in one request. Further ones wait for the next.
pub(crate) const MAX_UNITS_PER_REQUEST: usize = 64;

/// Asks the holder of a workspace's rate for tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseRequest {
    /// Name of the workspace.
    pub workspace: Name,
    /// Number of the request; it grows with each one of the owner. A repetition has the same.
    pub seq: u64,
    /// Units of each offer that waits.
    pub units: Vec<f64>,
    /// Units wanted in addition for the offers of the next quarter second.
    pub ahead: f64,
    /// Units that were leased or charged before and not used.
    pub returned: f64,
}

/// Reply of the holder.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseReply {
    /// Name of the workspace.
    pub workspace: Name,
    /// Incarnation of the owner that asked.
    pub owner: u64,
    /// Number of the request.
    pub seq: u64,
    /// For each offer, the time until its tokens are available; zero if it is charged.
    pub waits: Vec<Duration>,
    /// Units leased in addition.
    pub ahead: f64,
}

/// What operators see of leases.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseEvent {
    /// A holder replied and leased tokens.
    Leased,
    /// A holder denied the tokens of this many offers.
    Denied(usize),
    /// This many tokens go back to the holder.
    Returned(f64),
    /// The holder does not reply.
    FellBack {
        /// Name of the workspace.
        workspace: Name,
        /// Member that was asked.
        holder: Ipv4Addr,
    },
    /// The holder replies again.
    Restored {
        /// Name of the workspace.
        workspace: Name,
        /// Member that was asked.
        holder: Ipv4Addr,
    },
}
