//! Membership of the fleet, discovered through seeds and maintained by gossip.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;
use std::time::Duration;

use admit::{FleetView, HolderShares, LimitShare, SlidingExtremum, count_to_f64};
use xxhash_rust::xxh3::xxh3_64;

use crate::position::Position;

/// Interval between heartbeats of a member that knows its fleet. It loses the ownership of shards
/// after five lost ones.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// First interval between the heartbeats of a process that has just started. It doubles while no seed
/// answers, so that the seeds of a large fleet bear the start of all members.
const JOIN_INTERVAL: Duration = Duration::from_millis(25);
const MAX_DOUBLINGS: u32 = 4;
/// A process that has met its first member leaves it to the others for this long to decide for targets
/// that may be cold: they may not know it yet, nor it them.
const JOIN_TIME: Duration = Duration::from_millis(100);
/// A process that meets nobody for this long decides alone, with the share of a single member.
const LONE_TIME: Duration = Duration::from_secs(1);
/// A member that was silent for this long owns no shards. Five heartbeats of 250 ms.
const OWNER_SILENCE: Duration = Duration::from_millis(1250);
/// A member that was silent for this long is not listed in the directory.
const ENTRY_SILENCE: Duration = Duration::from_millis(2500);
/// A silent member still gets heartbeats for this long, so that both sides of a network partition
/// find each other again.
const FORGET_AFTER: Duration = Duration::from_mins(1);
/// A member that left datagrams unanswered owns no shards for this long, as seen by the sender.
const SUSPECT_TIME: Duration = Duration::from_secs(1);
/// Window of the largest fleet size, by which limits are divided. It is longer than the windows of
/// all limits.
const COUNT_WINDOW: Duration = Duration::from_secs(30);
/// Members that come back count towards the limits of cold targets only after this time. It is
/// longer than the window of that limit plus two heartbeats.
const SETTLE_TIME: Duration = Duration::from_millis(1500);
/// Number of members that get each heartbeat: in a large fleet, most of them in the own zone, as
/// traffic between zones costs money.
const GOSSIP_FANOUT: usize = 8;
const GOSSIP_FANOUT_OTHER_ZONES: usize = 3;
/// Larger fleets gossip less to other zones once they are settled and all members read packed
/// sightings.
/// In simulations of 250 members with 10% loss, fewer live members are taken for dead with these
/// values than with those of smaller fleets.
const MAX_SMALL_FLEET: usize = 100;
const LARGE_GOSSIP_FANOUT: usize = 7;
const LARGE_GOSSIP_FANOUT_OTHER_ZONES: usize = 1;
const LARGE_MAX_SIGHTINGS: usize = 130;
const LARGE_ROTATION_STEP: usize = 100;
/// While more members changed recently or are silent, large fleets gossip as small ones do. After a
/// start of all, members that do not know each other yet would choose different readers of the
/// store; after the loss of a zone, its last member would reach only one live member.
const MAX_SETTLED_CHANGES: usize = 4;
/// Sightings in large fleets are of members that were heard within this time. Older ones are mostly
/// known to the receiver and delay the new ones.
const LARGE_SIGHTING_AGE: Duration = Duration::from_millis(300);
/// Maximum number of other members whose state is in one heartbeat.
const MAX_GOSSIPED_MEMBERS: usize = 44;
/// Members among these that have not changed. They repair what lost datagrams left out of date.
const ROTATING_MEMBERS: usize = 4;
/// A change of a member is gossiped for this long after it became known. It reaches the members of
/// a large fleet within a second; a start of all of them takes a few seconds.
const CHANGE_GOSSIP_TIME: Duration = Duration::from_secs(4);
/// Number of sightings in one heartbeat, which has about 1.9 kB then. Each member whose state is in
/// the heartbeat takes the room of two sightings, but some sightings are always left.
const MAX_SIGHTINGS: usize = 120;
const MIN_SIGHTINGS: usize = 60;
/// Strongest members that are in each heartbeat. All members have to agree on the owners.
const MAX_STRONGEST_GOSSIPED: usize = 24;
/// A seed that has not been heard after this time is taken as stale, not as partitioned. It equals
/// the window of the fleet size, so that a start of all members during a partition is covered for
/// as long as a partition alone.
const SEED_CONTACT_TIMEOUT: Duration = COUNT_WINDOW;
/// Minimum CPU cores and link bandwidth of capacity class 1. The smallest VMs of large fleets, with
/// 0.12 cores or 10 Mbit/s, are below; those with 0.25 cores and 100 Mbit/s are above.
const OWNER_MIN_CORES: f64 = 0.2;
const OWNER_MIN_MBPS: f64 = 50.0;
/// With at least this many members of the best class, only these are asked as owners. An entry asks
/// fewer for one request.
const MIN_OWNER_CHOICES: usize = 8;
/// Members of a zone that read the store. With two, the other one serves all followers while the
/// loss of one is detected.
const READERS_PER_ZONE: usize = 2;
/// Stands in place of a shard in the rank of readers; no pool has as many shards.
const READER_RANK_KEY: u32 = u32::MAX;
/// Fleet size that a process assumes while it has met no other member although its seeds name some.
/// It may be cut off from a fleet of any size.
const UNKNOWN_FLEET_SIZE: usize = 16;

