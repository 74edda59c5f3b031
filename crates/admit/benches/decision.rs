//! Cost of one decision (offer, release, poll) while offers wait for the slots of many targets.

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::VecDeque;
use std::hint::black_box;
use std::time::Duration;

use admit::{
    Catalog, Change, Decision, Offer, Owner, RunEnd, RunId, RunReport, StartReport, TargetLoad,
    TokenCounts,
};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use support::{config, listing, ms, offer, settings};

const TARGETS: usize = 256;
const SLOTS: u32 = 5;
const WAITING: usize = 1_000;

/// An offer that waits for as long as it takes. All targets are of one shard.
fn next_offer(run: u64) -> Offer {
    // Decorrelates tier and size of consecutive runs.
    let mixed = run.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
    let mut offer = offer(1, run);
    offer.tier = u8::try_from(mixed % 3).expect("a small number");
    offer.token_counts = Some(TokenCounts {
        prompt_tokens: 2000 + u32::try_from(mixed % 8000).expect("a small number"),
        output_tokens: 500,
    });
    offer.expected_output = Some(200);
    offer.max_pause = Some(ms(500));
    offer.max_wait = Duration::from_hours(1);
    offer.aim_left = Duration::from_hours(1);
    offer.time_left = Duration::from_hours(2);
    offer
}

struct Load {
    owner: Owner,
    catalog: Catalog,
    runs: VecDeque<RunId>,
    waiting: usize,
    now: Duration,
}

impl Load {
    fn new() -> Self {
        let mut catalog = Catalog::new(Duration::from_secs(2));
        let mut changes = listing(TARGETS, SLOTS);
        // Slots are the only bound, so that a run starts for each one that ends.
        let mut cfg = config(2);
        cfg.pools[0].cold_per_s = None;
        changes.push(Change::Config(cfg));
        catalog.apply_listing(Duration::ZERO, changes);
        let mut owner = Owner::new(Duration::ZERO, settings([127, 0, 0, 1].into()));
        owner.apply_catalog(Duration::ZERO, &catalog);
        Load {
            owner,
            catalog,
            runs: VecDeque::new(),
            waiting: 0,
            now: Duration::from_secs(2),
        }
    }

    fn release(&mut self) {
        let Some(id) = self.runs.pop_front() else {
            return;
        };
        let load = Some(TargetLoad {
            // No more than this owner has granted.
            running: 1,
            waiting: 0,
            slowdown_percent: Some(100),
        });
        let first_event = ms(50);
        let report = StartReport { first_event, load };
        self.owner.start(self.now, id, &report);
        let report = RunReport {
            time_per_unit: Some(ms(36)),
            longest_pause: Some(ms(50)),
            events: Some(20),
            load,
            ..RunReport::of(RunEnd::Served)
        };
        self.owner.release(self.now, id, &report);
    }

    fn decide(&mut self, offer: Offer) -> usize {
        // 256 targets serve about 2,000 requests per second.
        self.now += Duration::from_micros(500);
        self.release();
        self.owner.offer(self.now, &self.catalog, offer);
        self.waiting += 1;
        self.poll()
    }

    fn poll(&mut self) -> usize {
        let decisions = self.owner.poll(self.now);
        for decision in &decisions {
            self.waiting -= 1;
            if let Decision::Grant { id, .. } = decision {
                self.runs.push_back(*id);
            }
        }
        decisions.len()
    }
}

fn decision(c: &mut Criterion) {
    let mut load = Load::new();
    let mut runs = 0..;
    let mut next = || next_offer(runs.next().expect("an endless range"));
    // Fills all targets, brings the queue to the wanted length, and teaches the owner their speed.
    while load.waiting < WAITING {
        load.now += Duration::from_micros(100);
        load.owner.offer(load.now, &load.catalog, next());
        load.waiting += 1;
        load.poll();
    }
    for _ in 0..5_000 {
        load.decide(next());
    }
    println!("running: {}, waiting: {}", load.runs.len(), load.waiting);
    c.bench_function("decision/256 targets/1000 waiting", |b| {
        b.iter_batched(
            &mut next,
            |offer| black_box(load.decide(offer)),
            BatchSize::SmallInput,
        );
    });
    println!("running: {}, waiting: {}", load.runs.len(), load.waiting);
}

criterion_group!(benches, decision);
criterion_main!(benches);
