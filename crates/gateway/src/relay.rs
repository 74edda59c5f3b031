//! Relays event streams. When one breaks or is silent, another target is asked to go on with it.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use admit::{Route, RunEnd};
use bytes::Bytes;
use http::Response;
use http::header::CONTENT_LENGTH;
use metrics::counter;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::attempt::{OutboundRequest, ReceivedHead};
use crate::body::{Aborted, Body, count_full};
use crate::buffer_budget::{Buffered, Reservation};
use crate::clock;
use crate::crash_check::{self, CHECKED_SILENCE};
use crate::event_splitter::EventSplitter;
use crate::node::{CountGuard, Node};
use crate::permit::{Permit, PermitRequest};
use crate::request::{MAX_UNREACHABLE_TARGETS, MIN_ATTEMPT_TIME};
use crate::request_log::RequestLog;
use crate::takeover::{Successor, TakeoverEnd, take_over};
use crate::target_stream::{StreamPart, TargetStream};

/// Frames queued for a caller. When the queue is full, a slow caller applies backpressure to the
/// target.
const QUEUED_FRAMES: usize = 16;
/// After this time without a complete event, another target is asked to go on with a resumable
/// stream. Callers count a longer pause as late, and leave after about two seconds. The first target
/// goes on meanwhile, since a silent one may still be at work.
const STALL_TIMEOUT: Duration = Duration::from_millis(900);

type Sender = mpsc::Sender<Result<Buffered, Aborted>>;
type Takeover<'a> = Pin<Box<dyn Future<Output = TakeoverEnd> + 'a>>;

/// State of a running stream.
pub(crate) struct StreamContext {
    pub(crate) log: RefCell<RequestLog>,
    pub(crate) node: Rc<Node>,
    pub(crate) req: OutboundRequest,
    pub(crate) route: Arc<Route>,
    pub(crate) permit_request: RefCell<PermitRequest>,
    pub(crate) unreachable_targets: Cell<u32>,
    pub(crate) deadline: Duration,
    /// Held for as long as the stream runs.
    pub(crate) _serving: CountGuard,
}

impl StreamContext {
    pub(crate) fn time_left(&self) -> Duration {
        self.node.time_left(self.deadline)
    }

    /// Whether another target may be asked to go on with the stream.
    pub(crate) fn has_attempts_left(&self) -> bool {
        self.permit_request.borrow().sends < self.route.max_attempts
            && self.unreachable_targets.get() < MAX_UNREACHABLE_TARGETS
            && self.time_left() > MIN_ATTEMPT_TIME
    }

    /// Records that the request is about to be sent to a target. It counts even if the attempt is
    /// given up.
    pub(crate) fn record_send(&self, target: u64) {
        let mut request = self.permit_request.borrow_mut();
        request.sends += 1;
        request.avoid.push(target);
        self.log.borrow_mut().record_send();
    }

    /// Takes back a send of which no byte was sent.
    pub(crate) fn undo_send(&self) {
        self.permit_request.borrow_mut().sends -= 1;
        self.unreachable_targets.update(|count| count + 1);
    }
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
    head.headers_mut().remove(CONTENT_LENGTH);
    let source = TargetStream::new(permit, received);
    tokio::task::spawn_local(run(stream, source, tx));
    head
}

async fn run(stream: StreamContext, source: TargetStream, tx: Sender) {
    let relay = Relay {
        stream: &stream,
        tx: &tx,
        source: Some(source),
        takeover: None,
        events: EventSplitter::new(),
        reserved: stream.node.buffers.reserve(),
        silent_since: clock::now(),
    };
    let (end, events) = relay.run().await;
    stream
        .log
        .borrow()
        .log_answered(&stream.node, end.label(), events);
    if end.is_aborted() {
        // Fails only if the caller has left.
        let _ = tx.send(Err(Aborted)).await;
    }
}

/// How a stream ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    Complete,
    Broken,
    DeadlinePassed,
    /// The buffers of the process are full.
    NoMemory,
    CallerLeft,
}

