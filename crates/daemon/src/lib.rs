//! The primrosechute daemon: runs all roles of a VM in one process.

#![forbid(unsafe_code)]

mod admin;
mod bounded_log;
mod clock;
pub mod command;
mod connection;
mod demo;
mod entry;
mod feed;
mod fleet;
mod fleet_member;
mod logging;
mod node;
mod outcome;
mod owner;
mod owners;
mod peer;
mod rejected;
mod serve;
mod shares;
mod target;

pub use bounded_log::{BoundedLog, LineBudget};
pub use serve::{Daemon, StartError};
