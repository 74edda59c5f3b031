//! Moves of parts between holders.
//!
//! Each attempt to move a part has its own (epoch, hops), and a later attempt of an epoch exists
//! only after the earlier one was answered or its receiver moved the part on. A receiver therefore
//! gives every copy of a message the same answer, whatever happened in between.

use std::cmp::Ordering;
use std::time::Duration;

use crate::model::{
    Claim, Incarnation, MICROS_PER_MILLI, MICROS_PER_TOKEN, MoveId, Name, PARTS, PartMove,
};
use crate::shares::Shares;
use crate::workspace::{LatestMove, Workspace, bit};

/// A giver keeps the tokens that it needs for this time. With 500, a fleet of 8 VMs at 0.97 of a
/// workspace's rate refused 65 of 1,080 requests in a trial; with 100, none.
const OWN_DEMAND_MILLIS: u64 = 100;

/// A giver with less than this fraction of the tokens asked for gives nothing: the part would
/// move in vain.
const MIN_GIVE_DIVISOR: u64 = 16;

/// Parts don't move if that clips more refunds than this fraction of the tokens that move: the
/// workspace would lose tokens that it has a right to. Without this rule, a workspace that reserves
/// five times what it uses had 811 of 1,080 requests inside its rate refused in a trial; with it, 10.
const MAX_CLIP_DIVISOR: u64 = 4;

impl Shares {
    /// Answers a peer that is `tokens` short with whole parts, which are in transit until the
    /// answer of `receiver` arrives. The result is empty if this daemon needs its tokens itself.
    pub fn give(
        &mut self,
        now: Duration,
        ws: &Name,
        tokens: u64,
        receiver: Incarnation,
    ) -> Vec<PartMove> {
        if !self.may_move_parts(now) || !self.peers.contains(&receiver) {
            return Vec::new();
        }
        let Some(w) = self.configured(ws) else {
            return Vec::new();
        };
        w.advance(now, true);
        w.peers.record_ask(now, receiver, tokens);
        let first_ask = !std::mem::replace(&mut w.has_recent_asks, true);
        let moves = match parts_to_give(w, now, tokens) {
            Some((count, micros)) => w.start_transits(ws, count, micros, receiver),
            None => Vec::new(),
        };
        if first_ask {
            self.asked_workspaces.push(ws.clone());
        }
        moves
    }

    /// Gives all parts of a workspace, for a daemon that leaves; refunds of its open reservations
    /// are lost. Nothing is given while the workspace has debt, since a part can't carry it.
    pub fn give_all(&mut self, now: Duration, ws: &Name, receiver: Incarnation) -> Vec<PartMove> {
        if !self.may_move_parts(now) || !self.peers.contains(&receiver) {
            return Vec::new();
        }
        let Some(w) = self.configured(ws) else {
            return Vec::new();
        };
        w.advance(now, true);
        if w.pool.debt() > 0 {
            return Vec::new();
        }
        w.start_transits(ws, w.held_count(), w.pool.level(), receiver)
    }

    /// Takes a part from the peer `from`. The result is the `taken` of the answer; the giver keeps nothing
    /// if it is true. Copies of a message get the answer of the first one, and attempts older than
    /// one seen count as taken, since their giver must not take the part back.
    pub fn accept(&mut self, now: Duration, from: Incarnation, part: &PartMove) -> bool {
        if part.receiver != self.incarnation || part.number >= PARTS {
            return false;
        }
        // A part of an incarnation that left may have been started anew.
        let may_move_parts = self.may_move_parts(now) && self.peers.contains(&from);
        let accruing = self.accrues(now);
        let w = self.workspace_or_removed(now, &part.workspace);
        let latest = w.latest_move(part.number);
        match (part.epoch, part.hops).cmp(&(latest.epoch, latest.hops)) {
            Ordering::Less => return true,
            Ordering::Equal => return latest.taken,
            Ordering::Greater => {}
        }
        w.advance(now, accruing);
        if part.epoch == latest.epoch && w.transits.iter().any(|t| t.number == part.number) {
            // The part comes back before the answer to its departure.
            w.finish_transit(now, part.number);
        }
        w.drop_part(part.number);
        let taken = may_move_parts && w.removed_at.is_none();
        let latest = LatestMove {
            epoch: part.epoch,
            hops: part.hops,
            taken,
        };
        w.set_latest_move(part.number, latest);
        if taken {
            w.add_part(
                part.number,
                part.level_millis.saturating_mul(MICROS_PER_MILLI),
            );
        }
        taken
    }

