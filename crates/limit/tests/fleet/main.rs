//! Checks the strict bound on a workspace's tokens under random faults.

mod model;

use model::{Fleet, LIMIT, Op, Reach, scaled};
use proptest::prelude::*;
use proptest::test_runner::{FileFailurePersistence, RngSeed};

/// Uses a fixed seed, so that each run has the same cases; failures are stored in the repository.
fn config(cases: u32, seed: u64) -> ProptestConfig {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fleet/regressions.txt");
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: Some(Box::new(FileFailurePersistence::Direct(path))),
        ..ProptestConfig::default()
    }
}

fn reach() -> impl Strategy<Value = Reach> {
    prop_oneof![Just(Reach::All), Just(Reach::Peers), Just(Reach::Nothing)]
}

/// Random operations, in which settlements use at most `quarters` quarters of a reservation.
fn ops(quarters: u64) -> impl Strategy<Value = Vec<Op>> {
    let (vm, index) = (0..9_usize, 0..64_usize);
    let op = prop_oneof![
        12 => (1..1_500_u64).prop_map(Op::AdvanceTime),
        12 => (vm.clone(), 1..=5_u64).prop_map(|(v, q)| Op::Reserve(v, q)),
        3 => Just(Op::ReserveAll),
        10 => (index.clone(), 0..=quarters).prop_map(|(i, q)| Op::Settle(i, q)),
        2 => (0..=quarters).prop_map(Op::SettleAll),
        8 => (vm.clone(), vm.clone(), 1..200_u64).prop_map(|(v, w, t)| Op::Ask(v, w, t)),
        2 => vm.clone().prop_map(Op::Balance),
        1 => (vm.clone(), vm.clone()).prop_map(|(v, w)| Op::GiveAll(v, w)),
        8 => index.clone().prop_map(Op::Deliver),
        8 => Just(Op::Flush),
        3 => index.clone().prop_map(Op::Duplicate),
        2 => index.prop_map(Op::Drop),
        3 => vm.clone().prop_map(Op::RetryMoves),
        1 => vm.clone().prop_map(Op::Crash),
        3 => vm.clone().prop_map(Op::Start),
        3 => (vm.clone(), any::<bool>()).prop_map(|(v, p)| Op::Pause(v, p)),
        2 => (vm.clone(), reach()).prop_map(|(v, r)| Op::SetReach(v, r)),
        1 => vm.prop_map(Op::ToggleListed),
    ];
    prop::collection::vec(op, 1..300)
}

/// Checks that no part has two holders that may spend it.
fn check(fleet: &mut Fleet, step: usize) -> Result<(), TestCaseError> {
    for (number, holders) in fleet.holders_that_may_spend().iter().enumerate() {
        let one = holders.len() <= 1;
        prop_assert!(
            one,
            "part {number} is spent by {holders:?} after step {step}"
        );
    }
    Ok(())
}

fn run(vms: usize, ops: &[Op]) -> Result<Fleet, TestCaseError> {
    let mut fleet = Fleet::start(vms);
    for (i, op) in ops.iter().enumerate() {
        fleet.step(op);
        check(&mut fleet, i)?;
    }
    Ok(fleet)
}

proptest! {
    #![proptest_config(config(400, 7))]

    /// Guards against tokens that are created by a move, a refund, a restart or a stale holder,
    /// and against parts that remain lost or in transit after all faults are repaired.
    #[test]
    fn spending_never_exceeds_rate_and_burst(vms in 3..=9_usize, ops in ops(4)) {
        let mut fleet = run(vms, &ops)?;
        let (excess, _) = fleet.excess();
        prop_assert!(excess <= scaled(LIMIT.burst), "used {excess} above the rate");

        for second in 1..=90 {
            fleet.repair(1);
            check(&mut fleet, ops.len() + second)?;
        }
        let holders = fleet.holders_that_may_spend();
        prop_assert!(holders.iter().all(|h| h.len() == 1), "holders {holders:?}");
        let (excess, _) = fleet.excess();
        prop_assert!(excess <= scaled(LIMIT.burst), "used {excess} above the rate");
    }

    /// Guards against usage beyond a reservation that isn't charged to later accrual.
    #[test]
    fn accrual_pays_debt(vms in 3..=9_usize, ops in ops(6)) {
        let mut fleet = run(vms, &ops)?;
        let (_, excess) = fleet.excess();
        let allowed = scaled(LIMIT.burst) + fleet.debt();
        prop_assert!(excess <= allowed, "used {excess} above the rate, allowed {allowed}");
    }
}
