//! The life of one request at its entry: reservation, permit, dispatch, settlement.

use std::sync::Arc;
use std::time::Duration;

use metrics::{counter, histogram};
use sched::{RunEnd, RunReport};
use sheet::{Policy, PoolKind};

use super::admit::Job;
use super::answer::Answer;
use super::baseline;
use super::dispatch::{self, NotSent, Sent};
use super::permit::{self, Held};
use super::relay::{Relayed, Seen, cancel, relay};
use super::suspect::tell_owners;
use super::table::Record;
use crate::node::Node;
use crate::outcome::{Failure, Outcome};
use crate::shares;

/// Runs a new request to its outcome. It goes on when its caller leaves, for a grace time.
pub(super) async fn run(node: Arc<Node>, job: Job, record: Arc<Record>) {
    let started = node.now();
    let outcome = match node.settings.policy {
        Policy::Scheduler => reserved(&node, &job, &record.answer).await,
        Policy::Baseline => baseline::run(&node, &job, &record.answer).await,
    };
    let took = node.now().saturating_sub(started);
    counter!(
        "primrosechute_requests_total",
        "outcome" => outcome.label(),
        "reason" => outcome.reason(),
        "tier" => job.tier_name.to_string(),
    )
    .increment(1);
    histogram!("primrosechute_request_seconds", "outcome" => outcome.label())
        .record(took.as_secs_f64());
    log::debug!(
        "entry: request {} {} {}",
        job.id.as_str(),
        outcome.label(),
        outcome.reason()
    );
    record.answer.finish(outcome);
    node.with_table(|table| table.finish(node.now(), &record));
}

/// Reserves the request's tokens, runs it, and returns the tokens that it did not use.
async fn reserved(node: &Arc<Node>, job: &Job, answer: &Answer) -> Outcome {
    let Some(workspace) = job.workspace() else {
        return permitted(node, job, answer).await.outcome;
    };
    let reservation = match shares::reserve(node, workspace, job.cost, job.deadline).await {
        Ok(reservation) => reservation,
        Err(refusal) => return Outcome::Refused(refusal),
    };
    let ended = permitted(node, job, answer).await;
    node.settle(reservation, ended.used);
    ended.outcome
}

/// End of a request and the tokens that count against its workspace.
struct Ended {
    outcome: Outcome,
    used: u64,
}

/// Gets permits until the request was sent with one or must not run any more.
async fn permitted(node: &Arc<Node>, job: &Job, answer: &Answer) -> Ended {
    loop {
        let held = match permit::obtain(node, job, answer).await {
            Ok(held) => held,
            Err(outcome) => return Ended { outcome, used: 0 },
        };
        let sent_at = node.now();
        match dispatch::send(node, job, &held, answer).await {
            Ok(sent) => return finish(node, job, answer, &held, sent_at, sent).await,
            Err(NotSent::Over(outcome)) => {
                held.give_back(node, job, RunEnd::Unused);
                return Ended { outcome, used: 0 };
            }
            Err(NotSent::Permit) => {
                held.give_back(node, job, RunEnd::Unused);
                retry("permit_void");
            }
            Err(NotSent::Connect(err)) => {
                log::warn!(
                    "entry: request {} can't connect to {}: {err:?}",
                    job.id.as_str(),
                    held.target
                );
                // Nothing was sent, so the request is not suspect; the target turns cold.
                held.give_back(node, job, RunEnd::Overloaded);
                retry("connect");
            }
        }
    }
}

fn retry(reason: &'static str) {
    counter!("primrosechute_retries_total", "reason" => reason).increment(1);
}

/// Relays the answer of a request that was sent, and releases its permit.
async fn finish(
    node: &Arc<Node>,
    job: &Job,
    answer: &Answer,
    held: &Held,
    sent_at: Duration,
    sent: Sent,
) -> Ended {
    let failed = |end, outcome| {
        held.give_back(node, job, end);
        Ended {
            outcome,
            used: job.cost,
        }
    };
    let Some(address) = node.sheet().targets.get(&held.target).map(|t| t.address) else {
        return failed(RunEnd::Cancelled, Outcome::Unknown);
    };
    let response = match sent {
        Sent::Answered(response) => response,
        Sent::Broken => {
            // Something was sent and nothing came back: whether it ran is not known.
            log::warn!(
                "entry: request {} got no answer from {}",
                job.id.as_str(),
                held.target
            );
            let ended = failed(RunEnd::Reset, Outcome::Unknown);
            tell_owners(node, job, held).await;
            return ended;
        }
        Sent::TimedOut => {
            cancel(node, job, address).await;
            let outcome = match job.kind {
                PoolKind::Engine => Outcome::Failed(Failure::Timeout),
                // Nothing tells whether the call reached the service.
                PoolKind::Service => Outcome::Unknown,
            };
            return failed(RunEnd::Cancelled, outcome);
        }
        Sent::CallerGone => {
            cancel(node, job, address).await;
            return failed(RunEnd::Cancelled, Outcome::Failed(Failure::Cancelled));
        }
    };
    let overloaded = response.status() == ::http::StatusCode::SERVICE_UNAVAILABLE;
    let relayed = relay(node, job, address, response, answer).await;
    let used = used(job, &relayed.seen);
    let report = report(&relayed, sent_at, overloaded);
    held.release(node, job, report);
    if report.end == RunEnd::Reset {
        tell_owners(node, job, held).await;
    }
    Ended {
        outcome: relayed.outcome,
        used,
    }
}

/// Tokens that a run used.
pub(super) fn used(job: &Job, seen: &Seen) -> u64 {
    match job.kind {
        PoolKind::Service => job.cost,
        PoolKind::Engine => seen
            .usage
            .or((seen.events > 0).then_some(seen.events))
            .map_or(job.cost, |output| job.prompt + output),
    }
}

fn report(relayed: &Relayed, sent_at: Duration, overloaded: bool) -> RunReport {
    let end = match (&relayed.outcome, relayed.broken) {
        _ if overloaded => RunEnd::Overloaded,
        (_, true) => RunEnd::Reset,
        (Outcome::Served, _) => RunEnd::Complete,
        _ => RunEnd::Cancelled,
    };
    let seen = &relayed.seen;
    let gap = match (seen.first, seen.last) {
        (Some(first), Some(last)) if seen.events > 1 => {
            let gaps = u32::try_from(seen.events - 1).unwrap_or(u32::MAX);
            Some(last.saturating_sub(first) / gaps)
        }
        _ => None,
    };
    RunReport {
        end,
        tokens: seen.usage.unwrap_or(seen.events),
        first_token: seen.first.map(|first| first.saturating_sub(sent_at)),
        token_gap: gap,
    }
}
