//! Client side of one request under at-most-once dispatch.
//!
//! A request keeps its id and its entry. After a lost response it is sent again only to the
//! incarnation that the id names. The daemon recognizes the id and attaches the new connection to
//! the run that already exists instead of starting another. A broken stream is resumed at the same
//! entry. A request with the outcome `unknown` is never resent, because it may have run.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::http::{self as client, Client, RequestParts, SendError};
use crate::sse::{Event, Parser};

const ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
const TIER_HEADER: HeaderName = HeaderName::from_static("x-primrosechute-tier");
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-primrosechute-deadline");
const OUTCOME_HEADER: HeaderName = HeaderName::from_static("x-primrosechute-outcome");
const REASON_HEADER: HeaderName = HeaderName::from_static("x-primrosechute-reason");

/// Timeout for the response head, and again for the body of a response that is not a stream. After
/// it the request is sent again with the same id and attaches to its existing run.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without data after which a stream counts as broken and is resumed. Daemons send a keepalive
/// comment every second by default.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Most resends of a request, and most consecutive attempts to resume a stream that bring no event.
const MAX_ATTEMPTS: u32 = 5;
/// Delay before the first resend or resume; it doubles with each further one. A daemon cancels a
/// run 2 s after its caller disconnected, so at least the first two come within that time.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Largest accepted response. Daemons buffer at most 16 MiB of one.
const MAX_RESPONSE_BYTES: usize = 17 << 20;
/// Most bytes buffered for an incomplete event of a stream.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Timeout for looking up the outcome of a request whose response was lost.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(2);

/// Final state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Outcome {
    Served,
    Shed,
    Refused,
    Failed,
    Unknown,
}

impl Outcome {
    pub(crate) fn label(self) -> &'static str {
        match self {
            Outcome::Served => "served",
            Outcome::Shed => "shed",
            Outcome::Refused => "refused",
            Outcome::Failed => "failed",
            Outcome::Unknown => "unknown",
        }
    }

    /// Parses an outcome. An unexpected label does not prove whether the request ran, so it counts
    /// as unknown.
    fn from_label(label: &str) -> Self {
        match label {
            "served" => Outcome::Served,
            "shed" => Outcome::Shed,
            "refused" => Outcome::Refused,
            "failed" => Outcome::Failed,
            _ => Outcome::Unknown,
        }
    }
}

/// A request as the caller specifies it, without its id.
#[derive(Clone, Debug)]
pub(crate) struct RequestSpec {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Bytes,
    /// Value of the authorization header, marked as sensitive.
    pub(crate) key: Option<HeaderValue>,
    pub(crate) tier: Option<HeaderValue>,
    pub(crate) deadline: Option<HeaderValue>,
}

impl RequestSpec {
    fn request_parts(&self, id: &HeaderValue) -> RequestParts {
        let mut headers = self.key_header();
        headers.insert(ID_HEADER, id.clone());
        if !self.body.is_empty() {
            let json = HeaderValue::from_static("application/json");
            headers.insert(header::CONTENT_TYPE, json);
        }
        let optional = [(TIER_HEADER, &self.tier), (DEADLINE_HEADER, &self.deadline)];
        for (name, value) in optional {
            if let Some(value) = value {
                headers.insert(name, value.clone());
            }
        }
        RequestParts {
            method: self.method.clone(),
            path: self.path.clone(),
            headers,
            body: self.body.clone(),
        }
    }

    fn key_header(&self) -> HeaderMap {
        let key = self.key.clone().map(|key| (header::AUTHORIZATION, key));
        key.into_iter().collect()
    }
}

/// Result of a request after all resends and resumes.
#[derive(Clone, Debug)]
pub(crate) struct CallResult {
    pub(crate) outcome: Outcome,
    pub(crate) reason: String,
    /// HTTP status of the last response; `None` if no response arrived.
    pub(crate) status: Option<u16>,
    /// Request id in the headers of the response.
    pub(crate) response_request_id: Option<String>,
    /// Body of a response that is not a stream.
    pub(crate) body: Bytes,
    /// Whether the whole response was received.
    pub(crate) complete: bool,
    /// Events of a stream, including the final `[DONE]` event.
    pub(crate) events: u64,
    pub(crate) resends: u32,
    pub(crate) resumes: u32,
}