/// State of a member, as that member itself publishes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts")]
pub struct Member {
    /// Address.
    pub ip: Ipv4Addr,
    /// Random number that identifies this start of the process.
    pub incarnation: u64,
    /// Incremented with each heartbeat.
    pub seq: u64,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is shutting down.
    pub stopping: bool,
    /// Whether it knows the state of the store, from the store or from a member that reads it.
    pub store_reachable: bool,
    /// Whether its last call to the store failed, a few seconds ago at most.
    pub store_failed: bool,
    /// Whether it reads the store and no call has failed for long enough that no entry has lapsed
    /// because the store was away.
    pub store_steady: bool,
    /// Whether it takes part in leases of rates. Members of older builds give out equal parts.
    pub leases_rates: bool,
    /// Code of its availability zone; 0 if it is unknown.
    pub zone: u32,
    /// Newest position of the store that it has seen.
    pub position: Position,
    /// Largest number of live members that it saw recently.
    pub max_members: u32,
    /// Capacity class of its CPU and link. Members of a higher class are preferred as owners.
    pub capacity_class: u32,
    /// Whether its build reads packed sightings.
    pub reads_packed: bool,
}

/// Shows that a member is live, to those who know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sighting {
    /// Address.
    pub ip: Ipv4Addr,
    /// Low half of the incarnation.
    pub incarnation: u32,
    /// Newest known `Member::seq`.
    pub seq: u64,
}

/// A heartbeat: the sender and other members that it knows. It names no others if it is of a process
/// that has just started, or is sent only for its list of runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender.
    pub from: Member,
    /// Other live members. In a large fleet, the strongest, those that changed, and a few others.
    pub others: Vec<Member>,
    /// Further live members, as many as there is room for. They change with each heartbeat.
    pub sightings: Vec<Sighting>,
}

impl Heartbeat {
    /// Whether it names no other member. Of an unknown sender, this means nearly always that it knows
    /// none; an answer to a list of runs does no harm.
    #[must_use]
    pub fn is_lone(&self) -> bool {
        self.others.is_empty() && self.sightings.is_empty()
    }
}

struct KnownMember {
    member: Member,
    /// Newest known `Member::seq`; `member` may be older.
    newest_seq: u64,
    /// Time at which its newest heartbeat became known here.
    last_heard: Duration,
    /// Time at which its newest change, or the member itself, became known here.
    changed_at: Duration,
    suspected_until: Duration,
}

impl KnownMember {
    fn new(now: Duration, member: Member) -> Self {
        KnownMember {
            member,
            newest_seq: member.seq,
            last_heard: now,
            changed_at: now,
            suspected_until: Duration::ZERO,
        }
    }

    /// Applies newer state of the same incarnation.
    fn update(&mut self, now: Duration, member: Member) {
        if member.seq > self.member.seq {
            if gossiped_state(&member) != gossiped_state(&self.member) {
                self.changed_at = now;
            }
            self.member = member;
        }
        self.see(now, member.seq);
    }

    fn see(&mut self, now: Duration, seq: u64) {
        if seq > self.newest_seq {
            self.newest_seq = seq;
            self.last_heard = now;
        }
    }

    fn sighting(&self) -> Sighting {
        Sighting {
            ip: self.member.ip,
            incarnation: low_half(self.member.incarnation),
            seq: self.newest_seq,
        }
    }
}

/// The membership as one member sees it.
pub struct Membership {
    local: Member,
    seeds: Vec<Ipv4Addr>,
    known: HashMap<Ipv4Addr, KnownMember>,
    /// Largest number of live members over the last `COUNT_WINDOW`.
    peak_live: SlidingExtremum,
    /// Smallest number of live members over the last `SETTLE_TIME`.
    settled_live: SlidingExtremum,
    next_recipient: usize,
    /// Number of processes that became known, ever.
    discoveries: u64,
    /// Time at which the local process created its first heartbeat.
    first_heartbeat_at: Option<Duration>,
    /// Time of the first heartbeat of another member.
    met_at: Option<Duration>,
    /// Whether the store keeps refusing the local process.
    is_refused_by_store: bool,
}

