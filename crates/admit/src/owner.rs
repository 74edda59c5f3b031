//! Admission for the targets of one or more shards.
//!
//! An owner keeps no state that can't be rebuilt: in each heartbeat, entries list the runs that
//! they have in flight, so that another member can take over at any time.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::catalog::Catalog;
use crate::convert::count_to_f64;
use crate::limits::{effective_rate, refund};
use crate::model::{FleetView, LimitShare};
use crate::model::{Name, Settings, Unit};
use crate::named_limits::NamedLimits;
use crate::offer::{Decision, Offer, Refusal, RunEnd, RunId, RunReport, StartReport};
use crate::pace::Pace;
use crate::queued_offer::QueuedOffer;
use crate::rate_charge::{Charge, RateLeases, fleet_rate};
use crate::retry_budget::RetryBudget;
use crate::shard::target_key;
use crate::target::TargetState;
use crate::target_speed::PoolSpeed;
use crate::tier_flow::TierFlow;
use crate::token_bucket::TokenBucket;
use crate::wait::wait_limit;

/// An entry counts as asking for this long after its last offer.
const ENTRY_MEMORY: Duration = Duration::from_millis(1200);
/// A run that its entry does not list has ended if it is older than this. The list may have been
/// sent before a younger run was granted.
const LISTING_DELAY: Duration = Duration::from_millis(400);
/// A run that was learned from an entry's list counts for at most this long.
const ADOPTED_RUN_LIMIT: Duration = Duration::from_secs(30);
/// Shortest and longest retry time given to refused callers.
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(5);

/// Limit share of a member that is alone in the fleet.
const SOLE_MEMBER_SHARE: LimitShare = LimitShare {
    share: 1.0,
    cold_share: 1.0,
    member_share: 1.0,
    is_first_owner: true,
    view: FleetView::Settled,
};

pub(crate) struct Run {
    pub(crate) target: u64,
    pub(crate) pool: Name,
    pub(crate) granted_at: Duration,
    /// Time by which it must be over.
    pub(crate) deadline: Duration,
    /// Size of its prompt; zero for a run of which only the target is known.
    pub(crate) prompt_tokens: u32,
    pub(crate) expected_output: Option<u32>,
    /// Whether its first event has arrived.
    pub(crate) has_started: bool,
    /// Whether its target was reading no other prompt when it was granted.
    pub(crate) read_alone: bool,
}

pub(crate) struct PoolState {
    pub(crate) queue: Vec<QueuedOffer>,
    pub(crate) budget: RetryBudget,
    pub(crate) speed: PoolSpeed,
    /// Mean seconds per unit of work over the targets, and the time at which it was computed. A decision
    /// must not go through all targets for each request that waits.
    pub(crate) mean_unit: (f64, Duration),
    pub(crate) flow: TierFlow,
}

/// Decides on offers for the targets of the shards that a member owns.
pub struct Owner {
    pub(crate) settings: Settings,
    pub(crate) targets: HashMap<u64, TargetState>,
    pub(crate) pools: HashMap<Name, PoolState>,
    pub(crate) cold_limits: HashMap<Name, f64>,
    pub(crate) buckets: HashMap<Name, (TokenBucket, Unit)>,
    /// Run with which an entry last reported grants of others, and when, to recognize a repeated offer.
    pub(crate) grant_reports: HashMap<u64, (u64, Duration)>,
    pub(crate) rates: RateLeases,
    pub(crate) runs: HashMap<RunId, Run>,
    pub(crate) session_targets: HashMap<u64, u64>,
    /// Share of the fleet-wide limits that this owner may use, by shard.
    pub(crate) limit_shares: Vec<LimitShare>,
    /// Time at which the limit shares were set.
    pub(crate) limit_shares_set_at: Duration,
    pub(crate) started_at: Duration,
    /// Time since which this member has been the first owner, by shard.
    pub(crate) first_since: Vec<Option<Duration>>,
    /// Time of the last offer, by entry and shard.
    pub(crate) requesting_entries: HashMap<(u64, u32), Duration>,
    /// Whether an entry has asked for the first time since the limit shares were set.
    pub(crate) has_new_requester: bool,
    /// Breaks ties between targets differently in each member, so that members that can't reach
    /// each other spread their runs.
    pub(crate) tie_salt: u64,
    pub(crate) max_shards: u32,
    pub(crate) decisions: Vec<Decision>,
}

