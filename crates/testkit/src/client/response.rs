use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_TYPE, HeaderMap};
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::conn::Connection;
use super::sse::{Event, EventParser};

/// A response with its whole body, or with the part received before the body broke off.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// Status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Body as received.
    pub body: Bytes,
    /// Events, if the response is an event stream.
    pub events: Vec<Event>,
    /// Why the body broke off, or `None` if it is complete.
    pub error: Option<String>,
    /// Time from the start of the call to the first event.
    pub time_to_first_event: Option<Duration>,
    /// Time from the start of the call to the end of the body.
    pub elapsed: Duration,
}

impl ClientResponse {
    /// Value of a header as text, or an empty string if it is absent or not visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    /// Whether the body is complete by the rules of HTTP.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.error.is_none()
    }

    /// Whether an event stream ended normally: its body is complete and `[DONE]` is its last event.
    #[must_use]
    pub fn is_done(&self) -> bool {
        let last = self.events.last();
        self.is_complete() && last.is_some_and(|event| event.data == "[DONE]")
    }

    /// Body parsed as JSON, or `null` if it is not valid JSON.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Generated text of a completion, taken from the JSON body or from the events.
    #[must_use]
    pub fn text(&self) -> String {
        if self.events.is_empty() {
            return choice_text(&self.json());
        }
        let parts = self.events.iter();
        let parts = parts.filter_map(|event| serde_json::from_str(&event.data).ok());
        parts.map(|part| choice_text(&part)).collect()
    }
}

fn choice_text(value: &serde_json::Value) -> String {
    let choice = &value["choices"][0];
    let pointers = ["/text", "/delta/content", "/message/content"];
    let text = pointers
        .iter()
        .find_map(|pointer| choice.pointer(pointer)?.as_str());
    text.unwrap_or_default().to_owned()
}

/// A response whose body is read incrementally. Dropping it closes the connection if the call
/// opened one of its own.
#[derive(Debug)]
pub struct StreamingResponse {
    /// Status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    body: Incoming,
    parser: EventParser,
    is_event_stream: bool,
    received: BytesMut,
    error: Option<String>,
    ended: bool,
    start: Instant,
    deadline: Instant,
    first_event: Option<Duration>,
    _conn: Option<Connection>,
}

impl StreamingResponse {
    pub(crate) fn new(
        res: Response<Incoming>,
        start: Instant,
        deadline: Instant,
        conn: Option<Connection>,
    ) -> Self {
        let (head, body) = res.into_parts();
        let kind = head.headers.get(CONTENT_TYPE);
        let is_event_stream =
            kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
        Self {
            status: head.status,
            headers: head.headers,
            body,
            parser: EventParser::default(),
            is_event_stream,
            received: BytesMut::new(),
            error: None,
            ended: false,
            start,
            deadline,
            first_event: None,
            _conn: conn,
        }
    }

    /// Returns the next event, or `None` when the body has ended or broken off.
    pub async fn next(&mut self) -> Option<Event> {
        loop {
            if let Some(event) = self.parser.next_event() {
                self.first_event.get_or_insert(self.start.elapsed());
                return Some(event);
            }
            if !self.read_frame().await {
                return None;
            }
        }
    }

    /// Number of comment lines received so far. Used to check keepalives.
    #[must_use]
    pub fn comments(&self) -> u64 {
        self.parser.comments()
    }

    /// Reads the rest of the body. The events in the result are only those that
    /// [`next`](Self::next) has not returned.
    pub async fn finish(mut self) -> ClientResponse {
        let mut events = Vec::new();
        if self.is_event_stream {
            while let Some(event) = self.next().await {
                events.push(event);
            }
        } else {
            while self.read_frame().await {}
        }
        ClientResponse {
            status: self.status,
            headers: self.headers,
            body: self.received.freeze(),
            events,
            error: self.error,
            time_to_first_event: self.first_event,
            elapsed: self.start.elapsed(),
        }
    }

    /// Reads one frame of the body. Returns false when the body has ended or broken off.
    async fn read_frame(&mut self) -> bool {
        if self.ended {
            return false;
        }
        match tokio::time::timeout_at(self.deadline, self.body.frame()).await {
            Ok(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                self.received.extend_from_slice(&data);
                if self.is_event_stream {
                    self.parser.push(&data);
                }
                return true;
            }
            Ok(Some(Err(e))) => self.error = Some(e.to_string()),
            Ok(None) => {}
            Err(_) => self.error = Some("timeout".to_owned()),
        }
        self.ended = true;
        false
    }
}
