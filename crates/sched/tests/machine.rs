//! Random operations, checked against a simple model of the scheduler's invariants.

mod common;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use common::{add_warm, closed, load, ms, report, secs, spec, work};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use sched::{Config, Descriptor, Event, Permit, RunEnd, RunReport, Scheduler};
use sched::{ShedReason, TargetPhase};

const TARGETS: [&str; 3] = ["a", "b", "c"];
const CAPACITY: u64 = 320;
const COLD_LIMIT: u32 = 2;
/// Fingerprint that several requests share; all others are unique.
const SHARED: u64 = 666;

#[derive(Clone, Copy, Debug)]
enum Op {
    /// Tier, workspace, cost, milliseconds until the deadline, whether the fingerprint is shared.
    Offer(u8, u8, u64, u64, bool),
    Withdraw(usize),
    /// Run, how it ended, token gap in milliseconds.
    Release(usize, RunEnd, u64),
    /// Target, running, cold, start, age in milliseconds; may be older than the last report.
    LoadReport(usize, u32, bool, bool, u64),
    SetSchedulable(usize, bool),
    /// Target, whether its state is lost on the way to its new owner.
    HandOver(usize, bool),
    LeaseInDoubt(bool),
    AdvanceTime(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let rarely = prop::bool::weighted;
    let end = prop_oneof![
        8 => Just(RunEnd::Complete),
        1 => Just(RunEnd::Unused),
        1 => Just(RunEnd::Cancelled),
        1 => Just(RunEnd::Overloaded),
        1 => Just(RunEnd::Reset),
    ];
    let offer = (0..5_u8, 0..4_u8, 1..150_u64, 0..60_000_u64, rarely(0.05));
    let report = (0..3_usize, 0..4_u32, rarely(0.2), rarely(0.1), 0..3_000_u64);
    prop_oneof![
        20 => offer.prop_map(|(a, b, c, d, e)| Op::Offer(a, b, c, d, e)),
        2 => any::<usize>().prop_map(Op::Withdraw),
        14 => (any::<usize>(), end, 20..60_u64).prop_map(|(a, b, c)| Op::Release(a, b, c)),
        2 => report.prop_map(|(a, b, c, d, e)| Op::LoadReport(a, b, c, d, e)),
        1 => (0..3_usize, rarely(0.8)).prop_map(|(a, b)| Op::SetSchedulable(a, b)),
        1 => (0..3_usize, any::<bool>()).prop_map(|(a, b)| Op::HandOver(a, b)),
        1 => rarely(0.3).prop_map(Op::LeaseInDoubt),
        5 => (0..3_000_u64).prop_map(Op::AdvanceTime),
    ]
}

struct Run {
    permit: Permit,
    hard_deadline: Duration,
    /// Whether nothing else may run on its target.
    isolated: bool,
}

struct Machine {
    scheduler: Scheduler,
    now: Duration,
    offered: usize,
    lease_in_doubt: bool,
    /// Percentage of a limit that every tier may use.
    usable: u64,
    waiting: HashMap<String, Descriptor>,
    decided: HashSet<String>,
    /// Runs that have not been released.
    runs: Vec<Run>,
    /// Number of crashes in the last record of the shared fingerprint for other owners.
    crashed: usize,
}

impl Machine {
    fn new(max_reserved_fraction: f64) -> Self {
        let mut scheduler = Scheduler::new(Config {
            max_waiting: 12,
            assumed_run_time: secs(10),
            max_reserved_fraction,
            ..Config::default()
        });
        for target in TARGETS {
            let spec = spec(target, CAPACITY, COLD_LIMIT);
            add_warm(&mut scheduler, Duration::ZERO, &spec);
        }
        Machine {
            scheduler,
            now: Duration::ZERO,
            offered: 0,
            lease_in_doubt: false,
            usable: if max_reserved_fraction > 0.0 { 90 } else { 100 },
            waiting: HashMap::new(),
            decided: HashSet::new(),
            runs: Vec::new(),
            crashed: 0,
        }
    }

