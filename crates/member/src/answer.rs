//! Answers to questions for a hand-over.

use std::time::Duration;

use crate::list::{Incarnation, Name};
use crate::target::{Cx, Gift, Target};
use crate::view::View;

/// Answer to a question for a hand-over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverResponse {
    /// This daemon has to stop granting to the target now and to send the target's state:
    /// [`Ownership::on_handover`](crate::Ownership::on_handover) with `given` at the asker.
    HandedOver,
    /// This daemon has to stop granting to the target now, but a third one may take it: no reply.
    Stopped,
    /// This daemon owns the target by a fresher list: `on_handover` without `given`.
    StillOwner,
    /// This process never owned the target and knows no earlier owner: `on_never_owned`.
    NeverOwned,
    /// This process doesn't hold the target: `on_not_held`.
    NotHeld,
    /// For longer than a hold-down no list gave the target to another VM than the asker's:
    /// `on_only_asker_owned`.
    OnlyAskerOwned,
    /// Nothing that may shorten the asker's wait: no reply.
    Wait,
}

impl Target {
    /// Decides about a question of a VM whose list is as fresh as this daemon's, fresher, or
    /// agrees with it. Any answer promises not to take the target by a list up to `generation`.
    pub(crate) fn answer(
        &mut self,
        cx: &Cx<'_>,
        (from, incarnation): (&Name, Incarnation),
        generation: u64,
    ) -> HandoverResponse {
        let hold_down = cx.view.config().hold_down;
        let recent = |at: Duration| cx.now < at + hold_down;
        let other = self
            .asked_by
            .replace((from.clone(), cx.now))
            .is_some_and(|(vm, at)| vm != *from && recent(at));
        self.bar = self.bar.max(generation);
        self.claims.add(from.clone(), cx.now + hold_down);
        if self.is_mine() {
            let sure = self.is_sure(cx, from, generation);
            self.stop();
            self.given = Some(Gift {
                to: from.clone(),
                incarnation,
                generation,
                at: cx.now,
                sure,
            });
            return if sure {
                HandoverResponse::HandedOver
            } else {
                HandoverResponse::Stopped
            };
        }
        if self.generation <= self.bar {
            self.stop();
        }
        if let Some(gift) = self.given.as_ref().filter(|gift| recent(gift.at)) {
            // The reply may have been lost. Another process of that VM may not hold it.
            let again = gift.sure
                && gift.to == *from
                && gift.incarnation == incarnation
                && gift.generation == generation;
            return if again {
                HandoverResponse::HandedOver
            } else {
                HandoverResponse::Wait
            };
        }
        let current = self.generation >= generation;
        let same_owner = current && self.owner.as_ref() == Some(from);
        if same_owner && self.claims.none_but(from, cx.now) {
            return HandoverResponse::OnlyAskerOwned;
        }
        if self.held || !recent(self.created) {
            return HandoverResponse::NotHeld;
        }
        let last = cx.view.incarnation_of(from).unwrap_or(incarnation);
        let restarted = last != incarnation || cx.view.restarted(from);
        if current && !other && !restarted && !cx.view.departures(cx.now) {
            HandoverResponse::NeverOwned
        } else {
            HandoverResponse::Wait
        }
    }

    /// Whether no third daemon can take the target without a hand-over after it is given to
    /// `from`.
    ///
    /// A third one would own it by a list between this daemon's and the asker's. That list is no
    /// older than `safe_until - hold_down`, so the third one starts no earlier than `safe_until`;
    /// it stops before lag plus lease from now, since the asker has read the newer list already.
    /// Without such a list no third one exists.
    fn is_sure(&self, cx: &Cx<'_>, from: &Name, generation: u64) -> bool {
        let cfg = cx.view.config();
        let now = View::shift(cx.now);
        let until = self.safe_until(cx);
        let direct = self.keep_until.is_some()
            && self.successor.as_ref() == Some(from)
            && self.generation >= generation;
        now < until && (direct || now + cfg.max_list_lag + cfg.lease < until)
    }
}
