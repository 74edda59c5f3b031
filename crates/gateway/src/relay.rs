//! Relays event streams, and resumes them at another target when they break.

use std::rc::Rc;
use std::time::Duration;

use admit::{Route, RunEnd};
use bytes::{Bytes, BytesMut};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use metrics::counter;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::adapter::{Attestation, ResponseHead};
use crate::attempt::{self, OutboundRequest, ReceivedHead, SendOutcome};
use crate::body::{Aborted, Body, count_full};
use crate::buffer_budget::{Buffered, Reservation};
use crate::clock;
use crate::crash_check;
use crate::node::{CountGuard, Node};
use crate::permit::{self, Permit, PermitRequest};
use crate::request_log::RequestLog;
use crate::upstream::Upstream;

/// Frames queued for a caller. When the queue is full, a slow caller applies backpressure to the
/// target.
const QUEUED_FRAMES: usize = 16;
/// After this time without an event, another target is sought for a resumable stream. Callers count
/// a longer pause as late, and leave after about two seconds. The stream goes on meanwhile, since a
/// silent target may still be at work.
const STALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum size of an event that is buffered until it is complete. A larger one is relayed as it
/// arrives and can't be resumed.
const MAX_EVENT_BYTES: usize = 256 * 1024;

const EVENT_STREAM: &str = "text/event-stream";

/// Splits a stream into complete events and remembers the id of the last one.
struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
    count: u32,
    /// Whether the next byte begins a line.
    at_line_start: bool,
    /// Whether an event has begun that no blank line has ended.
    is_inside_event: bool,
    /// Whether the beginning of that event was given out.
    is_event_cut: bool,
}

impl EventSplitter {
    fn new() -> Self {
        EventSplitter {
            partial: BytesMut::new(),
            last_id: None,
            count: 0,
            at_line_start: true,
            is_inside_event: false,
            is_event_cut: false,
        }
    }

    /// Adds bytes and returns the events that are now complete.
    fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        let scan_start = self.partial.len();
        self.partial.extend_from_slice(data);
        let mut end = 0;
        for at in scan_start..self.partial.len() {
            if !self.ends_event(self.partial[at]) {
                continue;
            }
            if let Some(id) = event_id(&self.partial[end..=at]) {
                self.last_id = Some(id);
            }
            self.count += 1;
            self.is_event_cut = false;
            end = at + 1;
        }
        if end == 0 && self.partial.len() > MAX_EVENT_BYTES {
            end = self.partial.len();
            self.is_event_cut = true;
        }
        (end > 0).then(|| self.partial.split_to(end).freeze())
    }

    /// Whether a byte is the end of a blank line that ends an event.
    fn ends_event(&mut self, byte: u8) -> bool {
        match byte {
            b'\n' => {
                let is_blank_line = std::mem::replace(&mut self.at_line_start, true);
                is_blank_line && std::mem::take(&mut self.is_inside_event)
            }
            b'\r' => false,
            _ => {
                self.at_line_start = false;
                self.is_inside_event = true;
                false
            }
        }
    }

    /// Whether another target can go on after what was given out.
    fn can_be_resumed(&self) -> bool {
        !self.is_event_cut && (self.count == 0 || self.last_id.is_some())
    }

    /// Discards what was received of an incomplete event.
    fn restart(&mut self) {
        self.partial.clear();
        self.at_line_start = true;
        self.is_inside_event = false;
    }
}