    /// The receiver `from` took the part. Returns whether the part was in transit to it.
    pub fn move_accepted(&mut self, now: Duration, from: Incarnation, id: &MoveId) -> bool {
        let Some(w) = self.workspace_with_transit(now, from, id) else {
            return false;
        };
        w.finish_transit(now, id.number);
        true
    }

    /// The receiver `from` denied the part, which is held again with the level it had and what it
    /// would have accrued. Returns whether the part was in transit to it.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use limit::{Limit, Name, Shares, Timing};
    /// # let s = Duration::from_secs;
    /// # let mut shares = Shares::new(1, Timing { propagation: s(5), hold_down: s(20) });
    /// # let ws = Name::from("salon-7");
    /// # shares.configure(s(0), [(ws.clone(), Limit { rate: 320, burst: 3_200 })]);
    /// shares.start_part(s(0), &ws, 7, 1);
    /// shares.set_peers([2]);
    /// let part = shares.give(s(4), &ws, 40, 2).remove(0);
    /// assert_eq!((part.number, part.level_millis), (7, 40_000));
    /// assert_eq!(shares.claim(s(5), &ws).tokens, 0);
    ///
    /// assert!(!shares.move_denied(s(6), 3, &part.id()), "3 is not the receiver");
    /// assert!(shares.move_denied(s(6), 2, &part.id()));
    /// assert_eq!(shares.claim(s(6), &ws).tokens, 60);
    /// ```
    pub fn move_denied(&mut self, now: Duration, from: Incarnation, id: &MoveId) -> bool {
        let Some(w) = self.workspace_with_transit(now, from, id) else {
            return false;
        };
        w.restore_part(id.number);
        true
    }

    /// Parts in transit, to be sent again when the link to their receiver was replaced. None
    /// without a lease.
    pub fn in_transit(&self, now: Duration) -> impl Iterator<Item = PartMove> {
        let may_move_parts = self.may_move_parts(now);
        self.workspaces
            .iter()
            .filter(move |_| may_move_parts)
            .flat_map(|(name, w)| w.transits.iter().map(|t| w.part_move(name, t)))
    }

