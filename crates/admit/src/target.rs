//! State of one target at its owner.

use std::collections::VecDeque;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::convert::count_to_f64;
use crate::limit_bucket::LimitBucket;
use crate::model::{Name, Target};
use crate::offer::{RunEnd, RunReport};
use crate::shard::{HASH_MULTIPLIER, id_hash, shard_of_hash};

/// Weight of a new observation in the moving averages.
const MEAN_WEIGHT: f64 = 0.2;
/// First backoff after a failure that indicates that the target may be down. It doubles with each
/// failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);
/// Longest backoff. A target that is up again is found within this time.
const MAX_BACKOFF: Duration = Duration::from_millis(2400);
/// Backoff after the target reports that it is at capacity.
const OVERLOAD_BACKOFF: Duration = Duration::from_millis(60);
/// Load from other owners, as reported by the target, counts for this long.
const OTHER_LOAD_MEMORY: Duration = Duration::from_millis(500);
/// A target that could not be reached may have restarted. It counts as cold for this long after it
/// serves, or until the store reports its cold start. Changes in the store arrive within this time.
const MAYBE_COLD_TIME: Duration = Duration::from_secs(2);
/// Window of the limit of cold targets.
pub(crate) const COLD_WINDOW: Duration = Duration::from_secs(1);
/// Weight of the share of failed runs in the load of a target.
const FAILURE_WEIGHT: f64 = 8.0;

/// Sends per second that a target may get, by whether it is cold.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateCaps {
    pub(crate) cold: f64,
    /// For a target that may be cold although the store doesn't report it.
    pub(crate) maybe_cold: f64,
    pub(crate) warm: f64,
}

/// Parts of the limits of a shard's targets that one owner may use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnerShares {
    /// Sends per second, if the pool has a limit for cold targets.
    pub(crate) caps: Option<RateCaps>,
    /// Share of the slots.
    pub(crate) slots: f64,
    /// Share of the limits that targets have named.
    pub(crate) limit: f64,
}

/// Whether a target may get one more run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Room {
    Free,
    /// Only the limit that the target has named prevents it.
    LimitReached,
    Full,
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
    /// Mean seconds per unit of work.
    pub(crate) time_per_unit: Option<f64>,
    /// Moving average of the share of runs that failed.
    failure_share: f64,
    backoff: Duration,
    backoff_until: Duration,
    /// Whether it has failed since it last served a run. If so, it gets one run at a time as a
    /// probe.
    half_open: bool,
    other_load: u32,
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
            time_per_unit: None,
            failure_share: 0.0,
            backoff: Duration::ZERO,
            backoff_until: Duration::ZERO,
            half_open: false,
            other_load: 0,
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

    /// Applies the cold start that the store reports.
    pub(crate) fn set_cold(&mut self, until: Duration) {
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
        let other_load = if now < self.other_load_until {
            self.other_load
        } else {
            0
        };
        let max_running = if self.half_open {
            1.0
        } else {
            (f64::from(self.slots) * shares.slots).max(1.0)
        };
        let has_capacity = self.open
            && now >= self.backoff_until
            && f64::from(self.running.saturating_add(other_load)) < max_running
            && cap.is_none_or(|cap| count_to_f64(self.sends.len()) < cap.max(1.0).floor());
        let is_below_limit = self
            .limit
            .as_mut()
            .is_none_or(|limit| limit.has_room(now, shares.limit));
        match (has_capacity, is_below_limit) {
            (true, true) => Room::Free,
            (true, false) => Room::LimitReached,
            (false, _) => Room::Full,
        }
    }

    /// Whether a member may send in the current second, with the given probability.
    fn is_drawn(&self, now: Duration, probability: f64, member_salt: u64) -> bool {
        let second = now.as_secs().wrapping_mul(HASH_MULTIPLIER);
        let hash = xxh3_64(&(self.hash ^ member_salt ^ second).to_be_bytes());
        let draw = f64::from(u32::try_from(hash >> 32).unwrap_or(u32::MAX));
        draw < probability * f64::from(u32::MAX)
    }

    /// Load if one more run were granted; the target with the lowest is chosen. `time_per_unit` is
    /// the mean of the pool.
    pub(crate) fn load(&self, time_per_unit: f64) -> f64 {
        let relative = match self.time_per_unit {
            Some(own) if time_per_unit > 0.0 => own / time_per_unit,
            _ => 1.0,
        };
        let share = f64::from(self.running + 1) / f64::from(self.slots.max(1));
        share * relative * (1.0 + FAILURE_WEIGHT * self.failure_share)
    }

    pub(crate) fn record_send(&mut self, now: Duration) {
        if self.running == 0 {
            self.last_activity = now;
        }
        self.sends.push_back(now);
        if let Some(limit) = &mut self.limit {
            limit.record_send();
        }
        self.running += 1;
    }

    pub(crate) fn record_end(&mut self, now: Duration, report: &RunReport) {
        self.running = self.running.saturating_sub(1);
        self.last_activity = now;
        if let Some((running, waiting)) = report.load {
            // The reported load still includes the run that ended.
            let others = (running + waiting).saturating_sub(self.running + 1);
            self.other_load = others;
            self.other_load_until = now + OTHER_LOAD_MEMORY;
        }
        match report.end {
            RunEnd::Served => {
                self.failure_share *= 1.0 - MEAN_WEIGHT;
                self.backoff = Duration::ZERO;
                self.half_open = false;
                if std::mem::take(&mut self.was_unreachable) {
                    self.maybe_cold_until = now + MAYBE_COLD_TIME;
                }
                if let Some(time_per_unit) = report.time_per_unit {
                    let time_per_unit = time_per_unit.as_secs_f64();
                    self.time_per_unit = Some(match self.time_per_unit {
                        Some(mean) => mean + (time_per_unit - mean) * MEAN_WEIGHT,
                        None => time_per_unit,
                    });
                }
            }
            RunEnd::Error => self.failure_share += (1.0 - self.failure_share) * MEAN_WEIGHT,
            RunEnd::Overloaded => self.backoff_until = now + OVERLOAD_BACKOFF,
            RunEnd::Broken => {
                self.failure_share += (1.0 - self.failure_share) * MEAN_WEIGHT;
            }
            RunEnd::Unreachable | RunEnd::TimedOut | RunEnd::Misdirected => {
                self.was_unreachable |= report.end == RunEnd::Unreachable;
                self.failure_share += (1.0 - self.failure_share) * MEAN_WEIGHT;
                self.half_open = true;
                if now >= self.backoff_until {
                    self.backoff = (self.backoff * 2).clamp(INITIAL_BACKOFF, MAX_BACKOFF);
                    self.backoff_until = now + self.backoff;
                }
            }
            RunEnd::Unused | RunEnd::Cancelled => {}
        }
    }
}
