//! What callers are told of attempts.

use gateway::{AttemptOutcome, NextStep, RouteKind, next_step};

const ONCE: RouteKind = RouteKind::NonIdempotent;
const AGAIN: RouteKind = RouteKind::Idempotent;
const STREAM: RouteKind = RouteKind::Stream { resumable: false };
const RESUMED: RouteKind = RouteKind::Stream { resumable: true };

const fn answered(status: u16, signed: bool) -> AttemptOutcome {
    AttemptOutcome::Answered { status, signed }
}

/// Guards against a request that may have run and is reported as not run, or is sent again.
#[test]
fn table() {
    let rows = [
        (AttemptOutcome::NotSent, ONCE, true, NextStep::Retry),
        (AttemptOutcome::NotSent, ONCE, false, NextStep::FailNotRun),
        (AttemptOutcome::Rejected, ONCE, true, NextStep::Retry),
        (
            AttemptOutcome::Rejected,
            STREAM,
            false,
            NextStep::FailNotRun,
        ),
        (AttemptOutcome::Broken, ONCE, true, NextStep::FailUnknown),
        (AttemptOutcome::Broken, STREAM, true, NextStep::FailUnknown),
        (AttemptOutcome::Broken, AGAIN, true, NextStep::Retry),
        (AttemptOutcome::Broken, RESUMED, true, NextStep::Retry),
        (AttemptOutcome::Broken, AGAIN, false, NextStep::FailUnknown),
        (AttemptOutcome::TimedOut, ONCE, true, NextStep::FailTimeout),
        (AttemptOutcome::TimedOut, AGAIN, true, NextStep::Retry),
        (
            AttemptOutcome::TimedOut,
            AGAIN,
            false,
            NextStep::FailTimeout,
        ),
        (answered(200, true), ONCE, true, NextStep::Relay),
        (answered(200, false), ONCE, true, NextStep::FailUnknown),
        (answered(200, false), AGAIN, true, NextStep::Retry),
        (answered(404, true), AGAIN, true, NextStep::Relay),
        (answered(500, true), ONCE, true, NextStep::Relay),
        (answered(500, true), AGAIN, true, NextStep::Retry),
        (answered(500, true), AGAIN, false, NextStep::Relay),
        (answered(504, true), ONCE, true, NextStep::Relay),
        (answered(503, true), ONCE, true, NextStep::FailUnknown),
        (answered(429, true), ONCE, false, NextStep::FailUnknown),
        (answered(408, true), STREAM, false, NextStep::FailUnknown),
        (answered(421, true), ONCE, false, NextStep::FailUnknown),
        (answered(503, true), AGAIN, true, NextStep::Retry),
    ];
    for (seen, kind, again, told) in rows {
        assert_eq!(
            next_step(seen, kind, again),
            told,
            "{seen:?} {kind:?} {again}"
        );
    }
}

/// "Not run" is said only of requests of which no byte went out, or whose target said so.
#[test]
fn not_run_is_said_of_nothing_else() {
    for kind in [ONCE, AGAIN, STREAM, RESUMED] {
        for again in [false, true] {
            for status in 100..600 {
                for signed in [false, true] {
                    assert_ne!(
                        next_step(answered(status, signed), kind, again),
                        NextStep::FailNotRun
                    );
                }
            }
            assert_ne!(
                next_step(AttemptOutcome::Broken, kind, again),
                NextStep::FailNotRun
            );
            assert_ne!(
                next_step(AttemptOutcome::TimedOut, kind, again),
                NextStep::FailNotRun
            );
        }
    }
}
