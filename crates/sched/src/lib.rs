//! Admission control for the targets that one daemon owns in one pool.
//!
//! The crate does no I/O and reads no clock; each call takes the current time as `now`.
//!
//! [`Scheduler::offer`] queues a [`Descriptor`]. For each descriptor that is not withdrawn,
//! [`Scheduler::poll`] returns one [`Event`]: a permit for one target, or a shed.
//! [`Scheduler::release`] ends the permit.
//!
//! ```
//! use std::time::Duration;
//! use sched::{Config, Descriptor, Event, Scheduler, TargetSpec};
//!
//! let now = Duration::ZERO;
//! let mut scheduler = Scheduler::new(Config::default());
//! scheduler.set_target(
//!     now,
//!     TargetSpec {
//!         name: "worker-1".into(),
//!         capacity: 4096,
//!         cold_limit: 1,
//!         speed: 1.0,
//!         schedulable: true,
//!     },
//!     false,
//! );
//! scheduler.offer(
//!     now,
//!     Descriptor {
//!         id: "vm-1-7".into(),
//!         tier: 0,
//!         workspace: "salon".into(),
//!         cost: 300,
//!         prompt: 200,
//!         prefix: 0,
//!         deadline: Duration::from_secs(1),
//!         hard_deadline: Duration::from_secs(30),
//!         fingerprint: 1,
//!         coarse_fingerprint: None,
//!     },
//! );
//! let events = scheduler.poll(now);
//! assert!(matches!(&events[..], [Event::Granted(permit)] if &*permit.target == "worker-1"));
//! ```

#![forbid(unsafe_code)]

mod affinity;
mod baseline;
mod config;
mod containment;
mod demand;
mod estimate;
mod fairness;
mod grant;
mod limit;
mod list;
mod model;
mod num;
mod observe;
mod queue;
mod runs;
mod scheduler;
mod stats;
mod target;

pub use baseline::Baseline;
pub use config::Config;
pub use containment::Suspect;
pub use model::{
    Descriptor, Digest, Event, Handover, InFlight, LoadReport, Name, Permit, PermitId, RunEnd,
    RunReport, ShedReason, TargetPhase, TargetSpec,
};
pub use scheduler::Scheduler;
pub use stats::Stats;
