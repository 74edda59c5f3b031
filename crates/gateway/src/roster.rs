//! Members of the fleet, found through seeds and kept by gossip.

use std::collections::{HashMap, VecDeque};
use std::net::Ipv4Addr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// A member that was silent for this long owns nothing. Five beats of 250 ms.
const OWNER_SILENCE: Duration = Duration::from_millis(1250);
/// A member that was silent for this long is not named to callers.
const ENTRY_SILENCE: Duration = Duration::from_millis(2500);
/// A silent member is still probed for this long, so that both sides of a cut find each other.
const FORGET: Duration = Duration::from_secs(60);
/// A member that left a datagram unanswered owns nothing for this long.
const MISTRUST: Duration = Duration::from_millis(1000);
/// The largest number of members seen in this time counts when limits are split. It is longer
/// than the windows of all limits.
const COUNT_MEMORY: Duration = Duration::from_secs(15);
/// Members to which each beat goes. All members hear of a change within a few beats.
const FANOUT: usize = 8;
/// Most members that one beat tells of; a datagram stays below the usual packet size.
const MAX_RUMORS: usize = 40;

/// What a member says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Address.
    pub ip: Ipv4Addr,
    /// Number of this start of the process.
    pub incarnation: u64,
    /// Grows with each beat.
    pub seq: u64,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Whether it has heard from the store lately.
    pub fresh: bool,
    /// Newest revision of the store that it has seen.
    pub revision: u64,
}

/// A beat: the sender and members that it knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Beat {
    /// The sender.
    pub from: Member,
    /// Other members, the latest heard first.
    pub others: Vec<Member>,
}

struct Known {
    member: Member,
    /// When its newest beat became known here.
    heard: Duration,
    mistrusted_until: Duration,
}

/// The view of one member.
pub struct Roster {
    me: Member,
    seeds: Vec<Ipv4Addr>,
    known: HashMap<Ipv4Addr, Known>,
    /// Number of live members over the last `COUNT_MEMORY`, in falling order of the number.
    counts: VecDeque<(Duration, usize)>,
    turn: usize,
}

impl Roster {
    /// A roster that knows only its own process.
    #[must_use]
    pub fn new(ip: Ipv4Addr, incarnation: u64, seeds: Vec<Ipv4Addr>) -> Self {
        Roster {
            me: Member {
                ip,
                incarnation,
                seq: 0,
                ready: false,
                stopping: false,
                fresh: false,
                revision: 0,
            },
            seeds,
            known: HashMap::new(),
            counts: VecDeque::new(),
            turn: 0,
        }
    }

    /// The process itself.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Changes what the process says of itself.
    pub fn set_me(&mut self, change: impl FnOnce(&mut Member)) {
        change(&mut self.me);
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<Ipv4Addr>) {
        self.seeds = seeds;
    }

