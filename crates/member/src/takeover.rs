//! Takeover of a target from its previous owner.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::action::{Action, OwnershipState, StartState};
use crate::hash::ranked;
use crate::list::Name;
use crate::target::{Context, Target};

/// Largest number of VMs that are asked for a target whose previous owner is unknown. In larger
/// fleets only a handover or the hold-down ends the wait.
const MAX_ASKED_VMS: usize = 64;
/// Largest factor by which the interval between handover requests grows.
const MAX_ASK_BACKOFF: u32 = 8;

/// State of a takeover that waits for the previous owner's reply or end.
#[derive(Clone, Debug)]
pub(crate) struct PendingTakeover {
    pub(crate) since: Duration,
    pub(crate) generation: u64,
    /// The only VM that could hold the target when the takeover began.
    pub(crate) only_holder: Option<Name>,
    pub(crate) never_owned: BTreeSet<Name>,
    pub(crate) handed_over: bool,
    /// When it first became known that the last process that could hold the target has ended.
    pub(crate) gone_at: Option<Duration>,
    next_request_at: Duration,
    request_interval: Duration,
}

impl Target {
    pub(crate) fn begin_takeover(&mut self, cx: &Context<'_>, name: &Name) {
        self.possible_holders.remove_expired(cx.now);
        let from = self.vms_to_ask(cx, name).into_iter().next();
        self.state = match from {
            Some(from) => OwnershipState::Asking {
                from,
                since: cx.now,
            },
            None => OwnershipState::HoldDown {
                until: cx.now + cx.view.config().hold_down,
            },
        };
        self.takeover = Some(PendingTakeover {
            since: cx.now,
            generation: self.generation,
            only_holder: self.possible_holders.only_holder(cx.now).cloned(),
            never_owned: BTreeSet::new(),
            handed_over: false,
            gone_at: None,
            next_request_at: cx.now,
            request_interval: cx.view.config().ask_interval,
        });
    }

    pub(crate) fn start(&mut self, name: &Name, state: StartState, actions: &mut Vec<Action>) {
        self.stop();
        self.state = OwnershipState::Owned {
            assume_full: state == StartState::AssumeFull,
        };
        self.possible_holders.clear();
        self.has_owned = true;
        self.last_handover = None;
        actions.push(Action::Start {
            target: name.clone(),
            state,
        });
    }

    /// State in which this daemon may start the target now, if it may.
    pub(crate) fn start_state(&self, cx: &Context<'_>) -> Option<StartState> {
        let takeover = self.takeover.as_ref()?;
        let cfg = cx.view.config();
        if cfg.standalone {
            return Some(StartState::Fresh);
        }
        if takeover.handed_over {
            return Some(StartState::HandedOver);
        }
        if !self.has_owned && self.all_never_owned(cx, takeover) {
            return Some(StartState::Fresh);
        }
        let gone = takeover.gone_at.is_some_and(|at| {
            cx.now >= at + cfg.grace && cx.view.confirmed_after(at + cfg.max_list_lag)
        });
        let waited = cx.now >= takeover.since + cfg.hold_down;
        (gone || waited || self.possible_holders.is_empty(cx.now)).then_some(StartState::AssumeFull)
    }

    /// Whether all other listed VMs, and all VMs that may hold the target, replied that they never
    /// owned it.
    fn all_never_owned(&self, cx: &Context<'_>, takeover: &PendingTakeover) -> bool {
        let rows = cx.view.list().into_iter().flat_map(|list| &list.vms);
        let mut others = rows.filter(|row| &*row.name != cx.view.name());
        !takeover.never_owned.is_empty()
            && others.all(|row| takeover.never_owned.contains(&row.name))
            && self
                .possible_holders
                .names()
                .all(|vm| takeover.never_owned.contains(vm))
    }

    /// Records a refused connection as proof that the previous owner has ended. It counts only if
    /// it came after the takeover began, since a process that started after an earlier refusal may
    /// hold the target by now, and only if no third VM may hold it.
    pub(crate) fn note_refusal(&mut self, cx: &Context<'_>) {
        if let Some(takeover) = &mut self.takeover
            && let Some(vm) = &takeover.only_holder
            && let Some(at) = cx.view.refused_at(vm)
            && at >= takeover.since
        {
            takeover.gone_at = takeover.gone_at.or(Some(at));
        }
    }

    pub(crate) fn request_handover(
        &mut self,
        cx: &Context<'_>,
        name: &Name,
        actions: &mut Vec<Action>,
    ) {
        let cfg = cx.view.config();
        let vms = self.vms_to_ask(cx, name);
        let Some(takeover) = &mut self.takeover else {
            return;
        };
        if cx.now >= takeover.since + cfg.peer_timeout {
            self.state = OwnershipState::HoldDown {
                until: takeover.since + cfg.hold_down,
            };
        }
        if cx.now < takeover.next_request_at {
            return;
        }
        takeover.next_request_at = cx.now + takeover.request_interval;
        takeover.request_interval =
            (takeover.request_interval * 2).min(cfg.ask_interval * MAX_ASK_BACKOFF);
        let generation = takeover.generation;
        actions.extend(vms.into_iter().map(|from| Action::AskHandover {
            target: name.clone(),
            from,
            generation,
        }));
    }

    /// VMs whose reply may end the wait: those that may hold the target and, if a VM that this
    /// process doesn't know of may hold it, the other listed VMs by rank, those of the target's
    /// zone first.
    fn vms_to_ask(&self, cx: &Context<'_>, name: &Name) -> Vec<Name> {
        let mut vms: Vec<Name> = self.possible_holders.names().cloned().collect();
        if self.possible_holders.may_be_unknown(cx.now)
            && let Some(list) = cx.view.list()
        {
            let ranks = ranked(name, list.vms.iter().map(|row| &*row.name));
            let (near, far): (Vec<_>, Vec<_>) = ranks
                .into_iter()
                .filter(|vm| *vm != cx.view.name() && !vms.iter().any(|known| **known == **vm))
                .partition(|vm| cx.view.row(vm).is_some_and(|row| row.zone == self.zone));
            vms.extend(
                near.into_iter()
                    .chain(far)
                    .take(MAX_ASKED_VMS)
                    .map(Name::from),
            );
        }
        if let Some(takeover) = &self.takeover {
            vms.retain(|vm| !takeover.never_owned.contains(vm));
        }
        vms
    }
}
