//! Chooses a target by the time at which a request, and the streams beside it, would be late there.
//!
//! Answers this load: prompts of a hundred to fifty thousand tokens on engines whose speed differs by
//! a factor of five. By load alone, long prompts end up on slow engines, where their first event is
//! late, their output does not end within its time limit, and all streams beside them pause.

/// What a target is expected to need for a request, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Estimate {
    /// Until the first event, or until the whole response.
    pub(crate) first: f64,
    /// Until the end.
    pub(crate) total: f64,
    /// Longest pause of the streams beside it.
    pub(crate) pause: f64,
}

/// What a request bears, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Bounds {
    pub(crate) first: f64,
    pub(crate) total: f64,
    pub(crate) pause: f64,
}

/// Times are estimates; a request fits only if this multiple of the time to its first event is left.
pub(crate) const FIRST_MARGIN: f64 = 1.25;
/// Callers estimate the output to within a factor of two. With this one, six in seven streams end
/// within the estimate.
const TOTAL_MARGIN: f64 = 1.6;

impl Estimate {
    /// How much of its bounds a request would use: it fits up to 1.
    pub(crate) fn tightness(&self, bounds: &Bounds) -> f64 {
        let first = used(self.first * FIRST_MARGIN, bounds.first);
        let pause = used(self.pause, bounds.pause);
        first.max(pause).max(self.total_tightness(bounds))
    }

    /// How much of its time limit a request would use.
    pub(crate) fn total_tightness(&self, bounds: &Bounds) -> f64 {
        used(self.total * TOTAL_MARGIN, bounds.total)
    }

    /// Whether it would end within its time limit, without too long a pause for the streams beside
    /// it. Its first event may be late.
    pub(crate) fn can_finish(&self, bounds: &Bounds) -> bool {
        self.total_tightness(bounds) <= 1.0 && self.pause <= bounds.pause
    }
}

fn used(time: f64, bound: f64) -> f64 {
    if time <= 0.0 {
        0.0
    } else if bound <= 0.0 {
        f64::INFINITY
    } else {
        time / bound
    }
}
