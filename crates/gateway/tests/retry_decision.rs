//! What callers are told of attempts.

use gateway::{Kind, Seen, Told, verdict};

const ONCE: Kind = Kind::Once;
const AGAIN: Kind = Kind::Idempotent;
const STREAM: Kind = Kind::Stream { resumable: false };
const RESUMED: Kind = Kind::Stream { resumable: true };

const fn answered(status: u16, signed: bool) -> Seen {
    Seen::Answered { status, signed }
}

/// Guards against a request that may have run and is reported as not run, or is sent again.
#[test]
fn table() {
    let rows = [
        (Seen::NotSent, ONCE, true, Told::Repeat),
        (Seen::NotSent, ONCE, false, Told::NotRun),
        (Seen::Rejected, ONCE, true, Told::Repeat),
        (Seen::Rejected, STREAM, false, Told::NotRun),
        (Seen::Broken, ONCE, true, Told::Unknown),
        (Seen::Broken, STREAM, true, Told::Unknown),
        (Seen::Broken, AGAIN, true, Told::Repeat),
        (Seen::Broken, RESUMED, true, Told::Repeat),
        (Seen::Broken, AGAIN, false, Told::Unknown),
        (Seen::Silent, ONCE, true, Told::Late),
        (Seen::Silent, AGAIN, true, Told::Repeat),
        (Seen::Silent, AGAIN, false, Told::Late),
        (answered(200, true), ONCE, true, Told::Pass),
        (answered(200, false), ONCE, true, Told::Unknown),
        (answered(200, false), AGAIN, true, Told::Repeat),
        (answered(404, true), AGAIN, true, Told::Pass),
        (answered(500, true), ONCE, true, Told::Pass),
        (answered(500, true), AGAIN, true, Told::Repeat),
        (answered(500, true), AGAIN, false, Told::Pass),
        (answered(504, true), ONCE, true, Told::Pass),
        (answered(503, true), ONCE, true, Told::Unknown),
        (answered(429, true), ONCE, false, Told::Unknown),
        (answered(408, true), STREAM, false, Told::Unknown),
        (answered(421, true), ONCE, false, Told::Unknown),
        (answered(503, true), AGAIN, true, Told::Repeat),
    ];
    for (seen, kind, again, told) in rows {
        assert_eq!(
            verdict(seen, kind, again),
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
                    assert_ne!(verdict(answered(status, signed), kind, again), Told::NotRun);
                }
            }
            assert_ne!(verdict(Seen::Broken, kind, again), Told::NotRun);
            assert_ne!(verdict(Seen::Silent, kind, again), Told::NotRun);
        }
    }
}
