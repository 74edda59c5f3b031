//! State of the parts of one workspace at this daemon.

use std::time::Duration;

use crate::demand::{Demand, PeerTable};
use crate::model::{
    GIVEN_CLAIM_TTL, Incarnation, Limit, MICROS_PER_MILLI, MICROS_PER_TOKEN, Name, PARTS, PartMove,
    RefusalCounts,
};
use crate::pool::{Pool, accrued};
use crate::schedule::LimitSchedule;

/// Latest known attempt to move a part, ordered by epoch and hops.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LatestMove {
    pub(crate) epoch: u64,
    pub(crate) hops: u64,
    /// Reply to the attempt if its receiver was this daemon.
    pub(crate) taken: bool,
}

/// A part that was sent and whose receiver has not replied yet.
#[derive(Debug)]
pub(crate) struct Transit {
    pub(crate) number: u16,
    pub(crate) receiver: Incarnation,
    level_millis: u64,
    /// Accrual of the part since it was sent; counts only if the receiver denies the part.
    accrued: u64,
}

/// A part that was given away and is still claimed until `until`.
#[derive(Debug)]
struct GivenPart {
    number: u16,
    epoch: u64,
    until: Duration,
}

#[derive(Debug)]
pub(crate) struct Workspace {
    pub(crate) schedule: LimitSchedule,
    pub(crate) pool: Pool,
    pub(crate) transits: Vec<Transit>,
    pub(crate) demand: Demand,
    pub(crate) peers: PeerTable,
    pub(crate) refused: RefusalCounts,
    /// Time at which the workspace was removed from the sheet. The latest moves of its parts are
    /// kept for a while, so that a delayed move isn't accepted twice.
    pub(crate) removed_at: Option<Duration>,
    pub(crate) last_balance: Duration,
    /// Whether a peer recently asked for tokens.
    pub(crate) has_recent_asks: bool,
    latest_moves: [LatestMove; PARTS as usize],
    given_parts: Vec<GivenPart>,
    /// Bit `i` is set if part `i` is held.
    held_mask: u32,
    last_accrual: Duration,
}

impl Workspace {
    pub(crate) fn new(now: Duration, limit: Limit, first_seq: u64) -> Self {
        Self {
            schedule: LimitSchedule::new(limit),
            pool: Pool::new(first_seq),
            transits: Vec::new(),
            demand: Demand::default(),
            peers: PeerTable::default(),
            refused: RefusalCounts::default(),
            removed_at: None,
            last_balance: Duration::ZERO,
            has_recent_asks: false,
            latest_moves: [LatestMove::default(); PARTS as usize],
            given_parts: Vec::new(),
            held_mask: 0,
            last_accrual: now,
        }
    }

    pub(crate) fn limit(&self) -> Limit {
        self.schedule.current()
    }

    pub(crate) fn held_count(&self) -> u32 {
        self.held_mask.count_ones()
    }

    pub(crate) fn holds(&self, number: u16) -> bool {
        self.held_mask & bit(number) != 0
    }

    pub(crate) fn latest_move(&self, number: u16) -> LatestMove {
        self.latest_moves[usize::from(number)]
    }

    pub(crate) fn set_latest_move(&mut self, number: u16, latest: LatestMove) {
        self.latest_moves[usize::from(number)] = latest;
    }

    /// Updates levels and limit to the time `now`.
    pub(crate) fn advance(&mut self, now: Duration, accruing: bool) {
        while let Some((at, limit)) = self.schedule.pop_due(now) {
            self.accrue(at, accruing);
            self.schedule.apply(limit);
        }
        self.accrue(now, accruing);
    }

    fn accrue(&mut self, now: Duration, accruing: bool) {
        let span = now.saturating_sub(self.last_accrual);
        self.last_accrual = self.last_accrual.max(now);
        if !accruing || span.is_zero() {
            return;
        }
        let limit = self.limit();
        self.pool.accrue(limit, self.held_count(), span);
        for transit in &mut self.transits {
            let (gain, _) = accrued(limit, 1, span, 0);
            transit.accrued = transit.accrued.saturating_add(gain);
        }
    }

    /// Restores the invariant of the pool after the limit or the held parts changed.
    pub(crate) fn clip_to_capacity(&mut self) {
        self.pool
            .clip_to_capacity(self.limit().capacity(self.held_count()));
    }

