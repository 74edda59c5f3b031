//! Reads a target's response into the buffer from which callers read.

use std::sync::Arc;
use std::time::Duration;

use ::http::{HeaderMap, HeaderValue, Method, Response, header};
use bytes::{Bytes, BytesMut};
use gateway::Reservation;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use metrics::counter;
use sheet::PoolKind;
use tokio::time::timeout;

use super::admit::Job;
use super::permit::caller_gone;
use super::rebuild::rebuild;
use super::response_buffer::{Head, MAX_RESPONSE, ResponseBuffer, event_end, is_event};
use crate::node::Node;
use crate::outcome::{Failure, Outcome};
use crate::target::{ConnectError, Connection, ConnectionEnd, control_call, control_request};

/// Consecutive breaks of a stream without a new event, and attempts without a response to resume it
/// after one break, before it counts as incomplete.
const MAX_RESUMES: u32 = 5;

/// Measurements of a run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunStats {
    /// Events of the stream, or 0 for a plain response.
    pub(super) events: u64,
    /// Output tokens that the target reported, if it did.
    pub(super) usage: Option<u64>,
    pub(super) first_event: Option<Duration>,
    pub(super) last_event: Option<Duration>,
}

/// How reading a response ended.
#[derive(Debug)]
pub(super) struct Relayed {
    pub(super) outcome: Outcome,
    pub(super) stats: RunStats,
    /// Whether the connection broke before the response was complete.
    pub(super) broken: bool,
}

/// Why reading a stream from one connection ended.
enum ReadEnd {
    Done,
    Broken,
    /// Nothing arrived for `timing.stream_silent`: the connection is dead or the engine is slow.
    Silent,
    TooLarge,
}

/// State of a request, as its engine reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum RunState {
    Running,
    Done,
    Unknown,
}

/// Result of an attempt to resume a stream.
pub(super) enum ResumeResult {
    Stream(Response<Incoming>),
    /// The engine does not have the run.
    Gone,
    /// The engine does not respond.
    NoResponse,
}

/// Reads the response of a run until it is complete, the hard deadline passes or the caller is
/// gone.
pub(super) async fn relay(
    node: &Arc<Node>,
    job: &Job,
    target: std::net::SocketAddr,
    response: Response<Incoming>,
    buffer: &ResponseBuffer,
) -> Relayed {
    let mut stats = RunStats::default();
    let left = job.hard_deadline.saturating_sub(node.now());
    let outcome = tokio::select! {
        outcome = read_response(node, job, target, response, buffer, &mut stats) => outcome,
        () = tokio::time::sleep(left) => Err(Failure::Timeout),
        () = caller_gone(buffer) => Err(Failure::Cancelled),
    };
    if matches!(outcome, Err(Failure::Timeout | Failure::Cancelled)) {
        cancel(node, job, target).await;
    }
    let broken = matches!(outcome, Err(Failure::Incomplete));
    Relayed {
        outcome: outcome.map_or_else(Outcome::Failed, |()| Outcome::Served),
        stats,
        broken,
    }
}

async fn read_response(
    node: &Arc<Node>,
    job: &Job,
    target: std::net::SocketAddr,
    response: Response<Incoming>,
    buffer: &ResponseBuffer,
    stats: &mut RunStats,
) -> Result<(), Failure> {
    let (parts, body) = response.into_parts();
    let events = parts
        .headers
        .get(header::CONTENT_TYPE)
        .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
    let head = Head {
        status: parts.status,
        headers: returned_headers(&parts.headers),
        events,
    };
    let engine = job.kind == PoolKind::Engine;
    if events && (job.stream || !engine) {
        buffer.start(head);
        return read_events(node, job, target, body, buffer, stats).await;
    }
    let body = if events {
        body
    } else {
        let silent = node.settings.timing.stream_silent;
        let reserved = node.buffers.reserve();
        let end = parts.extensions.get::<ConnectionEnd>().cloned();
        match read_plain(body, end, silent, reserved).await {
            Ok(whole) => return finish_plain(head, &whole, buffer, stats),
            Err(Failure::Incomplete) if engine => resume_with_retries(node, job, target, 0)
                .await
                .ok_or(Failure::Incomplete)?,
            Err(failure) => return Err(failure),
        }
    };
    let event_buffer = ResponseBuffer::new(node.buffers.reserve());
    read_events(node, job, target, body, &event_buffer, stats).await?;
    let whole = rebuild(&event_buffer.bytes()).ok_or(Failure::Incomplete)?;
    let mut head = Head {
        events: false,
        ..head
    };
    let json = HeaderValue::from_static("application/json");
    head.headers.insert(header::CONTENT_TYPE, json);
    finish_plain(head, &whole, buffer, stats)
}

