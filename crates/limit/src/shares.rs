//! Parts of all workspaces that one daemon holds.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::model::{
    Incarnation, LeaseState, Limit, MICROS_PER_TOKEN, Name, PARTS, RefusalReason, Reservation,
    ReserveError, Timing, WorkspaceStatus,
};
use crate::workspace::{LatestMove, Workspace};

/// Time for which a removed workspace is remembered; much longer than the delay of any message.
const REMOVED_TTL: Duration = Duration::from_hours(1);

/// Size of the range of reservation numbers of each workspace; the ranges don't overlap.
const SEQ_SPACE: u64 = 1 << 40;

/// Parts of all workspaces that this daemon holds, with their levels and reservations.
///
/// ```
/// use std::time::Duration;
/// use limit::{Limit, Name, PARTS, Shares, Timing};
///
/// let timing = Timing {
///     propagation: Duration::from_secs(5),
///     hold_down: Duration::from_secs(20),
/// };
/// let mut shares = Shares::new(1, timing);
/// let ws = Name::from("salon-7");
/// shares.configure(Duration::ZERO, [(ws.clone(), Limit { rate: 100, burst: 1_000 })]);
/// for number in 0..PARTS {
///     shares.start_part(Duration::ZERO, &ws, number, 1);
/// }
///
/// let now = Duration::from_secs(5);
/// let reservation = shares.reserve(now, &ws, 400).unwrap();
/// assert_eq!(shares.reserve(now, &ws, 400).unwrap_err().missing, 300);
/// shares.settle(now, reservation, 50);
/// assert!(shares.reserve(now, &ws, 400).is_ok());
/// ```
#[derive(Debug)]
pub struct Shares {
    pub(crate) incarnation: Incarnation,
    pub(crate) workspaces: HashMap<Name, Workspace>,
    /// Listed incarnations, without this one.
    pub(crate) peers: HashSet<Incarnation>,
    /// Workspaces for which peers recently asked for tokens.
    pub(crate) asked_workspaces: Vec<Name>,
    /// Number of times that a workspace was added to the configuration.
    pub(crate) additions: u64,
    timing: Timing,
    lease: LeaseState,
    lease_end: Duration,
    keep_parts: bool,
    suspended: bool,
    workspaces_created: u64,
}

impl Shares {
    /// Creates the state of a daemon that holds no part yet; its lease counts as held.
    #[must_use]
    pub fn new(incarnation: Incarnation, timing: Timing) -> Self {
        Self {
            incarnation,
            workspaces: HashMap::new(),
            peers: HashSet::new(),
            asked_workspaces: Vec::new(),
            additions: 0,
            timing,
            lease: LeaseState::Held,
            lease_end: Duration::MAX,
            keep_parts: false,
            suspended: false,
            workspaces_created: 0,
        }
    }

    /// Sets the limits of a new sheet: decreases take effect at once, increases after the
    /// propagation time. Drops the parts of workspaces that are not in it.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use limit::{Limit, Name, Shares, Timing};
    /// # let s = Duration::from_secs;
    /// # let mut shares = Shares::new(1, Timing { propagation: s(5), hold_down: s(20) });
    /// let ws = Name::from("salon-7");
    /// let limit = |rate, burst| [(ws.clone(), Limit { rate, burst })];
    /// shares.configure(s(0), limit(100, 1_000));
    /// shares.configure(s(10), limit(50, 2_000));
    /// let at = |shares: &mut Shares, now| shares.status(now).next().unwrap().limit;
    /// assert_eq!(at(&mut shares, s(14)), Limit { rate: 50, burst: 1_000 });
    /// assert_eq!(at(&mut shares, s(15)), Limit { rate: 50, burst: 2_000 });
    /// ```
    pub fn configure(&mut self, now: Duration, limits: impl IntoIterator<Item = (Name, Limit)>) {
        let limits: HashMap<_, _> = limits.into_iter().collect();
        let accruing = self.accrues(now);
        let increase = now + self.timing.propagation;
        for (name, w) in &mut self.workspaces {
            if w.removed_at.is_none() && !limits.contains_key(name) {
                w.clear();
                w.has_recent_asks = false;
                w.removed_at = Some(now);
            }
        }
        self.workspaces.retain(|_, w| {
            w.removed_at
                .is_none_or(|at| now.saturating_sub(at) < REMOVED_TTL)
        });
        for (name, limit) in limits {
            let w = self.workspace_or_removed(now, &name);
            w.advance(now, accruing);
            if w.removed_at.take().is_some() {
                w.schedule = crate::schedule::LimitSchedule::new(limit);
                self.additions += 1;
            } else {
                w.schedule.set(limit, increase);
                w.clip_to_capacity();
            }
        }
    }

