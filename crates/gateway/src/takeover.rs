//! Lets another target go on with a stream that broke, or whose target is silent.

use std::time::Duration;

use admit::RunEnd;
use bytes::Bytes;
use log::info;
use metrics::counter;

use crate::adapter::Attestation;
use crate::attempt::{self, Attempt, Channel, ReceivedHead, SendOutcome};
use crate::body::count_full;
use crate::buffer_budget::Reservation;
use crate::clock;
use crate::crash_check;
use crate::event_splitter::EventSplitter;
use crate::permit::{self, Permit};
use crate::relay::StreamContext;
use crate::request::head_timeout;
use crate::target_stream::{StreamPart, TargetStream};

/// How an attempt to let another target go on with a stream ended.
pub(crate) enum TakeoverEnd {
    GoesOn(Box<Successor>),
    /// No target may be asked at this moment. Nothing was sent.
    Refused,
    /// A target was asked and did not go on.
    Failed,
}

/// The stream of another target that goes on after the last event that the caller has.
pub(crate) struct Successor {
    pub(crate) source: TargetStream,
    pub(crate) events: EventSplitter,
    /// Its first events; `None` if it ended without any, as none were left.
    pub(crate) ready: Option<Bytes>,
    /// Covers `ready` and what the splitter holds.
    pub(crate) reserved: Reservation,
}

/// Sends the request to another target and waits for its first event. Until then the caller gets
/// nothing of it, so that the target before can still go on. `avoid` is that target.
pub(crate) async fn take_over(
    stream: &StreamContext,
    events: EventSplitter,
    avoid: Option<u64>,
) -> TakeoverEnd {
    if is_refused(stream) {
        return count(TakeoverEnd::Refused);
    }
    let asked_at = clock::now();
    let Some(permit) = acquire_permit(stream, avoid).await else {
        return count(TakeoverEnd::Refused);
    };
    let permit_wait = clock::now().saturating_sub(asked_at);
    stream.log.borrow_mut().record_permit_wait(permit_wait);
    let target = permit.target.clone();
    match send(stream, permit, events).await {
        Ok(successor) => count(TakeoverEnd::GoesOn(Box::new(successor))),
        Err(Failure { reason, end }) => {
            info!(
                id = &*stream.req.id, target = &*target.id, reason = reason;
                "entry: another target did not go on with a stream"
            );
            if matches!(end, RunEnd::Broken | RunEnd::TimedOut) {
                crash_check::check_target(&stream.node, &stream.req, &target);
            }
            count(TakeoverEnd::Failed)
        }
    }
}

fn count(end: TakeoverEnd) -> TakeoverEnd {
    let outcome = match end {
        TakeoverEnd::GoesOn(_) => "went_on",
        TakeoverEnd::Refused => "refused",
        TakeoverEnd::Failed => "failed",
    };
    counter!("primrosechute_takeovers_total", "outcome" => outcome).increment(1);
    end
}

/// Why a target did not go on.
struct Failure {
    reason: &'static str,
    end: RunEnd,
}

fn is_refused(stream: &StreamContext) -> bool {
    let poison_parts = stream.node.poison_parts.borrow();
    let refusal = poison_parts.refusal(clock::now(), &stream.req.parts);
    refusal.is_some()
}

async fn acquire_permit(stream: &StreamContext, avoid: Option<u64>) -> Option<Permit> {
    let mut request = stream.permit_request.borrow().clone();
    request.avoid.extend(avoid);
    request.time_left = stream.time_left();
    request.max_wait = request.max_wait.min(request.time_left);
    request.due = clock::now() + request.max_wait;
    let permit = permit::acquire(&stream.node, &request).await.ok()?;
    // It may have become known while the request waited.
    if is_refused(stream) {
        permit.end(RunEnd::Unused);
        return None;
    }
    Some(permit)
}

/// Sends the request. The run is ended if the target does not go on.
async fn send(
    stream: &StreamContext,
    permit: Permit,
    events: EventSplitter,
) -> Result<Successor, Failure> {
    let target = permit.target.clone();
    stream.record_send(permit.key);
    let time_left = stream.time_left();
    // A silent target is given up if another one can be asked.
    let patience = if stream.has_attempts_left() {
        time_left.min(head_timeout(&stream.route))
    } else {
        time_left
    };
    let until = clock::now() + patience;
    let attempt = Attempt {
        time_left,
        head_timeout: patience,
        last_event: events.last_id(),
        // A pooled connection may be reset, and this may be the last attempt.
        channel: Channel::New,
    };
    let sent = attempt::send(&stream.node, &stream.req, &target, &attempt).await;
    match received_head(stream, sent) {
        Ok(received) => {
            let source = TargetStream::new(permit, received);
            read_first_events(stream, until, source, events).await
        }
        Err(failure) => {
            permit.end(failure.end);
            Err(failure)
        }
    }
}

/// The response head, if it is that of a stream that goes on.
fn received_head(stream: &StreamContext, sent: SendOutcome) -> Result<ReceivedHead, Failure> {
    let (reason, end) = match sent {
        SendOutcome::Head(received) => {
            let attestation = received.head.attestation;
            match attempt::rejected_run_end(attestation) {
                Some(end) => ("rejected", end),
                None if attestation == Attestation::Signed && received.response.status() == 200 => {
                    return Ok(*received);
                }
                None => ("failed answer", RunEnd::Error),
            }
        }
        SendOutcome::NotSent => {
            stream.undo_send();
            ("not sent", RunEnd::Unreachable)
        }
        SendOutcome::Broken(reason) => (reason, RunEnd::Broken),
        SendOutcome::TimedOut => ("silent", RunEnd::TimedOut),
    };
    Err(Failure { reason, end })
}

async fn read_first_events(
    stream: &StreamContext,
    until: Duration,
    mut source: TargetStream,
    mut events: EventSplitter,
) -> Result<Successor, Failure> {
    let mut reserved = stream.node.buffers.reserve();
    let reading = first_events(&mut source, &mut events, &mut reserved);
    let read = match stream.node.before(until, reading).await {
        Some(read) => read,
        None => Err(("silent", RunEnd::TimedOut)),
    };
    match read {
        Ok(ready) => {
            source.record_data(clock::now(), events.count());
            Ok(Successor {
                source,
                events,
                ready,
                reserved,
            })
        }
        Err((reason, end)) => {
            source.end(end);
            Err(Failure { reason, end })
        }
    }
}

/// Reads up to the first complete event. Returns `None` if the stream ends without any.
async fn first_events(
    source: &mut TargetStream,
    events: &mut EventSplitter,
    reserved: &mut Reservation,
) -> Result<Option<Bytes>, (&'static str, RunEnd)> {
    if !source.has_events {
        return Err(("no events", RunEnd::Error));
    }
    let before = events.successor();
    loop {
        match source.next(events.is_inside_event()).await {
            StreamPart::Broken => return Err(("broken stream", RunEnd::Broken)),
            StreamPart::Complete => return Ok(None),
            StreamPart::Data(data) => {
                if !reserved.grow(data.len()) {
                    count_full("stream");
                    return Err(("memory", RunEnd::Cancelled));
                }
                let Some(ready) = events.push(&data) else {
                    continue;
                };
                return if before.is_followed_by(&ready) {
                    Ok(Some(ready))
                } else {
                    Err(("other events", RunEnd::Broken))
                };
            }
        }
    }
}
