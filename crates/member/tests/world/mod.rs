//! A fleet of daemons on a simulated network and platform.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use member::{
    Action, Answer, Beat, Config, Fence, Grants, Incarnation, Name, Ownership, View, Vm, VmList,
    VmState,
};

pub const VMS: usize = 5;
const TARGETS: [(&str, &str); 4] = [("t-1", "a"), ("t-2", "a"), ("t-3", "b"), ("t-4", "b")];
const STEP: Duration = Duration::from_millis(250);
const START: Duration = Duration::from_secs(1000);
/// Longest lag of the platform, and longest time in transit before a round of `STEP`.
const LAG: Duration = Duration::from_secs(10);
const TRANSIT: u64 = 1750;

#[derive(Clone, Debug)]
pub enum Op {
    Run(u64),
    Kill {
        vm: usize,
        silent: bool,
    },
    Boot(usize),
    Cut {
        vm: usize,
        with: usize,
        cut: bool,
    },
    Isolate {
        vm: usize,
        cut: bool,
    },
    CutPlatform {
        vm: usize,
        cut: bool,
    },
    /// Cuts all links of a VM and its way to the platform.
    Strand {
        vm: usize,
        cut: bool,
    },
    PlatformDown(bool),
    Pause {
        vm: usize,
        millis: u64,
    },
    List {
        vm: usize,
        state: Option<VmState>,
    },
    Lag {
        vm: usize,
        secs: u64,
    },
    Network {
        delay: u64,
        loss: u64,
        duplicates: u64,
    },
}

#[derive(Clone)]
enum Body {
    Beat(Beat),
    List(VmList, Duration),
    Ask(Name, u64),
    Reply(Name, u64, Answer),
}

#[derive(Clone)]
struct Message {
    at: Duration,
    from: (usize, Incarnation),
    to: (usize, Incarnation),
    body: Body,
}

struct Daemon {
    view: View,
    own: Ownership,
    started: Duration,
    paused: Option<(Duration, Duration)>,
}

#[derive(Default)]
struct Slot {
    daemon: Option<Daemon>,
    silent: bool,
    lag: Duration,
    cut_platform: bool,
    cut: [bool; VMS],
}

pub struct World {
    pub now: Duration,
    slots: Vec<Slot>,
    lists: Vec<(Duration, VmList)>,
    removals: Vec<Duration>,
    down: bool,
    net: Vec<Message>,
    delay: u64,
    loss: u64,
    duplicates: u64,
    seed: u64,
    draws: u64,
    incarnations: u64,
    /// Highest fencing number of each target.
    fences: HashMap<Name, Fence>,
    /// Starts by source.
    pub starts: [usize; 3],
}

pub fn name(vm: usize) -> Name {
    format!("vm-{vm}").into()
}

fn row(vm: usize, state: VmState) -> Vm {
    let ip = IpAddr::V4(Ipv4Addr::new(10, 0, 0, u8::try_from(vm).unwrap()));
    Vm {
        name: name(vm),
        zone: if vm < 3 { "a" } else { "b" }.into(),
        state,
        entry: SocketAddr::new(ip, 1),
        peer: SocketAddr::new(ip, 2),
    }
}

fn index(name: &str) -> usize {
    name[3..].parse().unwrap()
}

impl World {
    pub fn new(seed: u64) -> Self {
        let vms = (0..VMS - 1).map(|vm| row(vm, VmState::Live)).collect();
        let generation = 1;
        let mut world = Self {
            now: START,
            slots: (0..VMS).map(|_| Slot::default()).collect(),
            lists: vec![(Duration::ZERO, VmList { generation, vms })],
            removals: Vec::new(),
            down: false,
            net: Vec::new(),
            delay: 100,
            loss: 0,
            duplicates: 0,
            seed,
            draws: 0,
            incarnations: 0,
            fences: HashMap::new(),
            starts: [0; 3],
        };
        for vm in 0..VMS {
            world.boot(vm);
        }
        world
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws += 1;
        member::weight(&self.seed.to_string(), &self.draws.to_string()) % below.max(1)
    }

