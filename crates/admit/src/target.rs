//! State of one target at its owner.

use std::collections::VecDeque;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::cold_bound::{RateCaps, SendPace};
use crate::convert::count_to_f64;
use crate::limit_bucket::LimitBucket;
use crate::model::{Name, Target};
use crate::offer::{RunEnd, RunReport, StartReport, TargetLoad};
use crate::pace::{Pace, is_slow};
use crate::shard::{HASH_MULTIPLIER, id_hash, shard_of_hash};
use crate::sliding_extremum::SlidingExtremum;
use crate::target_speed::TargetSpeed;

/// Weight of a new observation in the moving averages.
const MEAN_WEIGHT: f64 = 0.2;
/// First backoff after a failure that indicates that the target may be down. It doubles with each
/// failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);
/// Longest backoff. A target that is up again is found within this time.
const MAX_BACKOFF: Duration = Duration::from_millis(2400);
/// Backoff after the target reports that it is at capacity.
const OVERLOAD_BACKOFF: Duration = Duration::from_millis(60);
/// Load from other owners counts for this long: the lowest that the target reported in this time. A
/// single report may still count runs that have ended since.
const OTHER_LOAD_MEMORY: Duration = Duration::from_millis(500);
/// A target that could not be reached may have restarted. It counts as cold for this long after it
/// serves, or until the store reports its cold start. Changes in the store arrive within this time.
const MAYBE_COLD_TIME: Duration = Duration::from_secs(2);
/// Window of the limit of cold targets.
pub(crate) const COLD_WINDOW: Duration = Duration::from_secs(1);
/// Time from the end of a run to the arrival of the next one that is granted its slot: three
/// messages between VMs. Short runs would leave slots idle for a good part of the time.
const CONTROL_ROUND_TRIP: f64 = 0.006;
/// Weight of the share of failed runs in the load of a target.
const FAILURE_WEIGHT: f64 = 8.0;

/// Parts of the limits of a shard's targets that one owner may use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnerShares {
    /// Sends per second, if the pool has a limit for cold targets.
    pub(crate) caps: Option<RateCaps>,
    /// Share of the slots.
    pub(crate) slots: f64,
    /// Share of the limits that targets have named.
    pub(crate) limit: f64,
    /// Time since which it has been the first owner, if it is.
    pub(crate) first_since: Option<Duration>,
}

/// Whether a target may get one more run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Room {
    Free,
    /// Only the limit that the target has named prevents it.
    LimitReached,
    Full,
}

/// Sends that a first owner may make at once, by its pace.
#[derive(Clone, Copy)]
struct SavedSends {
    count: f64,
    /// Time at which the count was computed.
    at: Duration,
    /// Time since which the owner had been the first one.
    since: Duration,
}

pub(crate) struct TargetState {
    pub(crate) id: Name,
    hash: u64,
    pub(crate) pool: Name,
    pub(crate) zone: Name,
    pub(crate) slots: u32,
    pub(crate) open: bool,
    /// Time until which it is cold, as it reported.
    cold_until: Duration,
    /// Time until which it may be cold although the store doesn't report it.
    maybe_cold_until: Duration,
    /// Whether it could not be reached since it last served a run.
    was_unreachable: bool,
    pub(crate) running: u32,
    /// Time of the last end of a run, or of the start of a run when none was running.
    pub(crate) last_activity: Duration,
    /// Times of the sends in the last window.
    sends: VecDeque<Duration>,
    /// `None` if its pool has no limit for cold targets, or the owner has not been the first one.
    saved_sends: Option<SavedSends>,
    /// Prompt tokens of the runs whose first event has not arrived.
    pub(crate) unread_tokens: u32,
    /// Time by which these are expected to be read.
    pub(crate) reading_until: Duration,
    pub(crate) speed: TargetSpeed,
    pub(crate) pace: Pace,
    /// Moving average of the share of runs that failed.
    failure_share: f64,
    backoff: Duration,
    backoff_until: Duration,
    other_load: SlidingExtremum,
    other_load_until: Duration,
    /// Limit that the target has named.
    limit: Option<LimitBucket>,
}

impl TargetState {
    pub(crate) fn new(target: &Target) -> Self {
        TargetState {
            id: target.id.clone(),
            hash: id_hash(&target.id),
            pool: target.pool.clone(),
            zone: target.zone.clone(),
            slots: target.slots,
            open: true,
            cold_until: Duration::ZERO,
            maybe_cold_until: Duration::ZERO,
            was_unreachable: false,
            running: 0,
            last_activity: Duration::ZERO,
            sends: VecDeque::new(),
            saved_sends: None,
            unread_tokens: 0,
            reading_until: Duration::ZERO,
            speed: TargetSpeed::default(),
            pace: Pace::Full,
            failure_share: 0.0,
            backoff: Duration::ZERO,
            backoff_until: Duration::ZERO,
            other_load: SlidingExtremum::smallest(OTHER_LOAD_MEMORY),
            other_load_until: Duration::ZERO,
            limit: None,
        }
    }

