//! Fleet-wide token limits, split into numbered parts that move between daemons.
//!
//! The package holds no sockets and reads no clock; each call takes the time as `now`.

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
