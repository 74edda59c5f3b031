//! Which peer to ask, and moves of idle parts toward demand.

use std::time::Duration;

use crate::model::{Incarnation, Name, PartMove};
use crate::shares::Shares;
use crate::workspace::Workspace;

/// Least time between two proposals for a workspace.
const BALANCE_INTERVAL: Duration = Duration::from_secs(1);

/// Workspaces with proposals in one call.
const MAX_WORKSPACES_PER_CALL: usize = 16;

impl Shares {
    /// Notes the tokens that a peer has.
    pub fn record_peer_tokens(&mut self, now: Duration, ws: &Name, peer: Incarnation, tokens: u64) {
        let own = self.incarnation;
        if let Some(w) = self.configured(ws).filter(|_| peer != own) {
            w.peers.record_tokens(now, peer, tokens);
        }
    }

    /// Peers to ask for tokens, best first.
    #[must_use]
    pub fn peers_by_tokens(&self, now: Duration, ws: &Name) -> Vec<Incarnation> {
        self.workspaces
            .get(ws)
            .map_or_else(Vec::new, |w| w.peers.by_tokens(now))
    }

    /// Puts idle parts in transit to the peers that asked most for them. At most one peer for
    /// each workspace and second, and never more than half of what is idle, so that parts don't
    /// swing back and forth.
    pub fn balance(&mut self, now: Duration) -> Vec<PartMove> {
        let mut moves = Vec::new();
        if !self.may_move_parts(now) {
            return moves;
        }
        let mut moved_workspaces = 0;
        let mut asked_workspaces = std::mem::take(&mut self.asked_workspaces);
        asked_workspaces.retain(|ws| {
            let Some(w) = self.configured(ws) else {
                return false;
            };
            let Some((peer, rate)) = w.peers.highest_demand(now) else {
                w.has_recent_asks = false;
                return false;
            };
            if moved_workspaces < MAX_WORKSPACES_PER_CALL
                && now.saturating_sub(w.last_balance) >= BALANCE_INTERVAL
            {
                w.advance(now, true);
                let sent = send_idle(w, now, ws, peer, rate);
                moved_workspaces += usize::from(!sent.is_empty());
                moves.extend(sent);
            }
            true
        });
        self.asked_workspaces = asked_workspaces;
        moves
    }
}

fn send_idle(
    w: &mut Workspace,
    now: Duration,
    ws: &Name,
    peer: Incarnation,
    peer_rate: u64,
) -> Vec<PartMove> {
    let rate = w.limit().per_second(1).max(1);
    let parts = |demand: u64| u32::try_from(demand.div_ceil(rate)).unwrap_or(u32::MAX);
    let own = w.demand.per_second(now);
    // One part more than needed stays, except at a holder without demand.
    let needed = parts(own).saturating_add(u32::from(own > 0));
    let idle = w.held_count().saturating_sub(needed);
    let count = idle.div_ceil(2).min(parts(peer_rate));
    if count == 0 || w.pool.debt() > 0 {
        return Vec::new();
    }
    let level = w.pool.level();
    let share = level / u64::from(w.held_count()) * u64::from(count);
    let surplus = level.saturating_sub(w.limit().capacity(w.held_count() - count));
    let micros = share.max(surplus);
    if w.clipped_refunds(count, micros) > 0 {
        return Vec::new();
    }
    w.last_balance = now;
    w.start_transits(ws, count, micros, peer)
}
