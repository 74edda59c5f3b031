//! The state of one target and its transitions.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::claims::Claims;
use crate::hash::ranked;
use crate::list::{Incarnation, Name};
use crate::peer::Lease;
use crate::view::View;

/// At most this number of VMs are asked for a target whose old owner is unknown. In larger
/// fleets only a hand-over or the hold-down ends the wait.
pub(crate) const ASK_LIMIT: usize = 64;
/// Factor by which the interval between questions grows at most.
const ASK_BACKOFF: u32 = 8;

/// What this daemon does with a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// Another daemon owns it.
    Other,
    /// This daemon owns it by its list and asks for a hand-over.
    Asking {
        /// The first VM asked.
        from: Name,
        /// When it was first asked.
        since: Duration,
    },
    /// The old owner can't be reached or doesn't hold the target. Questions go on.
    HoldDown {
        /// End of the wait at the latest.
        until: Duration,
    },
    /// This daemon grants to the target.
    Mine {
        /// Whether runs of an earlier owner may be in flight.
        assume_full: bool,
    },
}

/// What is known about a target at the start of its admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The old owner sent its state.
    Handed,
    /// Runs of an earlier owner may be in flight: the target counts as full until it is known
    /// better.
    AssumeFull,
    /// The target never had an owner.
    Fresh,
}

/// What the daemon has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a `HandoverAsk` to `from`, which may need a new link to
    /// [`View::address`](crate::View::address).
    AskHandover {
        /// The target.
        target: Name,
        /// The VM to ask.
        from: Name,
        /// Generation to send, and to pass on with the reply to this question.
        generation: u64,
    },
    /// Start to grant to the target.
    Start {
        /// The target.
        target: Name,
        /// What is known about it.
        source: Source,
    },
    /// Stop granting to the target at once.
    GiveUp {
        /// The target.
        target: Name,
        /// The owner by the list, if it is another VM.
        to: Option<Name>,
    },
}

/// The VM to which a target was given.
#[derive(Clone, Debug)]
pub(crate) struct Gift {
    pub(crate) to: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) generation: u64,
    pub(crate) at: Duration,
    pub(crate) sure: bool,
}

