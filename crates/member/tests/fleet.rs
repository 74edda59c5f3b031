//! Ownership in a fleet with faults.

mod world;

use std::str::FromStr;
use std::time::Duration;

use member::VmState;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use world::{Op, VMS, World};

fn op() -> impl Strategy<Value = Op> {
    let vm = || 0..VMS;
    let cut = || prop::bool::weighted(0.6);
    let state = prop_oneof![
        Just(None),
        Just(Some(VmState::Live)),
        Just(Some(VmState::Leaving)),
    ];
    prop_oneof![
        4 => (250..3_000_u64).prop_map(Op::Run),
        3 => (3_000..45_000_u64).prop_map(Op::Run),
        5 => (1..VMS, state).prop_map(|(vm, state)| Op::List { vm, state }),
        2 => (vm(), any::<bool>()).prop_map(|(vm, silent)| Op::Kill { vm, silent }),
        2 => vm().prop_map(Op::Boot),
        2 => (vm(), vm(), cut()).prop_map(|(vm, with, cut)| Op::Cut { vm, with, cut }),
        1 => (vm(), cut()).prop_map(|(vm, cut)| Op::Isolate { vm, cut }),
        1 => (vm(), cut()).prop_map(|(vm, cut)| Op::CutPlatform { vm, cut }),
        3 => (vm(), cut()).prop_map(|(vm, cut)| Op::Strand { vm, cut }),
        1 => prop::bool::weighted(0.3).prop_map(Op::PlatformDown),
        2 => (vm(), 500..60_000_u64).prop_map(|(vm, millis)| Op::Pause { vm, millis }),
        3 => (vm(), 0..=10_u64).prop_map(|(vm, secs)| Op::Lag { vm, secs }),
        1 => (1..2_000_u64, 0..40_u64, 0..40_u64)
            .prop_map(|(delay, loss, duplicates)| Op::Network { delay, loss, duplicates }),
    ]
}

/// A setting of the test, which a longer run may change.
fn number<T: FromStr>(name: &str, fixed: T) -> T {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(fixed)
}

proptest! {
    #![proptest_config(Config {
        cases: number("MEMBER_CASES", 96),
        rng_seed: RngSeed::Fixed(number("MEMBER_SEED", 0x5eed)),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against two owners that may grant to a cold target at the same time, and against a
    /// target that stays without an owner after the faults ended.
    #[test]
    fn one_owner_under_faults(seed: u64, ops in prop::collection::vec(op(), 1..60)) {
        let mut world = World::new(seed);
        for op in &ops {
            world.apply(op).map_err(TestCaseError::fail)?;
        }

        world.heal();
        world.run(Duration::from_mins(1)).map_err(TestCaseError::fail)?;

        world.check_settled().map_err(TestCaseError::fail)?;
    }
}

/// Guards against a first start of a fleet that waits the hold-down.
#[test]
fn first_start_takes_seconds() {
    let mut world = World::new(1);

    world.run(Duration::from_secs(5)).unwrap();

    world.check_settled().unwrap();
}
