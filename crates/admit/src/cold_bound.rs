//! Sends to targets that are cold, or that may have turned cold without notice.
//!
//! Answers this load: a target turns cold at any moment, and its report reaches the members up to a
//! second later. Within that second its first owner may change or all members may restart, the
//! backlog of all callers arrives at once, and entries that don't reach the first owner ask others.
//! All of them together must not send the target more than a cold one bears.
//!
//! A first owner sends at a rate, and saves up a small burst while it sends less. An owner that has
//! just become first has saved nothing, so owners that follow each other send no more in a window than
//! one alone would. For a while it sends at a lower rate as well: the former owner may not know yet that
//! it is no longer the first one.

use std::time::Duration;

use crate::model::{FleetView, LimitShare};
use crate::owner::Owner;
use crate::target::COLD_WINDOW;

/// Shares of the bound at which a first owner sends in a second, and that it may send at once. They
/// limit what it uses in a part of a second; in a whole one `WARM_SHARE` is the limit.
const RATE_SHARE: f64 = 0.9;
const BURST_SHARE: f64 = 0.15;
/// The first of these for an owner that has been first for less than a window. The former owner may
/// not have heard of it yet.
const NEW_RATE_SHARE: f64 = 0.3;
/// Share of a cold target's bound that its first owner uses, and that any other owner uses. Both
/// may decide for up to a second when the first owner changes, and requests may arrive closer
/// together than they were sent.
const COLD_SHARE: f64 = 0.5;
const COLD_SHARE_OTHER: f64 = 0.15;
/// The same for a target that is not known to be cold. It may turn cold at any moment, and the
/// store reports that only later.
const WARM_SHARE: f64 = 0.75;
const WARM_SHARE_OTHER: f64 = 0.2;
/// The same for a member that has just replaced another first owner. The other one may have used
/// its whole share within the same second, and may have known of a cold start.
const WARM_SHARE_NEW: f64 = 0.2;
/// Minimum limit share by which the warm share of a first owner is scaled. A target that turns cold
/// unnoticed during a partition is rarer than a partition under load. A process that has met nobody has
/// no minimum: there may be many of them.
const WARM_MIN_SHARE: f64 = 0.7;
/// The same for other owners. It is a multiple of the share of one member, so that the members of a
/// large fleet that all decide for themselves stay within the bound together.
const WARM_MIN_MEMBER_SHARES: f64 = 2.0;
const WARM_MAX_MIN_SHARE: f64 = 0.25;
/// A member uses the full share of a cold target's first owner after it has been first for this long.
const NEW_OWNER_TIME: Duration = Duration::from_secs(2);

/// Sends per second that a target may get, by whether it is cold.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateCaps {
    pub(crate) cold: f64,
    /// For a target that may be cold although the store doesn't report it.
    pub(crate) maybe_cold: f64,
    pub(crate) warm: f64,
    /// `None` for an owner that is not the first one.
    pub(crate) pace: Option<SendPace>,
}

/// Rate and burst at which a first owner sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SendPace {
    pub(crate) per_s: f64,
    pub(crate) burst: f64,
    /// Time since which the owner has been the first one.
    pub(crate) since: Duration,
}

impl SendPace {
    /// Pace of an owner, given what a cold target bears in a window of a second.
    fn new(now: Duration, bound: f64, since: Duration) -> Self {
        let rate_share = if now.saturating_sub(since) < COLD_WINDOW {
            NEW_RATE_SHARE
        } else {
            RATE_SHARE
        };
        SendPace {
            per_s: bound * rate_share,
            burst: (bound * BURST_SHARE).max(1.0),
            since,
        }
    }
}

impl Owner {
    /// Sends per second that this owner may grant to a target of the shard.
    pub(crate) fn caps(&self, now: Duration, pool: &str, shard: u32) -> Option<RateCaps> {
        let per_s = *self.cold_limits.get(pool)?;
        let bound = per_s * self.settings.cold_overage + self.settings.cold_slack;
        let limit_share = self.limit_share_of(shard)?;
        let first_since = self.first_since(shard);
        let is_settled = |since| now.saturating_sub(since) >= NEW_OWNER_TIME;
        let cold = if first_since.is_some_and(is_settled) {
            COLD_SHARE
        } else {
            COLD_SHARE_OTHER
        };
        let maybe_cold = bound * cold * limit_share.cold_share;
        let pace = first_since.map(|since| SendPace::new(now, bound, since));
        if limit_share.view == FleetView::Joining {
            return Some(RateCaps {
                cold: 0.0,
                maybe_cold: 0.0,
                warm: 0.0,
                pace,
            });
        }
        // A process that started recently doesn't know what was sent before.
        let is_new = now.saturating_sub(self.started_at) < COLD_WINDOW;
        Some(RateCaps {
            cold: if is_new { 0.0 } else { maybe_cold },
            maybe_cold,
            warm: bound * self.warm_share(now, &limit_share, first_since),
            pace,
        })
    }

    /// Share of the bound for a target that is not known to be cold.
    fn warm_share(
        &self,
        now: Duration,
        limit_share: &LimitShare,
        first_since: Option<Duration>,
    ) -> f64 {
        let min_share = |min: f64| match limit_share.view {
            FleetView::Settled => min,
            FleetView::Alone | FleetView::Joining => 0.0,
        };
        // After a restart of all members, the backlog of all callers arrives at once.
        let followed_another = |since: Duration| {
            now.saturating_sub(since) < COLD_WINDOW
                && since.saturating_sub(self.started_at) >= COLD_WINDOW
        };
        match first_since {
            Some(since) if followed_another(since) => WARM_SHARE_NEW,
            Some(_) => WARM_SHARE * limit_share.share.max(min_share(WARM_MIN_SHARE)),
            None => {
                let min = WARM_MIN_MEMBER_SHARES * limit_share.member_share;
                let min = min_share(min.min(WARM_MAX_MIN_SHARE));
                WARM_SHARE_OTHER * limit_share.share.max(min)
            }
        }
    }
}
