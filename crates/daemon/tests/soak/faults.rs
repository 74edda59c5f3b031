//! Injects random faults and configuration changes that may overlap and end after a random time.

use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::SmallRng;
use rustix::process::Signal;
use testkit::Direction;
use tokio::time::sleep;

use super::fleet::{COLD_START, Fleet, GRACE, KEYS, MEMBERS, WORKERS, ZONES};
use super::timeline::{Condition, Timeline};
use crate::platform_support::store::Mode;

/// Maximum number of faults that are active at the same time.
const MAX_ACTIVE: usize = 4;
/// Minimum number of healthy workers at any time.
const MIN_WORKERS: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Kill(usize),
    KillAll,
    Pause(usize),
    Stop(usize),
    PeersCut,
    PeersBad,
    Store(Mode),
    StoreCut(usize),
    StoreHeld(usize),
    WorkerDown(usize),
    WorkerFails(usize),
    WorkerSlow(usize),
    Drain(usize),
    Evacuate(usize),
    Withdraw,
}

/// Injects faults and records them, with findings about the processes.
pub struct FaultInjector {
    rng: SmallRng,
    /// Active faults with their ends.
    active: Vec<(Instant, Fault)>,
    pub timeline: Timeline,
    pub trace: Vec<String>,
    pub findings: Vec<String>,
    started: Instant,
}

impl FaultInjector {
    pub fn new(rng: SmallRng) -> Self {
        FaultInjector {
            rng,
            active: Vec::new(),
            timeline: Timeline::default(),
            trace: Vec::new(),
            findings: Vec::new(),
            started: Instant::now(),
        }
    }

    /// Adds a line to the trace.
    fn log(&mut self, event: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        self.trace.push(format!("{seconds:.3} {event}"));
    }

    /// Moves events of the drills to the trace.
    pub fn trace_all(&mut self, events: &mut Vec<String>) {
        for event in events.drain(..) {
            self.log(&event);
        }
    }

    fn report(&mut self, finding: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        self.findings.push(format!("{seconds:.3} {finding}"));
    }

    /// Ends expired faults, checks for exited processes, and injects a new fault. Returns the time
    /// until the next step.
    pub async fn step(&mut self, fleet: &mut Fleet) -> Duration {
        let now = Instant::now();
        let (expired, active) = std::mem::take(&mut self.active)
            .into_iter()
            .partition::<Vec<_>, _>(|(until, _)| *until <= now);
        self.active = active;
        for (_, fault) in expired {
            self.end(fleet, fault);
        }
        self.check_exits(fleet);
        if self.active.len() < MAX_ACTIVE {
            let fault = self.choose();
            match fault {
                Some(fault) if self.can_begin(fleet, fault) => {
                    self.log(&format!("begin {fault:?}"));
                    self.begin(fleet, fault).await;
                    let duration = if matches!(fault, Fault::Stop(_)) {
                        GRACE
                    } else {
                        Duration::from_millis(self.rng.random_range(200..4000))
                    };
                    self.active.push((Instant::now() + duration, fault));
                }
                _ => self.inject_instant_fault(fleet),
            }
        }
        Duration::from_millis(self.rng.random_range(20..700))
    }

    /// Ends all active faults and restarts all members that are down.
    pub async fn end_all(&mut self, fleet: &mut Fleet) {
        for (_, fault) in std::mem::take(&mut self.active) {
            self.end(fleet, fault);
        }
        while fleet.members.iter().any(|member| member.stopping.is_some()) {
            sleep(Duration::from_millis(50)).await;
            self.check_exits(fleet);
        }
        for index in 0..MEMBERS {
            self.restart(fleet, index);
        }
    }

    fn choose(&mut self) -> Option<Fault> {
        let member = self.rng.random_range(0..MEMBERS);
        let worker = self.rng.random_range(0..WORKERS);
        let modes = [Mode::Silent, Mode::Refuses(503), Mode::WatchesMissChanges];
        Some(match self.rng.random_range(0..30) {
            0..3 => Fault::Kill(member),
            3 => Fault::KillAll,
            4..7 => Fault::Pause(member),
            7..10 => Fault::Stop(member),
            10..12 => Fault::PeersCut,
            12 => Fault::PeersBad,
            13..15 => Fault::Store(modes[self.rng.random_range(0..modes.len())]),
            15 => Fault::StoreCut(member),
            16 => Fault::StoreHeld(member),
            17..19 => Fault::WorkerDown(worker),
            19 => Fault::WorkerFails(worker),
            20 => Fault::WorkerSlow(worker),
            21..23 => Fault::Drain(worker),
            23 => Fault::Evacuate(worker % ZONES.len()),
            24..26 => Fault::Withdraw,
            _ => return None,
        })
    }