impl CallResult {
    /// A result with an outcome but no response.
    pub(crate) fn without_response(outcome: Outcome, reason: String) -> Self {
        CallResult {
            outcome,
            reason,
            status: None,
            response_request_id: None,
            body: Bytes::new(),
            complete: false,
            events: 0,
            resends: 0,
            resumes: 0,
        }
    }
}

/// Nothing was sent, usually because no connection could be opened.
#[derive(Debug)]
pub(crate) struct NotSent(pub(crate) String);

/// Generates a request id that allows only the given incarnation to dispatch the request.
pub(crate) fn new_request_id(incarnation: &str) -> String {
    format!("{incarnation}-{:032x}", rand::random::<u128>())
}

/// Sends a request to one entry and waits for its result. `on_event` gets each event of a stream
/// except the final one.
pub(crate) async fn run(
    client: &Client,
    entry: SocketAddr,
    id: &str,
    spec: &RequestSpec,
    on_event: impl FnMut(&Event),
) -> Result<CallResult, NotSent> {
    let id_value = HeaderValue::from_str(id).map_err(|err| NotSent(err.to_string()))?;
    let parts = spec.request_parts(&id_value);
    let mut call = Call {
        client,
        entry,
        id,
        spec,
        on_event,
        result: CallResult::without_response(Outcome::Unknown, String::new()),
    };
    call.send(&parts).await?;
    Ok(call.result)
}

/// State of a request while it is sent, resent or resumed.
struct Call<'a, F> {
    client: &'a Client,
    entry: SocketAddr,
    id: &'a str,
    spec: &'a RequestSpec,
    on_event: F,
    result: CallResult,
}

/// Why reading from one connection of a stream ended.
enum StreamEnd {
    /// The stream ended, was ended by an error event, or exceeded a size limit.
    Finished,
    /// The connection broke or was silent for too long, so the stream may be resumed.
    Broken,
}

