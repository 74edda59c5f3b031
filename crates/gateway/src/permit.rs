//! Asks owners for permits. A permit allows sending one request to one target.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use admit::{
    Fingerprints, Name, OpenReport, Refusal, RunEnd, RunReport, StartReport, Target, TargetLoad,
    TokenCounts,
};
use log::warn;
use metrics::counter;
use rand::seq::IteratorRandom;
use tokio::time::timeout;

use crate::clock;
use crate::message::{Body, GrantedElsewhereMsg, OfferMsg, millis};
use crate::node::{InFlight, Node, Reply};
use crate::run_number::RunNumber;

/// An unanswered offer is sent again after this time; replies take a few milliseconds.
const RESEND_INTERVAL: Duration = Duration::from_millis(40);
/// An owner that left this many offers unanswered is skipped.
const MAX_UNANSWERED_OFFERS: u32 = 3;
/// After this many unresponsive owners, a member decides itself, within its own share of the
/// limits. Many members that die at once still count as live for a while.
const MAX_SILENT_OWNERS: u32 = 2;
/// A queued offer is sent again after this time, to check that its owner is alive.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time after the longest wait within which an owner should have refused the offer.
const DECISION_MARGIN: Duration = Duration::from_millis(150);

/// Request for a permit, as it is offered to owners.
#[derive(Clone, Debug)]
pub(crate) struct PermitRequest {
    pub(crate) pool: Name,
    pub(crate) tier: u8,
    pub(crate) workspace: Option<Name>,
    pub(crate) token_counts: Option<TokenCounts>,
    pub(crate) expected_output: Option<u32>,
    pub(crate) session: u64,
    pub(crate) sends: u32,
    pub(crate) avoid: Vec<u64>,
    pub(crate) fingerprints: Fingerprints,
    /// Longest wait for a permit.
    pub(crate) max_wait: Duration,
    /// Time at which the response, or its first event, is late.
    pub(crate) due: Duration,
    /// Longest pause between events.
    pub(crate) max_pause: Option<Duration>,
    /// Time until the run must be over.
    pub(crate) time_left: Duration,
}

/// Permission to send one request to one target once. Dropping it ends the run at its owner.
pub(crate) struct Permit {
    node: Rc<Node>,
    owner: Ipv4Addr,
    run: RunNumber,
    pub(crate) target: Target,
    pub(crate) key: u64,
    /// Whether it was granted only after a wait for targets at the limits that they name.
    pub(crate) has_met_limit: bool,
    pub(crate) report: RunReport,
    granted_at: Duration,
}

impl Permit {
    /// Member that granted it.
    pub(crate) fn owner(&self) -> Ipv4Addr {
        self.owner
    }

    /// Tells the owner that the first event of the stream has arrived.
    pub(crate) fn report_start(&self, load: Option<TargetLoad>) {
        let report = StartReport {
            first_event: clock::now().saturating_sub(self.granted_at),
            load,
        };
        self.node.start_run(self.owner, self.run, &report);
    }

    pub(crate) fn end(mut self, end: RunEnd) {
        self.report.end = end;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.node.release(self.owner, self.run, &self.report);
    }
}

/// An offer that has not been decided; dropping it withdraws the offer.
struct PendingOffer<'a> {
    node: &'a Rc<Node>,
    run: RunNumber,
    current_owner: Option<Ipv4Addr>,
}

impl PendingOffer<'_> {
    /// Withdraws the offer from the member that was asked last.
    fn withdraw(&mut self) {
        let Some(current_owner) = self.current_owner.take() else {
            return;
        };
        if current_owner == self.node.settings.ip {
            let id = self.node.local_run_id(self.run);
            self.node.owner.borrow_mut().withdraw(clock::now(), id);
            self.node.decide();
        } else {
            let withdraw = Body::Withdraw(self.run.to_wire());
            self.node.send_end(current_owner, withdraw);
        }
    }
}

impl Drop for PendingOffer<'_> {
    fn drop(&mut self) {
        self.node.remove_pending(self.run);
        self.withdraw();
    }
}

