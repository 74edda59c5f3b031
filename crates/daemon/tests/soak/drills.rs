//! Restores of the store from an older copy, and workers that name limits, in addition to the other
//! faults.

use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::SmallRng;

use super::fleet::{Fleet, WORKERS};
use super::timeline::{Condition, Timeline};
use crate::platform_support::store::{Data, Mode};

/// Limits that workers name, in requests per second.
const LIMITS: [f64; 3] = [0.5, 2.0, 5.0];
/// Maximum number of workers that name a limit at the same time.
const MAX_LIMITED: usize = 3;

enum Restore {
    /// The store is away until the given time.
    Away(Instant),
    /// It is back, and what it lost is written again at the given time.
    Back { rewrite_at: Instant, lost: Data },
}

/// Runs the drills, independently of the other faults.
pub struct Drills {
    rng: SmallRng,
    /// Copy from which the store is restored next.
    copy: Data,
    copied_at: Instant,
    restore: Option<Restore>,
    /// Workers that name a limit, each until a time.
    limited: Vec<(Instant, Condition)>,
    pub trace: Vec<String>,
}

impl Drills {
    pub fn new(rng: SmallRng, fleet: &Fleet) -> Self {
        Drills {
            rng,
            copy: fleet.store.copy(),
            copied_at: Instant::now(),
            restore: None,
            limited: Vec::new(),
            trace: Vec::new(),
        }
    }

    pub fn step(&mut self, fleet: &Fleet, timeline: &mut Timeline) {
        self.continue_restore(fleet, timeline);
        self.end_limits(fleet, timeline, Instant::now());
        match self.rng.random_range(0..12) {
            0 if self.restore.is_none() => self.begin_restore(fleet, timeline),
            1..4 if self.limited.len() < MAX_LIMITED => self.begin_limit(fleet, timeline),
            _ => {}
        }
        // A drill restores the state of some seconds ago.
        let max_age = Duration::from_secs(self.rng.random_range(3..10));
        if self.restore.is_none() && self.copied_at.elapsed() > max_age {
            self.copy = fleet.store.copy();
            self.copied_at = Instant::now();
        }
    }

    /// Ends all drills. Returns the workers that named a limit until now.
    pub fn end_all(&mut self, fleet: &Fleet, timeline: &mut Timeline) -> Vec<usize> {
        while let Some(restore) = self.restore.take() {
            self.advance(fleet, timeline, restore);
        }
        let mut limited = Vec::new();
        for (until, condition) in &mut self.limited {
            *until = Instant::now();
            if let Condition::WorkerLimited(worker, _) = condition {
                limited.push(*worker);
            }
        }
        self.end_limits(fleet, timeline, Instant::now());
        limited
    }

    fn begin_restore(&mut self, fleet: &Fleet, timeline: &mut Timeline) {
        self.trace.push("store goes away".to_owned());
        timeline.begin(Condition::StoreImpaired(None));
        fleet.store.set_mode(Mode::Refuses(503));
        let away = Duration::from_millis(self.rng.random_range(0..2500));
        self.restore = Some(Restore::Away(Instant::now() + away));
    }

    fn continue_restore(&mut self, fleet: &Fleet, timeline: &mut Timeline) {
        let now = Instant::now();
        match self.restore.take() {
            Some(Restore::Away(until)) if now < until => {
                self.restore = Some(Restore::Away(until));
            }
            Some(Restore::Back { rewrite_at, lost }) if now < rewrite_at => {
                self.restore = Some(Restore::Back { rewrite_at, lost });
            }
            Some(restore) => self.advance(fleet, timeline, restore),
            None => {}
        }
    }

    fn advance(&mut self, fleet: &Fleet, timeline: &mut Timeline, restore: Restore) {
        match restore {
            Restore::Away(_) => {
                self.trace.push("store is restored".to_owned());
                let lost = fleet.store.restore(&self.copy);
                fleet.store.set_mode(Mode::Serves);
                let pause = Duration::from_millis(self.rng.random_range(0..1500));
                let rewrite_at = Instant::now() + pause;
                self.restore = Some(Restore::Back { rewrite_at, lost });
            }
            Restore::Back { lost, .. } => {
                self.trace.push("lost items are written again".to_owned());
                fleet.store.write_again(&self.copy, &lost);
                timeline.end(Condition::StoreImpaired(None));
            }
        }
    }

    fn begin_limit(&mut self, fleet: &Fleet, timeline: &mut Timeline) {
        let worker = self.rng.random_range(0..WORKERS);
        let is_same = |&(_, condition): &(Instant, Condition)| matches!(condition, Condition::WorkerLimited(other, _) if other == worker);
        if self.limited.iter().any(is_same) {
            return;
        }
        let per_s = LIMITS[self.rng.random_range(0..LIMITS.len())];
        let condition = Condition::WorkerLimited(worker, per_s);
        self.trace.push(format!("begin {condition:?}"));
        timeline.begin(condition);
        fleet.workers[worker].echo.set_limit(Some(per_s));
        let time = Duration::from_millis(self.rng.random_range(1000..9000));
        self.limited.push((Instant::now() + time, condition));
    }

    fn end_limits(&mut self, fleet: &Fleet, timeline: &mut Timeline, now: Instant) {
        for (_, condition) in self.limited.extract_if(.., |(until, _)| *until <= now) {
            timeline.end(condition);
            if let Condition::WorkerLimited(worker, _) = condition {
                fleet.workers[worker].echo.set_limit(None);
            }
        }
    }
}
