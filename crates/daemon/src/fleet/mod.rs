//! The view of the fleet and the ownership of targets: what the membership rules decide is carried
//! out here.

mod handover;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use limit::LeaseState;
use member::{
    Action, Config, GrantLevel, HeartbeatInfo, HelloOutcome, Incarnation, Lease, Ownership,
    RelayRole, View, VmList,
};
use sched::TargetSpec;
use sheet::{Name, Settings, Sheet};
use tokio::time::{MissedTickBehavior, interval};

use crate::node::Node;
use crate::owner::{Msg, Source};

pub(crate) use handover::{forward_release, on_ask};

/// Wait after proof that an old owner's process is gone.
const GRACE: Duration = Duration::from_secs(1);
/// First time between two questions for a hand-over.
const ASK_EVERY: Duration = Duration::from_millis(500);
/// Time between two looks at lease and ownership.
const TICK: Duration = Duration::from_millis(100);

/// View and ownership under one lock, since ownership decides by the view.
#[derive(Debug)]
pub(crate) struct Fleet {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    view: View,
    ownership: Ownership,
    /// States that old owners sent, until the target starts.
    handed: HashMap<Name, sched::Handover>,
    /// Targets that this daemon grants to, as the scheduler knows them.
    owned: HashMap<Name, (Name, TargetSpec)>,
    /// VMs outside the regular links that are asked for hand-overs.
    asked: HashMap<Name, Duration>,
    lease: Lease,
}

impl Fleet {
    pub(crate) fn new(settings: &Settings, incarnation: Incarnation, single: bool) -> Self {
        let timing = &settings.timing;
        let cfg = Config {
            max_list_lag: timing.list_lag + timing.silent,
            lease: timing.lease,
            hold_down: timing.hold_down(),
            peer_timeout: timing.silent,
            grace: GRACE,
            ask_interval: ASK_EVERY,
            standalone: single,
        };
        let view = View::new(cfg, settings.vm.clone(), incarnation);
        Fleet {
            state: Mutex::new(State {
                view,
                ownership: Ownership::default(),
                handed: HashMap::new(),
                owned: HashMap::new(),
                asked: HashMap::new(),
                lease: Lease::Held,
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads from the view.
    pub(crate) fn view<T>(&self, f: impl FnOnce(&View) -> T) -> T {
        f(&self.lock().view)
    }

    /// Takes a VM list. Returns whether it was fresher.
    pub(crate) fn on_list(&self, now: Duration, list: VmList, age: Duration) -> bool {
        self.lock().view.on_list(now, list, age)
    }

    /// Takes a VM list that a peer relayed. Returns whether it was fresher.
    pub(crate) fn on_list_push(&self, now: Duration, list: VmList, age: Duration) -> bool {
        self.lock().view.on_list_push(now, list, age)
    }

    pub(crate) fn on_hello(
        &self,
        vm: &Name,
        incarnation: Incarnation,
        from: std::net::IpAddr,
    ) -> HelloOutcome {
        self.lock().view.on_hello(vm, incarnation, from)
    }

    pub(crate) fn on_heartbeat(&self, now: Duration, vm: &Name, beat: HeartbeatInfo) {
        self.lock().view.on_heartbeat(now, vm, beat);
    }

    /// Notes a refused connection. Returns the incarnation that is gone, if it was known.
    pub(crate) fn on_refused(&self, now: Duration, vm: &Name) -> Option<Incarnation> {
        let mut state = self.lock();
        state.view.on_refused(now, vm);
        state.view.incarnation_of(vm)
    }

    pub(crate) fn on_silent(&self, now: Duration, vm: &Name) {
        self.lock().view.on_link_timeout(now, vm);
    }

    pub(crate) fn on_pause(&self, now: Duration, length: Duration) {
        self.lock().view.on_pause(now, length);
    }

    pub(crate) fn set_ready(&self, ready: bool) {
        self.lock().view.set_ready(ready);
    }

    /// Whether this daemon reads from the platform or leaves that to its zone's relays.
    pub(crate) fn reads_platform(&self, now: Duration) -> bool {
        member::relay_role(now, &self.lock().view) != RelayRole::Follower
    }

    /// What may be granted to a target now.
    pub(crate) fn grants(&self, now: Duration, target: &str) -> GrantLevel {
        let state = self.lock();
        if state.view.config().standalone {
            return GrantLevel::Full;
        }
        state.ownership.grants(now, &state.view, target)
    }

    /// Names of the targets that this daemon grants to.
    pub(crate) fn owned(&self) -> Vec<Name> {
        self.lock().owned.keys().cloned().collect()
    }

    /// Owners of the targets of each pool by the list.
    pub(crate) fn owners(&self, sheet: &Sheet) -> HashMap<Name, Vec<Name>> {
        let state = self.lock();
        let mut pools: HashMap<Name, Vec<Name>> = HashMap::new();
        for (name, target) in &sheet.targets {
            if !sheet.takes_new_work(name) {
                continue;
            }
            let owner = if state.view.config().standalone {
                Some(state.view.name())
            } else {
                state.view.owner(name, &target.zone)
            };
            let vms = pools.entry(target.pool.clone()).or_default();
            if let Some(owner) = owner
                && !vms.iter().any(|vm| **vm == *owner)
            {
                vms.push(Name::from(owner));
            }
        }
        pools
    }

    /// Peers to be linked, with those that are asked for hand-overs.
    pub(crate) fn links(&self, now: Duration) -> Vec<(Name, std::net::SocketAddr)> {
        let mut state = self.lock();
        let hold_down = state.view.config().hold_down;
        state.asked.retain(|_, at| now < *at + hold_down);
        let mut names: Vec<Name> = state.view.peers().to_vec();
        names.extend(state.asked.keys().cloned());
        names.sort_unstable();
        names.dedup();
        names
            .into_iter()
            .filter_map(|name| Some((name.clone(), state.view.address(&name)?)))
            .collect()
    }
}

/// Takes a new sheet or list into account.
pub(crate) fn update(node: &Arc<Node>) {
    let sheet = node.sheet();
    let targets: Vec<_> = sheet
        .targets
        .iter()
        .map(|(name, target)| (name.clone(), target.zone.clone()))
        .collect();
    let now = node.now();
    let mut state = node.fleet.lock();
    if state.view.config().standalone {
        for name in sheet.targets.keys() {
            start(node, &mut state, &sheet, name, member::StartState::Fresh);
        }
    } else {
        let State {
            view, ownership, ..
        } = &mut *state;
        let actions = ownership.update(now, view, targets);
        carry_out(node, &mut state, &sheet, actions);
    }
    respecify(node, &mut state, &sheet);
}

/// Looks at lease and ownership again and again.
pub(crate) async fn run(node: Arc<Node>) {
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let sheet = node.sheet();
        let now = node.now();
        let mut state = node.fleet.lock();
        if state.view.config().standalone {
            if state.view.is_fresh() {
                node.holder.resume();
            }
            continue;
        }
        let actions = {
            let State {
                view, ownership, ..
            } = &mut *state;
            ownership.tick(now, view)
        };
        carry_out(&node, &mut state, &sheet, actions);
        let lease = state.view.lease(now);
        if lease != state.lease {
            state.lease = lease;
            log::info!("owner: the lease is {}", lease_label(lease));
            node.owner.send(Msg::InDoubt(lease != Lease::Held));
        }
        let (fresh, leaving) = (state.view.is_fresh(), state.view.is_leaving());
        let generation = state.view.generation();
        drop(state);
        let timing = &node.settings.timing;
        let margin = timing
            .hold_down()
            .saturating_sub(timing.list_lag + timing.lease);
        node.holder
            .set_lease(now, share_lease(lease), generation, margin);
        if fresh {
            node.holder.resume();
        }
        if leaving {
            node.leave();
        }
        node.sync_links();
        node.update_readiness();
    }
}

pub(crate) fn lease_label(lease: Lease) -> &'static str {
    match lease {
        Lease::Held => "held",
        Lease::InDoubt => "in doubt",
        Lease::Expired => "expired",
    }
}

fn share_lease(lease: Lease) -> LeaseState {
    match lease {
        Lease::Held => LeaseState::Held,
        Lease::InDoubt => LeaseState::InDoubt,
        Lease::Expired => LeaseState::Expired,
    }
}

/// Carries out what the ownership rules decided.
fn carry_out(node: &Arc<Node>, state: &mut State, sheet: &Sheet, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::AskHandover {
                target,
                from,
                generation,
            } => {
                if !state.view.peers().contains(&from) {
                    state.asked.insert(from.clone(), node.now());
                }
                tokio::spawn(handover::ask(Arc::clone(node), target, from, generation));
            }
            Action::Start {
                target,
                state: source,
            } => start(node, state, sheet, &target, source),
            Action::GiveUp { target, to } => {
                let to = to.as_deref().unwrap_or("no VM");
                log::info!("owner: target {target} given up, owner by the list is {to}");
                state.owned.remove(&target);
                let (reply, _) = tokio::sync::oneshot::channel();
                node.owner.send(Msg::GiveUp { target, reply });
            }
        }
    }
}

