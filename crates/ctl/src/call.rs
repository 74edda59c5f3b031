//! One request by the rules of at-most-once dispatch.
//!
//! A request keeps its id and its entry: it is sent again only to the incarnation that the id
//! names, where it joins its own run, and a broken stream is resumed there. An `unknown` is final.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::http::{self as client, Client, Message, NoAnswer};
use crate::sse::{Event, Parser};

const ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
const TIER_HEADER: HeaderName = HeaderName::from_static("x-primrosechute-tier");
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-primrosechute-deadline");
const OUTCOME_HEADER: HeaderName = HeaderName::from_static("x-primrosechute-outcome");
const REASON_HEADER: HeaderName = HeaderName::from_static("x-primrosechute-reason");

/// Time for the head of an answer; then the request is sent again and joins its run.
const ANSWER_WAIT: Duration = Duration::from_secs(30);
/// Silence after which a stream is resumed. Daemons send a comment each second by default.
const STREAM_SILENT: Duration = Duration::from_secs(5);
/// Attempts to send a request again, and to resume a stream without getting an event.
const MAX_ATTEMPTS: u32 = 5;
/// Pause before the first further attempt; it doubles with each. A daemon cancels a run 2 s after
/// its caller left, so the first two attempts are made within that time.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Largest answer. Daemons keep at most 16 MiB of one.
const MAX_ANSWER: usize = 17 << 20;
/// Largest single event of a stream.
const MAX_EVENT: usize = 1 << 20;
/// Time for the outcome of a request whose answer was lost.
const OUTCOME_WAIT: Duration = Duration::from_secs(2);

/// What became of a request.
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

    /// An unexpected label is not a proof of anything, so it counts as unknown.
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

/// What a caller asks for.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Bytes,
    /// Value of the authorization header, marked as sensitive.
    pub(crate) key: Option<HeaderValue>,
    pub(crate) tier: Option<HeaderValue>,
    pub(crate) deadline: Option<HeaderValue>,
}

