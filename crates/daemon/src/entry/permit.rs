//! Obtains permits from target owners.

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use sched::{PermitId, RunEnd, RunReport};
use sheet::{Name, Sheet};
use tokio::sync::oneshot;
use wire::{Body, Offer, Release, Verdict, Withdraw};

use super::admit::Job;
use super::response_buffer::ResponseBuffer;
use crate::node::Node;
use crate::outcome::{Outcome, Refusal, shed_reason};
use crate::owner::{micros, run_end_code};

/// Time for which a run continues after its last caller left, so that the caller can reconnect.
pub(super) const CALLER_GRACE: Duration = Duration::from_secs(2);

/// Delay before the owners are tried again after none could be reached.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A permit that this entry holds. It must be released exactly once.
#[derive(Clone, Debug)]
pub(super) struct HeldPermit {
    pub(super) owner: Name,
    pub(super) owner_incarnation: u64,
    pub(super) permit: PermitId,
    pub(super) target: Name,
    /// Time after which the request must not be sent.
    pub(super) expires: Duration,
    /// Number of pauses of this process when the permit was requested. A later pause makes it
    /// invalid.
    pub(super) pauses: u64,
}

/// Why an owner granted no permit.
enum NoPermit {
    /// The owner shed the request.
    Shed(sched::ShedReason),
    /// The owner no longer owns a target of the pool, or can't be reached.
    OwnerUnavailable,
    /// The request must not run any more and has this outcome.
    Final(Outcome),
}

/// Waits for a permit. Each owner that may have capacity is tried before the request is shed.
pub(super) async fn obtain(
    node: &Arc<Node>,
    job: &Job,
    buffer: &ResponseBuffer,
) -> Result<HeldPermit, Outcome> {
    let mut tried: Vec<Name> = Vec::new();
    let mut shed = None;
    loop {
        ensure_may_run(node, job)?;
        let Some(owner) = node.pick_owner(&job.pool, job.tier, &tried, job.cost) else {
            if let Some(reason) = shed {
                return Err(Outcome::Shed {
                    tier: job.tier_name.clone(),
                    reason,
                });
            }
            tried.clear();
            tokio::time::sleep(OWNER_RETRY_DELAY).await;
            continue;
        };
        match offer_to(node, job, buffer, &owner).await {
            Ok(held) => return Ok(held),
            Err(NoPermit::Final(outcome)) => return Err(outcome),
            Err(NoPermit::Shed(sched::ShedReason::Poison)) => {
                return Err(Outcome::Refused(Refusal::Poison));
            }
            Err(NoPermit::Shed(reason)) => shed = Some(reason),
            Err(NoPermit::OwnerUnavailable) => {
                counter!("primrosechute_retries_total", "reason" => "owner_elsewhere").increment(1);
            }
        }
        tried.push(owner);
    }
}

/// Checks that the request may still run: its deadline is ahead and its key is valid.
pub(super) fn ensure_may_run(node: &Node, job: &Job) -> Result<(), Outcome> {
    if node.now() >= job.deadline {
        return Err(Outcome::Refused(Refusal::Expired));
    }
    if !key_is_valid(&node.sheet(), job) {
        return Err(Outcome::Refused(Refusal::Key));
    }
    Ok(())
}

/// Whether the key is valid in this sheet and still belongs to the same workspace.
fn key_is_valid(sheet: &Sheet, job: &Job) -> bool {
    job.caller.as_ref().is_none_or(|caller| {
        sheet
            .active_key(&caller.key)
            .is_some_and(|key| key.workspace == caller.workspace)
    })
}

/// Offers the request to one owner and waits for its decision.
async fn offer_to(
    node: &Arc<Node>,
    job: &Job,
    buffer: &ResponseBuffer,
    owner: &Name,
) -> Result<HeldPermit, NoPermit> {
    let sent = node.now();
    let pauses = node.pauses();
    let mut pending = PendingOffer::open(node, job, owner).ok_or(NoPermit::OwnerUnavailable)?;
    let mut sheets = node.sheet_changes();
    let deadline = tokio::time::sleep(job.deadline.saturating_sub(sent));
    let gone = caller_gone(buffer);
    tokio::pin!(deadline, gone);
    let reply = loop {
        tokio::select! {
            reply = &mut pending.rx => break reply,
            () = &mut deadline => return Err(NoPermit::Final(Outcome::Refused(Refusal::Expired))),
            () = &mut gone => return Err(NoPermit::Final(Outcome::Refused(Refusal::Cancelled))),
            _ = sheets.changed() => {
                if !key_is_valid(&node.sheet(), job) {
                    return Err(NoPermit::Final(Outcome::Refused(Refusal::Key)));
                }
            }
        }
    };
    pending.replied = true;
    match reply.ok().and_then(verdict) {
        Some(Verdict::Grant(grant)) => Ok(HeldPermit {
            owner: owner.clone(),
            owner_incarnation: grant.owner,
            permit: PermitId(grant.permit),
            target: Name::from(grant.target),
            // Counted from the offer, so that a late reply can't extend the permit.
            expires: sent + Duration::from_micros(grant.expires_us),
            pauses,
        }),
        Some(Verdict::Shed(shed)) => Err(NoPermit::Shed(shed_reason(&shed.reason))),
        Some(Verdict::NotOwner(_)) | None => Err(NoPermit::OwnerUnavailable),
    }
}