/// A wait for the end of the old owner.
#[derive(Clone, Debug)]
pub(crate) struct Wait {
    pub(crate) since: Duration,
    pub(crate) generation: u64,
    /// The only VM that could hold the target when the wait began.
    pub(crate) sole: Option<Name>,
    pub(crate) never_owned: BTreeSet<Name>,
    pub(crate) handed: bool,
    /// When the process of `sole` was first known to be gone.
    pub(crate) gone: Option<Duration>,
    next_ask: Duration,
    interval: Duration,
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
    pub(crate) state: State,
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
            state: State::Other,
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
        matches!(self.state, State::Mine { .. })
    }

    /// Time from which another daemon may have started the target without a hand-over, on the
    /// view's shifted scale: the list that moved it is no older than `basis - lag`, and its new
    /// owner waits the hold-down.
    pub(crate) fn safe_until(&self, cx: &Cx<'_>) -> Duration {
        let cfg = cx.view.config();
        self.keep_until
            .unwrap_or(cx.basis + cfg.hold_down.saturating_sub(cfg.lag))
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
                self.state = State::Other;
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
        self.state = State::Other;
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

    fn begin(&mut self, cx: &Cx<'_>, name: &Name) {
        self.claims.prune(cx.now);
        let from = self.askable(cx, name).into_iter().next();
        self.state = match from {
            Some(from) => State::Asking {
                from,
                since: cx.now,
            },
            None => State::HoldDown {
                until: cx.now + cx.view.config().hold_down,
            },
        };
        self.wait = Some(Wait {
            since: cx.now,
            generation: self.generation,
            sole: self.claims.sole(cx.now).cloned(),
            never_owned: BTreeSet::new(),
            handed: false,
            gone: None,
            next_ask: cx.now,
            interval: cx.view.config().ask_every,
        });
    }

    fn start(&mut self, name: &Name, source: Source, actions: &mut Vec<Action>) {
        self.stop();
        self.state = State::Mine {
            assume_full: source == Source::AssumeFull,
        };
        self.claims.clear();
        self.held = true;
        self.given = None;
        actions.push(Action::Start {
            target: name.clone(),
            source,
        });
    }

    /// How the target may start now.
    fn source(&self, cx: &Cx<'_>) -> Option<Source> {
        let wait = self.wait.as_ref()?;
        let cfg = cx.view.config();
        if cfg.standalone {
            return Some(Source::Fresh);
        }
        if wait.handed {
            return Some(Source::Handed);
        }
        if !self.held && self.never_owned(cx, wait) {
            return Some(Source::Fresh);
        }
        let gone = wait
            .gone
            .is_some_and(|at| cx.now >= at + cfg.grace && cx.view.confirmed_after(at + cfg.lag));
        let waited = cx.now >= wait.since + cfg.hold_down;
        (gone || waited || self.claims.none(cx.now)).then_some(Source::AssumeFull)
    }

    /// Whether all other listed VMs, and all that may hold the target, never owned it.
    fn never_owned(&self, cx: &Cx<'_>, wait: &Wait) -> bool {
        let rows = cx.view.list().into_iter().flat_map(|list| &list.vms);
        let mut others = rows.filter(|row| &*row.name != cx.view.name());
        !wait.never_owned.is_empty()
            && others.all(|row| wait.never_owned.contains(&row.name))
            && self.claims.names().all(|vm| wait.never_owned.contains(vm))
    }

    /// A refusal counts only if it came after the wait began, since a process that started
    /// earlier may hold the target by now, and only if no third VM may hold it.
    fn watch_refusal(&mut self, cx: &Cx<'_>) {
        if let Some(wait) = &mut self.wait
            && let Some(vm) = &wait.sole
            && let Some(at) = cx.view.refused(vm)
            && at >= wait.since
        {
            wait.gone = wait.gone.or(Some(at));
        }
    }

    fn ask(&mut self, cx: &Cx<'_>, name: &Name, actions: &mut Vec<Action>) {
        let cfg = cx.view.config();
        let askable = self.askable(cx, name);
        let Some(wait) = &mut self.wait else { return };
        if cx.now >= wait.since + cfg.silence {
            self.state = State::HoldDown {
                until: wait.since + cfg.hold_down,
            };
        }
        if cx.now < wait.next_ask {
            return;
        }
        wait.next_ask = cx.now + wait.interval;
        wait.interval = (wait.interval * 2).min(cfg.ask_every * ASK_BACKOFF);
        let generation = wait.generation;
        actions.extend(askable.into_iter().map(|from| Action::AskHandover {
            target: name.clone(),
            from,
            generation,
        }));
    }

    /// VMs whose answer may end the wait: those that may hold the target, or, if others may hold
    /// it that this process doesn't know of, all listed ones by rank, those of the zone first.
    fn askable(&self, cx: &Cx<'_>, name: &Name) -> Vec<Name> {
        let mut vms: Vec<Name> = self.claims.names().cloned().collect();
        if self.claims.is_unknown(cx.now)
            && let Some(list) = cx.view.list()
        {
            let ranks = ranked(name, list.vms.iter().map(|row| &*row.name));
            let (near, far): (Vec<_>, Vec<_>) = ranks
                .into_iter()
                .filter(|vm| *vm != cx.view.name() && !vms.iter().any(|known| **known == **vm))
                .partition(|vm| cx.view.row(vm).is_some_and(|row| row.zone == self.zone));
            vms.extend(near.into_iter().chain(far).take(ASK_LIMIT).map(Name::from));
        }
        if let Some(wait) = &self.wait {
            vms.retain(|vm| !wait.never_owned.contains(vm));
        }
        vms
    }
}