    /// Sets the incarnations that are listed, as far as known; parts move only between them. Gives
    /// up what is in transit to any other: that one may have moved the parts on, so they never come
    /// back, and their successors start them if nobody claims them. [`crate::Reclaim::set_listed`]
    /// calls this.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = Incarnation>) {
        self.peers = peers.into_iter().collect();
        self.peers.remove(&self.incarnation);
        for w in self.workspaces.values_mut() {
            w.transits.retain(|t| self.peers.contains(&t.receiver));
            w.peers.retain(&self.peers);
        }
    }

    /// Parts of one workspace that this daemon claims.
    pub fn claim(&mut self, now: Duration, ws: &Name) -> Claim {
        let accruing = self.accrues(now);
        let mut claim = Claim {
            workspace: ws.clone(),
            parts: Vec::new(),
            tokens: 0,
        };
        if let Some(w) = self.configured(ws) {
            w.advance(now, accruing);
            claim.parts = w.claimed_parts(now);
            claim.tokens = w.whole_tokens();
        }
        claim
    }

    /// Parts of all workspaces that this daemon claims. Workspaces without any are left out.
    pub fn claims(&mut self, now: Duration) -> Vec<Claim> {
        let names: Vec<_> = self.workspaces.keys().cloned().collect();
        names
            .iter()
            .map(|ws| self.claim(now, ws))
            .filter(|claim| !claim.parts.is_empty())
            .collect()
    }

    /// Notes what a peer claims, asked for or not. Parts that it has or starts in a higher epoch
    /// are dropped here, and no longer taken in a lower one.
    pub fn record_claim(&mut self, now: Duration, peer: Incarnation, claim: &Claim) {
        self.record_peer_tokens(now, &claim.workspace, peer, claim.tokens);
        let accruing = self.accrues(now);
        let w = self.workspace_or_removed(now, &claim.workspace);
        for &(number, epoch) in &claim.parts {
            if number < PARTS && epoch > w.latest_move(number).epoch {
                w.advance(now, accruing);
                w.drop_part(number);
                let latest = LatestMove {
                    epoch,
                    hops: 0,
                    taken: true,
                };
                w.set_latest_move(number, latest);
            }
        }
    }

    /// Mask of the claimed parts.
    pub(crate) fn claimed_mask(&mut self, now: Duration, ws: &Name) -> u32 {
        let parts = self.claim(now, ws).parts;
        parts.iter().fold(0, |mask, &(n, _)| mask | bit(n))
    }

    /// Highest epoch seen of a part.
    pub(crate) fn epoch(&self, ws: &Name, number: u16) -> u64 {
        self.workspaces
            .get(ws)
            .map_or(0, |w| w.latest_move(number).epoch)
    }

    fn workspace_with_transit(
        &mut self,
        now: Duration,
        from: Incarnation,
        id: &MoveId,
    ) -> Option<&mut Workspace> {
        let accruing = self.accrues(now);
        let w = self
            .configured(&id.workspace)
            .filter(|_| id.number < PARTS)?;
        let latest = w.latest_move(id.number);
        let known = (latest.epoch, latest.hops) == (id.epoch, id.hops)
            && w.transits
                .iter()
                .any(|t| t.number == id.number && t.receiver == from);
        if !known {
            return None;
        }
        w.advance(now, accruing);
        Some(w)
    }
}

/// Count of parts and millionths of a token to give to a peer that is `tokens` short.
fn parts_to_give(w: &mut Workspace, now: Duration, tokens: u64) -> Option<(u32, u64)> {
    let held = w.held_count();
    if held == 0 || w.pool.debt() > 0 {
        return None;
    }
    let demand = w.demand.per_second(now);
    let wanted = tokens.saturating_mul(MICROS_PER_TOKEN);
    let level = w.pool.level();
    let available = level.saturating_sub(demand.saturating_mul(OWN_DEMAND_MILLIS) / 1_000);
    let micros = available.min(wanted);
    if micros == 0 || micros < wanted / MIN_GIVE_DIVISOR {
        return None;
    }
    // Parts for half of the own demand stay, but not the last one: a part without tokens is of no
    // use now, and one with tokens is needed elsewhere.
    let needed = demand / w.limit().per_second(1).max(1) / 2;
    let needed = u32::try_from(needed).map_or(held - 1, |n| n.min(held - 1));
    let count = micros.div_ceil(w.limit().capacity(1).max(1));
    let count = u32::try_from(count)
        .map_or(held, |n| n.min(held))
        .min(held - needed);
    (1..=count).rev().find_map(|count| {
        let full = w.limit().capacity(count);
        // What the remaining parts can't hold goes along.
        let surplus = level.saturating_sub(w.limit().capacity(held - count));
        // Parts that leave full clip no refunds.
        let mut micros = available.min(full).max(surplus);
        if w.clipped_refunds(count, micros) > 0 {
            micros = level.min(full);
        }
        (w.clipped_refunds(count, micros) <= micros / MAX_CLIP_DIVISOR).then_some((count, micros))
    })
}
