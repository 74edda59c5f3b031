//! Ownership state of one target and its transitions.

use std::time::Duration;

use crate::action::{Action, OwnershipState};
use crate::list::{Incarnation, Name};
use crate::peer::Lease;
use crate::possible_holders::PossibleHolders;
use crate::takeover::PendingTakeover;
use crate::view::View;

/// The last handover of a target to another VM.
#[derive(Clone, Debug)]
pub(crate) struct HandoverRecord {
    pub(crate) to: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) generation: u64,
    pub(crate) at: Duration,
    pub(crate) exclusive: bool,
}

/// Inputs of a transition that are the same for all targets.
pub(crate) struct Context<'a> {
    pub(crate) now: Duration,
    pub(crate) view: &'a View,
    pub(crate) lease: Lease,
    /// Latest time, with the offset of [`View::with_offset`], at which no list was known to be
    /// fresher than the last list applied to the targets, up to the list lag.
    pub(crate) list_confirmed_at: Duration,
}

#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) zone: Name,
    /// Owner according to the list of `generation`.
    pub(crate) owner: Option<Name>,
    pub(crate) generation: u64,
    pub(crate) created_at: Duration,
    pub(crate) last_listed: Duration,
    pub(crate) state: OwnershipState,
    pub(crate) possible_holders: PossibleHolders,
    pub(crate) takeover: Option<PendingTakeover>,
    /// Generation of the last list that makes this daemon the owner.
    pub(crate) own_generation: u64,
    /// Set when a list moved the target to another VM: this daemon continues to grant permits
    /// until the new owner asks for a handover, or until this time.
    pub(crate) grant_until: Option<Duration>,
    /// The only owner since a list moved the target away, if all lists since then are known.
    pub(crate) successor: Option<Name>,
    /// This daemon promised not to take the target by a list of a generation up to this one.
    pub(crate) promised_generation: u64,
    pub(crate) has_owned: bool,
    pub(crate) last_handover: Option<HandoverRecord>,
    /// The last VM that asked for a handover, and the time.
    pub(crate) last_asker: Option<(Name, Duration)>,
}

impl Target {
    pub(crate) fn new(now: Duration, zone: Name) -> Self {
        Self {
            zone,
            owner: None,
            generation: 0,
            created_at: now,
            last_listed: now,
            state: OwnershipState::OtherOwner,
            possible_holders: PossibleHolders::default(),
            takeover: None,
            own_generation: 0,
            grant_until: None,
            successor: None,
            promised_generation: 0,
            has_owned: false,
            last_handover: None,
            last_asker: None,
        }
    }

    pub(crate) fn is_owned(&self) -> bool {
        matches!(self.state, OwnershipState::Owned { .. })
    }

    /// Earliest time, with the offset of [`View::with_offset`], at which another daemon may start
    /// the target without a handover. The list that moves the target is no older than
    /// `list_confirmed_at - max_list_lag`, and its new owner waits for the hold-down.
    pub(crate) fn earliest_takeover(&self, cx: &Context<'_>) -> Duration {
        let cfg = cx.view.config();
        self.grant_until
            .unwrap_or(cx.list_confirmed_at + cfg.hold_down.saturating_sub(cfg.max_list_lag))
    }

    /// Applies the view's list to the target.
    pub(crate) fn apply_list(&mut self, cx: &Context<'_>, name: &Name, actions: &mut Vec<Action>) {
        let view = cx.view;
        let own_name = view.name();
        let possible_until = cx.now + view.config().hold_down;
        let consecutive = self.generation != 0 && view.generation() == self.generation + 1;
        let before_takeover = View::with_offset(cx.now) < self.earliest_takeover(cx);
        let owner = view.owner(name, &self.zone).map(Name::from);
        let was_owner = self.owner.as_deref() == Some(own_name);
        let is_owner = owner.as_deref() == Some(own_name);
        let keeps_target = self.is_owned() && self.grant_until.is_none() && was_owner && is_owner;
        if keeps_target && (consecutive || before_takeover) {
            // No other daemon can have started the target since the last list.
            self.possible_holders.clear();
        } else {
            if !consecutive {
                self.possible_holders.add_unknown(possible_until);
            }
            if owner != self.owner
                && let Some(old) = self.owner.take().filter(|old| **old != *own_name)
            {
                self.possible_holders.add(old, possible_until);
            }
            if self.is_owned() {
                self.on_moved_away(
                    cx,
                    name,
                    owner.as_ref(),
                    consecutive,
                    before_takeover,
                    actions,
                );
            } else if !is_owner || !consecutive {
                self.state = OwnershipState::OtherOwner;
                self.takeover = None;
            }
        }
        if is_owner && self.grant_until.is_none() {
            self.own_generation = view.generation();
        }
        self.owner = owner;
        self.generation = view.generation();
    }

    /// Handles a list that moved an owned target to another VM, or a gap between lists in which it
    /// may have moved away and back.
    fn on_moved_away(
        &mut self,
        cx: &Context<'_>,
        name: &Name,
        owner: Option<&Name>,
        consecutive: bool,
        before_takeover: bool,
        actions: &mut Vec<Action>,
    ) {
        let own_name = cx.view.name();
        let to = owner.filter(|owner| ***owner != *own_name);
        let listed = cx.view.row(own_name).is_some();
        if to.is_none() || !before_takeover || !listed {
            self.give_up(name, to.cloned(), actions);
        } else if self.grant_until.is_none() {
            self.grant_until = Some(self.earliest_takeover(cx));
            self.successor = to.filter(|_| consecutive).cloned();
        } else if !consecutive || self.successor.as_ref() != to {
            self.successor = None;
        }
    }

    pub(crate) fn give_up(&mut self, name: &Name, to: Option<Name>, actions: &mut Vec<Action>) {
        self.stop();
        actions.push(Action::GiveUp {
            target: name.clone(),
            to,
        });
    }

    pub(crate) fn stop(&mut self) {
        self.state = OwnershipState::OtherOwner;
        self.takeover = None;
        self.grant_until = None;
        self.successor = None;
    }

    /// Makes the transitions that depend on time, the lease and refused connections.
    pub(crate) fn tick(&mut self, cx: &Context<'_>, name: &Name, actions: &mut Vec<Action>) {
        if self.is_owned() {
            let passed = |until| until <= View::with_offset(cx.now);
            if cx.lease == Lease::Expired || self.grant_until.is_some_and(passed) {
                let own_name = cx.view.name();
                let to = self.owner.clone().filter(|owner| **owner != *own_name);
                self.give_up(name, to, actions);
            }
            return;
        }
        let may_take_over = self.owner.as_deref() == Some(cx.view.name())
            && self.generation > self.promised_generation;
        if !may_take_over || cx.lease == Lease::Expired || !cx.view.is_fresh() {
            return;
        }
        if self.takeover.is_none() {
            self.begin_takeover(cx, name);
        }
        self.note_refusal(cx);
        if cx.lease == Lease::Held
            && let Some(state) = self.start_state(cx)
        {
            self.start(name, state, actions);
        } else {
            self.request_handover(cx, name, actions);
        }
    }
}