    /// Whether a fault can begin in addition to the active ones.
    fn can_begin(&self, fleet: &Fleet, fault: Fault) -> bool {
        let active = |pred: fn(Fault) -> bool| self.active.iter().any(|&(_, fault)| pred(fault));
        match fault {
            Fault::Kill(index) => fleet.members[index].process.is_started(),
            Fault::KillAll => fleet
                .members
                .iter()
                .all(|member| member.process.is_started()),
            Fault::Pause(index) | Fault::Stop(index) => {
                let member = &fleet.members[index];
                member.handles_signals() && !member.paused && member.stopping.is_none()
            }
            Fault::PeersCut | Fault::PeersBad => {
                !active(|fault| matches!(fault, Fault::PeersCut | Fault::PeersBad))
            }
            Fault::Store(_) => !active(|fault| matches!(fault, Fault::Store(_))),
            Fault::StoreCut(_) | Fault::StoreHeld(_) => {
                !active(|fault| matches!(fault, Fault::StoreCut(_) | Fault::StoreHeld(_)))
            }
            Fault::WorkerDown(index)
            | Fault::WorkerFails(index)
            | Fault::WorkerSlow(index)
            | Fault::Drain(index) => {
                let worker = &fleet.workers[index];
                fleet.healthy_workers() > MIN_WORKERS
                    && worker.registered
                    && !worker.draining
                    && !active(|fault| matches!(fault, Fault::Evacuate(_)))
                    && !self.active.iter().any(|(_, other)| *other == fault)
            }
            Fault::Evacuate(_) => {
                fleet.healthy_workers() == WORKERS
                    && !active(|fault| matches!(fault, Fault::Evacuate(_)))
            }
            Fault::Withdraw => !active(|fault| fault == Fault::Withdraw),
        }
    }

    async fn begin(&mut self, fleet: &mut Fleet, fault: Fault) {
        match fault {
            Fault::Kill(index) => self.kill(fleet, index).await,
            Fault::KillAll => {
                for index in 0..MEMBERS {
                    self.kill(fleet, index).await;
                }
            }
            Fault::Pause(index) => {
                let member = &mut fleet.members[index];
                self.timeline.begin(Condition::MemberDown(member.ip));
                member.signal(Signal::STOP);
                member.paused = true;
            }
            Fault::Stop(index) => {
                let member = &mut fleet.members[index];
                member.signal(Signal::TERM);
                member.stopping = Some(Instant::now());
            }
            Fault::PeersCut => {
                self.timeline.begin(Condition::PeerLinksImpaired);
                let ips: Vec<_> = fleet.members.iter().map(|member| member.ip).collect();
                let split = self.rng.random_range(1..MEMBERS);
                let one_way = self.rng.random_bool(0.3);
                fleet.relay.update(|rules| {
                    for &a in &ips[..split] {
                        for &b in &ips[split..] {
                            rules.blocked.push((a, b));
                            if !one_way {
                                rules.blocked.push((b, a));
                            }
                        }
                    }
                });
            }
            Fault::PeersBad => {
                self.timeline.begin(Condition::PeerLinksImpaired);
                let loss = self.rng.random_range(0.0..0.4);
                let delay = Duration::from_millis(self.rng.random_range(0..150));
                fleet.relay.update(|rules| {
                    rules.loss = loss;
                    rules.delay = delay;
                });
            }
            Fault::Store(mode) => {
                self.timeline.begin(Condition::StoreImpaired(None));
                fleet.store.set_mode(mode);
            }
            Fault::StoreCut(index) => {
                let member = &fleet.members[index];
                self.timeline
                    .begin(Condition::StoreImpaired(Some(member.ip)));
                member.store.refuse_connections().await;
                member.store.reset_existing();
            }
            Fault::StoreHeld(index) => {
                let member = &fleet.members[index];
                self.timeline
                    .begin(Condition::StoreImpaired(Some(member.ip)));
                member.store.set_held(Direction::Down, true);
            }
            Fault::WorkerDown(index) => {
                self.timeline.begin(Condition::WorkerImpaired);
                let worker = &mut fleet.workers[index];
                worker.registered = false;
                worker.proxy.refuse_connections().await;
                worker.proxy.reset_existing();
            }
            Fault::WorkerFails(index) => {
                self.timeline.begin(Condition::WorkerImpaired);
                fleet.workers[index].echo.set_failing(true);
            }
            Fault::WorkerSlow(index) => {
                self.timeline.begin(Condition::WorkerImpaired);
                let extra = self.rng.random_range(100..2000);
                fleet.workers[index]
                    .echo
                    .set_extra_delay(Duration::from_millis(extra));
            }
            Fault::Drain(index) => {
                fleet.workers[index].draining = true;
                fleet.register(index, Duration::ZERO);
                self.timeline.begin(Condition::WorkerDraining(index));
            }
            Fault::Evacuate(zone) => {
                fleet.evacuate(ZONES[zone], true);
                self.timeline.begin(Condition::ZoneEvacuated(ZONES[zone]));
            }
            Fault::Withdraw => {
                fleet.publish(&KEYS[..1]);
                self.timeline.begin(Condition::KeyWithdrawn);
            }
        }
    }

