//! Random operations against a simple oracle.

mod common;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use common::{add_warm, closed, ms, report, secs, spec, work};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use sched::{
    Config, Event, LoadReport, Permit, RunEnd, RunReport, Scheduler, ShedReason, TargetPhase,
};

const TARGETS: [&str; 3] = ["a", "b", "c"];
const CAPACITY: u64 = 320;
const COLD_LIMIT: u32 = 2;

#[derive(Clone, Copy, Debug)]
enum Op {
    Offer {
        tier: u8,
        workspace: u8,
        cost: u64,
        life: u64,
        crashes: bool,
    },
    Withdraw(usize),
    Release {
        run: usize,
        end: RunEnd,
        gap: u64,
    },
    /// A report measured up to 3 s ago, possibly older than the last.
    Report {
        target: usize,
        running: u32,
        cold: bool,
        start: u64,
        age: u64,
    },
    Zone {
        target: usize,
        open: bool,
    },
    GiveUp {
        target: usize,
        lost: bool,
    },
    Doubt(bool),
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let end = prop_oneof![
        8 => Just(RunEnd::Complete),
        1 => Just(RunEnd::Unused),
        1 => Just(RunEnd::Cancelled),
        1 => Just(RunEnd::Overloaded),
        1 => Just(RunEnd::Reset),
    ];
    prop_oneof![
        20 => (0..6_u8, 0..4_u8, 1..150_u64, 0..60_000_u64, prop::bool::weighted(0.05)).prop_map(
            |(tier, workspace, cost, life, crashes)| Op::Offer { tier, workspace, cost, life, crashes }),
        2 => any::<usize>().prop_map(Op::Withdraw),
        14 => (any::<usize>(), end, 20..60_u64).prop_map(
            |(run, end, gap)| Op::Release { run, end, gap }),
        2 => (0..3_usize, 0..4_u32, prop::bool::weighted(0.2), prop::bool::weighted(0.1), 0..3_000_u64).prop_map(
            |(target, running, cold, start, age)| Op::Report { target, running, cold, start: start.into(), age }),
        1 => (0..3_usize, prop::bool::weighted(0.8)).prop_map(|(target, open)| Op::Zone { target, open }),
        1 => (0..3_usize, any::<bool>()).prop_map(|(target, lost)| Op::GiveUp { target, lost }),
        1 => prop::bool::weighted(0.3).prop_map(Op::Doubt),
        5 => (0..3_000_u64).prop_map(Op::Wait),
    ]
}

struct Waiting {
    tier: u8,
    cost: u64,
    suspect: bool,
}

struct Machine {
    scheduler: Scheduler,
    now: Duration,
    offered: usize,
    in_doubt: bool,
    waiting: HashMap<String, Waiting>,
    decided: HashSet<String>,
    /// Permits not released yet, and whether their request crashes targets.
    runs: Vec<(Permit, bool)>,
}

impl Machine {
    fn new() -> Self {
        let scheduler = Scheduler::new(Config {
            max_waiting: 12,
            assumed_run: secs(10),
            ..Config::default()
        });
        let mut machine = Machine {
            scheduler,
            now: Duration::ZERO,
            offered: 0,
            in_doubt: false,
            waiting: HashMap::new(),
            decided: HashSet::new(),
            runs: Vec::new(),
        };
        for target in TARGETS {
            add_warm(
                &mut machine.scheduler,
                machine.now,
                &spec(target, CAPACITY, COLD_LIMIT),
            );
        }
        machine
    }

    fn apply(&mut self, op: Op) {
        let (scheduler, now) = (&mut self.scheduler, self.now);
        match op {
            Op::Offer {
                tier,
                workspace,
                cost,
                life,
                crashes,
            } => {
                self.offered += 1;
                let id = format!("r{}", self.offered);
                let mut descriptor = work(&id, tier, &format!("w{workspace}"), cost);
                descriptor.deadline = now + ms(life);
                descriptor.hard_deadline = now + ms(2 * life);
                if crashes {
                    descriptor.fingerprint = 666;
                }
                self.waiting.insert(
                    id,
                    Waiting {
                        tier,
                        cost,
                        suspect: crashes,
                    },
                );
                scheduler.offer(now, descriptor);
            }
            Op::Withdraw(at) => {
                let id = format!("r{}", at % (self.offered + 1));
                // A shed that was decided before still comes as an event.
                if scheduler.withdraw(now, &id) {
                    assert!(self.waiting.remove(&id).is_some(), "{id} did not wait");
                }
            }
            Op::Release { run, end, gap } if !self.runs.is_empty() => {
                let at = run % self.runs.len();
                let (permit, _) = self.runs.swap_remove(at);
                let report = RunReport {
                    end,
                    tokens: 10,
                    first_token: Some(ms(10)),
                    token_gap: Some(ms(gap)),
                };
                if run % 2 == 0 {
                    scheduler.release(now, permit.id, report);
                }
                // The only way after a hand-over, and a second release otherwise.
                scheduler.release_request(now, &permit.request, report);
            }
            Op::Report {
                target,
                running,
                cold,
                start,
                age,
            } => {
                let report = LoadReport {
                    running,
                    tokens: 0,
                    cold,
                    start,
                };
                scheduler.load_report_at(now, TARGETS[target], report, now.saturating_sub(ms(age)));
            }
            Op::Zone { target, open: true } => {
                scheduler.set_target(now, spec(TARGETS[target], CAPACITY, COLD_LIMIT), false);
            }
            Op::Zone {
                target,
                open: false,
            } => {
                scheduler.set_target(now, closed(TARGETS[target], CAPACITY, COLD_LIMIT), false);
            }
            Op::GiveUp { target, lost } => {
                let name = TARGETS[target];
                let handover = scheduler.give_up(now, name).unwrap();
                let own = self
                    .runs
                    .iter()
                    .filter(|(permit, _)| &*permit.target == name);
                assert!(handover.in_flight.len() <= own.count());
                if lost {
                    self.runs.retain(|(permit, _)| &*permit.target != name);
                    scheduler.set_target(now, spec(name, CAPACITY, COLD_LIMIT), true);
                } else {
                    scheduler.adopt(now, spec(name, CAPACITY, COLD_LIMIT), &handover);
                }
            }
            Op::Doubt(in_doubt) => {
                self.in_doubt = in_doubt;
                scheduler.set_in_doubt(in_doubt);
            }
            Op::Wait(millis) => self.now += ms(millis),
            Op::Release { .. } => {}
        }
    }

