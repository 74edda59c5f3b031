//! Decides after an attempt whether to retry, and what the caller gets.

use std::ops::RangeInclusive;

use admit::RouteKind;

/// Outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte of the request was sent.
    NotSent,
    /// The target states that it did not run the request.
    Rejected,
    /// A complete response to this request.
    Answered {
        /// Its status code.
        status: u16,
        /// Whether the response is proven to come from the target.
        signed: bool,
    },
    /// The request was sent, at least in part, and the connection broke or returned something that
    /// is not a complete response to this request.
    Broken,
    /// The request was sent, at least in part, and no complete response arrived in time.
    TimedOut,
}

impl AttemptOutcome {
    /// Label in logs and metrics.
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

/// What happens after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The response goes to the caller unchanged.
    Relay,
    /// The request is sent to another target.
    Retry,
    /// The caller gets an error that states that the request did not run.
    FailNotRun,
    /// The caller gets an error that states that the request may have run.
    FailUnknown,
    /// The caller gets a timeout error; the request may have run.
    FailTimeout,
}

/// Status codes that promise the caller that the request did not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Status codes of complete responses. Interim ones, from 100 to 199, are not the end of a response,
/// and the HTTP parser accepts codes up to 999, which callers can't interpret.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Whether a status code can be that of a complete response.
pub(crate) fn is_final_status(status: u16) -> bool {
    FINAL_STATUSES.contains(&status)
}

/// Decides what happens after one attempt. `can_retry` is true if attempts and time are left for
/// another target.
#[must_use]
pub fn next_step(outcome: AttemptOutcome, kind: RouteKind, can_retry: bool) -> NextStep {
    let retry = can_retry && kind.is_retryable();
    let outcome = match outcome {
        AttemptOutcome::Answered { status, .. } if !is_final_status(status) => {
            AttemptOutcome::Broken
        }
        outcome => outcome,
    };
    match outcome {
        AttemptOutcome::NotSent | AttemptOutcome::Rejected if can_retry => NextStep::Retry,
        AttemptOutcome::NotSent | AttemptOutcome::Rejected => NextStep::FailNotRun,
        AttemptOutcome::Answered { status, signed } => match status {
            // An unsigned success may come from another process.
            200..=299 if signed => NextStep::Relay,
            500..=599 | 408 | 421 | 429 if retry => NextStep::Retry,
            // The target may have run the request, so this promise must not be relayed.
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