impl Membership {
    /// Creates a membership that contains only the local process.
    #[must_use]
    pub fn new(ip: Ipv4Addr, incarnation: u64, seeds: Vec<Ipv4Addr>) -> Self {
        Membership {
            local: Member {
                ip,
                incarnation,
                seq: 0,
                ready: false,
                stopping: false,
                store_reachable: false,
                store_failed: false,
                store_steady: false,
                leases_rates: true,
                zone: 0,
                position: Position::default(),
                max_members: 1,
                capacity_class: 0,
                reads_packed: true,
            },
            seeds,
            known: HashMap::new(),
            peak_live: SlidingExtremum::largest(COUNT_WINDOW),
            settled_live: SlidingExtremum::smallest(SETTLE_TIME),
            // Members start at different positions; otherwise they would all send to the same few
            // members at the same time.
            next_recipient: rotation_start(ip),
            discoveries: 0,
            first_heartbeat_at: None,
            met_at: None,
            is_refused_by_store: false,
        }
    }

    /// Number of processes that became known, ever. Limit shares that were computed before it
    /// changed are out of date.
    #[must_use]
    pub fn discoveries(&self) -> u64 {
        self.discoveries
    }

    /// The local process.
    #[must_use]
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Updates the state that the local process publishes.
    pub fn update_local(&mut self, change: impl FnOnce(&mut Member)) {
        change(&mut self.local);
    }

    /// Sets whether the store keeps refusing the local process. `Member::store_failed` is set from
    /// the first failed call, which may be a broken connection alone.
    pub(crate) fn set_refused_by_store(&mut self, is_refused: bool) {
        self.is_refused_by_store = is_refused;
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<Ipv4Addr>) {
        self.seeds = seeds;
    }