impl Owner {
    /// Creates an owner without targets or runs.
    #[must_use]
    pub fn new(now: Duration, settings: Settings) -> Self {
        Owner {
            targets: HashMap::new(),
            pools: HashMap::new(),
            cold_limits: HashMap::new(),
            buckets: HashMap::new(),
            grant_reports: HashMap::new(),
            rates: RateLeases::default(),
            runs: HashMap::new(),
            session_targets: HashMap::new(),
            limit_shares: vec![SOLE_MEMBER_SHARE],
            limit_shares_set_at: now,
            started_at: now,
            first_since: vec![None],
            requesting_entries: HashMap::new(),
            has_new_requester: false,
            tie_salt: xxh3_64(settings.vm.as_bytes()),
            settings,
            max_shards: 1,
            decisions: Vec::new(),
        }
    }

    /// Number of shards of the largest pool.
    #[must_use]
    pub fn max_shards(&self) -> u32 {
        self.max_shards
    }

    /// Number of entries that asked recently, by shard.
    #[must_use]
    pub fn requesting_entries(&self, now: Duration) -> Vec<usize> {
        let mut counts = vec![0; usize::try_from(self.max_shards).unwrap_or(1)];
        for (&(_, shard), &at) in &self.requesting_entries {
            let count = counts.get_mut(usize::try_from(shard).unwrap_or(usize::MAX));
            if let Some(count) = count.filter(|_| now.saturating_sub(at) < ENTRY_MEMORY) {
                *count += 1;
            }
        }
        counts
    }

    /// Longest time, among the targets with runs from this owner, since a run of the target ended,
    /// or started when none was running.
    #[must_use]
    pub fn oldest_report(&self, now: Duration) -> Duration {
        let busy = self.targets.values().filter(|state| state.running > 0);
        busy.map(|state| now.saturating_sub(state.last_activity))
            .max()
            .unwrap_or_default()
    }

    /// Number of runs counted at all targets, and prompt tokens of those without a first event.
    #[must_use]
    pub fn running_totals(&self) -> (u64, u64) {
        self.targets
            .values()
            .fold((0, 0), |(running, unread), state| {
                (
                    running + u64::from(state.running),
                    unread + u64::from(state.unread_tokens),
                )
            })
    }

    /// Number of targets that may not use all of their slots, because they have just started or failed.
    #[must_use]
    pub fn paced_targets(&self) -> usize {
        let states = self.targets.values();
        states.filter(|state| state.pace != Pace::Full).count()
    }

    /// Applies the targets, pools and workspaces of the catalog.
    pub fn apply_catalog(&mut self, now: Duration, catalog: &Catalog) {
        let mut seen = HashSet::new();
        let mut pools: HashSet<Name> = HashSet::new();
        for (target, cold_until) in catalog.targets() {
            pools.insert(target.pool.clone());
            let key = target_key(target);
            seen.insert(key);
            let state = self
                .targets
                .entry(key)
                .or_insert_with(|| TargetState::new(target));
            state.open = catalog.is_open(target);
            state.slots = target.slots;
            state.set_cold(now, cold_until);
            state.pool = target.pool.clone();
        }
        self.targets.retain(|key, _| seen.contains(key));
        let shards = pools.iter().map(|pool| catalog.shards(pool));
        self.max_shards = shards.max().unwrap_or(1);
        self.cold_limits.clear();
        for name in &pools {
            let pool = catalog.pool(name);
            if let Some(per_s) = pool.and_then(|pool| pool.cold_per_s) {
                self.cold_limits.insert(name.clone(), per_s);
            }
        }
        let rate_share = self.rate_share();
        self.buckets.retain(|name, (bucket, unit)| {
            let rate = catalog.workspace(name).and_then(|workspace| workspace.rate);
            if let Some(rate) = rate {
                let (per_s, burst) = effective_rate(&self.settings, rate);
                bucket.reconfigure(now, per_s * rate_share, burst * rate_share);
                *unit = rate.unit;
            }
            rate.is_some()
        });
        let settings = &self.settings;
        let without_rate = self.rates.reconfigure(now, |name| {
            let rate = catalog.workspace(name).and_then(|workspace| workspace.rate);
            rate.map(|rate| fleet_rate(settings, rate))
        });
        for offer in without_rate {
            self.admit_charged(now, offer, 0.0);
        }
    }

    /// Whether a target is known.
    #[must_use]
    pub fn has_target(&self, key: u64) -> bool {
        self.targets.contains_key(&key)
    }

    /// Applies the limits that targets have named.
    pub fn apply_named_limits(&mut self, now: Duration, limits: &NamedLimits) {
        for (&key, state) in &mut self.targets {
            state.set_limit(now, limits.get(key));
        }
    }

