//! A fleet of holders on a lossy network, with a VM list that lags.

use std::collections::HashMap;
use std::time::Duration;

use limit::{
    Claim, Incarnation, LeaseState, Limit, MoveId, Name, PARTS, PartMove, Reclaim, Reservation,
    Shares, Timing,
};

pub const LIMIT: Limit = Limit {
    rate: 64,
    burst: 320,
};
const LAG: Duration = Duration::from_secs(1);
const LEASE: Duration = Duration::from_secs(2);
const TIMING: Timing = Timing {
    propagation: Duration::from_secs(5),
    hold_down: Duration::from_secs(5),
};
/// Time after the last list that named a daemon at which it stops to spend.
const SPENDS: Duration = Duration::from_secs(4);

#[derive(Clone, Debug)]
pub enum Op {
    Time(u64),
    Reserve(usize, u64),
    /// Every holder reserves all it has.
    ReserveAll,
    Settle(usize, u64),
    SettleAll(u64),
    Ask(usize, usize, u64),
    Balance(usize),
    GiveAll(usize, usize),
    Deliver(usize),
    Flush,
    Duplicate(usize),
    Lose(usize),
    Resend(usize),
    Crash(usize),
    Start(usize),
    Pause(usize),
    Unpause(usize),
    Cut(usize, Reach),
    List(usize),
}

/// What a daemon reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    All,
    Peers,
    Nothing,
}

#[derive(Clone, Debug)]
enum Body {
    Ask(u64),
    Move(PartMove),
    Answer(MoveId, bool),
    Query(Duration),
    Claims(Duration, Vec<Claim>),
}

#[derive(Clone, Debug)]
struct Message {
    from: usize,
    incarnation: Incarnation,
    to: usize,
    body: Body,
}

struct Daemon {
    incarnation: Incarnation,
    shares: Shares,
    reclaim: Reclaim,
    known: Vec<Option<Incarnation>>,
    generation: usize,
    /// Time and generation of the last list that named this daemon.
    listed: Option<(Duration, usize)>,
    reach: Reach,
    paused: bool,
    suspended: bool,
}

struct Open {
    vm: usize,
    incarnation: Incarnation,
    entry: usize,
    reservation: Reservation,
}

pub struct Fleet {
    now: Duration,
    daemons: Vec<Option<Daemon>>,
    /// VM lists, by the time from which the platform gives them.
    lists: Vec<(Duration, Vec<bool>)>,
    died: HashMap<Incarnation, Duration>,
    /// VM of each incarnation; the first one is 1.
    homes: Vec<usize>,
    net: Vec<Message>,
    open: Vec<Open>,
    /// Tokens by time of admission.
    used: Vec<(Duration, u64)>,
    /// Debt that died with its holder.
    lost_debt: u64,
}

fn ws() -> Name {
    Name::from("salon-7")
}

fn vm_name(vm: usize) -> Name {
    Name::from(format!("vm-{vm}"))
}

impl Fleet {
    /// Starts all VMs at once and waits until the buckets are full.
    pub fn start(vms: usize) -> Self {
        let mut f = Self {
            now: Duration::ZERO,
            daemons: (0..vms).map(|_| None).collect(),
            lists: vec![(Duration::ZERO, vec![true; vms])],
            died: HashMap::new(),
            homes: Vec::new(),
            net: Vec::new(),
            open: Vec::new(),
            used: Vec::new(),
            lost_debt: 0,
        };
        for vm in 0..vms {
            f.step(&Op::Start(vm));
        }
        f.heal(15);
        f
    }

    /// Repairs every fault and lets `seconds` pass.
    pub fn heal(&mut self, seconds: u32) {
        for vm in 0..self.daemons.len() {
            if !self.lists.last().unwrap().1[vm] {
                self.step(&Op::List(vm));
            }
            self.step(&Op::Start(vm));
            self.step(&Op::Unpause(vm));
            self.step(&Op::Cut(vm, Reach::All));
        }
        for _ in 0..seconds {
            for vm in 0..self.daemons.len() {
                self.step(&Op::Resend(vm));
            }
            self.step(&Op::Flush);
            self.step(&Op::Time(1_000));
            self.step(&Op::Flush);
        }
    }

