//! Choice of peers to ask, and moves of idle parts to peers with demand.

use std::time::Duration;

use crate::model::{Incarnation, Name, PartMove};
use crate::shares::Shares;
use crate::workspace::Workspace;

/// Minimum time between two balancing moves of a workspace.
const BALANCE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of workspaces whose parts move in one call.
const MAX_WORKSPACES_PER_CALL: usize = 16;

impl Shares {
    /// Records the number of tokens that a peer has.
    pub fn record_peer_tokens(&mut self, now: Duration, ws: &Name, peer: Incarnation, tokens: u64) {
        let own = self.incarnation;
        if let Some(w) = self.configured(ws).filter(|_| peer != own) {
            w.peers.record_tokens(now, peer, tokens);
        }
    }

    /// Peers to ask for tokens, those with the most tokens first.
    #[must_use]
    pub fn peers_by_tokens(&self, now: Duration, ws: &Name) -> Vec<Incarnation> {
        self.workspaces
            .get(ws)
            .map_or_else(Vec::new, |w| w.peers.by_tokens(now))
    }

    /// Puts idle parts in transit to the peers with the highest demand for them. To avoid
    /// oscillation, moves parts of a workspace to only one peer per second, and only half of the
    /// idle ones, rounded up.
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
    // A holder with demand keeps one part more than it needs.
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
