//! Exchanges requests and replies about the rates of workspaces with their holders.

use std::net::Ipv4Addr;
use std::time::Duration;

use admit::{LeaseEvent, LeaseReply, LeaseRequest};
use log::{debug, info, warn};
use metrics::counter;

use crate::message::{Body, LeaseReplyMsg, LeaseRequestMsg};
use crate::node::Node;

/// Sends the requests of the local owner to the holders, and reports what happened to its leases.
pub(crate) fn send_requests(node: &Node) {
    let (requests, events) = {
        let mut owner = node.owner.borrow_mut();
        (owner.take_lease_requests(), owner.take_lease_events())
    };
    for (holder, request) in requests {
        node.send(holder, Body::LeaseRequest((&request).into()));
    }
    for event in events {
        report(event);
    }
}

fn report(event: LeaseEvent) {
    match event {
        LeaseEvent::Leased => counter!("primrosechute_rate_leases_total").increment(1),
        LeaseEvent::Denied(offers) => {
            let offers = u64::try_from(offers).unwrap_or(u64::MAX);
            counter!("primrosechute_rate_denials_total").increment(offers);
        }
        LeaseEvent::Returned(tokens) => {
            counter!("primrosechute_rate_returned_tokens_total").increment(whole(tokens));
        }
        LeaseEvent::FellBack { workspace, holder } => {
            counter!("primrosechute_rate_fallbacks_total").increment(1);
            warn!(
                "peer: {holder}, which holds the rate of {workspace}, does not reply; using the own part of the rate"
            );
        }
        LeaseEvent::Restored { workspace, holder } => {
            info!("peer: {holder} leases tokens of {workspace} again");
        }
    }
}

/// A number of tokens, rounded down.
fn whole(tokens: f64) -> u64 {
    Duration::try_from_secs_f64(tokens).map_or(0, |time| time.as_secs())
}

/// Replies to a request of another owner. A sender that is not a member, as one of another fleet,
/// gets no reply.
pub(crate) fn handle_request(
    node: &Node,
    now: Duration,
    (sender, from): (u64, Ipv4Addr),
    msg: LeaseRequestMsg,
) {
    if node.membership.borrow().has_ended(now, from, sender) {
        return reject(from, "not_a_member");
    }
    node.refresh_limit_shares(now);
    let request = LeaseRequest::from(msg);
    let catalog = node.catalog.borrow();
    if catalog.workspace(&request.workspace).is_some() {
        node.find_rate_holder(now, &request.workspace);
    }
    let mut owner = node.owner.borrow_mut();
    match owner.lease_rate(now, &catalog, sender, &request) {
        Ok(reply) => node.send(from, Body::LeaseReply((&reply).into())),
        Err(rejection) => reject(from, rejection.label()),
    }
}

/// Applies the reply of a holder.
pub(crate) fn handle_reply(node: &Node, now: Duration, from: Ipv4Addr, msg: LeaseReplyMsg) {
    let reply = LeaseReply::from(msg);
    let is_ours = reply.owner == node.incarnation;
    if !is_ours || !node.owner.borrow_mut().apply_lease(now, from, &reply) {
        return reject(from, "unexpected_reply");
    }
    node.decide();
}

fn reject(from: Ipv4Addr, reason: &'static str) {
    counter!("primrosechute_rate_lease_messages_rejected_total", "reason" => reason).increment(1);
    debug!("peer: a message of {from} about a rate was rejected: {reason}");
}
