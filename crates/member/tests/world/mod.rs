//! A fleet of daemons on a simulated network and platform.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use member::{
    Action, Config, FencingToken, GrantLevel, HandoverResponse, HeartbeatInfo, Incarnation, Name,
    Ownership, View, Vm, VmList, VmState,
};

pub const VMS: usize = 5;
const TARGETS: [(&str, &str); 4] = [("t-1", "a"), ("t-2", "a"), ("t-3", "b"), ("t-4", "b")];
const ROUND: Duration = Duration::from_millis(250);
const START: Duration = Duration::from_secs(1000);
/// Longest lag of the lists, and longest transit time, to which one round of delivery is added.
const MAX_LAG: Duration = Duration::from_secs(10);
const MAX_TRANSIT_MS: u64 = 1750;

#[derive(Clone, Debug)]
pub enum Op {
    /// Time passes, in milliseconds.
    Run(u64),
    /// Ends a process; if the flag is set, its VM doesn't respond instead of refusing connections.
    Kill(usize, bool),
    /// Starts the daemon of a VM.
    Boot(usize),
    /// Cuts or heals the link of two VMs, or of one VM and the platform.
    Cut(usize, usize, bool),
    /// Cuts or heals all links of a VM.
    Isolate(usize, bool),
    /// Starts or ends an outage of the platform.
    PlatformDown(bool),
    /// Pauses a process, in milliseconds.
    Pause(usize, u64),
    /// Sets the state of a VM in the list, or removes the VM.
    List(usize, Option<VmState>),
    /// Sets the lag of the lists that a VM reads, in seconds.
    ListLag(usize, u64),
    /// Sets the longest delay in milliseconds, and loss and duplicates in percent.
    Network(u64, u64, u64),
}

#[derive(Clone)]
enum Body {
    Heartbeat(HeartbeatInfo),
    List(VmList, Duration),
    Ask(Name, u64),
    Reply(Name, u64, HandoverResponse),
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
    /// When the daemon opens its links, or earlier if the platform responds before.
    links_open_at: Duration,
    paused: Option<(Duration, Duration)>,
}

#[derive(Default)]
struct Slot {
    daemon: Option<Daemon>,
    silent: bool,
    lag: Duration,
    /// Cut links by VM; the entry of this VM itself is its link to the platform.
    cut: [bool; VMS],
}

#[derive(Default)]
pub struct World {
    now: Duration,
    slots: Vec<Slot>,
    lists: Vec<(Duration, VmList)>,
    removals: Vec<Duration>,
    platform_down: bool,
    in_flight: Vec<Message>,
    max_delay_ms: u64,
    loss_percent: u64,
    duplicate_percent: u64,
    seed: u64,
    incarnations: u64,
    /// First violation of an invariant.
    pub violation: Option<String>,
    /// Last fencing token of each target.
    last_tokens: HashMap<Name, FencingToken>,
}

