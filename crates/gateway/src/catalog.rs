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
const LAPSED_TOGETHER: usize = 2;
/// Time by which entries that lapsed without trouble of the store are given up sooner: had their
/// targets left, the time to stop sending to them would run from the removal.
const KNOWN_GONE: Duration = Duration::from_millis(400);

struct Entry {
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
struct InForce {
    version: u64,
    /// Time at which it came into force here.
    since: Duration,
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
    in_force: Option<InForce>,
    evacuated: HashSet<Name>,
    targets: HashMap<Name, Entry>,
    listed: bool,
    last_trouble: Option<Duration>,
}

impl Catalog {
    /// An empty catalog. An entry that lapses while the store is in trouble is kept for `lapse`.
    #[must_use]
    pub fn new(lapse_grace: Duration) -> Self {
        Catalog {
            lapse_grace,
            in_force: None,
            evacuated: HashSet::new(),
            targets: HashMap::new(),
            listed: false,
            last_trouble: None,
        }
    }

    /// Whether requests can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.listed && self.in_force.is_some()
    }

    /// Version of the configuration in force; 0 without one.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |cfg| cfg.version)
    }

    /// Time for which the configuration has been in force here.
    #[must_use]
    pub fn config_age(&self, now: Duration) -> Duration {
        let since = self.in_force.as_ref().map_or(now, |cfg| cfg.since);
        now.saturating_sub(since)
    }

    /// Notes that the store did not answer a call.
    pub fn record_store_failure(&mut self, now: Duration) {
        self.last_trouble = Some(now);
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
            self.take(now, change, None);
        }
        let grace = self.grace(now);
        let missing: Vec<Name> = self
            .targets
            .iter()
            .filter(|(id, entry)| !listed.contains(*id) && entry.lapsed_until.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            self.lapse_entry(now, &id, grace);
        }
    }

    /// Takes changes in their order.
    ///
    /// Entries of many targets that go at once have lapsed together rather than left: a store that
    /// was away for a moment brings them so, although each call was answered.
    pub fn apply_changes(&mut self, now: Duration, changes: Vec<Change>) {
        let mut gone: HashMap<Name, usize> = HashMap::new();
        for change in &changes {
            if let Change::TargetRemoved(id) = change
                && let Some(entry) = self.targets.get(id)
            {
                *gone.entry(entry.target.pool.clone()).or_default() += 1;
            }
        }
        let lapsed = gone.into_iter().any(|(pool, gone)| {
            let of_pool = |entry: &&Entry| entry.target.pool == pool;
            let all = self.targets.values().filter(of_pool).count();
            gone >= LAPSED_TOGETHER && gone * 2 >= all
        });
        let grace = match self.grace(now) {
            None if lapsed => Some(self.lapse_grace.saturating_sub(KNOWN_GONE)),
            grace => grace,
        };
        for change in changes {
            self.take(now, change, grace);
        }
    }

    /// Takes one change.
    fn take(&mut self, now: Duration, change: Change, grace: Option<Duration>) {
        match change {
            Change::Config(cfg) => self.take_config(now, cfg),
            Change::EvacuateZone(zone) => {
                self.evacuated.insert(zone);
            }
            Change::RestoreZone(zone) => {
                self.evacuated.remove(&zone);
            }
            Change::Target(target) => {
                let cold_until = now + target.cold;
                let entry = Entry {
                    cold_until,
                    target,
                    lapsed_until: None,
                };
                self.targets.insert(entry.target.id.clone(), entry);
            }
            Change::TargetRemoved(id) => self.lapse_entry(now, &id, grace),
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
        let cfg = self.in_force.as_ref().ok_or(AccessError::NoConfig)?;
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
        self.in_force
            .as_ref()
            .map_or_else(HttpLimits::default, |cfg| cfg.limits)
    }

    /// The pool with the given name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.in_force.as_ref()?.pools.get(name)
    }

    /// The workspace with the given name.
    #[must_use]
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        Some(self.in_force.as_ref()?.workspaces.get(name)?)
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
    fn grace(&self, now: Duration) -> Option<Duration> {
        let recent = |&at: &Duration| now.saturating_sub(at) < self.lapse_grace;
        self.last_trouble.filter(recent).map(|_| self.lapse_grace)
    }

    fn lapse_entry(&mut self, now: Duration, id: &str, grace: Option<Duration>) {
        match (grace, self.targets.get_mut(id)) {
            (Some(grace), Some(entry)) => {
                entry.lapsed_until.get_or_insert(now + grace);
            }
            _ => {
                self.targets.remove(id);
            }
        }
    }

    fn take_config(&mut self, now: Duration, cfg: Config) {
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
        self.in_force = Some(InForce {
            version: cfg.version,
            since: now,
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
