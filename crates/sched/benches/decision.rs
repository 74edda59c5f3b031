//! Cost of one decision (offer, release, poll) while many descriptors wait.

use std::collections::VecDeque;
use std::hint::black_box;
use std::time::Duration;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use sched::{
    Config, Descriptor, Event, PermitId, RunEnd, RunReport, Scheduler, TargetPhase, TargetSpec,
};

const TIERS: u64 = 5;
const WORKSPACES: u64 = 2_700;
const TARGETS: u64 = 16;
const REPORT: RunReport = RunReport {
    end: RunEnd::Complete,
    tokens: 100,
    first_token: Some(Duration::from_millis(100)),
    token_gap: Some(Duration::from_millis(20)),
};

fn descriptor(number: u64) -> Descriptor {
    // Decorrelates tier and workspace of consecutive numbers.
    let mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
    Descriptor {
        id: format!("vm-{number}").into(),
        tier: u8::try_from(mixed % TIERS).expect("a small number"),
        workspace: format!("workspace-{}", (mixed >> 8) % WORKSPACES).into(),
        cost: 100 + (mixed >> 4) % 2_000,
        prompt: 50 + (mixed >> 4) % 1_000,
        prefix: mixed % 5_000,
        deadline: Duration::from_hours(10) + Duration::from_micros(mixed % 1_000_000),
        hard_deadline: Duration::from_hours(20),
        fingerprint: number,
        coarse_fingerprint: Some(number),
    }
}

struct Load {
    scheduler: Scheduler,
    permits: VecDeque<PermitId>,
    now: Duration,
}

impl Load {
    fn new() -> Self {
        let mut load = Load {
            scheduler: Scheduler::new(Config {
                max_waiting: 20_000,
                ..Config::default()
            }),
            permits: VecDeque::new(),
            now: Duration::ZERO,
        };
        for target in 0..TARGETS {
            let spec = TargetSpec {
                name: format!("worker-{target}").into(),
                capacity: 50_000,
                cold_limit: 2,
                speed: 1.0,
                schedulable: true,
            };
            load.scheduler.set_target(load.now, spec, false);
        }
        load
    }

    fn decide(&mut self, descriptor: Descriptor) -> usize {
        self.now += Duration::from_micros(1);
        self.scheduler.offer(self.now, descriptor);
        if let Some(permit) = self.permits.pop_front() {
            self.scheduler.release(self.now, permit, REPORT);
        }
        self.poll()
    }

    fn poll(&mut self) -> usize {
        let events = self.scheduler.poll(self.now);
        for event in &events {
            if let Event::Granted(permit) = event {
                self.permits.push_back(permit.id);
            }
        }
        events.len()
    }
}

fn decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    for waiting in [100, 1_000, 10_000] {
        let mut load = Load::new();
        let mut numbers = 0..;
        let mut next = || descriptor(numbers.next().expect("an endless range"));
        // Warms up and fills all targets, then brings the queue to the wanted length.
        let is_serving = |load: &Load, target| {
            load.scheduler.phase(&format!("worker-{target}")) == Some(TargetPhase::Serving)
        };
        for _ in 0..1_000 {
            load.scheduler.offer(load.now, next());
        }
        load.poll();
        while !(0..TARGETS).all(|target| is_serving(&load, target)) {
            load.decide(next());
        }
        while load.scheduler.digest().waiting.iter().sum::<u32>() > waiting {
            let permit = load.permits.pop_front().expect("runs are in flight");
            load.scheduler.release(load.now, permit, REPORT);
            load.poll();
        }
        while load.scheduler.digest().waiting.iter().sum::<u32>() < waiting {
            load.scheduler.offer(load.now, next());
            load.poll();
        }
        group.bench_function(BenchmarkId::from_parameter(waiting), |b| {
            b.iter_batched(
                &mut next,
                |descriptor| black_box(load.decide(descriptor)),
                BatchSize::SmallInput,
            );
        });
        let left = load.scheduler.digest().waiting.iter().sum::<u32>();
        println!("waiting at the end: {left}");
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
