//! The view of the fleet and the ownership of targets: carries out the decisions of the membership
//! rules.

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
use crate::owner::{Msg, StateSource};

pub(crate) use handover::{forward_release, on_handover_ask};

/// Grace period after proof that an old owner's process is gone.
const GRACE: Duration = Duration::from_secs(1);
/// First interval between two requests for a handover.
const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of lease and ownership checks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// View and ownership under one lock, since ownership decisions depend on the view.
#[derive(Debug)]
pub(crate) struct Fleet {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    view: View,
    ownership: Ownership,
    /// State received from old owners, until the target is started here.
    handovers: HashMap<Name, sched::Handover>,
    /// Pool and specification of each owned target, as the scheduler knows them.
    owned: HashMap<Name, (Name, TargetSpec)>,
    /// VMs that are asked for handovers but are not regular peers, and when they were last asked.
    handover_sources: HashMap<Name, Duration>,
    lease: Lease,
}

impl Fleet {
    pub(crate) fn new(settings: &Settings, incarnation: Incarnation, standalone: bool) -> Self {
        let timing = &settings.timing;
        let cfg = Config {
            max_list_lag: timing.list_lag + timing.silent,
            lease: timing.lease,
            hold_down: timing.hold_down(),
            peer_timeout: timing.silent,
            grace: GRACE,
            ask_interval: ASK_INTERVAL,
            standalone,
        };
        let view = View::new(cfg, settings.vm.clone(), incarnation);
        Fleet {
            state: Mutex::new(State {
                view,
                ownership: Ownership::default(),
                handovers: HashMap::new(),
                owned: HashMap::new(),
                handover_sources: HashMap::new(),
                lease: Lease::Held,
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `f` with the view.
    pub(crate) fn with_view<T>(&self, f: impl FnOnce(&View) -> T) -> T {
        f(&self.lock().view)
    }

    /// Applies a VM list. Returns whether it was fresher.
    pub(crate) fn on_list(&self, now: Duration, list: VmList, age: Duration) -> bool {
        self.lock().view.on_list(now, list, age)
    }

    /// Applies a VM list that a peer relayed. Returns whether it was fresher.
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

    pub(crate) fn on_heartbeat(&self, now: Duration, vm: &Name, info: HeartbeatInfo) {
        self.lock().view.on_heartbeat(now, vm, info);
    }

    /// Records a refused connection. Returns the incarnation that is gone, if it was known.
    pub(crate) fn on_refused(&self, now: Duration, vm: &Name) -> Option<Incarnation> {
        let mut state = self.lock();
        state.view.on_refused(now, vm);
        state.view.incarnation_of(vm)
    }

    pub(crate) fn on_link_down(&self, now: Duration, vm: &Name) {
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
    pub(crate) fn grant_level(&self, now: Duration, target: &str) -> GrantLevel {
        let state = self.lock();
        if state.view.config().standalone {
            return GrantLevel::Full;
        }
        state.ownership.grants(now, &state.view, target)
    }

    /// Names of the targets that this daemon owns.
    pub(crate) fn owned(&self) -> Vec<Name> {
        self.lock().owned.keys().cloned().collect()
    }

    /// Owners of each pool's targets according to the VM list.
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

    /// Peers to dial, with those that are asked for handovers.
    pub(crate) fn peers_to_dial(&self, now: Duration) -> Vec<(Name, std::net::SocketAddr)> {
        let mut state = self.lock();
        let hold_down = state.view.config().hold_down;
        state.handover_sources.retain(|_, at| now < *at + hold_down);
        let mut names: Vec<Name> = state.view.peers().to_vec();
        names.extend(state.handover_sources.keys().cloned());
        names.sort_unstable();
        names.dedup();
        names
            .into_iter()
            .filter_map(|name| Some((name.clone(), state.view.address(&name)?)))
            .collect()
    }
}

/// Updates ownership and specifications of targets after a new sheet or VM list.
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
            start_target(node, &mut state, &sheet, name, member::StartState::Fresh);
        }
    } else {
        let State {
            view, ownership, ..
        } = &mut *state;
        let actions = ownership.update(now, view, targets);
        apply_actions(node, &mut state, &sheet, actions);
    }
    update_specs(node, &mut state, &sheet);
}

/// Periodically checks lease and ownership.
pub(crate) async fn run(node: Arc<Node>) {
    let mut tick = interval(TICK_INTERVAL);
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
        apply_actions(&node, &mut state, &sheet, actions);
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
            .set_lease(now, share_lease_state(lease), generation, margin);
        if fresh {
            node.holder.resume();
        }
        if leaving {
            node.mark_leaving();
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

fn share_lease_state(lease: Lease) -> LeaseState {
    match lease {
        Lease::Held => LeaseState::Held,
        Lease::InDoubt => LeaseState::InDoubt,
        Lease::Expired => LeaseState::Expired,
    }
}

/// Carries out the decisions of the ownership rules.
fn apply_actions(node: &Arc<Node>, state: &mut State, sheet: &Sheet, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::AskHandover {
                target,
                from,
                generation,
            } => {
                if !state.view.peers().contains(&from) {
                    state.handover_sources.insert(from.clone(), node.now());
                }
                tokio::spawn(handover::request(
                    Arc::clone(node),
                    target,
                    from,
                    generation,
                ));
            }
            Action::Start {
                target,
                state: source,
            } => start_target(node, state, sheet, &target, source),
            Action::GiveUp { target, to } => {
                let to = to.as_deref().unwrap_or("no VM");
                log::info!("owner: target {target} given up, its owner in the VM list is {to}");
                state.owned.remove(&target);
                let (reply, _) = tokio::sync::oneshot::channel();
                node.owner.send(Msg::GiveUp { target, reply });
            }
        }
    }
}

/// Starts an owned target, with the state that its old owner sent if there is one.
fn start_target(
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
    let spec = target_spec(sheet, name, target);
    let owned = (target.pool.clone(), spec.clone());
    state.owned.insert(name.clone(), owned);
    let source = match (source, state.handovers.remove(name)) {
        (member::StartState::HandedOver, Some(handover)) => StateSource::HandedOver(handover),
        (member::StartState::Fresh, _) => StateSource::Fresh,
        _ => StateSource::AssumeFull,
    };
    log::info!("owner: target {name} is owned here, {}", source.label());
    node.owner.send(Msg::SetTarget {
        pool: target.pool.clone(),
        spec,
        source,
    });
}

/// Passes changed specifications of owned targets to the scheduler, and gives up targets that are
/// no longer in the sheet.
fn update_specs(node: &Arc<Node>, state: &mut State, sheet: &Sheet) {
    let mut gone = Vec::new();
    for (name, (pool, known)) in &mut state.owned {
        let Some(target) = sheet.targets.get(name) else {
            gone.push(name.clone());
            continue;
        };
        let spec = target_spec(sheet, name, target);
        if spec != *known {
            known.clone_from(&spec);
            node.owner.send(Msg::SetTarget {
                pool: pool.clone(),
                spec,
                source: StateSource::Changed,
            });
        }
    }
    for target in gone {
        state.owned.remove(&target);
        let (reply, _) = tokio::sync::oneshot::channel();
        node.owner.send(Msg::GiveUp { target, reply });
    }
}

fn target_spec(sheet: &Sheet, name: &Name, target: &sheet::Target) -> TargetSpec {
    TargetSpec {
        name: name.clone(),
        capacity: target.capacity,
        cold_limit: target.cold_limit,
        speed: target.speed,
        schedulable: sheet.takes_new_work(name),
    }
}
