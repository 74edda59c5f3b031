//! Containment of poison requests, which crash targets.

mod common;

use std::time::Duration;

use common::{grants, load, report, run, secs, sheds, spec, warm, work};
use sched::{Config, Descriptor, Name, RunEnd, Scheduler, ShedReason};

const ZERO: Duration = Duration::ZERO;

/// Request with the fingerprint that crashes targets.
fn crashing(id: &str) -> Descriptor {
    Descriptor {
        fingerprint: 666,
        ..work(id, 0, "w", 10)
    }
}

/// Guards against a request that crashes one target after another.
#[test]
fn fingerprint_is_refused_after_crashes_on_two_targets() {
    let mut scheduler = warm(&["a", "b", "c"], 100);
    let first = run(&mut scheduler, ZERO, crashing("r1"));
    scheduler.release(ZERO, first.id, report(RunEnd::Reset));
    let suspects = scheduler.take_changed_suspects();
    assert_eq!(suspects.len(), 1);
    assert_eq!(suspects[0].crashed, *std::slice::from_ref(&first.target));

    let second = run(&mut scheduler, secs(1), crashing("r2"));
    assert_ne!(first.target, second.target);
    scheduler.release(secs(1), second.id, report(RunEnd::Reset));
    scheduler.offer(secs(2), crashing("r3"));
    let events = scheduler.poll(secs(2));
    assert_eq!(sheds(&events), [("r3".into(), ShedReason::Poison)]);
    let suspects = scheduler.take_changed_suspects();
    assert_eq!(suspects[0].crashed.len(), 2);
    assert_eq!(suspects[0].until, secs(301));
    assert_eq!(scheduler.take_changed_suspects(), []);

    // Another owner refuses it as well, until the record expires.
    let mut other = warm(&["x"], 100);
    other.merge_suspect(666, &suspects[0].crashed, suspects[0].until);
    other.offer(secs(300), crashing("r4"));
    assert_eq!(sheds(&other.poll(secs(300))).len(), 1);
    assert_eq!(
        other.take_changed_suspects(),
        [],
        "a merged record is not sent back"
    );
    run(&mut other, secs(301), crashing("r6"));
}

/// Guards against gossip that loses one of two crashes that different owners saw.
#[test]
fn crashes_seen_by_two_owners_are_merged() {
    let mut scheduler = warm(&["a", "b"], 100);
    let first = run(&mut scheduler, ZERO, crashing("r1"));
    scheduler.release(ZERO, first.id, report(RunEnd::Reset));
    scheduler.take_changed_suspects();
    scheduler.merge_suspect(666, &[Name::from("elsewhere")], secs(400));
    scheduler.offer(secs(1), crashing("r2"));
    assert_eq!(sheds(&scheduler.poll(secs(1))).len(), 1);
    assert_eq!(scheduler.take_changed_suspects()[0].crashed.len(), 2);
}

/// Guards against a suspect request that crashes a target on which other requests run.
#[test]
fn suspects_run_isolated_on_an_empty_target() {
    let mut scheduler = warm(&["a", "b"], 100);
    scheduler.merge_suspect(666, &[Name::from("elsewhere")], secs(1_000));
    let left = run(&mut scheduler, ZERO, work("left", 0, "w", 10));
    let right = run(&mut scheduler, ZERO, work("right", 0, "w", 20));
    assert_ne!(left.target, right.target);
    scheduler.offer(ZERO, crashing("r1"));
    assert_eq!(scheduler.poll(ZERO), [], "no target is empty");

    // One target is reserved to become empty; the other still gets work.
    let more = run(&mut scheduler, ZERO, work("more", 0, "w", 10));
    let (drained, busy) = if more.target == left.target {
        (right, left)
    } else {
        (left, right)
    };
    scheduler.release(secs(1), drained.id, report(RunEnd::Complete));
    let events = scheduler.poll(secs(1));
    let isolated = grants(&events).pop().unwrap();
    assert_eq!(isolated.target, drained.target);
    scheduler.offer(secs(1), crashing("r2"));
    let beside = run(&mut scheduler, secs(1), work("beside", 0, "w", 10));
    assert_eq!(
        beside.target, busy.target,
        "nothing runs beside the suspect"
    );
    scheduler.release(secs(2), beside.id, report(RunEnd::Complete));
    scheduler.release(secs(2), more.id, report(RunEnd::Complete));
    scheduler.release(secs(2), busy.id, report(RunEnd::Complete));
    assert_eq!(
        scheduler.poll(secs(2)),
        [],
        "one run of a suspect at a time"
    );

    // A complete isolated run clears the fingerprint.
    scheduler.release(secs(3), isolated.id, report(RunEnd::Complete));
    assert_eq!(grants(&scheduler.poll(secs(3))).len(), 1);
    assert_eq!(
        scheduler.take_changed_suspects()[0].crashed,
        [] as [Name; 0]
    );
    run(&mut scheduler, secs(3), crashing("r3"));
    run(&mut scheduler, secs(3), crashing("r4"));
}

