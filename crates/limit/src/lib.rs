//! Fleet-wide token limits. The token bucket of each workspace is split into numbered parts that
//! move between daemons.
//!
//! The crate does no I/O and reads no clock; each call takes the current time as `now`.
//!
//! A daemon makes these calls:
//! - New sheet: [`Shares::configure`].
//! - New VM list, or hello of a peer with its incarnation: [`Reclaim::set_listed`] and
//!   [`Reclaim::set_successor`], then [`Shares::set_lease_end`] and [`Shares::set_lease`].
//! - Request: [`Shares::reserve`]. If the level is too low, it sends a `PartAsk` for the missing
//!   tokens to the peers of [`Shares::peers_by_tokens`] one after the other, and tries again after
//!   each answer. At the end of the request: [`Shares::settle`].
//! - `PartAsk`: [`Shares::give`]. The returned parts, if any, are sent as `PartMove`s.
//! - `PartMove`: [`Shares::accept`], whose result is sent as a `PartAck`.
//! - `PartAck`: [`Shares::move_accepted`] or [`Shares::move_denied`].
//! - `PartQuery`: [`Shares::claims`]. `PartClaim`: [`Shares::record_claim`], and
//!   [`Reclaim::record_answer`] once the answer to a query is complete.
//! - A few times a second: [`Reclaim::poll`], [`Reclaim::next_query`] and [`Shares::balance`].
//! - New link to a peer: the moves to it in [`Shares::in_transit`] are sent again.
//! - After a pause of the process: [`Shares::suspend`] before anything else, and
//!   [`Shares::resume`] after a new VM list was read.

#![forbid(unsafe_code)]

mod balance;
mod demand;
mod model;
mod moves;
mod pool;
mod reclaim;
mod schedule;
mod shares;
mod workspace;

pub use model::{
    Claim, Incarnation, LeaseState, Limit, MAX_CLAIM_AGE, MoveId, Name, PARTS, PartMove,
    RefusalCounts, RefusalReason, Reservation, ReserveError, Timing, WorkspaceStatus,
};
pub use reclaim::{Query, QueryId, Reclaim, StartedPart, WaitingFor};
pub use shares::Shares;