    fn boot(&mut self, vm: usize) {
        if self.slots[vm].daemon.is_none() {
            self.incarnations += 1;
            let incarnation = Incarnation(self.incarnations);
            self.slots[vm].silent = false;
            self.slots[vm].daemon = Some(Daemon {
                view: View::new(Config::default(), name(vm), incarnation),
                own: Ownership::default(),
                started: self.now,
                paused: None,
            });
        }
    }

    pub fn apply(&mut self, op: &Op) -> Result<(), String> {
        match *op {
            Op::Run(millis) => return self.run(Duration::from_millis(millis)),
            Op::Kill { vm, silent } => {
                // Assumption 8: VM 0 links older lists with newer ones while the platform is down.
                let daemon = self.slots[vm].daemon.take();
                if (vm == 0 && self.down) || !self.has_witness() {
                    self.slots[vm].daemon = daemon;
                } else {
                    self.slots[vm].silent = silent;
                }
            }
            Op::Boot(vm) => self.boot(vm),
            Op::Cut { vm, with, cut } => self.cut(vm, with, cut),
            Op::Isolate { vm, cut } => self.isolate(vm, cut),
            Op::CutPlatform { vm, cut } => self.slots[vm].cut_platform = cut && vm != 0,
            Op::Strand { vm, cut } => {
                self.isolate(vm, cut);
                self.slots[vm].cut_platform = cut && vm != 0;
            }
            Op::PlatformDown(down) => {
                let newest = self.lists.last().unwrap().1.generation;
                let bridge = self.slots[0].daemon.as_ref();
                self.down = down && bridge.is_some_and(|d| d.view.generation() == newest);
            }
            Op::Pause { vm, millis } => {
                let until = self.now + Duration::from_millis(millis);
                if let Some(daemon) = &mut self.slots[vm].daemon {
                    daemon.paused.get_or_insert((self.now, until));
                }
            }
            Op::List { vm, state } => self.publish(vm, state),
            Op::Lag { vm, secs } => self.slots[vm].lag = Duration::from_secs(secs).min(LAG),
            Op::Network {
                delay,
                loss,
                duplicates,
            } => {
                (self.delay, self.loss, self.duplicates) = (delay.min(TRANSIT), loss, duplicates);
            }
        }
        Ok(())
    }

    fn cut(&mut self, vm: usize, with: usize, cut: bool) {
        self.slots[vm].cut[with] = cut && vm != with;
        self.slots[with].cut[vm] = cut && vm != with;
    }

    fn isolate(&mut self, vm: usize, cut: bool) {
        (0..VMS).for_each(|with| self.cut(vm, with, cut));
    }

    fn publish(&mut self, vm: usize, state: Option<VmState>) {
        let mut list = self.lists.last().unwrap().1.clone();
        let old = list.vms.iter().find(|row| row.name == name(vm));
        if vm == 0 || old.map(|row| row.state) == state {
            return;
        }
        let removed = old.is_some() && state.is_none();
        list.vms.retain(|row| row.name != name(vm));
        list.vms.extend(state.map(|state| row(vm, state)));
        list.generation += 1;
        self.lists.push((self.now, list));
        if removed {
            self.removals.push(self.now);
            if !self.has_witness() {
                self.removals.pop();
                self.lists.pop();
            }
        }
    }

    /// Assumption 7: a listed process that knows the list before each recent removal goes on.
    fn has_witness(&self) -> bool {
        let list = &self.lists.last().unwrap().1;
        let cfg = Config::default();
        let recent = |at: &&Duration| self.now <= **at + 2 * cfg.lag + cfg.lease;
        self.removals.iter().filter(recent).all(|at| {
            list.vms.iter().any(|row| {
                let daemon = self.slots[index(&row.name)].daemon.as_ref();
                daemon.is_some_and(|d| d.started + LAG < *at && d.view.generation() > 0)
            })
        })
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        (self.down, self.delay, self.loss, self.duplicates) = (false, 100, 0, 0);
        for vm in 0..VMS {
            let slot = &mut self.slots[vm];
            slot.cut = [false; VMS];
            slot.cut_platform = false;
            slot.lag = Duration::from_secs(1);
            if let Some(daemon) = &mut slot.daemon
                && let Some((_, until)) = &mut daemon.paused
            {
                *until = self.now;
            }
            self.boot(vm);
        }
    }

