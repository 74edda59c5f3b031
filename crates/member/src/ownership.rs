//! Which targets this daemon grants to.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::action::{Action, OwnershipState};
use crate::fencing::FencingToken;
use crate::handover::HandoverResponse;
use crate::list::{Incarnation, Name};
use crate::peer::Lease;
use crate::target::{Context, Target};
use crate::view::View;

/// What a daemon may grant to a target now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GrantLevel {
    /// Nothing.
    None,
    /// Work for a warm target, without growth of its limit.
    Warm,
    /// Any work, also while the target is cold.
    Full,
}

/// Ownership of targets.
///
/// The owner of a target by a list is the first-ranked live VM of the target's zone. When a list
/// makes this daemon the owner, it asks the VMs that may hold the target, and starts
/// - with the state of the target, when the holder answers that it stopped;
/// - fresh, when all other listed VMs answer that they never owned it;
/// - as if the target were full, when each VM that may hold it by the lists read answers that it
///   doesn't, after proof that the process of the only one of them is gone, or after the
///   hold-down.
///
/// Proof that a process is gone is a refused connection since the wait began, the answer of a new
/// process at its address, or, after a restart of this daemon, the answer of a process by whose
/// lists only this VM can have held the target. The wait then lasts until a list is read that the platform can't
/// have shown before the proof, `lag` later, and at least [`Config::grace`](crate::Config::grace):
/// the old process may have handed the target over by a list that this daemon has not read yet.
///
/// An owner that a newer list replaces goes on until it is asked, or until just before a successor
/// that doesn't reach it could have waited the hold-down. An owner without lease grants only warm
/// work, and nothing once the lease expired. After a gap in the lease in which lists were missed,
/// it asks again before it goes on.
///
/// # Safety argument
///
/// At any time at most one daemon has [`GrantLevel::Full`] for a target. A second one may hold the
/// target with [`GrantLevel::Warm`] between the hold-down of its successor and the expiry of its own
/// lease; the successor started as if the target were full. This needs:
///
/// 1. A list shows the platform's state no more than `lag` before it was read, ages are measured
///    from the sending of the request, and generations never go back. No message of an open link
///    is older than [`Config::peer_timeout`](crate::Config::silence) when it is taken, except after a
///    pause.
/// 2. `hold_down > 2 * (lag + lease)`, see [`Config::check`](crate::Config::check). One `lag +
///    lease` passes until the old owner's lease ends; the second one covers an owner that waits
///    on a list between the two lists of a hand-over.
/// 3. Clocks count suspended time and run at the same rate, up to the margin in `hold_down`.
/// 4. [`View::on_pause`] is called first after a pause, [`Ownership::update`] right after
///    [`View::on_list`] returned true, and [`Ownership::grants`] before each grant.
/// 5. All daemons assign a target the same zone; a target that moves gets a new name.
/// 6. A VM runs one daemon at a time. A refused connection at its address means that none runs.
/// 7. Within `lag + lease` after a VM left the list, at least one process that read an earlier
///    list goes on, is listed, and is among those asked. Otherwise nobody asked remembers the
///    VM, and a start as [`StartState::Fresh`](crate::Source) would be wrong.
/// 8. If the platform gives lists to some VMs only, at least one VM of each older list that is
///    still in use reads the newer one or reaches a VM that did. Otherwise the older VMs may
///    hold their leases by reaching each other. So that a restart doesn't lose the newer list, a
///    process opens its links after its first read from the platform, or after
///    [`Config::lease`](crate::Config::lease) without an answer.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use member::{Action, Config, GrantLevel, Incarnation, Ownership, StartState, View, Vm, VmList, VmState};
///
/// let address = "127.0.0.1:7000".parse().unwrap();
/// let vm = Vm {
///     name: "vm-1".into(),
///     zone: "riga-a".into(),
///     state: VmState::Live,
///     entry: address,
///     peer: address,
/// };
/// let list = VmList { generation: 1, vms: vec![vm] };
/// let cfg = Config { standalone: true, ..Config::default() };
/// let mut view = View::new(cfg, "vm-1".into(), Incarnation(1));
/// let mut ownership = Ownership::default();
/// let now = Duration::from_secs(60);
/// view.on_list(now, list, Duration::ZERO);
/// let actions = ownership.update(now, &view, [("engine-1".into(), "riga-a".into())]);
/// let start = Action::Start { target: "engine-1".into(), state: StartState::Fresh };
/// assert_eq!(actions, [start]);
/// assert_eq!(ownership.grants(now, &view, "engine-1"), GrantLevel::Full);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Ownership {
    targets: BTreeMap<Name, Target>,
    generation: u64,
    list_confirmed_at: Duration,
}

