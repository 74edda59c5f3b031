//! What a caller is told, from what was seen of a target.

use crate::model::Kind;

/// What was seen of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// No byte of the request went out.
    NotSent,
    /// The target states that it did not run the request.
    Rejected,
    /// A whole answer that names the request.
    Answered {
        /// Its status.
        status: u16,
        /// Whether the target proves that it is its own.
        signed: bool,
    },
    /// Bytes went out, and the connection broke or brought something that is no whole answer to
    /// this request.
    Broken,
    /// Bytes went out, and the time was over before the answer.
    Silent,
}

impl Seen {
    /// Label in logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Seen::NotSent => "not sent",
            Seen::Rejected => "rejected",
            Seen::Answered { .. } => "failed answer",
            Seen::Broken => "broken",
            Seen::Silent => "silent",
        }
    }
}

/// What happens next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// The answer goes to the caller unchanged.
    Pass,
    /// Another target gets the request.
    Repeat,
    /// The caller is told that the request did not run.
    NotRun,
    /// The caller is told that the request may have run.
    Unknown,
    /// The caller is told that the time is over and the request may have run.
    Late,
}

/// Statuses with which a caller is promised that the request did not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Decides on one attempt. `again` is true if another target may get the request: attempts, time
/// and budget are left.
#[must_use]
pub fn verdict(seen: Seen, kind: Kind, again: bool) -> Told {
    let repeat = again && kind.repeats();
    match seen {
        Seen::NotSent | Seen::Rejected if again => Told::Repeat,
        Seen::NotSent | Seen::Rejected => Told::NotRun,
        Seen::Answered { status, signed } => match status {
            // A success that the target does not vouch for may be anybody's.
            200..=299 if signed => Told::Pass,
            500..=599 | 408 | 421 | 429 if repeat => Told::Repeat,
            // The target may have run it, so the promise can't be passed on.
            status if PROMISES.contains(&status) => Told::Unknown,
            200..=299 if repeat => Told::Repeat,
            200..=299 => Told::Unknown,
            _ => Told::Pass,
        },
        Seen::Broken | Seen::Silent if repeat => Told::Repeat,
        Seen::Broken => Told::Unknown,
        Seen::Silent => Told::Late,
    }
}
