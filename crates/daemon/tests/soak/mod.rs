//! Randomized faults on a fleet of member processes.

pub mod checks;
pub mod faults;
pub mod fleet;
pub mod load;
pub mod relay;
pub mod timeline;
