//! Phases, limits, handover and selection of targets.

mod common;

use std::time::Duration;

use common::{add_warm, closed, grants, load, ms, report, run, secs, spec, warm, work};
use sched::{
    Baseline, Config, Descriptor, Handover, InFlight, PermitId, RunEnd, RunReport, Scheduler,
    TargetPhase,
};

const ZERO: Duration = Duration::ZERO;

fn offer_many(scheduler: &mut Scheduler, now: Duration, count: u32) -> Vec<sched::Permit> {
    for number in 0..count {
        let id = format!("{}-{number}", now.as_nanos());
        scheduler.offer(now, work(&id, 0, "w", 10));
    }
    grants(&scheduler.poll(now))
}

/// Guards against full load on a restarted target, for each signal of a restart.
#[test]
fn restart_signals_reset_a_target_to_cold() {
    enum Signal {
        RunEnded(RunEnd),
        Report(bool, u64),
        ReportTimeout(u64),
        Reopened,
    }
    let signals = [
        (Signal::RunEnded(RunEnd::Complete), TargetPhase::Serving),
        (Signal::RunEnded(RunEnd::Reset), TargetPhase::Cold),
        // At low load, so the target may still be loading its model.
        (Signal::RunEnded(RunEnd::Overloaded), TargetPhase::Cold),
        (Signal::Report(false, 1), TargetPhase::Serving),
        (Signal::Report(false, 2), TargetPhase::Cold),
        (Signal::Report(true, 1), TargetPhase::Cold),
        (Signal::ReportTimeout(15), TargetPhase::Serving),
        (Signal::ReportTimeout(16), TargetPhase::Cold),
        (Signal::Reopened, TargetPhase::Cold),
    ];
    for (number, (signal, phase)) in signals.into_iter().enumerate() {
        let mut scheduler = warm(&["a"], 1_000);
        scheduler.load_report(ZERO, "a", load(0, false, 1));
        let permit = run(&mut scheduler, ZERO, work("r", 0, "w", 10));
        match signal {
            Signal::RunEnded(end) => scheduler.release(secs(1), permit.id, report(end)),
            Signal::Report(cold, start) => {
                scheduler.load_report(secs(1), "a", load(1, cold, start));
            }
            Signal::ReportTimeout(seconds) => drop(scheduler.poll(secs(seconds))),
            Signal::Reopened => {
                scheduler.set_target(secs(1), closed("a", 1_000, 2), false);
                assert_eq!(scheduler.phase("a"), Some(TargetPhase::Draining));
                scheduler.set_target(secs(1), spec("a", 1_000, 2), false);
            }
        }
        assert_eq!(scheduler.phase("a"), Some(phase), "sign {number}");
    }
}

/// Guards against exceeding the cold limit, including by runs from before the target became cold.
#[test]
fn cold_limit_counts_all_in_flight() {
    let mut scheduler = Scheduler::new(Config::default());
    add_warm(&mut scheduler, ZERO, &spec("a", 1_000, 2));
    let granted = offer_many(&mut scheduler, ZERO, 5);
    assert_eq!(granted.len(), 5);
    scheduler.load_report(ZERO, "a", load(5, true, 1));
    for (left, expected) in [(4, 0), (3, 0), (2, 0), (1, 1)] {
        scheduler.release(ZERO, granted[left].id, report(RunEnd::Unused));
        let grants = offer_many(&mut scheduler, secs(5 - left as u64), 1);
        assert_eq!(grants.len(), expected, "{left} left");
    }
}

/// Guards against work on a target with a cold limit of 0 before it reports that it is warm.
#[test]
fn cold_limit_zero_waits_for_a_warm_report() {
    let mut scheduler = Scheduler::new(Config::default());
    scheduler.set_target(ZERO, spec("a", 1_000, 0), false);
    assert_eq!(offer_many(&mut scheduler, ZERO, 1), []);
    scheduler.load_report(secs(1), "a", load(0, true, 1));
    assert_eq!(grants(&scheduler.poll(secs(1))), []);
    scheduler.load_report(secs(2), "a", load(0, false, 1));
    assert_eq!(grants(&scheduler.poll(secs(2))).len(), 1);
}