/// Guards against marking requests as suspect that did not run when the target crashed.
#[test]
fn crash_marks_only_runs_in_flight_and_only_once() {
    let mut scheduler = Scheduler::new(Config::default());
    common::add_warm(&mut scheduler, ZERO, &spec("a", 1_000, 5));
    let crash = |scheduler: &mut Scheduler, id: &str| {
        let permit = run(scheduler, secs(10), work(id, 0, "w", 10));
        scheduler.release(secs(10), permit.id, report(RunEnd::Reset));
        scheduler.take_changed_suspects().len()
    };
    let old = run(&mut scheduler, ZERO, work("old", 0, "w", 10));
    assert_eq!(crash(&mut scheduler, "crash"), 2, "all runs in flight");
    // The target is still down and refuses connections, which is no evidence against requests.
    assert_eq!(crash(&mut scheduler, "refused"), 0);
    // A report shows that it is up, and work completes; then a second run reports the first crash.
    scheduler.load_report(secs(20), "a", load(0, false, 2));
    let beside = run(&mut scheduler, secs(20), work("beside", 0, "w", 10));
    let done = run(&mut scheduler, secs(20), work("done", 0, "w", 10));
    scheduler.release(secs(20), done.id, report(RunEnd::Complete));
    scheduler.release(secs(20), old.id, report(RunEnd::Reset));
    assert_eq!(scheduler.take_changed_suspects(), []);
    assert_eq!(scheduler.phase("a"), Some(sched::TargetPhase::Warming));
    // A later crash counts.
    scheduler.release(secs(20), beside.id, report(RunEnd::Reset));
    assert_eq!(scheduler.take_changed_suspects().len(), 1);
}

/// Guards against a crash that marks no request because a load report showed the restart first.
#[test]
fn reset_after_reported_restart_still_marks_suspects() {
    let mut scheduler = warm(&["a"], 1_000);
    scheduler.load_report(ZERO, "a", load(0, false, 1));
    let old = run(&mut scheduler, ZERO, work("old", 0, "w", 10));
    scheduler.load_report(secs(1), "a", load(0, false, 2));
    scheduler.release(secs(2), old.id, report(RunEnd::Reset));
    assert_eq!(scheduler.take_changed_suspects().len(), 1);
}

/// Guards against a suspect table that grows with each crash.
#[test]
fn suspect_table_is_bounded() {
    let mut scheduler = Scheduler::new(Config {
        max_suspects: 2,
        ..Config::default()
    });
    common::add_warm(&mut scheduler, ZERO, &spec("a", 1_000, 1));
    scheduler.merge_suspect(1, &["x".into(), "y".into()], secs(50));
    for fingerprint in 2..10 {
        scheduler.merge_suspect(fingerprint, &["x".into()], secs(100));
    }
    let mut refused = crashing("r");
    refused.fingerprint = 1;
    scheduler.offer(ZERO, refused);
    assert_eq!(
        sheds(&scheduler.poll(ZERO)).len(),
        1,
        "refused fingerprints stay"
    );
}

