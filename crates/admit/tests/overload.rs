//! Replays of load patterns against the decisions of one owner, in virtual time.
//!
//! A request earns its worth if it is granted in time for its target latency. Each pattern is also
//! played with one tier for all, as a baseline.

mod support;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use admit::{Catalog, Change, Decision, Owner, RunEnd, RunId, RunReport};
use support::{config, listing, ms, offer, route, settings};

const TARGETS: usize = 24;
const SLOTS: u32 = 5;
const LENGTH: Duration = Duration::from_secs(12);
/// Requests are counted from this time on, when the targets have been busy for a while, and until
/// some time before the end, so that each counted request is decided.
const COUNT_FROM: Duration = Duration::from_secs(3);
const COUNT_UNTIL: Duration = Duration::from_secs(11);

/// Requests of one route: share of arrivals, target latency to the first token, time that a run
/// takes, and worth.
struct Class {
    path: &'static str,
    tier: u8,
    share: f64,
    target_latency: Duration,
    run_time: Duration,
    worth: f64,
}

/// Long and valuable requests with a long target latency, beside short ones with a short one. All
/// are of one workspace with a tier.
fn classes() -> [Class; 3] {
    [
        Class {
            path: "/long/",
            tier: 0,
            share: 0.15,
            target_latency: ms(1000),
            run_time: ms(1500),
            worth: 7.0,
        },
        Class {
            path: "/chat/",
            tier: 1,
            share: 0.25,
            target_latency: ms(400),
            run_time: ms(1000),
            worth: 2.0,
        },
        Class {
            path: "/short/",
            tier: 2,
            share: 0.6,
            target_latency: ms(500),
            run_time: ms(100),
            worth: 0.3,
        },
    ]
}

/// Ratio of offered work to what the targets bear, at a time.
type Load = fn(Duration) -> f64;

/// How requests are ordered in the queue.
#[derive(Clone, Copy, PartialEq)]
enum Order {
    ByRank,
    OneTier,
}

#[derive(Default)]
struct Outcome {
    offered: f64,
    earned: f64,
    /// Requests, grants and longest waits by tier.
    asked: HashMap<u8, u32>,
    granted: HashMap<u8, u32>,
    waits: HashMap<u8, Vec<Duration>>,
    /// Milliseconds in which a slot was free while a request waited.
    idle_beside_queue: u32,
}

impl Outcome {
    fn granted_share(&self, tier: u8) -> f64 {
        f64::from(self.granted[&tier]) / f64::from(self.asked[&tier])
    }

    fn median_wait(&mut self, tier: u8) -> Duration {
        let waits = self.waits.get_mut(&tier).expect("granted requests");
        waits.sort_unstable();
        waits[waits.len() / 2]
    }
}

/// Deterministic random numbers in 0..1.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        f64::from(u32::try_from(z >> 32).expect("32 bits")) / f64::from(u32::MAX)
    }
}

fn catalog() -> Catalog {
    let mut cfg = config(1);
    cfg.pools[0].cold_per_s = None;
    cfg.workspaces[0].tier = Some(1);
    cfg.workspaces[0].rate = None;
    cfg.routes = classes()
        .iter()
        .map(|class| {
            let mut route = route(class.path, class.path, admit::RouteKind::NonIdempotent);
            route.tier = class.tier;
            route.target_latency = class.target_latency;
            route
        })
        .collect();
    let mut catalog = Catalog::new(Duration::from_secs(2));
    let mut changes = listing(TARGETS, SLOTS);
    changes.pop();
    changes.push(Change::Config(cfg));
    catalog.apply_listing(Duration::ZERO, changes);
    catalog
}

fn is_counted(asked: Duration) -> bool {
    (COUNT_FROM..COUNT_UNTIL).contains(&asked)
}

