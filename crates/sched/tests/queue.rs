//! Tiers, fairness, eviction, deadlines and withdrawal of waiting requests.

mod common;

use std::time::Duration;

use common::{grants, ms, report, run, secs, sheds, spec, warm, work};
use sched::{Config, Descriptor, RunEnd, RunReport, Scheduler, ShedReason};

const ZERO: Duration = Duration::ZERO;

/// Scheduler with a queue for `max` descriptors and one target, which a single run fills.
fn full_scheduler(max: usize) -> (Scheduler, sched::PermitId) {
    let mut scheduler = Scheduler::new(Config {
        max_waiting: max,
        ..Config::default()
    });
    common::add_warm(&mut scheduler, ZERO, &spec("a", 100, 1));
    let permit = run(&mut scheduler, ZERO, work("first", 0, "w", 100));
    (scheduler, permit.id)
}

/// Guards against a lower tier that overtakes a higher one, even with small requests that would
/// fit.
#[test]
fn higher_tiers_go_first() {
    let (mut scheduler, mut permit) = full_scheduler(10);
    for (id, tier, cost) in [("d", 2, 1), ("b", 1, 60), ("c", 1, 60), ("a", 0, 100)] {
        scheduler.offer(ZERO, work(id, tier, id, cost));
    }
    for expected in [&["a"][..], &["b"], &["c", "d"]] {
        scheduler.release(ZERO, permit, report(RunEnd::Complete));
        let granted = grants(&scheduler.poll(ZERO));
        let ids: Vec<_> = granted.iter().map(|permit| &*permit.request).collect();
        assert_eq!(ids, expected);
        permit = granted[0].id;
    }
}

/// Guards against a workspace with few requests that has to wait for a whole round of all others.
#[test]
fn newly_waiting_workspace_is_served_first() {
    let (mut scheduler, mut permit) = full_scheduler(100);
    for id in ["a1", "a2", "b1", "b2", "c1", "c2"] {
        scheduler.offer(ZERO, work(id, 0, &id[..1], 100));
    }
    let mut order = Vec::new();
    for round in 0..8 {
        if round == 2 {
            scheduler.offer(ZERO, work("d1", 0, "d", 100));
            scheduler.offer(ZERO, work("d2", 0, "d", 100));
        }
        scheduler.release(ZERO, permit, report(RunEnd::Complete));
        let granted = grants(&scheduler.poll(ZERO)).pop().unwrap();
        permit = granted.id;
        order.push(granted.request.to_string());
    }
    assert_eq!(order, ["a1", "b1", "c1", "d1", "a2", "b2", "c2", "d2"]);
}

/// Guards against lower tiers that fill the targets with long runs, so that requests of a higher
/// tier find no room within their deadlines.
#[test]
fn capacity_is_reserved_for_higher_tiers() {
    // 100 tokens averaged over 5 s amount to 80 tokens in the reserve window of 4 s.
    for (high, left) in [(0, 0), (100, 80), (500, 100)] {
        let mut scheduler = warm(&["a"], 1_000);
        if high > 0 {
            run(&mut scheduler, ZERO, work("high", 0, "w", high));
        }
        for number in 0..100 {
            scheduler.offer(ZERO, work(&format!("low-{number}"), 1, "w", 10));
        }
        scheduler.poll(ZERO);
        assert_eq!(scheduler.in_flight("a").unwrap().1, 1_000 - left, "{high}");
        if left > 0 {
            run(&mut scheduler, ZERO, work("next", 0, "w", left));
        }
    }
}

/// Guards against a full queue that evicts the wrong descriptor.
#[test]
fn full_queue_evicts_newest_of_lowest_tier() {
    // Name, tier and workspace of the three waiting requests and of the arrival; the id that is
    // shed; and the reason.
    let cases = [
        // The lowest tier loses a request to any higher one.
        ("a1w b3w c3w d2w", "c3w", ShedReason::Evicted),
        // Within it, the workspace with the most waiting requests does.
        ("a3w b3w c3v d0w", "b3w", ShedReason::Evicted),
        // An arrival of a lower tier than all waiting requests is shed.
        ("a1w b1w c1w d2v", "d2v", ShedReason::QueueFull),
        // So is an arrival of the same tier and workspace.
        ("a1w b1w c1w d1w", "d1w", ShedReason::QueueFull),
        // A workspace that fills the queue loses a request to another one of the same tier,
        ("a1w b1w c1w d1v", "c1w", ShedReason::QueueFull),
        // but not if the two would only exchange their queue lengths.
        ("a1w b1w c1v d1v", "d1v", ShedReason::QueueFull),
    ];
    for (offers, shed, reason) in cases {
        let (mut scheduler, _) = full_scheduler(3);
        let tier = |id: &str| id[1..2].parse().unwrap();
        for id in offers.split(' ') {
            scheduler.offer(ZERO, work(id, tier(id), &id[2..], 100));
        }
        let events = scheduler.poll(ZERO);
        assert_eq!(sheds(&events), [(shed.to_string(), reason)], "{offers}");
        assert_eq!(scheduler.stats().sheds(tier(shed), reason), 1);
    }
}

