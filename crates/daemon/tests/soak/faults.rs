//! Random faults and changes that overlap, each ended after a while.

use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::SmallRng;
use rustix::process::Signal;
use testkit::Direction;
use tokio::time::sleep;

use super::fleet::{COLD_START, Fleet, GRACE, KEYS, MEMBERS, WORKERS, ZONES};
use super::spans::{Spans, What};
use crate::platform_support::store::Mode;

/// Faults that last at the same time.
const MAX_LASTING: usize = 4;
/// Workers that serve at any time.
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

pub struct Faults {
    rng: SmallRng,
    lasting: Vec<(Instant, Fault)>,
    pub spans: Spans,
    pub trace: Vec<String>,
    pub findings: Vec<String>,
    began: Instant,
}

impl Faults {
    pub fn new(rng: SmallRng) -> Self {
        Faults {
            rng,
            lasting: Vec::new(),
            spans: Spans::default(),
            trace: Vec::new(),
            findings: Vec::new(),
            began: Instant::now(),
        }
    }

    fn note(&mut self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        self.trace.push(format!("{at:.3} {text}"));
    }

    fn find(&mut self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        self.findings.push(format!("{at:.3} {text}"));
    }

    /// Ends what is over, looks at the processes, and starts something new. Returns the time until
    /// the next step.
    pub async fn step(&mut self, fleet: &mut Fleet) -> Duration {
        let now = Instant::now();
        let (over, lasting) = std::mem::take(&mut self.lasting)
            .into_iter()
            .partition::<Vec<_>, _>(|(until, _)| *until <= now);
        self.lasting = lasting;
        for (_, fault) in over {
            self.end(fleet, fault);
        }
        self.watch(fleet);
        if self.lasting.len() < MAX_LASTING {
            let fault = self.choose();
            match fault {
                Some(fault) if self.fits(fleet, fault) => {
                    self.note(&format!("begin {fault:?}"));
                    self.begin(fleet, fault).await;
                    let lasts = if matches!(fault, Fault::Stop(_)) {
                        GRACE
                    } else {
                        Duration::from_millis(self.rng.random_range(200..4000))
                    };
                    self.lasting.push((Instant::now() + lasts, fault));
                }
                _ => self.moment(fleet),
            }
        }
        Duration::from_millis(self.rng.random_range(20..700))
    }

    /// Ends all that lasts and starts all members that are down.
    pub async fn end_all(&mut self, fleet: &mut Fleet) {
        for (_, fault) in std::mem::take(&mut self.lasting) {
            self.end(fleet, fault);
        }
        while fleet.members.iter().any(|member| member.stopping.is_some()) {
            sleep(Duration::from_millis(50)).await;
            self.watch(fleet);
        }
        for at in 0..MEMBERS {
            self.restart(fleet, at);
        }
    }