/// Why no permit was granted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PermitRefused {
    pub(crate) reason: Refusal,
    pub(crate) retry_after: Duration,
    /// Member that refused.
    pub(crate) owner: Ipv4Addr,
    /// Whether no other owner would admit the request.
    pub(crate) is_final: bool,
}

/// Asks for a permit: first the owner of one shard, and then that of another one if the first has
/// no capacity.
///
/// # Errors
/// Returns why the request is refused and when to retry.
pub(crate) async fn acquire(
    node: &Rc<Node>,
    request: &PermitRequest,
) -> Result<Permit, PermitRefused> {
    let started_at = clock::now();
    let mut tried_shards = Vec::new();
    loop {
        let (shard, shards) = choose_shard(node, &request.pool, &tried_shards);
        tried_shards.push(shard);
        let waited = clock::now().saturating_sub(started_at);
        let refused = match ask_shard(node, request, (shard, shards), waited).await {
            Ok(permit) => return Ok(permit),
            Err(refused) => refused,
        };
        let try_other_shard = match refused.reason {
            _ if refused.is_final => false,
            Refusal::Rate | Refusal::Busy | Refusal::NoTarget | Refusal::TargetLimit => true,
            Refusal::RetryBudget | Refusal::Poison | Refusal::PoisonPart => false,
        };
        let is_wait_over = clock::now().saturating_sub(started_at) >= request.max_wait;
        let max_tried = usize::try_from(shards).unwrap_or(usize::MAX);
        if !try_other_shard || is_wait_over || tried_shards.len() >= max_tried.min(MAX_SHARDS_ASKED)
        {
            return Err(refused);
        }
    }
}

/// Asks the owners of one shard for a permit, in order, until one responds.
async fn ask_shard(
    node: &Rc<Node>,
    request: &PermitRequest,
    (shard, shards): (u32, u32),
    spent: Duration,
) -> Result<Permit, PermitRefused> {
    let started_at = clock::now().saturating_sub(spent);
    let run = node.new_run();
    let mut pending = PendingOffer {
        node,
        run,
        current_owner: None,
    };
    let mut skipped = Vec::new();
    let mut silent_owners = 0;
    let me = node.settings.ip;
    loop {
        let waited = clock::now().saturating_sub(started_at);
        let max_wait = request.max_wait.saturating_sub(waited);
        if waited > request.max_wait + DECISION_MARGIN && pending.current_owner == Some(me) {
            return Err(PermitRefused {
                reason: Refusal::Busy,
                retry_after: DECISION_MARGIN,
                owner: me,
                is_final: false,
            });
        }
        let now = clock::now();
        let owners = node.membership.borrow().owners(now, shard);
        let next = owners.into_iter().find(|ip| !skipped.contains(ip));
        let decide_locally = silent_owners >= MAX_SILENT_OWNERS || waited > request.max_wait;
        let owner = next.filter(|_| !decide_locally).unwrap_or(me);
        if pending.current_owner != Some(owner) {
            // The previous owner may still have it queued; its late replies are ignored.
            pending.withdraw();
        }
        let mut replies = node.register_pending(run, owner);
        pending.current_owner = Some(owner);
        let mut msg = offer_msg(node, request, run, (shard, shards), max_wait, waited);
        let report = report_grants(node, request, shards, owner, &mut msg);
        let Some(reply) = ask_owner(node, owner, &msg, &mut replies, max_wait).await else {
            if let (Some(workspace), Some(report)) = (&request.workspace, report) {
                node.grant_ledger.borrow_mut().undo(workspace, report);
            }
            node.membership.borrow_mut().suspect(clock::now(), owner);
            skipped.push(owner);
            silent_owners += 1;
            continue;
        };
        match reply {
            Reply::Queued => {}
            Reply::Refused {
                reason,
                retry_after,
                is_final,
            } => {
                pending.current_owner = None;
                return Err(PermitRefused {
                    reason,
                    retry_after,
                    owner,
                    is_final,
                });
            }
            Reply::Granted {
                from,
                target,
                has_met_limit,
            } => {
                pending.current_owner = None;
                let Some(mut permit) = accept_grant(node, request, (from, run), &target) else {
                    // The catalog of this member rules the target out, or the target has asked this
                    // member for a pause; the owner may not know that.
                    skipped.push(from);
                    if skipped.len() > MAX_STALE_GRANTS {
                        return Err(PermitRefused {
                            reason: Refusal::NoTarget,
                            retry_after: DECISION_MARGIN,
                            owner: from,
                            is_final: false,
                        });
                    }
                    continue;
                };
                permit.has_met_limit = has_met_limit;
                if shards == 1 {
                    record_grant(node, request, from);
                }
                return Ok(permit);
            }
        }
    }
}

