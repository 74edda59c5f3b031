//! Fleet-wide token limits, split into numbered parts that move between daemons.
//!
//! The package holds no sockets and reads no clock; each call takes the time as `now`.
//!
//! A daemon drives it as follows.
//! - New sheet: [`Shares::configure`].
//! - New VM list or greeting of a peer: [`Reclaim::set_listed`] and [`Reclaim::set_successor`], then
//!   [`Shares::set_lease_end`] and [`Shares::set_lease`].
//! - Request: [`Shares::reserve`]; if the level is short, a `PartAsk` for what is missing to the
//!   peers of [`Shares::richest`], one after the other, and another try after each answer. At its
//!   end: [`Shares::settle`].
//! - `PartAsk`: [`Shares::give`], whose parts are sent as `PartMove`s; none if it is empty.
//! - `PartMove`: [`Shares::accept`], answered by a `PartAck`.
//! - `PartAck`: [`Shares::acked`] or [`Shares::denied`].
//! - `PartQuery`: [`Shares::claims`]. `PartClaim`: [`Shares::note_claim`], and
//!   [`Reclaim::answered`] once the answer to a query is complete.
//! - A few times a second: [`Reclaim::poll`], [`Reclaim::ask`] and [`Shares::balance`].
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
    CLAIM_AGE, Claim, Incarnation, LeaseState, Limit, MoveId, Name, PARTS, PartMove, Reason,
    Refused, Reservation, Short, Status, Timing,
};
pub use reclaim::{Query, Reclaim, Round, Started, Wait};
pub use shares::Shares;