    fn apply(&mut self, op: Op) {
        let (scheduler, now) = (&mut self.scheduler, self.now);
        match op {
            Op::Offer(tier, workspace, cost, life, shared) => {
                self.offered += 1;
                let id = format!("r{}", self.offered);
                let mut descriptor = work(&id, tier, &format!("w{workspace}"), cost);
                descriptor.deadline = now + ms(life);
                descriptor.hard_deadline = now + ms(2 * life);
                if shared {
                    descriptor.fingerprint = SHARED;
                }
                self.waiting.insert(id, descriptor.clone());
                scheduler.offer(now, descriptor);
            }
            Op::Withdraw(at) => {
                let id = format!("r{}", at % (self.offered + 1));
                if scheduler.withdraw(now, &id) {
                    assert!(self.waiting.remove(&id).is_some(), "{id} did not wait");
                }
            }
            Op::Release(..) if self.runs.is_empty() => {}
            Op::Release(at, end, gap) => {
                let run = self.runs.swap_remove(at % self.runs.len());
                let measured = RunReport {
                    first_token: Some(ms(10)),
                    token_gap: Some(ms(gap)),
                    ..report(end)
                };
                if at % 2 == 0 {
                    scheduler.release(now, run.permit.id, measured);
                }
                // After a handover only this has an effect; otherwise it may repeat the release.
                scheduler.release_request(now, &run.permit.request, measured);
            }
            Op::LoadReport(target, running, cold, start, age) => {
                let (report, measured) = (load(running, cold, start.into()), ms(age));
                let measured = now.saturating_sub(measured);
                scheduler.load_report_at(now, TARGETS[target], report, measured);
            }
            Op::SetSchedulable(target, open) => {
                let spec = if open { spec } else { closed };
                scheduler.set_target(now, spec(TARGETS[target], CAPACITY, COLD_LIMIT), false);
            }
            Op::HandOver(target, lost) => {
                let spec = spec(TARGETS[target], CAPACITY, COLD_LIMIT);
                let handover = scheduler.hand_over(now, &spec.name).unwrap();
                for run in &mut self.runs {
                    // A handover doesn't include which runs are isolated.
                    run.isolated &= run.permit.target != spec.name;
                }
                if lost {
                    self.runs.retain(|run| run.permit.target != spec.name);
                    scheduler.set_target(now, spec, true);
                } else {
                    scheduler.adopt(now, spec, &handover);
                }
            }
            Op::LeaseInDoubt(lease_in_doubt) => {
                self.lease_in_doubt = lease_in_doubt;
                scheduler.set_lease_in_doubt(lease_in_doubt);
            }
            Op::AdvanceTime(millis) => self.now += ms(millis),
        }
        let shared = |suspect: &sched::Suspect| suspect.fingerprint == SHARED;
        if let Some(suspect) = self
            .scheduler
            .take_changed_suspects()
            .into_iter()
            .find(shared)
        {
            self.crashed = suspect.crashed.len();
        }
    }

    /// Polls and checks the events and the state; called after each operation.
    fn check(&mut self) {
        let isolated: HashSet<_> = TARGETS
            .into_iter()
            .filter(|name| self.has_isolated_run(name))
            .collect();
        let mut granted: HashMap<String, (u32, u64)> = HashMap::new();
        for event in self.scheduler.poll(self.now) {
            let (Event::Granted(Permit { request: id, .. }) | Event::Shed { id, .. }) = &event;
            let own = self.waiting.remove(&**id);
            let own = own.unwrap_or_else(|| panic!("{id} does not wait"));
            assert!(
                self.decided.insert(id.to_string()),
                "{id} was decided twice"
            );
            match event {
                Event::Granted(permit) => {
                    let sum = granted.entry(permit.target.to_string()).or_default();
                    *sum = (sum.0 + 1, sum.1 + own.cost);
                    let crashed = if own.fingerprint == SHARED {
                        self.crashed
                    } else {
                        0
                    };
                    assert!(crashed < 2, "{own:?} should be refused");
                    assert!(
                        !isolated.contains(&*permit.target),
                        "granted beside a suspect"
                    );
                    self.runs.push(Run {
                        hard_deadline: own.hard_deadline.max(permit.expires),
                        permit,
                        isolated: crashed == 1,
                    });
                }
                Event::Shed {
                    reason: ShedReason::QueueFull | ShedReason::Evicted,
                    ..
                } => {
                    let lower = self.waiting.values().any(|other| other.tier > own.tier);
                    assert!(!lower, "{own:?} was shed while a lower tier waits");
                }
                Event::Shed { .. } => {}
            }
        }
        for (name, (count, cost)) in granted {
            let (running, tokens) = self.scheduler.in_flight(&name).unwrap();
            let limit = self.scheduler.limit(&name).unwrap();
            let oversized = count == 1 && running == 1 && tokens == cost;
            assert!(tokens <= limit || oversized, "{name}: {tokens} of {limit}");
            assert!(
                !self.has_isolated_run(&name) || running == 1,
                "a suspect beside others"
            );
            match self.scheduler.phase(&name).unwrap() {
                TargetPhase::Cold => {
                    assert!(running <= COLD_LIMIT, "{name} is cold and runs {running}");
                    assert!(
                        !self.lease_in_doubt,
                        "{name} is cold and the lease is in doubt"
                    );
                }
                TargetPhase::Warming | TargetPhase::Serving => {}
                TargetPhase::Draining | TargetPhase::Out => panic!("{name} is closed"),
            }
        }
        self.check_work_conservation();
    }

