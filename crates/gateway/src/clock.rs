//! The clock used for all decisions.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time since boot, including suspend, so that nothing that is held for a limited time outlives a
/// suspend of the VM.
#[must_use]
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(secs, nanos)
}
