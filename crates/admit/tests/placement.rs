//! Placement with implausible loads, estimates and reports.

mod support;

use std::time::Duration;

use admit::{
    Catalog, Decision, Offer, Owner, RunEnd, RunId, RunReport, StartReport, TargetLoad,
    TokenCounts, target_key,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{listing_without_cold_limit, ms, offer, settings, target};

const TARGETS: usize = 2;
const SLOTS: u32 = 2;

fn owner() -> (Owner, Catalog) {
    let mut catalog = Catalog::new(Duration::from_secs(2));
    let listing = listing_without_cold_limit(TARGETS, SLOTS);
    catalog.apply_listing(Duration::ZERO, listing);
    let mut owner = Owner::new(Duration::ZERO, settings([127, 0, 0, 1].into()));
    owner.apply_catalog(Duration::ZERO, &catalog);
    (owner, catalog)
}

fn id(run: u64) -> RunId {
    RunId { entry: 1, run }
}

fn granted(owner: &mut Owner, now: Duration) -> Vec<u64> {
    let grants = owner
        .poll(now)
        .into_iter()
        .filter_map(|decision| match decision {
            Decision::Grant { id, .. } => Some(id.run),
            Decision::Refuse { .. } => None,
        });
    grants.collect()
}

fn stream_offer(run: u64, prompt_tokens: u32, expected_output: Option<u32>) -> Offer {
    let mut offer = offer(1, run);
    offer.token_counts = Some(TokenCounts {
        prompt_tokens,
        output_tokens: 10,
    });
    offer.expected_output = expected_output;
    offer.max_pause = Some(ms(500));
    offer
}

fn load(running: u32, slowdown_percent: Option<u32>) -> TargetLoad {
    TargetLoad {
        running,
        waiting: 0,
        slowdown_percent,
    }
}

fn start_report(load: Option<TargetLoad>) -> StartReport {
    StartReport {
        first_event: ms(50),
        load,
    }
}

fn end_report(load: Option<TargetLoad>) -> RunReport {
    RunReport {
        time_per_unit: Some(ms(20)),
        longest_pause: Some(ms(25)),
        events: Some(5),
        load,
        ..RunReport::of(RunEnd::Served)
    }
}

/// Serves runs of 100 ms one after the other, so that the owner knows the speed of the targets.
fn teach(owner: &mut Owner, catalog: &Catalog) {
    for run in 0..40 {
        let now = ms(2000 + run * 100);
        owner.offer(now, catalog, stream_offer(run, 4000, Some(20)));
        assert_eq!(granted(owner, now), [run]);
        owner.start(
            now + ms(50),
            id(run),
            &start_report(Some(load(1, Some(100)))),
        );
        owner.release(
            now + ms(100),
            id(run),
            &end_report(Some(load(1, Some(100)))),
        );
    }
}

/// Checks that nothing is counted as running, and that usual requests get all slots.
fn check_all_slots_are_free(owner: &mut Owner, catalog: &Catalog, now: Duration, row: &str) {
    assert_eq!(owner.running_totals(), (0, 0), "{row}");
    let slots = u64::from(SLOTS) * u64::try_from(TARGETS).expect("a small number");
    let mut runs = Vec::new();
    for run in 9000..9000 + slots {
        owner.offer(now, catalog, stream_offer(run, 100, Some(20)));
        runs.extend(granted(owner, now));
    }
    assert_eq!(
        runs.len(),
        usize::try_from(slots).expect("a small number"),
        "{row}"
    );
    for run in runs {
        owner.release(now + ms(50), id(run), &RunReport::of(RunEnd::Unused));
    }
    assert_eq!(owner.running_totals(), (0, 0), "{row}");
}

/// Guards against requests that are refused, or held, beside free slots because no target is expected
/// to serve them within their bounds. Estimates may be wrong, and such a request would be refused each
/// time it comes back.
#[test]
fn requests_that_no_target_serves_in_time_take_free_slots() {
    let long_output = stream_offer(100, 4000, Some(100_000));
    let long_prompt = stream_offer(100, 400_000, Some(20));
    let mut short_pause = stream_offer(100, 4000, Some(20));
    short_pause.max_pause = Some(ms(1));
    let rows = [
        ("long output", long_output),
        ("long prompt", long_prompt),
        ("short pause", short_pause),
    ];
    for (row, offer) in rows {
        let (mut owner, catalog) = owner();
        teach(&mut owner, &catalog);
        // Each target has a stream that the request can delay.
        for run in [50, 51] {
            owner.offer(ms(7000), &catalog, stream_offer(run, 100, Some(20)));
            assert_eq!(granted(&mut owner, ms(7000)), [run], "{row}");
        }

        owner.offer(ms(7001), &catalog, offer);

        assert_eq!(granted(&mut owner, ms(7001)), [100], "{row}");
    }
}

/// Guards against a reported load that makes an owner panic, or that takes a target out of use for
/// longer than reports are believed.
#[test]
fn implausible_loads() {
    let loads = [0, 1, 5000, u32::MAX].map(|percent| load(1, Some(percent)));
    for load in loads
        .into_iter()
        .chain([load(u32::MAX, None), load(0, None)])
    {
        for waiting in [0, u32::MAX] {
            let load = TargetLoad { waiting, ..load };
            let (mut owner, catalog) = owner();
            teach(&mut owner, &catalog);
            for run in 100..104 {
                owner.offer(ms(7000), &catalog, stream_offer(run, 4000, Some(20)));
            }
            for run in granted(&mut owner, ms(7000)) {
                owner.start(ms(7050), id(run), &start_report(Some(load)));
                owner.release(ms(7100), id(run), &end_report(Some(load)));
            }
            for run in granted(&mut owner, ms(7300)) {
                owner.release(ms(7310), id(run), &RunReport::of(RunEnd::Unused));
            }

            // Loads of other owners and slowdowns count for at most 500 ms.
            check_all_slots_are_free(&mut owner, &catalog, ms(8000), &format!("{load:?}"));
        }
    }
}

/// Guards against sizes of a request that make an owner panic, lose a slot, or hold back others.
#[test]
fn implausible_sizes() {
    for (prompt, output) in [
        (100, Some(0)),
        (100, Some(u32::MAX)),
        (u32::MAX, Some(20)),
        (u32::MAX, Some(u32::MAX)),
        (0, None),
    ] {
        let row = format!("prompt {prompt}, output {output:?}");
        let (mut owner, catalog) = owner();
        teach(&mut owner, &catalog);
        let mut runs = Vec::new();
        for run in 100..108 {
            owner.offer(ms(7000), &catalog, stream_offer(run, prompt, output));
        }
        for at in (7000..7400).step_by(10) {
            runs.extend(granted(&mut owner, ms(at)));
        }
        for (at, &run) in runs.iter().enumerate() {
            if at % 2 == 0 {
                owner.start(ms(7450), id(run), &start_report(None));
            }
            owner.release(ms(7500), id(run), &end_report(None));
        }
        assert!(!owner.has_queued(), "{row}");
        check_all_slots_are_free(&mut owner, &catalog, ms(8000), &row);
    }
}

/// Guards against implausible sizes on targets whose speed is not known, where all of them are sent.
#[test]
fn implausible_sizes_at_unknown_targets() {
    let (mut owner, catalog) = owner();
    for run in 0..4 {
        owner.offer(
            ms(2000),
            &catalog,
            stream_offer(run, u32::MAX, Some(u32::MAX)),
        );
    }
    let runs = granted(&mut owner, ms(2000));
    assert_eq!(runs.len(), 4);
    for run in runs {
        owner.release(ms(2100), id(run), &end_report(None));
    }
    check_all_slots_are_free(&mut owner, &catalog, ms(3000), "unknown targets");
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Start,
    End,
    Withdraw,
}

/// Guards against reports that are duplicated, late or out of order and free a slot twice, or never.
#[test]
fn reports_out_of_order() {
    use Step::{End, Start, Withdraw};
    let rows: [&[(u64, Step)]; 8] = [
        &[(999, Start), (100, Start), (100, End)],
        &[(999, End), (999, Withdraw), (100, End)],
        &[(100, Start), (100, Start), (100, End)],
        &[(100, End), (100, Start)],
        &[(100, Start), (100, End), (100, Start), (100, End)],
        &[(100, End), (100, End), (101, Start)],
        &[(100, Withdraw), (100, Start), (100, End)],
        &[(101, Start), (100, End), (100, Withdraw), (101, Start)],
    ];
    for steps in rows {
        let (mut owner, catalog) = owner();
        teach(&mut owner, &catalog);
        for run in [100, 101] {
            owner.offer(ms(7000), &catalog, stream_offer(run, 4000, Some(20)));
        }
        assert_eq!(granted(&mut owner, ms(7000)).len(), 2, "{steps:?}");
        for &(run, step) in steps {
            match step {
                Start => owner.start(ms(7050), id(run), &start_report(None)),
                End => owner.release(ms(7100), id(run), &end_report(None)),
                Withdraw => owner.withdraw(ms(7100), id(run)),
            }
        }
        assert_eq!(owner.running_totals().0, 1, "{steps:?}");
        owner.release(ms(7200), id(101), &end_report(None));
        check_all_slots_are_free(&mut owner, &catalog, ms(8000), &format!("{steps:?}"));
    }
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Offer(u64, u32),
    Start(u64),
    Release(u64),
    Withdraw(u64),
    /// The entry lists these runs, as bits, at one of the targets.
    Sync(u64, u16, usize),
    Drop(u64),
    Relist(u64),
}

/// Entries 1 and 2 with 12 runs each.
const RUNS: u64 = 12;

fn op() -> impl Strategy<Value = Op> {
    let run = 0..2 * RUNS;
    prop_oneof![
        4 => (run.clone(), prop_oneof![0u32..20_000, Just(u32::MAX)])
            .prop_map(|(run, prompt)| Op::Offer(run, prompt)),
        3 => run.clone().prop_map(Op::Start),
        3 => run.clone().prop_map(Op::Release),
        1 => run.prop_map(Op::Withdraw),
        1 => (1u64..3, any::<u16>(), 0..TARGETS).prop_map(|(e, runs, at)| Op::Sync(e, runs, at)),
        1 => (1u64..3).prop_map(Op::Drop),
        1 => (1u64..3).prop_map(Op::Relist),
    ]
}

fn run_id(run: u64) -> RunId {
    RunId {
        entry: 1 + run / RUNS,
        run: run % RUNS,
    }
}

/// Counts of an owner after these operations and the ends of all runs.
fn totals_after(ops: &[(Op, u64)], lists_queued: bool) -> (u64, u64) {
    let (mut owner, catalog) = owner();
    let mut now = ms(2000);
    for &(op, pause) in ops {
        now += ms(pause);
        match op {
            Op::Offer(run, prompt) => {
                let mut offer = stream_offer(0, prompt, Some(20));
                offer.id = run_id(run);
                owner.offer(now, &catalog, offer);
            }
            Op::Start(run) => {
                owner.start(now, run_id(run), &start_report(Some(load(1, Some(100)))));
            }
            Op::Release(run) => owner.release(now, run_id(run), &end_report(None)),
            Op::Withdraw(run) => owner.withdraw(now, run_id(run)),
            Op::Sync(entry, runs, at) => {
                let key = target_key(&target(&format!("t-{at}"), SLOTS));
                let runs = (0..RUNS).filter(|run| runs >> run & 1 == 1);
                let runs =
                    runs.filter(|&run| lists_queued || !owner.is_queued(RunId { entry, run }));
                let listed: Vec<_> = runs.map(|run| (run, key)).collect();
                owner.sync_runs(now, entry, &listed);
            }
            Op::Drop(entry) => owner.drop_entries(|ended| ended == entry),
            Op::Relist(entry) => owner.sync_runs(now, entry, &[]),
        }
        owner.poll(now);
        owner.remove_stale(now);
    }
    for run in 0..2 * RUNS {
        // The first call ends a queued offer or a run, the second one a run that was queued as well.
        owner.withdraw(now, run_id(run));
        owner.release(now, run_id(run), &end_report(None));
    }
    assert!(!owner.has_queued());
    owner.running_totals()
}

fn ops() -> impl Strategy<Value = Vec<(Op, u64)>> {
    prop::collection::vec((op(), 0u64..300), 1..80)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Guards against an order of reports and lists that leaves slots taken, or unread prompt tokens
    /// counted, after all runs have ended.
    #[test]
    fn nothing_is_counted_when_all_runs_have_ended(ops in ops()) {
        prop_assert_eq!(totals_after(&ops, true), (0, 0));
    }

    /// The same with entries that don't list runs whose offers are still queued.
    #[test]
    fn nothing_is_counted_when_no_queued_run_was_listed(ops in ops()) {
        prop_assert_eq!(totals_after(&ops, false), (0, 0));
    }
}

/// Guards against offers that are refused beside free slots because others arrived at the same moment.
#[test]
fn offers_that_arrive_together_get_the_free_slots() {
    let (mut owner, catalog) = owner();
    teach(&mut owner, &catalog);

    for run in 100..104 {
        owner.offer(ms(8000), &catalog, stream_offer(run, 100, Some(20)));
    }

    assert_eq!(granted(&mut owner, ms(8000)), [100, 101, 102, 103]);
}
