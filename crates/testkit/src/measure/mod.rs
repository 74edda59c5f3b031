//! Aggregation of measurements of a site: what engines, callers and daemons saw in one run.

mod goals;
mod measurement;
mod table;
mod work;

pub use self::goals::{Goal, goals, goals_under_faults};
pub use self::measurement::{DaemonCosts, Measurement, ReasonCounts, RequestStats};
pub use self::table::markdown;
pub use self::work::EngineWork;
