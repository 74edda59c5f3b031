//! Restart of parts that no daemon holds any more.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::model::{Claim, Incarnation, MAX_CLAIM_AGE, Name, PARTS, Timing};
use crate::shares::Shares;
use crate::workspace::bit;

/// Time after which a peer that didn't answer is asked again.
const RETRY: Duration = Duration::from_secs(1);

/// Time between rounds without a cause, which find parts that were dropped by live daemons.
const AUDIT: Duration = Duration::from_secs(30);

/// Least time between searches for each listed VM: bounds the questions that a daemon sends to five
/// a second in any fleet.
const ROUND_PER_VM: Duration = Duration::from_millis(200);

/// A part that was started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedPart {
    /// Workspace.
    pub workspace: Name,
    /// Number of the part.
    pub number: u16,
    /// Its new epoch.
    pub epoch: u64,
}

/// What a [`Reclaim`] waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitingFor {
    /// The next round, due at this time.
    Due(Duration),
    /// The end of the hold-down of an incarnation that left.
    HoldDown(Duration),
    /// Answers of this many listed VMs.
    Answers(usize),
    /// Nothing: the next poll starts what is unclaimed.
    Nothing,
}

/// Identity of a query, to be passed back with its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueryId {
    number: u64,
    asked: Duration,
}

/// What to send to peers: on one link and in this order, the claims as `PartClaim`s and a
/// `PartQuery` for all workspaces.
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
    asked: Duration,
    claims: HashMap<Name, Vec<(u16, u64)>>,
}

/// Starts parts that nobody claims.
///
/// Rounds begin when each incarnation that left has been gone for the hold-down, so that it neither
/// spends nor moves a part any more, and need the answers of all listed VMs. The first round finds
/// the parts that nobody claims. The second one announces their new epochs: a daemon that answers
/// it has dropped any older epoch and takes none from a late message, and starts nothing in the
/// same epoch itself if its list names another successor. Then the parts start.
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
    /// End of the hold-down of all incarnations that left so far.
    held_down: Duration,
    /// Masks of the parts of which this daemon is the successor.
    successions: HashMap<Name, u32>,
    /// Parts that the round announces, with their new epochs.
    announced: HashMap<Name, Vec<(u16, u64)>>,
    /// Number of the round.
    round: u64,
    answers: HashMap<Incarnation, Answer>,
    asked: HashMap<Incarnation, Duration>,
    due: Duration,
    last_round: Option<Duration>,
    version: u64,
}

impl Reclaim {
    /// Begins with a hold-down, since it isn't known what left before.
    #[must_use]
    pub fn new(now: Duration, timing: Timing) -> Self {
        let held_down = now + timing.hold_down;
        Self {
            timing,
            listed: BTreeMap::new(),
            held_down,
            successions: HashMap::new(),
            announced: HashMap::new(),
            round: 0,
            answers: HashMap::new(),
            asked: HashMap::new(),
            due: held_down,
            last_round: None,
            version: 0,
        }
    }