    /// Submits an offer. [`Owner::poll`] returns the decision.
    pub fn offer(&mut self, now: Duration, catalog: &Catalog, offer: Offer) {
        let asked = self
            .requesting_entries
            .insert((offer.id.entry, offer.shard), now);
        self.has_new_requester |= asked.is_none();
        if let Some(run) = self.runs.get(&offer.id) {
            if let Some(state) = self.targets.get(&run.target) {
                let target = state.id.clone();
                self.decisions.push(Decision::Grant {
                    id: offer.id,
                    target,
                    has_met_limit: false,
                });
            }
            return;
        }
        if self.is_queued(offer.id) {
            return;
        }
        match self.charge(now, catalog, &offer) {
            Charge::Taken(charged) => self.admit_charged(now, offer, charged),
            Charge::Refused { wait, is_final } => self.refuse_rate(offer.id, wait, is_final),
            Charge::Waiting => {}
        }
    }

    /// Queues or refuses an offer that its workspace's rate covers.
    pub(crate) fn admit_charged(&mut self, now: Duration, offer: Offer, charged: f64) {
        let rate_share = self.rate_share();
        let best = self.best_estimate(now, &offer);
        let wait_limit = wait_limit(&offer, best.as_ref());
        let pool = self.pool(&offer.pool);
        if offer.sends > 0 {
            if !pool.budget.try_take_retry(now, rate_share) {
                self.refund(&offer, charged);
                return self.refuse(offer.id, Refusal::RetryBudget, RETRY_MIN);
            }
        } else {
            pool.budget.record_first_send(now);
        }
        if self.would_wait_longer(&offer, wait_limit) {
            // Offers that arrived since the last decision may not have to wait.
            self.serve_queue(now, &offer.pool);
        }
        if self.would_wait_longer(&offer, wait_limit) {
            let ahead = self.queued_ahead(&offer);
            let flow = &mut self.pool(&offer.pool).flow;
            let after = flow.book_return(now, offer.tier, ahead);
            self.refund(&offer, charged);
            let reason = self.no_capacity_reason(now, &offer);
            return self.refuse(offer.id, reason, after);
        }
        let waiting = QueuedOffer {
            deadline: now + wait_limit,
            due: now + offer.aim_left,
            end_by: now + offer.time_left,
            best,
            offer,
            charged,
            has_met_limit: false,
        };
        let key = waiting.order();
        let queue = &mut self.pool(&waiting.offer.pool).queue;
        let at = queue.partition_point(|other| other.order() <= key);
        queue.insert(at, waiting);
    }

    /// Number of queued offers that go before a new one.
    fn queued_ahead(&mut self, offer: &Offer) -> f64 {
        let queue = &self.pool(&offer.pool).queue;
        count_to_f64(queue.partition_point(|waiting| waiting.offer.tier <= offer.tier))
    }

    /// Whether an offer would wait for longer than it may.
    fn would_wait_longer(&mut self, offer: &Offer, wait_limit: Duration) -> bool {
        let ahead = self.queued_ahead(offer);
        ahead > 0.0 && self.pool(&offer.pool).flow.min_wait(ahead) > wait_limit
    }

    /// Removes a queued offer, or ends its run as unused.
    pub fn withdraw(&mut self, now: Duration, id: RunId) {
        if self.rates.withdraw(id) {
            return;
        }
        for pool in self.pools.values_mut() {
            if let Some(at) = pool.queue.iter().position(|waiting| waiting.offer.id == id) {
                let waiting = pool.queue.remove(at);
                let local = self.settings.ip;
                let (rates, buckets) = (&mut self.rates, &mut self.buckets);
                refund(local, rates, buckets, &waiting.offer, waiting.charged);
                return;
            }
        }
        self.release(now, id, &RunReport::of(RunEnd::Unused));
    }

