//! Admission for the targets of one or more shards.
//!
//! An owner keeps no state that the fleet can't do without: entries tell it in each beat which
//! runs they have in flight, so that another member can take over at any time.

mod model;
mod target;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::bookings::Bookings;
use crate::bucket::Bucket;
use crate::budget::Budget;
use crate::catalog::Catalog;
use crate::containment::Containment;
use crate::model::{Name, Rate, Settings, Target, Unit};
use crate::roster::Part;
use target::{Caps, State};

pub use model::{Decision, End, Offer, Refusal, Report, RunId};

/// Targets of a pool that one shard holds. One owner decides for them all.
const SHARD_TARGETS: usize = 24;
/// Part of a cold target's bound that its first owner uses, and any other one. Both may decide for
/// a second when the first one changes, and sends of one second may arrive closer together than
/// they left.
const COLD_PART: f64 = 0.5;
const COLD_PART_OTHER: f64 = 0.2;
/// The same for a target that is not known to be cold: it may turn cold at any moment, and the
/// store says so only later.
const WARM_PART: f64 = 0.8;
const WARM_PART_OTHER: f64 = 0.4;
/// Least part of the fleet for which these count, for a first owner and for others: a target that
/// turns cold unseen just then is rarer than a cut under load.
const WARM_LEAST: f64 = 0.7;
const WARM_LEAST_OTHER: f64 = 0.25;
/// Parts of the overage and of the slack of rates that an owner gives out. Over one window of
/// eight bursts, with one change of owner, which starts with a quarter of a burst, this stays inside:
/// 8 * 1.15 + 1.25 * (1.2 + 0.4 s) < 9 * 1.25 + s, for a burst of one second's rate and a slack of s.
const OVERAGE_RATE: f64 = 0.6;
const OVERAGE_BURST: f64 = 0.8;
const SLACK_BURST: f64 = 0.4;
/// An entry counts as asking for this long after its last offer.
const ASKER_MEMORY: Duration = Duration::from_millis(1200);
/// A process that started lately sends nothing to cold targets for the window of their bound: it
/// does not know what was sent before.
const FIRST_COLD: Duration = Duration::from_secs(1);
/// A member counts as first owner when it has been the first for this long.
const NEW_OWNER: Duration = Duration::from_secs(2);
/// A run that its entry does not list is over if it is older than this; a younger one may have
/// crossed the list.
const LIST_DELAY: Duration = Duration::from_millis(400);
/// Load by which a target of another zone or without the session's cache is worse.
const ZONE_LOAD: f64 = 0.02;
const SESSION_LOAD: f64 = 0.25;
/// Odd number that mixes the bits of a key.
const TIE_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// Most sessions whose target is remembered.
const MAX_SESSIONS: usize = 8192;
/// Weight of a new observation in the mean time between two ends of runs.
const DRAIN_WEIGHT: f64 = 0.05;
/// Longest time between two ends that counts; a longer one says that there was no work.
const DRAIN_GAP: f64 = 0.2;
/// Least mean time between two ends: 1000 a second.
const LEAST_DRAIN: f64 = 0.001;
/// Shortest and longest advice on when to come back.
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(5);

/// Identifies one start of a target in messages.
#[must_use]
pub fn target_key(target: &Target) -> u64 {
    key_of(&target.id, target.born)
}

fn key_of(id: &str, born: u64) -> u64 {
    xxh3_64(id.as_bytes()) ^ born.wrapping_mul(TIE_FACTOR)
}

/// Number of shards of a pool with the given number of targets.
#[must_use]
pub(crate) fn shards(targets: usize) -> u32 {
    u32::try_from(targets.div_ceil(SHARD_TARGETS).max(1)).unwrap_or(u32::MAX)
}

/// Shard of a target.
#[must_use]
pub(crate) fn shard_of(id: &str, shards: u32) -> u32 {
    u32::try_from(xxh3_64(id.as_bytes()) % u64::from(shards.max(1))).unwrap_or(0)
}

struct Run {
    target: u64,
    pool: Name,
    fingerprint: u64,
    granted: Duration,
    /// Time by which it is over at the latest.
    until: Duration,
}

struct Waiting {
    offer: Offer,
    give_up: Duration,
    /// Units taken from the workspace's bucket.
    charged: f64,
}

struct PoolState {
    queue: Vec<Waiting>,
    budget: Budget,
    /// Mean seconds between two ends of runs while there is work.
    drain: f64,
    refused: Bookings,
    last_end: Duration,
}

