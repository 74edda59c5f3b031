//! Active configuration and targets, as published in the store.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::leaving_targets::LeavingTargets;
use crate::model::{Config, HttpLimits, Name, Pool, Route, Target, Workspace};
use crate::restore_hold::{ReleasedData, RestoreHold};
use crate::shard::{shard_count, target_key};
use crate::sliding_extremum::SlidingExtremum;

/// One change in the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A configuration was published.
    Config(Config),
    /// An availability zone is evacuated: no new requests go to its targets.
    EvacuateZone(Name),
    /// An availability zone is no longer evacuated.
    RestoreZone(Name),
    /// A target published its entry.
    Target(Target),
    /// The entry of a target was removed.
    TargetRemoved(Name),
}

/// Why a request is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessError {
    /// No configuration has been read yet.
    NoConfig,
    /// No route matches the host and path.
    NoRoute,
    /// The route requires a valid API key.
    UnknownKey,
}

/// Window of the peak number of targets. It is longer than targets take to restart, even if they are
/// replaced one after the other.
const PEAK_WINDOW: Duration = Duration::from_mins(2);
/// If at least this many entries of one pool, and at least half of the pool, are removed at once,
/// they count as lapsed by mistake.
const MASS_LAPSE_MIN: usize = 2;
/// The grace time of such entries is shorter by this much. If the targets really left, the bound on
/// how long requests still go to them counts from the removal, which is read up to 0.4 s later.
const MASS_LAPSE_DEDUCTION: Duration = Duration::from_millis(500);

struct TargetEntry {
    target: Target,
    /// Time at which the target stops being cold.
    cold_until: Duration,
    /// Set if the entry lapsed, possibly by mistake: it is kept until this time, because the target
    /// may still be alive.
    lapsed_until: Option<Duration>,
}

/// The route and the workspace under which a request is admitted.
#[derive(Clone, Debug)]
pub struct Access {
    /// The route.
    pub route: Arc<Route>,
    /// The workspace of the key, if the route requires a key.
    pub workspace: Option<Arc<Workspace>>,
}

/// Number of tiers of routes within one tier of workspaces. Lower tiers share the last one.
const TIERS: u8 = 16;

impl Access {
    /// Rank of the request in queues; the lowest goes first. The tier of the workspace decides, and
    /// among requests of one workspace tier, that of the route. With the workspace tier alone, the
    /// requests with the longest deadlines would wait behind all others of their tier, whatever
    /// their routes.
    #[must_use]
    pub fn rank(&self) -> u8 {
        let route_tier = self.route.tier.min(TIERS - 1);
        let workspace = self.workspace.as_ref();
        let tier = workspace.and_then(|workspace| workspace.tier);
        tier.unwrap_or(route_tier).min(TIERS - 1) * TIERS + route_tier
    }
}

#[derive(Default)]
struct ActiveConfig {
    version: u64,
    /// Time at which it took effect in this process.
    active_since: Duration,
    /// Routes by host, longest prefix first.
    hosts: HashMap<Name, Vec<Arc<Route>>>,
    keys: HashMap<Name, Arc<Workspace>>,
    workspaces: HashMap<Name, Arc<Workspace>>,
    pools: HashMap<Name, Pool>,
    limits: HttpLimits,
}

/// Everything that was read from the store.
pub struct Catalog {
    lapse_grace: Duration,
    active_config: Option<ActiveConfig>,
    evacuated_zones: HashSet<Name>,
    targets: HashMap<Name, TargetEntry>,
    leaving: LeavingTargets,
    restore_hold: RestoreHold,
    /// Largest number of targets of each pool over the last `PEAK_WINDOW`.
    peak_targets: HashMap<Name, SlidingExtremum>,
    has_listing: bool,
    /// Latest time at which the store may have been away: that of a failed call, or of the first one
    /// after it that succeeded.
    store_away_until: Option<Duration>,
}