/// If a target is granted that is closed or unknown here, another owner is asked, until more than
/// this many owners have been skipped.
const MAX_STALE_GRANTS: usize = 4;
/// Maximum number of shards whose owners are asked for one request. A refusal by the second one
/// costs another round trip; asking more would delay requests for which the whole pool has no
/// capacity.
const MAX_SHARDS_ASKED: usize = 2;

/// Maximum number of paused targets in an offer, of 8 bytes each.
const MAX_AVOIDED_PAUSES: usize = 256;

/// Sends an offer until the owner decides. Returns `None` if the owner doesn't respond.
async fn ask_owner(
    node: &Rc<Node>,
    owner: Ipv4Addr,
    msg: &OfferMsg,
    replies: &mut tokio::sync::mpsc::UnboundedReceiver<Reply>,
    max_wait: Duration,
) -> Option<Reply> {
    if owner == node.settings.ip {
        let run = RunNumber::from_wire(msg.run);
        let elsewhere = msg.granted_elsewhere();
        node.offer(msg.clone().into_offer(node.local_run_id(run)), &elsewhere);
        let reply = timeout(max_wait + DECISION_MARGIN, replies.recv()).await;
        return reply.ok().flatten();
    }
    let started_at = clock::now();
    let mut unanswered = 0;
    let mut reply_timeout = RESEND_INTERVAL;
    while unanswered < MAX_UNANSWERED_OFFERS {
        node.send(owner, Body::Offer(msg.clone()));
        match timeout(reply_timeout, replies.recv()).await {
            Ok(Some(Reply::Queued)) => {
                unanswered = 0;
                reply_timeout = LIVENESS_CHECK_INTERVAL;
                // Waits for the decision, and sends the offer again if there is none.
                match timeout(reply_timeout, replies.recv()).await {
                    Ok(Some(Reply::Queued)) | Err(_) => {}
                    Ok(reply) => return reply,
                }
                if clock::now().saturating_sub(started_at) > max_wait + DECISION_MARGIN {
                    return Some(Reply::Refused {
                        reason: Refusal::Busy,
                        retry_after: DECISION_MARGIN,
                        is_final: false,
                    });
                }
                reply_timeout = RESEND_INTERVAL;
            }
            Ok(reply) => return reply,
            Err(_) => unanswered += 1,
        }
    }
    None
}

/// Checks a grant against what this member knows of the target, right before the request is sent.
fn accept_grant(
    node: &Rc<Node>,
    request: &PermitRequest,
    (from, run): (Ipv4Addr, RunNumber),
    target: &str,
) -> Option<Permit> {
    let catalog = node.catalog.borrow();
    let pauses = node.target_pauses.borrow();
    let now = clock::now();
    let is_usable = |target: &&Target| {
        let is_of_pool = target.pool == request.pool;
        if !is_of_pool {
            counter!("primrosechute_grants_of_other_pools_total").increment(1);
            warn!(
                "peer: {from} granted {}, which is not of pool {}",
                target.id, request.pool
            );
        }
        is_of_pool && catalog.is_open(target) && !pauses.is_paused(now, admit::target_key(target))
    };
    let Some(target) = catalog.target(target).filter(is_usable) else {
        drop((catalog, pauses));
        node.release(from, run, &RunReport::of(RunEnd::Unused));
        return None;
    };
    let key = admit::target_key(target);
    let in_flight = InFlight {
        owner: from,
        target: key,
    };
    node.runs.borrow_mut().insert(run, in_flight);
    Some(Permit {
        node: Rc::clone(node),
        owner: from,
        run,
        target: target.clone(),
        key,
        has_met_limit: false,
        report: RunReport::of(RunEnd::Cancelled),
        granted_at: now,
    })
}