    /// Adds an empty part. Returns false, without adding it, if the workspace is unknown, the
    /// number is out of range, or the epoch isn't higher than the latest known one.
    pub fn start_part(&mut self, now: Duration, ws: &Name, number: u16, epoch: u64) -> bool {
        let accruing = self.accrues(now);
        let Some(w) = self.configured(ws) else {
            return false;
        };
        if number >= PARTS || epoch <= w.latest_move(number).epoch {
            return false;
        }
        w.advance(now, accruing);
        w.drop_part(number);
        let latest = LatestMove {
            epoch,
            hops: 0,
            taken: true,
        };
        w.set_latest_move(number, latest);
        w.add_part(number, 0);
        true
    }

    /// Reserves tokens for one request: prompt plus maximum output.
    ///
    /// # Errors
    /// Returns the number of missing tokens and the reason for the refusal.
    pub fn reserve(
        &mut self,
        now: Duration,
        ws: &Name,
        tokens: u64,
    ) -> Result<Reservation, ReserveError> {
        let lease = self.lease_state(now);
        let suspended = self.suspended;
        let Some(w) = self.configured(ws) else {
            return Err(ReserveError {
                missing: tokens,
                reason: RefusalReason::Unknown,
            });
        };
        w.advance(now, lease == LeaseState::Held);
        let reason = if suspended {
            RefusalReason::Suspended
        } else if lease == LeaseState::Expired {
            RefusalReason::Lease
        } else if tokens > w.limit().burst {
            RefusalReason::TooLarge
        } else {
            let micros = tokens.saturating_mul(MICROS_PER_TOKEN);
            if let Some(seq) = w.pool.reserve(micros) {
                w.demand.add(now, micros);
                return Ok(Reservation {
                    workspace: ws.clone(),
                    tokens,
                    seq,
                });
            }
            RefusalReason::Level
        };
        w.refused[reason as usize] += 1;
        let missing = match reason {
            RefusalReason::Level => tokens
                .saturating_mul(MICROS_PER_TOKEN)
                .saturating_add(w.pool.debt())
                .saturating_sub(w.pool.level())
                .div_ceil(MICROS_PER_TOKEN),
            _ => tokens,
        };
        Err(ReserveError { missing, reason })
    }

