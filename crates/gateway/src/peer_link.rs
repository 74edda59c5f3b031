//! Exchanges datagrams with other members: heartbeats, offers and decisions.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::time::Duration;

use admit::{FleetView, LimitReport, Name, Refusal, RunEnd, RunId, RunReport};
use log::{debug, info, warn};
use metrics::counter;
use prost::Message;
use tokio::time::sleep;

use crate::clock;
use crate::crash_check;
use crate::membership::Heartbeat;
use crate::message::{
    Body, Datagram, GrantMsg, HeartbeatMsg, LimitMsg, MAX_DATAGRAM, PartReportMsg, ReleaseMsg,
    RunMsg,
};
use crate::node::{InFlight, Node, Reply, StrayReply};
use crate::poison_parts::PartReport;
use crate::rate_link;
use crate::run_number::RunNumber;
use crate::sighting_codec;
use crate::target_notices;

/// Interval at which the samples of histograms are summed up. Until then each takes memory, whether
/// the metrics are fetched or not.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Shortest time between two heartbeats if more are requested. It bounds their traffic while targets
/// crash one after the other.
const MIN_HEARTBEAT_GAP: Duration = Duration::from_millis(100);
/// While offers are queued, the owner is polled at this interval in addition, for waits and
/// backoffs that have ended.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Sends heartbeats and does the periodic work that depends on them.
pub(crate) async fn run_heartbeats(node: Rc<Node>) {
    let mut last_sent = Duration::ZERO;
    let mut last_upkeep = clock::now();
    let mut has_joined = false;
    loop {
        let until_next = || {
            let now = clock::now();
            let interval = node.membership.borrow().heartbeat_interval(now);
            (interval, now.saturating_sub(last_sent))
        };
        let (interval, elapsed) = until_next();
        tokio::select! {
            () = sleep(interval.saturating_sub(elapsed)) => {}
            () = node.heartbeat_requested.notified() => {
                let (interval, elapsed) = until_next();
                let gap = interval.min(MIN_HEARTBEAT_GAP);
                sleep(gap.saturating_sub(elapsed)).await;
            }
        }
        send_heartbeat(&node);
        last_sent = clock::now();
        let now = clock::now();
        if !has_joined && node.membership.borrow().view(now) != FleetView::Joining {
            has_joined = true;
            let live = node.membership.borrow().live_count(now);
            info!("member: decides for targets that may be cold, {live} live members");
        }
        if node.catalog.borrow_mut().expire(now) {
            node.apply_catalog_to_owner();
        }
        node.drop_ended_entries(now);
        node.owner.borrow_mut().remove_stale(now);
        node.set_limit_shares(now);
        node.upstreams.close_expired(now);
        if now.saturating_sub(last_upkeep) >= METRICS_UPKEEP_INTERVAL {
            last_upkeep = now;
            if let Some(metrics) = &node.metrics {
                metrics.run_upkeep();
            }
        }
        node.poison_parts.borrow_mut().expire(now);
        node.target_pauses.borrow_mut().expire(now);
        node.grant_ledger.borrow_mut().expire(now);
        let mut limits = node.named_limits.borrow_mut();
        limits.remove_stale(now, |target| node.owner.borrow().has_target(target));
    }
}

/// Sends a heartbeat at once, for example when the process starts to stop.
pub(crate) fn send_heartbeat(node: &Node) {
    let now = clock::now();
    update_local_member(node, now);
    let (heartbeat, mut to) = node.membership.borrow_mut().next_heartbeat(now);
    let gossip_recipients = to.len();
    add_list_recipients(node, now, &node.runs.borrow(), &mut to);
    let reports = node.poison_parts.borrow().reports(now);
    node.poison_parts.borrow_mut().record_reports(now, &reports);
    let msg = heartbeat_msg(node, now, &heartbeat, &reports);
    for (at, ip) in to.into_iter().enumerate() {
        let mut msg = msg.clone();
        if at >= gossip_recipients {
            // Sent only for the list of runs. All entries send to an owner, which gets gossip in
            // the regular rotation.
            msg.others.clear();
            msg.sightings.clear();
            msg.poison_parts.clear();
        } else if node.membership.borrow().reads_packed(ip) {
            msg.pack_sightings(&heartbeat.sightings);
        }
        msg.runs = listed_runs(node, ip);
        node.send(ip, Body::Heartbeat(msg));
    }
}

/// Answers a process that knows no other member yet. It waits for this before it decides.
fn answer_newcomer(node: &Node, now: Duration, ip: Ipv4Addr) {
    update_local_member(node, now);
    let heartbeat = node.membership.borrow_mut().heartbeat(now);
    let reports = node.poison_parts.borrow().reports(now);
    let mut msg = heartbeat_msg(node, now, &heartbeat, &reports);
    if node.membership.borrow().reads_packed(ip) {
        msg.pack_sightings(&heartbeat.sightings);
    }
    msg.runs = listed_runs(node, ip);
    node.send(ip, Body::Heartbeat(msg));
}