    fn choose(&mut self) -> Option<Fault> {
        let member = self.rng.random_range(0..MEMBERS);
        let worker = self.rng.random_range(0..WORKERS);
        let modes = [Mode::Silent, Mode::Refuses(503), Mode::Deaf];
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

    /// Whether a fault can begin beside those that last.
    fn fits(&self, fleet: &Fleet, fault: Fault) -> bool {
        let lasting = |is: fn(Fault) -> bool| self.lasting.iter().any(|&(_, fault)| is(fault));
        match fault {
            Fault::Kill(at) => fleet.members[at].process.is_started(),
            Fault::KillAll => fleet
                .members
                .iter()
                .all(|member| member.process.is_started()),
            Fault::Pause(at) | Fault::Stop(at) => {
                let member = &fleet.members[at];
                member.is_up() && !member.paused && member.stopping.is_none()
            }
            Fault::PeersCut | Fault::PeersBad => {
                !lasting(|fault| matches!(fault, Fault::PeersCut | Fault::PeersBad))
            }
            Fault::Store(_) => !lasting(|fault| matches!(fault, Fault::Store(_))),
            Fault::StoreCut(_) | Fault::StoreHeld(_) => {
                !lasting(|fault| matches!(fault, Fault::StoreCut(_) | Fault::StoreHeld(_)))
            }
            Fault::WorkerDown(at)
            | Fault::WorkerFails(at)
            | Fault::WorkerSlow(at)
            | Fault::Drain(at) => {
                let worker = &fleet.workers[at];
                fleet.sound_workers() > MIN_WORKERS
                    && worker.registered
                    && !worker.draining
                    && !lasting(|fault| matches!(fault, Fault::Evacuate(_)))
                    && !self.lasting.iter().any(|(_, other)| *other == fault)
            }
            Fault::Evacuate(_) => {
                fleet.sound_workers() == WORKERS
                    && !lasting(|fault| matches!(fault, Fault::Evacuate(_)))
            }
            Fault::Withdraw => !lasting(|fault| fault == Fault::Withdraw),
        }
    }

    async fn begin(&mut self, fleet: &mut Fleet, fault: Fault) {
        match fault {
            Fault::Kill(at) => self.kill(fleet, at).await,
            Fault::KillAll => {
                for at in 0..MEMBERS {
                    self.kill(fleet, at).await;
                }
            }
            Fault::Pause(at) => {
                let member = &mut fleet.members[at];
                self.spans.begin(What::Member(member.ip));
                member.signal(Signal::STOP);
                member.paused = true;
            }
            Fault::Stop(at) => {
                let member = &mut fleet.members[at];
                member.signal(Signal::TERM);
                member.stopping = Some(Instant::now());
            }
            Fault::PeersCut => {
                self.spans.begin(What::Peers);
                let ips: Vec<_> = fleet.members.iter().map(|member| member.ip).collect();
                let left = self.rng.random_range(1..MEMBERS);
                let one_way = self.rng.random_bool(0.3);
                fleet.relay.change(|rules| {
                    for &a in &ips[..left] {
                        for &b in &ips[left..] {
                            rules.cut.push((a, b));
                            if !one_way {
                                rules.cut.push((b, a));
                            }
                        }
                    }
                });
            }
            Fault::PeersBad => {
                self.spans.begin(What::Peers);
                let lost = self.rng.random_range(0.0..0.4);
                let delay = Duration::from_millis(self.rng.random_range(0..150));
                fleet.relay.change(|rules| {
                    rules.lost = lost;
                    rules.delay = delay;
                });
            }
            Fault::Store(mode) => {
                self.spans.begin(What::Store(None));
                fleet.store.set_mode(mode);
            }
            Fault::StoreCut(at) => {
                let member = &fleet.members[at];
                self.spans.begin(What::Store(Some(member.ip)));
                member.store.refuse_connections().await;
                member.store.reset_existing();
            }
            Fault::StoreHeld(at) => {
                let member = &fleet.members[at];
                self.spans.begin(What::Store(Some(member.ip)));
                member.store.set_held(Direction::Down, true);
            }
            Fault::WorkerDown(at) => {
                self.spans.begin(What::Worker);
                let worker = &mut fleet.workers[at];
                worker.registered = false;
                worker.proxy.refuse_connections().await;
                worker.proxy.reset_existing();
            }
            Fault::WorkerFails(at) => {
                self.spans.begin(What::Worker);
                fleet.workers[at].echo.set_failing(true);
            }
            Fault::WorkerSlow(at) => {
                self.spans.begin(What::Worker);
                let extra = self.rng.random_range(100..2000);
                fleet.workers[at]
                    .echo
                    .set_extra(Duration::from_millis(extra));
            }
            Fault::Drain(at) => {
                fleet.workers[at].draining = true;
                fleet.register(at, Duration::ZERO);
                self.spans.begin(What::Drained(at));
            }
            Fault::Evacuate(zone) => {
                fleet.evacuate(ZONES[zone], true);
                self.spans.begin(What::Evacuated(ZONES[zone]));
            }
            Fault::Withdraw => {
                fleet.publish(&KEYS[..1]);
                self.spans.begin(What::Withdrawn);
            }
        }
    }

    fn end(&mut self, fleet: &mut Fleet, fault: Fault) {
        self.note(&format!("end {fault:?}"));
        match fault {
            Fault::Kill(at) => self.restart(fleet, at),
            Fault::KillAll => {
                for at in 0..MEMBERS {
                    self.restart(fleet, at);
                }
            }
            Fault::Pause(at) => {
                let member = &mut fleet.members[at];
                // It may have been killed since.
                if std::mem::take(&mut member.paused) {
                    member.signal(Signal::CONT);
                    self.spans.end(What::Member(member.ip));
                }
            }
            Fault::Stop(at) => {
                self.watch(fleet);
                if !fleet.members[at].process.is_started() {
                    self.restart(fleet, at);
                }
            }
            Fault::PeersCut | Fault::PeersBad => {
                fleet
                    .relay
                    .change(|rules| *rules = super::relay::Rules::default());
                self.spans.end(What::Peers);
            }
            Fault::Store(_) => {
                fleet.store.set_mode(Mode::Serves);
                self.spans.end(What::Store(None));
            }
            Fault::StoreCut(at) | Fault::StoreHeld(at) => {
                let member = &fleet.members[at];
                member.store.clear_faults();
                self.spans.end(What::Store(Some(member.ip)));
            }
            Fault::WorkerDown(at) => {
                fleet.workers[at].proxy.accept_connections();
                self.reborn(fleet, at);
                self.spans.end(What::Worker);
            }
            Fault::WorkerFails(at) => {
                fleet.workers[at].echo.set_failing(false);
                self.spans.end(What::Worker);
            }
            Fault::WorkerSlow(at) => {
                fleet.workers[at].echo.set_extra(Duration::ZERO);
                self.spans.end(What::Worker);
            }
            Fault::Drain(at) => {
                self.spans.end(What::Drained(at));
                fleet.workers[at].draining = false;
                fleet.workers[at].proxy.reset_existing();
                self.spans.moment(What::Worker);
                self.reborn(fleet, at);
            }
            Fault::Evacuate(zone) => {
                self.spans.end(What::Evacuated(ZONES[zone]));
                fleet.evacuate(ZONES[zone], false);
            }
            Fault::Withdraw => {
                self.spans.end(What::Withdrawn);
                fleet.publish(&KEYS);
            }
        }
    }

    /// Registers a worker that was started again, and is cold.
    fn reborn(&mut self, fleet: &mut Fleet, at: usize) {
        fleet.workers[at].born += 1;
        // Cold from the restart, of which the store tells at the same time.
        self.spans.moment(What::Cold(at));
        fleet.register(at, COLD_START);
    }

    async fn kill(&mut self, fleet: &mut Fleet, at: usize) {
        let member = &mut fleet.members[at];
        if !member.paused {
            self.spans.begin(What::Member(member.ip));
        }
        member.kill().await;
    }

    fn restart(&mut self, fleet: &mut Fleet, at: usize) {
        let member = &mut fleet.members[at];
        if !member.process.is_started() {
            member.spawn(fleet.dir.path());
            self.spans.end(What::Member(member.ip));
        }
    }

    /// Notices processes that have ended, and those that should have.
    fn watch(&mut self, fleet: &mut Fleet) {
        for at in 0..MEMBERS {
            let member = &mut fleet.members[at];
            let ip = member.ip;
            let ended = member
                .process
                .take_exit_status()
                .expect("the child is ours");
            match (ended, member.stopping) {
                (None, Some(since)) if since.elapsed() > GRACE && !member.paused => {
                    member.stopping = None;
                    self.find(&format!(
                        "DRAIN {ip} still runs at the end of its grace time"
                    ));
                }
                (None, _) => {}
                (Some(status), Some(_)) if status.success() => {
                    member.stopping = None;
                    // Nothing is lost by its absence; only changes may pass it by.
                    self.spans.begin(What::Member(ip));
                }
                (Some(status), _) => {
                    member.stopping = None;
                    self.spans.begin(What::Member(ip));
                    self.find(&format!("EXIT {ip} ended by itself: {status}"));
                }
            }
        }
    }

    /// Something without an end.
    fn moment(&mut self, fleet: &mut Fleet) {
        let member = &fleet.members[self.rng.random_range(0..MEMBERS)];
        let worker = &fleet.workers[self.rng.random_range(0..WORKERS)];
        let text = match self.rng.random_range(0..5) {
            0 if member.is_up() => {
                member.signal(Signal::HUP);
                "reload"
            }
            1 => {
                self.spans.moment(What::Store(Some(member.ip)));
                member.store.silence_existing();
                "store connection silent"
            }
            2 => {
                fleet.store.forget();
                "store forgets"
            }
            3 => {
                self.spans.moment(What::Worker);
                worker.proxy.reset_existing();
                "worker connections cut"
            }
            _ => {
                // A request on a silent connection is given up after two aims at the earliest.
                self.spans.moment(What::Worker);
                worker.proxy.silence_existing();
                "worker connections silent"
            }
        };
        self.note(text);
    }
}
