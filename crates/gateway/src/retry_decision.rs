//! What a caller is told, from what was seen of a target.

use crate::model::RouteKind;

/// What was seen of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
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
    TimedOut,
}

impl AttemptOutcome {
    /// Label in logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            AttemptOutcome::NotSent => "not sent",
            AttemptOutcome::Rejected => "rejected",
            AttemptOutcome::Answered { .. } => "failed answer",
            AttemptOutcome::Broken => "broken",
            AttemptOutcome::TimedOut => "silent",
        }
    }
}

/// What happens next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The answer goes to the caller unchanged.
    Relay,
    /// Another target gets the request.
    Retry,
    /// The caller is told that the request did not run.
    FailNotRun,
    /// The caller is told that the request may have run.
    FailUnknown,
    /// The caller is told that the time is over and the request may have run.
    FailTimeout,
}

/// Statuses with which a caller is promised that the request did not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Decides on one attempt. `again` is true if another target may get the request: attempts, time
/// and budget are left.
#[must_use]
pub fn next_step(outcome: AttemptOutcome, kind: RouteKind, can_retry: bool) -> NextStep {
    let retry = can_retry && kind.is_retryable();
    match outcome {
        AttemptOutcome::NotSent | AttemptOutcome::Rejected if can_retry => NextStep::Retry,
        AttemptOutcome::NotSent | AttemptOutcome::Rejected => NextStep::FailNotRun,
        AttemptOutcome::Answered { status, signed } => match status {
            // A success that the target does not vouch for may be anybody's.
            200..=299 if signed => NextStep::Relay,
            500..=599 | 408 | 421 | 429 if retry => NextStep::Retry,
            // The target may have run it, so the promise can't be passed on.
            status if NOT_RUN_STATUSES.contains(&status) => NextStep::FailUnknown,
            200..=299 if retry => NextStep::Retry,
            200..=299 => NextStep::FailUnknown,
            _ => NextStep::Relay,
        },
        AttemptOutcome::Broken | AttemptOutcome::TimedOut if retry => NextStep::Retry,
        AttemptOutcome::Broken => NextStep::FailUnknown,
        AttemptOutcome::TimedOut => NextStep::FailTimeout,
    }
}