    /// Creates the next heartbeat and selects its recipients: some known members in rotation, and
    /// one seed.
    pub fn next_heartbeat(&mut self, now: Duration) -> (Heartbeat, Vec<Ipv4Addr>) {
        self.known
            .retain(|_, known| now.saturating_sub(known.last_heard) < FORGET_AFTER);
        self.local.seq += 1;
        self.first_heartbeat_at.get_or_insert(now);
        let heartbeat = self.heartbeat(now);
        let mut to = self.next_recipients(now);
        let seeds: Vec<Ipv4Addr> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != self.local.ip && !to.contains(seed))
            .collect();
        if to.is_empty() {
            to.extend(&seeds);
        } else if !seeds.is_empty() {
            to.push(seeds[self.next_recipient % seeds.len()]);
        }
        (heartbeat, to)
    }

    /// Creates a heartbeat with the sequence number of the last regular one, for example as the answer
    /// to a process that knows no other member yet. Packed sightings hold a part of the number only, so
    /// it must not run ahead by one for each of many answers.
    pub fn heartbeat(&mut self, now: Duration) -> Heartbeat {
        let live = self.live_count(now);
        self.peak_live.push(now, live);
        self.settled_live.push(now, live);
        self.local.max_members = u32::try_from(self.peak_members(live)).unwrap_or(u32::MAX);
        let (others, sightings) = self.gossip(now);
        Heartbeat {
            from: self.local,
            others,
            sightings,
        }
    }

    /// Other members in the next heartbeat: those that changed and a few whose turn it is, and
    /// sightings of as many of the others as there is room for.
    fn gossip(&self, now: Duration) -> (Vec<Member>, Vec<Sighting>) {
        let has_changed =
            |known: &&KnownMember| now.saturating_sub(known.changed_at) < CHANGE_GOSSIP_TIME;
        let (changed, unchanged): (Vec<&KnownMember>, Vec<&KnownMember>) = self
            .live_in_rotation(now)
            .into_iter()
            .partition(has_changed);
        let (rotating, unchanged) = unchanged.split_at(unchanged.len().min(ROTATING_MEMBERS));
        let max_changed = MAX_GOSSIPED_MEMBERS - rotating.len();
        let (changed, not_listed) = changed.split_at(changed.len().min(max_changed));
        let others = changed.iter().chain(rotating).map(|known| known.member);
        let others: Vec<Member> = others.collect();
        let is_large = self.is_large_settled_fleet(now);
        let max_sightings = if is_large {
            LARGE_MAX_SIGHTINGS
        } else {
            MAX_SIGHTINGS
        };
        let room = max_sightings
            .saturating_sub(others.len() * 2)
            .max(MIN_SIGHTINGS);
        let is_useful = |known: &&KnownMember| {
            !is_large || now.saturating_sub(known.last_heard) <= LARGE_SIGHTING_AGE
        };
        let seen = not_listed.iter().chain(unchanged).copied();
        let seen = seen.filter(is_useful).collect();
        (others, self.sightings(now, seen, room))
    }

    /// Whether the fleet is large and settled, and all its live members read packed sightings.
    fn is_large_settled_fleet(&self, now: Duration) -> bool {
        let (mut live, mut changed) = (1, 0);
        for known in self.known.values() {
            if !is_live(known, now) {
                changed += 1;
                continue;
            }
            if !known.member.reads_packed {
                return false;
            }
            live += 1;
            changed += usize::from(now.saturating_sub(known.changed_at) < CHANGE_GOSSIP_TIME);
        }
        live > MAX_SMALL_FLEET && changed <= MAX_SETTLED_CHANGES
    }

    /// Live members, starting at a position that changes with each heartbeat. Each member has a
    /// start of its own: members that started together would otherwise all gossip about the same
    /// few members.
    fn live_in_rotation(&self, now: Duration) -> Vec<&KnownMember> {
        let mut known: Vec<&KnownMember> = self.live_others(now).collect();
        known.sort_unstable_by_key(|known| known.member.ip);
        let seq = usize::try_from(self.local.seq).unwrap_or(0);
        let step = if self.is_large_settled_fleet(now) {
            LARGE_ROTATION_STEP
        } else {
            MIN_SIGHTINGS
        };
        let first = seq
            .wrapping_mul(step)
            .wrapping_add(rotation_start(self.local.ip));
        let first = first % known.len().max(1);
        known.rotate_left(first);
        known
    }

    /// Sightings of at most `room` members, a limited number of the strongest first.
    fn sightings(&self, now: Duration, seen: Vec<&KnownMember>, room: usize) -> Vec<Sighting> {
        let best_class = self
            .live_others(now)
            .map(|known| owner_class(&known.member))
            .min();
        let (strongest, others): (Vec<&KnownMember>, Vec<&KnownMember>) = seen
            .into_iter()
            .partition(|known| Some(owner_class(&known.member)) == best_class);
        let (first, last) = strongest.split_at(strongest.len().min(MAX_STRONGEST_GOSSIPED));
        let order = first.iter().chain(&others).chain(last);
        order.take(room).map(|known| known.sighting()).collect()
    }

    /// Members that get the next heartbeat, in rotation.
    fn next_recipients(&mut self, now: Duration) -> Vec<Ipv4Addr> {
        let (fanout, fanout_other_zones) = if self.is_large_settled_fleet(now) {
            (LARGE_GOSSIP_FANOUT, LARGE_GOSSIP_FANOUT_OTHER_ZONES)
        } else {
            (GOSSIP_FANOUT, GOSSIP_FANOUT_OTHER_ZONES)
        };
        let mut own_zone: Vec<Ipv4Addr> = Vec::new();
        let mut other_zones: Vec<Ipv4Addr> = Vec::new();
        for known in self.known.values() {
            if known.member.zone == self.local.zone {
                own_zone.push(known.member.ip);
            } else {
                other_zones.push(known.member.ip);
            }
        }
        let to_others = fanout_other_zones
            .max(fanout.saturating_sub(own_zone.len()))
            .min(other_zones.len());
        let to_own = fanout - to_others;
        let turn = self.next_recipient;
        self.next_recipient = turn.wrapping_add(1);
        let mut to = rotation(own_zone, turn, to_own);
        to.extend(rotation(other_zones, turn, to_others));
        to
    }

    /// Processes a heartbeat. Returns whether its sender was unknown before.
    pub fn receive_heartbeat(&mut self, now: Duration, heartbeat: &Heartbeat) -> bool {
        let is_new = self.merge(now, heartbeat.from, true);
        self.met_at.get_or_insert(now);
        if self.is_younger_than(now, COUNT_WINDOW) {
            // The others know the size of the fleet from before this process started.
            let max_members = usize::try_from(heartbeat.from.max_members).unwrap_or(usize::MAX);
            self.peak_live.push(now, max_members);
        }
        for &member in &heartbeat.others {
            self.merge(now, member, false);
        }
        for sighting in &heartbeat.sightings {
            if let Some(known) = self.known.get_mut(&sighting.ip)
                && low_half(known.member.incarnation) == sighting.incarnation
            {
                known.see(now, sighting.seq);
            }
        }
        is_new
    }

    /// Records that a member left datagrams unanswered.
    pub fn suspect(&mut self, now: Duration, ip: Ipv4Addr) {
        if let Some(known) = self.known.get_mut(&ip) {
            known.suspected_until = now + SUSPECT_TIME;
        }
    }

    /// Whether a process is known to have ended: another one runs at its address, or it is silent.
    #[must_use]
    pub fn has_ended(&self, now: Duration, ip: Ipv4Addr, incarnation: u64) -> bool {
        if ip == self.local.ip {
            return incarnation != self.local.incarnation;
        }
        self.known.get(&ip).is_none_or(|known| {
            known.member.incarnation != incarnation
                || now.saturating_sub(known.last_heard) >= ENTRY_SILENCE
        })
    }

    /// Members in the order in which they are asked to decide for a shard. Members that know the
    /// state of the store come before those that don't, and stopping members come last. In a large
    /// fleet only the first choices are listed.
    #[must_use]
    pub fn owners(&self, now: Duration, shard: u32) -> Vec<Ipv4Addr> {
        let first = self.first_owner(now, shard);
        let usable = self
            .live_others(now)
            .filter(|known| now >= known.suspected_until)
            .map(|known| &known.member);
        let mut members: Vec<&Member> = usable.chain([&self.local]).collect();
        let strongest = strongest(&members);
        if strongest.len() >= MIN_OWNER_CHOICES {
            members = strongest;
        }
        let mut order: Vec<OwnerPreference> = members
            .into_iter()
            .map(|member| owner_preference(member, shard))
            .collect();
        order.sort_unstable();
        let mut owners: Vec<Ipv4Addr> = order.into_iter().map(|(.., ip)| ip).collect();
        if let Some(at) = owners.iter().position(|&ip| ip == first) {
            owners[..=at].rotate_right(1);
        }
        owners
    }

    /// First owner of a shard. Among the strongest members each owns one shard before any owns a
    /// second one, as the owner of several shards would decide too slowly at peak load.
    fn first_owner(&self, now: Duration, shard: u32) -> Ipv4Addr {
        let live = self.live_others(now).map(|known| &known.member);
        let members: Vec<&Member> = live.chain([&self.local]).collect();
        let strongest = strongest(&members);
        let mut free = strongest.clone();
        let mut owner = self.local.ip;
        for shard in 0..=shard {
            if free.is_empty() {
                free.clone_from(&strongest);
            }
            let ranks = free.iter().enumerate();
            let first = ranks.min_by_key(|(_, member)| (rendezvous_rank(member, shard), member.ip));
            if let Some((at, _)) = first {
                owner = free.swap_remove(at).ip;
            }
        }
        owner
    }

    /// Member that holds the rate of a workspace for the fleet: the first by rank among the members
    /// that come first as owners. `None` while one of these is of a build that gives out an equal
    /// part, which would be in addition to the holder's.
    #[must_use]
    pub fn rate_holder(&self, now: Duration, workspace: &str) -> Option<Ipv4Addr> {
        let live = self.live_others(now).map(|known| &known.member);
        let members: Vec<&Member> = live.chain([&self.local]).collect();
        let key = xxh3_64(workspace.as_bytes());
        let strongest = strongest(&members);
        if !strongest.iter().all(|member| member.leases_rates) {
            return None;
        }
        let ranks = strongest.into_iter();
        let first = ranks.min_by_key(|member| (rate_rank(member, key), member.ip));
        first.map(|member| member.ip)
    }

    /// Shares of the rates of workspaces that this member may give out.
    #[must_use]
    pub fn holder_shares(&self, now: Duration) -> HolderShares {
        let live = self.live_count(now);
        let max_members = count_to_f64(self.assumed_members(now, live));
        // Others may give out the rate as well until the members know each other.
        let counted = if self.is_joining(now) { 1 } else { live };
        HolderShares {
            holder: count_to_f64(counted) / max_members,
            member: 1.0 / max_members,
        }
    }

    /// The member whose copy of the store this member follows; `None` if this member has to read
    /// the store itself. Members in `avoided` are not followed.
    ///
    /// In each zone a few members read the store, in an order on which all members of the zone
    /// agree. The others spread over them. A member whose calls to the store fail comes last, so
    /// that another one takes its place. If they keep failing, it follows a member whose calls
    /// succeed itself, in another zone if there is none in its own: the store may refuse some
    /// members and serve others.
    #[must_use]
    pub fn store_reader(&self, now: Duration, avoided: &[Ipv4Addr]) -> Option<Ipv4Addr> {
        let own_zone = self.zone_readers(now, self.local.zone);
        let is_reader = own_zone.iter().any(|reader| reader.ip == self.local.ip);
        if is_reader && !self.is_refused_by_store {
            return None;
        }
        let closest = |readers: &[&Member], may_fail: bool| {
            let usable = readers.iter().filter(|reader| {
                reader.ip != self.local.ip
                    && (may_fail || !reader.store_failed)
                    && !avoided.contains(&reader.ip)
            });
            let ips = usable.map(|reader| reader.ip);
            ips.min_by_key(|&reader| follower_rank(self.local.ip, reader))
        };
        if let Some(reader) = closest(&own_zone, false) {
            return Some(reader);
        }
        if self.is_refused_by_store
            && let Some(reader) = closest(&self.readers_of_other_zones(now), false)
        {
            return Some(reader);
        }
        if is_reader {
            return None;
        }
        closest(&own_zone, true)
    }

    fn readers_of_other_zones(&self, now: Duration) -> Vec<&Member> {
        let zones = self.live_others(now).map(|known| known.member.zone);
        let zones: HashSet<u32> = zones.filter(|&zone| zone != self.local.zone).collect();
        let readers = zones.into_iter().map(|zone| self.zone_readers(now, zone));
        readers.flatten().collect()
    }

    /// Members of a zone that read the store. A member without a zone reads it for itself.
    fn zone_readers(&self, now: Duration, zone: u32) -> Vec<&Member> {
        let others = self.live_others(now).map(|known| &known.member);
        let mut members: Vec<&Member> = others
            .filter(|member| member.zone != 0 && member.zone == zone)
            .collect();
        if zone == self.local.zone {
            members.push(&self.local);
        }
        members.sort_unstable_by_key(|member| reader_preference(member));
        members.truncate(READERS_PER_ZONE);
        members
    }

    /// Whether another member was heard of recently enough to own shards.
    #[must_use]
    pub fn is_live(&self, now: Duration, ip: Ipv4Addr) -> bool {
        self.known.get(&ip).is_some_and(|known| is_live(known, now))
    }

    /// Members to list in the directory.
    #[must_use]
    pub fn entries(&self, now: Duration) -> Vec<Ipv4Addr> {
        let live = self
            .known
            .values()
            .filter(|known| now.saturating_sub(known.last_heard) < ENTRY_SILENCE)
            .map(|known| known.member);
        let mut entries: Vec<Ipv4Addr> = live
            .chain([self.local])
            .filter(|member| member.ready && !member.stopping)
            .map(|member| member.ip)
            .collect();
        entries.sort_unstable();
        entries
    }

    /// Share of the fleet-wide limits that this member may use for a shard, given the number of
    /// entries that ask it for that shard.
    ///
    /// The first owner of a shard uses the share of all members that it sees as live. Any other
    /// member is asked only by entries that don't reach the first owner, and uses no more than the
    /// share of those entries. A member that is cut off from all others thus has the share of one
    /// member from the first moment.
    #[must_use]
    pub fn limit_share(&self, now: Duration, shard: u32, requesting_entries: usize) -> LimitShare {
        let live = self.live_count(now);
        let settled = self.settled_live.get().unwrap_or(1).min(live);
        let is_first_owner = self.first_owner(now, shard) == self.local.ip;
        let max_members = count_to_f64(self.assumed_members(now, live));
        let share_of = |live: usize| {
            let members = if is_first_owner {
                live
            } else {
                requesting_entries.min(live)
            };
            count_to_f64(members.max(1)) / max_members
        };
        LimitShare {
            share: share_of(live),
            cold_share: share_of(settled),
            member_share: 1.0 / max_members,
            is_first_owner,
            view: self.view(now),
        }
    }

    /// What this process knows of its fleet.
    #[must_use]
    pub fn view(&self, now: Duration) -> FleetView {
        if self.is_joining(now) {
            FleetView::Joining
        } else if self.has_unknown_size(now) {
            FleetView::Alone
        } else {
            FleetView::Settled
        }
    }

    /// Whether the process has just started, and it or others may not know yet who decides.
    fn is_joining(&self, now: Duration) -> bool {
        match self.met_at {
            Some(at) => now.saturating_sub(at) < JOIN_TIME,
            None => self.has_other_seeds() && self.is_younger_than(now, LONE_TIME),
        }
    }

    /// Whether the process has met nobody since its start, although it should.
    fn has_unknown_size(&self, now: Duration) -> bool {
        self.met_at.is_none() && self.is_younger_than(now, FORGET_AFTER) && self.has_other_seeds()
    }

    fn has_other_seeds(&self) -> bool {
        self.seeds.iter().any(|&seed| seed != self.local.ip)
    }

    /// Time to the next heartbeat. It is shorter while the process joins its fleet: until its seeds
    /// have answered, and until others know it.
    #[must_use]
    pub fn heartbeat_interval(&self, now: Duration) -> Duration {
        if !self.is_joining(now) {
            return HEARTBEAT_INTERVAL;
        }
        if self.met_at.is_some() {
            return JOIN_INTERVAL;
        }
        let sent = u32::try_from(self.local.seq.saturating_sub(1)).unwrap_or(u32::MAX);
        let interval = JOIN_INTERVAL.saturating_mul(1 << sent.min(MAX_DOUBLINGS));
        interval.min(HEARTBEAT_INTERVAL)
    }

    /// Newest position of the store that another live member has seen.
    #[must_use]
    pub fn newest_position(&self, now: Duration) -> Position {
        self.live_others(now)
            .map(|known| known.member.position)
            .max()
            .unwrap_or_default()
    }

    /// Whether any live member has read the store for a while without a failed call. Failed calls of
    /// other members are then failures of their connections, not of the store.
    #[must_use]
    pub fn is_store_steady(&self, now: Duration) -> bool {
        let mut others = self.live_others(now);
        self.local.store_steady || others.any(|known| known.member.store_steady)
    }

    /// Whether the store may have been away: calls of some live member failed, and none was served all
    /// the while.
    #[must_use]
    pub fn may_store_have_been_away(&self, now: Duration) -> bool {
        let mut others = self.live_others(now);
        !self.is_store_steady(now) && others.any(|known| known.member.store_failed)
    }

    /// Longest time since a live member was heard.
    #[must_use]
    pub fn longest_silence(&self, now: Duration) -> Duration {
        self.live_others(now)
            .map(|known| now.saturating_sub(known.last_heard))
            .max()
            .unwrap_or_default()
    }

    /// Whether a known member is in the zone of this process.
    pub(crate) fn is_in_own_zone(&self, ip: Ipv4Addr) -> Option<bool> {
        let known = self.known.get(&ip)?;
        Some(known.member.zone == self.local.zone)
    }

    /// Whether a known member reads packed sightings.
    pub(crate) fn reads_packed(&self, ip: Ipv4Addr) -> bool {
        let known = self.known.get(&ip);
        known.is_some_and(|known| known.member.reads_packed)
    }

    /// Incarnation and newest sequence number of a known member.
    pub(crate) fn known_seq(&self, ip: Ipv4Addr) -> Option<(u64, u64)> {
        let known = self.known.get(&ip)?;
        Some((known.member.incarnation, known.newest_seq))
    }

    /// Incarnation of a known member.
    pub(crate) fn incarnation_of(&self, ip: Ipv4Addr) -> Option<u64> {
        Some(self.known.get(&ip)?.member.incarnation)
    }

    /// Number of live members, including this process.
    #[must_use]
    pub fn live_count(&self, now: Duration) -> usize {
        1 + self.live_others(now).count()
    }

    /// Other members that are live.
    fn live_others(&self, now: Duration) -> impl Iterator<Item = &KnownMember> {
        self.known.values().filter(move |known| is_live(known, now))
    }

    fn is_younger_than(&self, now: Duration, age: Duration) -> bool {
        self.first_heartbeat_at
            .is_none_or(|at| now.saturating_sub(at) < age)
    }

    /// Fleet size by which limits are divided: the largest number of members in the recent past.
    ///
    /// A process that started recently can't have seen members on the other side of a partition. If
    /// it has met no member, the fleet may have any size. If a seed is missing, the other side may
    /// be as large as this one.
    fn assumed_members(&self, now: Duration, live: usize) -> usize {
        let max_members = self.peak_members(live);
        if self.has_unknown_size(now) {
            return max_members.max(UNKNOWN_FLEET_SIZE);
        }
        let is_live = |seed| {
            self.known
                .get(seed)
                .is_some_and(|known| is_live(known, now))
        };
        let mut others = self.seeds.iter().filter(|&&seed| seed != self.local.ip);
        if !self.is_younger_than(now, SEED_CONTACT_TIMEOUT) || others.all(is_live) {
            max_members
        } else {
            2 * max_members
        }
    }

    fn peak_members(&self, live: usize) -> usize {
        self.peak_live
            .get()
            .map_or(live, |max_members| max_members.max(live))
    }

    fn merge(&mut self, now: Duration, member: Member, is_direct: bool) -> bool {
        if member.ip == self.local.ip {
            return false;
        }
        let new_entry = KnownMember::new(now, member);
        match self.known.get_mut(&member.ip) {
            None => {
                self.known.insert(member.ip, new_entry);
                self.discoveries += 1;
                true
            }
            Some(known) if known.member.incarnation == member.incarnation => {
                known.update(now, member);
                false
            }
            // Gossip from others may be about a process that has ended; only the member itself
            // proves a new incarnation while the old one still counts as live.
            Some(known) if is_direct || now.saturating_sub(known.last_heard) >= OWNER_SILENCE => {
                *known = new_entry;
                self.discoveries += 1;
                true
            }
            Some(_) => false,
        }
    }
}

