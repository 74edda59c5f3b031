//! Lifecycle of one request at its entry: reservation, permit, dispatch, settlement.

use std::sync::Arc;
use std::time::Duration;

use metrics::{counter, histogram};
use sched::{RunEnd, RunReport};
use sheet::{Policy, PoolKind};

use super::admit::Job;
use super::baseline;
use super::dispatch::{self, NotSent, Sent};
use super::permit::{self, HeldPermit};
use super::relay::{Relayed, RunStats, cancel, relay};
use super::response_buffer::ResponseBuffer;
use super::suspect::notify_owners;
use super::table::RequestRecord;
use crate::node::Node;
use crate::outcome::{Failure, Outcome};
use crate::shares;

/// Runs a new request to its outcome. The run continues for a grace period after its caller left.
pub(super) async fn run(node: Arc<Node>, job: Job, record: Arc<RequestRecord>) {
    let started = node.now();
    let outcome = match node.settings.policy {
        Policy::Scheduler => run_with_reservation(&node, &job, &record.buffer).await,
        Policy::Baseline => baseline::run(&node, &job, &record.buffer).await,
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
    record.buffer.finish(outcome);
    node.with_table(|table| table.finish(node.now(), &record));
}

/// Reserves the request's tokens, runs it, and returns the tokens that it did not use.
async fn run_with_reservation(node: &Arc<Node>, job: &Job, buffer: &ResponseBuffer) -> Outcome {
    let Some(workspace) = job.workspace() else {
        return run_with_permit(node, job, buffer).await.outcome;
    };
    let reservation = match shares::reserve(node, workspace, job.cost, job.deadline).await {
        Ok(reservation) => reservation,
        Err(refusal) => return Outcome::Refused(refusal),
    };
    let ended = run_with_permit(node, job, buffer).await;
    node.settle(reservation, ended.used);
    ended.outcome
}

/// Outcome of a request and the tokens that count against its workspace.
struct Finished {
    outcome: Outcome,
    used: u64,
}

/// Obtains permits until the request was sent with one or must not run any more.
async fn run_with_permit(node: &Arc<Node>, job: &Job, buffer: &ResponseBuffer) -> Finished {
    loop {
        let held = match permit::obtain(node, job, buffer).await {
            Ok(held) => held,
            Err(outcome) => return Finished { outcome, used: 0 },
        };
        let sent_at = node.now();
        match dispatch::send(node, job, &held, buffer).await {
            Ok(sent) => return relay_and_release(node, job, buffer, &held, sent_at, sent).await,
            Err(NotSent::Final(outcome)) => {
                held.release_without_report(node, job, RunEnd::Unused);
                return Finished { outcome, used: 0 };
            }
            Err(NotSent::InvalidPermit) => {
                held.release_without_report(node, job, RunEnd::Unused);
                count_retry("permit_void");
            }
            Err(NotSent::Connect(err)) => {
                log::warn!(
                    "entry: request {} can't connect to {}: {err:?}",
                    job.id.as_str(),
                    held.target
                );
                // Nothing was sent, so the request is not suspect; the target turns cold.
                held.release_without_report(node, job, RunEnd::Overloaded);
                count_retry("connect");
            }
        }
    }
}

fn count_retry(reason: &'static str) {
    counter!("primrosechute_retries_total", "reason" => reason).increment(1);
}

/// Relays the response to a request that was sent, and releases its permit.
async fn relay_and_release(
    node: &Arc<Node>,
    job: &Job,
    buffer: &ResponseBuffer,
    held: &HeldPermit,
    sent_at: Duration,
    sent: Sent,
) -> Finished {
    let failed = |end, outcome| {
        held.release_without_report(node, job, end);
        Finished {
            outcome,
            used: job.cost,
        }
    };
    let Some(address) = node.sheet().targets.get(&held.target).map(|t| t.address) else {
        return failed(RunEnd::Cancelled, Outcome::Unknown);
    };
    let response = match sent {
        Sent::Responded(response) => response,
        Sent::Broken => {
            // The request was sent and no response came, so it is not known whether it ran.
            log::warn!(
                "entry: request {} got no answer from {}",
                job.id.as_str(),
                held.target
            );
            let ended = failed(RunEnd::Reset, Outcome::Unknown);
            notify_owners(node, job, held).await;
            return ended;
        }
        Sent::TimedOut => {
            cancel(node, job, address).await;
            let outcome = match job.kind {
                PoolKind::Engine => Outcome::Failed(Failure::Timeout),
                // It is not known whether the call reached the service.
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
    let relayed = relay(node, job, address, response, buffer).await;
    let used = used_tokens(job, &relayed.stats);
    let report = run_report(&relayed, sent_at, overloaded);
    held.release(node, job, report);
    if report.end == RunEnd::Reset {
        notify_owners(node, job, held).await;
    }
    Finished {
        outcome: relayed.outcome,
        used,
    }
}

/// Tokens that a run used; its whole reservation if the target did not report them.
pub(super) fn used_tokens(job: &Job, stats: &RunStats) -> u64 {
    match job.kind {
        PoolKind::Service => job.cost,
        PoolKind::Engine => stats
            .usage
            .or((stats.events > 0).then_some(stats.events))
            .map_or(job.cost, |output| job.prompt_tokens + output),
    }
}

fn run_report(relayed: &Relayed, sent_at: Duration, overloaded: bool) -> RunReport {
    let end = match (&relayed.outcome, relayed.broken) {
        _ if overloaded => RunEnd::Overloaded,
        (_, true) => RunEnd::Reset,
        (Outcome::Served, _) => RunEnd::Complete,
        _ => RunEnd::Cancelled,
    };
    let stats = &relayed.stats;
    let gap = match (stats.first_event, stats.last_event) {
        (Some(first), Some(last)) if stats.events > 1 => {
            let gaps = u32::try_from(stats.events - 1).unwrap_or(u32::MAX);
            Some(last.saturating_sub(first) / gaps)
        }
        _ => None,
    };
    RunReport {
        end,
        tokens: stats.usage.unwrap_or(stats.events),
        first_token: stats.first_event.map(|first| first.saturating_sub(sent_at)),
        token_gap: gap,
    }
}
