//! Responses to handover requests.

use std::time::Duration;

use crate::list::{Incarnation, Name};
use crate::target::{Context, HandoverRecord, Target};
use crate::view::View;

/// Response to a handover request. A message is sent for all but `Stopped` and `Wait`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverResponse {
    /// This daemon has to stop granting permits for the target now and to send its state:
    /// [`Ownership::on_handover`](crate::Ownership::on_handover) with `given` set, at the asker.
    HandedOver,
    /// This daemon has to stop granting permits for the target now, but sends no reply, since a
    /// third daemon may take the target without a handover.
    Stopped,
    /// This daemon owns the target according to a fresher list: `on_handover` without `given`.
    StillOwner,
    /// This process never owned the target and knows no earlier owner: `on_never_owned`.
    NeverOwned,
    /// This process doesn't hold the target: `on_not_held`.
    NotHeld,
    /// In no list of the last hold-down did a VM other than the asker's own the target:
    /// `on_only_asker_owned`.
    OnlyAskerOwned,
    /// This process knows nothing that may shorten the asker's wait: no reply.
    Wait,
}

impl Target {
    /// Responds to a VM whose list is at least as fresh as this daemon's, or agrees with it on the
    /// owner. With any response this daemon promises not to take the target by a list of a
    /// generation up to `generation`.
    pub(crate) fn respond(
        &mut self,
        cx: &Context<'_>,
        (from, incarnation): (&Name, Incarnation),
        generation: u64,
    ) -> HandoverResponse {
        let hold_down = cx.view.config().hold_down;
        let recent = |at: Duration| cx.now < at + hold_down;
        let asked_by_another = self
            .last_asker
            .replace((from.clone(), cx.now))
            .is_some_and(|(vm, at)| vm != *from && recent(at));
        self.promised_generation = self.promised_generation.max(generation);
        self.possible_holders.add(from.clone(), cx.now + hold_down);
        if self.is_owned() {
            let exclusive = self.is_exclusive(cx, from, generation);
            self.stop();
            self.last_handover = Some(HandoverRecord {
                to: from.clone(),
                incarnation,
                generation,
                at: cx.now,
                exclusive,
            });
            return if exclusive {
                HandoverResponse::HandedOver
            } else {
                HandoverResponse::Stopped
            };
        }
        if self.generation <= self.promised_generation {
            self.stop();
        }
        if let Some(handover) = self
            .last_handover
            .as_ref()
            .filter(|handover| recent(handover.at))
        {
            // The reply may have been lost, so the same process gets it again. Another process of
            // that VM has not received the state.
            let same_request = handover.exclusive
                && handover.to == *from
                && handover.incarnation == incarnation
                && handover.generation == generation;
            return if same_request {
                HandoverResponse::HandedOver
            } else {
                HandoverResponse::Wait
            };
        }
        let list_is_current = self.generation >= generation;
        let asker_is_owner = list_is_current && self.owner.as_ref() == Some(from);
        if asker_is_owner && self.possible_holders.none_except(from, cx.now) {
            return HandoverResponse::OnlyAskerOwned;
        }
        if self.has_owned || !recent(self.created_at) {
            return HandoverResponse::NotHeld;
        }
        let known_incarnation = cx.view.incarnation_of(from).unwrap_or(incarnation);
        let restarted = known_incarnation != incarnation || cx.view.restarted(from);
        if list_is_current
            && !asked_by_another
            && !restarted
            && !cx.view.has_recent_departures(cx.now)
        {
            HandoverResponse::NeverOwned
        } else {
            HandoverResponse::Wait
        }
    }

    /// Whether no third daemon can take the target without a handover after this daemon hands it
    /// over to `from`.
    ///
    /// A third daemon could only own it by a list between this daemon's and the asker's. That list
    /// is no older than `earliest_takeover - hold_down`, so the third daemon starts no earlier than
    /// `earliest_takeover`. It stops within the list lag plus the lease from now, since the asker
    /// has already read the newer list. If all lists up to the asker's are known and name only
    /// the asker as the new owner, no third daemon exists.
    fn is_exclusive(&self, cx: &Context<'_>, from: &Name, generation: u64) -> bool {
        let cfg = cx.view.config();
        let now = View::with_offset(cx.now);
        let takeover = self.earliest_takeover(cx);
        let direct_successor = self.grant_until.is_some()
            && self.successor.as_ref() == Some(from)
            && self.generation >= generation;
        now < takeover && (direct_successor || now + cfg.max_list_lag + cfg.lease < takeover)
    }
}
