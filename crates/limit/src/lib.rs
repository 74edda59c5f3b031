//! Fleet-wide token limits, split into numbered parts that move between daemons.
//!
//! The package holds no sockets and reads no clock; each call takes the time as `now`.

#![forbid(unsafe_code)]

mod shares;

pub use shares::{Limit, Name, PARTS, Reservation, Shares, Short};
