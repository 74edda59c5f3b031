//! Relays streams of events, and resumes them at another target when they break.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Response;
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use metrics::counter;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::adapter::{Attestation, ResponseHead};
use crate::attempt::{self, Arrived, Sendable, Sent};
use crate::clock;
use crate::model::Route;
use crate::node::{Counted, Node};
use crate::owner::RunEnd;
use crate::permit::{self, Ask, Permit};
use crate::request_log::RequestLog;
use crate::upstream::Upstream;

/// Frames that wait for a caller; a slow caller holds back its target beyond that.
const QUEUED_FRAMES: usize = 16;
/// A resumable stream without an event for this long goes on at another target. Callers count a
/// longer pause as late, and leave after about two seconds.
const STALL: Duration = Duration::from_millis(900);
/// Largest event that is kept whole. More is passed on as it comes, and can't be resumed.
const MAX_EVENT: usize = 256 * 1024;

/// The connection to the caller ends without the end of the answer.
#[derive(Debug)]
pub(crate) struct Aborted;

impl std::fmt::Display for Aborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer ended early")
    }
}

impl std::error::Error for Aborted {}

/// Body of an answer to a caller.
pub(crate) enum Body {
    Whole(Option<Bytes>),
    Relayed(mpsc::Receiver<Result<Bytes, Aborted>>),
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match self.get_mut() {
            Body::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Body::Relayed(rx) => rx
                .poll_recv(cx)
                .map(|next| next.map(|next| next.map(Frame::data))),
        }
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Body::Whole(bytes) => {
                let len = bytes.as_ref().map_or(0, Bytes::len);
                http_body::SizeHint::with_exact(u64::try_from(len).unwrap_or(u64::MAX))
            }
            Body::Relayed(_) => http_body::SizeHint::default(),
        }
    }
}

/// Cuts a stream into whole events and keeps the id of the last one.
#[derive(Default)]
struct Events {
    partial: BytesMut,
    last_id: Option<String>,
    count: u32,
}

impl Events {
    /// Takes bytes and returns the whole events among them.
    fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        let scanned = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(data);
        let mut end = 0;
        let mut at = scanned;
        while at < self.partial.len() {
            let rest = &self.partial[at..];
            let blank = if rest.starts_with(b"\n\n") {
                2
            } else if rest.starts_with(b"\n\r\n") {
                3
            } else {
                at += 1;
                continue;
            };
            at += blank;
            let event = &self.partial[end..at];
            if let Some(id) = event_id(event) {
                self.last_id = Some(id);
            }
            self.count += 1;
            end = at;
        }
        if end == 0 && self.partial.len() > MAX_EVENT {
            end = self.partial.len();
        }
        (end > 0).then(|| self.partial.split_to(end).freeze())
    }
}

