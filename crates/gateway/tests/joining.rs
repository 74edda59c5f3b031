//! Members that start at nearly the same moment, as after a kill of all of them.

use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::time::Duration;

use gateway::{FleetView, Heartbeat, Membership};

const STEP: Duration = Duration::from_millis(1);
/// Time that a message takes.
const LATENCY: Duration = Duration::from_millis(4);
const SEEDS: usize = 3;
/// Service has to be back 1.5 s after a start of all. A sixth of this is for members to meet; the rest is
/// for the store, and for callers to come back.
const JOINED_WITHIN: Duration = Duration::from_millis(250);
const OBSERVED: Duration = Duration::from_secs(3);

struct Process {
    membership: Membership,
    starts_at: Duration,
    heartbeat_at: Duration,
}

struct Message {
    due: Duration,
    to: usize,
    heartbeat: Heartbeat,
}

struct Fleet {
    now: Duration,
    processes: Vec<Process>,
    messages: Vec<Message>,
}

fn ip(at: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, u8::try_from(at + 1).expect("at most 255 members"))
}

fn at(ip: Ipv4Addr) -> usize {
    usize::from(ip.octets()[3]) - 1
}

impl Fleet {
    fn new(size: usize, starts_at: impl Fn(usize) -> Duration) -> Self {
        let seeds: Vec<Ipv4Addr> = (0..SEEDS).map(ip).collect();
        let process = |at: usize| {
            let incarnation = (at as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let mut membership = Membership::new(ip(at), incarnation, seeds.clone());
            membership.update_local(|me| {
                me.ready = true;
                me.store_reachable = true;
            });
            Process {
                membership,
                starts_at: starts_at(at),
                heartbeat_at: starts_at(at),
            }
        };
        Fleet {
            now: Duration::ZERO,
            processes: (0..size).map(process).collect(),
            messages: Vec::new(),
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let due: Vec<Message> = self
            .messages
            .extract_if(.., |message| message.due <= now)
            .collect();
        for message in due {
            self.receive(message);
        }
        for from in 0..self.processes.len() {
            let process = &mut self.processes[from];
            if process.starts_at > now || process.heartbeat_at > now {
                continue;
            }
            let (heartbeat, to) = process.membership.next_heartbeat(now);
            process.heartbeat_at = now + process.membership.heartbeat_interval(now);
            for to in to {
                self.send(&heartbeat, at(to));
            }
        }
    }

    fn send(&mut self, heartbeat: &Heartbeat, to: usize) {
        self.messages.push(Message {
            due: self.now + LATENCY,
            to,
            heartbeat: heartbeat.clone(),
        });
    }

    /// A process that has not started receives nothing.
    fn receive(&mut self, Message { to, heartbeat, .. }: Message) {
        let now = self.now;
        let process = &mut self.processes[to];
        if process.starts_at > now {
            return;
        }
        let is_new = process.membership.receive_heartbeat(now, &heartbeat);
        if !is_new {
            return;
        }
        if process.membership.view(now) == FleetView::Joining {
            process.heartbeat_at = now;
        }
        if heartbeat.is_lone() {
            let answer = process.membership.heartbeat(now);
            self.send(&answer, at(heartbeat.from.ip));
        }
    }

    fn has_joined(&self, at: usize) -> bool {
        let process = &self.processes[at];
        process.starts_at <= self.now && process.membership.view(self.now) != FleetView::Joining
    }

    /// Members that decide as first owners.
    fn first_owners(&self) -> Vec<usize> {
        let is_first = |&at: &usize| {
            let share = self.processes[at].membership.limit_share(self.now, 0, 1);
            self.has_joined(at) && share.is_first_owner
        };
        (0..self.processes.len()).filter(is_first).collect()
    }
}

fn ms(ms: usize) -> Duration {
    Duration::from_millis(u64::try_from(ms).expect("a short time"))
}

type Start = fn(usize) -> Duration;

/// Guards against members that each take themselves for the first owner while they don't know each other,
/// and together send a target that has turned cold more than it bears.
#[test]
fn members_that_start_together_have_one_first_owner() {
    let starts: [(&str, Start); 5] = [
        ("all at once", |_| ms(0)),
        ("25 ms apart", |at| ms(25 * at)),
        ("25 ms apart, seeds last", |at| ms(25 * (9 - at.min(9)))),
        ("seeds 300 ms late", |at| {
            ms(if at < SEEDS { 300 } else { 0 })
        }),
        ("others 300 ms late", |at| {
            ms(if at < SEEDS { 0 } else { 300 })
        }),
    ];
    for (name, starts_at) in starts {
        for size in [3, 9, 24] {
            let mut fleet = Fleet::new(size, starts_at);
            let mut deciding = HashSet::new();
            while fleet.now < OBSERVED {
                fleet.step();
                let first_owners = fleet.first_owners();
                assert!(
                    first_owners.len() <= 1,
                    "{name}, {size} members, after {:?}: {first_owners:?} decide",
                    fleet.now
                );
                deciding.extend(first_owners);
            }
            assert!(
                !deciding.is_empty(),
                "{name}, {size} members: nobody decides"
            );
        }
    }
}

/// Guards against a return that takes longer than it has to after all members were killed.
#[test]
fn members_that_start_together_join_soon() {
    for size in [3, 9, 24, 100] {
        // The seeds start last.
        let mut fleet = Fleet::new(size, |at| ms(40 - at % 40));
        while fleet.now < ms(40) + JOINED_WITHIN {
            fleet.step();
        }

        let joined = (0..size).filter(|&at| fleet.has_joined(at)).count();
        assert_eq!(joined, size, "of {size} members");
    }
}

/// Guards against seeds that count as dead after a start of all: with a number of its own for each answer,
/// their sequence ran ahead of what packed sightings can express.
#[test]
fn answers_to_newcomers_do_not_advance_the_sequence() {
    let mut fleet = Fleet::new(2, |_| ms(0));
    fleet.step();
    let seed = &mut fleet.processes[0].membership;
    let before = seed.local().seq;

    let answers: Vec<u64> = (0..300)
        .map(|_| seed.heartbeat(fleet.now).from.seq)
        .collect();

    assert!(before > 0);
    assert!(answers.iter().all(|&seq| seq == before), "{answers:?}");
}