/// Guards against a ramp that advances with time, with work from before the restart, or while the
/// lease is in doubt.
#[test]
fn ramp_doubles_with_completed_work_only() {
    let mut scheduler = Scheduler::new(Config::default());
    add_warm(&mut scheduler, ZERO, &spec("a", 1_600, 1));
    // Later than the time in which a handed-over target has to send a report.
    let crash = secs(20);
    let old = run(&mut scheduler, crash, work("old", 0, "w", 100));
    let lost = run(&mut scheduler, crash, work("lost", 0, "w", 100));
    scheduler.release(crash, lost.id, report(RunEnd::Reset));
    scheduler.release(crash, old.id, report(RunEnd::Complete));
    assert_eq!(
        scheduler.phase("a"),
        Some(TargetPhase::Cold),
        "work from before the restart"
    );
    let mut complete = |now, cost, in_doubt, gap| {
        scheduler.set_lease_in_doubt(false);
        let permit = run(&mut scheduler, now, work("next", 0, "w", cost));
        scheduler.set_lease_in_doubt(in_doubt);
        let measured = RunReport {
            token_gap: Some(gap),
            ..report(RunEnd::Complete)
        };
        scheduler.release(now, permit.id, measured);
        (scheduler.limit("a").unwrap(), scheduler.phase("a").unwrap())
    };
    let warming = |limit| (limit, TargetPhase::Warming);
    // A cold target is slow. That must not lower its limit, or the ramp would start too low.
    assert_eq!(
        complete(secs(21), 100, false, secs(5)),
        warming(100),
        "one sixteenth"
    );
    assert_eq!(
        complete(secs(22), 100, true, ms(1)),
        warming(100),
        "in doubt"
    );
    assert_eq!(
        complete(secs(3_000), 100, false, ms(1)),
        warming(200),
        "grows by work, not by time"
    );
    assert_eq!(complete(secs(3_001), 200, false, ms(1)), warming(400));
    assert_eq!(complete(secs(3_002), 400, false, ms(1)), warming(800));
    assert_eq!(complete(secs(3_003), 799, false, ms(1)), warming(1_599));
    assert_eq!(
        complete(secs(3_004), 1, false, ms(1)),
        (1_600, TargetPhase::Serving)
    );
}

/// Guards against a new owner that adds work to a cold target on which runs of the failed owner may
/// continue.
#[test]
fn assumed_runs_end_by_report_or_timeout() {
    let takeover = || {
        let mut scheduler = Scheduler::new(Config::default());
        scheduler.set_target(secs(100), spec("a", 1_000, 3), true);
        assert_eq!(offer_many(&mut scheduler, secs(100), 3), []);
        scheduler
    };
    let mut scheduler = takeover();
    scheduler.load_report_at(secs(101), "a", load(0, false, 1), secs(99));
    assert_eq!(
        scheduler.poll(secs(101)),
        [],
        "measured before the takeover"
    );
    scheduler.load_report_at(secs(102), "a", load(2, false, 1), secs(101));
    assert_eq!(
        grants(&scheduler.poll(secs(102))).len(),
        1,
        "one assumed run fewer"
    );

    let mut scheduler = takeover();
    let wakeup = scheduler.next_wakeup();
    assert_eq!(wakeup, Some(secs(220)));
    assert_eq!(scheduler.poll(secs(219)), []);
    assert_eq!(grants(&scheduler.poll(secs(220))).len(), 3);
}