fn event_id(event: &[u8]) -> Option<String> {
    let line = event
        .split(|&byte| byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    Some(text.trim().to_owned())
}

/// Everything that a running stream needs.
pub(crate) struct Stream {
    pub(crate) story: RequestLog,
    pub(crate) node: Rc<Node>,
    pub(crate) req: Sendable,
    pub(crate) route: std::sync::Arc<Route>,
    pub(crate) ask: Ask,
    pub(crate) deadline: Duration,
    /// Held for as long as the stream runs.
    pub(crate) _serving: Counted,
}

struct Source {
    permit: Permit,
    upstream: Upstream,
    body: Incoming,
    answer: ResponseHead,
}

impl Source {
    fn new(permit: Permit, arrived: Arrived) -> Self {
        Source {
            permit,
            upstream: arrived.upstream,
            body: arrived.response.into_body(),
            answer: arrived.answer,
        }
    }
}

/// Why a source ended.
enum Ended {
    Whole,
    Broken,
    Stalled,
    Over,
    Left,
}

/// Starts to relay. The head goes to the caller as the first target sent it.
pub(crate) fn start(stream: Stream, permit: Permit, arrived: Arrived) -> Response<Body> {
    let (tx, rx) = mpsc::channel(QUEUED_FRAMES);
    let mut head = Response::new(Body::Relayed(rx));
    *head.status_mut() = arrived.response.status();
    *head.headers_mut() = stream
        .node
        .dialect
        .caller_headers(arrived.response.headers());
    head.headers_mut().remove(http::header::CONTENT_LENGTH);
    let source = Source::new(permit, arrived);
    tokio::task::spawn_local(run(stream, source, tx));
    head
}

async fn run(mut stream: Stream, mut source: Source, tx: mpsc::Sender<Result<Bytes, Aborted>>) {
    let mut events = Events::default();
    loop {
        let can_resume =
            stream.route.kind.is_retryable() && stream.ask.sends < stream.route.max_attempts;
        let ended = relay(&stream, &mut source, &mut events, &tx, can_resume).await;
        let Source {
            permit, upstream, ..
        } = source;
        let key = permit.key;
        match ended {
            Ended::Whole => {
                let rest = events.partial.split().freeze();
                if !rest.is_empty() {
                    // Fails only if the caller has left.
                    let _ = tx.send(Ok(rest)).await;
                }
                permit.ended(RunEnd::Served);
                stream.story.end(&stream.node, "served", events.count);
                let keep = source.answer.keep_alive;
                if !source.answer.close {
                    let now = clock::now();
                    stream.node.upstreams.put(now, upstream, keep);
                }
                return;
            }
            Ended::Left => {
                stream.story.end(&stream.node, "cancelled", events.count);
                return;
            }
            Ended::Over => {
                permit.ended(RunEnd::Cancelled);
                stream.story.end(&stream.node, "late", events.count);
                let _ = tx.send(Err(Aborted)).await;
                return;
            }
            Ended::Broken => {
                stream.story.again("broken stream");
                permit.ended(RunEnd::Broken);
            }
            Ended::Stalled => {
                stream.story.again("silent stream");
                permit.ended(RunEnd::TimedOut);
            }
        }
        // The target stops when its connection closes, before another one gets the request.
        drop(upstream);
        drop(source.body);
        let resumed = if can_resume {
            stream.ask.avoid.push(key);
            resume(&mut stream, events.last_id.as_deref(), &tx).await
        } else {
            None
        };
        let Some(next) = resumed else {
            stream.story.end(&stream.node, "broken", events.count);
            // Fails only if the caller has left.
            let _ = tx.send(Err(Aborted)).await;
            return;
        };
        counter!("primrosechute_streams_resumed_total").increment(1);
        events.partial.clear();
        source = next;
    }
}

async fn relay(
    stream: &Stream,
    source: &mut Source,
    events: &mut Events,
    tx: &mpsc::Sender<Result<Bytes, Aborted>>,
    can_resume: bool,
) -> Ended {
    let mut first: Option<(Duration, u32)> = None;
    loop {
        let now = clock::now();
        let left = stream.deadline.saturating_sub(now);
        if left.is_zero() {
            return Ended::Over;
        }
        let wait = if can_resume { left.min(STALL) } else { left };
        let frame = tokio::select! {
            biased;
            () = tx.closed() => return Ended::Left,
            frame = timeout(wait, source.body.frame()) => frame,
        };
        match frame {
            Err(_) if can_resume && left > wait => return Ended::Stalled,
            Err(_) => return Ended::Over,
            Ok(None) => return Ended::Whole,
            Ok(Some(Err(_))) => return Ended::Broken,
            Ok(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                let whole = if stream.route.kind.is_retryable() {
                    events.push(&data)
                } else {
                    let ready = events.push(&data);
                    let rest = events.partial.split().freeze();
                    join(ready, rest)
                };
                let now = clock::now();
                let (began, before) = *first.get_or_insert((now, events.count));
                let made = events.count.saturating_sub(before);
                if made > 0 {
                    source.permit.report.time_per_unit = Some(now.saturating_sub(began) / made);
                }
                if let Some(whole) = whole
                    && tx.send(Ok(whole)).await.is_err()
                {
                    return Ended::Left;
                }
            }
        }
    }
}

fn join(ready: Option<Bytes>, rest: Bytes) -> Option<Bytes> {
    match ready {
        Some(ready) if rest.is_empty() => Some(ready),
        Some(ready) => Some([ready, rest].concat().into()),
        None => (!rest.is_empty()).then_some(rest),
    }
}

/// Sends the request to another target, to go on after the last event that the caller has.
async fn resume(
    stream: &mut Stream,
    last_event: Option<&str>,
    tx: &mpsc::Sender<Result<Bytes, Aborted>>,
) -> Option<Source> {
    let left = stream.deadline.saturating_sub(clock::now());
    stream.ask.left = left;
    stream.ask.wait = stream.ask.wait.min(left);
    let resumed = async {
        let asked = clock::now();
        let permit = permit::permit(&stream.node, &stream.ask).await.ok()?;
        let waited = clock::now().saturating_sub(asked);
        stream
            .story
            .permitted(permit.owner(), &permit.target.id, waited);
        let left = stream.deadline.saturating_sub(clock::now());
        stream.ask.sends += 1;
        stream.story.sent();
        let target = permit.target.clone();
        let sent = attempt::send(&stream.node, &stream.req, &target, left, left, last_event).await;
        let end = match sent {
            Sent::Head(arrived) => match attempt::rejection(arrived.answer.attestation) {
                Some(end) => end,
                None if arrived.answer.attestation == Attestation::Signed
                    && arrived.response.status() == 200 =>
                {
                    return Some(Source::new(permit, *arrived));
                }
                None => RunEnd::Error,
            },
            Sent::Nothing => RunEnd::Unreachable,
            Sent::Broken(_) => RunEnd::Broken,
            Sent::TimedOut => RunEnd::TimedOut,
        };
        permit.ended(end);
        None
    };
    tokio::select! {
        biased;
        () = tx.closed() => None,
        resumed = timeout(left, resumed) => resumed.ok().flatten(),
    }
}
