//! Fleet-wide token limits, split into numbered parts that move between daemons.
//!
//! The package holds no sockets and reads no clock; each call takes the time as `now`.
//!
//! A daemon drives it as follows.
//! - New sheet: [`Shares::configure`].
//! - New VM list or greeting of a peer: [`Reclaim::set_listed`] and [`Reclaim::set_successor`], then
//!   [`Shares::set_lease_end`] and [`Shares::set_lease`].
//! - Request: [`Shares::reserve`]; if the level is short, a `PartAsk` for what is missing to the
//!   peers of [`Shares::peers_by_tokens`], one after the other, and another try after each answer. At its
//!   end: [`Shares::settle`].
//! - `PartAsk`: [`Shares::give`], whose parts are sent as `PartMove`s; none if it is empty.
//! - `PartMove`: [`Shares::accept`], answered by a `PartAck`.
//! - `PartAck`: [`Shares::move_accepted`] or [`Shares::move_denied`].
//! - `PartQuery`: [`Shares::claims`]. `PartClaim`: [`Shares::record_claim`], and
//!   [`Reclaim::record_answer`] once the answer to a query is complete.
//! - A few times a second: [`Reclaim::poll`], [`Reclaim::next_query`] and [`Shares::balance`].
//! - New link to a peer: what [`Shares::in_transit`] has for it is sent again.
//! - Pause of the process: [`Shares::suspend`] before anything else, [`Shares::resume`] after a
//!   fresh VM list.

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