impl PoolState {
    /// When one more refused request would be admitted.
    fn come_back(&mut self, now: Duration, ahead: usize) -> Duration {
        let per_s = 1.0 / self.drain.max(LEAST_DRAIN);
        self.refused.book(now, 1.0, float(ahead), per_s)
    }
}

/// Decides for the targets of the shards that a member owns.
pub struct Owner {
    settings: Settings,
    targets: HashMap<u64, State>,
    by_id: HashMap<Name, u64>,
    pools: HashMap<Name, PoolState>,
    cold: HashMap<Name, f64>,
    buckets: HashMap<Name, (Bucket, Unit)>,
    runs: HashMap<RunId, Run>,
    sessions: HashMap<u64, u64>,
    containment: Containment,
    /// Part of the members that is live.
    part: f64,
    cold_part: f64,
    started: Duration,
    /// Since when this member is the first owner of a shard.
    first_since: Option<Duration>,
    /// Entries with the time of their last offer.
    askers: HashMap<u64, Duration>,
    /// Breaks ties between targets, so that members that can't hear each other spread their runs.
    salt: u64,
    max_shards: u32,
    decisions: Vec<Decision>,
}

impl Owner {
    /// An owner that knows nothing yet.
    #[must_use]
    pub fn new(now: Duration, settings: Settings) -> Self {
        Owner {
            targets: HashMap::new(),
            by_id: HashMap::new(),
            pools: HashMap::new(),
            cold: HashMap::new(),
            buckets: HashMap::new(),
            runs: HashMap::new(),
            sessions: HashMap::new(),
            containment: Containment::default(),
            part: 1.0,
            cold_part: 1.0,
            started: now,
            first_since: None,
            askers: HashMap::new(),
            salt: xxh3_64(settings.vm.as_bytes()),
            settings,
            max_shards: 1,
            decisions: Vec::new(),
        }
    }

    /// Sets the part of the fleet's limits that may be used here.
    pub fn set_part(&mut self, now: Duration, part: Part) {
        if !part.is_first {
            self.first_since = None;
        } else if self.first_since.is_none() {
            self.first_since = Some(now);
        }
        let old = self.rate_part();
        self.part = part.part;
        self.cold_part = part.cold_part;
        let new = self.rate_part();
        if (new - old).abs() > f64::EPSILON {
            for (bucket, _) in self.buckets.values_mut() {
                bucket.scale(now, new / old);
            }
        }
    }

    /// Number of shards of the largest pool.
    #[must_use]
    pub fn max_shards(&self) -> u32 {
        self.max_shards
    }

    /// Number of entries that asked lately.
    #[must_use]
    pub fn askers(&self, now: Duration) -> usize {
        let recent = |&&at: &&Duration| now.saturating_sub(at) < ASKER_MEMORY;
        self.askers.values().filter(recent).count()
    }

    /// Takes over what the catalog says of targets, pools and workspaces.
    pub fn refresh(&mut self, now: Duration, catalog: &Catalog) {
        let mut seen = HashSet::new();
        let mut counts: HashMap<Name, usize> = HashMap::new();
        for (target, cold_until) in catalog.targets() {
            *counts.entry(target.pool.clone()).or_default() += 1;
            let key = target_key(target);
            seen.insert(key);
            let state = self
                .targets
                .entry(key)
                .or_insert_with(|| State::new(target));
            state.open = catalog.is_open(target);
            state.slots = target.slots;
            state.cold_until = cold_until;
            state.pool = target.pool.clone();
            self.by_id.insert(target.id.clone(), key);
        }
        self.targets.retain(|key, _| seen.contains(key));
        self.by_id.retain(|_, key| seen.contains(key));
        self.max_shards = counts.values().map(|&n| shards(n)).max().unwrap_or(1);
        self.cold.clear();
        for name in counts.keys() {
            let pool = catalog.pool(name);
            if let Some(per_s) = pool.and_then(|pool| pool.cold_per_s) {
                self.cold.insert(name.clone(), per_s);
            }
        }
        let part = self.rate_part();
        self.buckets.retain(|name, (bucket, unit)| {
            let rate = catalog.workspace(name).and_then(|workspace| workspace.rate);
            if let Some(rate) = rate {
                let (per_s, burst) = allowance(&self.settings, rate);
                bucket.set(now, per_s * part, burst * part);
                *unit = rate.unit;
            }
            rate.is_some()
        });
    }