    /// Adds a part with `micros` in it.
    pub(crate) fn add_part(&mut self, number: u16, micros: u64) {
        self.held_mask |= bit(number);
        self.pool.add(micros.min(self.limit().capacity(1)));
        self.clip_to_capacity();
    }

    /// Drops a part that another holder has, with its share of the level.
    pub(crate) fn drop_part(&mut self, number: u16) {
        self.transits.retain(|t| t.number != number);
        if self.holds(number) {
            let share = self.pool.level().div_ceil(u64::from(self.held_count()));
            self.pool.remove(share);
            self.held_mask &= !bit(number);
            self.clip_to_capacity();
        }
    }

    /// Drops all held parts and transits, but keeps the claims of parts that were given away.
    pub(crate) fn clear(&mut self) {
        self.held_mask = 0;
        self.transits.clear();
        self.pool.clear();
    }

    /// Ends the transit of a part that has arrived at its receiver, but claims the part for a
    /// while.
    pub(crate) fn finish_transit(&mut self, now: Duration, number: u16) {
        self.transits.retain(|t| t.number != number);
        self.given_parts
            .retain(|g| g.until > now && g.number != number);
        self.given_parts.push(GivenPart {
            number,
            epoch: self.latest_move(number).epoch,
            until: now + GIVEN_CLAIM_TTL,
        });
    }

    /// Takes back a part that its receiver denied.
    pub(crate) fn restore_part(&mut self, number: u16) {
        let Some(i) = self.transits.iter().position(|t| t.number == number) else {
            return;
        };
        let transit = self.transits.swap_remove(i);
        let level = transit.level_millis.saturating_mul(MICROS_PER_MILLI);
        self.add_part(number, level.saturating_add(transit.accrued));
    }

    /// Amount of refunds that is clipped if `count` parts leave with `micros` in total.
    pub(crate) fn clipped_refunds(&self, count: u32, micros: u64) -> u64 {
        let left = self.pool.level().saturating_sub(micros) + self.pool.refundable();
        left.saturating_sub(self.limit().capacity(self.held_count() - count))
    }

    /// Puts `count` parts with `micros` in total in transit.
    pub(crate) fn start_transits(
        &mut self,
        name: &Name,
        count: u32,
        micros: u64,
        receiver: Incarnation,
    ) -> Vec<PartMove> {
        let capacity = self.limit().capacity(1);
        let mut left = micros.min(self.pool.level());
        let mut moves = Vec::new();
        for _ in 0..count.min(self.held_count()) {
            let number = u16::try_from(self.held_mask.ilog2()).expect("a mask has 32 bits");
            let level_millis = left.min(capacity) / MICROS_PER_MILLI;
            left -= level_millis * MICROS_PER_MILLI;
            self.pool.remove(level_millis * MICROS_PER_MILLI);
            self.held_mask &= !bit(number);
            self.latest_moves[usize::from(number)].hops += 1;
            self.transits.push(Transit {
                number,
                receiver,
                level_millis,
                accrued: 0,
            });
            moves.push(self.part_move(name, self.transits.last().expect("pushed above")));
        }
        self.clip_to_capacity();
        moves
    }

    pub(crate) fn part_move(&self, name: &Name, transit: &Transit) -> PartMove {
        let latest = self.latest_move(transit.number);
        PartMove {
            workspace: name.clone(),
            number: transit.number,
            epoch: latest.epoch,
            hops: latest.hops,
            level_millis: transit.level_millis,
            receiver: transit.receiver,
        }
    }

    /// Numbers and epochs of the parts that are held, in transit or recently given away.
    pub(crate) fn claimed_parts(&self, now: Duration) -> Vec<(u16, u64)> {
        let given_parts = self.given_parts.iter().filter(|g| g.until > now);
        (0..PARTS)
            .filter(|&n| self.holds(n) || self.transits.iter().any(|t| t.number == n))
            .map(|n| (n, self.latest_move(n).epoch))
            .chain(given_parts.map(|g| (g.number, g.epoch)))
            .collect()
    }

    /// Whole tokens that can be spent.
    pub(crate) fn whole_tokens(&self) -> u64 {
        self.pool.level() / MICROS_PER_TOKEN
    }
}

pub(crate) fn bit(number: u16) -> u32 {
    1 << number
}