/// Guards against requests larger than any limit that never run, or run beside other work.
#[test]
fn oversized_work_runs_on_an_empty_target() {
    let mut scheduler = warm(&["a", "b"], 100);
    let left = run(&mut scheduler, ZERO, work("left", 0, "w", 30));
    let right = run(&mut scheduler, ZERO, work("right", 0, "w", 60));
    scheduler.offer(ZERO, work("huge", 0, "w", 500));
    scheduler.offer(ZERO, work("small", 0, "w", 30));
    let small = grants(&scheduler.poll(ZERO)).pop().unwrap();
    scheduler.release(secs(1), right.id, report(RunEnd::Complete));
    scheduler.release(secs(1), left.id, report(RunEnd::Complete));
    let huge = grants(&scheduler.poll(secs(1))).pop().unwrap();
    assert_eq!(&*huge.request, "huge");
    assert_ne!(huge.target, small.target);
    assert_eq!(scheduler.in_flight(&huge.target), Some((1, 500)));
}

/// Guards against a request that repeatedly crashes the only target of an owner.
#[test]
fn second_crash_of_an_isolated_run_refuses_the_fingerprint() {
    let mut scheduler = warm(&["a"], 100);
    let first = run(&mut scheduler, ZERO, crashing("r1"));
    scheduler.release(ZERO, first.id, report(RunEnd::Reset));
    assert_eq!(scheduler.take_changed_suspects()[0].crashed.len(), 1);
    // Nothing has completed on the target since its crash.
    let second = run(&mut scheduler, secs(10), crashing("r3"));
    scheduler.release(secs(10), second.id, report(RunEnd::Reset));
    let crashed = scheduler.take_changed_suspects().remove(0).crashed;
    assert_eq!(crashed, [Name::from("a"), Name::from("a")]);
    scheduler.offer(secs(30), crashing("r4"));
    assert_eq!(sheds(&scheduler.poll(secs(30))).len(), 1);

    // Repeated records of the same crash count once, as the target may itself be faulty.
    let mut other = warm(&["x"], 100);
    other.merge_suspect(666, &crashed[..1], secs(400));
    other.merge_suspect(666, &crashed[..1], secs(400));
    run(&mut other, secs(1), crashing("r5"));
    let mut other = warm(&["x"], 100);
    other.merge_suspect(666, &crashed, secs(400));
    other.offer(secs(1), crashing("r6"));
    assert_eq!(sheds(&other.poll(secs(1))).len(), 1);
}

/// A request with fingerprints of its own and a coarse one that others share.
fn similar(id: &str, fingerprint: u64, coarse: u64) -> Descriptor {
    Descriptor {
        fingerprint,
        coarse_fingerprint: Some(coarse),
        ..work(id, 0, "w", 10)
    }
}

fn crash(scheduler: &mut Scheduler, at: Duration, request: Descriptor) {
    let permit = run(scheduler, at, request);
    scheduler.release(at, permit.id, report(RunEnd::Reset));
}

fn is_refused(scheduler: &mut Scheduler, at: Duration, request: Descriptor) -> bool {
    scheduler.offer(at, request);
    !sheds(&scheduler.poll(at)).is_empty()
}

/// Guards against a request that crashes targets for ever because similar sound ones clear it, and against
/// sound ones that are refused with it.
#[test]
fn a_similar_sound_request_clears_the_coarse_fingerprint_alone() {
    for sound_between in [false, true] {
        let mut scheduler = warm(&["a", "b", "c"], 100);

        crash(&mut scheduler, ZERO, similar("r1", 1, 7));
        if sound_between {
            let sound = run(&mut scheduler, secs(1), similar("s1", 2, 7));
            scheduler.release(secs(1), sound.id, report(RunEnd::Complete));
        }
        crash(&mut scheduler, secs(2), similar("r2", 1, 7));

        let refused = is_refused(&mut scheduler, secs(3), similar("r3", 1, 7));
        assert!(refused, "{sound_between}: the crashing request");
        let refused = is_refused(&mut scheduler, secs(3), similar("s2", 3, 7));
        assert!(!refused, "{sound_between}: a sound request");
    }
}

/// Guards against a request that crashes targets for ever because it is not quite the same each time.
#[test]
fn similar_requests_that_crash_two_targets_are_refused() {
    let mut scheduler = warm(&["a", "b", "c"], 100);

    crash(&mut scheduler, ZERO, similar("r1", 1, 7));
    crash(&mut scheduler, secs(1), similar("r2", 2, 7));

    assert!(is_refused(&mut scheduler, secs(2), similar("r3", 3, 7)));
    assert!(!is_refused(&mut scheduler, secs(2), similar("s1", 4, 8)));
}