impl StreamEnd {
    /// Label in logs and metrics.
    fn label(self) -> &'static str {
        match self {
            StreamEnd::Complete => "served",
            StreamEnd::Broken => "broken",
            StreamEnd::DeadlinePassed => "late",
            StreamEnd::NoMemory => "no_memory",
            StreamEnd::CallerLeft => "cancelled",
        }
    }

    /// Whether the caller has to learn that the response is incomplete.
    fn is_aborted(self) -> bool {
        match self {
            StreamEnd::Complete | StreamEnd::CallerLeft => false,
            StreamEnd::Broken | StreamEnd::DeadlinePassed | StreamEnd::NoMemory => true,
        }
    }
}

/// What happened next.
enum Step {
    CallerLeft,
    DeadlinePassed,
    Source(StreamPart),
    TakenOver(TakeoverEnd),
    /// The source is silent, and another target may be asked.
    Stalled,
}

/// A stream on its way to the caller.
///
/// At most two targets are at work on it: the source, and one that is asked to go on. Whichever has
/// the next complete event first goes on, and the other one is stopped. So a source that is only slow
/// is not given up for a target that turns the request away.
struct Relay<'a> {
    stream: &'a StreamContext,
    tx: &'a Sender,
    /// `None` while the stream has lost its target and another one is asked.
    source: Option<TargetStream>,
    takeover: Option<Takeover<'a>>,
    events: EventSplitter,
    /// Covers what the splitter holds.
    reserved: Reservation,
    /// Time of the last complete event, or of the last attempt to let another target go on.
    silent_since: Duration,
}