/// The part of a member's state whose changes other members pass on. The rest is used only from the
/// member's own heartbeats, or as the largest value of many members.
fn gossiped_state(member: &Member) -> (bool, bool, bool, bool, bool, u32, u32) {
    (
        member.ready,
        member.stopping,
        member.store_reachable,
        member.store_failed,
        member.store_steady,
        member.capacity_class,
        member.zone,
    )
}

fn low_half(incarnation: u64) -> u32 {
    u32::try_from(incarnation & u64::from(u32::MAX)).unwrap_or(0)
}

/// Position at which a member starts a rotation.
fn rotation_start(ip: Ipv4Addr) -> usize {
    usize::try_from(xxh3_64(&ip.octets()) >> 32).unwrap_or(0)
}

/// The next `count` of some members, in rotation.
fn rotation(mut ips: Vec<Ipv4Addr>, turn: usize, count: usize) -> Vec<Ipv4Addr> {
    ips.sort_unstable();
    let first = turn.wrapping_mul(count) % ips.len().max(1);
    ips.rotate_left(first);
    ips.truncate(count);
    ips
}

fn is_live(known: &KnownMember, now: Duration) -> bool {
    now.saturating_sub(known.last_heard) < OWNER_SILENCE
}

/// The members that come first as owners of any shard.
fn strongest<'a>(members: &[&'a Member]) -> Vec<&'a Member> {
    let first = members.iter().map(|member| owner_class(member)).min();
    let is_first = |member: &&&Member| Some(owner_class(member)) == first;
    members.iter().filter(is_first).copied().collect()
}