    fn has_isolated_run(&self, name: &str) -> bool {
        let mut runs = self.runs.iter();
        runs.any(|run| run.isolated && &*run.permit.target == name && run.hard_deadline > self.now)
    }

    /// Checks that no warm target has room for each waiting request of the highest tier.
    fn check_work_conservation(&self) {
        let limit = |name| self.scheduler.limit(name).unwrap() * self.usable / 100;
        // A target may be reserved to become empty for a request that needs an empty target.
        let highest = TARGETS.into_iter().map(limit).max().unwrap();
        let needs_empty_target = |own: &Descriptor| own.fingerprint == SHARED || own.cost > highest;
        let Some(tier) = self.waiting.values().map(|own| own.tier).min() else {
            return;
        };
        if self.waiting.values().any(needs_empty_target) {
            return;
        }
        let heads = self.waiting.values().filter(|own| own.tier == tier);
        let largest = heads.map(|own| own.cost).max().unwrap();
        for name in TARGETS {
            let phase = self.scheduler.phase(name);
            let (running, tokens) = self.scheduler.in_flight(name).unwrap();
            let room = running == 0 || tokens + largest <= limit(name);
            let warm = matches!(phase, Some(TargetPhase::Warming | TargetPhase::Serving));
            assert!(
                !warm || !room || self.has_isolated_run(name),
                "{name} has room for tier {tier}"
            );
        }
    }
}

fn run<S: Strategy>(cases: u32, operations: &S, test: impl Fn(S::Value)) {
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    let result = runner.run(operations, |operations| {
        test(operations);
        Ok(())
    });
    result.unwrap();
}

/// Guards against sequences of events that break an invariant of the scheduler.
#[test]
fn random_operations_preserve_invariants() {
    let operations = prop::collection::vec(op(), 1..250);
    for max_reserved_fraction in [0.0, 0.1] {
        run(150, &operations, |operations| {
            let mut machine = Machine::new(max_reserved_fraction);
            for op in operations {
                machine.apply(op);
                machine.check();
            }
        });
    }
}

/// Guards against a workspace that gets more than its fair share with many or with large requests.
#[test]
fn backlogged_workspaces_share_by_cost() {
    let costs = |largest| prop::collection::vec(1..=largest, 200);
    run(30, &(costs(100_u64), costs(10)), |costs| {
        let mut scheduler = common::warm(&["a"], 100);
        let first = common::run(&mut scheduler, Duration::ZERO, work("first", 0, "w", 100));
        for (number, (large, small)) in costs.0.into_iter().zip(costs.1).enumerate() {
            for (workspace, cost) in [("large", large), ("small", small)] {
                for copy in 0..(200 / cost) {
                    let id = format!("{workspace}-{cost}-{number}-{copy}");
                    scheduler.offer(Duration::ZERO, work(&id, 1, workspace, cost));
                }
            }
        }
        scheduler.release(Duration::ZERO, first.id, report(RunEnd::Complete));
        let mut served: HashMap<String, i64> = HashMap::new();
        for _ in 0..300 {
            for permit in common::grants(&scheduler.poll(Duration::ZERO)) {
                let mut parts = permit.request.split('-');
                let workspace = parts.next().unwrap().to_owned();
                *served.entry(workspace).or_default() +=
                    parts.next().unwrap().parse::<i64>().unwrap();
                scheduler.release(Duration::ZERO, permit.id, report(RunEnd::Complete));
                let of = |workspace| served.get(workspace).copied().unwrap_or(0);
                // Deficit round robin bounds the difference by one quantum plus the largest cost.
                assert!((of("large") - of("small")).abs() <= 200, "{served:?}");
            }
        }
        assert!(served["small"] > 1_000, "{served:?}");
    });
}