    /// Takes an offer. Its decision follows from [`Owner::poll`].
    pub fn offer(&mut self, now: Duration, catalog: &Catalog, offer: Offer) {
        self.askers.insert(offer.id.entry, now);
        if let Some(run) = self.runs.get(&offer.id) {
            if let Some(state) = self.targets.get(&run.target) {
                let target = state.id.clone();
                self.decisions.push(Decision::Grant {
                    id: offer.id,
                    target,
                });
            }
            return;
        }
        if self.is_queued(offer.id) {
            return;
        }
        if self.containment.is_refused(now, offer.fingerprint) {
            return self.refuse(offer.id, Refusal::Poison, RETRY_MAX);
        }
        let charged = match self.charge(now, catalog, &offer) {
            Ok(charged) => charged,
            Err(wait) => return self.refuse(offer.id, Refusal::Rate, wait),
        };
        let part = self.part / f64::from(self.max_shards);
        let pool = self.pool(&offer.pool);
        if offer.sends > 0 {
            if !pool.budget.take(now, part) {
                self.give_back(&offer, charged);
                return self.refuse(offer.id, Refusal::Budget, RETRY_MIN);
            }
        } else {
            pool.budget.first(now);
        }
        let ahead = pool
            .queue
            .iter()
            .filter(|waiting| waiting.offer.tier <= offer.tier)
            .count();
        let wait = Duration::from_secs_f64(pool.drain * float(ahead));
        if ahead > 0 && wait > offer.wait {
            let after = pool.come_back(now, ahead);
            self.give_back(&offer, charged);
            return self.refuse(offer.id, Refusal::Busy, after);
        }
        let give_up = now + offer.wait;
        let key = (offer.tier, give_up);
        let queue = &mut self.pool(&offer.pool).queue;
        let at = queue.partition_point(|waiting| (waiting.offer.tier, waiting.give_up) <= key);
        queue.insert(
            at,
            Waiting {
                offer,
                give_up,
                charged,
            },
        );
    }

    /// Removes an offer that waits, or ends its run as unused.
    pub fn withdraw(&mut self, now: Duration, id: RunId) {
        for pool in self.pools.values_mut() {
            if let Some(at) = pool.queue.iter().position(|waiting| waiting.offer.id == id) {
                let waiting = pool.queue.remove(at);
                give_back(&mut self.buckets, &waiting.offer, waiting.charged);
                return;
            }
        }
        let report = Report {
            end: End::Unused,
            pace: None,
            load: None,
        };
        self.release(now, id, &report);
    }

