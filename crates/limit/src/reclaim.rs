//! Restart of parts that no daemon holds.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::model::{Claim, Incarnation, MAX_CLAIM_AGE, Name, PARTS, Timing};
use crate::shares::Shares;
use crate::workspace::bit;

/// Time after which a peer that didn't answer is queried again.
const QUERY_RETRY: Duration = Duration::from_secs(1);

/// Time between periodic rounds, which find parts that live daemons have dropped.
const AUDIT_INTERVAL: Duration = Duration::from_secs(30);

/// Minimum time between rounds for each listed VM. Limits a daemon to about five queries a second,
/// whatever the size of the fleet.
const MIN_ROUND_SPACING_PER_VM: Duration = Duration::from_millis(200);

/// A part that was started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedPart {
    /// Workspace.
    pub workspace: Name,
    /// Number of the part.
    pub number: u16,
    /// New epoch of the part.
    pub epoch: u64,
}

/// What a [`Reclaim`] waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitingFor {
    /// The start of the next round, at this time.
    Due(Duration),
    /// The end of the hold-down of an incarnation that left, at this time.
    HoldDown(Duration),
    /// Answers of this many listed VMs.
    Answers(usize),
    /// Nothing; the next poll ends the round.
    Nothing,
}

/// Identity of a query, to be passed to [`Reclaim::record_answer`] with the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueryId {
    round: u64,
    asked_at: Duration,
}

/// Messages to send to peers: the claims as `PartClaim`s and then a `PartQuery` for all workspaces,
/// in this order on one link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// Identity of the query.
    pub id: QueryId,
    /// Peers to send it to; may be empty.
    pub peers: Vec<Incarnation>,
    /// Parts that this daemon is about to start.
    pub claims: Vec<Claim>,
}

#[derive(Debug)]
struct Answer {
    asked_at: Duration,
    claims: HashMap<Name, Vec<(u16, u64)>>,
}

/// Starts parts that no daemon claims.
///
/// A round begins after the hold-down of every incarnation that left, when these neither spend nor
/// move parts any more. It needs the answers of all listed VMs. The first round finds the parts
/// that nobody claims. The second one announces their new epochs: a daemon that answers it has
/// dropped any older epoch, accepts no older epoch from a late message, and doesn't start the same
/// epoch itself if its list gives another successor. Then the parts start.
///
/// ```
/// use std::time::Duration;
/// use limit::{Limit, Name, Reclaim, Shares, Timing, WaitingFor};
///
/// let s = Duration::from_secs;
/// let timing = Timing { propagation: s(5), hold_down: s(20) };
/// let mut shares = Shares::new(1, timing);
/// let mut reclaim = Reclaim::new(s(0), timing);
/// let ws = Name::from("salon-7");
/// shares.configure(s(0), [(ws.clone(), Limit { rate: 320, burst: 3_200 })]);
/// reclaim.set_listed(s(0), &mut shares, [(Name::from("vm-2"), Some(2))]);
/// reclaim.set_successor(s(0), &ws, 0b101);
///
/// assert_eq!(reclaim.waiting_for(s(19)), WaitingFor::HoldDown(s(20)));
/// let find = reclaim.next_query(s(20), &mut shares);
/// assert!(reclaim.poll(s(20), &mut shares, 0).is_empty(), "the answer is missing");
/// reclaim.record_answer(find.id, 2, &[]);
/// assert!(reclaim.poll(s(21), &mut shares, 0).is_empty(), "not announced");
/// let announce = reclaim.next_query(s(21), &mut shares);
/// assert_eq!(announce.peers, [2]);
/// assert_eq!(announce.claims[0].parts, [(0, 1), (2, 1)]);
/// reclaim.record_answer(announce.id, 2, &[]);
/// assert_eq!(reclaim.poll(s(22), &mut shares, 0).len(), 2);
/// ```
#[derive(Debug)]
pub struct Reclaim {
    timing: Timing,
    listed: BTreeMap<Name, Option<Incarnation>>,
    /// Time at which the hold-down of all incarnations that have left ends.
    hold_down_end: Duration,
    /// Masks of the parts of each workspace whose successor is this daemon.
    successor_masks: HashMap<Name, u32>,
    /// Parts that the current round announces, with their new epochs.
    announced: HashMap<Name, Vec<(u16, u64)>>,
    /// Number of the current round.
    round: u64,
    answers: HashMap<Incarnation, Answer>,
    last_queries: HashMap<Incarnation, Duration>,
    next_round: Duration,
    last_round: Option<Duration>,
    known_additions: u64,
}