    /// The next beat and the members that get it: some known ones in turn, and one seed.
    pub fn beat(&mut self, now: Duration) -> (Beat, Vec<Ipv4Addr>) {
        self.me.seq += 1;
        self.known
            .retain(|_, known| now.saturating_sub(known.heard) < FORGET);
        self.count(now);
        let mut known: Vec<&Known> = self.known.values().collect();
        known.sort_by_key(|known| (std::cmp::Reverse(known.heard), known.member.ip));
        let others = known
            .iter()
            .filter(|known| now.saturating_sub(known.heard) < ENTRY_SILENCE)
            .take(MAX_RUMORS)
            .map(|known| known.member)
            .collect();
        let mut ips: Vec<Ipv4Addr> = self.known.keys().copied().collect();
        ips.sort_unstable();
        let mut to = Vec::with_capacity(FANOUT + 1);
        for step in 0..ips.len().min(FANOUT) {
            to.push(ips[(self.turn + step) % ips.len()]);
        }
        self.turn = self.turn.wrapping_add(FANOUT);
        let seeds: Vec<Ipv4Addr> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != self.me.ip && !to.contains(seed))
            .collect();
        if to.is_empty() {
            to.extend(&seeds);
        } else if !seeds.is_empty() {
            to.push(seeds[self.turn % seeds.len()]);
        }
        (
            Beat {
                from: self.me,
                others,
            },
            to,
        )
    }

    /// Takes a beat. Returns whether its sender was not known before.
    pub fn hear(&mut self, now: Duration, beat: &Beat) -> bool {
        let is_new = self.learn(now, beat.from, true);
        for &member in &beat.others {
            self.learn(now, member, false);
        }
        is_new
    }

    /// Notes that a member left a datagram unanswered.
    pub fn mistrust(&mut self, now: Duration, ip: Ipv4Addr) {
        if let Some(known) = self.known.get_mut(&ip) {
            known.mistrusted_until = now + MISTRUST;
        }
    }

    /// Whether a process is known to be over: another one runs at its address, or it is silent.
    #[must_use]
    pub fn is_gone(&self, now: Duration, ip: Ipv4Addr, incarnation: u64) -> bool {
        if ip == self.me.ip {
            return incarnation != self.me.incarnation;
        }
        self.known.get(&ip).is_none_or(|known| {
            known.member.incarnation != incarnation
                || now.saturating_sub(known.heard) >= ENTRY_SILENCE
        })
    }

    /// Members in the order in which they are asked to decide for a shard. Members that hear the
    /// store come before others, and stopping ones last.
    #[must_use]
    pub fn owners(&self, now: Duration, shard: u32) -> Vec<Ipv4Addr> {
        let live = self.known.values().filter(|known| {
            now.saturating_sub(known.heard) < OWNER_SILENCE && now >= known.mistrusted_until
        });
        let mut order: Vec<(bool, bool, u64, Ipv4Addr)> = live
            .map(|known| known.member)
            .chain([self.me])
            .map(|member| {
                (
                    member.stopping,
                    !member.fresh,
                    rank(&member, shard),
                    member.ip,
                )
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(.., ip)| ip).collect()
    }

    /// Members to name to callers.
    #[must_use]
    pub fn entries(&self, now: Duration) -> Vec<Ipv4Addr> {
        let live = self
            .known
            .values()
            .filter(|known| now.saturating_sub(known.heard) < ENTRY_SILENCE)
            .map(|known| known.member);
        let mut entries: Vec<Ipv4Addr> = live
            .chain([self.me])
            .filter(|member| member.ready && !member.stopping)
            .map(|member| member.ip)
            .collect();
        entries.sort_unstable();
        entries
    }

    /// Part of the members of the last seconds that is live. Each side of a cut uses its part of
    /// the limits of the fleet.
    #[must_use]
    pub fn part(&self, now: Duration) -> f64 {
        let live = self.live(now);
        let most = self.counts.front().map_or(live, |&(_, count)| count);
        float(live) / float(most.max(live))
    }

    /// Newest revision of the store that a live member has seen.
    #[must_use]
    pub fn newest_revision(&self, now: Duration) -> u64 {
        self.known
            .values()
            .filter(|known| now.saturating_sub(known.heard) < OWNER_SILENCE)
            .map(|known| known.member.revision)
            .max()
            .unwrap_or(0)
    }

    /// Number of live members with this process.
    #[must_use]
    pub fn live(&self, now: Duration) -> usize {
        let live = |known: &&Known| now.saturating_sub(known.heard) < ENTRY_SILENCE;
        1 + self.known.values().filter(live).count()
    }

    fn count(&mut self, now: Duration) {
        let live = self.live(now);
        while self.counts.back().is_some_and(|&(_, count)| count <= live) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, live));
        while self
            .counts
            .front()
            .is_some_and(|&(at, _)| now.saturating_sub(at) > COUNT_MEMORY)
        {
            self.counts.pop_front();
        }
    }

    fn learn(&mut self, now: Duration, member: Member, direct: bool) -> bool {
        if member.ip == self.me.ip {
            return false;
        }
        let fresh = Known {
            member,
            heard: now,
            mistrusted_until: Duration::ZERO,
        };
        match self.known.get_mut(&member.ip) {
            None => {
                self.known.insert(member.ip, fresh);
                true
            }
            Some(known) if known.member.incarnation == member.incarnation => {
                if member.seq > known.member.seq {
                    known.member = member;
                    known.heard = now;
                    if direct {
                        known.mistrusted_until = Duration::ZERO;
                    }
                }
                false
            }
            // A rumor may be of a process that has ended; the address speaks for itself.
            Some(known) if direct || now.saturating_sub(known.heard) >= OWNER_SILENCE => {
                *known = fresh;
                true
            }
            Some(_) => false,
        }
    }
}

/// Rendezvous rank of a member for a shard.
fn rank(member: &Member, shard: u32) -> u64 {
    let mut key = [0; 16];
    key[..4].copy_from_slice(&member.ip.octets());
    key[4..8].copy_from_slice(&shard.to_be_bytes());
    key[8..].copy_from_slice(&member.incarnation.to_be_bytes());
    xxh3_64(&key)
}

#[expect(clippy::cast_precision_loss, reason = "a number of members")]
fn float(count: usize) -> f64 {
    count as f64
}
