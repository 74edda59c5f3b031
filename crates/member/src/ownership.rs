//! Ownership of targets: for which targets this daemon may grant permits.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::action::{Action, OwnershipState};
use crate::fencing::FencingToken;
use crate::handover::HandoverResponse;
use crate::list::{Incarnation, Name};
use crate::peer::Lease;
use crate::target::{Context, Target};
use crate::view::View;

/// Which permits a daemon may grant for a target now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GrantLevel {
    /// None.
    None,
    /// Permits for a warm target, without growth of its limit.
    Warm,
    /// Any permits, also while the target is cold.
    Full,
}

/// Ownership of targets.
///
/// A list makes the first-ranked live VM of a target's zone its owner. A daemon that becomes the
/// owner sends handover requests to the VMs that may hold the target, and starts the target
/// - with the state that the holder sent, if the holder replies that it stopped;
/// - fresh, if all other listed VMs reply that they never owned it;
/// - as if it were full, if each VM that may hold it according to the lists read replies that it
///   doesn't, after proof that the process of the only such VM has ended, or after the hold-down.
///
/// Proof that a process has ended is a refused connection after the takeover began, the reply of
/// a new process at its address, or, after a restart of this daemon, the reply of a process
/// according to whose lists only this VM can have held the target. Even then this daemon waits for
/// at least [`Config::grace`](crate::Config::grace), and until the platform confirms its list
/// no earlier than [`Config::max_list_lag`](crate::Config::max_list_lag) after the proof: the old
/// process may have handed the target over by a list that this daemon has not read yet.
///
/// An owner that a newer list replaces continues to grant permits until it is asked for a
/// handover, or until just before a successor that can't reach it could have waited for the
/// hold-down. While its lease is in doubt, an owner grants permits for warm targets only, and none
/// once the lease has expired. If it missed lists while the lease was interrupted, it sends
/// handover requests before it continues.
///
/// # Safety argument
///
/// At any time at most one daemon has [`GrantLevel::Full`] for a target. A second one may hold the
/// target with [`GrantLevel::Warm`] from the end of its successor's hold-down until its own lease
/// expires; the successor then started as if the target were full. This requires:
///
/// 1. A list is at most [`Config::max_list_lag`](crate::Config::max_list_lag) out of date when it
///    is read, ages are measured from the sending of the request, and generations never decrease.
///    No message on an open link is older than
///    [`Config::peer_timeout`](crate::Config::peer_timeout) when it is processed, except after a
///    pause.
/// 2. `hold_down > 2 * (max_list_lag + lease)`, see [`Config::check`](crate::Config::check). The
///    first `max_list_lag + lease` passes until the old owner's lease ends. The second one covers
///    an owner that waits because of a list between the two lists of a handover.
/// 3. Clocks count suspended time and run at the same rate, up to the margin in `hold_down`.
/// 4. After a pause [`View::on_pause`] is called first, [`Ownership::update`] right after
///    [`View::on_list`] returns true, and [`Ownership::grants`] before each grant.
/// 5. All daemons assign a target to the same zone; a target that moves to another zone gets a new
///    name.
/// 6. A VM runs one daemon at a time. A refused connection at its address means that none runs.
/// 7. For `max_list_lag + lease` after a VM left the list, at least one process that read an
///    earlier list keeps running, is listed, and is among those asked. Otherwise no process that
///    is asked knows of the VM, and a start as [`StartState::Fresh`](crate::StartState) would be
///    wrong.
/// 8. If only some VMs can read lists from the platform, at least one VM of each older list that
///    is still in use reads the newer list or reaches a VM that did. Otherwise the VMs with the
///    older list may keep their leases by reaching each other. So that a restart doesn't lose the
///    newer list, a process opens its links after its first read from the platform, or after
///    [`Config::lease`](crate::Config::lease) if the platform doesn't respond.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use member::{
///     Action, Config, GrantLevel, Incarnation, Ownership, StartState, View, Vm, VmList, VmState,
/// };
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
    /// Applies a new list or a new set of targets, then does the same as [`tick`](Self::tick).
    /// `targets` has the name and zone of all targets of the sheet, in any order.
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
                // Owners were derived from another zone until now, so the lists read so far don't
                // show who may hold the target.
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

    /// Makes the transitions that depend on time and link events. Has to be called several times a
    /// second.
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

    /// Processes a peer's response to a request of `generation` with the method named at each
    /// variant of [`HandoverResponse`].
    pub fn on_handover_response(
        &mut self,
        now: Duration,
        view: &View,
        target: &str,
        (from, response): (&Name, HandoverResponse),
        generation: u64,
    ) -> Vec<Action> {
        match response {
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

    /// Processes the reply of the owner to a request of `generation`. `given` is true if it stopped
    /// granting permits, and false if it still owns the target.
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

    /// Processes the reply of a process that never owned the target.
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

    /// Processes the reply of a process that doesn't hold the target.
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

    /// Processes the reply of a process according to whose lists only this VM can have held the
    /// target.
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

    /// Responds to a handover request of `from`, whose hello had `incarnation`.
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

    /// Ownership state of a target.
    #[must_use]
    pub fn state(&self, target: &str) -> &OwnershipState {
        self.targets
            .get(target)
            .map_or(&OwnershipState::OtherOwner, |target| &target.state)
    }

    /// Which permits may be granted for a target now. Has to be called before each grant.
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

    /// Fencing token of a request to a target that this daemon owns, `None` for other targets.
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

    /// All known targets with their ownership states.
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

    /// Applies a reply if it belongs to the pending takeover. A reply to an earlier request may
    /// have been sent before the target moved to another owner.
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
