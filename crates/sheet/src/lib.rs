//! Configuration of primrosechute: the planners' CSV sheet and the daemon's settings file.
//!
//! This package does no I/O. A sheet is accepted as a whole or rejected as a whole.

#![forbid(unsafe_code)]

mod model;

pub use model::{
    Access, ContentHash, Key, KeyState, Name, Pool, PoolKind, Route, Sheet, Target, TargetState,
    Tier, Workspace, Zone, ZoneState,
};