/// Chooses an untried shard at random, weighted by its open targets. Returns it with the number of
/// shards.
fn choose_shard(node: &Node, pool: &str, tried_shards: &[u32]) -> (u32, u32) {
    let catalog = node.catalog.borrow();
    let of_pool = || {
        let targets = catalog.targets().map(|(target, _)| target);
        targets.filter(|target| &*target.pool == pool)
    };
    let shards = catalog.shards(pool);
    if shards == 1 {
        return (0, 1);
    }
    let open = of_pool().filter(|target| catalog.is_open(target));
    let shard = open
        .map(|target| admit::shard_of(&target.id, shards))
        .filter(|shard| !tried_shards.contains(shard))
        .choose(&mut rand::rng());
    // If no target is open, any owner can refuse the request.
    let untried = || (0..shards).find(|shard| !tried_shards.contains(shard));
    (shard.or_else(untried).unwrap_or(0), shards)
}

/// Tells an owner what others granted. Only a rate with a single owner is given out by whichever owner is
/// asked; with several shards there are a holder and leases, and neither are grants recorded.
fn report_grants(
    node: &Node,
    request: &PermitRequest,
    shards: u32,
    owner: Ipv4Addr,
    msg: &mut OfferMsg,
) -> Option<OpenReport> {
    let workspace = request.workspace.as_ref().filter(|_| shards == 1)?;
    let mut ledger = node.grant_ledger.borrow_mut();
    let (elsewhere, report) = ledger.report(clock::now(), workspace, owner);
    msg.granted_elsewhere = elsewhere.iter().map(GrantedElsewhereMsg::new).collect();
    Some(report)
}

fn record_grant(node: &Node, request: &PermitRequest, owner: Ipv4Addr) {
    let Some(workspace) = &request.workspace else {
        return;
    };
    let catalog = node.catalog.borrow();
    let rate = catalog.workspace(workspace).and_then(|known| known.rate);
    if let Some(rate) = rate {
        let units = admit::rate_units(rate.unit, request.token_counts);
        let mut ledger = node.grant_ledger.borrow_mut();
        ledger.record(clock::now(), workspace, owner, units);
    }
}

fn offer_msg(
    node: &Node,
    request: &PermitRequest,
    run: RunNumber,
    (shard, shards): (u32, u32),
    max_wait: Duration,
    waited: Duration,
) -> OfferMsg {
    let token_counts = request.token_counts.unwrap_or_default();
    let mut avoid = request.avoid.clone();
    let paused = node.target_pauses.borrow().targets(clock::now());
    avoid.extend(paused.into_iter().take(MAX_AVOIDED_PAUSES));
    OfferMsg {
        run: run.to_wire(),
        pool: request.pool.to_string(),
        shard,
        shards,
        tier: request.tier.into(),
        workspace: request.workspace.as_deref().unwrap_or_default().to_owned(),
        prompt_tokens: token_counts.prompt_tokens,
        output_tokens: token_counts.output_tokens,
        counted: request.token_counts.is_some(),
        expected_output: request.expected_output,
        session: request.session,
        aim_ms: Some(millis(request.due.saturating_sub(clock::now()))),
        max_pause_ms: request.max_pause.map(millis),
        wait_ms: millis(max_wait),
        left_ms: millis(request.time_left.saturating_sub(waited)),
        sends: request.sends,
        avoid,
        exact_fingerprint: request.fingerprints.exact,
        coarse_fingerprint: request.fingerprints.coarse,
        zone: node.settings.zone.to_string(),
        granted_elsewhere: Vec::new(),
    }
}
