//! Handovers of targets between owners.

use std::sync::Arc;
use std::time::Duration;

use member::HandoverResponse;
use sched::{InFlight, PermitId, TargetPhase};
use sheet::Name;
use wire::{Body, HandoverAnswer, HandoverAsk, HandoverRun};

use super::{State, apply_actions};
use crate::node::Node;
use crate::owner::{Msg, micros};
use crate::peer::Peer;

/// Forwards a release to the present owner of the target.
pub(crate) fn forward_release(node: &Arc<Node>, release: wire::Release) {
    let sheet = node.sheet();
    let Some(target) = sheet.targets.get(&*release.target) else {
        return;
    };
    let owner = node
        .fleet
        .with_view(|view| view.owner(&release.target, &target.zone).map(Name::from));
    if let Some(owner) = owner.filter(|owner| *owner != node.settings.vm) {
        // If the link is down, the new owner frees the capacity at the run's hard deadline.
        node.peers.send(&owner, Body::Release(release));
    }
}

/// Replies to a handover request. No reply is sent where it could wrongly shorten the requester's
/// wait.
pub(crate) async fn on_handover_ask(
    node: &Arc<Node>,
    peer: &Peer,
    ask: &HandoverAsk,
) -> Option<Body> {
    let target = Name::from(ask.target.as_str());
    let response = {
        let mut state = node.fleet.lock();
        let State {
            view, ownership, ..
        } = &mut *state;
        let from = (&peer.vm, peer.incarnation);
        ownership.on_handover_request(node.now(), view, &target, from, ask.list_generation)
    };
    let reply = |answer: HandoverAnswer| {
        Some(Body::Handover(wire::Handover {
            target: target.to_string(),
            answer: answer.into(),
            phase: wire::TargetPhase::Cold.into(),
            limit: 0,
            runs: Vec::new(),
        }))
    };
    match response {
        HandoverResponse::HandedOver => {
            node.fleet.lock().owned.remove(&target);
            log::info!("owner: target {target} handed over to {}", peer.vm);
            match give_up(node, &target).await {
                Some(handover) => Some(Body::Handover(handover_message(&handover))),
                // Handed over before and requested again, since the first reply was lost.
                None => reply(HandoverAnswer::HandedOver),
            }
        }
        HandoverResponse::Stopped => {
            node.fleet.lock().owned.remove(&target);
            give_up(node, &target).await;
            None
        }
        HandoverResponse::StillOwner => reply(HandoverAnswer::StillOwner),
        HandoverResponse::NeverOwned => reply(HandoverAnswer::NeverOwned),
        HandoverResponse::NotHeld => reply(HandoverAnswer::NotHeld),
        HandoverResponse::OnlyAskerOwned => reply(HandoverAnswer::OnlyAskerOwned),
        HandoverResponse::Wait => None,
    }
}

async fn give_up(node: &Arc<Node>, target: &Name) -> Option<sched::Handover> {
    let target = target.clone();
    node.owner
        .call(|reply| Msg::GiveUp { target, reply })
        .await
        .flatten()
}

/// Requests the handover of a target from a VM.
pub(super) async fn request(node: Arc<Node>, target: Name, from: Name, generation: u64) {
    let request = Body::HandoverAsk(HandoverAsk {
        target: target.to_string(),
        list_generation: generation,
    });
    let wait = node.settings.timing.silent;
    let Ok(Body::Handover(handover)) = node.peers.call(&from, request, wait).await else {
        return;
    };
    let sheet = node.sheet();
    let now = node.now();
    let mut state = node.fleet.lock();
    let answer = handover.answer();
    if answer == HandoverAnswer::HandedOver {
        state
            .handovers
            .insert(target.clone(), handover_from_message(&handover));
    }
    let State {
        view, ownership, ..
    } = &mut *state;
    let actions = match answer {
        HandoverAnswer::None => return,
        HandoverAnswer::HandedOver => ownership.on_handover(now, view, &target, true, generation),
        HandoverAnswer::StillOwner => ownership.on_handover(now, view, &target, false, generation),
        HandoverAnswer::NeverOwned => {
            ownership.on_never_owned(now, view, &target, &from, generation)
        }
        HandoverAnswer::NotHeld => ownership.on_not_held(now, view, &target, &from, generation),
        HandoverAnswer::OnlyAskerOwned => {
            ownership.on_only_asker_owned(now, view, &target, generation)
        }
    };
    apply_actions(&node, &mut state, &sheet, actions);
}

fn handover_message(handover: &sched::Handover) -> wire::Handover {
    let phase = match handover.phase {
        TargetPhase::Cold => wire::TargetPhase::Cold,
        TargetPhase::Warming => wire::TargetPhase::Warming,
        TargetPhase::Serving => wire::TargetPhase::Serving,
        TargetPhase::Draining => wire::TargetPhase::Draining,
        TargetPhase::Out => wire::TargetPhase::Out,
    };
    wire::Handover {
        target: handover.target.to_string(),
        answer: HandoverAnswer::HandedOver.into(),
        phase: phase.into(),
        limit: handover.limit,
        runs: handover
            .in_flight
            .iter()
            .map(|run| HandoverRun {
                id: run.request.to_string(),
                permit: run.permit.0,
                cost: run.cost,
                hard_deadline_us: micros(run.hard_deadline),
            })
            .collect(),
    }
}

fn handover_from_message(message: &wire::Handover) -> sched::Handover {
    let phase = match message.phase() {
        wire::TargetPhase::Unknown | wire::TargetPhase::Cold => TargetPhase::Cold,
        wire::TargetPhase::Warming => TargetPhase::Warming,
        wire::TargetPhase::Serving => TargetPhase::Serving,
        wire::TargetPhase::Draining => TargetPhase::Draining,
        wire::TargetPhase::Out => TargetPhase::Out,
    };
    sched::Handover {
        target: message.target.as_str().into(),
        phase,
        limit: message.limit,
        in_flight: message
            .runs
            .iter()
            .map(|run| InFlight {
                request: run.id.as_str().into(),
                permit: PermitId(run.permit),
                cost: run.cost,
                hard_deadline: Duration::from_micros(run.hard_deadline_us),
            })
            .collect(),
    }
}