impl Reclaim {
    /// Starts with a hold-down, since it is unknown which incarnations left before.
    #[must_use]
    pub fn new(now: Duration, timing: Timing) -> Self {
        let hold_down_end = now + timing.hold_down;
        Self {
            timing,
            listed: BTreeMap::new(),
            hold_down_end,
            successor_masks: HashMap::new(),
            announced: HashMap::new(),
            round: 0,
            answers: HashMap::new(),
            last_queries: HashMap::new(),
            next_round: hold_down_end,
            last_round: None,
            known_additions: 0,
        }
    }

    /// Sets the other listed VMs, live and leaving, and their incarnations where these are known
    /// from their hellos. Call it when either changes. Passes the incarnations to
    /// [`Shares::set_peers`].
    pub fn set_listed(
        &mut self,
        now: Duration,
        shares: &mut Shares,
        vms: impl IntoIterator<Item = (Name, Option<Incarnation>)>,
    ) {
        let mut listed: BTreeMap<Name, Option<Incarnation>> = vms.into_iter().collect();
        let mut gone = false;
        for (vm, &old) in &self.listed {
            match (old, listed.get_mut(vm)) {
                (Some(_), Some(new @ None)) => *new = old,
                (Some(old), new) => {
                    gone |= new.is_none_or(|new| *new != Some(old));
                }
                // A daemon that ran there before the first hello may have held parts.
                (None, Some(Some(_)) | None) => gone = true,
                (None, Some(None)) => {}
            }
        }
        self.listed = listed;
        shares.set_peers(self.listed.values().filter_map(|&i| i));
        self.answers.retain(|i, _| shares.peers.contains(i));
        self.last_queries.retain(|i, _| shares.peers.contains(i));
        if gone {
            self.hold_down_end = now + self.timing.hold_down;
            self.schedule_round(self.hold_down_end);
        }
    }

    /// Sets the parts of a workspace whose successor, by rendezvous hashing, is this daemon; bit
    /// `i` stands for part `i`.
    pub fn set_successor(&mut self, now: Duration, ws: &Name, parts: u32) {
        let old = self.successor_masks.insert(ws.clone(), parts).unwrap_or(0);
        if parts & !old != 0 {
            self.schedule_round(now);
        }
        if parts == 0 {
            self.successor_masks.remove(ws);
        }
    }

    /// Returns the query to send now and its receivers. A peer that doesn't answer is included
    /// again after a second.
    pub fn next_query(&mut self, now: Duration, shares: &mut Shares) -> Query {
        let mut peers = Vec::new();
        if matches!(self.waiting_for(now), WaitingFor::Answers(_)) {
            peers.extend(self.listed.values().filter_map(|&i| i));
        }
        peers.retain(|peer| {
            let recent = |at: &Duration| now.saturating_sub(*at) < QUERY_RETRY;
            !self.has_fresh_answer(now, *peer) && !self.last_queries.get(peer).is_some_and(recent)
        });
        self.last_queries
            .extend(peers.iter().map(|&peer| (peer, now)));
        let claims = self.announced.iter().map(|(ws, parts)| Claim {
            workspace: ws.clone(),
            parts: parts.clone(),
            tokens: shares.claim(now, ws).tokens,
        });
        Query {
            id: QueryId {
                round: self.round,
                asked_at: now,
            },
            claims: claims.filter(|_| !peers.is_empty()).collect(),
            peers,
        }
    }

    /// Records the complete answer of a peer, which it gave after recording the query's claims.
    pub fn record_answer(&mut self, query: QueryId, peer: Incarnation, claims: &[Claim]) {
        let newer = self
            .answers
            .get(&peer)
            .is_none_or(|a| a.asked_at < query.asked_at);
        let listed = self.listed.values().any(|&i| i == Some(peer));
        if query.round == self.round && newer && listed {
            let claims = claims
                .iter()
                .map(|claim| (claim.workspace.clone(), claim.parts.clone()));
            let answer = Answer {
                asked_at: query.asked_at,
                claims: claims.collect(),
            };
            self.answers.insert(peer, answer);
        }
    }

