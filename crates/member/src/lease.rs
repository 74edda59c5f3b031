//! How long a view may rely on its list.

use std::time::Duration;

use crate::peer::Lease;
use crate::view::{ORIGIN, View};

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
        let shifted = now + ORIGIN;
        let end = match self.unlisted {
            Some(since) => since + ORIGIN,
            None if shifted <= self.read + self.cfg.lease || self.reaches_all(now) => {
                return Lease::Held;
            }
            None => self.basis() + self.cfg.lease,
        };
        if shifted <= end + self.cfg.hold_down {
            Lease::InDoubt
        } else {
            Lease::Expired
        }
    }

    /// Latest time, on the scale of [`View::shift`], at which the list was known to be the
    /// freshest within the lag.
    pub(crate) fn basis(&self) -> Duration {
        self.read.max(self.met)
    }

    /// Whether the list was read from the platform at `at` or later.
    pub(crate) fn confirmed_after(&self, at: Duration) -> bool {
        self.read >= at + ORIGIN
    }

    pub(crate) fn reaches(&self, now: Duration, vm: &str) -> bool {
        self.last_heard(vm)
            .is_some_and(|at| now.saturating_sub(at) <= self.cfg.peer_timeout)
    }

    /// The rule that keeps the lease while the platform gives no list. A peer that has an older
    /// list or none shows nothing, since it may have known a newer one before it restarted. The
    /// rule never holds without peers, since a lone daemon can't tell an outage from its own
    /// isolation.
    pub(crate) fn reaches_all(&self, now: Duration) -> bool {
        let generation = self.generation();
        self.unlisted.is_none()
            && self.newest <= generation
            && !self.links.is_empty()
            && self
                .links
                .iter()
                .all(|vm| self.reaches(now, vm) && self.generation_of(vm) == generation)
    }

    /// Upper bound of an age that a peer gave.
    pub(crate) fn relayed(&self, now: Duration, age: Duration) -> Duration {
        let (until, length) = self.pause;
        let waited = if now < until { length } else { Duration::ZERO };
        age + self.cfg.peer_timeout + waited
    }

    pub(crate) fn confirm(&mut self, read: Duration) {
        self.read = self.read.max(read);
        if self.stale.is_some_and(|since| read > since + ORIGIN) {
            self.stale = None;
        }
    }
}
