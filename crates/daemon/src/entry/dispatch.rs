//! Sends a request to its target, at most once.

use std::sync::Arc;
use std::time::Duration;

use ::http::{HeaderMap, HeaderName, HeaderValue, Request, Response, header};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use metrics::counter;
use sheet::PoolKind;

use super::admit::Job;
use super::permit::{HeldPermit, caller_gone, ensure_may_run};
use super::relay::{self, ResumeResult, RunState};
use super::response_buffer::ResponseBuffer;
use crate::node::Node;
use crate::outcome::{ID_HEADER, Outcome};
use crate::target::{ConnectError, Connection, NoResponse};

/// Header with the workspace for which a request runs, added for the target.
const WORKSPACE_HEADER: &str = "x-primrosechute-workspace";

/// Longest time that a connect to a target may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Request headers that are not forwarded: the caller's credentials and those that belong to one
/// connection.
const STRIPPED_HEADERS: [HeaderName; 13] = [
    header::AUTHORIZATION,
    header::PROXY_AUTHORIZATION,
    header::COOKIE,
    header::HOST,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::EXPECT,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("x-api-key"),
];

/// Why a permit was not used, so that no byte of the request was sent.
#[derive(Debug)]
pub(super) enum NotSent {
    /// The target can't be reached.
    Connect(ConnectError),
    /// The permit is no longer valid or its target takes no new work.
    InvalidPermit,
    /// The request must not run any more and has this outcome.
    Final(Outcome),
}

/// Result of sending a request, which may have run in each case.
#[derive(Debug)]
pub(super) enum Sent {
    /// The head of the response arrived.
    Responded(Response<Incoming>),
    /// The connection broke before the response began, or its head can't be used.
    Broken,
    /// The hard deadline passed.
    TimedOut,
    /// The caller has been gone for the grace period.
    CallerGone,
}

/// Connects to the permit's target, repeats all checks and sends the request.
///
/// # Errors
/// Fails only if no byte of the request was sent.
pub(super) async fn send(
    node: &Arc<Node>,
    job: &Job,
    held: &HeldPermit,
    buffer: &ResponseBuffer,
) -> Result<Sent, NotSent> {
    let sheet = node.sheet();
    let target = sheet
        .targets
        .get(&held.target)
        .ok_or(NotSent::InvalidPermit)?;
    let connected = Connection::open(target.address, CONNECT_TIMEOUT).await;
    let mut connection = connected.map_err(NotSent::Connect)?;
    let req = build_request(job, target.address).map_err(NotSent::Final)?;
    // The only place where a request is dispatched. Nothing may wait between this check and the
    // write.
    recheck(node, job, held)?;
    counter!("primrosechute_dispatched_total", "pool" => job.pool.to_string()).increment(1);
    let left = job.hard_deadline.saturating_sub(node.now());
    Ok(tokio::select! {
        response = connection.send(req) => match response {
            Ok(response) => Sent::Responded(response),
            Err(NoResponse) => resume_after_break(node, job, target.address).await,
        },
        () = tokio::time::sleep(left) => Sent::TimedOut,
        () = caller_gone(buffer) => Sent::CallerGone,
        sent = poll_engine(node, job, target.address) => sent,
    })
}

/// Tries to resume a request whose connection broke, since the engine may run it nevertheless.
async fn resume_after_break(node: &Arc<Node>, job: &Job, target: std::net::SocketAddr) -> Sent {
    if job.kind == PoolKind::Service {
        return Sent::Broken;
    }
    match relay::resume(node, job, target, 0).await {
        ResumeResult::Stream(response) => Sent::Responded(response),
        ResumeResult::Gone | ResumeResult::NoResponse => Sent::Broken,
    }
}

/// `unknown` responses of an engine that are tolerated before the request counts as lost. The
/// engine may be asked before a slow connection has delivered the request.
const MAX_UNKNOWN_RESPONSES: u32 = 3;

/// Polls the engine about a request without a response, since its connection may never deliver
/// one. Returns once the response is resumed on another connection or the engine does not know the
/// request; never for a plain service.
async fn poll_engine(node: &Arc<Node>, job: &Job, target: std::net::SocketAddr) -> Sent {
    if job.kind == PoolKind::Service {
        return std::future::pending().await;
    }
    let mut unknown = 0;
    loop {
        tokio::time::sleep(node.settings.timing.stream_silent).await;
        match relay::run_state(node, job, target).await {
            // Both kinds of responses are resumed as events; a plain one is rebuilt from them.
            Some(RunState::Running | RunState::Done) => {
                if let ResumeResult::Stream(response) = relay::resume(node, job, target, 0).await {
                    return Sent::Responded(response);
                }
            }
            Some(RunState::Unknown) if unknown == MAX_UNKNOWN_RESPONSES => return Sent::Broken,
            Some(RunState::Unknown) => unknown += 1,
            None => {}
        }
    }
}

/// Checks permit, deadline, key, zone and target state against the newest sheet that is known here.
fn recheck(node: &Node, job: &Job, held: &HeldPermit) -> Result<(), NotSent> {
    ensure_may_run(node, job).map_err(NotSent::Final)?;
    let valid = node.now() < held.expires
        && node.pauses() == held.pauses
        && node.sheet().takes_new_work(&held.target);
    if valid {
        Ok(())
    } else {
        Err(NotSent::InvalidPermit)
    }
}

fn build_request(
    job: &Job,
    address: std::net::SocketAddr,
) -> Result<Request<Full<Bytes>>, Outcome> {
    let malformed = |_| {
        Outcome::Refused(crate::outcome::Refusal::Malformed(
            "the path can't be passed on",
        ))
    };
    let mut req = Request::builder()
        .method(job.method.clone())
        .uri(job.path.as_str())
        .body(Full::new(job.body.clone()))
        .map_err(malformed)?;
    let headers = req.headers_mut();
    *headers = forwarded_headers(&job.headers);
    if let Ok(value) = HeaderValue::from_str(&address.to_string()) {
        headers.insert(header::HOST, value);
    }
    if let Ok(value) = HeaderValue::from_str(job.id.as_str()) {
        headers.insert(ID_HEADER, value);
    }
    if let Some(workspace) = job.workspace()
        && let Ok(value) = HeaderValue::from_str(workspace)
    {
        headers.insert(WORKSPACE_HEADER, value);
    }
    Ok(req)
}

/// The caller's headers that are forwarded to a target.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    headers
        .iter()
        .filter(|(name, _)| !STRIPPED_HEADERS.contains(name))
        .filter(|(name, _)| !name.as_str().starts_with("x-primrosechute-"))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
