//! The clock. All decisions take their time from one clock, which includes time in suspend.

use std::time::Duration;

/// Source of the time since an origin that is fixed for the life of the process.
pub trait Clock: Send + Sync + 'static {
    /// Time since the origin.
    fn now(&self) -> Duration;
}

/// `CLOCK_BOOTTIME`. Unlike the monotonic clock it advances while the VM is suspended, so that a
/// permit can't outlive a suspend.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Duration {
        gateway::boot_time()
    }
}