impl Catalog {
    /// Creates an empty catalog. An entry that lapses because the store is away is kept until
    /// `lapse_grace` after its return.
    #[must_use]
    pub fn new(lapse_grace: Duration) -> Self {
        Catalog {
            lapse_grace,
            active_config: None,
            evacuated_zones: HashSet::new(),
            targets: HashMap::new(),
            leaving: LeavingTargets::default(),
            restore_hold: RestoreHold::default(),
            peak_targets: HashMap::new(),
            has_listing: false,
            store_away_until: None,
        }
    }

    /// Whether a configuration and a full listing have been read.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.has_listing && self.active_config.is_some()
    }

    /// Version of the active configuration; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.active_config.as_ref().map_or(0, |cfg| cfg.version)
    }

    /// Time since the configuration took effect in this process; zero if there is none.
    #[must_use]
    pub fn config_age(&self, now: Duration) -> Duration {
        let active_since = self
            .active_config
            .as_ref()
            .map_or(now, |cfg| cfg.active_since);
        now.saturating_sub(active_since)
    }

    /// Records that a call to the store failed at the given time.
    pub fn record_store_failure(&mut self, at: Duration) {
        self.store_away_until = self.store_away_until.max(Some(at));
    }

    /// Records that a call to the store succeeded after failed ones. Entries that lapsed meanwhile
    /// are published again within the grace time from now on.
    pub fn record_store_return(&mut self, now: Duration) {
        self.record_store_failure(now);
    }

    /// Forgets failed calls that were failures of connections, not of the store.
    pub fn dismiss_store_failure(&mut self) {
        self.store_away_until = None;
    }

    /// Time since the store may have been away for the last time, if ever.
    #[must_use]
    pub fn store_failure_age(&self, now: Duration) -> Option<Duration> {
        self.store_away_until.map(|at| now.saturating_sub(at))
    }

    /// Applies what a full listing changes. Targets that it lacks are removed, or kept for the grace
    /// time after a store failure.
    pub fn apply_listing(&mut self, now: Duration, changes: Vec<Change>) {
        self.has_listing = true;
        let keep_until = self.lapse_deadline(now);
        for change in changes {
            self.apply_change(now, change, keep_until);
        }
        self.update_peaks(now);
    }

    /// Applies what changes with the first listing after the store was restored from an older copy.
    ///
    /// What the copy lacks or has in an older state is likely to be written again within seconds.
    /// Until then the known state stays in force: entries that it lacks are kept for the grace time,
    /// older entries and the return of removed ones are held back, and evacuations go on.
    pub fn apply_restored_listing(&mut self, now: Duration, changes: Vec<Change>) {
        self.record_store_failure(now);
        self.restore_hold.begin(now);
        let mut kept = Vec::with_capacity(changes.len());
        for change in changes {
            match change {
                Change::RestoreZone(zone) => self.restore_hold.hold_zone(zone),
                Change::Target(target) => {
                    let known = self.targets.get(&target.id).map(|entry| &entry.target);
                    if !self.restore_hold.hold_copied(known, &target) {
                        kept.push(Change::Target(target));
                    }
                }
                change => kept.push(change),
            }
        }
        self.apply_listing(now, kept);
    }

    /// Applies changes in order.
    ///
    /// If entries of many targets of a pool are removed at once, they are taken as lapsed together:
    /// a store that was down for a moment lets them lapse although each call succeeded.
    pub fn apply_changes(&mut self, now: Duration, changes: Vec<Change>) {
        let mut removed: HashMap<Name, usize> = HashMap::new();
        for change in &changes {
            if let Change::TargetRemoved(id) = change
                && let Some(entry) = self.targets.get(id)
            {
                *removed.entry(entry.target.pool.clone()).or_default() += 1;
            }
        }
        let mass_lapse = removed.into_iter().any(|(pool, removed)| {
            let of_pool = |entry: &&TargetEntry| entry.target.pool == pool;
            let all = self.targets.values().filter(of_pool).count();
            removed >= MASS_LAPSE_MIN && removed * 2 >= all
        });
        let mass_grace = self.lapse_grace.saturating_sub(MASS_LAPSE_DEDUCTION);
        let mass_deadline = mass_lapse.then(|| now + mass_grace);
        let keep_until = self.lapse_deadline(now).max(mass_deadline);
        for change in changes {
            self.apply_change(now, change, keep_until);
        }
        self.update_peaks(now);
    }

    fn update_peaks(&mut self, now: Duration) {
        let mut counts: HashMap<&Name, usize> = HashMap::new();
        for entry in self.targets.values() {
            *counts.entry(&entry.target.pool).or_default() += 1;
        }
        for (pool, count) in counts {
            let peak = self
                .peak_targets
                .entry(pool.clone())
                .or_insert_with(|| SlidingExtremum::largest(PEAK_WINDOW));
            peak.push(now, count);
        }
    }

    /// Number of shards of a pool.
    ///
    /// It follows the peak of the recent past. Members learn of targets at different moments, so
    /// with each change of the number some targets have two owners for a while, each with limits of
    /// its own. Many targets that crash and return must not change it.
    #[must_use]
    pub fn shards(&self, pool: &str) -> u32 {
        let peak = self.peak_targets.get(pool);
        shard_count(peak.and_then(SlidingExtremum::get).unwrap_or(0))
    }

    /// Applies one change. Removed entries are kept until `keep_until` if it is given.
    fn apply_change(&mut self, now: Duration, change: Change, keep_until: Option<Duration>) {
        match change {
            Change::Config(cfg) => self.apply_config(now, cfg),
            Change::EvacuateZone(zone) => {
                self.restore_hold.drop_zone(&zone);
                self.evacuated_zones.insert(zone);
            }
            Change::RestoreZone(zone) => {
                self.restore_hold.drop_zone(&zone);
                self.evacuated_zones.remove(&zone);
            }
            Change::Target(mut target) => {
                let known = self.targets.get(&target.id).map(|entry| &entry.target);
                if self.restore_hold.hold_written(known, &target) {
                    return;
                }
                self.restore_hold.drop_target(&target.id);
                target.draining |= self.leaving.contains(target_key(&target));
                let cold_until = now.saturating_add(target.cold);
                let entry = TargetEntry {
                    cold_until,
                    target,
                    lapsed_until: None,
                };
                self.targets.insert(entry.target.id.clone(), entry);
            }
            Change::TargetRemoved(id) => {
                self.restore_hold.drop_target(&id);
                self.remove_or_lapse(now, &id, keep_until);
            }
        }
    }

    /// Applies what was held back after a restore of the store and was not written again.
    fn apply_released(&mut self, now: Duration, released: ReleasedData) {
        for zone in released.zones {
            self.evacuated_zones.remove(&zone);
        }
        for target in released.targets {
            // A newer state of the same target goes on to hold.
            if !self.targets.contains_key(&target.id) {
                self.apply_change(now, Change::Target(target), None);
            }
        }
    }

    /// Records that a target, given by its key, said that it is leaving. Returns whether this was
    /// unknown.
    pub fn record_leaving(&mut self, now: Duration, key: u64) -> bool {
        if !self.leaving.record(now, key) {
            return false;
        }
        let mut entries = self.targets.values_mut();
        if let Some(entry) = entries.find(|entry| target_key(&entry.target) == key) {
            entry.target.draining = true;
        }
        true
    }

    /// Keys of the targets of which other members are to be told that they are leaving.
    #[must_use]
    pub fn recently_leaving(&self, now: Duration) -> Vec<u64> {
        self.leaving.reports(now)
    }

    /// Time at which the next grace time of a target ends.
    #[must_use]
    pub fn next_lapse(&self) -> Option<Duration> {
        let entries = self.targets.values();
        entries.filter_map(|entry| entry.lapsed_until).min()
    }

    /// Removes targets whose grace time is over, and ends the hold after a restore of the store.
    /// Returns whether this changes anything.
    pub fn expire(&mut self, now: Duration) -> bool {
        self.leaving.expire(now);
        let released = self.restore_hold.expire(now);
        let is_hold_over = released.is_some();
        if let Some(released) = released {
            self.apply_released(now, released);
        }
        let is_over = |_: &Name, entry: &mut TargetEntry| {
            entry.lapsed_until.is_some_and(|until| now >= until)
        };
        let before = self.targets.len();
        for (_, entry) in self.targets.extract_if(is_over) {
            self.restore_hold.record_removal(now, &entry.target);
        }
        is_hold_over || self.targets.len() != before
    }

    /// Finds the route of a request and the workspace of its key.
    ///
    /// # Errors
    /// Returns why the request is denied.
    pub fn authorize(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<Access, AccessError> {
        let cfg = self.active_config.as_ref().ok_or(AccessError::NoConfig)?;
        let routes = cfg.hosts.get(host).ok_or(AccessError::NoRoute)?;
        let route = routes
            .iter()
            .find(|route| path.starts_with(&*route.prefix))
            .ok_or(AccessError::NoRoute)?;
        let workspace = if route.public || cfg.workspaces.is_empty() {
            None
        } else {
            let found = key.and_then(|key| cfg.keys.get(key));
            Some(Arc::clone(found.ok_or(AccessError::UnknownKey)?))
        };
        Ok(Access {
            route: Arc::clone(route),
            workspace,
        })
    }

    /// Limits on the size and idle time of callers' connections and requests.
    #[must_use]
    pub fn limits(&self) -> HttpLimits {
        self.active_config
            .as_ref()
            .map_or_else(HttpLimits::default, |cfg| cfg.limits)
    }

    /// The pool with the given name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.active_config.as_ref()?.pools.get(name)
    }

    /// The workspace with the given name.
    #[must_use]
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        Some(self.active_config.as_ref()?.workspaces.get(name)?)
    }

    /// The target with the given id.
    #[must_use]
    pub fn target(&self, id: &str) -> Option<&Target> {
        Some(&self.targets.get(id)?.target)
    }

    /// Whether new requests may be sent to a target.
    #[must_use]
    pub fn is_open(&self, target: &Target) -> bool {
        !target.draining && !self.evacuated_zones.contains(&target.zone)
    }

    /// All targets, each with the time at which it stops being cold.
    pub fn targets(&self) -> impl Iterator<Item = (&Target, Duration)> {
        self.targets
            .values()
            .map(|entry| (&entry.target, entry.cold_until))
    }

    /// Time until which entries that are removed now are kept, if the store was away recently.
    ///
    /// It counts from the return of the store, at which live targets begin to publish their entries
    /// again. Counted from the removal, an entry that was removed on purpose would be used for too
    /// long.
    fn lapse_deadline(&self, now: Duration) -> Option<Duration> {
        let deadline = self.store_away_until.map(|at| at + self.lapse_grace);
        deadline.filter(|&deadline| now < deadline)
    }

    fn remove_or_lapse(&mut self, now: Duration, id: &str, keep_until: Option<Duration>) {
        match (keep_until, self.targets.get_mut(id)) {
            (Some(keep_until), Some(entry)) => {
                entry.lapsed_until.get_or_insert(keep_until);
            }
            _ => {
                if let Some(entry) = self.targets.remove(id) {
                    self.restore_hold.record_removal(now, &entry.target);
                }
            }
        }
    }

    fn apply_config(&mut self, now: Duration, cfg: Config) {
        if cfg.version <= self.version() {
            return;
        }
        let mut hosts: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
        for route in cfg.routes {
            let host = hosts.entry(route.host.clone()).or_default();
            host.push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut keys = HashMap::new();
        let mut workspaces = HashMap::new();
        for workspace in cfg.workspaces {
            let workspace = Arc::new(workspace);
            for key in &workspace.keys {
                keys.insert(key.clone(), Arc::clone(&workspace));
            }
            workspaces.insert(workspace.name.clone(), workspace);
        }
        self.active_config = Some(ActiveConfig {
            version: cfg.version,
            active_since: now,
            hosts,
            keys,
            workspaces,
            pools: cfg
                .pools
                .into_iter()
                .map(|pool| (pool.name.clone(), pool))
                .collect(),
            limits: cfg.limits,
        });
    }
}
