//! Admission at one owner.

mod support;

use std::time::Duration;

use admit::{
    Catalog, Change, Decision, FleetView, LimitShare, NamedLimits, Owner, Refusal, RunEnd, RunId,
    RunReport, target_key,
};
use support::{listing, ms, offer, settings};

fn owner(targets: usize, slots: u32) -> (Owner, Catalog) {
    owner_of(listing(targets, slots))
}

fn owner_without_cold_limit(targets: usize, slots: u32) -> (Owner, Catalog) {
    owner_of(support::listing_without_cold_limit(targets, slots))
}

fn owner_of(listing: Vec<Change>) -> (Owner, Catalog) {
    let mut catalog = Catalog::new(Duration::from_secs(2));
    catalog.apply_listing(Duration::ZERO, listing);
    let mut owner = Owner::new(Duration::ZERO, settings([127, 0, 0, 1].into()));
    owner.apply_catalog(Duration::ZERO, &catalog);
    (owner, catalog)
}

fn granted(decisions: &[Decision]) -> Vec<u64> {
    decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Grant { id, .. } => Some(id.run),
            Decision::Refuse { .. } => None,
        })
        .collect()
}

fn refused(decisions: &[Decision]) -> Vec<(u64, Refusal)> {
    decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Grant { .. } => None,
            Decision::Refuse { id, reason, .. } => Some((id.run, *reason)),
        })
        .collect()
}

/// Guards against a restarted target that gets the load of a warm one before the store reports that
/// it is cold.
#[test]
fn a_target_that_was_unreachable_counts_as_cold_at_first() {
    let (mut owner, catalog) = owner(1, 100);
    let sends = |owner: &mut Owner, now: Duration, first: u64| {
        for run in first..first + 100 {
            owner.offer(now, &catalog, offer(1, run));
        }
        let runs = granted(&owner.poll(now));
        for &run in &runs {
            owner.release(now, RunId { entry: 1, run }, &RunReport::of(RunEnd::Served));
        }
        // Queued offers are refused before the next step, or get the places that answers have added.
        for run in granted(&owner.poll(now + ms(200))) {
            owner.release(now, RunId { entry: 1, run }, &RunReport::of(RunEnd::Unused));
        }
        runs.len()
    };
    // The owner has known the target for a while, and may send it a few requests at once.
    owner.offer(ms(3000), &catalog, offer(1, 499));
    assert_eq!(granted(&owner.poll(ms(3000))), [499]);
    let id = RunId { entry: 1, run: 499 };
    owner.release(ms(3000), id, &RunReport::of(RunEnd::Served));
    let warm = sends(&mut owner, ms(5000), 0);
    owner.offer(ms(7000), &catalog, offer(1, 500));
    assert_eq!(granted(&owner.poll(ms(7000))), [500]);
    let id = RunId { entry: 1, run: 500 };
    owner.release(ms(7000), id, &RunReport::of(RunEnd::Unreachable));
    owner.offer(ms(9000), &catalog, offer(1, 600));
    assert_eq!(granted(&owner.poll(ms(9000))), [600]);
    let id = RunId { entry: 1, run: 600 };
    owner.release(ms(9000), id, &RunReport::of(RunEnd::Served));

    let back = sends(&mut owner, ms(9001), 700);
    // Each round of answers in time doubles what a recovered target may have at once.
    let rounds = [12_000, 14_000, 16_000].map(|at| sends(&mut owner, ms(at), 1000 + at));
    let later = rounds[2];

    // An owner that is not the first one has 15% of the limit of a cold target, which is 39.5.
    assert!(back <= 5, "{back} sends at once");
    assert!(back < warm, "{back} sends at once, {warm} when warm");
    assert!(rounds[0] < rounds[1], "{rounds:?} sends");
    assert_eq!(later, warm);
}