/// Guards against runs that are counted forever, or released twice, when releases are lost or
/// repeated.
#[test]
fn runs_are_released_once() {
    let mut scheduler = warm(&["a"], 100);
    let mut short = work("short", 0, "w", 60);
    short.hard_deadline = secs(10);
    let first = run(&mut scheduler, ZERO, short);
    let second = run(&mut scheduler, ZERO, work("second", 0, "w", 40));
    scheduler.poll(secs(9));
    assert_eq!(
        scheduler.in_flight("a"),
        Some((2, 100)),
        "permits expired, runs not ended"
    );
    assert_eq!(scheduler.next_wakeup(), Some(secs(10)));
    scheduler.poll(secs(10));
    assert_eq!(scheduler.in_flight("a"), Some((1, 40)), "hard deadline");
    scheduler.release(secs(11), first.id, report(RunEnd::Reset));
    scheduler.release(secs(11), PermitId(999), report(RunEnd::Reset));
    assert_eq!(
        scheduler.phase("a"),
        Some(TargetPhase::Serving),
        "unknown permits"
    );
    scheduler.reclaim(secs(11), &[second.id, second.id, first.id]);
    assert_eq!(scheduler.in_flight("a"), Some((0, 0)));
}

/// Guards against a handover that loses runs or the warm-up state.
#[test]
fn handover_keeps_runs_and_phase() {
    let mut old = warm(&["a"], 100);
    let permit = run(&mut old, ZERO, work("r", 0, "w", 30));
    let handover = old.hand_over(secs(200), "a").unwrap();
    assert_eq!(old.phase("a"), None);
    old.release(secs(200), permit.id, report(RunEnd::Complete));
    let run_of_old = InFlight {
        request: "r".into(),
        permit: permit.id,
        cost: 30,
        hard_deadline: secs(7_000),
    };
    assert_eq!(handover.in_flight, [run_of_old]);

    let mut new = Scheduler::new(Config::default());
    new.adopt(secs(5), spec("a", 100, 1), &handover);
    assert_eq!(new.phase("a"), Some(TargetPhase::Serving));
    assert_eq!(new.in_flight("a"), Some((1, 30)));
    let own = run(&mut new, secs(5), work("own", 0, "w", 70));
    assert_eq!(
        own.id, permit.id,
        "permits of two owners may have the same number"
    );
    assert!(new.release_request(secs(6), "r", report(RunEnd::Complete)));
    assert!(!new.release_request(secs(6), "r", report(RunEnd::Complete)));
    assert_eq!(new.in_flight("a"), Some((1, 70)));

    let mut cold = Scheduler::new(Config::default());
    let draining = Handover {
        phase: TargetPhase::Draining,
        ..handover
    };
    cold.adopt(secs(5), spec("a", 100, 1), &draining);
    assert_eq!(cold.phase("a"), Some(TargetPhase::Cold));
}

/// Guards against grants to targets that are not schedulable, and against a wrong end of draining.
#[test]
fn closed_targets_drain() {
    let mut scheduler = warm(&["a", "b"], 100);
    let first = run(&mut scheduler, ZERO, work("r", 0, "w", 50));
    let (busy, other) = if &*first.target == "a" {
        ("a", "b")
    } else {
        ("b", "a")
    };
    scheduler.set_target(secs(1), closed(busy, 100, 1), false);
    assert_eq!(scheduler.phase(busy), Some(TargetPhase::Draining));
    let second = run(&mut scheduler, secs(1), work("s", 0, "w", 80));
    assert_eq!(&*second.target, other);
    assert_eq!(
        (scheduler.digest().free, scheduler.digest().limit),
        (20, 100)
    );
    scheduler.release(secs(2), first.id, report(RunEnd::Complete));
    assert_eq!(scheduler.phase(busy), Some(TargetPhase::Out));
}

/// Guards against a limit that does not follow the engine's capacity.
#[test]
fn limit_falls_with_missed_goals_and_recovers() {
    let mut scheduler = warm(&["a"], 1_000);
    let mut rounds = |first_token: u64, gap: u64| {
        for round in 0..50 {
            let granted = offer_many(&mut scheduler, secs(round), 100);
            for permit in granted {
                let measured = RunReport {
                    first_token: Some(ms(first_token)),
                    token_gap: Some(ms(gap)),
                    ..report(RunEnd::Complete)
                };
                scheduler.release(secs(round), permit.id, measured);
            }
        }
        scheduler.limit("a").unwrap()
    };
    assert_eq!(rounds(100, 30), 1_000);
    assert_eq!(rounds(100, 60), 62, "the lower bound, one sixteenth");
    assert_eq!(rounds(100, 30), 1_000);
    assert_eq!(rounds(2_000, 30), 62);
}