/// Sort key for owners: members that are not stopping first, then those that can read the store,
/// then higher capacity classes, then rendezvous rank.
fn owner_preference(member: &Member, shard: u32) -> OwnerPreference {
    (
        owner_class(member),
        rendezvous_rank(member, shard),
        member.ip,
    )
}

fn owner_class(member: &Member) -> OwnerClass {
    (
        member.stopping,
        !member.store_reachable,
        Reverse(member.capacity_class),
    )
}

/// Sort key for readers of the store: members that are not stopping first, then those whose calls to
/// the store succeed, then higher capacity classes, then rendezvous rank.
fn reader_preference(member: &Member) -> ReaderPreference {
    (
        member.stopping,
        member.store_failed,
        Reverse(member.capacity_class),
        rendezvous_rank(member, READER_RANK_KEY),
        member.ip,
    )
}

type ReaderPreference = (bool, bool, Reverse<u32>, u64, Ipv4Addr);

/// Rank of a reader for a follower; the lowest wins. It spreads the followers over the readers.
fn follower_rank(follower: Ipv4Addr, reader: Ipv4Addr) -> u64 {
    let mut key = [0; 8];
    key[..4].copy_from_slice(&follower.octets());
    key[4..].copy_from_slice(&reader.octets());
    xxh3_64(&key)
}