/// Reads a complete response before its head is published, so that an incomplete one is never
/// taken for a complete one.
async fn read_plain(
    mut body: Incoming,
    end: Option<ConnectionEnd>,
    silent: Duration,
    mut reserved: Reservation,
) -> Result<Bytes, Failure> {
    let mut whole = BytesMut::new();
    let incomplete = |_| Failure::Incomplete;
    while let Some(frame) = timeout(silent, body.frame()).await.map_err(incomplete)? {
        let frame = frame.map_err(|_| Failure::Incomplete)?;
        if let Some(data) = frame.data_ref() {
            if whole.len() + data.len() > MAX_RESPONSE || !reserved.grow(data.len()) {
                return Err(Failure::ResponseTooLarge);
            }
            whole.extend_from_slice(data);
        }
    }
    if let Some(mut end) = end
        && !end.is_in_order().await
    {
        return Err(Failure::Incomplete);
    }
    Ok(whole.freeze())
}

fn finish_plain(
    head: Head,
    whole: &[u8],
    buffer: &ResponseBuffer,
    stats: &mut RunStats,
) -> Result<(), Failure> {
    stats.usage = reported_usage(whole);
    let failed = head.status.is_server_error();
    if !buffer.push(whole, 0) {
        return Err(Failure::ResponseTooLarge);
    }
    buffer.start(head);
    if failed {
        return Err(Failure::TargetError);
    }
    Ok(())
}

/// Output tokens that a model's JSON response reports.
fn reported_usage(body: &[u8]) -> Option<u64> {
    #[derive(serde::Deserialize)]
    struct ModelResponse {
        usage: Usage,
    }
    #[derive(serde::Deserialize)]
    struct Usage {
        completion_tokens: u64,
    }
    serde_json::from_slice::<ModelResponse>(body)
        .ok()
        .map(|response| response.usage.completion_tokens)
}

async fn read_events(
    node: &Arc<Node>,
    job: &Job,
    target: std::net::SocketAddr,
    body: Incoming,
    buffer: &ResponseBuffer,
    stats: &mut RunStats,
) -> Result<(), Failure> {
    let mut body = body;
    let mut resumes_left = MAX_RESUMES;
    loop {
        let before = buffer.events();
        match read_until_break(node, &mut body, buffer, stats).await {
            ReadEnd::Done => return Ok(()),
            ReadEnd::TooLarge => return Err(Failure::ResponseTooLarge),
            // A slow engine is silent too; the hard deadline bounds that.
            ReadEnd::Silent => {}
            ReadEnd::Broken if buffer.events() > before => resumes_left = MAX_RESUMES,
            ReadEnd::Broken if resumes_left == 0 => return Err(Failure::Incomplete),
            ReadEnd::Broken => resumes_left -= 1,
        }
        body = resume_with_retries(node, job, target, buffer.events())
            .await
            .ok_or(Failure::Incomplete)?;
    }
}

/// Resumes a stream on a new connection, in several attempts. Returns `None` if the engine does not
/// have the run or does not respond.
async fn resume_with_retries(
    node: &Arc<Node>,
    job: &Job,
    target: std::net::SocketAddr,
    offset: u64,
) -> Option<Incoming> {
    if job.kind == PoolKind::Service {
        return None;
    }
    for _ in 0..MAX_RESUMES {
        log::info!(
            "entry: request {} resumes its stream at event {offset}",
            job.id.as_str()
        );
        match resume(node, job, target, offset).await {
            ResumeResult::Stream(response) => return Some(response.into_body()),
            ResumeResult::Gone => return None,
            ResumeResult::NoResponse => {}
        }
    }
    None
}