/// Guards against a target that gets all of its runs at once when it becomes cold again without a
/// restart, and against one whose pace does not rise again.
#[test]
fn a_target_that_becomes_cold_again_starts_with_one_run() {
    let (mut owner, mut catalog) = owner_without_cold_limit(1, 4);
    let mut cold = support::target("t-0", 4);
    cold.cold = Duration::from_secs(3);
    cold.sequence = 2;
    let grants = |owner: &mut Owner, catalog: &Catalog, now: Duration, first: u64| {
        for run in first..first + 4 {
            owner.offer(now, catalog, offer(1, run));
        }
        let runs = granted(&owner.poll(now));
        for &run in &runs {
            owner.release(now, RunId { entry: 1, run }, &RunReport::of(RunEnd::Served));
        }
        for run in granted(&owner.poll(now + ms(200))) {
            owner.release(now, RunId { entry: 1, run }, &RunReport::of(RunEnd::Unused));
        }
        runs.len()
    };
    let warm = grants(&mut owner, &catalog, ms(5000), 0);

    catalog.apply_changes(ms(6000), vec![Change::Target(cold)]);
    owner.apply_catalog(ms(6000), &catalog);
    let first = grants(&mut owner, &catalog, ms(6000), 100);
    let second = grants(&mut owner, &catalog, ms(8000), 200);

    assert_eq!((warm, first), (4, 1));
    assert!(second > first, "{second} runs after an answer in time");
}

/// Guards against two owners that each send the load of a warm target within the second in which
/// one replaces the other. The first one may have known that the target is cold.
#[test]
fn a_new_owner_starts_with_a_part_of_the_limits() {
    let (mut owner, catalog) = owner(1, 100);
    let share = |is_first_owner| LimitShare {
        share: 1.0,
        cold_share: 1.0,
        member_share: 1.0,
        is_first_owner,
        view: FleetView::Settled,
    };
    for at in 0..10 {
        owner.set_limit_shares(ms(at * 500), vec![share(false)]);
    }
    owner.set_limit_shares(ms(5000), vec![share(true)]);
    let sends = |owner: &mut Owner, since: u64| {
        let mut runs = 0;
        for at in (since..since + 980).step_by(10) {
            owner.set_limit_shares(ms(at), vec![share(true)]);
            for run in at..at + 10 {
                owner.offer(ms(at), &catalog, offer(1, run));
            }
            runs += granted(&owner.poll(ms(at))).len();
        }
        runs
    };

    let first = sends(&mut owner, 5010);
    let later = sends(&mut owner, 6050);

    assert!(first <= 9, "{first} sends of a bound of 39.5");
    assert!(later >= 20, "{later} sends in a later second");
}

/// Guards against a target that gets one more second of its limit with each change of the first owner, as
/// the bucket of the one that takes over has filled up while another one used the limit.
#[test]
fn an_owner_that_becomes_the_first_has_saved_nothing_of_a_named_limit() {
    const LIMIT: f64 = 20.0;
    let (mut owner, catalog) = owner_without_cold_limit(1, 100);
    let mut limits = NamedLimits::default();
    limits.record(ms(1), target_key(&support::target("t-0", 100)), Some(LIMIT));
    owner.apply_named_limits(ms(1), &limits);
    let mut next_run = 0;
    let mut granted_at = |now: Duration, is_first_owner: bool| {
        let limit_share = LimitShare {
            share: 1.0,
            cold_share: 1.0,
            member_share: 1.0,
            is_first_owner,
            view: FleetView::Settled,
        };
        owner.set_limit_shares(now, vec![limit_share]);
        for _ in 0..100 {
            next_run += 1;
            owner.offer(now, &catalog, offer(1, next_run));
        }
        let runs = granted(&owner.poll(now));
        for &run in &runs {
            let served = RunReport::of(RunEnd::Served);
            owner.release(now, RunId { entry: 1, run }, &served);
        }
        runs.len()
    };

    // Another member decides for some seconds.
    let mut before = 0;
    for at in 0..20 {
        before = granted_at(ms(500 * at), false).max(before);
    }
    let at_once = granted_at(ms(10_500), true);
    let in_a_second = granted_at(ms(11_000), true) + granted_at(ms(11_500), true);

    assert!(before > 0, "an owner that is not the first one has a share");
    assert_eq!(at_once, 0);
    assert!((15..=20).contains(&in_a_second), "{in_a_second}");
}