    /// Ends a reservation of which `used` tokens were used. Unused tokens are refunded as far as
    /// accrual hasn't replaced them. Tokens used beyond the reservation are charged to the level,
    /// and to later accrual if that is too low.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a reservation is settled once"
    )]
    pub fn settle(&mut self, now: Duration, reservation: Reservation, used: u64) {
        let accruing = self.accrues(now);
        let Some(w) = self.configured(&reservation.workspace) else {
            return;
        };
        w.advance(now, accruing);
        let unused = reservation.tokens.saturating_sub(used);
        let over = used.saturating_sub(reservation.tokens);
        w.pool
            .refund(reservation.seq, unused.saturating_mul(MICROS_PER_TOKEN));
        w.demand.sub(now, unused.saturating_mul(MICROS_PER_TOKEN));
        if over > 0 {
            w.pool.charge(over.saturating_mul(MICROS_PER_TOKEN));
            w.demand.add(now, over.saturating_mul(MICROS_PER_TOKEN));
        }
    }

    /// Sets the state of the daemon's lease.
    ///
    /// Drops all parts when an expired lease gets another state, since other daemons may have
    /// started them again. See [`Self::keep_parts_after_expiry`] for the exception.
    pub fn set_lease(&mut self, now: Duration, state: LeaseState) {
        let keep = std::mem::take(&mut self.keep_parts);
        let was = self.lease_state(now);
        if was == state {
            return;
        }
        self.advance_all(now);
        if was == LeaseState::Expired && !keep {
            self.drop_all_parts();
        }
        self.lease = state;
    }

    /// Sets the time from which the lease counts as expired without a further call, so that a
    /// process spends nothing after a pause that it hasn't noticed yet. The end is the time at
    /// which the last list that named this daemon was read, plus the hold-down, minus the list lag.
    pub fn set_lease_end(&mut self, now: Duration, end: Duration) {
        if now >= self.lease_end {
            self.lease = LeaseState::Expired;
        }
        self.lease_end = end;
    }

    /// Keeps the parts if the next [`Self::set_lease`] ends an expiry. Call it only if the list
    /// just read has the same generation as the last one that named this daemon, so that no other
    /// daemon can have seen a list without it.
    pub fn keep_parts_after_expiry(&mut self) {
        self.keep_parts = true;
    }

    /// Stops spending and moving parts, after a pause of the process.
    pub fn suspend(&mut self) {
        self.suspended = true;
    }

    /// Allows spending and moving again, once the VM list and the lease are up to date.
    pub fn resume(&mut self) {
        self.suspended = false;
    }

    /// Drops all parts. Their successors start them again unless they are claimed elsewhere.
    pub fn drop_all_parts(&mut self) {
        for w in self.workspaces.values_mut() {
            w.clear();
        }
    }

    /// State of each workspace of the sheet, in no particular order.
    pub fn status(&mut self, now: Duration) -> impl Iterator<Item = WorkspaceStatus> {
        self.advance_all(now);
        self.workspaces
            .iter()
            .filter(|(_, w)| w.removed_at.is_none())
            .map(|(name, w)| WorkspaceStatus {
                workspace: name.clone(),
                limit: w.limit(),
                held: (0..PARTS).filter(|&n| w.holds(n)).collect(),
                in_transit: u32::try_from(w.transits.len()).unwrap_or(u32::MAX),
                tokens: w.whole_tokens(),
                refundable: w.pool.refundable() / MICROS_PER_TOKEN,
                debt: w.pool.debt().div_ceil(MICROS_PER_TOKEN),
                refused: w.refused,
            })
    }

    pub(crate) fn lease_state(&self, now: Duration) -> LeaseState {
        if now >= self.lease_end {
            LeaseState::Expired
        } else {
            self.lease
        }
    }

    pub(crate) fn accrues(&self, now: Duration) -> bool {
        self.lease_state(now) == LeaseState::Held
    }

    /// Whether parts may move and start: only with a held lease and without suspension.
    pub(crate) fn may_move_parts(&self, now: Duration) -> bool {
        self.accrues(now) && !self.suspended
    }

    pub(crate) fn configured(&mut self, ws: &Name) -> Option<&mut Workspace> {
        self.workspaces
            .get_mut(ws)
            .filter(|w| w.removed_at.is_none())
    }

    /// Returns the workspace, including a removed one. An unknown one is added and counts as
    /// removed until it is configured.
    pub(crate) fn workspace_or_removed(&mut self, now: Duration, ws: &Name) -> &mut Workspace {
        if !self.workspaces.contains_key(ws) {
            self.workspaces_created += 1;
            let mut w = Workspace::new(now, Limit::default(), self.workspaces_created * SEQ_SPACE);
            w.removed_at = Some(now);
            self.workspaces.insert(ws.clone(), w);
        }
        self.workspaces
            .get_mut(ws)
            .expect("inserted above if absent")
    }

    fn advance_all(&mut self, now: Duration) {
        let accruing = self.accrues(now);
        for w in self.workspaces.values_mut() {
            w.advance(now, accruing);
        }
    }
}