    pub fn step(&mut self, op: &Op) {
        let vms = self.daemons.len();
        match *op {
            Op::Time(millis) => {
                self.now += Duration::from_millis(millis);
                (0..vms).for_each(|vm| self.tick(vm));
            }
            Op::Reserve(vm, quarters) => self.reserve(vm % vms, quarters),
            Op::ReserveAll => (0..vms).for_each(|vm| self.reserve(vm, 4)),
            Op::Settle(i, quarters) => self.settle(i, quarters),
            Op::SettleAll(quarters) => {
                (0..self.open.len()).for_each(|_| self.settle(0, quarters));
            }
            Op::Ask(from, to, tokens) => self.send(from % vms, to % vms, Body::Ask(tokens)),
            Op::Balance(vm) => {
                let now = self.now;
                let moves = self.running(vm % vms).map(|d| d.shares.balance(now));
                self.send_moves(vm % vms, moves.unwrap_or_default());
            }
            Op::GiveAll(from, to) => {
                let now = self.now;
                let receiver = self.daemons[to % vms].as_ref().map(|d| d.incarnation);
                let moves = self.running(from % vms).zip(receiver);
                let moves = moves.map(|(d, to)| d.shares.give_all(now, &ws(), to));
                self.send_moves(from % vms, moves.unwrap_or_default());
            }
            Op::Deliver(i) => self.deliver(i),
            Op::Flush => {
                for _ in 0..self.net.len() {
                    self.deliver(0);
                }
            }
            Op::Duplicate(i) => {
                let copy = self.net.get(i % self.net.len().max(1)).cloned();
                self.net.extend(copy);
            }
            Op::Lose(i) => {
                if !self.net.is_empty() {
                    self.net.swap_remove(i % self.net.len());
                }
            }
            Op::Resend(vm) => {
                let moves = self
                    .running(vm % vms)
                    .map(|d| d.shares.in_transit().collect());
                self.send_moves(vm % vms, moves.unwrap_or_default());
            }
            Op::Crash(vm) => self.crash(vm % vms),
            Op::Start(vm) => self.launch(vm % vms),
            Op::Pause(vm) => {
                if let Some(d) = self.running(vm % vms) {
                    d.paused = true;
                }
            }
            Op::Unpause(vm) => {
                if let Some(d) = self.daemons[vm % vms].as_mut().filter(|d| d.paused) {
                    d.paused = false;
                    d.suspended = true;
                    d.shares.suspend();
                }
            }
            Op::Cut(vm, reach) => {
                if let Some(d) = &mut self.daemons[vm % vms] {
                    d.reach = reach;
                }
            }
            Op::List(vm) => {
                let mut list = self.lists.last().unwrap().1.clone();
                list[vm % vms] ^= true;
                self.lists.push((self.now, list));
            }
        }
    }

    fn running(&mut self, vm: usize) -> Option<&mut Daemon> {
        self.daemons[vm].as_mut().filter(|d| !d.paused)
    }

    fn launch(&mut self, vm: usize) {
        if self.daemons[vm].is_some() {
            return;
        }
        self.homes.push(vm);
        let incarnation = self.homes.len() as Incarnation;
        let mut shares = Shares::new(incarnation, TIMING);
        shares.set_lease(self.now, LeaseState::InDoubt);
        shares.configure(self.now, [(ws(), LIMIT)]);
        self.daemons[vm] = Some(Daemon {
            incarnation,
            shares,
            reclaim: Reclaim::new(self.now, TIMING),
            known: vec![None; self.daemons.len()],
            generation: 0,
            listed: None,
            reach: Reach::All,
            paused: false,
            suspended: false,
        });
    }