    /// Ends a run.
    pub fn release(&mut self, now: Duration, id: RunId, report: &Report) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        match report.end {
            End::Broken => self.containment.broke(now, run.fingerprint, run.target),
            End::Served => self.containment.served(run.fingerprint),
            _ => {}
        }
        if let Some(state) = self.targets.get_mut(&run.target) {
            state.ended(now, report);
        }
        let pool = self.pool(&run.pool);
        let gap = now.saturating_sub(pool.last_end).as_secs_f64();
        if gap < DRAIN_GAP {
            pool.drain += (gap - pool.drain) * DRAIN_WEIGHT;
        }
        pool.last_end = now;
    }

    /// Takes the list of all runs that an entry has in flight here, with their targets.
    pub fn sync(&mut self, now: Duration, entry: u64, listed: &[(u64, u64)]) {
        let ids: HashSet<u64> = listed.iter().map(|&(run, _)| run).collect();
        let over: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(id, run)| {
                id.entry == entry
                    && !ids.contains(&id.run)
                    && now.saturating_sub(run.granted) > LIST_DELAY
            })
            .map(|(&id, _)| id)
            .collect();
        for id in over {
            self.forget(id);
        }
        for &(run, target) in listed {
            let id = RunId { entry, run };
            if self.runs.contains_key(&id) {
                continue;
            }
            let Some(state) = self.targets.get_mut(&target) else {
                continue;
            };
            state.running += 1;
            let pool = state.pool.clone();
            self.runs.insert(
                id,
                Run {
                    target,
                    pool,
                    fingerprint: 0,
                    granted: now,
                    until: now + ADOPTED_RUN,
                },
            );
        }
    }

    /// Forgets the runs of entries whose process is over.
    pub fn drop_entries(&mut self, is_gone: impl Fn(u64) -> bool) {
        let over: Vec<RunId> = self
            .runs
            .keys()
            .filter(|id| is_gone(id.entry))
            .copied()
            .collect();
        for id in over {
            self.forget(id);
        }
        for pool in self.pools.values_mut() {
            pool.queue
                .retain(|waiting| !is_gone(waiting.offer.id.entry));
        }
    }

    /// Decides as much as can be decided now.
    pub fn poll(&mut self, now: Duration) -> Vec<Decision> {
        self.askers
            .retain(|_, &mut at| now.saturating_sub(at) < ASKER_MEMORY);
        let over: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(_, run)| now >= run.until)
            .map(|(&id, _)| id)
            .collect();
        for id in over {
            self.forget(id);
        }
        let names: Vec<Name> = self
            .pools
            .iter()
            .filter(|(_, pool)| !pool.queue.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.serve_queue(now, &name);
        }
        std::mem::take(&mut self.decisions)
    }

    /// Time at which to poll again although nothing happened.
    #[must_use]
    pub fn next_wakeup(&self, now: Duration) -> Option<Duration> {
        let waiting = self.pools.values().flat_map(|pool| &pool.queue);
        let give_up = waiting.map(|waiting| waiting.give_up).min()?;
        let targets = self.targets.values().filter_map(|state| state.wakeup(now));
        targets.chain([give_up]).min()
    }

    /// Whether an offer waits.
    #[must_use]
    pub fn is_queued(&self, id: RunId) -> bool {
        let mut waiting = self.pools.values().flat_map(|pool| &pool.queue);
        waiting.any(|waiting| waiting.offer.id == id)
    }

    fn serve_queue(&mut self, now: Duration, name: &Name) {
        let queue = std::mem::take(&mut self.pool(name).queue);
        let mut kept = Vec::new();
        let caps = self.caps(now, name);
        let pace = self.mean_pace(name);
        for waiting in queue {
            match self.choose(now, &waiting.offer, caps, pace) {
                Some(key) => self.grant(now, waiting.offer, key),
                None if now >= waiting.give_up => {
                    self.give_back(&waiting.offer, waiting.charged);
                    let open = self.targets.values().any(|s| s.open && s.pool == *name);
                    let reason = if open {
                        Refusal::Busy
                    } else {
                        Refusal::NoTarget
                    };
                    let after = self.pool(name).come_back(now, kept.len());
                    self.refuse(waiting.offer.id, reason, after);
                }
                None => kept.push(waiting),
            }
        }
        self.pool(name).queue = kept;
    }

    /// The target with the least load that has room.
    fn choose(
        &mut self,
        now: Duration,
        offer: &Offer,
        caps: Option<Caps>,
        pace: f64,
    ) -> Option<u64> {
        let shard = session_shard(offer.session, offer.id.run, offer.shards);
        let home = self.sessions.get(&offer.session).copied();
        let salt = self.salt;
        let mut best: Option<(f64, u64, u64)> = None;
        for (&key, state) in &mut self.targets {
            if state.pool != offer.pool
                || offer.avoid.contains(&key)
                || (offer.shards > 1 && shard_of(&state.id, offer.shards) != shard)
                || !state.has_room(now, caps)
            {
                continue;
            }
            let mut load = state.load(pace);
            if state.zone != offer.zone {
                load += ZONE_LOAD;
            }
            if home == Some(key) && offer.session != 0 {
                load -= SESSION_LOAD;
            }
            let tie = (key ^ salt).wrapping_mul(TIE_FACTOR);
            if best.is_none_or(|(least, other, _)| (load, tie) < (least, other)) {
                best = Some((load, tie, key));
            }
        }
        best.map(|(.., key)| key)
    }

    fn grant(&mut self, now: Duration, offer: Offer, key: u64) {
        if offer.session != 0 {
            if self.sessions.len() >= MAX_SESSIONS {
                self.sessions.clear();
            }
            self.sessions.insert(offer.session, key);
        }
        let state = self.targets.get_mut(&key).expect("the target was chosen");
        state.sent(now);
        self.decisions.push(Decision::Grant {
            id: offer.id,
            target: state.id.clone(),
        });
        self.runs.insert(
            offer.id,
            Run {
                target: key,
                pool: offer.pool,
                fingerprint: offer.fingerprint,
                granted: now,
                until: now + offer.left,
            },
        );
    }

    fn forget(&mut self, id: RunId) {
        if let Some(run) = self.runs.remove(&id)
            && let Some(state) = self.targets.get_mut(&run.target)
        {
            state.running = state.running.saturating_sub(1);
        }
    }

    fn refuse(&mut self, id: RunId, reason: Refusal, after: Duration) {
        self.decisions.push(Decision::Refuse {
            id,
            reason,
            retry_after: after.clamp(RETRY_MIN, RETRY_MAX),
        });
    }

    /// Part of a workspace's rate that this owner gives out.
    fn rate_part(&self) -> f64 {
        self.part / f64::from(self.max_shards)
    }

    fn charge(&mut self, now: Duration, catalog: &Catalog, offer: &Offer) -> Result<f64, Duration> {
        let Some(name) = &offer.workspace else {
            return Ok(0.0);
        };
        let part = self.rate_part();
        if !self.buckets.contains_key(name) {
            let rate = catalog.workspace(name).and_then(|workspace| workspace.rate);
            let Some(rate) = rate else { return Ok(0.0) };
            let (per_s, burst) = allowance(&self.settings, rate);
            let bucket = Bucket::new(now, per_s * part, burst * part);
            self.buckets.insert(name.clone(), (bucket, rate.unit));
        }
        let (bucket, unit) = self.buckets.get_mut(name).expect("it was inserted");
        let units = match (unit, offer.cost) {
            (Unit::Request, _) => 1.0,
            (Unit::Token { .. }, Some(cost)) => f64::from(cost.prompt) + f64::from(cost.output),
            (Unit::Token { plain }, None) => float(usize::try_from(*plain).unwrap_or(usize::MAX)),
        };
        bucket.take(now, units)?;
        Ok(units)
    }

    fn give_back(&mut self, offer: &Offer, charged: f64) {
        give_back(&mut self.buckets, offer, charged);
    }

    /// Sends a second that a target of a pool may get from here.
    fn caps(&self, now: Duration, pool: &str) -> Option<Caps> {
        let per_s = *self.cold.get(pool)?;
        let bound = per_s * self.settings.cold_overage + self.settings.cold_slack;
        let is_settled = |since| now.saturating_sub(since) >= NEW_OWNER;
        let cold = if self.first_since.is_some_and(is_settled) {
            COLD_PART
        } else {
            COLD_PART_OTHER
        };
        // After a restart of all members the backlog of all callers comes at once.
        let warm = if self.first_since.is_some() {
            WARM_PART * self.part.max(WARM_LEAST)
        } else {
            WARM_PART_OTHER * self.part.max(WARM_LEAST_OTHER)
        };
        let is_new = now.saturating_sub(self.started) < FIRST_COLD;
        Some(Caps {
            cold: if is_new {
                0.0
            } else {
                bound * cold * self.cold_part
            },
            warm: bound * warm,
        })
    }

    fn mean_pace(&self, pool: &str) -> f64 {
        let paces = self.targets.values().filter(|state| &*state.pool == pool);
        let (sum, count) = paces
            .filter_map(|state| state.pace)
            .fold((0.0, 0), |(sum, count), pace| (sum + pace, count + 1));
        if count == 0 { 0.0 } else { sum / float(count) }
    }

    fn pool(&mut self, name: &Name) -> &mut PoolState {
        let settings = &self.settings;
        self.pools.entry(name.clone()).or_insert_with(|| PoolState {
            queue: Vec::new(),
            budget: Budget::new(
                settings.retry_window,
                settings.retry_ratio,
                settings.retry_slack,
            ),
            drain: 0.0,
            refused: Bookings::default(),
            last_end: Duration::ZERO,
        })
    }
}

/// A run that was taken over counts for this long at most; its entry lists it as long as it lasts.
const ADOPTED_RUN: Duration = Duration::from_secs(30);

/// Shard to which a request belongs: that of its session, or any.
#[must_use]
pub(crate) fn session_shard(session: u64, run: u64, shards: u32) -> u32 {
    let key = if session == 0 { run } else { session };
    u32::try_from(xxh3_64(&key.to_be_bytes()) % u64::from(shards.max(1))).unwrap_or(0)
}

/// Rate and burst that owners give out of a workspace's rate.
fn allowance(settings: &Settings, rate: Rate) -> (f64, f64) {
    let per_s = rate.per_s * (1.0 + settings.rate_overage * OVERAGE_RATE);
    let burst = rate.burst * (1.0 + settings.rate_overage * OVERAGE_BURST);
    (per_s, burst + settings.rate_slack * SLACK_BURST)
}

fn give_back(buckets: &mut HashMap<Name, (Bucket, Unit)>, offer: &Offer, charged: f64) {
    if let Some(name) = &offer.workspace
        && let Some((bucket, _)) = buckets.get_mut(name)
    {
        bucket.give_back(charged);
    }
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn float(count: usize) -> f64 {
    count as f64
}
