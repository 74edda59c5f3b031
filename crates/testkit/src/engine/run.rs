use std::cmp::Ordering;
use std::fmt::Write;
use std::io;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use axum::body::Body;
use bytes::Bytes;
use futures_util::stream;
use serde_json::{Value, json};
use tokio::sync::watch;

use super::model::RunEnd;
use crate::server::ConnControl;

/// Maximum number of events in one chunk of a stream.
const MAX_EVENTS_PER_CHUNK: u32 = 64;

/// Text of token `index` that an engine generates for a body with this hash.
fn token_text(body_hash: u64, index: u32) -> String {
    format!("{:08x}:{index} ", body_hash >> 32)
}

/// Text of `tokens` tokens that an engine generates for a request with this body.
///
/// Every token contains part of the body's hash, so that a test can check that a response belongs
/// to its own request.
///
/// ```
/// let text = testkit::expected_text(br#"{"prompt":"hello"}"#, 2);
/// assert_eq!(text.split_whitespace().count(), 2);
/// ```
#[must_use]
pub fn expected_text(body: &[u8], tokens: u32) -> String {
    let hash = xxhash_rust::xxh3::xxh3_64(body);
    (0..tokens).map(|i| token_text(hash, i)).collect()
}

/// Parameters of a completion request.
#[derive(Clone, Debug)]
pub(crate) struct GenerationRequest {
    pub(crate) request_id: String,
    pub(crate) chat: bool,
    pub(crate) stream: bool,
    pub(crate) model: String,
    pub(crate) max_tokens: u32,
    pub(crate) prompt_tokens: u64,
    pub(crate) body_hash: u64,
}

/// Progress of a run, which its readers watch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    pub(crate) generated: u32,
    pub(crate) end: Option<RunEnd>,
}

/// A run and the data needed to build its response. Any number of readers can follow it.
pub(crate) struct Run {
    pub(crate) request: GenerationRequest,
    /// Index of its entry in `State::records`.
    pub(crate) record_index: usize,
    pub(crate) progress: watch::Sender<Progress>,
    /// Data of a token event, before and after the token's number.
    event_prefix: String,
    event_suffix: String,
    created: u64,
}

impl Run {
    pub(crate) fn new(request: GenerationRequest, record_index: usize) -> Self {
        let created = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_secs());
        let mut run = Self {
            request,
            record_index,
            progress: watch::Sender::default(),
            event_prefix: String::new(),
            event_suffix: String::new(),
            created,
        };
        let text = format!("{:08x}:", run.request.body_hash >> 32);
        let event = run.chunk(&text, None).to_string();
        // The token's number is inserted right after the text, which occurs only once in the event.
        let split_at = event
            .find(&text)
            .map_or(event.len(), |split_at| split_at + text.len());
        event[..split_at].clone_into(&mut run.event_prefix);
        run.event_suffix = format!(" {}", &event[split_at..]);
        run
    }

    fn id(&self) -> String {
        let kind = if self.request.chat {
            "chatcmpl"
        } else {
            "cmpl"
        };
        format!("{kind}-{}", self.request.request_id)
    }

    fn chunk(&self, text: &str, finish: Option<&str>) -> Value {
        let (object, choice) = if self.request.chat {
            let delta = match finish {
                None => json!({ "content": text }),
                Some(_) => json!({}),
            };
            (
                "chat.completion.chunk",
                json!({ "index": 0, "delta": delta, "finish_reason": finish }),
            )
        } else {
            (
                "text_completion",
                json!({ "index": 0, "text": text, "finish_reason": finish }),
            )
        };
        json!({
            "id": self.id(),
            "object": object,
            "created": self.created,
            "model": self.request.model,
            "choices": [choice],
        })
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.request.prompt_tokens,
            "completion_tokens": self.request.max_tokens,
            "total_tokens": self.request.prompt_tokens + u64::from(self.request.max_tokens),
        })
    }

    /// Non-streaming response of a complete run.
    pub(crate) fn full_response(&self) -> Value {
        let text: String = (0..self.request.max_tokens)
            .map(|i| token_text(self.request.body_hash, i))
            .collect();
        let (object, mut choice) = if self.request.chat {
            let message = json!({ "role": "assistant", "content": text });
            ("chat.completion", json!({ "message": message }))
        } else {
            ("text_completion", json!({ "text": text }))
        };
        choice["index"] = json!(0);
        choice["finish_reason"] = json!("length");
        json!({
            "id": self.id(),
            "object": object,
            "created": self.created,
            "model": self.request.model,
            "choices": [choice],
            "usage": self.usage(),
        })
    }

    /// Number of events in the whole stream: one per token, one with the usage, and `[DONE]`.
    pub(crate) fn event_count(&self) -> u32 {
        self.request.max_tokens + 2
    }

    fn write_event(&self, buf: &mut String, index: u32) {
        // Writing to a `String` never fails.
        let _ = match index.cmp(&self.request.max_tokens) {
            Ordering::Less => {
                let (event_prefix, event_suffix) = (&self.event_prefix, &self.event_suffix);
                write!(
                    buf,
                    "id: {index}\ndata: {event_prefix}{index}{event_suffix}\n\n"
                )
            }
            Ordering::Equal => {
                let mut last = self.chunk("", Some("length"));
                last["usage"] = self.usage();
                write!(buf, "id: {index}\ndata: {last}\n\n")
            }
            Ordering::Greater => write!(buf, "id: {index}\ndata: [DONE]\n\n"),
        };
    }

    /// Waits until the run has ended.
    pub(crate) async fn wait_for_end(&self) -> Option<RunEnd> {
        let mut rx = self.progress.subscribe();
        let progress = rx.wait_for(|progress| progress.end.is_some()).await;
        progress.ok().and_then(|progress| progress.end)
    }
}

/// Body of an event stream that starts at event `offset`.
pub(crate) fn event_stream_body(run: Arc<Run>, offset: u32, conn: ConnControl) -> Body {
    let rx = run.progress.subscribe();
    let reader = StreamReader {
        run,
        rx,
        offset,
        conn,
    };
    Body::from_stream(stream::try_unfold(reader, next_chunk))
}

struct StreamReader {
    run: Arc<Run>,
    rx: watch::Receiver<Progress>,
    offset: u32,
    conn: ConnControl,
}

async fn next_chunk(mut reader: StreamReader) -> io::Result<Option<(Bytes, StreamReader)>> {
    let StreamReader {
        run,
        rx,
        offset,
        conn,
    } = &mut reader;
    loop {
        let progress = *rx.borrow_and_update();
        let ready = match progress.end {
            Some(RunEnd::Complete) => run.event_count(),
            _ => progress.generated,
        };
        if *offset < ready {
            let end = ready.min(*offset + MAX_EVENTS_PER_CHUNK);
            let mut buf = String::new();
            for index in *offset..end {
                run.write_event(&mut buf, index);
            }
            *offset = end;
            return Ok(Some((Bytes::from(buf), reader)));
        }
        match progress.end {
            Some(RunEnd::Complete) => return Ok(None),
            Some(RunEnd::Reset) => {
                conn.reset();
                return Err(io::Error::other("the engine crashed or stopped"));
            }
            Some(RunEnd::Cancelled) => {
                return Err(io::Error::other("the run was cancelled"));
            }
            None => {}
        }
        if rx.changed().await.is_err() {
            return Err(io::Error::other("the run was dropped"));
        }
    }
}
