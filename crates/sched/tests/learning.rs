//! Tests the learned limit on a model of a batching engine.

mod common;

use std::time::Duration;

use common::{grants, ms, report, secs, spec, work};
use sched::{Permit, RunEnd, RunReport, Scheduler};

const STEP: Duration = Duration::from_millis(10);
const CAPACITY: u32 = 100_000;

struct Running {
    permit: Permit,
    cost: u32,
    start: Duration,
    generated: f64,
    /// Slowdown factor of this run.
    pace: f64,
}

/// Half of a run's cost is output. The engine takes 20 ms between tokens until the tokens in flight
/// reach the knee. Above it, all runs slow down in proportion, so that the goal of 50 ms is missed
/// at 2.5 times the knee.
struct Engine {
    knee: u32,
    slowdown: f64,
    running: Vec<Running>,
}

impl Engine {
    fn step(&mut self, now: Duration) -> Vec<(Permit, u32, RunReport)> {
        let tokens: u32 = self.running.iter().map(|run| run.cost).sum();
        let slowdown = (f64::from(tokens) / f64::from(self.knee)).max(1.0) * self.slowdown;
        let step = STEP.as_secs_f64() / slowdown;
        let mut ended = Vec::new();
        self.running.retain_mut(|run| {
            run.generated += step / (0.02 * run.pace);
            if run.generated < f64::from(run.cost) / 2.0 {
                return true;
            }
            let measured = RunReport {
                token_gap: Some(now.saturating_sub(run.start).div_f64(run.generated)),
                ..report(RunEnd::Complete)
            };
            ended.push((run.permit.clone(), run.cost, measured));
            false
        });
        ended
    }
}

/// Serves a backlog from a cold start; `slowdown` gives the slowdown factor of the engine for each
/// second. Returns the tokens served on time and late after the first 200 s, and the final limit.
fn serve(knee: u32, slowdown: fn(u64) -> f64) -> (u32, u32, u64) {
    let (mut on_time, mut late) = (0, 0);
    let mut now = Duration::ZERO;
    let mut scheduler = Scheduler::new(sched::Config::default());
    scheduler.set_target(now, spec("a", CAPACITY.into(), 2), false);
    let mut engine = Engine {
        knee,
        slowdown: 1.0,
        running: Vec::new(),
    };
    let random = |number: u64| fastrand::Rng::with_seed(number);
    let mut numbers = 0..;
    while now < secs(600) {
        now += STEP;
        engine.slowdown = slowdown(now.as_secs());
        for (permit, cost, measured) in engine.step(now) {
            scheduler.release(now, permit.id, measured);
            let is_on_time = measured.token_gap <= Some(ms(50));
            if now > secs(200) {
                *(if is_on_time { &mut on_time } else { &mut late }) += cost;
            }
        }
        while scheduler.digest().waiting[0] < 50 {
            let number = numbers.next().unwrap();
            let cost = random(number).u64(200..2_000);
            scheduler.offer(now, work(&number.to_string(), 0, "w", cost));
        }
        for permit in grants(&scheduler.poll(now)) {
            let mut random = random(permit.request.parse().unwrap());
            let cost = random.u32(200..2_000);
            engine.running.push(Running {
                permit,
                cost,
                start: now,
                generated: 0.0,
                pace: 0.8 + 0.4 * random.f64(),
            });
        }
    }
    (on_time, late, scheduler.limit("a").unwrap())
}

/// Guards against a limit that stays above the engine's capacity or far below it.
#[test]
fn limit_converges_to_engine_capacity() {
    for (knee, slowdown, highest) in [
        (10_000, (|_| 1.0) as fn(u64) -> f64, 25_000),
        (40_000, |_| 1.0, 100_000),
        (80_000, |_| 1.0, 100_000),
        (80_000, |_| 2.0, 100_000),
        // Slower for 10 s of each minute.
        (
            40_000,
            |second| if second % 60 < 10 { 2.0 } else { 1.0 },
            100_000,
        ),
    ] {
        let (on_time, late, limit) = serve(knee, slowdown);
        assert!(
            (u64::from(knee) / 2..=highest).contains(&limit),
            "knee {knee}: {limit}"
        );
        assert!(
            late * 8 <= on_time,
            "knee {knee}: {late} late, {on_time} on time"
        );
    }
}