fn start(
    node: &Arc<Node>,
    state: &mut State,
    sheet: &Sheet,
    name: &Name,
    source: member::StartState,
) {
    let Some(target) = sheet.targets.get(name) else {
        return;
    };
    if state.owned.contains_key(name) {
        return;
    }
    let spec = spec(sheet, name, target);
    let owned = (target.pool.clone(), spec.clone());
    state.owned.insert(name.clone(), owned);
    let source = match (source, state.handed.remove(name)) {
        (member::StartState::HandedOver, Some(handover)) => Source::Handed(handover),
        (member::StartState::Fresh, _) => Source::Fresh,
        _ => Source::AssumeFull,
    };
    log::info!("owner: target {name} is owned here, {}", source.label());
    node.owner.send(Msg::Own {
        pool: target.pool.clone(),
        spec,
        source,
    });
}

/// Passes changed specifications of owned targets to the scheduler.
fn respecify(node: &Arc<Node>, state: &mut State, sheet: &Sheet) {
    let mut gone = Vec::new();
    for (name, (pool, known)) in &mut state.owned {
        let Some(target) = sheet.targets.get(name) else {
            gone.push(name.clone());
            continue;
        };
        let spec = spec(sheet, name, target);
        if spec != *known {
            known.clone_from(&spec);
            node.owner.send(Msg::Own {
                pool: pool.clone(),
                spec,
                source: Source::Changed,
            });
        }
    }
    for target in gone {
        state.owned.remove(&target);
        let (reply, _) = tokio::sync::oneshot::channel();
        node.owner.send(Msg::GiveUp { target, reply });
    }
}

fn spec(sheet: &Sheet, name: &Name, target: &sheet::Target) -> TargetSpec {
    TargetSpec {
        name: name.clone(),
        capacity: target.capacity,
        cold_limit: target.cold_limit,
        speed: target.speed,
        schedulable: sheet.takes_new_work(name),
    }
}