    fn end(&mut self, fleet: &mut Fleet, fault: Fault) {
        self.log(&format!("end {fault:?}"));
        match fault {
            Fault::Kill(index) => self.restart(fleet, index),
            Fault::KillAll => {
                for index in 0..MEMBERS {
                    self.restart(fleet, index);
                }
            }
            Fault::Pause(index) => {
                let member = &mut fleet.members[index];
                // The member may have been killed since.
                if std::mem::take(&mut member.paused) {
                    member.signal(Signal::CONT);
                    self.timeline.end(Condition::MemberDown(member.ip));
                }
            }
            Fault::Stop(index) => {
                self.check_exits(fleet);
                if !fleet.members[index].process.is_started() {
                    self.restart(fleet, index);
                }
            }
            Fault::PeersCut | Fault::PeersBad => {
                fleet
                    .relay
                    .update(|rules| *rules = super::relay::Rules::default());
                self.timeline.end(Condition::PeerLinksImpaired);
            }
            Fault::Store(_) => {
                fleet.store.set_mode(Mode::Serves);
                self.timeline.end(Condition::StoreImpaired(None));
            }
            Fault::StoreCut(index) | Fault::StoreHeld(index) => {
                let member = &fleet.members[index];
                member.store.clear_faults();
                self.timeline.end(Condition::StoreImpaired(Some(member.ip)));
            }
            Fault::WorkerDown(index) => {
                fleet.workers[index].proxy.accept_connections();
                self.register_restarted(fleet, index);
                self.timeline.end(Condition::WorkerImpaired);
            }
            Fault::WorkerFails(index) => {
                fleet.workers[index].echo.set_failing(false);
                self.timeline.end(Condition::WorkerImpaired);
            }
            Fault::WorkerSlow(index) => {
                fleet.workers[index].echo.set_extra_delay(Duration::ZERO);
                self.timeline.end(Condition::WorkerImpaired);
            }
            Fault::Drain(index) => {
                self.timeline.end(Condition::WorkerDraining(index));
                fleet.workers[index].draining = false;
                fleet.workers[index].proxy.reset_existing();
                self.timeline.add_instant(Condition::WorkerImpaired);
                self.register_restarted(fleet, index);
            }
            Fault::Evacuate(zone) => {
                self.timeline.end(Condition::ZoneEvacuated(ZONES[zone]));
                fleet.evacuate(ZONES[zone], false);
            }
            Fault::Withdraw => {
                self.timeline.end(Condition::KeyWithdrawn);
                fleet.publish(&KEYS);
            }
        }
    }

    /// Registers a restarted worker, which is cold.
    fn register_restarted(&mut self, fleet: &mut Fleet, index: usize) {
        fleet.workers[index].starts += 1;
        // The cold time counts from the restart, when the store is updated, too.
        self.timeline.add_instant(Condition::WorkerCold(index));
        fleet.register(index, COLD_START);
    }

    async fn kill(&mut self, fleet: &mut Fleet, index: usize) {
        let member = &mut fleet.members[index];
        if !member.paused {
            self.timeline.begin(Condition::MemberDown(member.ip));
        }
        member.kill().await;
    }

    fn restart(&mut self, fleet: &mut Fleet, index: usize) {
        let member = &mut fleet.members[index];
        if !member.process.is_started() {
            member.spawn(fleet.dir.path());
            self.timeline.end(Condition::MemberDown(member.ip));
        }
    }

    /// Reports processes that exited unexpectedly, and those that did not exit in their grace time.
    fn check_exits(&mut self, fleet: &mut Fleet) {
        for index in 0..MEMBERS {
            let member = &mut fleet.members[index];
            let ip = member.ip;
            let ended = member
                .process
                .take_exit_status()
                .expect("the state of the member can be read");
            match (ended, member.stopping) {
                (None, Some(since)) if since.elapsed() > GRACE && !member.paused => {
                    member.stopping = None;
                    self.report(&format!("DRAIN {ip} is still running after its grace time"));
                }
                (None, _) => {}
                (Some(status), Some(_)) if status.success() => {
                    member.stopping = None;
                    // A clean exit loses no request, but the member misses changes of the store.
                    self.timeline.begin(Condition::MemberDown(ip));
                }
                (Some(status), _) => {
                    member.stopping = None;
                    self.timeline.begin(Condition::MemberDown(ip));
                    self.report(&format!("EXIT {ip} exited unexpectedly: {status}"));
                }
            }
        }
    }

    /// Injects a fault that has no duration.
    fn inject_instant_fault(&mut self, fleet: &mut Fleet) {
        let member = &fleet.members[self.rng.random_range(0..MEMBERS)];
        let worker = &fleet.workers[self.rng.random_range(0..WORKERS)];
        let event = match self.rng.random_range(0..5) {
            0 if member.handles_signals() => {
                member.signal(Signal::HUP);
                "reload"
            }
            1 => {
                self.timeline
                    .add_instant(Condition::StoreImpaired(Some(member.ip)));
                member.store.silence_existing();
                "store connections silenced"
            }
            2 => {
                fleet.store.compact();
                "store history dropped"
            }
            3 => {
                self.timeline.add_instant(Condition::WorkerImpaired);
                worker.proxy.reset_existing();
                "worker connections reset"
            }
            _ => {
                // A request on a silent connection is given up after two attempts at the earliest.
                self.timeline.add_instant(Condition::WorkerImpaired);
                worker.proxy.silence_existing();
                "worker connections silenced"
            }
        };
        self.log(event);
    }
}