impl<F: FnMut(&Event)> Call<'_, F> {
    async fn send(&mut self, parts: &RequestParts) -> Result<(), NotSent> {
        for attempt in 0..=MAX_ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(backoff(attempt)).await;
                self.result.resends += 1;
            }
            match self.client.send(self.entry, parts, RESPONSE_TIMEOUT).await {
                Ok(response) if is_stream(&response) => {
                    self.follow_stream(response).await;
                    return Ok(());
                }
                Ok(response) => {
                    if self.read_plain_response(response).await {
                        return Ok(());
                    }
                }
                Err(SendError::NotSent(message)) if attempt == 0 => return Err(NotSent(message)),
                Err(_) => {}
            }
        }
        self.use_looked_up_outcome().await;
        Ok(())
    }

    /// Reads a response that is not a stream. Returns false if its body is incomplete or too large.
    async fn read_plain_response(&mut self, response: Response<Incoming>) -> bool {
        let (head, body) = response.into_parts();
        let read = tokio::time::timeout(
            RESPONSE_TIMEOUT,
            client::read_body(body, MAX_RESPONSE_BYTES),
        )
        .await;
        let Ok(Ok(body)) = read else {
            return false;
        };
        self.record_head(head.status, &head.headers);
        let label = header_text(&head.headers, &OUTCOME_HEADER).unwrap_or_default();
        self.result.outcome = Outcome::from_label(label);
        let reason = match (
            self.result.outcome,
            header_text(&head.headers, &REASON_HEADER),
        ) {
            (_, Some(reason)) => reason,
            (Outcome::Unknown, None) => "the answer names no outcome",
            (_, None) => "",
        };
        reason.clone_into(&mut self.result.reason);
        // The entry responds with 409 when it knows the outcome but has no response to return.
        self.result.complete =
            self.result.outcome == Outcome::Served && head.status != StatusCode::CONFLICT;
        self.result.body = body;
        true
    }

    fn record_head(&mut self, status: StatusCode, headers: &HeaderMap) {
        self.result.status = Some(status.as_u16());
        self.result.response_request_id = header_text(headers, &ID_HEADER).map(str::to_owned);
    }

    /// Reads a stream to its end, resuming it each time its connection breaks.
    async fn follow_stream(&mut self, response: Response<Incoming>) {
        self.record_head(response.status(), response.headers());
        let mut body = Some(response.into_body());
        let mut attempt = 0;
        let mut last_events = 0;
        loop {
            if let Some(body) = body.take()
                && let StreamEnd::Finished = self.read_stream(body).await
            {
                return;
            }
            if std::mem::replace(&mut last_events, self.result.events) < self.result.events {
                attempt = 0;
            }
            attempt += 1;
            if attempt > MAX_ATTEMPTS {
                self.use_looked_up_outcome().await;
                return;
            }
            tokio::time::sleep(backoff(attempt)).await;
            self.result.resumes += 1;
            let path = format!("/v1/streams/{}?offset={}", self.id, self.result.events);
            let parts = RequestParts::get(path, self.spec.key_header());
            match self.client.send(self.entry, &parts, RESPONSE_TIMEOUT).await {
                Ok(response) if is_stream(&response) => body = Some(response.into_body()),
                Ok(response) => {
                    if self.read_plain_response(response).await {
                        // This response does not contain the rest of the stream.
                        self.result.complete = false;
                        return;
                    }
                }
                Err(_) => {}
            }
        }
    }

    async fn read_stream(&mut self, mut body: Incoming) -> StreamEnd {
        let mut parser = Parser::default();
        let mut size = 0;
        loop {
            let frame = tokio::time::timeout(STREAM_IDLE_TIMEOUT, body.frame()).await;
            let Ok(Some(Ok(frame))) = frame else {
                return StreamEnd::Broken;
            };
            let Some(data) = frame.data_ref() else {
                continue;
            };
            size += data.len();
            for event in parser.push(data) {
                if self.handle_event(&event) {
                    return StreamEnd::Finished;
                }
            }
            if size > MAX_RESPONSE_BYTES || parser.buffered() > MAX_EVENT_BYTES {
                "the answer is too large".clone_into(&mut self.result.reason);
                return StreamEnd::Finished;
            }
        }
    }

    /// Handles an event of a stream. Returns true for the final one.
    fn handle_event(&mut self, event: &Event) -> bool {
        if event.is_error() {
            let problem: Problem = serde_json::from_str(&event.data).unwrap_or_default();
            self.result.outcome = Outcome::from_label(&problem.outcome);
            self.result.reason = problem.reason;
            return true;
        }
        self.result.events += 1;
        if event.is_done() {
            self.result.outcome = Outcome::Served;
            self.result.complete = true;
            return true;
        }
        (self.on_event)(event);
        false
    }

    /// Sets the outcome by a lookup at the entry, because the response is lost.
    async fn use_looked_up_outcome(&mut self) {
        let (outcome, reason) = look_up_outcome(self.client, &[self.entry], self.id).await;
        self.result.outcome = outcome;
        self.result.reason = reason;
    }
}

/// The fields of a problem document that are used here.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Problem {
    outcome: String,
    reason: String,
}

/// Asks entries in turn for the outcome of a request, without sending the request. The first valid
/// response counts.
pub(crate) async fn look_up_outcome(
    client: &Client,
    entries: &[SocketAddr],
    id: &str,
) -> (Outcome, String) {
    let path = format!("/v1/outcomes/{id}");
    for &entry in entries {
        let problem: Result<Problem, _> = client.get_json(entry, &path, OUTCOME_TIMEOUT).await;
        if let Ok(problem) = problem {
            return (Outcome::from_label(&problem.outcome), problem.reason);
        }
    }
    (Outcome::Unknown, "unreachable".into())
}

/// Exponential delay before an attempt, which counts from 1.
fn backoff(attempt: u32) -> Duration {
    INITIAL_BACKOFF * 2u32.pow(attempt.min(MAX_ATTEMPTS) - 1)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn is_stream(response: &Response<Incoming>) -> bool {
    response
        .headers()
        .get(header::CONTENT_TYPE)
        .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}