    /// Ends a run.
    pub fn release(&mut self, now: Duration, id: RunId, report: &RunReport) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        let pool_unit = self.mean_unit(now, &run.pool);
        let unread_tokens = (!run.has_started).then_some(run.prompt_tokens);
        let mut unit = None;
        if let Some(state) = self.targets.get_mut(&run.target) {
            unit = state.speed.unit();
            state.record_end(now, report, unread_tokens, pool_unit);
        }
        let pool = self.pool(&run.pool);
        pool.speed.record_end(report, run.expected_output, unit);
        pool.flow.record_end(now);
    }

    /// Records the first event of a stream.
    pub fn start(&mut self, now: Duration, id: RunId, report: &StartReport) {
        let Some(run) = self.runs.get_mut(&id).filter(|run| !run.has_started) else {
            return;
        };
        run.has_started = true;
        let pool = run.pool.clone();
        let (read_alone, prompt_tokens) = (run.read_alone, run.prompt_tokens);
        let mut unit = None;
        if let Some(state) = self.targets.get_mut(&run.target) {
            unit = state.speed.unit();
            state.record_start(now, run.prompt_tokens, report);
        }
        if let Some(unit) = unit.filter(|_| read_alone) {
            let speed = &mut self.pool(&pool).speed;
            speed.record_start(report.first_event, prompt_tokens, unit);
        }
    }

    /// Synchronizes with the list of all runs that an entry has in flight through this owner, with
    /// their targets.
    pub fn sync_runs(&mut self, now: Duration, entry: u64, listed: &[(u64, u64)]) {
        let ids: HashSet<u64> = listed.iter().map(|&(run, _)| run).collect();
        self.remove_runs(|id, run| {
            id.entry == entry
                && !ids.contains(&id.run)
                && now.saturating_sub(run.granted_at) > LISTING_DELAY
        });
        for &(run, target) in listed {
            let id = RunId { entry, run };
            // A run that is listed while it is queued here was granted by another owner.
            if self.runs.contains_key(&id) || self.is_queued(id) {
                continue;
            }
            let Some(state) = self.targets.get_mut(&target) else {
                continue;
            };
            state.adopt_run();
            let pool = state.pool.clone();
            self.runs.insert(
                id,
                Run {
                    target,
                    pool,
                    granted_at: now,
                    deadline: now + ADOPTED_RUN_LIMIT,
                    prompt_tokens: 0,
                    expected_output: None,
                    has_started: true,
                    read_alone: false,
                },
            );
        }
    }

    /// Removes the runs and offers of entries whose process has ended.
    pub fn drop_entries(&mut self, has_ended: impl Fn(u64) -> bool) {
        self.remove_runs(|id, _| has_ended(id.entry));
        self.rates.drop_entries(&has_ended);
        for pool in self.pools.values_mut() {
            pool.queue
                .retain(|waiting| !has_ended(waiting.offer.id.entry));
        }
    }

    /// Removes entries that no longer ask and runs that are overdue.
    pub fn remove_stale(&mut self, now: Duration) {
        self.requesting_entries
            .retain(|_, &mut at| now.saturating_sub(at) < ENTRY_MEMORY);
        self.grant_reports
            .retain(|_, &mut (_, at)| now.saturating_sub(at) < ENTRY_MEMORY);
        self.remove_runs(|_, run| now >= run.deadline);
        self.rates.remove_stale(now);
    }

    /// Decides on all offers that can be decided now, and returns the decisions.
    pub fn poll(&mut self, now: Duration) -> Vec<Decision> {
        self.poll_leases(now);
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

    /// Whether any offer is queued, or a lease has to be watched.
    #[must_use]
    pub fn has_queued(&self) -> bool {
        self.rates.has_work() || self.pools.values().any(|pool| !pool.queue.is_empty())
    }

    /// Whether the given offer is queued, or waits for tokens.
    #[must_use]
    pub fn is_queued(&self, id: RunId) -> bool {
        let mut waiting = self.pools.values().flat_map(|pool| &pool.queue);
        waiting.any(|waiting| waiting.offer.id == id) || self.rates.is_waiting(id)
    }

    /// Removes runs that ended without a report, and frees their slots.
    pub(crate) fn remove_runs(&mut self, is_over: impl Fn(&RunId, &Run) -> bool) {
        for (_, run) in self.runs.extract_if(|id, run| is_over(id, run)) {
            if let Some(state) = self.targets.get_mut(&run.target) {
                state.running = state.running.saturating_sub(1);
                if !run.has_started {
                    state.finish_prompt(run.prompt_tokens);
                }
            }
        }
    }

    pub(crate) fn refuse(&mut self, id: RunId, reason: Refusal, after: Duration) {
        self.decisions.push(Decision::Refuse {
            id,
            reason,
            retry_after: after.clamp(RETRY_MIN, RETRY_MAX),
            is_final: false,
        });
    }

    pub(crate) fn pool(&mut self, name: &Name) -> &mut PoolState {
        let settings = &self.settings;
        self.pools.entry(name.clone()).or_insert_with(|| PoolState {
            queue: Vec::new(),
            budget: RetryBudget::new(
                settings.retry_window,
                settings.retry_ratio,
                settings.retry_slack,
            ),
            speed: PoolSpeed::default(),
            mean_unit: (0.0, Duration::ZERO),
            flow: TierFlow::default(),
        })
    }
}
