//! Injects random faults. Some act once; others stay active for a random time, and only a few of
//! these are active at once.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use testkit::ConfigServiceFault;
use tokio::time::Instant;

use crate::site::{Site, ZONES};

/// Maximum number of faults that are active at the same time.
const MAX_ACTIVE_FAULTS: usize = 2;

/// A fault that stays active until it is ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ActiveFault {
    Paused(String),
    Killed(String),
    Partition(Vec<String>),
    CutOff(String),
    ServiceStale,
    ZoneOut(&'static str),
    EngineStalled(String),
    EngineDown(String),
}

/// Starts and ends faults, counts them by kind and keeps a trace of them.
#[derive(Debug, Default)]
pub(crate) struct FaultInjector {
    active: Vec<(Instant, ActiveFault)>,
    counts: BTreeMap<&'static str, u64>,
    trace: Vec<String>,
}

impl FaultInjector {
    pub(crate) fn count(&self) -> u64 {
        self.counts.values().sum()
    }

    pub(crate) fn summary(&self) -> String {
        let counts: Vec<_> = self
            .counts
            .iter()
            .map(|(name, count)| format!("{name} {count}"))
            .collect();
        counts.join(", ")
    }

    pub(crate) fn trace(&self) -> &[String] {
        &self.trace
    }

    /// Ends faults whose time has passed, and injects one more unless the maximum is active.
    pub(crate) async fn step(&mut self, site: &mut Site, rng: &mut SmallRng) {
        let now = Instant::now();
        let (expired, active) = std::mem::take(&mut self.active)
            .into_iter()
            .partition(|(until, _)| *until <= now);
        self.active = active;
        let expired: Vec<(Instant, ActiveFault)> = expired;
        for (_, fault) in expired {
            self.end_fault(site, fault);
        }
        if self.active.len() >= MAX_ACTIVE_FAULTS {
            return;
        }
        let fault = choose_fault(site, rng);
        if let Some(fault) = fault.filter(|fault| !self.overlaps(fault)) {
            self.record(kind_name(&fault), format!("start {fault:?}"));
            start_fault(site, &fault).await;
            let until = Instant::now() + Duration::from_millis(rng.random_range(200..4_000));
            self.active.push((until, fault));
        } else {
            self.inject_instant_fault(site, rng);
        }
    }

    /// Ends all active faults.
    pub(crate) fn end_all(&mut self, site: &mut Site) {
        for (_, fault) in std::mem::take(&mut self.active) {
            self.end_fault(site, fault);
        }
    }

    fn record(&mut self, kind_name: &'static str, line: String) {
        *self.counts.entry(kind_name).or_default() += 1;
        self.trace.push(line);
    }

    /// Whether an active fault is of the same kind, so that ending one could end both, or has
    /// already paused or killed the same daemon.
    fn overlaps(&self, new: &ActiveFault) -> bool {
        let vm = |fault: &ActiveFault| match fault {
            ActiveFault::Paused(vm) | ActiveFault::Killed(vm) => Some(vm.clone()),
            _ => None,
        };
        self.active.iter().any(|(_, fault)| {
            kind_name(fault) == kind_name(new) || (vm(new).is_some() && vm(fault) == vm(new))
        })
    }

    /// Injects a fault that acts once and needs no end.
    fn inject_instant_fault(&mut self, site: &mut Site, rng: &mut SmallRng) {
        let engines: Vec<_> = site.engines.keys().cloned().collect();
        let engine = &engines[rng.random_range(0..engines.len())];
        match rng.random_range(0..3) {
            0 => {
                self.record(
                    "reset target connections",
                    format!("reset connections to {engine}"),
                );
                site.fleet.target_proxy(engine).reset_existing();
            }
            1 => {
                self.record(
                    "silence target connections",
                    format!("silence connections to {engine}"),
                );
                site.fleet.target_proxy(engine).silence_existing();
            }
            _ => {
                self.record("silence peer links", "silence all peer links".into());
                for link in site.fleet.all_peer_proxies() {
                    link.silence_existing();
                }
            }
        }
    }