    fn crash(&mut self, vm: usize) {
        if let Some(mut d) = self.daemons[vm].take() {
            self.died.insert(d.incarnation, self.now);
            self.lost_debt += d.shares.status(self.now).map(|s| s.debt).sum::<u64>();
        }
    }

    fn reserve(&mut self, vm: usize, quarters: u64) {
        let now = self.now;
        let entry = self.used.len();
        let Some(d) = self.running(vm) else {
            return;
        };
        let tokens = d.shares.status(now).map(|s| s.tokens).sum::<u64>() * quarters / 4;
        if let Ok(reservation) = d.shares.reserve(now, &ws(), tokens.max(1)) {
            let incarnation = d.incarnation;
            self.used.push((now, reservation.tokens()));
            self.open.push(Open {
                vm,
                incarnation,
                entry,
                reservation,
            });
        }
    }

    fn settle(&mut self, i: usize, quarters: u64) {
        if self.open.is_empty() {
            return;
        }
        let o = self.open.swap_remove(i % self.open.len());
        let now = self.now;
        let tokens = o.reservation.tokens();
        let used = tokens * quarters / 4;
        if let Some(d) = self
            .running(o.vm)
            .filter(|d| d.incarnation == o.incarnation)
        {
            d.shares.settle(now, o.reservation, used);
            self.used[o.entry].1 = used.min(tokens);
            if used > tokens {
                self.used.push((now, used - tokens));
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, body: Body) {
        if let Some(incarnation) = self.running(from).map(|d| d.incarnation) {
            self.net.push(Message {
                from,
                incarnation,
                to,
                body,
            });
        }
    }

    fn send_moves(&mut self, from: usize, moves: Vec<PartMove>) {
        for part in moves {
            let home = usize::try_from(part.receiver - 1).unwrap();
            self.send(from, self.homes[home], Body::Move(part));
        }
    }

    /// Reads the list, greets peers and drives the reclaim of one daemon.
    fn tick(&mut self, vm: usize) {
        let now = self.now;
        // Differs by daemon.
        let lag = Duration::from_millis((vm as u64 * 313) % 1_001).min(LAG);
        let at = now.saturating_sub(lag);
        let newest = self.lists.iter().rposition(|(t, _)| *t <= at).unwrap_or(0);
        let lists = &self.lists;
        let Some(d) = self.daemons[vm].as_mut().filter(|d| !d.paused) else {
            return;
        };
        if d.reach == Reach::All {
            d.generation = d.generation.max(newest);
            d.read_list(now, vm, &lists[d.generation].1);
        }
        if d.listed.is_none_or(|(at, _)| now >= at + LEASE) && !d.expired(now) {
            d.shares.set_lease(now, LeaseState::InDoubt);
        }
        d.reclaim.poll(now, &mut d.shares, 0);
        let ask = d.reclaim.ask(now);
        let known = d.known.clone();
        let (incarnation, silent) = (d.incarnation, d.reach == Reach::Nothing);
        for (to, peer) in known.into_iter().enumerate() {
            if peer.is_some_and(|i| ask.contains(&i)) {
                self.send(vm, to, Body::Query(now));
            }
            let d = self
                .running(to)
                .filter(|d| !silent && d.reach != Reach::Nothing);
            if let Some(d) = d.filter(|_| to != vm) {
                d.known[vm] = Some(incarnation);
            }
        }
    }

    fn deliver(&mut self, i: usize) {
        if self.net.is_empty() {
            return;
        }
        let m = self.net.remove(i % self.net.len());
        let (now, to, from) = (self.now, m.to, m.from);
        let cut = |d: &Option<Daemon>| d.as_ref().is_some_and(|d| d.reach == Reach::Nothing);
        let waits = self.daemons[to].as_ref().is_some_and(|d| d.paused);
        if waits || cut(&self.daemons[from]) || cut(&self.daemons[to]) {
            self.net.push(m);
            return;
        }
        // The link of a dead process is closed before the hold-down is over.
        let late = self.died.get(&m.incarnation);
        if late.is_some_and(|&died| now >= died + LAG + LEASE) {
            return;
        }
        let Some(d) = self.daemons[to].as_mut() else {
            return;
        };
        match m.body {
            Body::Ask(tokens) => {
                let moves = d.shares.give(now, &ws(), tokens, m.incarnation);
                self.send_moves(to, moves);
            }
            Body::Move(part) => {
                let taken = d.shares.accept(now, m.incarnation, &part);
                self.send(to, from, Body::Answer(part.id(), taken));
            }
            Body::Answer(id, true) => {
                d.shares.acked(now, m.incarnation, &id);
            }
            Body::Answer(id, false) => {
                d.shares.denied(now, m.incarnation, &id);
            }
            Body::Query(asked) => {
                let claims = d.shares.claims(now);
                self.send(to, from, Body::Claims(asked, claims));
            }
            Body::Claims(asked, claims) => {
                d.reclaim.answered(asked, m.incarnation, &claims);
                for claim in &claims {
                    d.shares.note_claim(now, m.incarnation, claim);
                }
            }
        }
    }

    /// Holders of each part that may spend it now.
    pub fn spenders(&mut self) -> Vec<Vec<usize>> {
        let now = self.now;
        let mut spenders = vec![Vec::new(); usize::from(PARTS)];
        for (vm, d) in self.daemons.iter_mut().enumerate() {
            let Some(d) = d.as_mut().filter(|d| !d.paused && !d.suspended) else {
                continue;
            };
            if !d.expired(now) {
                for number in d.shares.status(now).flat_map(|s| s.held) {
                    spenders[usize::from(number)].push(vm);
                }
            }
        }
        spenders
    }

    /// Tokens used above rate x window, in tokens x nanoseconds: the most over all windows, and
    /// the most over those that end now.
    pub fn excess(&self) -> (u128, u128) {
        let (mut last, mut sum, mut max) = (Duration::ZERO, 0, 0);
        for &(at, tokens) in self.used.iter().chain([&(self.now, 0)]) {
            let accrued = at.saturating_sub(last).as_nanos() * u128::from(LIMIT.rate);
            sum = u128::saturating_sub(sum, accrued) + scaled(tokens);
            max = max.max(sum);
            last = at;
        }
        (max, sum)
    }

    /// Debt that accrual hasn't paid, in tokens x nanoseconds.
    pub fn debt(&mut self) -> u128 {
        let now = self.now;
        let debt = |d: &mut Daemon| d.shares.status(now).map(|s| s.debt).sum::<u64>();
        let held: u64 = self.daemons.iter_mut().flatten().map(debt).sum();
        scaled(held + self.lost_debt)
    }
}

pub fn scaled(tokens: u64) -> u128 {
    u128::from(tokens) * Duration::from_secs(1).as_nanos()
}

impl Daemon {
    fn expired(&self, now: Duration) -> bool {
        self.listed.is_some_and(|(at, _)| now >= at + SPENDS)
    }

    fn read_list(&mut self, now: Duration, vm: usize, list: &[bool]) {
        let peers = (0..list.len()).filter(|&p| p != vm && list[p]);
        let rows = peers.clone().map(|p| (vm_name(p), self.known[p]));
        self.reclaim.set_listed(now, &mut self.shares, rows);
        let weight = |number: u16, vm: usize| (usize::from(number) * 31 + vm * 17) % 23 * 10 + vm;
        let first = |&number: &u16| {
            list[vm]
                && peers
                    .clone()
                    .all(|p| weight(number, p) < weight(number, vm))
        };
        let mask = (0..PARTS).filter(first).fold(0, |mask, n| mask | 1 << n);
        self.reclaim.set_successor(now, &ws(), mask);
        if list[vm] {
            if self.listed.is_some_and(|(_, g)| g == self.generation) {
                self.shares.keep_expired();
            }
            self.listed = Some((now, self.generation));
            self.shares.set_lease_end(now, now + SPENDS);
            self.shares.set_lease(now, LeaseState::Held);
            self.suspended = false;
            self.shares.resume();
        }
    }
}