    /// Polls, and checks the events and the state after each operation.
    fn check(&mut self) {
        let before: HashMap<_, _> = TARGETS
            .map(|name| (name, self.scheduler.in_flight(name).unwrap()))
            .into();
        let events = self.scheduler.poll(self.now);
        let mut granted: HashMap<String, (u32, u64)> = HashMap::new();
        for event in events {
            let (Event::Granted(Permit { request: id, .. }) | Event::Shed { id, .. }) = &event;
            let own = self
                .waiting
                .remove(&**id)
                .unwrap_or_else(|| panic!("{id} does not wait"));
            assert!(
                self.decided.insert(id.to_string()),
                "{id} was decided twice"
            );
            match event {
                Event::Granted(permit) => {
                    let granted = granted.entry(permit.target.to_string()).or_default();
                    *granted = (granted.0 + 1, granted.1 + own.cost);
                    self.runs.push((permit, own.suspect));
                }
                Event::Shed {
                    reason: ShedReason::QueueFull | ShedReason::Evicted,
                    ..
                } => {
                    let lower = self
                        .waiting
                        .values()
                        .any(|other| other.tier.min(4) > own.tier);
                    assert!(
                        !lower,
                        "{own_tier} shed while a lower tier waits",
                        own_tier = own.tier
                    );
                }
                Event::Shed { .. } => {}
            }
        }
        for name in TARGETS {
            let (running, tokens) = self.scheduler.in_flight(name).unwrap();
            let Some(&(new, cost)) = granted.get(name) else {
                continue;
            };
            let limit = self.scheduler.limit(name).unwrap();
            assert!(
                tokens <= limit || (new == 1 && tokens == cost),
                "{name}: {tokens} of {limit}"
            );
            match self.scheduler.phase(name) {
                Some(TargetPhase::Cold) => {
                    assert!(
                        running <= COLD_LIMIT && !self.in_doubt,
                        "{name}: {before:?}"
                    );
                }
                Some(TargetPhase::Draining | TargetPhase::Out) | None => panic!("{name} is closed"),
                Some(TargetPhase::Warming | TargetPhase::Serving) => {}
            }
        }
        self.check_work_conservation();
    }

    /// If all that wait in the highest tier fit on a warm target, one of them has to be granted.
    fn check_work_conservation(&self) {
        if self.waiting.values().any(|own| own.suspect) {
            return;
        }
        let Some(tier) = self.waiting.values().map(|own| own.tier.min(4)).min() else {
            return;
        };
        let heads = self.waiting.values().filter(|own| own.tier.min(4) == tier);
        let largest = heads.map(|own| own.cost).max().unwrap_or(0);
        let limit = |name| self.scheduler.limit(name).unwrap();
        if self
            .waiting
            .values()
            .any(|own| TARGETS.iter().all(|name| limit(name) < own.cost))
        {
            return; // A target may be left to run empty.
        }
        for name in TARGETS {
            let phase = self.scheduler.phase(name);
            let (running, tokens) = self.scheduler.in_flight(name).unwrap();
            let mut runs = self.runs.iter();
            let alone = runs.any(|(permit, suspect)| *suspect && &*permit.target == name);
            if matches!(phase, Some(TargetPhase::Warming | TargetPhase::Serving)) && !alone {
                let room = running == 0 || tokens + largest <= limit(name);
                assert!(
                    !room,
                    "{name} has room for tier {tier}: {tokens} of {}",
                    limit(name)
                );
            }
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

/// Guards against any order of events that breaks a rule of the scheduler.
#[test]
fn random_operations_keep_the_rules() {
    run(300, &prop::collection::vec(op(), 1..250), |operations| {
        let mut machine = Machine::new();
        for op in operations {
            machine.apply(op);
            machine.check();
        }
    });
}

/// Guards against a workspace that gets more than its share by many or by large requests.
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
                // Deficit round robin bounds the difference by a quantum and the largest cost.
                assert!((of("large") - of("small")).abs() <= 200, "{served:?}");
            }
        }
        assert!(served["small"] > 1_000, "{served:?}");
    });
}