    /// Sets the listed VMs, live and leaving, without this one, and their incarnations as far as
    /// known from their greetings; to be called when either changes. Passes the incarnations on to
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
                // What ran there before the first greeting may have held parts.
                (None, Some(Some(_)) | None) => gone = true,
                (None, Some(None)) => {}
            }
        }
        self.listed = listed;
        shares.set_peers(self.listed.values().filter_map(|&i| i));
        self.answers.retain(|i, _| shares.peers.contains(i));
        self.asked.retain(|i, _| shares.peers.contains(i));
        if gone {
            self.held_down = now + self.timing.hold_down;
            self.request(self.held_down);
        }
    }

    /// Sets the parts of a workspace of which this daemon is the rendezvous successor: bit `i` for
    /// part `i`.
    pub fn set_successor(&mut self, now: Duration, ws: &Name, parts: u32) {
        let old = self.successions.insert(ws.clone(), parts).unwrap_or(0);
        if parts & !old != 0 {
            self.request(now);
        }
        if parts == 0 {
            self.successions.remove(ws);
        }
    }

    /// Whom to query now. Peers that don't answer are named again after a second.
    pub fn next_query(&mut self, now: Duration, shares: &mut Shares) -> Query {
        let mut peers = Vec::new();
        if matches!(self.waiting_for(now), WaitingFor::Answers(_)) {
            peers.extend(self.listed.values().filter_map(|&i| i));
        }
        peers.retain(|peer| {
            let recent = |at: &Duration| now.saturating_sub(*at) < RETRY;
            !self.fresh(now, *peer) && !self.asked.get(peer).is_some_and(recent)
        });
        self.asked.extend(peers.iter().map(|&peer| (peer, now)));
        let claims = self.announced.iter().map(|(ws, parts)| Claim {
            workspace: ws.clone(),
            parts: parts.clone(),
            tokens: shares.claim(now, ws).tokens,
        });
        Query {
            id: QueryId {
                number: self.round,
                asked: now,
            },
            claims: claims.filter(|_| !peers.is_empty()).collect(),
            peers,
        }
    }

    /// Takes the complete answer of a peer, made after it noted the claims of the query.
    pub fn record_answer(&mut self, round: QueryId, peer: Incarnation, claims: &[Claim]) {
        let newer = self
            .answers
            .get(&peer)
            .is_none_or(|a| a.asked < round.asked);
        let listed = self.listed.values().any(|&i| i == Some(peer));
        if round.number == self.round && newer && listed {
            let claims = claims
                .iter()
                .map(|claim| (claim.workspace.clone(), claim.parts.clone()));
            let answer = Answer {
                asked: round.asked,
                claims: claims.collect(),
            };
            self.answers.insert(peer, answer);
        }
    }

    /// What the next start waits for.
    #[must_use]
    pub fn waiting_for(&self, now: Duration) -> WaitingFor {
        if now < self.held_down {
            return WaitingFor::HoldDown(self.held_down);
        }
        if now < self.due {
            return WaitingFor::Due(self.due);
        }
        let missing = self
            .listed
            .values()
            .filter(|i| i.is_none_or(|peer| !self.fresh(now, peer)))
            .count();
        match missing {
            0 => WaitingFor::Nothing,
            n => WaitingFor::Answers(n),
        }
    }

    /// Ends a round if nothing is to be waited for; the second of two starts parts. `floor` is the
    /// wall clock in milliseconds: it makes the epoch higher than one that all daemons now listed
    /// have forgotten. Wall clocks may differ by less than the hold-down.
    pub fn poll(&mut self, now: Duration, shares: &mut Shares, floor: u64) -> Vec<StartedPart> {
        if self.version != shares.version {
            self.version = shares.version;
            self.request(now);
        }
        if !shares.movable(now) || self.waiting_for(now) != WaitingFor::Nothing {
            return Vec::new();
        }
        let started = self.start(now, shares);
        if started.is_none() {
            self.announced = self.unclaimed(now, shares, floor);
        }
        self.round += 1;
        self.answers.clear();
        self.asked.clear();
        if self.announced.is_empty() {
            self.last_round = Some(now);
            self.due = now + AUDIT.max(self.spacing() * 2);
        }
        started.unwrap_or_default()
    }

    /// Starts the announced parts, if there are any.
    fn start(&mut self, now: Duration, shares: &mut Shares) -> Option<Vec<StartedPart>> {
        if self.announced.is_empty() {
            return None;
        }
        let mut started = Vec::new();
        for (ws, parts) in std::mem::take(&mut self.announced) {
            for (number, epoch) in parts {
                if self.claims(&ws, number).is_none_or(|e| e < epoch)
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

    /// Parts of this daemon's succession that nobody claims, with new epochs.
    fn unclaimed(
        &self,
        now: Duration,
        shares: &mut Shares,
        floor: u64,
    ) -> HashMap<Name, Vec<(u16, u64)>> {
        let mut found = HashMap::new();
        for (ws, mask) in &self.successions {
            let own = shares.claimed_mask(now, ws);
            let parts: Vec<_> = (0..PARTS)
                .filter(|&n| mask & !own & bit(n) != 0 && self.claims(ws, n).is_none())
                .map(|n| (n, floor.max(shares.epoch(ws, n) + 1)))
                .collect();
            if !parts.is_empty() && shares.live(ws).is_some() {
                found.insert(ws.clone(), parts);
            }
        }
        found
    }

    /// Highest epoch in which a peer claims a part.
    fn claims(&self, ws: &Name, number: u16) -> Option<u64> {
        let claims = self.answers.values().filter_map(|a| a.claims.get(ws));
        let epochs = claims.flatten().filter(|(n, _)| *n == number);
        epochs.map(|&(_, epoch)| epoch).max()
    }

    /// Makes a round due at `at`, or later if the last one was a moment ago.
    fn request(&mut self, at: Duration) {
        let earliest = self.last_round.map_or(at, |last| last + self.spacing());
        self.due = self.due.min(at.max(earliest));
    }

    fn spacing(&self) -> Duration {
        ROUND_PER_VM * u32::try_from(self.listed.len()).unwrap_or(u32::MAX)
    }

    fn fresh(&self, now: Duration, peer: Incarnation) -> bool {
        self.answers.get(&peer).is_some_and(|a| {
            a.asked >= self.held_down && now.saturating_sub(a.asked) <= MAX_CLAIM_AGE
        })
    }
}
