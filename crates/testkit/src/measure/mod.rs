//! Aggregation of measurements of a site: what engines, callers and daemons saw in one run.

mod goals;
mod point;
mod table;
mod work;

pub use self::goals::{Goal, goals, goals_disturbed};
pub use self::point::{Costs, Point, Reasons, Share};
pub use self::table::markdown;
pub use self::work::Work;