/// Guards against a limit that ignores overload responses under load.
#[test]
fn overload_responses_under_load_lower_the_limit() {
    let mut scheduler = warm(&["a"], 100);
    let granted = offer_many(&mut scheduler, ZERO, 10);
    for permit in &granted {
        scheduler.release(ZERO, permit.id, report(RunEnd::Overloaded));
    }
    assert_eq!(scheduler.phase("a"), Some(TargetPhase::Serving));
    assert_eq!(scheduler.limit("a"), Some(70), "one burst counts once");
}

/// Guards against sending requests to a failing cold target without backoff.
#[test]
fn failing_cold_targets_are_retried_with_backoff() {
    let mut scheduler = Scheduler::new(Config::default());
    scheduler.set_target(ZERO, spec("a", 100, 1), false);
    let mut now = ZERO;
    for (number, wait) in [250, 500, 1_000, 2_000, 4_000, 4_000]
        .into_iter()
        .enumerate()
    {
        let permit = run(&mut scheduler, now, work(&format!("r{number}"), 0, "w", 10));
        scheduler.release(now, permit.id, report(RunEnd::Overloaded));
        scheduler.offer(now, work("waiting", 0, "w", 10));
        assert_eq!(scheduler.poll(now), []);
        assert_eq!(scheduler.next_wakeup(), Some(now + ms(wait)));
        scheduler.withdraw(now, "waiting");
        now += ms(wait);
    }
}

/// Guards against target selection that ignores load or prefixes, or prefers prefixes at any load.
#[test]
fn least_load_first_with_bounded_affinity() {
    let mut scheduler = Scheduler::new(Config::default());
    add_warm(&mut scheduler, ZERO, &spec("large", 3_000, 1));
    add_warm(&mut scheduler, ZERO, &spec("small", 1_000, 1));
    let granted = offer_many(&mut scheduler, ZERO, 200);
    let large = granted
        .iter()
        .filter(|permit| &*permit.target == "large")
        .count();
    assert_eq!(large, 150, "three quarters");

    let mut scheduler = warm(&["a", "b"], 1_000);
    let same = |id: &str| Descriptor {
        prefix: 42,
        ..work(id, 0, "w", 100)
    };
    let first = run(&mut scheduler, ZERO, same("first")).target;
    let mut to_first = 0;
    for number in 0..8 {
        let permit = run(&mut scheduler, ZERO, same(&format!("next-{number}")));
        to_first += u32::from(permit.target == first);
        if number == 0 {
            assert_eq!(permit.target, first, "low load");
        }
    }
    assert!(
        (3..=5).contains(&to_first),
        "{to_first} of 8 on the first target"
    );
}

/// Guards against a baseline that exceeds the capacity or grants out of order.
#[test]
fn baseline_is_first_in_first_out_within_capacity() {
    let cfg = Config {
        max_waiting: 3,
        ..Config::default()
    };
    let mut baseline = Baseline::new(&cfg, 7);
    baseline.set_target(ZERO, spec("a", 100, 0), false);
    for (id, tier) in [("a", 4), ("b", 0), ("c", 1), ("d", 0)] {
        baseline.offer(ZERO, work(id, tier, "w", 60));
    }
    assert!(baseline.withdraw(ZERO, "b"));
    let events = baseline.poll(ZERO);
    assert_eq!(common::sheds(&events).len(), 1);
    let granted = grants(&events);
    assert_eq!(granted.len(), 1);
    assert_eq!(&*granted[0].request, "a");
    baseline.release(ZERO, granted[0].id, report(RunEnd::Complete));
    assert_eq!(&*grants(&baseline.poll(ZERO))[0].request, "c");
}
