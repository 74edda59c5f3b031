//! Pace of a target that has just started or recovered.
//!
//! Answers this load: all owners find a target empty that is back, and fill its slots at once. If it
//! is still slow, or fails again, all of these runs are late or lost. A fixed pause instead leaves it
//! idle while others are overloaded.

/// Factor by which the window shrinks after a failure or a slow answer.
const BACKOFF_FACTOR: f64 = 0.5;
/// An answer is slow if it takes longer than this multiple of the usual time of the target's pool.
const SLOW_FACTOR: f64 = 4.0;

/// Number of runs that a target may have at once: one at first, and one more for each answer in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Pace {
    /// Only the slots count.
    Full,
    /// At most this many runs.
    Window(f64),
}

impl Pace {
    /// Pace of a target that has just started or could not be used.
    pub(crate) const START: Pace = Pace::Window(1.0);

    /// Runs that the target may have at once.
    pub(crate) fn max_running(self, slots: f64) -> f64 {
        match self {
            Pace::Full => slots,
            Pace::Window(window) => window.floor().clamp(1.0, slots.max(1.0)),
        }
    }

    /// Applies an answer in time.
    pub(crate) fn record_answer(&mut self, slots: u32) {
        if let Pace::Window(window) = *self {
            let window = window + 1.0;
            *self = if window >= f64::from(slots) {
                Pace::Full
            } else {
                Pace::Window(window)
            };
        }
    }

    /// Applies a slow answer or a failed run, after which the target may still serve others.
    pub(crate) fn record_setback(&mut self) {
        if let Pace::Window(window) = *self {
            *self = Pace::Window((window * BACKOFF_FACTOR).max(1.0));
        }
    }
}

/// Whether a unit of work took too long, given the usual time of the pool.
pub(crate) fn is_slow(unit: f64, pool_unit: f64) -> bool {
    pool_unit > 0.0 && unit > pool_unit * SLOW_FACTOR
}
