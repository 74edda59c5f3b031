//! The state of one target and its transitions.

use std::time::Duration;

use crate::action::{Action, OwnershipState};
use crate::claims::Claims;
use crate::list::{Incarnation, Name};
use crate::peer::Lease;
use crate::view::View;
use crate::wait::Wait;

/// The VM to which a target was given.
#[derive(Clone, Debug)]
pub(crate) struct Gift {
    pub(crate) to: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) generation: u64,
    pub(crate) at: Duration,
    pub(crate) sure: bool,
}

/// What a transition of any target depends on.
pub(crate) struct Cx<'a> {
    pub(crate) now: Duration,
    pub(crate) view: &'a View,
    pub(crate) lease: Lease,
    /// Latest time, on the view's shifted scale, at which the list taken last was known to be the
    /// freshest within the lag.
    pub(crate) basis: Duration,
}

#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) zone: Name,
    /// Owner by the list of `generation`.
    pub(crate) owner: Option<Name>,
    pub(crate) generation: u64,
    pub(crate) created: Duration,
    pub(crate) seen: Duration,
    pub(crate) state: OwnershipState,
    pub(crate) claims: Claims,
    pub(crate) wait: Option<Wait>,
    /// Generation of the last list by which this daemon owned the target.
    pub(crate) own_generation: u64,
    /// A list moved the target away; this daemon goes on until it is asked or this time comes.
    pub(crate) keep_until: Option<Duration>,
    /// The only owner after this daemon, if all lists since are known.
    pub(crate) successor: Option<Name>,
    /// No list up to this generation makes this daemon the owner: it promised so.
    pub(crate) bar: u64,
    pub(crate) held: bool,
    pub(crate) given: Option<Gift>,
    /// The last VM that asked, and when.
    pub(crate) asked_by: Option<(Name, Duration)>,
}

impl Target {
    pub(crate) fn new(now: Duration, zone: Name) -> Self {
        Self {
            zone,
            owner: None,
            generation: 0,
            created: now,
            seen: now,
            state: OwnershipState::OtherOwner,
            claims: Claims::default(),
            wait: None,
            own_generation: 0,
            keep_until: None,
            successor: None,
            bar: 0,
            held: false,
            given: None,
            asked_by: None,
        }
    }

    pub(crate) fn is_mine(&self) -> bool {
        matches!(self.state, OwnershipState::Owned { .. })
    }

    /// Time from which another daemon may have started the target without a hand-over, on the
    /// view's shifted scale: the list that moved it is no older than `basis - lag`, and its new
    /// owner waits the hold-down.
    pub(crate) fn safe_until(&self, cx: &Cx<'_>) -> Duration {
        let cfg = cx.view.config();
        self.keep_until
            .unwrap_or(cx.basis + cfg.hold_down.saturating_sub(cfg.max_list_lag))
    }

    /// Takes the view's list into account.
    pub(crate) fn relist(&mut self, cx: &Cx<'_>, name: &Name, actions: &mut Vec<Action>) {
        let view = cx.view;
        let me = view.name();
        let until = cx.now + view.config().hold_down;
        let consecutive = self.generation != 0 && view.generation() == self.generation + 1;
        let sure = View::shift(cx.now) < self.safe_until(cx);
        let owner = view.owner(name, &self.zone).map(Name::from);
        let was_mine = self.owner.as_deref() == Some(me);
        let is_mine = owner.as_deref() == Some(me);
        let keeps = self.is_mine() && self.keep_until.is_none() && was_mine && is_mine;
        if keeps && (consecutive || sure) {
            // No other daemon can have started it in between.
            self.claims.clear();
        } else {
            if !consecutive {
                self.claims.add_unknown(until);
            }
            if owner != self.owner
                && let Some(old) = self.owner.take().filter(|old| **old != *me)
            {
                self.claims.add(old, until);
            }
            if self.is_mine() {
                self.displace(cx, name, owner.as_ref(), consecutive, sure, actions);
            } else if !is_mine || !consecutive {
                self.state = OwnershipState::OtherOwner;
                self.wait = None;
            }
        }
        if is_mine && self.keep_until.is_none() {
            self.own_generation = view.generation();
        }
        self.owner = owner;
        self.generation = view.generation();
    }

    /// The list moved a target that this daemon holds, or may have moved it and back.
    fn displace(
        &mut self,
        cx: &Cx<'_>,
        name: &Name,
        owner: Option<&Name>,
        consecutive: bool,
        sure: bool,
        actions: &mut Vec<Action>,
    ) {
        let me = cx.view.name();
        let to = owner.filter(|owner| ***owner != *me);
        let listed = cx.view.row(me).is_some();
        if to.is_none() || !sure || !listed {
            self.give_up(name, to.cloned(), actions);
        } else if self.keep_until.is_none() {
            self.keep_until = Some(self.safe_until(cx));
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
        self.wait = None;
        self.keep_until = None;
        self.successor = None;
    }

    /// Applies the passing of time.
    pub(crate) fn tick(&mut self, cx: &Cx<'_>, name: &Name, actions: &mut Vec<Action>) {
        if self.is_mine() {
            let kept = |until| until <= View::shift(cx.now);
            if cx.lease == Lease::Expired || self.keep_until.is_some_and(kept) {
                let me = cx.view.name();
                let to = self.owner.clone().filter(|owner| **owner != *me);
                self.give_up(name, to, actions);
            }
            return;
        }
        let owns = self.owner.as_deref() == Some(cx.view.name()) && self.generation > self.bar;
        if !owns || cx.lease == Lease::Expired || !cx.view.is_fresh() {
            return;
        }
        if self.wait.is_none() {
            self.begin(cx, name);
        }
        self.watch_refusal(cx);
        if cx.lease == Lease::Held
            && let Some(source) = self.source(cx)
        {
            self.start(name, source, actions);
        } else {
            self.ask(cx, name, actions);
        }
    }
}
