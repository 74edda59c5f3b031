//! How long a view may rely on its list.

use std::time::Duration;

use crate::peer::Lease;
use crate::view::{TIME_OFFSET, View};

impl View {
    /// Whether this daemon may rely on its list.
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

    /// Latest time, on the scale of [`View::shift`], at which the list was known to be the
    /// freshest within the lag.
    pub(crate) fn list_confirmed_at(&self) -> Duration {
        self.list_read_at.max(self.all_reached_at)
    }

    /// Whether the list was read from the platform at `at` or later.
    pub(crate) fn confirmed_after(&self, at: Duration) -> bool {
        self.list_read_at >= at + TIME_OFFSET
    }

    pub(crate) fn reaches(&self, now: Duration, vm: &str) -> bool {
        self.last_heard(vm)
            .is_some_and(|at| now.saturating_sub(at) <= self.cfg.peer_timeout)
    }

    /// The rule that keeps the lease while the platform gives no list. A peer that has an older
    /// list or none shows nothing, since it may have known a newer one before it restarted. The
    /// rule never holds without peers, since a lone daemon can't tell an outage from its own
    /// isolation.
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

    /// Upper bound of an age that a peer gave.
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