impl Relay<'_> {
    /// Relays until the stream ends. Returns the number of events as well.
    async fn run(mut self) -> (StreamEnd, u32) {
        loop {
            let end = match self.next_step().await {
                Step::CallerLeft => Some(self.leave_source(StreamEnd::CallerLeft)),
                Step::DeadlinePassed => Some(self.leave_source(StreamEnd::DeadlinePassed)),
                Step::Source(StreamPart::Data(data)) => self.relay(&data).await,
                Step::Source(StreamPart::Complete) => Some(self.complete().await),
                Step::Source(StreamPart::Broken) => self.lose_source(),
                Step::Stalled => {
                    self.start_takeover();
                    None
                }
                Step::TakenOver(TakeoverEnd::GoesOn(successor)) => self.switch(*successor).await,
                Step::TakenOver(end) => self.end_takeover(&end),
            };
            if let Some(end) = end {
                return (end, self.events.count());
            }
        }
    }

    async fn next_step(&mut self) -> Step {
        let stream = self.stream;
        if stream.time_left().is_zero() {
            return Step::DeadlinePassed;
        }
        let may_stall = self.takeover.is_none() && self.can_be_taken_over();
        let stalled_at = self.silent_since + STALL_TIMEOUT;
        let is_inside_event = self.events.is_inside_event();
        let step = async {
            tokio::select! {
                biased;
                () = self.tx.closed() => Step::CallerLeft,
                part = next_part(self.source.as_mut(), is_inside_event) => Step::Source(part),
                end = takeover_end(self.takeover.as_mut()) => Step::TakenOver(end),
                () = sleep(stalled_at.saturating_sub(clock::now())), if may_stall => Step::Stalled,
            }
        };
        let step = stream.node.before(stream.deadline, step).await;
        step.unwrap_or(Step::DeadlinePassed)
    }

    fn can_be_taken_over(&self) -> bool {
        self.stream.route.kind.is_retryable()
            && self.stream.has_attempts_left()
            && self.events.can_be_resumed()
    }

    /// Passes data of the source on, in complete events if the stream can be resumed.
    async fn relay(&mut self, data: &Bytes) -> Option<StreamEnd> {
        if !self.reserved.grow(data.len()) {
            count_full("stream");
            self.end_source("memory", RunEnd::Broken);
            return Some(StreamEnd::NoMemory);
        }
        let count_before = self.events.count();
        let ready = if self.stream.route.kind.is_retryable() {
            self.events.push(data)
        } else {
            self.events.push_unsplit(data)
        };
        let now = clock::now();
        let count = self.events.count();
        let source = self.source.as_mut()?;
        if let Some(pause) = source.record_data(now, count) {
            self.stream.log.borrow_mut().record_pause(pause);
        }
        if count > count_before {
            self.silent_since = now;
            self.give_up_takeover();
        }
        self.send(ready?).await
    }

    async fn send(&mut self, ready: Bytes) -> Option<StreamEnd> {
        let reserved = self.reserved.split(ready.len());
        let sent = self.tx.send(Ok(Buffered::new(ready, reserved))).await;
        sent.is_err().then_some(StreamEnd::CallerLeft)
    }

    async fn complete(&mut self) -> StreamEnd {
        let remainder = self.events.take_remainder();
        if !remainder.is_empty() {
            // Fails only if the caller has left.
            let _ = self.send(remainder).await;
        }
        let node = &self.stream.node;
        if let Some(source) = self.source.take() {
            source.complete(node, self.events.count());
        }
        // Not sooner: a target that has begun may still crash on the request.
        let mut poison_parts = node.poison_parts.borrow_mut();
        poison_parts.record_answer(clock::now(), &self.stream.req.parts);
        StreamEnd::Complete
    }

    /// Ends the run of a source that nobody waits for any more. If it is silent, its VM may have failed
    /// without closing the connection.
    fn leave_source(&mut self, end: StreamEnd) -> StreamEnd {
        if let Some(source) = &self.source
            && source.silence(clock::now()) >= CHECKED_SILENCE
        {
            let stream = self.stream;
            crash_check::check_left_target(&stream.node, &stream.req, &source.permit.target);
        }
        end
    }

    /// Ends the run of a source whose stream broke. Another target is asked if it may be.
    fn lose_source(&mut self) -> Option<StreamEnd> {
        self.end_source("broken stream", RunEnd::Broken);
        if self.takeover.is_some() {
            return None;
        }
        self.take_over_lost_stream()
    }

    fn take_over_lost_stream(&mut self) -> Option<StreamEnd> {
        if !self.can_be_taken_over() {
            return Some(StreamEnd::Broken);
        }
        self.start_takeover();
        None
    }

    fn end_source(&mut self, reason: &'static str, end: RunEnd) {
        let Some(source) = self.source.take() else {
            return;
        };
        let stream = self.stream;
        stream.log.borrow().log_failed_attempt(reason);
        crash_check::check_target(&stream.node, &stream.req, &source.permit.target);
        stream
            .permit_request
            .borrow_mut()
            .avoid
            .push(source.permit.key);
        source.end(end);
    }

    fn start_takeover(&mut self) {
        let source = self.source.as_ref().map(|source| source.permit.key);
        let events = self.events.successor();
        self.takeover = Some(Box::pin(take_over(self.stream, events, source)));
    }

    /// Stops the target that was asked to go on, as the source does.
    fn give_up_takeover(&mut self) {
        if self.takeover.take().is_some() {
            counter!("primrosechute_takeovers_total", "outcome" => "given_up").increment(1);
        }
    }

    fn end_takeover(&mut self, end: &TakeoverEnd) -> Option<StreamEnd> {
        self.takeover = None;
        self.silent_since = clock::now();
        match (&self.source, end) {
            (Some(_), _) => None,
            // The caller can resume the stream itself, and will be told when there is room.
            (None, TakeoverEnd::Refused) => Some(StreamEnd::Broken),
            (None, _) => self.take_over_lost_stream(),
        }
    }

    /// Lets another target go on. Its first event has arrived, so the source is stopped now.
    async fn switch(&mut self, successor: Successor) -> Option<StreamEnd> {
        self.takeover = None;
        self.end_source("silent stream", RunEnd::TimedOut);
        counter!("primrosechute_streams_resumed_total").increment(1);
        let Successor {
            source,
            events,
            ready,
            reserved,
        } = successor;
        self.stream.log.borrow_mut().record_permit(&source.permit);
        self.source = Some(source);
        self.events = events;
        self.reserved = reserved;
        self.silent_since = clock::now();
        self.send(ready?).await
    }
}

/// The next part of a stream; pending if there is no stream.
async fn next_part(source: Option<&mut TargetStream>, is_inside_event: bool) -> StreamPart {
    match source {
        Some(source) => source.next(is_inside_event).await,
        None => std::future::pending().await,
    }
}

/// The end of a takeover; pending if there is none.
async fn takeover_end(takeover: Option<&mut Takeover<'_>>) -> TakeoverEnd {
    match takeover {
        Some(takeover) => takeover.await,
        None => std::future::pending().await,
    }
}