/// Code of an availability zone in heartbeats, which fits into two bytes there. Two zones with the
/// same code share their readers.
#[must_use]
pub(crate) fn zone_code(zone: &str) -> u32 {
    const CODES: u64 = (1 << 14) - 1;
    u32::try_from(xxh3_64(zone.as_bytes()) % CODES + 1).unwrap_or(1)
}

type OwnerClass = (bool, bool, Reverse<u32>);
type OwnerPreference = (OwnerClass, u64, Ipv4Addr);

/// Capacity class of a VM by its CPU and link. Class 0 owns a shard only if no member of a higher
/// class is live, class 1 is sufficient, class 2 has at least twice the minimum.
#[must_use]
pub(crate) fn vm_class(cores: f64, link_mbps: f64) -> u32 {
    let ratio = (cores / OWNER_MIN_CORES).min(link_mbps / OWNER_MIN_MBPS);
    match ratio {
        ratio if ratio >= 2.0 => 2,
        ratio if ratio >= 1.0 => 1,
        _ => 0,
    }
}

/// Rendezvous hash of a member for a shard; the lowest wins.
fn rendezvous_rank(member: &Member, shard: u32) -> u64 {
    let mut key = [0; 16];
    key[..4].copy_from_slice(&member.ip.octets());
    key[4..8].copy_from_slice(&shard.to_be_bytes());
    key[8..].copy_from_slice(&member.incarnation.to_be_bytes());
    xxh3_64(&key)
}

/// Rendezvous hash of a member for the rate of a workspace, given the hash of its name; the lowest
/// wins.
fn rate_rank(member: &Member, workspace: u64) -> u64 {
    let mut key = [0; 20];
    key[..4].copy_from_slice(&member.ip.octets());
    key[4..12].copy_from_slice(&workspace.to_be_bytes());
    key[12..].copy_from_slice(&member.incarnation.to_be_bytes());
    xxh3_64(&key)
}