impl Ownership {
    /// Takes a new list or a new set of targets into account, then does what
    /// [`tick`](Self::tick) does. To be called with all targets of the sheet, in any order.
    pub fn update(
        &mut self,
        now: Duration,
        view: &View,
        targets: impl IntoIterator<Item = (Name, Name)>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if view.list().is_none() {
            return actions;
        }
        if view.generation() == self.generation {
            self.list_confirmed_at = view.list_confirmed_at();
        }
        let cx = self.context(now, view);
        for (name, zone) in targets {
            let target = self
                .targets
                .entry(name.clone())
                .or_insert_with(|| Target::new(now, zone.clone()));
            target.last_listed = now;
            if target.zone != zone {
                // Another zone's rule applied until now, so the lists read don't show the owners.
                target.zone = zone;
                target.generation = 0;
            }
            if target.generation != view.generation() {
                target.apply_list(&cx, &name, &mut actions);
            }
        }
        let hold_down = view.config().hold_down;
        self.targets.retain(|name, target| {
            if target.last_listed < now && target.generation != 0 {
                if target.is_owned() {
                    target.give_up(name, None, &mut actions);
                }
                target.stop();
                target.generation = 0;
                target.owner = None;
            }
            now < target.last_listed + hold_down
        });
        self.generation = view.generation();
        actions.extend(self.tick(now, view));
        actions
    }

    /// Applies the passing of time and link events. To be called several times a second.
    pub fn tick(&mut self, now: Duration, view: &View) -> Vec<Action> {
        let mut actions = Vec::new();
        if view.list().is_some() && view.generation() == self.generation {
            self.list_confirmed_at = view.list_confirmed_at();
            let cx = self.context(now, view);
            for (name, target) in &mut self.targets {
                target.tick(&cx, name, &mut actions);
            }
        }
        actions
    }

    /// Takes a peer's answer to a question of `generation`, as the method named by each
    /// [`HandoverResponse`] does.
    pub fn on_handover_response(
        &mut self,
        now: Duration,
        view: &View,
        target: &str,
        (from, answer): (&Name, HandoverResponse),
        generation: u64,
    ) -> Vec<Action> {
        match answer {
            HandoverResponse::HandedOver => self.on_handover(now, view, target, true, generation),
            HandoverResponse::StillOwner => self.on_handover(now, view, target, false, generation),
            HandoverResponse::NeverOwned => {
                self.on_never_owned(now, view, target, from, generation)
            }
            HandoverResponse::NotHeld => self.on_not_held(now, view, target, from, generation),
            HandoverResponse::OnlyAskerOwned => {
                self.on_only_asker_owned(now, view, target, generation)
            }
            HandoverResponse::Stopped | HandoverResponse::Wait => Vec::new(),
        }
    }

    /// Takes the reply to a question of `generation`: `given` if the old owner stopped granting.
    pub fn on_handover(
        &mut self,
        now: Duration,
        view: &View,
        target: &str,
        given: bool,
        generation: u64,
    ) -> Vec<Action> {
        self.on_reply(now, view, target, generation, |target| {
            if let Some(takeover) = &mut target.takeover {
                takeover.handed_over |= given;
            }
        })
    }

    /// Takes the reply of a process that never owned the target.
    pub fn on_never_owned(
        &mut self,
        now: Duration,
        view: &View,
        target: &str,
        from: &Name,
        generation: u64,
    ) -> Vec<Action> {
        self.on_reply(now, view, target, generation, |target| {
            if let Some(takeover) = &mut target.takeover {
                takeover.never_owned.insert(from.clone());
                if takeover.only_holder.as_ref() == Some(from) {
                    takeover.gone_at = takeover.gone_at.or(Some(now));
                }
            }
        })
    }