    pub fn run(&mut self, length: Duration) -> Result<(), String> {
        let end = self.now + length;
        while self.now < end {
            self.now += STEP;
            for vm in 0..VMS {
                self.resume(vm);
            }
            self.deliver()?;
            for vm in 0..VMS {
                self.step(vm)?;
                self.check()?;
            }
        }
        Ok(())
    }

    fn resume(&mut self, vm: usize) {
        let now = self.now;
        if let Some(daemon) = &mut self.slots[vm].daemon
            && let Some((since, until)) = daemon.paused
            && now >= until
        {
            daemon.paused = None;
            daemon.view.on_pause(now, now.saturating_sub(since));
        }
    }

    fn deliver(&mut self) -> Result<(), String> {
        let now = self.now;
        let (due, later) = self.net.drain(..).partition::<Vec<_>, _>(|m| m.at <= now);
        self.net = later;
        for message in due {
            let (vm, incarnation) = message.to;
            let Some(daemon) = &self.slots[vm].daemon else {
                continue;
            };
            if daemon.paused.is_some() {
                // The socket's buffer keeps it until the process resumes.
                self.net.push(message);
            } else if daemon.view.incarnation() == incarnation {
                self.receive(message)?;
                self.check()?;
            }
        }
        Ok(())
    }

    fn receive(&mut self, message: Message) -> Result<(), String> {
        let now = self.now;
        let (from, incarnation) = message.from;
        let (vm, peer) = (message.to.0, name(from));
        let Daemon { view, own, .. } = self.running(vm).unwrap();
        let mut actions = Vec::new();
        match message.body {
            Body::Beat(beat) => {
                view.on_hello(&peer, incarnation, row(from, VmState::Live).peer.ip());
                view.on_heartbeat(now, &peer, beat);
                if beat.generation < view.generation() {
                    let push = Body::List(view.list().unwrap().clone(), view.list_age(now));
                    self.send(vm, from, &push);
                }
            }
            Body::List(list, age) => {
                view.on_list_push(now, list, age);
                actions = update(now, view, own);
            }
            Body::Ask(target, generation) => {
                let asker = (&peer, incarnation);
                let answer = own.on_ask(now, view, &target, asker, generation);
                if !matches!(answer, Answer::Wait | Answer::GivenUp) {
                    self.send(vm, from, &Body::Reply(target, generation, answer));
                }
            }
            Body::Reply(target, generation, answer) => {
                actions = match answer {
                    Answer::Given => own.on_handover(now, view, &target, true, generation),
                    Answer::NeverOwned => own.on_never_owned(now, view, &target, &peer, generation),
                    Answer::Yours => own.on_yours(now, view, &target, generation),
                    Answer::Clear => own.on_clear(now, view, &target, &peer, generation),
                    _ => own.on_handover(now, view, &target, false, generation),
                };
            }
        }
        self.perform(vm, actions)
    }

    /// One round of reading the list, sending heartbeats and passing time.
    fn step(&mut self, vm: usize) -> Result<(), String> {
        let now = self.now;
        if self.running(vm).is_none() {
            return Ok(());
        }
        let slot = &self.slots[vm];
        if !self.down && !slot.cut_platform && self.draw(4) == 0 {
            let lag = self.slots[vm].lag;
            let shown = self.lists.iter().rfind(|(at, _)| *at + lag <= now);
            let list = shown.unwrap().1.clone();
            let Daemon { view, own, .. } = self.running(vm).unwrap();
            view.on_list(now, list, Duration::ZERO);
            let actions = update(now, view, own);
            self.perform(vm, actions)?;
        }
        let Daemon { view, own, .. } = self.running(vm).unwrap();
        let actions = own.tick(now, view);
        let beat = Beat {
            generation: view.generation(),
            age: view.list_age(now),
            ready: true,
        };
        let own_links = view.peers().to_vec();
        self.perform(vm, actions)?;
        for peer in 0..VMS {
            let daemon = self.slots[peer].daemon.as_ref();
            let linked = own_links.contains(&name(peer));
            let accepted = daemon.is_some_and(|d| d.view.peers().contains(&name(vm)));
            if peer != vm && (linked || accepted) && self.draw(2) == 0 {
                self.send(vm, peer, &Body::Beat(beat));
            }
        }
        Ok(())
    }

