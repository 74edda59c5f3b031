//! The stream of one target, from its response head on.

use std::time::Duration;

use admit::RunEnd;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::adapter::ResponseHead;
use crate::attempt::ReceivedHead;
use crate::clock;
use crate::node::Node;
use crate::permit::Permit;
use crate::upstream::Upstream;

const EVENT_STREAM: &str = "text/event-stream";

pub(crate) struct TargetStream {
    pub(crate) permit: Permit,
    upstream: Upstream,
    body: Incoming,
    head: ResponseHead,
    /// Whether the end of the connection is the end of the stream.
    ends_with_connection: bool,
    /// Whether the body is a series of events. Another body may end anywhere.
    pub(crate) has_events: bool,
    /// Whether the owner knows that the first event has arrived.
    has_started: bool,
    /// Time of the first data, and the number of events then.
    first_data: Option<(Duration, u32)>,
    last_data_at: Option<Duration>,
    began_at: Duration,
}

/// What arrived next.
pub(crate) enum StreamPart {
    Data(Bytes),
    Complete,
    Broken,
}

impl TargetStream {
    pub(crate) fn new(permit: Permit, received: ReceivedHead) -> Self {
        let content_type = received.response.headers().get(CONTENT_TYPE);
        let has_events =
            content_type.is_none_or(|value| value.as_bytes().starts_with(EVENT_STREAM.as_bytes()));
        TargetStream {
            permit,
            ends_with_connection: received.ends_with_connection(),
            upstream: received.upstream,
            body: received.response.into_body(),
            head: received.head,
            has_events,
            has_started: false,
            first_data: None,
            last_data_at: None,
            began_at: clock::now(),
        }
    }

    /// Waits for the next part. If the future is dropped, nothing is lost.
    pub(crate) async fn next(&mut self, is_inside_event: bool) -> StreamPart {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return StreamPart::Data(data);
                    }
                }
                Some(Err(_)) => return StreamPart::Broken,
                // The end of a connection may be the end of the response.
                None if is_inside_event && self.has_events => return StreamPart::Broken,
                None if !self.ends_with_connection => return StreamPart::Complete,
                None => {
                    return if self.upstream.has_ended_in_order().await {
                        StreamPart::Complete
                    } else {
                        StreamPart::Broken
                    };
                }
            }
        }
    }

    /// Records the arrival of data, after which `count` events are complete, for the report to the
    /// owner. Returns the pause before it.
    pub(crate) fn record_data(&mut self, now: Duration, count: u32) -> Option<Duration> {
        if count > 0 && !std::mem::replace(&mut self.has_started, true) {
            self.permit.report_start(self.head.load);
        }
        let (first_at, first_count) = *self.first_data.get_or_insert((now, count));
        let new_events = count.saturating_sub(first_count);
        if new_events > 0 {
            self.permit.report.time_per_unit = Some(now.saturating_sub(first_at) / new_events);
        }
        let last = self.last_data_at.replace(now)?;
        let pause = now.saturating_sub(last);
        let longest = self.permit.report.longest_pause.get_or_insert(pause);
        *longest = pause.max(*longest);
        Some(pause)
    }

    /// Time since the last data, or since the response head.
    pub(crate) fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_data_at.unwrap_or(self.began_at))
    }

    /// Ends the run of a complete stream, and keeps the connection for another request.
    pub(crate) fn complete(mut self, node: &Node, count: u32) {
        self.permit.report.events = Some(count);
        self.permit.end(RunEnd::Served);
        if !self.head.close {
            let keep = self.head.keep_alive;
            node.upstreams.put(clock::now(), self.upstream, keep);
        }
    }

    /// Ends the run. Closing the connection stops the target.
    pub(crate) fn end(self, end: RunEnd) {
        self.permit.end(end);
    }
}
