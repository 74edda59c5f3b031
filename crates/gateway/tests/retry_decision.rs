//! Decisions after an attempt: retry, or response to the caller.

use gateway::{AttemptOutcome, NextStep, RouteKind, next_step};

const NON_IDEMPOTENT: RouteKind = RouteKind::NonIdempotent;
const IDEMPOTENT: RouteKind = RouteKind::Idempotent;
const STREAM: RouteKind = RouteKind::Stream { resumable: false };
const RESUMABLE_STREAM: RouteKind = RouteKind::Stream { resumable: true };

const fn answered(status: u16, signed: bool) -> AttemptOutcome {
    AttemptOutcome::Answered { status, signed }
}

/// Guards against a request that may have run but is reported as not run or sent again.
#[test]
fn decision_table() {
    let rows = [
        (
            AttemptOutcome::NotSent,
            NON_IDEMPOTENT,
            true,
            NextStep::Retry,
        ),
        (
            AttemptOutcome::NotSent,
            NON_IDEMPOTENT,
            false,
            NextStep::FailNotRun,
        ),
        (
            AttemptOutcome::Rejected,
            NON_IDEMPOTENT,
            true,
            NextStep::Retry,
        ),
        (
            AttemptOutcome::Rejected,
            STREAM,
            false,
            NextStep::FailNotRun,
        ),
        (
            AttemptOutcome::Broken,
            NON_IDEMPOTENT,
            true,
            NextStep::FailUnknown,
        ),
        (AttemptOutcome::Broken, STREAM, true, NextStep::FailUnknown),
        (AttemptOutcome::Broken, IDEMPOTENT, true, NextStep::Retry),
        (
            AttemptOutcome::Broken,
            RESUMABLE_STREAM,
            true,
            NextStep::Retry,
        ),
        (
            AttemptOutcome::Broken,
            IDEMPOTENT,
            false,
            NextStep::FailUnknown,
        ),
        (
            AttemptOutcome::TimedOut,
            NON_IDEMPOTENT,
            true,
            NextStep::FailTimeout,
        ),
        (AttemptOutcome::TimedOut, IDEMPOTENT, true, NextStep::Retry),
        (
            AttemptOutcome::TimedOut,
            IDEMPOTENT,
            false,
            NextStep::FailTimeout,
        ),
        (answered(200, true), NON_IDEMPOTENT, true, NextStep::Relay),
        (
            answered(200, false),
            NON_IDEMPOTENT,
            true,
            NextStep::FailUnknown,
        ),
        (answered(200, false), IDEMPOTENT, true, NextStep::Retry),
        (answered(404, true), IDEMPOTENT, true, NextStep::Relay),
        (answered(500, true), NON_IDEMPOTENT, true, NextStep::Relay),
        (answered(500, true), IDEMPOTENT, true, NextStep::Retry),
        (answered(500, true), IDEMPOTENT, false, NextStep::Relay),
        (answered(504, true), NON_IDEMPOTENT, true, NextStep::Relay),
        (
            answered(503, true),
            NON_IDEMPOTENT,
            true,
            NextStep::FailUnknown,
        ),
        (
            answered(429, true),
            NON_IDEMPOTENT,
            false,
            NextStep::FailUnknown,
        ),
        (answered(408, true), STREAM, false, NextStep::FailUnknown),
        (
            answered(421, true),
            NON_IDEMPOTENT,
            false,
            NextStep::FailUnknown,
        ),
        (answered(503, true), IDEMPOTENT, true, NextStep::Retry),
        (answered(599, true), NON_IDEMPOTENT, true, NextStep::Relay),
    ];
    for (outcome, kind, can_retry, expected) in rows {
        assert_eq!(
            next_step(outcome, kind, can_retry),
            expected,
            "{outcome:?} {kind:?} {can_retry}"
        );
    }
}

/// Guards against a status that no complete response has, and that is relayed nevertheless.
#[test]
fn a_status_outside_http_is_that_of_a_broken_response() {
    for status in [0, 1, 99, 100, 101, 199, 600, 777, 999, 1000, u16::MAX] {
        for signed in [false, true] {
            for kind in [NON_IDEMPOTENT, IDEMPOTENT, STREAM, RESUMABLE_STREAM] {
                for can_retry in [false, true] {
                    let expected = next_step(AttemptOutcome::Broken, kind, can_retry);

                    let step = next_step(answered(status, signed), kind, can_retry);

                    assert_eq!(step, expected, "{status} {signed} {kind:?} {can_retry}");
                }
            }
        }
    }
}

/// Guards against a request being reported as not run although bytes of it were sent and its target
/// did not state that it did not run.
#[test]
fn only_unsent_or_rejected_requests_are_reported_as_not_run() {
    for kind in [NON_IDEMPOTENT, IDEMPOTENT, STREAM, RESUMABLE_STREAM] {
        for can_retry in [false, true] {
            for status in 0..=u16::MAX {
                for signed in [false, true] {
                    assert_ne!(
                        next_step(answered(status, signed), kind, can_retry),
                        NextStep::FailNotRun
                    );
                }
            }
            assert_ne!(
                next_step(AttemptOutcome::Broken, kind, can_retry),
                NextStep::FailNotRun
            );
            assert_ne!(
                next_step(AttemptOutcome::TimedOut, kind, can_retry),
                NextStep::FailNotRun
            );
        }
    }
}
