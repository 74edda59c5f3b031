//! Random faults, at most a few at a time, each ended after a while.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use testkit::ConfigServiceFault;
use tokio::time::Instant;

use crate::site::{Site, ZONES};

/// Faults that last at the same time.
const MAX_LASTING: usize = 2;

/// A fault that lasts until it is ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Lasting {
    Paused(String),
    Killed(String),
    Partition(Vec<String>),
    CutOff(String),
    ServiceStale,
    ZoneOut(&'static str),
    EngineStalled(String),
    EngineDown(String),
}

/// Faults so far and those that last.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    lasting: Vec<(Instant, Lasting)>,
    counts: BTreeMap<&'static str, u64>,
    trace: Vec<String>,
}

impl Faults {
    pub(crate) fn count(&self) -> u64 {
        self.counts.values().sum()
    }

    pub(crate) fn summary(&self) -> String {
        let parts: Vec<_> = self
            .counts
            .iter()
            .map(|(name, count)| format!("{name} {count}"))
            .collect();
        parts.join(", ")
    }

    pub(crate) fn trace(&self) -> &[String] {
        &self.trace
    }

    /// Ends faults whose time is over, and starts a new one if few last.
    pub(crate) async fn step(&mut self, site: &mut Site, rng: &mut SmallRng) {
        let now = Instant::now();
        let (over, lasting) = std::mem::take(&mut self.lasting)
            .into_iter()
            .partition(|(until, _)| *until <= now);
        self.lasting = lasting;
        let over: Vec<(Instant, Lasting)> = over;
        for (_, fault) in over {
            self.end(site, fault);
        }
        if self.lasting.len() >= MAX_LASTING {
            return;
        }
        let fault = choose(site, rng);
        if let Some(fault) = fault.filter(|fault| !self.overlaps(fault)) {
            self.note(label(&fault), format!("start {fault:?}"));
            start(site, &fault).await;
            let until = Instant::now() + Duration::from_millis(rng.random_range(200..4_000));
            self.lasting.push((until, fault));
        } else {
            self.instant(site, rng);
        }
    }

    /// Ends all faults that last.
    pub(crate) fn end_all(&mut self, site: &mut Site) {
        for (_, fault) in std::mem::take(&mut self.lasting) {
            self.end(site, fault);
        }
    }

    fn note(&mut self, label: &'static str, line: String) {
        *self.counts.entry(label).or_default() += 1;
        self.trace.push(line);
    }

    /// Whether the fault meets one of the same kind that lasts, so that ending one would end both,
    /// or a daemon that is paused or killed already.
    fn overlaps(&self, new: &Lasting) -> bool {
        let vm = |fault: &Lasting| match fault {
            Lasting::Paused(vm) | Lasting::Killed(vm) => Some(vm.clone()),
            _ => None,
        };
        self.lasting.iter().any(|(_, fault)| {
            label(fault) == label(new) || (vm(new).is_some() && vm(fault) == vm(new))
        })
    }

    /// A fault without an end.
    fn instant(&mut self, site: &mut Site, rng: &mut SmallRng) {
        let engines: Vec<_> = site.engines.keys().cloned().collect();
        let engine = &engines[rng.random_range(0..engines.len())];
        match rng.random_range(0..3) {
            0 => {
                self.note(
                    "cut target connections",
                    format!("connections to {engine} cut"),
                );
                site.fleet.target_proxy(engine).reset_existing();
            }
            1 => {
                self.note(
                    "silence target connections",
                    format!("connections to {engine} silent"),
                );
                site.fleet.target_proxy(engine).silence_existing();
            }
            _ => {
                self.note("silence peer links", "all peer links silent".into());
                for link in site.fleet.all_peer_proxies() {
                    link.silence_existing();
                }
            }
        }
    }

    fn end(&mut self, site: &mut Site, fault: Lasting) {
        self.trace.push(format!("end {fault:?}"));
        match fault {
            Lasting::Paused(vm) => site.fleet.resume(&vm).expect("the daemon is paused"),
            Lasting::Killed(vm) => {
                site.fleet.add_to_vm_list(&vm);
                site.fleet.spawn(&vm).expect("the daemon starts again");
            }
            Lasting::Partition(_) | Lasting::CutOff(_) => site.fleet.heal(),
            Lasting::ServiceStale => site
                .fleet
                .platform()
                .sheets
                .set_fault(ConfigServiceFault::None),
            Lasting::ZoneOut(zone) => {
                site.sheet.set_zone(zone, true).increment_revision();
                site.publish();
            }
            Lasting::EngineStalled(engine) => site.engines[&engine].set_stalled(false),
            Lasting::EngineDown(engine) => {
                site.engines[&engine].restart().expect("its port is kept");
            }
        }
    }
}

fn label(fault: &Lasting) -> &'static str {
    match fault {
        Lasting::Paused(_) => "pause",
        Lasting::Killed(_) => "kill",
        // Both are ended by healing all proxies.
        Lasting::Partition(_) | Lasting::CutOff(_) => "partition",
        Lasting::ServiceStale => "stale service",
        Lasting::ZoneOut(_) => "zone out",
        Lasting::EngineStalled(_) => "engine stall",
        Lasting::EngineDown(_) => "engine crash",
    }
}

fn choose(site: &Site, rng: &mut SmallRng) -> Option<Lasting> {
    let names = site.fleet.names();
    let vm = names[rng.random_range(0..names.len())].clone();
    let engines: Vec<_> = site.engines.keys().cloned().collect();
    let engine = engines[rng.random_range(0..engines.len())].clone();
    Some(match rng.random_range(0..12) {
        0 | 1 => Lasting::Paused(vm),
        2 | 3 => Lasting::Killed(vm),
        4 => Lasting::Partition(names[..rng.random_range(1..names.len())].to_vec()),
        5 => Lasting::CutOff(vm),
        6 => Lasting::ServiceStale,
        7 => Lasting::ZoneOut(ZONES[rng.random_range(0..ZONES.len())]),
        8 => Lasting::EngineStalled(engine),
        9 => Lasting::EngineDown(engine),
        _ => return None,
    })
}

async fn start(site: &mut Site, fault: &Lasting) {
    match fault {
        Lasting::Paused(vm) => site.fleet.pause(vm).await.expect("the daemon runs"),
        Lasting::Killed(vm) => {
            site.fleet.kill(vm).await.expect("the daemon runs");
            site.fleet.remove_from_vm_list(vm);
        }
        Lasting::Partition(left) => {
            let names = site.fleet.names();
            let left: Vec<_> = left.iter().map(String::as_str).collect();
            let right: Vec<_> = names
                .iter()
                .map(String::as_str)
                .filter(|name| !left.contains(name))
                .collect();
            site.fleet.partition(&left, &right);
        }
        Lasting::CutOff(vm) => site.fleet.set_platform_blackhole(vm, true),
        Lasting::ServiceStale => {
            let revision = site.sheet.revision();
            let sheets = &site.fleet.platform().sheets;
            sheets.set_fault(ConfigServiceFault::Stale(revision));
        }
        Lasting::ZoneOut(zone) => {
            site.sheet.set_zone(zone, false).increment_revision();
            site.publish();
        }
        Lasting::EngineStalled(engine) => site.engines[engine].set_stalled(true),
        Lasting::EngineDown(engine) => site.engines[engine].crash().await,
    }
}
