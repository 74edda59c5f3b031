//! The policy that the scheduler is compared with in measurements: a random target without a
//! permit, no tiers and no queue, an even part of the rate on each VM, and a retry on errors.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use metrics::counter;
use rand::seq::IndexedRandom;
use sched::{PermitId, ShedReason};
use sheet::{Name, PoolKind, Workspace};

use super::admit::Job;
use super::answer::Answer;
use super::dispatch::{self, NotSent, Sent};
use super::permit::Held;
use super::relay::{Seen, cancel, relay};
use super::run::used;
use crate::node::Node;
use crate::outcome::{Failure, Outcome, Refusal};

/// Times that a request is sent again after an error.
const MAX_RETRIES: u32 = 2;

/// Token buckets of this VM, one a workspace.
#[derive(Debug, Default)]
pub(crate) struct Buckets {
    buckets: Mutex<HashMap<Name, Bucket>>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    at: Duration,
}

impl Buckets {
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
        let (rate, burst) = (part(workspace.rate, vms), part(workspace.burst, vms));
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        let bucket = buckets.entry(name.clone()).or_insert(Bucket {
            level: burst,
            at: now,
        });
        let accrued = rate * now.saturating_sub(bucket.at).as_secs_f64();
        bucket.level = (bucket.level + accrued).min(burst);
        bucket.at = now;
        let cost = part(cost, 1);
        let enough = bucket.level >= cost;
        if enough {
            bucket.level -= cost;
        }
        enough
    }

    /// Returns tokens that a run did not use. The next `take` clips the level to the burst.
    fn put_back(&self, name: &Name, tokens: u64) {
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(bucket) = buckets.get_mut(name) {
            bucket.level += part(tokens, 1);
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts stay far below 2^53"
)]
fn part(whole: u64, parts: usize) -> f64 {
    whole as f64 / parts.max(1) as f64
}

/// Runs a request to its outcome.
pub(super) async fn run(node: &Arc<Node>, job: &Job, answer: &Answer) -> Outcome {
    let sheet = node.sheet();
    let limited = job
        .workspace()
        .and_then(|name| sheet.workspaces.get_key_value(name));
    let Some((name, workspace)) = limited else {
        return attempts(node, job, answer).await.0;
    };
    let vms = node.fleet.view(|view| view.list().map(|l| l.vms.len()));
    let vms = vms.unwrap_or(1);
    if !node
        .buckets
        .take(node.now(), name, workspace, vms, job.cost)
    {
        return Outcome::Refused(Refusal::Rate);
    }
    let (outcome, used) = attempts(node, job, answer).await;
    node.buckets.put_back(name, job.cost.saturating_sub(used));
    outcome
}

/// Sends a request until it succeeds or has no retries left. Returns the tokens that it used, too.
async fn attempts(node: &Arc<Node>, job: &Job, answer: &Answer) -> (Outcome, u64) {
    let mut retries = if may_retry(node, job) { MAX_RETRIES } else { 0 };
    loop {
        let ended = attempt(node, job, answer, retries > 0).await;
        if retries == 0 || !ended.is_error || answer.events() > 0 {
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

/// End of one attempt.
struct Ended {
    outcome: Outcome,
    used: u64,
    /// Whether a retry may help.
    is_error: bool,
}

async fn attempt(node: &Arc<Node>, job: &Job, answer: &Answer, retry: bool) -> Ended {
    let ended = |outcome, used, is_error| Ended {
        outcome,
        used,
        is_error,
    };
    let no_target = Outcome::Shed {
        tier: job.tier_name.clone(),
        reason: ShedReason::NoTarget,
    };
    let Some((held, address)) = pick(node, job) else {
        return ended(no_target, 0, false);
    };
    let sent = match dispatch::send(node, job, &held, answer).await {
        Ok(sent) => sent,
        Err(NotSent::Over(outcome)) => return ended(outcome, 0, false),
        Err(NotSent::Permit | NotSent::Connect(_)) => return ended(no_target, 0, true),
    };
    match sent {
        Sent::Answered(response) if retry && response.status().is_server_error() => {
            ended(Outcome::Failed(Failure::TargetError), 0, true)
        }
        Sent::Answered(response) => {
            let relayed = relay(node, job, address, response, answer).await;
            let used = used(job, &relayed.seen);
            ended(relayed.outcome, used, relayed.broken)
        }
        Sent::Broken => ended(Outcome::Unknown, used(job, &Seen::default()), true),
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

/// A random target of the pool that may get new work, in the form of a permit without an owner.
fn pick(node: &Node, job: &Job) -> Option<(Held, std::net::SocketAddr)> {
    let sheet = node.sheet();
    let targets: Vec<_> = sheet
        .targets_in_pool(&job.pool)
        .filter(|(name, _)| sheet.takes_new_work(name))
        .collect();
    let (name, target) = targets.choose(&mut rand::rng())?;
    let held = Held {
        owner: node.settings.vm.clone(),
        owner_incarnation: node.incarnation.0,
        permit: PermitId(0),
        target: Name::clone(name),
        expires: job.hard_deadline,
        pauses: node.pauses(),
    };
    Some((held, target.address))
}
