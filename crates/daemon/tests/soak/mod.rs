//! Parts of the soak test: fleet, load, random faults, and the checks of what was observed.

pub mod checks;
pub mod drills;
pub mod faults;
pub mod fleet;
pub mod load;
pub mod relay;
pub mod timeline;
