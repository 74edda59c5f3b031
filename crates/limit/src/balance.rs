//! Which peer to ask, and moves of idle parts toward demand.

use std::time::Duration;

use crate::model::{Incarnation, Name, PartMove};
use crate::shares::Shares;
use crate::workspace::Workspace;

/// Least time between two proposals for a workspace.
const INTERVAL: Duration = Duration::from_secs(1);

/// Workspaces with proposals in one call.
const MAX_WORKSPACES: usize = 16;

impl Shares {
    /// Notes the tokens that a peer has.
    pub fn record_peer_tokens(&mut self, now: Duration, ws: &Name, peer: Incarnation, tokens: u64) {
        let own = self.incarnation;
        if let Some(w) = self.live(ws).filter(|_| peer != own) {
            w.peers.note(now, peer, tokens);
        }
    }

    /// Peers to ask for tokens, best first.
    #[must_use]
    pub fn peers_by_tokens(&self, now: Duration, ws: &Name) -> Vec<Incarnation> {
        self.workspaces
            .get(ws)
            .map_or_else(Vec::new, |w| w.peers.richest(now))
    }

    /// Puts idle parts in transit to the peers that asked most for them. At most one peer for
    /// each workspace and second, and never more than half of what is idle, so that parts don't
    /// swing back and forth.
    pub fn balance(&mut self, now: Duration) -> Vec<PartMove> {
        let mut moves = Vec::new();
        if !self.movable(now) {
            return moves;
        }
        let mut busy = 0;
        let mut asked = std::mem::take(&mut self.asked);
        asked.retain(|ws| {
            let Some(w) = self.live(ws) else {
                return false;
            };
            let Some((peer, rate)) = w.peers.neediest(now) else {
                w.asked = false;
                return false;
            };
            if busy < MAX_WORKSPACES && now.saturating_sub(w.balanced) >= INTERVAL {
                w.advance(now, true);
                let sent = send_idle(w, now, ws, peer, rate);
                busy += usize::from(!sent.is_empty());
                moves.extend(sent);
            }
            true
        });
        self.asked = asked;
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
    let idle = w.held().saturating_sub(needed);
    let count = idle.div_ceil(2).min(parts(peer_rate));
    if count == 0 || w.pool.debt() > 0 {
        return Vec::new();
    }
    let level = w.pool.level();
    let share = level / u64::from(w.held()) * u64::from(count);
    let surplus = level.saturating_sub(w.limit().capacity(w.held() - count));
    let micros = share.max(surplus);
    if w.loss(count, micros) > 0 {
        return Vec::new();
    }
    w.balanced = now;
    w.send(ws, count, micros, peer)
}