    /// Applies the limit that the target names, in requests per second.
    pub(crate) fn set_limit(&mut self, now: Duration, per_s: Option<f64>) {
        match (per_s, &mut self.limit) {
            (Some(per_s), Some(bucket)) => bucket.set_limit(per_s),
            (Some(per_s), None) => self.limit = Some(LimitBucket::new(now, per_s)),
            (None, _) => self.limit = None,
        }
    }

    /// Index of its shard, given the number of shards of its pool.
    pub(crate) fn shard(&self, shards: u32) -> u32 {
        shard_of_hash(self.hash, shards)
    }

    /// Applies the cold start that the store reports. A target may become cold again without a restart.
    pub(crate) fn set_cold(&mut self, now: Duration, until: Duration) {
        if now >= self.cold_until && now < until {
            self.pace = Pace::START;
        }
        if until != self.cold_until {
            self.cold_until = until;
            self.maybe_cold_until = Duration::ZERO;
        }
    }

    /// Whether it may get one more run.
    ///
    /// A cap below one send per second allows one send in some seconds, which differ between
    /// members: many members with small shares would otherwise send to a cold target at once.
    pub(crate) fn room(&mut self, now: Duration, shares: &OwnerShares, member_salt: u64) -> Room {
        let cap = shares.caps.map(|caps| match now {
            now if now < self.cold_until => caps.cold,
            now if now < self.maybe_cold_until => caps.maybe_cold,
            _ => caps.warm,
        });
        if cap.is_some_and(|cap| cap < 1.0 && !self.is_drawn(now, cap, member_salt)) {
            return Room::Full;
        }
        while self
            .sends
            .front()
            .is_some_and(|&at| now.saturating_sub(at) >= COLD_WINDOW)
        {
            self.sends.pop_front();
        }
        let pace = shares.caps.and_then(|caps| caps.pace);
        let is_in_pace = pace.is_none_or(|pace| self.is_in_pace(now, &pace));
        let max_running = (self.pace.max_running(self.places(now)) * shares.slots).max(1.0);
        let has_capacity = self.open
            && now >= self.backoff_until
            && f64::from(self.running) + self.other_load(now) < max_running
            && cap.is_none_or(|cap| count_to_f64(self.sends.len()) < cap.max(1.0).floor())
            && is_in_pace;
        let is_below_limit = self
            .limit
            .as_mut()
            .is_none_or(|limit| limit.has_room(now, shares.limit, shares.first_since));
        match (has_capacity, is_below_limit) {
            (true, true) => Room::Free,
            (true, false) => Room::LimitReached,
            (false, _) => Room::Full,
        }
    }

    /// Whether one more send keeps to a pace.
    fn is_in_pace(&mut self, now: Duration, pace: &SendPace) -> bool {
        let saved = match self.saved_sends {
            Some(saved) if saved.since == pace.since => saved,
            _ => SavedSends {
                count: 0.0,
                at: pace.since,
                since: pace.since,
            },
        };
        let elapsed = now.saturating_sub(saved.at).as_secs_f64();
        let count = (saved.count + elapsed * pace.per_s).min(pace.burst);
        self.saved_sends = Some(SavedSends {
            count,
            at: now,
            ..saved
        });
        count >= 1.0
    }

    /// Whether a member may send in the current second, with the given probability.
    fn is_drawn(&self, now: Duration, probability: f64, member_salt: u64) -> bool {
        let second = now.as_secs().wrapping_mul(HASH_MULTIPLIER);
        let hash = xxh3_64(&(self.hash ^ member_salt ^ second).to_be_bytes());
        let draw = f64::from(u32::try_from(hash >> 32).unwrap_or(u32::MAX));
        draw < probability * f64::from(u32::MAX)
    }

    /// Runs that it can hold without a wait: its slots, and as many more as end during a round trip.
    fn places(&self, now: Duration) -> f64 {
        let slots = f64::from(self.slots);
        let is_cold = now < self.cold_until || now < self.maybe_cold_until;
        let unit = self.speed.unit().filter(|&unit| unit > 0.0 && !is_cold);
        slots
            + unit.map_or(0.0, |unit| {
                (slots * CONTROL_ROUND_TRIP / unit).floor().min(slots)
            })
    }

    /// Runs of other owners.
    fn other_load(&self, now: Duration) -> f64 {
        let known = self
            .other_load
            .get()
            .filter(|_| now < self.other_load_until);
        known.map_or(0.0, count_to_f64)
    }