    fn end_fault(&mut self, site: &mut Site, fault: ActiveFault) {
        self.trace.push(format!("end {fault:?}"));
        match fault {
            ActiveFault::Paused(vm) => site.fleet.resume(&vm).expect("the daemon is paused"),
            ActiveFault::Killed(vm) => {
                site.fleet.add_to_vm_list(&vm);
                site.fleet
                    .spawn(&vm)
                    .expect("the killed daemon starts again");
            }
            ActiveFault::Partition(_) | ActiveFault::CutOff(_) => site.fleet.heal(),
            ActiveFault::ServiceStale => site
                .fleet
                .platform()
                .sheets
                .set_fault(ConfigServiceFault::None),
            ActiveFault::ZoneOut(zone) => {
                site.sheet.set_zone(zone, true).increment_revision();
                site.publish();
            }
            ActiveFault::EngineStalled(engine) => site.engines[&engine].set_stalled(false),
            ActiveFault::EngineDown(engine) => {
                site.engines[&engine]
                    .restart()
                    .expect("the crashed engine keeps its port");
            }
        }
    }
}

fn kind_name(fault: &ActiveFault) -> &'static str {
    match fault {
        ActiveFault::Paused(_) => "pause",
        ActiveFault::Killed(_) => "kill",
        // Ending either one ends the blackholes of all proxies.
        ActiveFault::Partition(_) | ActiveFault::CutOff(_) => "partition",
        ActiveFault::ServiceStale => "stale configuration service",
        ActiveFault::ZoneOut(_) => "zone out of service",
        ActiveFault::EngineStalled(_) => "engine stall",
        ActiveFault::EngineDown(_) => "engine crash",
    }
}

fn choose_fault(site: &Site, rng: &mut SmallRng) -> Option<ActiveFault> {
    let names = site.fleet.names();
    let vm = names[rng.random_range(0..names.len())].clone();
    let engines: Vec<_> = site.engines.keys().cloned().collect();
    let engine = engines[rng.random_range(0..engines.len())].clone();
    Some(match rng.random_range(0..12) {
        0 | 1 => ActiveFault::Paused(vm),
        2 | 3 => ActiveFault::Killed(vm),
        4 => ActiveFault::Partition(names[..rng.random_range(1..names.len())].to_vec()),
        5 => ActiveFault::CutOff(vm),
        6 => ActiveFault::ServiceStale,
        7 => ActiveFault::ZoneOut(ZONES[rng.random_range(0..ZONES.len())]),
        8 => ActiveFault::EngineStalled(engine),
        9 => ActiveFault::EngineDown(engine),
        _ => return None,
    })
}

async fn start_fault(site: &mut Site, fault: &ActiveFault) {
    match fault {
        ActiveFault::Paused(vm) => site.fleet.pause(vm).await.expect("the daemon is running"),
        ActiveFault::Killed(vm) => {
            site.fleet.kill(vm).await.expect("the daemon is running");
            site.fleet.remove_from_vm_list(vm);
        }
        ActiveFault::Partition(group) => {
            let names = site.fleet.names();
            let group: Vec<_> = group.iter().map(String::as_str).collect();
            let others: Vec<_> = names
                .iter()
                .map(String::as_str)
                .filter(|name| !group.contains(name))
                .collect();
            site.fleet.partition(&group, &others);
        }
        ActiveFault::CutOff(vm) => site.fleet.set_platform_blackhole(vm, true),
        ActiveFault::ServiceStale => {
            let revision = site.sheet.revision();
            let sheets = &site.fleet.platform().sheets;
            sheets.set_fault(ConfigServiceFault::Stale(revision));
        }
        ActiveFault::ZoneOut(zone) => {
            site.sheet.set_zone(zone, false).increment_revision();
            site.publish();
        }
        ActiveFault::EngineStalled(engine) => site.engines[engine].set_stalled(true),
        ActiveFault::EngineDown(engine) => site.engines[engine].crash().await,
    }
}