fn update_local_member(node: &Node, now: Duration) {
    let (ready, stopping) = (node.is_ready(), node.is_stopping());
    node.membership.borrow_mut().update_local(|me| {
        me.ready = ready;
        me.stopping = stopping;
        me.store_steady = node.is_served_steadily(now);
    });
}

/// The message of a heartbeat, without runs.
fn heartbeat_msg(
    node: &Node,
    now: Duration,
    heartbeat: &Heartbeat,
    reports: &[PartReport],
) -> HeartbeatMsg {
    let mut msg = HeartbeatMsg::new(heartbeat);
    let limits = node.named_limits.borrow_mut().reports(now);
    msg.limits = limits.iter().map(LimitMsg::from).collect();
    msg.leaving = node.catalog.borrow().recently_leaving(now);
    msg.poison_parts = reports.iter().map(PartReportMsg::from).collect();
    msg
}

/// Runs in flight that a member granted.
fn listed_runs(node: &Node, owner: Ipv4Addr) -> Vec<RunMsg> {
    let runs = node.runs.borrow();
    let granted = runs.iter().filter(|(_, run)| run.owner == owner);
    let listed = granted.map(|(&number, run)| RunMsg {
        run: number.to_wire(),
        target: run.target,
    });
    listed.collect()
}

/// Adds the owners that get the list of runs to those that get the heartbeat anyway.
fn add_list_recipients(
    node: &Node,
    now: Duration,
    runs: &HashMap<RunNumber, InFlight>,
    to: &mut Vec<Ipv4Addr>,
) {
    let membership = node.membership.borrow();
    let incarnation_of = |owner| membership.incarnation_of(owner);
    let owners = runs.values().map(|run| run.owner);
    let in_flight = owners.filter(|&ip| ip != node.settings.ip).collect();
    let mut listing = node.run_listing.borrow_mut();
    for owner in listing.due(now, &in_flight, incarnation_of) {
        if !to.contains(&owner) {
            to.push(owner);
        }
    }
    for &ip in to.iter() {
        listing.record_sent(now, ip, incarnation_of(ip));
    }
}

/// Polls the owner while offers are queued.
pub(crate) async fn poll_owner(node: Rc<Node>) {
    loop {
        if node.owner.borrow().has_queued() {
            sleep(OWNER_POLL_INTERVAL).await;
            node.decide();
        } else {
            node.owner_changed.notified().await;
        }
    }
}

/// Receives datagrams.
pub(crate) async fn receive_datagrams(node: Rc<Node>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let (len, from) = match node.receive(&mut buf).await {
            Ok(received) => received,
            Err(err) => {
                debug!("peer: receive failed: {err}");
                tokio::task::yield_now().await;
                continue;
            }
        };
        let IpAddr::V4(from) = from.ip() else {
            continue;
        };
        match Datagram::decode(&buf[..len]) {
            Ok(Datagram {
                sender,
                body: Some(body),
            }) => handle_datagram(&node, sender, from, body),
            Ok(_) => {}
            Err(err) => {
                counter!("primrosechute_datagrams_malformed_total").increment(1);
                warn!("peer: a datagram from {from} can't be read: {err}");
            }
        }
    }
}

fn handle_datagram(node: &Node, sender: u64, from: Ipv4Addr, body: Body) {
    let now = clock::now();
    match body {
        Body::Heartbeat(msg) => handle_heartbeat(node, now, sender, &msg),
        Body::Offer(msg) => {
            node.record_entry(sender, from);
            let id = RunId {
                entry: sender,
                run: msg.run,
            };
            let elsewhere = msg.granted_elsewhere();
            node.offer(msg.into_offer(id), &elsewhere);
            if node.owner.borrow().is_queued(id) {
                node.send(from, Body::Queued(id.run));
            }
        }
        Body::Queued(run) => deliver(node, from, run, Reply::Queued),
        Body::Grant(msg) => handle_grant(node, from, msg),
        Body::Refuse(msg) => {
            let reply = Reply::Refused {
                reason: Refusal::from_code(msg.reason),
                retry_after: Duration::from_millis(msg.retry_ms.into()),
                is_final: msg.is_final,
            };
            deliver(node, from, msg.run, reply);
        }
        Body::Release(msg) => handle_release(node, now, (sender, from), &msg),
        Body::Start(msg) => {
            let id = RunId {
                entry: sender,
                run: msg.run,
            };
            node.owner.borrow_mut().start(now, id, &msg.to_report());
        }
        Body::LeaseRequest(msg) => rate_link::handle_request(node, now, (sender, from), msg),
        Body::LeaseReply(msg) => rate_link::handle_reply(node, now, from, msg),
        Body::Withdraw(run) => {
            let id = RunId { entry: sender, run };
            node.owner.borrow_mut().withdraw(now, id);
            node.decide();
        }
    }
}

