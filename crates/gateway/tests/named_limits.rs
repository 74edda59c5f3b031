//! Limits that targets name, as members observe and report them.

#[path = "../../admit/tests/support/mod.rs"]
mod support;

use gateway::{LimitReport, LogThrottle, NamedLimits, TargetPauses};
use support::ms;

const TARGET: u64 = 7;

/// Each row: times and values of responses, and the limit after them.
#[test]
fn the_newest_response_counts() {
    let rows = [
        (vec![(1000, Some(5.0))], Some(5.0)),
        (vec![(1000, Some(5.0)), (1100, Some(2.0))], Some(2.0)),
        (vec![(1000, Some(2.0)), (1100, Some(5.0))], Some(5.0)),
        (vec![(1000, None)], None),
        // A response that was sent before the limit may arrive after it.
        (vec![(1000, Some(5.0)), (1499, None)], Some(5.0)),
        (vec![(1000, Some(5.0)), (1500, None)], None),
        (
            vec![(1000, Some(5.0)), (1500, None), (1501, Some(0.0))],
            Some(0.0),
        ),
    ];
    for (responses, expected) in rows {
        let mut limits = NamedLimits::default();
        for &(at, per_s) in &responses {
            limits.record(ms(at), TARGET, per_s);
        }

        assert_eq!(limits.get(TARGET), expected, "{responses:?}");
    }
}

/// Guards against an old report that brings back an earlier limit, or one that has ended.
#[test]
fn an_older_report_is_ignored() {
    let report = |per_s, age| LimitReport {
        target: TARGET,
        per_s,
        age: ms(age),
    };
    let mut limits = NamedLimits::default();
    limits.record(ms(5000), TARGET, Some(2.0));

    let older = limits.merge(ms(5100), &[report(Some(9.0), 200)]);
    let newer = limits.merge(ms(5200), &[report(Some(4.0), 100)]);
    limits.record(ms(6000), TARGET, None);
    let ended = limits.merge(ms(6100), &[report(Some(4.0), 1000)]);

    assert_eq!((older, newer), (vec![], vec![TARGET]));
    assert_eq!((ended, limits.get(TARGET)), (vec![], None));
}

/// Guards against a report that grows with the number of limits, and against a member that never
/// learns some of them.
#[test]
fn reports_are_bounded_and_cover_all_limits() {
    let mut limits = NamedLimits::default();
    for target in 0..100 {
        limits.record(ms(1000), target, Some(1.0));
    }
    let mut learned = NamedLimits::default();

    let first = limits.reports(ms(1000)).len();
    for round in 0..25 {
        let now = ms(2000 + round * 250);
        learned.merge(now, &limits.reports(now));
    }

    assert!(first <= 20, "{first} reports at once");
    assert_eq!(learned.count(), 100);
}

#[test]
fn limits_of_unknown_targets_are_forgotten() {
    let mut limits = NamedLimits::default();
    limits.record(ms(1000), 1, Some(1.0));
    limits.record(ms(1000), 2, Some(1.0));

    limits.remove_stale(ms(5000), |_| false);
    let soon = limits.count();
    limits.remove_stale(ms(12_000), |target| target == 2);

    assert_eq!((soon, limits.count()), (2, 1));
    assert_eq!(limits.get(2), Some(1.0));
}

/// Guards against a faulty target that fills the log: each of its responses has the same fault.
#[test]
fn a_repeated_fault_is_logged_once_a_minute() {
    let mut throttle = LogThrottle::default();
    let logged = |throttle: &mut LogThrottle<u64>, at: u64| throttle.allow(ms(at), TARGET);

    let actual = [0, 10, 59_999, 60_000].map(|at| logged(&mut throttle, at));

    assert_eq!(actual, [true, false, false, true]);
    assert!(throttle.allow(ms(10), 8));
}

/// Guards against a shorter pause that ends a longer one.
#[test]
fn the_longest_pause_of_a_target_counts() {
    let mut pauses = TargetPauses::default();
    pauses.record(ms(0), TARGET, ms(5000));
    pauses.record(ms(100), TARGET, ms(500));

    assert!(pauses.is_paused(ms(4999), TARGET));
    assert_eq!(pauses.targets(ms(4999)), [TARGET]);
    assert!(!pauses.is_paused(ms(5000), TARGET));
    assert!(!pauses.is_paused(ms(100), 8));
}