fn play(load: Load, order: Order) -> Outcome {
    let catalog = catalog();
    let mut owner = Owner::new(Duration::ZERO, settings([127, 0, 0, 1].into()));
    owner.apply_catalog(Duration::ZERO, &catalog);
    let classes = classes();
    let mean_run: f64 = classes
        .iter()
        .map(|class| class.share * class.run_time.as_secs_f64())
        .sum();
    let slots = f64::from(SLOTS) * f64::from(u32::try_from(TARGETS).expect("a small number"));
    let per_ms = slots / mean_run / 1000.0;
    let mut random = Random(7);
    let mut outcome = Outcome::default();
    let mut waiting: HashMap<u64, (usize, Duration)> = HashMap::new();
    let mut ends: BinaryHeap<Reverse<(Duration, u64)>> = BinaryHeap::new();
    let (mut run, mut due) = (0, 0.0);
    let mut now = ms(1000);
    while now < LENGTH {
        now += ms(1);
        while let Some(&Reverse((at, id))) = ends.peek()
            && at <= now
        {
            ends.pop();
            let id = RunId { entry: 1, run: id };
            owner.release(now, id, &RunReport::of(RunEnd::Served));
        }
        due += per_ms * load(now);
        while due >= 1.0 {
            due -= 1.0;
            let draw = random.next();
            let at = if draw < classes[0].share {
                0
            } else if draw < classes[0].share + classes[1].share {
                1
            } else {
                2
            };
            let class = &classes[at];
            let access = catalog.authorize("shop.example", class.path, Some("key"));
            let mut offer = offer(1, run);
            offer.tier = match order {
                Order::ByRank => access.expect("an allowed request").rank(),
                Order::OneTier => 0,
            };
            offer.max_wait = class.target_latency / 2;
            offer.aim_left = class.target_latency;
            offer.time_left = Duration::from_secs(15);
            if is_counted(now) {
                outcome.offered += class.worth;
                *outcome.asked.entry(class.tier).or_default() += 1;
            }
            waiting.insert(run, (at, now));
            owner.offer(now, &catalog, offer);
            run += 1;
        }
        for decision in owner.poll(now) {
            let Some((at, asked)) = waiting.remove(&decision.id().run) else {
                continue;
            };
            if let Decision::Grant { id, .. } = decision {
                let class = &classes[at];
                if is_counted(asked) {
                    *outcome.granted.entry(class.tier).or_default() += 1;
                    let waits = outcome.waits.entry(class.tier).or_default();
                    waits.push(now.saturating_sub(asked));
                    outcome.earned += class.worth;
                }
                ends.push(Reverse((now + class.run_time, id.run)));
            }
        }
        let is_idle = f64::from(u32::try_from(ends.len()).expect("a small number")) < slots;
        if is_idle && !waiting.is_empty() {
            outcome.idle_beside_queue += 1;
        }
    }
    outcome
}

/// At loads above what the targets bear, the requests of the first tier go first, whatever their
/// deadlines. Guards against an order by deadline within the tier of a workspace, in which they
/// waited for as long as they could, and against slots that are free beside a queue.
#[test]
fn the_first_tier_is_served_at_overload() {
    let patterns: [(&str, Load); 3] = [
        ("twice the capacity", |_| 2.0),
        ("a burst of 1.7 times the load for 3 s", |now| {
            if (5..8).contains(&now.as_secs()) {
                1.53
            } else {
                0.9
            }
        }),
        ("a wave", |now| 1.1 + 0.6 * (now.as_secs_f64() * 0.6).sin()),
    ];
    for (name, load) in patterns {
        let mut ranked = play(load, Order::ByRank);
        let baseline = play(load, Order::OneTier);

        println!(
            "{name}: {:.3} of the offered worth, {:.3} with one tier",
            ranked.earned / ranked.offered,
            baseline.earned / baseline.offered
        );
        let share = ranked.granted_share(0);
        assert!(
            share > 0.99,
            "{name}: {share} of the long requests are granted"
        );
        let wait = ranked.median_wait(0);
        assert!(wait < ms(100), "{name}: long requests wait {wait:?}");
        assert_eq!(ranked.idle_beside_queue, 0, "{name}");
    }
}
