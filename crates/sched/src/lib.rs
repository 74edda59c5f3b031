//! Admission for the targets that one daemon owns in one pool.
//!
//! The package holds no sockets and reads no clock; each call takes the time as `now`.

#![forbid(unsafe_code)]

mod model;
mod scheduler;

pub use model::{
    Descriptor, Digest, Event, Handover, InFlight, LoadReport, Name, Permit, PermitId, RunEnd,
    RunReport, ShedReason, TargetPhase, TargetSpec,
};
pub use scheduler::{Config, Scheduler, Suspect};