/// Reads events from one connection until the last event, a break, silence or too much data.
async fn read_until_break(
    node: &Arc<Node>,
    body: &mut Incoming,
    buffer: &ResponseBuffer,
    stats: &mut RunStats,
) -> ReadEnd {
    let mut received = BytesMut::new();
    let mut reserved = node.buffers.reserve();
    loop {
        let frame = timeout(node.settings.timing.stream_silent, body.frame()).await;
        let frame = match frame {
            Ok(Some(Ok(frame))) => frame,
            Ok(_) => return ReadEnd::Broken,
            Err(_) => return ReadEnd::Silent,
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if !reserved.grow(data.len()) {
            return ReadEnd::TooLarge;
        }
        received.extend_from_slice(data);
        let whole = split_events(&mut received);
        // The response buffer has a reservation of its own.
        drop(reserved.split(whole.bytes.len()));
        if whole.count > 0 {
            let now = node.now();
            stats.first_event.get_or_insert(now);
            stats.last_event = Some(now);
            stats.events += whole.count;
        }
        if !whole.bytes.is_empty() && !buffer.push(&whole.bytes, whole.count) {
            return ReadEnd::TooLarge;
        }
        if whole.done {
            return ReadEnd::Done;
        }
        if received.len() > MAX_RESPONSE {
            return ReadEnd::TooLarge;
        }
    }
}

/// Whole events at the front of a buffer.
struct WholeEvents {
    bytes: Bytes,
    count: u64,
    /// Whether the last event of the stream is among them.
    done: bool,
}

fn split_events(received: &mut BytesMut) -> WholeEvents {
    let mut end = 0;
    let mut count = 0;
    let mut done = false;
    while let Some(length) = event_end(&received[end..]) {
        let block = &received[end..end + length];
        if is_event(block) {
            count += 1;
            done |= is_last(block);
        }
        end += length;
    }
    WholeEvents {
        bytes: received.split_to(end).freeze(),
        count,
        done,
    }
}

/// Whether an event is the `[DONE]` that ends a stream.
fn is_last(block: &[u8]) -> bool {
    const DONE: &[u8] = b"data: [DONE]";
    block
        .split(|byte| *byte == b'\n')
        .any(|line| line.strip_suffix(b"\r").unwrap_or(line) == DONE)
}

/// Requests the rest of a stream from the engine on a new connection. This reads the response of
/// the existing run; it is not a new dispatch.
pub(super) async fn resume(
    node: &Arc<Node>,
    job: &Job,
    target: std::net::SocketAddr,
    offset: u64,
) -> ResumeResult {
    counter!("primrosechute_resumes_total").increment(1);
    let wait = node.settings.timing.silent;
    let mut connection = match Connection::open(target, wait).await {
        Ok(connection) => connection,
        // The process that had the run is gone.
        Err(ConnectError::Refused) => return ResumeResult::Gone,
        Err(ConnectError::Unreachable) => return ResumeResult::NoResponse,
    };
    let path = format!("/v1/streams/{}?offset={offset}", job.id.as_str());
    let Ok(req) = control_request(Method::GET, target, &path) else {
        return ResumeResult::Gone;
    };
    match timeout(wait, connection.send(req)).await {
        Ok(Ok(response)) if response.status().is_success() => ResumeResult::Stream(response),
        Ok(Ok(_)) => ResumeResult::Gone,
        Ok(Err(_)) | Err(_) => ResumeResult::NoResponse,
    }
}

/// Asks the engine whether it has the request. `None` if it does not respond.
pub(super) async fn run_state(
    node: &Arc<Node>,
    job: &Job,
    target: std::net::SocketAddr,
) -> Option<RunState> {
    #[derive(serde::Deserialize)]
    struct StateResponse {
        state: RunState,
    }
    let path = format!("/v1/requests/{}", job.id.as_str());
    let wait = node.settings.timing.silent;
    let (status, body) = control_call(target, Method::GET, &path, wait).await?;
    let response: StateResponse = serde_json::from_slice(&body).ok()?;
    (status == 200).then_some(response.state)
}

/// Cancels the run at its engine. A plain service has no call for that.
pub(super) async fn cancel(node: &Arc<Node>, job: &Job, target: std::net::SocketAddr) {
    if job.kind == PoolKind::Service {
        return;
    }
    let path = format!("/v1/streams/{}", job.id.as_str());
    let wait = node.settings.timing.silent;
    // If this fails, the engine runs on until its own limit; the caller sees no difference.
    control_call(target, Method::DELETE, &path, wait).await;
}

/// The target's headers that are returned to a caller.
fn returned_headers(headers: &HeaderMap) -> HeaderMap {
    headers
        .iter()
        .filter(|(name, _)| {
            **name != header::CONNECTION
                && **name != header::TRANSFER_ENCODING
                && **name != header::CONTENT_LENGTH
                && name.as_str() != "keep-alive"
        })
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