fn name(vm: usize) -> Name {
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
            max_delay_ms: 100,
            seed,
            ..Self::default()
        };
        (0..VMS).for_each(|vm| world.boot(vm));
        world
    }

    fn random_below(&mut self, below: u64) -> u64 {
        self.seed = member::weight(&self.seed.to_string(), "");
        self.seed % below.max(1)
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
                links_open_at: self.now + Config::default().lease,
                paused: None,
            });
        }
    }

    pub fn apply(&mut self, op: &Op) {
        match *op {
            Op::Run(millis) => self.run(Duration::from_millis(millis)),
            Op::Kill(vm, silent) => {
                // Assumption 8: while the platform is down, VM 0 connects VMs with older lists to
                // those with newer ones, so it is not killed.
                let daemon = self.slots[vm].daemon.take();
                if (vm == 0 && self.platform_down) || !self.has_witness() {
                    self.slots[vm].daemon = daemon;
                } else {
                    self.slots[vm].silent = silent;
                }
            }
            Op::Boot(vm) => self.boot(vm),
            Op::Cut(vm, with, cut) => self.cut(vm, with, cut),
            Op::Isolate(vm, cut) => (0..VMS).for_each(|with| self.cut(vm, with, cut)),
            Op::PlatformDown(down) => {
                let newest = self.lists.last().unwrap().1.generation;
                let bridge = self.slots[0].daemon.as_ref();
                self.platform_down = down && bridge.is_some_and(|d| d.view.generation() == newest);
            }
            Op::Pause(vm, millis) => {
                let times = (self.now, self.now + Duration::from_millis(millis));
                if let Some(daemon) = self.running(vm) {
                    daemon.paused = Some(times);
                }
            }
            Op::List(vm, state) => self.publish(vm, state),
            Op::ListLag(vm, secs) => self.slots[vm].lag = Duration::from_secs(secs).min(MAX_LAG),
            Op::Network(delay, loss, duplicates) => {
                (self.max_delay_ms, self.loss_percent, self.duplicate_percent) =
                    (delay.min(MAX_TRANSIT_MS), loss, duplicates);
            }
        }
    }

    /// Assumption 8: the link between VM 0 and the platform is never cut.
    fn cut(&mut self, vm: usize, with: usize, cut: bool) {
        self.slots[vm].cut[with] = cut && (vm, with) != (0, 0);
        self.slots[with].cut[vm] = self.slots[vm].cut[with];
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
        self.removals.extend(removed.then_some(self.now));
        if removed && !self.has_witness() {
            self.removals.pop();
            self.lists.pop();
        }
    }

    /// Assumption 7: for each recent removal, a listed process that read an earlier list keeps
    /// running.
    fn has_witness(&self) -> bool {
        let recent = |at: &&Duration| self.now <= **at + Duration::from_secs(28);
        let rows = &self.lists.last().unwrap().1.vms;
        let knows = |vm: usize, at: Duration| {
            let daemon = self.slots[vm].daemon.as_ref();
            daemon.is_some_and(|d| d.started + MAX_LAG < at && d.view.generation() > 0)
        };
        let witness = |at: &Duration| rows.iter().any(|row| knows(index(&row.name), *at));
        self.removals.iter().filter(recent).all(witness)
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        (
            self.platform_down,
            self.max_delay_ms,
            self.loss_percent,
            self.duplicate_percent,
        ) = (false, 100, 0, 0);
        for vm in 0..VMS {
            let slot = &mut self.slots[vm];
            slot.cut = [false; VMS];
            slot.lag = Duration::from_secs(1);
            if let Some(paused) = slot.daemon.as_mut().and_then(|d| d.paused.as_mut()) {
                paused.1 = self.now;
            }
            self.boot(vm);
        }
    }

    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now += ROUND;
            for slot in &mut self.slots {
                let Some(daemon) = &mut slot.daemon else {
                    continue;
                };
                if let Some((since, _)) = daemon.paused.take_if(|(_, until)| *until <= self.now) {
                    let length = self.now.saturating_sub(since);
                    daemon.view.on_pause(self.now, length);
                }
            }
            self.deliver();
            for vm in 0..VMS {
                self.run_daemon(vm);
                self.check_single_owner();
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = self
            .in_flight
            .drain(..)
            .partition::<Vec<_>, _>(|m| m.at <= now);
        self.in_flight = later;
        for message in due {
            let (vm, incarnation) = message.to;
            let Some(daemon) = &self.slots[vm].daemon else {
                continue;
            };
            if daemon.paused.is_some() {
                // The socket buffer holds the message until the process resumes.
                self.in_flight.push(message);
            } else if daemon.view.incarnation() == incarnation {
                self.receive(message);
                self.check_single_owner();
            }
        }
    }

    fn receive(&mut self, message: Message) {
        let now = self.now;
        let (from, incarnation) = message.from;
        let (vm, peer) = (message.to.0, name(from));
        let Daemon { view, own, .. } = self.running(vm).unwrap();
        let mut actions = Vec::new();
        match message.body {
            Body::Heartbeat(heartbeat) => {
                view.on_hello(&peer, incarnation, row(from, VmState::Live).peer.ip());
                view.on_heartbeat(now, &peer, heartbeat);
                if heartbeat.generation < view.generation() {
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
                let response = own.on_handover_request(now, view, &target, asker, generation);
                if !matches!(response, HandoverResponse::Wait | HandoverResponse::Stopped) {
                    self.send(vm, from, &Body::Reply(target, generation, response));
                }
            }
            Body::Reply(target, generation, response) => {
                actions =
                    own.on_handover_response(now, view, &target, (&peer, response), generation);
            }
        }
        self.perform(vm, actions);
    }

    /// Runs one daemon for one round: it may read a list, updates its ownership and sends
    /// heartbeats.
    fn run_daemon(&mut self, vm: usize) {
        let now = self.now;
        if self.running(vm).is_none() {
            return;
        }
        let slot = &self.slots[vm];
        if !self.platform_down && !slot.cut[vm] && self.random_below(4) == 0 {
            let lag = self.slots[vm].lag;
            let shown = self.lists.iter().rfind(|(at, _)| *at + lag <= now);
            let list = shown.unwrap().1.clone();
            let daemon = self.running(vm).unwrap();
            daemon.links_open_at = now.min(daemon.links_open_at);
            daemon.view.on_list(now, list, Duration::ZERO);
        }
        let Daemon { view, own, .. } = self.running(vm).unwrap();
        let actions = update(now, view, own);
        let heartbeat = view.heartbeat(now);
        let own_links = view.peers().to_vec();
        self.perform(vm, actions);
        if now < self.running(vm).unwrap().links_open_at {
            return;
        }
        for peer in 0..VMS {
            if own_links.contains(&name(peer)) && self.random_below(2) == 0 {
                self.send(vm, peer, &Body::Heartbeat(heartbeat));
            }
        }
    }

    fn perform(&mut self, vm: usize, actions: Vec<Action>) {
        for action in actions {
            if let Action::AskHandover {
                from,
                target,
                generation,
            } = action
            {
                self.send(vm, index(&from), &Body::Ask(target, generation));
            } else if let Action::Start { target, .. } = action {
                let Daemon { view, own, .. } = self.running(vm).unwrap();
                let order = u32::try_from(view.incarnation().0).unwrap();
                let token = own.fencing_token(&target, 1, order).unwrap();
                let last = self.last_tokens.insert(target.clone(), token);
                if let Some(last) = last.filter(|last| *last > token) {
                    self.violation = Some(format!("{target}: {token:?} after {last:?}"));
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, body: &Body) {
        let now = self.now;
        let incarnation = self.running(from).unwrap().view.incarnation();
        let (cut, silent) = (self.slots[from].cut[to], self.slots[to].silent);
        let receiver = self.slots[to].daemon.as_ref();
        let Some(receiver) = receiver.filter(|d| d.links_open_at <= now) else {
            let view = &mut self.running(from).unwrap().view;
            if cut || silent {
                return view.on_link_timeout(now, &name(to));
            }
            return view.on_refused(now, &name(to));
        };
        let to = (to, receiver.view.incarnation());
        let copies = 1 + u64::from(self.random_below(100) < self.duplicate_percent);
        for _ in 0..copies {
            if !cut && self.random_below(100) >= self.loss_percent {
                let at = now + Duration::from_millis(self.random_below(self.max_delay_ms));
                let (from, body) = ((from, incarnation), body.clone());
                self.in_flight.push(Message { at, from, to, body });
            }
        }
    }

    fn running(&mut self, vm: usize) -> Option<&mut Daemon> {
        let daemon = self.slots[vm].daemon.as_mut()?;
        daemon.paused.is_none().then_some(daemon)
    }

    fn full_grant_holders(&self, target: &str) -> Vec<usize> {
        let full = |vm: &usize| {
            self.slots[*vm].daemon.as_ref().is_some_and(|d| {
                d.paused.is_none() && d.own.grants(self.now, &d.view, target) == GrantLevel::Full
            })
        };
        (0..VMS).filter(full).collect()
    }

    /// Records a violation if two daemons may both grant permits for a cold target.
    fn check_single_owner(&mut self) {
        for (target, _) in TARGETS {
            let owners = self.full_grant_holders(target);
            if owners.len() > 1 {
                let at = self.now.saturating_sub(START);
                let violation = format!("{target} has owners {owners:?} at {at:?}");
                self.violation.get_or_insert(violation);
            }
        }
    }

    /// Whether exactly the owner by VM 0's list may grant permits for each target.
    pub fn is_settled(&self) -> bool {
        let view = &self.slots[0].daemon.as_ref().unwrap().view;
        TARGETS.iter().all(|(target, zone)| {
            let owner = index(view.owner(target, zone).unwrap());
            self.full_grant_holders(target) == [owner]
        })
    }
}

fn update(now: Duration, view: &View, own: &mut Ownership) -> Vec<Action> {
    let targets = TARGETS.map(|(target, zone)| (target.into(), zone.into()));
    own.update(now, view, targets)
}
