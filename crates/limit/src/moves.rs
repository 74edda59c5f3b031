//! Moves of parts between holders.
//!
//! Each attempt to move a part has its own (epoch, hops). A later attempt of an epoch starts only
//! after the earlier one was answered or its receiver has moved the part on. A receiver therefore
//! gives the same answer to every copy of a message, whatever happened in between.

use std::cmp::Ordering;
use std::time::Duration;

use crate::model::{
    Claim, Incarnation, MICROS_PER_MILLI, MICROS_PER_TOKEN, MoveId, Name, PARTS, PartMove,
};
use crate::shares::Shares;
use crate::workspace::{LatestMove, Workspace, bit};

/// A giver keeps the tokens for its own demand over this time. In a trial with 8 VMs at 0.97 of a
/// workspace's rate, 500 caused 65 of 1,080 requests to be refused; 100 caused none.
const OWN_DEMAND_MILLIS: u64 = 100;

/// A giver that could give less than the requested tokens divided by this gives nothing, because
/// the move would be of little use.
const MIN_GIVE_DIVISOR: u64 = 16;

/// Parts don't move if that would clip more refunds than the moved tokens divided by this, because
/// the workspace would lose tokens of its limit. In a trial with a workspace that reserves five
/// times what it uses, 811 of 1,080 requests within its rate were refused without this rule; with
/// it, 10.
const MAX_CLIP_DIVISOR: u64 = 4;

impl Shares {
    /// Gives whole parts to a peer that lacks `tokens` tokens. The parts are in transit until the
    /// answer of `receiver` arrives. The result is empty if this daemon has none to spare.
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

    /// Gives away all parts of a workspace when this daemon leaves; refunds of its open
    /// reservations are lost. Gives nothing while the workspace has debt, since a part can't carry
    /// debt.
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

    /// Accepts or denies a part from the peer `from`. Returns the `taken` field of the answer; if
    /// it is true, the giver no longer has the part. Copies of a message get the same answer as
    /// the first one. Attempts older than the latest known one count as taken, since their giver
    /// must not take the part back.
    pub fn accept(&mut self, now: Duration, from: Incarnation, part: &PartMove) -> bool {
        if part.receiver != self.incarnation || part.number >= PARTS {
            return false;
        }
        // A part of an incarnation that left the list may have been started again.
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
            // The part came back before the answer to its earlier move arrived.
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

    /// Ends the transit of a part that the receiver `from` has accepted. Returns whether the part
    /// was in transit to it.
    pub fn move_accepted(&mut self, now: Duration, from: Incarnation, id: &MoveId) -> bool {
        let Some(w) = self.workspace_with_transit(now, from, id) else {
            return false;
        };
        w.finish_transit(now, id.number);
        true
    }

    /// Takes back a part that the receiver `from` denied, with the level that it had plus the
    /// accrual since then. Returns whether the part was in transit to it.
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

    /// Moves in transit, to be sent again after the link to their receiver was replaced. Empty
    /// unless the lease is held and spending is not suspended.
    pub fn in_transit(&self, now: Duration) -> impl Iterator<Item = PartMove> {
        let may_move_parts = self.may_move_parts(now);
        self.workspaces
            .iter()
            .filter(move |_| may_move_parts)
            .flat_map(|(name, w)| w.transits.iter().map(|t| w.part_move(name, t)))
    }

    /// Sets the known incarnations of the listed VMs; parts move only between them. Drops parts in
    /// transit to any other incarnation: it may have moved them on, so they can't be taken back,
    /// and their successors start them if nobody claims them. Called by
    /// [`crate::Reclaim::set_listed`].
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

    /// Parts of all workspaces that this daemon claims. Workspaces without any are omitted.
    pub fn claims(&mut self, now: Duration) -> Vec<Claim> {
        let names: Vec<_> = self.workspaces.keys().cloned().collect();
        names
            .iter()
            .map(|ws| self.claim(now, ws))
            .filter(|claim| !claim.parts.is_empty())
            .collect()
    }

    /// Records a claim of a peer, whether queried or not. Parts that the peer holds or starts in a
    /// higher epoch are dropped here, and moves of a lower epoch are no longer accepted.
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

    /// Bit mask of the claimed parts.
    pub(crate) fn claimed_mask(&mut self, now: Duration, ws: &Name) -> u32 {
        let parts = self.claim(now, ws).parts;
        parts.iter().fold(0, |mask, &(n, _)| mask | bit(n))
    }

    /// Highest known epoch of a part.
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

/// Number of parts, and millionths of a token in them, to give to a peer that lacks `tokens`
/// tokens.
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
    // Parts for half of the own demand stay here, except that one part may always leave: without
    // tokens it is of no use here now, and with tokens it is needed elsewhere.
    let needed = demand / w.limit().per_second(1).max(1) / 2;
    let needed = u32::try_from(needed).map_or(held - 1, |n| n.min(held - 1));
    let count = micros.div_ceil(w.limit().capacity(1).max(1));
    let count = u32::try_from(count)
        .map_or(held, |n| n.min(held))
        .min(held - needed);
    (1..=count).rev().find_map(|count| {
        let full = w.limit().capacity(count);
        // Tokens that don't fit into the remaining parts move too.
        let surplus = level.saturating_sub(w.limit().capacity(held - count));
        // The more tokens the parts take along, the fewer refunds are clipped; full parts clip
        // none.
        let mut micros = available.min(full).max(surplus);
        if w.clipped_refunds(count, micros) > 0 {
            micros = level.min(full);
        }
        (w.clipped_refunds(count, micros) <= micros / MAX_CLIP_DIVISOR).then_some((count, micros))
    })
}