impl Ask {
    fn message(&self, id: &HeaderValue) -> Message {
        let mut headers = self.key_header();
        headers.insert(ID_HEADER, id.clone());
        if !self.body.is_empty() {
            let json = HeaderValue::from_static("application/json");
            headers.insert(header::CONTENT_TYPE, json);
        }
        let more = [(TIER_HEADER, &self.tier), (DEADLINE_HEADER, &self.deadline)];
        for (name, value) in more {
            if let Some(value) = value {
                headers.insert(name, value.clone());
            }
        }
        Message {
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

/// How a request ended.
#[derive(Clone, Debug)]
pub(crate) struct Ended {
    pub(crate) outcome: Outcome,
    pub(crate) reason: String,
    /// Status of the last answer; `None` if none came.
    pub(crate) status: Option<u16>,
    /// Request id that the answer names.
    pub(crate) answered_id: Option<String>,
    /// Whole body of an answer that is not a stream.
    pub(crate) body: Bytes,
    /// Whether the answer came to its end.
    pub(crate) whole: bool,
    /// Events of a stream, its end included.
    pub(crate) events: u64,
    pub(crate) resends: u32,
    pub(crate) resumes: u32,
}

impl Ended {
    /// An outcome without an answer.
    pub(crate) fn looked_up(outcome: Outcome, reason: String) -> Self {
        Ended {
            outcome,
            reason,
            status: None,
            answered_id: None,
            body: Bytes::new(),
            whole: false,
            events: 0,
            resends: 0,
            resumes: 0,
        }
    }
}

/// Nothing was sent because no connection could be opened.
#[derive(Debug)]
pub(crate) struct NotSent(pub(crate) String);

/// A new id that lets only the given incarnation dispatch the request.
pub(crate) fn mint(incarnation: &str) -> String {
    format!("{incarnation}-{:032x}", rand::random::<u128>())
}

/// Sends a request to one entry and follows it to its end. `on_event` gets each event of a stream
/// but the last.
pub(crate) async fn run(
    client: &Client,
    entry: SocketAddr,
    id: &str,
    ask: &Ask,
    on_event: impl FnMut(&Event),
) -> Result<Ended, NotSent> {
    let id_value = HeaderValue::from_str(id).map_err(|err| NotSent(err.to_string()))?;
    let message = ask.message(&id_value);
    let mut run = Run {
        client,
        entry,
        id,
        ask,
        on_event,
        ended: Ended::looked_up(Outcome::Unknown, String::new()),
    };
    run.send(&message).await?;
    Ok(run.ended)
}

struct Run<'a, F> {
    client: &'a Client,
    entry: SocketAddr,
    id: &'a str,
    ask: &'a Ask,
    on_event: F,
    ended: Ended,
}

/// End of one connection's part of a stream.
enum Part {
    /// The stream or the request came to its end.
    Over,
    Broken,
}

impl<F: FnMut(&Event)> Run<'_, F> {
    async fn send(&mut self, message: &Message) -> Result<(), NotSent> {
        for attempt in 0..=MAX_ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(pause(attempt)).await;
                self.ended.resends += 1;
            }
            match self.client.send(self.entry, message, ANSWER_WAIT).await {
                Ok(response) if is_stream(&response) => {
                    self.follow(response).await;
                    return Ok(());
                }
                Ok(response) => {
                    if self.take_plain(response).await {
                        return Ok(());
                    }
                }
                Err(NoAnswer::NotSent(text)) if attempt == 0 => return Err(NotSent(text)),
                Err(_) => {}
            }
        }
        self.look_up().await;
        Ok(())
    }

    /// Takes an answer that is not a stream. Returns false if it was cut off.
    async fn take_plain(&mut self, response: Response<Incoming>) -> bool {
        let (parts, body) = response.into_parts();
        let read = tokio::time::timeout(ANSWER_WAIT, client::body(body, MAX_ANSWER)).await;
        let Ok(Ok(body)) = read else {
            return false;
        };
        self.take_head(parts.status, &parts.headers);
        let label = text(&parts.headers, &OUTCOME_HEADER).unwrap_or_default();
        self.ended.outcome = Outcome::from_label(label);
        let reason = match (self.ended.outcome, text(&parts.headers, &REASON_HEADER)) {
            (_, Some(reason)) => reason,
            (Outcome::Unknown, None) => "the answer names no outcome",
            (_, None) => "",
        };
        reason.clone_into(&mut self.ended.reason);
        // The entry answers 409 when it knows the outcome but has no answer to give.
        self.ended.whole =
            self.ended.outcome == Outcome::Served && parts.status != StatusCode::CONFLICT;
        self.ended.body = body;
        true
    }

    fn take_head(&mut self, status: StatusCode, headers: &HeaderMap) {
        self.ended.status = Some(status.as_u16());
        self.ended.answered_id = text(headers, &ID_HEADER).map(str::to_owned);
    }

    /// Reads a stream to its end and resumes it when its connection breaks.
    async fn follow(&mut self, response: Response<Incoming>) {
        self.take_head(response.status(), response.headers());
        let mut body = Some(response.into_body());
        let mut attempt = 0;
        let mut seen = 0;
        loop {
            if let Some(body) = body.take()
                && let Part::Over = self.read(body).await
            {
                return;
            }
            if std::mem::replace(&mut seen, self.ended.events) < self.ended.events {
                attempt = 0;
            }
            attempt += 1;
            if attempt > MAX_ATTEMPTS {
                self.look_up().await;
                return;
            }
            tokio::time::sleep(pause(attempt)).await;
            self.ended.resumes += 1;
            let path = format!("/v1/streams/{}?offset={}", self.id, self.ended.events);
            let message = Message::get(path, self.ask.key_header());
            match self.client.send(self.entry, &message, ANSWER_WAIT).await {
                Ok(response) if is_stream(&response) => body = Some(response.into_body()),
                Ok(response) => {
                    if self.take_plain(response).await {
                        // Whatever it says, it is not the rest of the stream.
                        self.ended.whole = false;
                        return;
                    }
                }
                Err(_) => {}
            }
        }
    }

    async fn read(&mut self, mut body: Incoming) -> Part {
        let mut parser = Parser::default();
        let mut size = 0;
        loop {
            let frame = tokio::time::timeout(STREAM_SILENT, body.frame()).await;
            let Ok(Some(Ok(frame))) = frame else {
                return Part::Broken;
            };
            let Some(data) = frame.data_ref() else {
                continue;
            };
            size += data.len();
            for event in parser.push(data) {
                if self.take_event(&event) {
                    return Part::Over;
                }
            }
            if size > MAX_ANSWER || parser.kept() > MAX_EVENT {
                "the answer is too large".clone_into(&mut self.ended.reason);
                return Part::Over;
            }
        }
    }

    /// Takes an event. Returns true for the last one.
    fn take_event(&mut self, event: &Event) -> bool {
        if event.is_error() {
            let problem: Problem = serde_json::from_str(&event.data).unwrap_or_default();
            self.ended.outcome = Outcome::from_label(&problem.outcome);
            self.ended.reason = problem.reason;
            return true;
        }
        self.ended.events += 1;
        if event.is_done() {
            self.ended.outcome = Outcome::Served;
            self.ended.whole = true;
            return true;
        }
        (self.on_event)(event);
        false
    }

    /// Asks for the outcome of a request whose answer is lost.
    async fn look_up(&mut self) {
        let (outcome, reason) = look_up(self.client, &[self.entry], self.id).await;
        self.ended.outcome = outcome;
        self.ended.reason = reason;
    }
}

/// A problem document, as far as it is used here.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Problem {
    outcome: String,
    reason: String,
}

/// Asks entries in turn for the outcome of a request, without sending it.
pub(crate) async fn look_up(
    client: &Client,
    entries: &[SocketAddr],
    id: &str,
) -> (Outcome, String) {
    let path = format!("/v1/outcomes/{id}");
    for &entry in entries {
        let found: Result<Problem, _> = client.document(entry, &path, OUTCOME_WAIT).await;
        if let Ok(found) = found {
            return (Outcome::from_label(&found.outcome), found.reason);
        }
    }
    (Outcome::Unknown, "unreachable".into())
}

fn pause(attempt: u32) -> Duration {
    FIRST_PAUSE * 2u32.pow(attempt.min(MAX_ATTEMPTS) - 1)
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn is_stream(response: &Response<Incoming>) -> bool {
    response
        .headers()
        .get(header::CONTENT_TYPE)
        .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}