fn handle_heartbeat(node: &Node, now: Duration, sender: u64, msg: &HeartbeatMsg) {
    let Some(mut heartbeat) = msg.to_heartbeat() else {
        return;
    };
    unpack_sightings(node, &mut heartbeat, &msg.packed_sightings);
    node.record_entry(sender, heartbeat.from.ip);
    let is_new = node
        .membership
        .borrow_mut()
        .receive_heartbeat(now, &heartbeat);
    if is_new {
        info!(
            "member: discovered {}, incarnation {sender:016x}",
            heartbeat.from.ip
        );
        // Frees what the process that it replaces has held here.
        node.drop_ended_entries(now);
        if heartbeat.is_lone() {
            answer_newcomer(node, now, heartbeat.from.ip);
        }
        if node.membership.borrow().view(now) == FleetView::Joining {
            // Others have to know this process as well before it decides.
            node.heartbeat_requested.notify_one();
        }
    }
    let reports: Vec<PartReport> = msg.poison_parts.iter().map(PartReport::from).collect();
    let refused = node.poison_parts.borrow_mut().merge(now, &reports);
    crash_check::announce_refused(node, &refused);
    let limits: Vec<LimitReport> = msg.limits.iter().map(LimitReport::from).collect();
    target_notices::merge_limits(node, &limits);
    target_notices::merge_leaving(node, &msg.leaving);
    let runs: Vec<(u64, u64)> = msg.runs.iter().map(|run| (run.run, run.target)).collect();
    node.owner.borrow_mut().sync_runs(now, sender, &runs);
    node.decide();
    let (newest, own) = {
        let membership = node.membership.borrow();
        (membership.newest_position(now), membership.local().position)
    };
    if newest > own {
        node.relist_requested.notify_one();
    }
}

/// Adds packed sightings to a heartbeat. The rest of the heartbeat is used if they are malformed.
fn unpack_sightings(node: &Node, heartbeat: &mut Heartbeat, packed: &[u8]) {
    let membership = node.membership.borrow();
    if let Some(sightings) = sighting_codec::decode(packed, |ip| membership.known_seq(ip)) {
        heartbeat.sightings.extend(sightings);
    } else {
        counter!("primrosechute_datagrams_malformed_total").increment(1);
        let from = heartbeat.from.ip;
        warn!("peer: sightings from {from} can't be read and are ignored");
    }
}

/// Delivers a reply that takes no slot at the owner. One that is meant for no request is dropped.
fn deliver(node: &Node, from: Ipv4Addr, run: u64, reply: Reply) {
    if let Err(stray) = node.deliver(RunNumber::from_wire(run), from, reply) {
        count_stray(stray);
    }
}

fn count_stray(stray: StrayReply) {
    counter!("primrosechute_stray_replies_total", "reason" => stray.label()).increment(1);
}

/// Delivers a grant. If it is meant for no request, it is returned; otherwise its slot would stay
/// taken.
fn handle_grant(node: &Node, from: Ipv4Addr, msg: GrantMsg) {
    let run = RunNumber::from_wire(msg.run);
    let held = node.runs.borrow().get(&run).map(|run| run.owner);
    if held == Some(from) {
        return;
    }
    let granted = Reply::Granted {
        from,
        target: Name::from(msg.target),
        has_met_limit: msg.has_met_limit,
    };
    let Err(stray) = node.deliver(run, from, granted) else {
        return;
    };
    count_stray(stray);
    if stray == StrayReply::OtherProcess {
        info!("peer: a grant of {from} is for a process that ran here before; it is returned");
    }
    // The run may be in flight with a permit of another owner, so it stays in the list of runs.
    let unused = ReleaseMsg::new(run, &RunReport::of(RunEnd::Unused));
    node.send_end(from, Body::Release(unused));
}

/// Ends a run of the sender. If another process at its address chose the run, that one has ended.
fn handle_release(node: &Node, now: Duration, (sender, from): (u64, Ipv4Addr), msg: &ReleaseMsg) {
    let run = RunNumber::from_wire(msg.run);
    if run.is_of(sender) || !node.drop_replaced_entry(from, run) {
        let id = RunId {
            entry: sender,
            run: msg.run,
        };
        node.owner.borrow_mut().release(now, id, &msg.to_report());
    }
    node.decide();
}