    /// Share of its slots that is taken if one more run is granted, higher for a target that fails.
    pub(crate) fn load(&self) -> f64 {
        let share = f64::from(self.running + 1) / f64::from(self.slots.max(1));
        share * (1.0 + FAILURE_WEIGHT * self.failure_share)
    }

    /// Records a load that the target reported while it had `own` runs of this owner.
    fn record_load(&mut self, now: Duration, load: &TargetLoad, own: u32) {
        self.speed.record_load(now, load);
        let others = load
            .running
            .saturating_add(load.waiting)
            .saturating_sub(own);
        let others = usize::try_from(others).unwrap_or(usize::MAX);
        self.other_load.push(now, others);
        self.other_load_until = now + OTHER_LOAD_MEMORY;
    }

    /// Adds the time that reading a prompt takes.
    pub(crate) fn queue_prompt(&mut self, now: Duration, read_seconds: f64) {
        let read_time = Duration::try_from_secs_f64(read_seconds).unwrap_or_default();
        self.reading_until = self.reading_until.max(now) + read_time;
    }

    /// Removes a prompt that was read, or whose run has ended.
    pub(crate) fn finish_prompt(&mut self, tokens: u32) {
        self.unread_tokens = self.unread_tokens.saturating_sub(tokens);
        if self.unread_tokens == 0 {
            self.reading_until = Duration::ZERO;
        }
    }

    /// Records the first event of a run with this many prompt tokens.
    pub(crate) fn record_start(&mut self, now: Duration, tokens: u32, report: &StartReport) {
        self.finish_prompt(tokens);
        self.pace.record_answer(self.slots);
        if let Some(load) = &report.load {
            self.record_load(now, load, self.running);
        }
    }

    /// Records a run with this many prompt tokens that another owner granted.
    pub(crate) fn adopt_run(&mut self) {
        self.running += 1;
        if let Pace::Window(window) = self.pace {
            // The other owner has found that the target bears this much.
            self.pace = Pace::Window(window.max(f64::from(self.running)));
        }
    }

    pub(crate) fn record_send(&mut self, now: Duration, tokens: u32) {
        self.unread_tokens = self.unread_tokens.saturating_add(tokens);
        if self.running == 0 {
            self.last_activity = now;
        }
        self.sends.push_back(now);
        if let Some(saved) = &mut self.saved_sends {
            saved.count -= 1.0;
        }
        if let Some(limit) = &mut self.limit {
            limit.record_send();
        }
        self.running += 1;
    }

    /// Records the end of a run. `unread_tokens` is the size of its prompt if its first event has not
    /// arrived, and `pool_unit` the mean time per unit of work in the pool.
    pub(crate) fn record_end(
        &mut self,
        now: Duration,
        report: &RunReport,
        unread_tokens: Option<u32>,
        pool_unit: f64,
    ) {
        if let Some(load) = &report.load {
            // The reported load still includes the run that ended.
            self.record_load(now, load, self.running);
        }
        self.running = self.running.saturating_sub(1);
        self.finish_prompt(unread_tokens.unwrap_or(0));
        self.last_activity = now;
        match report.end {
            RunEnd::Served => {
                self.failure_share *= 1.0 - MEAN_WEIGHT;
                self.backoff = Duration::ZERO;
                if std::mem::take(&mut self.was_unreachable) {
                    self.maybe_cold_until = now + MAYBE_COLD_TIME;
                }
                let unit = report.time_per_unit;
                if unit.is_some_and(|unit| is_slow(unit.as_secs_f64(), pool_unit)) {
                    self.pace.record_setback();
                } else if unread_tokens.is_some() {
                    self.pace.record_answer(self.slots);
                }
                if let Some(unit) = unit {
                    self.speed.record_unit(unit);
                }
            }
            RunEnd::Error | RunEnd::Broken => {
                self.failure_share += (1.0 - self.failure_share) * MEAN_WEIGHT;
                self.pace.record_setback();
            }
            RunEnd::Overloaded => {
                self.backoff_until = now + OVERLOAD_BACKOFF;
                self.pace.record_setback();
            }
            RunEnd::Unreachable | RunEnd::TimedOut | RunEnd::Misdirected => {
                self.was_unreachable |= report.end == RunEnd::Unreachable;
                self.failure_share += (1.0 - self.failure_share) * MEAN_WEIGHT;
                self.pace = Pace::START;
                if now >= self.backoff_until {
                    self.backoff = (self.backoff * 2).clamp(INITIAL_BACKOFF, MAX_BACKOFF);
                    self.backoff_until = now + self.backoff;
                }
            }
            RunEnd::Unused | RunEnd::Cancelled => {}
        }
    }
}
