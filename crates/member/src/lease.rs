//! The lease: how long a daemon may rely on its VM list.

use std::time::Duration;

use crate::peer::Lease;
use crate::view::{TIME_OFFSET, View};

impl View {
    /// State of the lease at `now`.
    #[must_use]
    pub fn lease(&self, now: Duration) -> Lease {
        if self.cfg.standalone {
            return Lease::Held;
        }
        if self.list.is_none() {
            return Lease::Expired;
        }
        let offset_now = now + TIME_OFFSET;
        let end = match self.unlisted_since {
            Some(since) => since + TIME_OFFSET,
            None if offset_now <= self.list_read_at + self.cfg.lease
                || self.reaches_all_peers(now) =>
            {
                return Lease::Held;
            }
            None => self.list_confirmed_at() + self.cfg.lease,
        };
        if offset_now <= end + self.cfg.hold_down {
            Lease::InDoubt
        } else {
            Lease::Expired
        }
    }

    /// Latest time, with [`TIME_OFFSET`] added, at which no list was known to be fresher than this
    /// one, up to the list lag.
    pub(crate) fn list_confirmed_at(&self) -> Duration {
        self.list_read_at.max(self.all_reached_at)
    }

    /// Whether the platform confirmed the list at `at` or later.
    pub(crate) fn confirmed_after(&self, at: Duration) -> bool {
        self.list_read_at >= at + TIME_OFFSET
    }

    pub(crate) fn reaches(&self, now: Duration, vm: &str) -> bool {
        self.last_heard(vm)
            .is_some_and(|at| now.saturating_sub(at) <= self.cfg.peer_timeout)
    }

    /// Whether all peers are reached and have the same list, which keeps the lease while the
    /// platform returns no list. A peer with an older list or none is no evidence, since it may
    /// have known a newer one before it restarted. Never true without peers, since a lone daemon
    /// can't distinguish an outage of the platform from its own isolation.
    pub(crate) fn reaches_all_peers(&self, now: Duration) -> bool {
        let generation = self.generation();
        self.unlisted_since.is_none()
            && self.newest_generation <= generation
            && !self.link_peers.is_empty()
            && self
                .link_peers
                .iter()
                .all(|vm| self.reaches(now, vm) && self.generation_of(vm) == generation)
    }

    /// Upper bound of the list age that a peer reported, including transit and the last pause.
    pub(crate) fn max_relayed_age(&self, now: Duration, age: Duration) -> Duration {
        let (until, length) = self.last_pause;
        let waited = if now < until { length } else { Duration::ZERO };
        age + self.cfg.peer_timeout + waited
    }

    pub(crate) fn confirm_list(&mut self, read: Duration) {
        self.list_read_at = self.list_read_at.max(read);
        if self
            .stale_since
            .is_some_and(|since| read > since + TIME_OFFSET)
        {
            self.stale_since = None;
        }
    }
}