/// Guards against prefill spent on requests that can't meet their deadline.
#[test]
fn late_work_is_shed_before_prefill() {
    let (mut scheduler, first) = full_scheduler(10);
    let mut soon = work("soon", 0, "w", 100);
    soon.deadline = secs(2);
    scheduler.offer(ZERO, work("patient", 0, "w", 100));
    scheduler.offer(ZERO, soon.clone());
    assert_eq!(scheduler.poll(ZERO), []);
    assert_eq!(scheduler.next_wakeup(), Some(secs(2)));
    assert_eq!(scheduler.poll(secs(1)), []);
    let late = [("soon".into(), ShedReason::Deadline)];
    assert_eq!(sheds(&scheduler.poll(secs(2))), late, "behind the head");
    scheduler.offer(secs(3), soon.clone());
    assert_eq!(sheds(&scheduler.poll(secs(3))), late, "at the offer");
    soon.deadline = secs(4);
    scheduler.withdraw(secs(3), "patient");
    scheduler.offer(secs(3), soon);
    scheduler.release(secs(4), first, report(RunEnd::Complete));
    assert_eq!(sheds(&scheduler.poll(secs(4))), late, "at the grant");
    assert_eq!(scheduler.stats().prefill_tokens(), 50);
}

/// Guards against a deadline check that ignores the prefill time.
#[test]
fn estimated_first_token_counts_against_the_deadline() {
    let mut scheduler = warm(&["a"], 1_000_000);
    // Prefill takes one millisecond per prompt token.
    for (number, prompt) in [100, 200, 400, 800, 1_600].into_iter().enumerate() {
        let descriptor = Descriptor {
            prompt,
            ..work(&format!("learn-{number}"), 0, "w", 2 * prompt)
        };
        let permit = run(&mut scheduler, ZERO, descriptor);
        let learned = RunReport {
            first_token: Some(ms(prompt)),
            ..report(RunEnd::Complete)
        };
        scheduler.release(ZERO, permit.id, learned);
    }
    // (prompt, deadline in ms, whether it can be met)
    for (prompt, deadline, met) in [(500, 600, true), (500, 450, false), (50, 100, true)] {
        let descriptor = Descriptor {
            prompt,
            deadline: ms(deadline),
            ..work(&format!("{prompt}-{deadline}"), 0, "w", 1_000)
        };
        scheduler.offer(ZERO, descriptor);
        let events = scheduler.poll(ZERO);
        assert_eq!(
            grants(&events).len() == 1,
            met,
            "{prompt} {deadline} {events:?}"
        );
    }
    // Without new samples the estimate decays, so that it can be corrected.
    let descriptor = Descriptor {
        prompt: 500,
        deadline: secs(60) + ms(450),
        ..work("later", 0, "w", 1_000)
    };
    run(&mut scheduler, secs(60), descriptor);
}

/// Guards against a poll whose work grows with the queue length, and against a missing wakeup for
/// the remaining sheds.
#[test]
fn sheds_per_poll_are_bounded() {
    type Cause = fn(&mut Scheduler);
    let causes: [(ShedReason, Cause); 3] = [
        (ShedReason::Deadline, |_| ()),
        (ShedReason::Poison, |s| {
            s.merge_suspect(666, &["x".into(), "y".into()], secs(9));
        }),
        (ShedReason::NoTarget, |s| {
            s.set_target(ZERO, common::closed("a", 100, 1), false);
        }),
    ];
    for (reason, cause) in causes {
        let (mut scheduler, _) = full_scheduler(10_000);
        for number in 0..1_000 {
            let mut late = work(&format!("late-{number}"), 0, "w", 10);
            late.fingerprint = 666;
            late.deadline = secs(if reason == ShedReason::Deadline {
                1
            } else {
                10
            });
            scheduler.offer(ZERO, late);
        }
        assert_eq!(scheduler.poll(ZERO), []);
        cause(&mut scheduler);
        let mut shed = [0; 4];
        for count in &mut shed {
            *count = sheds(&scheduler.poll(secs(2)))
                .iter()
                .filter(|event| event.1 == reason)
                .count();
            let more = scheduler.next_wakeup().is_some_and(|time| time <= secs(2));
            assert_eq!(more, *count == 256, "{reason:?}");
        }
        assert_eq!(shed, [256, 256, 256, 232], "{reason:?}");
        let mut arrival = work("arrival", 0, "w", 10);
        arrival.fingerprint = 666;
        arrival.deadline = secs(if reason == ShedReason::Deadline {
            1
        } else {
            10
        });
        scheduler.offer(secs(2), arrival);
        assert_eq!(
            sheds(&scheduler.poll(secs(2))),
            [("arrival".into(), reason)]
        );
    }
}

/// Guards against repeated offers that are queued twice, and against decisions on withdrawn ones.
#[test]
fn duplicate_offers_are_queued_once() {
    let (mut scheduler, first) = full_scheduler(10);
    for id in ["a", "a", "b"] {
        scheduler.offer(ZERO, work(id, 0, "w", 100));
    }
    assert_eq!(scheduler.digest().waiting, [2, 0, 0, 0, 0]);
    assert!(scheduler.withdraw(ZERO, "a"));
    assert!(!scheduler.withdraw(ZERO, "a"));
    scheduler.release(ZERO, first, report(RunEnd::Complete));
    assert_eq!(&*grants(&scheduler.poll(ZERO))[0].request, "b");
}