    /// Takes the reply of a process that doesn't hold the target.
    pub fn on_not_held(
        &mut self,
        now: Duration,
        view: &View,
        target: &str,
        from: &Name,
        generation: u64,
    ) -> Vec<Action> {
        self.on_reply(now, view, target, generation, |target| {
            target.possible_holders.remove(from);
        })
    }

    /// Takes the reply of a process by whose lists only this VM can have held the target.
    pub fn on_only_asker_owned(
        &mut self,
        now: Duration,
        view: &View,
        target: &str,
        generation: u64,
    ) -> Vec<Action> {
        self.on_reply(now, view, target, generation, |target| {
            if let Some(takeover) = &mut target.takeover {
                takeover.gone_at = takeover.gone_at.or(Some(now));
            }
        })
    }

    /// Decides about a question of `from`, whose link began with `incarnation`.
    pub fn on_handover_request(
        &mut self,
        now: Duration,
        view: &View,
        target: &Name,
        (from, incarnation): (&Name, Incarnation),
        generation: u64,
    ) -> HandoverResponse {
        let cx = self.context(now, view);
        let own_generation = self.generation;
        let target = self
            .targets
            .entry(target.clone())
            .or_insert_with(|| Target::new(now, Name::from("")));
        let is_owner = target.owner.as_deref() == Some(view.name());
        if own_generation > generation && target.owner.as_ref() != Some(from) {
            return if is_owner {
                HandoverResponse::StillOwner
            } else {
                HandoverResponse::Wait
            };
        }
        target.respond(&cx, (from, incarnation), generation)
    }

    /// State of a target.
    #[must_use]
    pub fn state(&self, target: &str) -> &OwnershipState {
        self.targets
            .get(target)
            .map_or(&OwnershipState::OtherOwner, |target| &target.state)
    }

    /// What may be granted to a target now. To be asked before each grant.
    #[must_use]
    pub fn grants(&self, now: Duration, view: &View, target: &str) -> GrantLevel {
        let Some(target) = self.targets.get(target) else {
            return GrantLevel::None;
        };
        let not_passed = |until| View::with_offset(now) < until;
        let ownership_valid = target.is_owned()
            && view.is_fresh()
            && view.generation() == self.generation
            && target.grant_until.is_none_or(not_passed);
        match view.lease(now) {
            Lease::Held if ownership_valid => GrantLevel::Full,
            Lease::InDoubt if ownership_valid => GrantLevel::Warm,
            _ => GrantLevel::None,
        }
    }

    /// Fencing number of an order to a target that this daemon holds.
    #[must_use]
    pub fn fencing_token(
        &self,
        target: &str,
        revision: u64,
        start_order: u32,
    ) -> Option<FencingToken> {
        let target = self
            .targets
            .get(target)
            .filter(|target| target.is_owned())?;
        Some(FencingToken {
            revision,
            generation: target.own_generation,
            start_order,
        })
    }

    /// Targets with their states.
    pub fn targets(&self) -> impl Iterator<Item = (&Name, &OwnershipState)> {
        self.targets
            .iter()
            .map(|(name, target)| (name, &target.state))
    }

    fn context<'a>(&self, now: Duration, view: &'a View) -> Context<'a> {
        Context {
            now,
            view,
            lease: view.lease(now),
            list_confirmed_at: self.list_confirmed_at,
        }
    }

    /// Applies a reply if it answers the present question: an older one may have been given
    /// before the target moved on.
    fn on_reply(
        &mut self,
        now: Duration,
        view: &View,
        name: &str,
        generation: u64,
        apply: impl FnOnce(&mut Target),
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let cx = self.context(now, view);
        let current = view.generation() == self.generation;
        if let Some((name, _)) = self.targets.get_key_value(name)
            && let name = name.clone()
            && let Some(target) = self.targets.get_mut(&name)
            && target
                .takeover
                .as_ref()
                .is_some_and(|takeover| takeover.generation == generation)
        {
            apply(target);
            if current {
                target.tick(&cx, &name, &mut actions);
            }
        }
        actions
    }
}