    /// What the end of the current round waits for.
    #[must_use]
    pub fn waiting_for(&self, now: Duration) -> WaitingFor {
        if now < self.hold_down_end {
            return WaitingFor::HoldDown(self.hold_down_end);
        }
        if now < self.next_round {
            return WaitingFor::Due(self.next_round);
        }
        let missing = self
            .listed
            .values()
            .filter(|i| i.is_none_or(|peer| !self.has_fresh_answer(now, peer)))
            .count();
        match missing {
            0 => WaitingFor::Nothing,
            n => WaitingFor::Answers(n),
        }
    }

    /// Ends the round if there is nothing left to wait for, and starts the parts that it announced,
    /// if any. `epoch_floor` is the wall-clock time in milliseconds: it makes new epochs higher
    /// than earlier ones that all listed daemons have forgotten. Wall clocks must differ by less
    /// than the hold-down.
    pub fn poll(
        &mut self,
        now: Duration,
        shares: &mut Shares,
        epoch_floor: u64,
    ) -> Vec<StartedPart> {
        if self.known_additions != shares.additions {
            self.known_additions = shares.additions;
            self.schedule_round(now);
        }
        if !shares.may_move_parts(now) || self.waiting_for(now) != WaitingFor::Nothing {
            return Vec::new();
        }
        let started = self.start_announced(now, shares);
        if started.is_none() {
            self.announced = self.find_unclaimed(now, shares, epoch_floor);
        }
        self.round += 1;
        self.answers.clear();
        self.last_queries.clear();
        if self.announced.is_empty() {
            self.last_round = Some(now);
            self.next_round = now + AUDIT_INTERVAL.max(self.min_round_spacing() * 2);
        }
        started.unwrap_or_default()
    }

    /// Starts the announced parts that no peer claims; `None` if none were announced.
    fn start_announced(&mut self, now: Duration, shares: &mut Shares) -> Option<Vec<StartedPart>> {
        if self.announced.is_empty() {
            return None;
        }
        let mut started = Vec::new();
        for (ws, parts) in std::mem::take(&mut self.announced) {
            for (number, epoch) in parts {
                if self
                    .highest_claimed_epoch(&ws, number)
                    .is_none_or(|e| e < epoch)
                    && shares.start_part(now, &ws, number, epoch)
                {
                    started.push(StartedPart {
                        workspace: ws.clone(),
                        number,
                        epoch,
                    });
                }
            }
        }
        Some(started)
    }

    /// Parts whose successor is this daemon and that nobody claims, with new epochs.
    fn find_unclaimed(
        &self,
        now: Duration,
        shares: &mut Shares,
        epoch_floor: u64,
    ) -> HashMap<Name, Vec<(u16, u64)>> {
        let mut found = HashMap::new();
        for (ws, mask) in &self.successor_masks {
            let own = shares.claimed_mask(now, ws);
            let parts: Vec<_> = (0..PARTS)
                .filter(|&n| {
                    mask & !own & bit(n) != 0 && self.highest_claimed_epoch(ws, n).is_none()
                })
                .map(|n| (n, epoch_floor.max(shares.epoch(ws, n) + 1)))
                .collect();
            if !parts.is_empty() && shares.configured(ws).is_some() {
                found.insert(ws.clone(), parts);
            }
        }
        found
    }

    /// Highest epoch in which any peer claims a part.
    fn highest_claimed_epoch(&self, ws: &Name, number: u16) -> Option<u64> {
        let claims = self.answers.values().filter_map(|a| a.claims.get(ws));
        let epochs = claims.flatten().filter(|(n, _)| *n == number);
        epochs.map(|&(_, epoch)| epoch).max()
    }

    /// Schedules a round at `at`, or later if that is too soon after the last one.
    fn schedule_round(&mut self, at: Duration) {
        let earliest = self
            .last_round
            .map_or(at, |last| last + self.min_round_spacing());
        self.next_round = self.next_round.min(at.max(earliest));
    }

    fn min_round_spacing(&self) -> Duration {
        MIN_ROUND_SPACING_PER_VM * u32::try_from(self.listed.len()).unwrap_or(u32::MAX)
    }

    fn has_fresh_answer(&self, now: Duration, peer: Incarnation) -> bool {
        self.answers.get(&peer).is_some_and(|a| {
            a.asked_at >= self.hold_down_end && now.saturating_sub(a.asked_at) <= MAX_CLAIM_AGE
        })
    }
}
