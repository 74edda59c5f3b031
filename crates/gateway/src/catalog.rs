//! Configuration and targets in force, from what the store publishes.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::model::{Config, HttpLimits, Name, Pool, Route, Target, Workspace};

/// One thing that the store says.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The configuration.
    Config(Config),
    /// Nothing more is to be sent to the targets of an availability zone.
    EvacuateZone(Name),
    /// An availability zone is taken back.
    RestoreZone(Name),
    /// A target reports itself.
    Target(Target),
    /// The report of a target is gone.
    TargetRemoved(Name),
}

/// Why a request is not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessError {
    /// No configuration was read yet.
    NoConfig,
    /// No route has the host and path.
    NoRoute,
    /// The route needs a valid key.
    UnknownKey,
}

/// This many entries of one pool, and half of them, are taken as lapsed when they go at once.
const MASS_LAPSE_MIN: usize = 2;
/// Time by which entries that lapsed without trouble of the store are given up sooner: had their
/// targets left, the time to stop sending to them would run from the removal.
const MASS_LAPSE_DEDUCTION: Duration = Duration::from_millis(400);

struct TargetEntry {
    target: Target,
    /// Time at which it stops being cold.
    cold_until: Duration,
    /// Set when the report lapsed while the store was in trouble: the target may live.
    lapsed_until: Option<Duration>,
}

/// What a request of one key on one route is subject to.
#[derive(Clone, Debug)]
pub struct Access {
    /// The route.
    pub route: Arc<Route>,
    /// The workspace of the key, if the route needs one.
    pub workspace: Option<Arc<Workspace>>,
}

#[derive(Default)]
struct ActiveConfig {
    version: u64,
    /// Time at which it came into force here.
    active_since: Duration,
    /// Routes of a host, the longest prefix first.
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
    evacuated: HashSet<Name>,
    targets: HashMap<Name, TargetEntry>,
    listed: bool,
    last_store_failure: Option<Duration>,
}

impl Catalog {
    /// An empty catalog. An entry that lapses while the store is in trouble is kept for `lapse`.
    #[must_use]
    pub fn new(lapse_grace: Duration) -> Self {
        Catalog {
            lapse_grace,
            active_config: None,
            evacuated: HashSet::new(),
            targets: HashMap::new(),
            listed: false,
            last_store_failure: None,
        }
    }

    /// Whether requests can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.listed && self.active_config.is_some()
    }

    /// Version of the configuration in force; 0 without one.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.active_config.as_ref().map_or(0, |cfg| cfg.version)
    }

    /// Time for which the configuration has been in force here.
    #[must_use]
    pub fn config_age(&self, now: Duration) -> Duration {
        let active_since = self
            .active_config
            .as_ref()
            .map_or(now, |cfg| cfg.active_since);
        now.saturating_sub(active_since)
    }

    /// Notes that the store did not answer a call.
    pub fn record_store_failure(&mut self, now: Duration) {
        self.last_store_failure = Some(now);
    }

    /// Takes a whole listing. What it lacks is gone.
    pub fn apply_listing(&mut self, now: Duration, changes: Vec<Change>) {
        self.listed = true;
        let mut listed = HashSet::new();
        self.evacuated.clear();
        for change in changes {
            if let Change::Target(target) = &change {
                listed.insert(target.id.clone());
            }
            self.apply_change(now, change, None);
        }
        let grace = self.store_failure_grace(now);
        let missing: Vec<Name> = self
            .targets
            .iter()
            .filter(|(id, entry)| !listed.contains(*id) && entry.lapsed_until.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            self.remove_or_lapse(now, &id, grace);
        }
    }

    /// Takes changes in their order.
    ///
    /// Entries of many targets that go at once have lapsed together rather than left: a store that
    /// was away for a moment brings them so, although each call was answered.
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
        let grace = match self.store_failure_grace(now) {
            None if mass_lapse => Some(self.lapse_grace.saturating_sub(MASS_LAPSE_DEDUCTION)),
            grace => grace,
        };
        for change in changes {
            self.apply_change(now, change, grace);
        }
    }

    /// Takes one change.
    fn apply_change(&mut self, now: Duration, change: Change, grace: Option<Duration>) {
        match change {
            Change::Config(cfg) => self.apply_config(now, cfg),
            Change::EvacuateZone(zone) => {
                self.evacuated.insert(zone);
            }
            Change::RestoreZone(zone) => {
                self.evacuated.remove(&zone);
            }
            Change::Target(target) => {
                let cold_until = now + target.cold;
                let entry = TargetEntry {
                    cold_until,
                    target,
                    lapsed_until: None,
                };
                self.targets.insert(entry.target.id.clone(), entry);
            }
            Change::TargetRemoved(id) => self.remove_or_lapse(now, &id, grace),
        }
    }

    /// Removes targets whose time to come back is over. Returns whether any was removed.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.targets.len();
        self.targets
            .retain(|_, entry| entry.lapsed_until.is_none_or(|until| now < until));
        self.targets.len() != before
    }

    /// Finds what a request is subject to.
    ///
    /// # Errors
    /// Says why it is not allowed.
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

    /// Bounds on what callers send.
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

    /// A target by its id.
    #[must_use]
    pub fn target(&self, id: &str) -> Option<&Target> {
        Some(&self.targets.get(id)?.target)
    }

    /// Whether new requests may be sent to a target.
    #[must_use]
    pub fn is_open(&self, target: &Target) -> bool {
        !target.draining && !self.evacuated.contains(&target.zone)
    }

    /// All targets with the time at which they stop being cold.
    pub fn targets(&self) -> impl Iterator<Item = (&Target, Duration)> {
        self.targets
            .values()
            .map(|entry| (&entry.target, entry.cold_until))
    }

    /// How long entries that go now are kept, if the store was in trouble lately.
    fn store_failure_grace(&self, now: Duration) -> Option<Duration> {
        let recent = |&at: &Duration| now.saturating_sub(at) < self.lapse_grace;
        self.last_store_failure
            .filter(recent)
            .map(|_| self.lapse_grace)
    }

    fn remove_or_lapse(&mut self, now: Duration, id: &str, grace: Option<Duration>) {
        match (grace, self.targets.get_mut(id)) {
            (Some(grace), Some(entry)) => {
                entry.lapsed_until.get_or_insert(now + grace);
            }
            _ => {
                self.targets.remove(id);
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
