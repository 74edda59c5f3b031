//! Baseline policy with which the scheduler is compared in measurements: a random target without a
//! permit, no tiers, no queue, an equal part of the rate on each VM, and retries on errors.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use metrics::counter;
use rand::seq::IndexedRandom;
use sched::{PermitId, ShedReason};
use sheet::{Name, PoolKind, Workspace};

use super::admit::Job;
use super::dispatch::{self, NotSent, Sent};
use super::permit::HeldPermit;
use super::relay::{RunStats, cancel, relay};
use super::response_buffer::ResponseBuffer;
use super::run::used_tokens;
use crate::node::Node;
use crate::outcome::{Failure, Outcome, Refusal};

/// Most retries of a request after errors.
const MAX_RETRIES: u32 = 2;

/// Token buckets of this VM, one per workspace.
#[derive(Debug, Default)]
pub(crate) struct TokenBuckets {
    buckets: Mutex<HashMap<Name, Bucket>>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    updated: Duration,
}

impl TokenBuckets {
    /// Takes tokens from the bucket of a workspace, which has `1 / vms` of its rate and burst.
    /// Returns false if it holds too few.
    fn take(
        &self,
        now: Duration,
        name: &Name,
        workspace: &Workspace,
        vms: usize,
        cost: u64,
    ) -> bool {
        let (rate, burst) = (
            fraction(workspace.rate, vms),
            fraction(workspace.burst, vms),
        );
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        let bucket = buckets.entry(name.clone()).or_insert(Bucket {
            level: burst,
            updated: now,
        });
        let accrued = rate * now.saturating_sub(bucket.updated).as_secs_f64();
        bucket.level = (bucket.level + accrued).min(burst);
        bucket.updated = now;
        let cost = fraction(cost, 1);
        let enough = bucket.level >= cost;
        if enough {
            bucket.level -= cost;
        }
        enough
    }

    /// Returns tokens that a run did not use. The next `take` clips the level to the burst.
    fn refund(&self, name: &Name, tokens: u64) {
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(bucket) = buckets.get_mut(name) {
            bucket.level += fraction(tokens, 1);
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts stay far below 2^53"
)]
fn fraction(whole: u64, parts: usize) -> f64 {
    whole as f64 / parts.max(1) as f64
}

/// Runs a request and returns its outcome.
pub(super) async fn run(node: &Arc<Node>, job: &Job, buffer: &ResponseBuffer) -> Outcome {
    let sheet = node.sheet();
    let limited = job
        .workspace()
        .and_then(|name| sheet.workspaces.get_key_value(name));
    let Some((name, workspace)) = limited else {
        return run_with_retries(node, job, buffer).await.0;
    };
    let vms = node
        .fleet
        .with_view(|view| view.list().map(|l| l.vms.len()));
    let vms = vms.unwrap_or(1);
    if !node
        .buckets
        .take(node.now(), name, workspace, vms, job.cost)
    {
        return Outcome::Refused(Refusal::Rate);
    }
    let (outcome, used) = run_with_retries(node, job, buffer).await;
    node.buckets.refund(name, job.cost.saturating_sub(used));
    outcome
}

/// Sends a request until it succeeds or has no retries left. Returns its outcome and the tokens
/// that it used.
async fn run_with_retries(node: &Arc<Node>, job: &Job, buffer: &ResponseBuffer) -> (Outcome, u64) {
    let mut retries = if may_retry(node, job) { MAX_RETRIES } else { 0 };
    loop {
        let ended = attempt(node, job, buffer, retries > 0).await;
        if retries == 0 || !ended.is_error || buffer.events() > 0 {
            return (ended.outcome, ended.used);
        }
        retries -= 1;
        counter!("primrosechute_retries_total", "reason" => "baseline").increment(1);
    }
}

/// Model calls are retried like idempotent ones, although they may have run.
fn may_retry(node: &Node, job: &Job) -> bool {
    let path = job.path.split('?').next().unwrap_or_default();
    let idempotent = node.sheet().route(path).is_some_and(|r| r.idempotent);
    idempotent || job.kind == PoolKind::Engine
}

/// Result of one attempt.
struct AttemptEnd {
    outcome: Outcome,
    used: u64,
    /// Whether a retry may help.
    is_error: bool,
}

async fn attempt(node: &Arc<Node>, job: &Job, buffer: &ResponseBuffer, retry: bool) -> AttemptEnd {
    let ended = |outcome, used, is_error| AttemptEnd {
        outcome,
        used,
        is_error,
    };
    let no_target = Outcome::Shed {
        tier: job.tier_name.clone(),
        reason: ShedReason::NoTarget,
    };
    let Some((held, address)) = pick_random_target(node, job) else {
        return ended(no_target, 0, false);
    };
    let sent = match dispatch::send(node, job, &held, buffer).await {
        Ok(sent) => sent,
        Err(NotSent::Final(outcome)) => return ended(outcome, 0, false),
        Err(NotSent::InvalidPermit | NotSent::Connect(_)) => return ended(no_target, 0, true),
    };
    match sent {
        Sent::Responded(response) if retry && response.status().is_server_error() => {
            ended(Outcome::Failed(Failure::TargetError), 0, true)
        }
        Sent::Responded(response) => {
            let relayed = relay(node, job, address, response, buffer).await;
            let used = used_tokens(job, &relayed.stats);
            ended(relayed.outcome, used, relayed.broken)
        }
        Sent::Broken => ended(
            Outcome::Unknown,
            used_tokens(job, &RunStats::default()),
            true,
        ),
        Sent::TimedOut => {
            cancel(node, job, address).await;
            ended(Outcome::Failed(Failure::Timeout), job.cost, false)
        }
        Sent::CallerGone => {
            cancel(node, job, address).await;
            ended(Outcome::Failed(Failure::Cancelled), job.cost, false)
        }
    }
}

/// A random target of the pool that takes new work, as a permit that no owner granted.
fn pick_random_target(node: &Node, job: &Job) -> Option<(HeldPermit, std::net::SocketAddr)> {
    let sheet = node.sheet();
    let targets: Vec<_> = sheet
        .targets_in_pool(&job.pool)
        .filter(|(name, _)| sheet.takes_new_work(name))
        .collect();
    let (name, target) = targets.choose(&mut rand::rng())?;
    let held = HeldPermit {
        owner: node.settings.vm.clone(),
        owner_incarnation: node.incarnation.0,
        permit: PermitId(0),
        target: Name::clone(name),
        expires: job.hard_deadline,
        pauses: node.pauses(),
    };
    Some((held, target.address))
}
