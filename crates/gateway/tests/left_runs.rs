//! Targets of runs whose callers left are checked, with a bound on the checks.

use std::rc::Rc;
use std::time::Duration;

use gateway::{EndedRun, LeftRuns, Name, Part, Target};

const START: Duration = Duration::from_secs(100);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn target(number: u16) -> Target {
    Target {
        id: Name::from(format!("t-{number}")),
        pool: Name::from("pool"),
        address: ([127, 0, 0, 1], 1000 + number).into(),
        zone: Name::from("zone-a"),
        slots: 8,
        draining: false,
        cold: Duration::ZERO,
        start_time: 0,
        sequence: 0,
    }
}

fn run(number: u64) -> EndedRun {
    EndedRun {
        id: number.to_string(),
        parts: Rc::from([Part::of_prompt(0, number)]),
    }
}

/// Takes the checks that are due until a time, each when it is due. Returns how many there were, and the
/// ids of their runs.
fn take_until(left: &mut LeftRuns, until: Duration) -> (usize, Vec<String>) {
    let (mut checks, mut ids) = (0, Vec::new());
    while let Some(at) = left.next_check().filter(|&at| at <= until) {
        for (_, runs) in left.take_due(at) {
            checks += 1;
            ids.extend(runs.into_iter().map(|run| run.id));
        }
    }
    (checks, ids)
}

/// Guards against a check before the listener of a crashed target is closed, which finds it alive.
#[test]
fn a_run_is_checked_a_moment_after_it_was_left() {
    let mut left = LeftRuns::default();
    assert!(left.add(START, &target(1), run(1)));
    assert!(left.add(START + ms(60), &target(1), run(2)));

    assert_eq!(left.next_check(), Some(START + ms(100)));
    assert!(left.take_due(START + ms(99)).is_empty());
    let (_, first) = take_until(&mut left, START + ms(100));
    let (_, second) = take_until(&mut left, START + ms(1100));

    assert_eq!(
        (first, second),
        (vec!["1".to_owned()], vec!["2".to_owned()])
    );
    assert_eq!(left.next_check(), None);
}

/// Guards against connections that grow with the callers, when these leave in crowds because all targets
/// are slow.
#[test]
fn checks_are_bounded_in_a_crowd() {
    const TARGETS: u64 = 10;
    const SECONDS: u64 = 5;
    let mut left = LeftRuns::default();
    let (mut checks, mut checked, mut added) = (0, 0, 0);
    for at in 0..1000 * SECONDS {
        let now = START + ms(at);
        for caller in 0..8 {
            let number = u16::try_from((8 * at + caller) % TARGETS).expect("small");
            added += usize::from(left.add(now, &target(number), run(at)));
        }
        let (due, ids) = take_until(&mut left, now);
        checks += due;
        checked += ids.len();
    }

    let bound = usize::try_from(TARGETS * SECONDS).expect("small");
    assert!(checks <= bound, "{checks} checks of {bound}");
    assert!(checks >= bound - 10, "{checks} checks of {bound}");
    assert!(added - checked <= 1024, "{added} runs, {checked} checked");
    assert_eq!(
        take_until(&mut left, START + ms(60_000)).1.len(),
        added - checked
    );
}

/// Guards against memory that is kept for targets without any run.
#[test]
fn targets_are_forgotten_after_their_checks() {
    let mut left = LeftRuns::default();
    for number in 0..100 {
        left.add(START, &target(number), run(1));
    }

    take_until(&mut left, START + ms(100));
    left.add(START + ms(5000), &target(1), run(2));
    let (checks, _) = take_until(&mut left, START + ms(5100));

    assert_eq!(checks, 1);
    assert_eq!(left.next_check(), None);
}
