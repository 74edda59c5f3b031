//! Reading a target's answer into the answer that callers read.

use std::sync::Arc;
use std::time::Duration;

use ::http::{HeaderMap, Method, Request, Response, header};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use metrics::counter;
use tokio::time::timeout;

use super::admit::Job;
use super::answer::{Answer, Head, MAX_ANSWER, event_end, is_event};
use super::permit::caller_gone;
use crate::node::Node;
use crate::outcome::{Failure, Outcome};
use crate::target::{Connection, small_call};

/// Attempts to resume one stream after which it counts as incomplete.
const MAX_RESUMES: u32 = 5;

/// What was seen of a run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Seen {
    /// Events of the stream, or 0 for a plain answer.
    pub(super) events: u64,
    /// Output tokens as the target counts them, if it says.
    pub(super) usage: Option<u64>,
    pub(super) first: Option<Duration>,
    pub(super) last: Option<Duration>,
}

/// How reading an answer ended.
#[derive(Debug)]
pub(super) struct Relayed {
    pub(super) outcome: Outcome,
    pub(super) seen: Seen,
    /// Whether the connection broke before the answer was whole.
    pub(super) broken: bool,
}

/// End of one connection's part of a stream.
enum Part {
    Done,
    Broken,
    TooLarge,
}

/// Reads the answer of a run until it is whole, its time is over or its caller is gone.
pub(super) async fn relay(
    node: &Arc<Node>,
    job: &Job,
    target: std::net::SocketAddr,
    response: Response<Incoming>,
    answer: &Answer,
) -> Relayed {
    let mut seen = Seen::default();
    let left = job.hard_deadline.saturating_sub(node.now());
    let outcome = tokio::select! {
        outcome = read(node, job, target, response, answer, &mut seen) => outcome,
        () = tokio::time::sleep(left) => Err(Failure::Timeout),
        () = caller_gone(answer) => Err(Failure::Cancelled),
    };
    if matches!(outcome, Err(Failure::Timeout | Failure::Cancelled)) {
        cancel(node, job, target).await;
    }
    let broken = matches!(outcome, Err(Failure::Incomplete));
    Relayed {
        outcome: outcome.map_or_else(Outcome::Failed, |()| Outcome::Served),
        seen,
        broken,
    }
}

async fn read(
    node: &Arc<Node>,
    job: &Job,
    target: std::net::SocketAddr,
    response: Response<Incoming>,
    answer: &Answer,
    seen: &mut Seen,
) -> Result<(), Failure> {
    let (parts, body) = response.into_parts();
    let events = parts
        .headers
        .get(header::CONTENT_TYPE)
        .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
    let head = Head {
        status: parts.status,
        headers: passed_back(&parts.headers),
        events,
    };
    if events {
        answer.start(head);
        read_events(node, job, target, body, answer, seen).await
    } else {
        read_plain(head, body, answer, seen).await
    }
}

/// Reads a whole answer before its head is shown, so that an incomplete one is never taken for
/// a whole one.
async fn read_plain(
    head: Head,
    mut body: Incoming,
    answer: &Answer,
    seen: &mut Seen,
) -> Result<(), Failure> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Failure::Incomplete)?;
        if let Some(data) = frame.data_ref() {
            if whole.len() + data.len() > MAX_ANSWER {
                return Err(Failure::AnswerTooLarge);
            }
            whole.extend_from_slice(data);
        }
    }
    seen.usage = usage(&whole);
    let failed = head.status.is_server_error();
    answer.push(&whole, 0);
    answer.start(head);
    if failed {
        return Err(Failure::TargetError);
    }
    Ok(())
}

/// Output tokens that a model's JSON answer reports.
fn usage(body: &[u8]) -> Option<u64> {
    #[derive(serde::Deserialize)]
    struct Answer {
        usage: Usage,
    }
    #[derive(serde::Deserialize)]
    struct Usage {
        completion_tokens: u64,
    }
    serde_json::from_slice::<Answer>(body)
        .ok()
        .map(|answer| answer.usage.completion_tokens)
}