    fn perform(&mut self, vm: usize, actions: Vec<Action>) -> Result<(), String> {
        for action in actions {
            match action {
                Action::AskHandover {
                    target,
                    from,
                    generation,
                } => {
                    self.send(vm, index(&from), &Body::Ask(target, generation));
                }
                Action::Start { target, source } => {
                    self.starts[source as usize] += 1;
                    let Daemon { view, own, .. } = self.running(vm).unwrap();
                    let order = u32::try_from(view.incarnation().0).unwrap();
                    let fence = own.fence(&target, 1, order).unwrap();
                    let last = self.fences.insert(target.clone(), fence);
                    if last.is_some_and(|last| last > fence) {
                        return Err(format!("{target}: {fence:?} after {last:?}"));
                    }
                }
                Action::GiveUp { .. } => {}
            }
        }
        Ok(())
    }

    fn send(&mut self, from: usize, to: usize, body: &Body) {
        let now = self.now;
        let incarnation = self.running(from).unwrap().view.incarnation();
        let (cut, silent) = (self.slots[from].cut[to], self.slots[to].silent);
        let Some(receiver) = &self.slots[to].daemon else {
            let view = &mut self.running(from).unwrap().view;
            if cut || silent {
                view.on_silent(now, &name(to));
            } else {
                view.on_refused(now, &name(to));
            }
            return;
        };
        let to = (to, receiver.view.incarnation());
        let copies = 1 + u64::from(self.draw(100) < self.duplicates);
        for _ in 0..copies {
            if !cut && self.draw(100) >= self.loss {
                let at = now + Duration::from_millis(self.draw(self.delay));
                let (from, body) = ((from, incarnation), body.clone());
                self.net.push(Message { at, from, to, body });
            }
        }
    }

    fn running(&mut self, vm: usize) -> Option<&mut Daemon> {
        let daemon = self.slots[vm].daemon.as_mut()?;
        daemon.paused.is_none().then_some(daemon)
    }

    fn granting(&self, target: &str) -> Vec<usize> {
        let full = |vm: &usize| {
            self.slots[*vm].daemon.as_ref().is_some_and(|d| {
                d.paused.is_none() && d.own.grants(self.now, &d.view, target) == Grants::Full
            })
        };
        (0..VMS).filter(full).collect()
    }

    /// No two daemons may grant to a target while it is cold.
    fn check(&self) -> Result<(), String> {
        for (target, _) in TARGETS {
            let owners = self.granting(target);
            if owners.len() > 1 {
                let at = self.now.checked_sub(START).unwrap();
                return Err(format!("{target} has owners {owners:?} at {at:?}"));
            }
        }
        Ok(())
    }

    /// Each target is held by its owner by the newest list.
    pub fn check_settled(&self) -> Result<(), String> {
        let view = &self.slots[0].daemon.as_ref().unwrap().view;
        for (target, zone) in TARGETS {
            let owner = index(view.owner(target, zone).unwrap());
            if self.granting(target) != [owner] {
                let state = self.slots[owner].daemon.as_ref().unwrap().own.state(target);
                return Err(format!(
                    "{target} isn't granted to by vm-{owner}: {state:?}"
                ));
            }
        }
        Ok(())
    }
}

fn update(now: Duration, view: &View, own: &mut Ownership) -> Vec<Action> {
    let targets = TARGETS.map(|(target, zone)| (target.into(), zone.into()));
    own.update(now, view, targets)
}
