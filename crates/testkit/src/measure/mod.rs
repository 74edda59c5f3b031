//! Aggregates the measurements of a run on a site, taken at engines, callers and daemons.

mod goals;
mod measurement;
mod table;
mod work;

pub use self::goals::{Goal, goals, goals_under_faults};
pub use self::measurement::{DaemonCosts, Measurement, ReasonCounts, RequestStats};
pub use self::table::markdown;
pub use self::work::EngineWork;