/// Waits until the response has had no reader for `CALLER_GRACE`.
pub(super) async fn caller_gone(buffer: &ResponseBuffer) {
    loop {
        buffer.wait_for_no_readers().await;
        if tokio::time::timeout(CALLER_GRACE, buffer.wait_for_reader())
            .await
            .is_err()
        {
            return;
        }
    }
}

/// An offer that waits for its decision. Dropping it withdraws the offer, or returns the permit if
/// one was granted in the meantime.
struct PendingOffer<'a> {
    node: &'a Arc<Node>,
    owner: &'a Name,
    id: Name,
    pool: &'a Name,
    rx: oneshot::Receiver<Body>,
    replied: bool,
}

impl<'a> PendingOffer<'a> {
    fn open(node: &'a Arc<Node>, job: &'a Job, owner: &'a Name) -> Option<Self> {
        let now = node.now();
        let offer = Offer {
            id: job.id.as_str().to_string(),
            pool: job.pool.to_string(),
            tier: u32::from(job.tier),
            workspace: job
                .workspace()
                .map_or_else(String::new, ToString::to_string),
            cost: job.cost,
            prompt: job.prompt_tokens,
            prefix: job.prefix_hash,
            deadline_us: micros(job.deadline.saturating_sub(now)),
            hard_deadline_us: micros(job.hard_deadline.saturating_sub(now)),
            fingerprint: job.fingerprints.exact,
            coarse_fingerprint: Some(job.fingerprints.coarse),
        };
        let rx = if *owner == node.settings.vm {
            node.offer(offer, node.incarnation)
        } else {
            node.peers.start_call(owner, Body::Offer(offer)).ok()?
        };
        Some(PendingOffer {
            node,
            owner,
            id: job.id.name(),
            pool: &job.pool,
            rx,
            replied: false,
        })
    }
}

impl Drop for PendingOffer<'_> {
    fn drop(&mut self) {
        if self.replied {
            return;
        }
        self.rx.close();
        if let Ok(body) = self.rx.try_recv() {
            return_permit(self.node, self.owner, &body);
            return;
        }
        let withdraw = Withdraw {
            id: self.id.to_string(),
            pool: self.pool.to_string(),
        };
        send_to_owner(self.node, self.owner, Body::Withdraw(withdraw));
    }
}

fn verdict(body: Body) -> Option<Verdict> {
    match body {
        Body::OfferReply(reply) => reply.verdict,
        _ => None,
    }
}

/// Returns the permit in a reply that no request waits for any longer. No byte was sent with it.
pub(crate) fn return_permit(node: &Arc<Node>, owner: &Name, reply: &Body) {
    let Body::OfferReply(reply) = reply else {
        return;
    };
    let Some(Verdict::Grant(grant)) = &reply.verdict else {
        return;
    };
    let Some(pool) = node
        .sheet()
        .targets
        .get(&*grant.target)
        .map(|t| t.pool.clone())
    else {
        return;
    };
    counter!("primrosechute_permits_returned_total", "reason" => "nobody_waits").increment(1);
    let release = Release {
        pool: pool.to_string(),
        permit: grant.permit,
        end: run_end_code(RunEnd::Unused),
        tokens: 0,
        first_token_us: None,
        token_gap_us: None,
        id: String::new(),
        owner: grant.owner,
        target: grant.target.clone(),
    };
    send_to_owner(node, owner, Body::Release(release));
}

impl HeldPermit {
    /// Releases the permit with a report of the run.
    pub(super) fn release(&self, node: &Arc<Node>, job: &Job, report: RunReport) {
        let release = Release {
            pool: job.pool.to_string(),
            permit: self.permit.0,
            end: run_end_code(report.end),
            tokens: report.tokens,
            first_token_us: report.first_token.map(micros),
            token_gap_us: report.token_gap.map(micros),
            id: job.id.as_str().to_string(),
            owner: self.owner_incarnation,
            target: self.target.to_string(),
        };
        send_to_owner(node, &self.owner, Body::Release(release));
    }

    /// Releases the permit without measurements of a run.
    pub(super) fn release_without_report(&self, node: &Arc<Node>, job: &Job, end: RunEnd) {
        let report = RunReport {
            end,
            tokens: 0,
            first_token: None,
            token_gap: None,
        };
        self.release(node, job, report);
    }
}

/// Sends a message to the owner role of a VM, which may be this one.
fn send_to_owner(node: &Arc<Node>, vm: &Name, body: Body) {
    if *vm == node.settings.vm {
        node.on_message(&node.as_peer(), body);
    } else {
        // If the link is down, the owner reclaims the capacity without this message.
        node.peers.send(vm, body);
    }
}