async fn read_events(
    node: &Arc<Node>,
    job: &Job,
    target: std::net::SocketAddr,
    body: Incoming,
    answer: &Answer,
    seen: &mut Seen,
) -> Result<(), Failure> {
    let mut body = body;
    for resumes in 0..=MAX_RESUMES {
        match read_part(node, &mut body, answer, seen).await {
            Part::Done => return Ok(()),
            Part::TooLarge => return Err(Failure::AnswerTooLarge),
            Part::Broken => {}
        }
        if resumes == MAX_RESUMES {
            break;
        }
        // Resuming reads what the target has; it is not a new dispatch.
        counter!("primrosechute_resumes_total").increment(1);
        log::info!(
            "entry: request {} resumes its stream at event {}",
            job.id.as_str(),
            answer.events()
        );
        match resume(node, job, target, answer.events()).await {
            Some(resumed) => body = resumed,
            None => break,
        }
    }
    Err(Failure::Incomplete)
}

/// Reads events from one connection until the last event, a break, or silence.
async fn read_part(
    node: &Arc<Node>,
    body: &mut Incoming,
    answer: &Answer,
    seen: &mut Seen,
) -> Part {
    let mut buf = BytesMut::new();
    loop {
        let frame = timeout(node.settings.timing.stream_silent, body.frame()).await;
        let Ok(Some(Ok(frame))) = frame else {
            return Part::Broken;
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        buf.extend_from_slice(data);
        let whole = split_events(&mut buf);
        if whole.count > 0 {
            let now = node.now();
            seen.first.get_or_insert(now);
            seen.last = Some(now);
            seen.events += whole.count;
        }
        if !whole.bytes.is_empty() && !answer.push(&whole.bytes, whole.count) {
            return Part::TooLarge;
        }
        if whole.done {
            return Part::Done;
        }
        if buf.len() > MAX_ANSWER {
            return Part::TooLarge;
        }
    }
}

/// Whole events at the front of a buffer.
struct Whole {
    bytes: Bytes,
    count: u64,
    /// Whether the last event of the stream is among them.
    done: bool,
}

fn split_events(buf: &mut BytesMut) -> Whole {
    let mut end = 0;
    let mut count = 0;
    let mut done = false;
    while let Some(length) = event_end(&buf[end..]) {
        let block = &buf[end..end + length];
        if is_event(block) {
            count += 1;
            done |= is_last(block);
        }
        end += length;
    }
    Whole {
        bytes: buf.split_to(end).freeze(),
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

/// Asks the target for the rest of a stream on a new connection.
async fn resume(
    node: &Arc<Node>,
    job: &Job,
    target: std::net::SocketAddr,
    offset: u64,
) -> Option<Incoming> {
    let wait = node.settings.timing.silent;
    let mut connection = Connection::open(target, wait).await.ok()?;
    let req = Request::builder()
        .uri(format!("/v1/streams/{}?offset={offset}", job.id.as_str()))
        .header(header::HOST, target.to_string())
        .body(Full::default())
        .ok()?;
    let response = timeout(wait, connection.send(req)).await.ok()?.ok()?;
    response.status().is_success().then(|| response.into_body())
}

/// Tells the target that nobody needs the answer any more.
pub(super) async fn cancel(node: &Arc<Node>, job: &Job, target: std::net::SocketAddr) {
    if job.kind == sheet::PoolKind::Service {
        return;
    }
    let path = format!("/v1/streams/{}", job.id.as_str());
    let wait = node.settings.timing.silent;
    // If it fails, the engine goes on until its own limit; the caller sees no difference.
    small_call(target, Method::DELETE, &path, wait).await;
}

/// The target's headers that a caller may see.
fn passed_back(headers: &HeaderMap) -> HeaderMap {
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