/// Guards against targets with two owners, each with limits of its own, whenever many targets crash
/// or return: members learn of it at different moments.
#[test]
fn the_number_of_shards_does_not_follow_crashes() {
    let (mut owner, mut catalog) = owner(250, 1);
    let shards = owner.max_shards();
    let crashed = (0..120).map(|at| Change::TargetRemoved(format!("t-{at}").into()));
    catalog.apply_changes(ms(10_000), crashed.collect());
    catalog.expire(ms(20_000));

    owner.apply_catalog(ms(20_000), &catalog);
    let after_crash = owner.max_shards();
    catalog.apply_changes(ms(150_000), Vec::new());
    owner.apply_catalog(ms(150_000), &catalog);
    let later = owner.max_shards();
    catalog.apply_listing(ms(150_010), listing(250, 1));
    owner.apply_catalog(ms(150_010), &catalog);

    assert_eq!([shards, after_crash, later], [8, 8, 4]);
    assert_eq!(owner.max_shards(), shards);
}

/// Guards against many members that decide for themselves at the same moment, as when the owners of
/// a large fleet are overloaded: each of them may send to the same cold target.
#[test]
fn a_large_fleet_without_owners_stays_within_the_limit_of_a_cold_target() {
    const MEMBERS: u8 = 250;
    let bound = support::COLD_PER_S * 1.5 + 5.0;
    for (name, cold) in [("cold", Duration::from_hours(1)), ("warm", Duration::ZERO)] {
        let mut catalog = Catalog::new(Duration::from_secs(2));
        let mut changes = listing(1, 5);
        for change in &mut changes {
            if let Change::Target(target) = change {
                target.cold = cold;
            }
        }
        catalog.apply_listing(Duration::ZERO, changes);
        let member_share = 1.0 / f64::from(MEMBERS);
        let share = LimitShare {
            share: member_share,
            cold_share: member_share,
            member_share,
            is_first_owner: false,
            view: FleetView::Settled,
        };
        let mut sends: u32 = 0;
        for member in 0..MEMBERS {
            let mut owner = Owner::new(Duration::ZERO, settings([10, 0, 0, member].into()));
            owner.apply_catalog(Duration::ZERO, &catalog);
            // A member sends nothing to a cold target in its first second.
            for at in [5000, 5500, 6000] {
                owner.set_limit_shares(ms(at), vec![share]);
            }
            for run in 0..5 {
                owner.offer(ms(6100), &catalog, offer(u64::from(member), run));
            }
            sends += u32::try_from(granted(&owner.poll(ms(6100))).len()).unwrap();
        }

        assert!(
            f64::from(sends) <= bound,
            "{sends} of {bound} sends to a {name} target"
        );
    }
}

/// Guards against queues inside targets, which ignore tiers.
#[test]
fn no_target_gets_more_runs_than_its_slots() {
    let (mut owner, catalog) = owner_without_cold_limit(2, 3);
    for run in 0..10 {
        owner.offer(ms(1), &catalog, offer(1, run));
    }

    assert_eq!(granted(&owner.poll(ms(1))).len(), 6);
    let id = RunId { entry: 1, run: 0 };
    owner.release(ms(2), id, &RunReport::of(RunEnd::Served));
    assert_eq!(granted(&owner.poll(ms(2))).len(), 1);
}

#[test]
fn higher_tiers_are_granted_first() {
    let (mut owner, catalog) = owner_without_cold_limit(1, 1);
    owner.offer(ms(1), &catalog, offer(1, 0));
    owner.poll(ms(1));
    for (run, tier) in [(1, 2), (2, 1), (3, 0), (4, 1)] {
        let mut waiting = offer(1, run);
        waiting.tier = tier;
        owner.offer(ms(1), &catalog, waiting);
    }
    let mut order = Vec::new();
    for run in [0, 3, 2, 4] {
        owner.release(
            ms(2),
            RunId { entry: 1, run },
            &RunReport::of(RunEnd::Served),
        );
        order.extend(granted(&owner.poll(ms(2))));
    }

    assert_eq!(order, [3, 2, 4, 1]);
}

