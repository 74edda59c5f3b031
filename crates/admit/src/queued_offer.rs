//! An offer that waits for a place.

use std::time::Duration;

use crate::offer::Offer;
use crate::placement::{Bounds, Estimate};

pub(crate) struct QueuedOffer {
    pub(crate) offer: Offer,
    /// End of its wait in the queue.
    pub(crate) deadline: Duration,
    /// Time at which its first event is late. In the past, it only has to end in time.
    pub(crate) due: Duration,
    /// Time at which it must be over.
    pub(crate) end_by: Duration,
    /// The least that any target was expected to need for it when it arrived.
    pub(crate) best: Option<Estimate>,
    /// Units charged to the workspace's token bucket.
    pub(crate) charged: f64,
    /// Whether a target with capacity was passed over because it had reached the limit that it names.
    pub(crate) has_met_limit: bool,
}

impl QueuedOffer {
    /// Key of its place in the queue: the higher tier first, then those that can still be in time,
    /// then those whose wait ends first.
    pub(crate) fn order(&self) -> (u8, bool, Duration) {
        (self.offer.tier, self.is_late(), self.deadline)
    }

    /// Whether no target can respond in time.
    fn is_late(&self) -> bool {
        let aim = self.offer.aim_left.as_secs_f64();
        aim <= 0.0 || self.best.is_some_and(|best| best.first > aim)
    }

    /// What it bears from now on.
    pub(crate) fn bounds(&self, now: Duration) -> Bounds {
        let total = self.end_by.saturating_sub(now).as_secs_f64();
        let first = if self.is_late() {
            total
        } else {
            self.due.saturating_sub(now).as_secs_f64()
        };
        let pause = self.offer.max_pause;
        let bounds = Bounds {
            first,
            total,
            pause: pause.map_or(f64::INFINITY, |pause| pause.as_secs_f64()),
        };
        match &self.best {
            Some(best) => bounds.widened_to(best),
            None => bounds,
        }
    }
}
