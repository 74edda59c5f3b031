//! The wait of a new owner for the old one.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::action::{Action, OwnershipState, StartState};
use crate::hash::ranked;
use crate::list::Name;
use crate::target::{Cx, Target};

/// At most this number of VMs are asked for a target whose old owner is unknown. In larger
/// fleets only a hand-over or the hold-down ends the wait.
const ASK_LIMIT: usize = 64;
/// Factor by which the interval between questions grows at most.
const ASK_BACKOFF: u32 = 8;

/// A wait for the end of the old owner.
#[derive(Clone, Debug)]
pub(crate) struct Wait {
    pub(crate) since: Duration,
    pub(crate) generation: u64,
    /// The only VM that could hold the target when the wait began.
    pub(crate) sole: Option<Name>,
    pub(crate) never_owned: BTreeSet<Name>,
    pub(crate) handed: bool,
    /// When the last process that could hold the target was first known to be gone.
    pub(crate) gone: Option<Duration>,
    next_ask: Duration,
    interval: Duration,
}

impl Target {
    pub(crate) fn begin(&mut self, cx: &Cx<'_>, name: &Name) {
        self.claims.prune(cx.now);
        let from = self.askable(cx, name).into_iter().next();
        self.state = match from {
            Some(from) => OwnershipState::Asking {
                from,
                since: cx.now,
            },
            None => OwnershipState::HoldDown {
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
            interval: cx.view.config().ask_interval,
        });
    }

    pub(crate) fn start(&mut self, name: &Name, state: StartState, actions: &mut Vec<Action>) {
        self.stop();
        self.state = OwnershipState::Owned {
            assume_full: state == StartState::AssumeFull,
        };
        self.claims.clear();
        self.held = true;
        self.given = None;
        actions.push(Action::Start {
            target: name.clone(),
            state,
        });
    }

    /// How the target may start now.
    pub(crate) fn source(&self, cx: &Cx<'_>) -> Option<StartState> {
        let wait = self.wait.as_ref()?;
        let cfg = cx.view.config();
        if cfg.standalone {
            return Some(StartState::Fresh);
        }
        if wait.handed {
            return Some(StartState::HandedOver);
        }
        if !self.held && self.never_owned(cx, wait) {
            return Some(StartState::Fresh);
        }
        let gone = wait.gone.is_some_and(|at| {
            cx.now >= at + cfg.grace && cx.view.confirmed_after(at + cfg.max_list_lag)
        });
        let waited = cx.now >= wait.since + cfg.hold_down;
        (gone || waited || self.claims.none(cx.now)).then_some(StartState::AssumeFull)
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
    pub(crate) fn watch_refusal(&mut self, cx: &Cx<'_>) {
        if let Some(wait) = &mut self.wait
            && let Some(vm) = &wait.sole
            && let Some(at) = cx.view.refused(vm)
            && at >= wait.since
        {
            wait.gone = wait.gone.or(Some(at));
        }
    }

    pub(crate) fn ask(&mut self, cx: &Cx<'_>, name: &Name, actions: &mut Vec<Action>) {
        let cfg = cx.view.config();
        let askable = self.askable(cx, name);
        let Some(wait) = &mut self.wait else { return };
        if cx.now >= wait.since + cfg.peer_timeout {
            self.state = OwnershipState::HoldDown {
                until: wait.since + cfg.hold_down,
            };
        }
        if cx.now < wait.next_ask {
            return;
        }
        wait.next_ask = cx.now + wait.interval;
        wait.interval = (wait.interval * 2).min(cfg.ask_interval * ASK_BACKOFF);
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