fn event_id(event: &[u8]) -> Option<String> {
    let line = event
        .split(|&byte| byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    Some(text.trim().to_owned())
}

/// State of a running stream.
pub(crate) struct StreamContext {
    pub(crate) log: RequestLog,
    pub(crate) node: Rc<Node>,
    pub(crate) req: OutboundRequest,
    pub(crate) route: std::sync::Arc<Route>,
    pub(crate) permit_request: PermitRequest,
    pub(crate) deadline: Duration,
    /// Held for as long as the stream runs.
    pub(crate) _serving: CountGuard,
}

struct TargetStream {
    permit: Permit,
    upstream: Upstream,
    body: Incoming,
    head: ResponseHead,
    /// Whether the end of the connection is the end of the stream.
    ends_with_connection: bool,
    /// Whether the body is a series of events. Another body may end anywhere.
    has_events: bool,
    /// Last event that the caller had when this target took over, until its first event shows that
    /// it goes on from there.
    resumes_after: Option<String>,
}

impl TargetStream {
    fn new(permit: Permit, received: ReceivedHead) -> Self {
        let content_type = received.response.headers().get(http::header::CONTENT_TYPE);
        let has_events =
            content_type.is_none_or(|value| value.as_bytes().starts_with(EVENT_STREAM.as_bytes()));
        TargetStream {
            permit,
            ends_with_connection: received.ends_with_connection(),
            upstream: received.upstream,
            body: received.response.into_body(),
            head: received.head,
            has_events,
            resumes_after: None,
        }
    }

    /// Whether these first events of the target are those that the caller lacks. Ids of events rise;
    /// ids that are no numbers can't be checked.
    fn goes_on_with(&mut self, events: &[u8]) -> bool {
        let number = |id: String| id.parse::<u64>().ok();
        let last = self.resumes_after.take().and_then(number);
        let next = event_id(events).and_then(number);
        last.is_none_or(|last| next.is_none_or(|next| next > last))
    }
}

/// Why the stream of one target ended.
enum StreamEnd {
    Complete,
    Broken,
    /// It is silent, and another target has room for it.
    Stalled(Box<Permit>),
    DeadlinePassed,
    /// The buffers of the process are full.
    NoMemory,
    CallerLeft,
}

/// Starts relaying. The caller gets the response head of the first target.
pub(crate) fn start(
    stream: StreamContext,
    permit: Permit,
    received: ReceivedHead,
) -> Response<Body> {
    let (tx, rx) = mpsc::channel(QUEUED_FRAMES);
    let mut head = Response::new(Body::streamed(rx));
    *head.status_mut() = received.response.status();
    *head.headers_mut() = stream
        .node
        .dialect
        .caller_headers(received.response.headers());
    head.headers_mut().remove(http::header::CONTENT_LENGTH);
    let source = TargetStream::new(permit, received);
    tokio::task::spawn_local(run(stream, source, tx));
    head
}

async fn run(
    mut stream: StreamContext,
    mut source: TargetStream,
    tx: mpsc::Sender<Result<Buffered, Aborted>>,
) {
    let mut events = EventSplitter::new();
    // Covers what the splitter holds.
    let mut reserved = stream.node.buffers.reserve();
    loop {
        let can_resume = stream.route.kind.is_retryable()
            && stream.permit_request.sends < stream.route.max_attempts
            && events.can_be_resumed();
        let resume_request = can_resume.then(|| resume_request(&stream, &source));
        let end = relay_events(
            &mut stream,
            &mut source,
            &mut events,
            &mut reserved,
            &tx,
            resume_request.as_ref(),
        )
        .await;
        let TargetStream {
            mut permit,
            upstream,
            ..
        } = source;
        stream.permit_request.avoid.push(permit.key);
        let mut next_permit = None;
        match end {
            StreamEnd::Complete => {
                let remainder = events.partial.split().freeze();
                if !remainder.is_empty() {
                    // Fails only if the caller has left.
                    let _ = tx.send(Ok(Buffered::new(remainder, reserved))).await;
                }
                permit.report.events = Some(events.count);
                permit.end(RunEnd::Served);
                stream
                    .log
                    .log_answered(&stream.node, "served", events.count);
                let keep = source.head.keep_alive;
                if !source.head.close {
                    let now = clock::now();
                    stream.node.upstreams.put(now, upstream, keep);
                }
                return;
            }
            StreamEnd::CallerLeft => {
                stream
                    .log
                    .log_answered(&stream.node, "cancelled", events.count);
                return;
            }
            StreamEnd::DeadlinePassed => {
                permit.end(RunEnd::Cancelled);
                stream.log.log_answered(&stream.node, "late", events.count);
                let _ = tx.send(Err(Aborted)).await;
                return;
            }
            StreamEnd::NoMemory => {
                permit.end(RunEnd::Broken);
                stream
                    .log
                    .log_answered(&stream.node, "no_memory", events.count);
                let _ = tx.send(Err(Aborted)).await;
                return;
            }
            StreamEnd::Broken => {
                stream.log.log_failed_attempt("broken stream");
                if events.count == 0 {
                    let parts = &stream.req.parts;
                    crash_check::check_target(&stream.node, parts, &permit.target);
                }
                permit.end(RunEnd::Broken);
            }
            StreamEnd::Stalled(next) => {
                stream.log.log_failed_attempt("silent stream");
                if events.count == 0 {
                    let parts = &stream.req.parts;
                    crash_check::check_target(&stream.node, parts, &permit.target);
                }
                permit.end(RunEnd::TimedOut);
                next_permit = Some(*next);
            }
        }
        // Closing the connection stops the target before another one gets the request.
        drop(upstream);
        drop(source.body);
        let resumed = if can_resume && events.can_be_resumed() {
            resume(&mut stream, next_permit, events.last_id.as_deref(), &tx).await
        } else {
            None
        };
        let Some(next) = resumed else {
            stream
                .log
                .log_answered(&stream.node, "broken", events.count);
            // Fails only if the caller has left.
            let _ = tx.send(Err(Aborted)).await;
            return;
        };
        counter!("primrosechute_streams_resumed_total").increment(1);
        events.restart();
        reserved = stream.node.buffers.reserve();
        source = next;
    }
}

async fn relay_events(
    stream: &mut StreamContext,
    source: &mut TargetStream,
    events: &mut EventSplitter,
    reserved: &mut Reservation,
    tx: &mpsc::Sender<Result<Buffered, Aborted>>,
    resume_request: Option<&PermitRequest>,
) -> StreamEnd {
    let mut first: Option<(Duration, u32)> = None;
    let mut has_answered = false;
    let mut last_data_at = None;
    loop {
        let time_left = stream.node.time_left(stream.deadline);
        if time_left.is_zero() {
            return StreamEnd::DeadlinePassed;
        }
        let frame = tokio::select! {
            biased;
            () = tx.closed() => return StreamEnd::CallerLeft,
            frame = stream.node.before(stream.deadline, source.body.frame()) => frame,
            next = permit_after_stall(stream, resume_request) => {
                return StreamEnd::Stalled(Box::new(next));
            }
        };
        match frame {
            None => return StreamEnd::DeadlinePassed,
            // The end of a connection may be the end of the response.
            Some(None) if events.is_inside_event && source.has_events => return StreamEnd::Broken,
            Some(None) if !source.ends_with_connection => return StreamEnd::Complete,
            Some(None) => {
                let is_complete = source.upstream.has_ended_in_order().await;
                return if is_complete {
                    StreamEnd::Complete
                } else {
                    StreamEnd::Broken
                };
            }
            Some(Some(Err(_))) => return StreamEnd::Broken,
            Some(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                if !reserved.grow(data.len()) {
                    count_full("stream");
                    return StreamEnd::NoMemory;
                }
                let resumes_after = source.resumes_after.clone();
                let complete = if stream.route.kind.is_retryable() {
                    events.push(&data)
                } else {
                    let ready = events.push(&data);
                    let remainder = events.partial.split().freeze();
                    concat(ready, remainder)
                };
                let now = clock::now();
                if events.count > 0 && !std::mem::replace(&mut has_answered, true) {
                    let mut poison_parts = stream.node.poison_parts.borrow_mut();
                    poison_parts.record_answer(now, &stream.req.parts);
                    drop(poison_parts);
                    source.permit.report_start(source.head.load);
                }
                if let Some(last) = last_data_at.replace(now) {
                    let pause = now.saturating_sub(last);
                    stream.log.record_pause(pause);
                    let longest = source.permit.report.longest_pause.get_or_insert(pause);
                    *longest = pause.max(*longest);
                }
                let (first_at, first_count) = *first.get_or_insert((now, events.count));
                let new_events = events.count.saturating_sub(first_count);
                if new_events > 0 {
                    source.permit.report.time_per_unit =
                        Some(now.saturating_sub(first_at) / new_events);
                }
                if let Some(complete) = &complete
                    && !source.goes_on_with(complete)
                {
                    events.last_id = resumes_after;
                    return StreamEnd::Broken;
                }
                if let Some(complete) = complete {
                    let reserved = reserved.split(complete.len());
                    let buffered = Buffered::new(complete, reserved);
                    if tx.send(Ok(buffered)).await.is_err() {
                        return StreamEnd::CallerLeft;
                    }
                }
            }
        }
    }
}

/// Request for a permit for another target than that of `source`.
fn resume_request(stream: &StreamContext, source: &TargetStream) -> PermitRequest {
    let mut request = stream.permit_request.clone();
    request.avoid.push(source.permit.key);
    request
}

/// Waits until the stream has stalled and another target has room for it. Does not end if the
/// stream can't be resumed.
async fn permit_after_stall(stream: &StreamContext, request: Option<&PermitRequest>) -> Permit {
    let Some(request) = request else {
        return std::future::pending().await;
    };
    loop {
        sleep(STALL_TIMEOUT).await;
        let mut request = request.clone();
        request.time_left = stream.node.time_left(stream.deadline);
        request.max_wait = request.max_wait.min(request.time_left);
        request.due = clock::now() + request.max_wait;
        if let Ok(permit) = permit::acquire(&stream.node, &request).await {
            return permit;
        }
    }
}

fn concat(ready: Option<Bytes>, remainder: Bytes) -> Option<Bytes> {
    match ready {
        Some(ready) if remainder.is_empty() => Some(ready),
        Some(ready) => Some([ready, remainder].concat().into()),
        None => (!remainder.is_empty()).then_some(remainder),
    }
}

/// Sends the request to another target, which continues after the last event that the caller has.
/// Without a permit, one is acquired first.
async fn resume(
    stream: &mut StreamContext,
    permit: Option<Permit>,
    last_event: Option<&str>,
    tx: &mpsc::Sender<Result<Buffered, Aborted>>,
) -> Option<TargetStream> {
    let now = clock::now();
    let refusal = stream
        .node
        .poison_parts
        .borrow()
        .refusal(now, &stream.req.parts);
    if refusal.is_some() {
        return None;
    }
    let time_left = stream.node.time_left(stream.deadline);
    stream.permit_request.time_left = time_left;
    stream.permit_request.max_wait = stream.permit_request.max_wait.min(time_left);
    stream.permit_request.due = clock::now() + stream.permit_request.max_wait;
    let resumed = async {
        let asked_at = clock::now();
        let permit = if let Some(permit) = permit {
            permit
        } else {
            let acquired = permit::acquire(&stream.node, &stream.permit_request).await;
            acquired.ok()?
        };
        let permit_wait = clock::now().saturating_sub(asked_at);
        stream.log.record_permit(&permit, permit_wait);
        let time_left = stream.node.time_left(stream.deadline);
        stream.permit_request.sends += 1;
        stream.log.record_send();
        let target = permit.target.clone();
        let sent = attempt::send(
            &stream.node,
            &stream.req,
            &target,
            time_left,
            time_left,
            last_event,
        )
        .await;
        let end = match sent {
            SendOutcome::Head(received) => {
                match attempt::rejected_run_end(received.head.attestation) {
                    Some(end) => end,
                    None if received.head.attestation == Attestation::Signed
                        && received.response.status() == 200 =>
                    {
                        let mut source = TargetStream::new(permit, *received);
                        if source.has_events {
                            source.resumes_after = last_event.map(ToOwned::to_owned);
                            return Some(source);
                        }
                        source.permit.end(RunEnd::Error);
                        return None;
                    }
                    None => RunEnd::Error,
                }
            }
            SendOutcome::NotSent => RunEnd::Unreachable,
            SendOutcome::Broken(_) => {
                crash_check::check_target(&stream.node, &stream.req.parts, &target);
                RunEnd::Broken
            }
            SendOutcome::TimedOut => {
                crash_check::check_target(&stream.node, &stream.req.parts, &target);
                RunEnd::TimedOut
            }
        };
        permit.end(end);
        None
    };
    tokio::select! {
        biased;
        () = tx.closed() => None,
        resumed = stream.node.before(stream.deadline, resumed) => resumed.flatten(),
    }
}
