//! Restart of parts that no daemon holds any more.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::model::{CLAIM_AGE, Claim, Incarnation, Name, PARTS, Timing};
use crate::shares::Shares;
use crate::workspace::bit;

/// Time after which a peer that didn't answer is asked again.
const RETRY: Duration = Duration::from_secs(1);

/// Time between rounds without a cause, which find parts that were dropped by live daemons.
const AUDIT: Duration = Duration::from_secs(30);

/// Least time between rounds for each listed VM: bounds the questions that a daemon sends to five
/// a second in any fleet.
const ROUND_PER_VM: Duration = Duration::from_millis(200);

/// A part that was started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Started {
    /// Workspace.
    pub workspace: Name,
    /// Number of the part.
    pub number: u16,
    /// Its new epoch.
    pub epoch: u64,
}

/// What a [`Reclaim`] waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// The next round, due at this time.
    Due(Duration),
    /// The end of the hold-down of an incarnation that left.
    HoldDown(Duration),
    /// Answers of this many listed VMs.
    Answers(usize),
    /// Nothing: the next poll starts what is unclaimed.
    Nothing,
}

#[derive(Debug)]
struct Answer {
    asked: Duration,
    /// Mask of the claimed parts.
    claimed: HashMap<Name, u32>,
}

/// Parts of a workspace of which this daemon is the successor.
#[derive(Debug, Default)]
struct Succession {
    parts: u32,
    /// When the last part was added.
    since: Duration,
}

/// Starts parts that nobody claims.
///
/// A part is started only when (1) every listed VM has answered within [`CLAIM_AGE`] and none
/// claims it, (2) each incarnation that left has been gone for the hold-down before the first of
/// these answers, so that it neither spends nor moves the part any more, and (3) this daemon has
/// been the part's successor for the hold-down before it, so that no other daemon with an older
/// list starts the part as well.
#[derive(Debug)]
pub struct Reclaim {
    timing: Timing,
    listed: BTreeMap<Name, Option<Incarnation>>,
    /// End of the hold-down of all incarnations that left so far.
    held_down: Duration,
    successions: HashMap<Name, Succession>,
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
        if parts == 0 {
            self.successions.remove(ws);
            return;
        }
        let succession = self.successions.entry(ws.clone()).or_default();
        let added = parts & !succession.parts != 0;
        succession.parts = parts;
        if added {
            succession.since = now;
            self.request(now + self.timing.hold_down);
        }
    }

    /// Peers to send a `PartQuery` for all workspaces to.
    pub fn ask(&mut self, now: Duration) -> Vec<Incarnation> {
        if !matches!(self.wait(now), Wait::Answers(_)) {
            return Vec::new();
        }
        let mut peers: Vec<_> = self.listed.values().filter_map(|&i| i).collect();
        peers.retain(|peer| {
            let recent = |at: &Duration| now.saturating_sub(*at) < RETRY;
            !self.fresh(now, *peer) && !self.asked.get(peer).is_some_and(recent)
        });
        for &peer in &peers {
            self.asked.insert(peer, now);
        }
        peers
    }

    /// Takes the complete answer of a peer to a query that was sent at `asked`.
    pub fn answered(&mut self, asked: Duration, peer: Incarnation, claims: &[Claim]) {
        let claimed = claims.iter().map(|claim| {
            let numbers = claim.parts.iter().filter(|(n, _)| *n < PARTS);
            let mask = numbers.fold(0, |mask, &(n, _)| mask | bit(n));
            (claim.workspace.clone(), mask)
        });
        let claimed = claimed.collect();
        let newer = self.answers.get(&peer).is_none_or(|a| a.asked < asked);
        if newer && self.listed.values().any(|&i| i == Some(peer)) {
            self.answers.insert(peer, Answer { asked, claimed });
        }
    }

    /// What the next start waits for.
    #[must_use]
    pub fn wait(&self, now: Duration) -> Wait {
        if now < self.held_down {
            return Wait::HoldDown(self.held_down);
        }
        if now < self.due {
            return Wait::Due(self.due);
        }
        let missing = self
            .listed
            .values()
            .filter(|i| i.is_none_or(|peer| !self.fresh(now, peer)))
            .count();
        match missing {
            0 => Wait::Nothing,
            n => Wait::Answers(n),
        }
    }

    /// Starts the unclaimed parts if nothing is to be waited for. `floor` is a lower bound for
    /// epochs that grows over the fleet's life, as the wall clock does: a part whose last epoch is
    /// forgotten everywhere then still gets a higher one.
    pub fn poll(&mut self, now: Duration, shares: &mut Shares, floor: u64) -> Vec<Started> {
        if self.version != shares.version {
            self.version = shares.version;
            self.request(now);
        }
        if !shares.movable(now) || self.wait(now) != Wait::Nothing {
            return Vec::new();
        }
        let first = self.answers.values().map(|a| a.asked).min().unwrap_or(now);
        let mut started = Vec::new();
        let mut due = now + AUDIT.max(self.spacing() * 2);
        for (ws, succession) in &self.successions {
            let settled = succession.since + self.timing.hold_down;
            if settled > first {
                due = due.min(settled.max(now));
                continue;
            }
            let mut unclaimed = succession.parts & !shares.claimed_mask(now, ws);
            for answer in self.answers.values() {
                unclaimed &= !answer.claimed.get(ws).copied().unwrap_or(0);
            }
            for number in (0..PARTS).filter(|&n| unclaimed & bit(n) != 0) {
                let epoch = floor.max(shares.epoch(ws, number) + 1);
                if shares.start_part(now, ws, number, epoch) {
                    started.push(Started {
                        workspace: ws.clone(),
                        number,
                        epoch,
                    });
                }
            }
        }
        self.answers.clear();
        self.asked.clear();
        self.last_round = Some(now);
        self.due = due.max(now + self.spacing());
        started
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
        self.answers
            .get(&peer)
            .is_some_and(|a| a.asked >= self.held_down && now.saturating_sub(a.asked) <= CLAIM_AGE)
    }
}