/// Guards against requests that are held in the queue and then refused when no time is left.
#[test]
fn an_offer_is_refused_after_its_longest_wait() {
    let (mut owner, catalog) = owner(1, 1);
    owner.offer(ms(1), &catalog, offer(1, 0));
    owner.offer(ms(1), &catalog, offer(1, 1));
    owner.poll(ms(1));
    assert!(owner.has_queued());

    assert_eq!(refused(&owner.poll(ms(150))), []);
    assert_eq!(refused(&owner.poll(ms(151))), [(1, Refusal::Busy)]);
    assert!(!owner.has_queued());
}

#[test]
fn a_resent_offer_is_granted_once() {
    let (mut owner, catalog) = owner(1, 2);
    owner.offer(ms(1), &catalog, offer(1, 0));
    let first = owner.poll(ms(1));
    owner.offer(ms(40), &catalog, offer(1, 0));

    assert_eq!(owner.poll(ms(40)), first);
    for run in [1, 2] {
        owner.offer(ms(41), &catalog, offer(1, run));
    }
    assert_eq!(granted(&owner.poll(ms(41))), [1]);
}

/// Guards against slots that stay taken after a lost release, and against a new owner that doesn't
/// know the runs granted by the previous one.
#[test]
fn the_run_list_of_an_entry_replaces_the_owner_state() {
    let (mut owner, catalog) = owner_without_cold_limit(1, 2);
    for run in [0, 1] {
        owner.offer(ms(1), &catalog, offer(7, run));
    }
    owner.poll(ms(1));
    owner.sync_runs(ms(1000), 7, &[]);
    for run in [2, 3] {
        owner.offer(ms(1000), &catalog, offer(7, run));
    }
    assert_eq!(granted(&owner.poll(ms(1000))), [2, 3]);

    let (mut next, catalog) = owner_without_cold_limit(1, 2);
    next.sync_runs(ms(1), 8, &[(5, key("t-0")), (6, key("t-0"))]);
    next.offer(ms(2), &catalog, offer(7, 4));
    assert_eq!(granted(&next.poll(ms(2))), []);
    next.drop_entries(|entry| entry == 8);
    assert_eq!(granted(&next.poll(ms(3))), [4]);
}

fn key(id: &str) -> u64 {
    admit::target_key(&support::target(id, 1))
}

/// A target that can't be reached gets no runs during a backoff, then one run as a probe, and is
/// used normally after it serves.
#[test]
fn unreachable_targets_back_off() {
    let (mut owner, catalog) = owner(1, 4);
    owner.offer(ms(0), &catalog, offer(1, 0));
    owner.poll(ms(0));
    owner.release(
        ms(1),
        RunId { entry: 1, run: 0 },
        &RunReport::of(RunEnd::Unreachable),
    );
    owner.offer(ms(2), &catalog, offer(1, 1));
    assert_eq!(granted(&owner.poll(ms(2))), []);
    assert_eq!(refused(&owner.poll(ms(200))), [(1, Refusal::Busy)]);

    for run in [2, 3] {
        owner.offer(ms(400), &catalog, offer(1, run));
    }
    assert_eq!(granted(&owner.poll(ms(400))), [2]);
    owner.release(
        ms(410),
        RunId { entry: 1, run: 2 },
        &RunReport::of(RunEnd::Served),
    );
    assert_eq!(granted(&owner.poll(ms(410))), [3]);
}

#[test]
fn without_open_targets_an_offer_is_refused_as_no_target() {
    let (mut owner, catalog) = owner(0, 1);
    owner.offer(ms(0), &catalog, offer(1, 0));
    owner.poll(ms(0));

    assert_eq!(refused(&owner.poll(ms(150))), [(0, Refusal::NoTarget)]);
}
