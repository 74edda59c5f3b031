//! The answer of one run, kept so that several callers can read it, from any offset.

use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use tokio::sync::watch;

use crate::outcome::Outcome;

/// Most bytes of one answer that are kept.
pub(crate) const MAX_ANSWER: usize = 16 << 20;

/// Status and headers of an answer.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// Whether the body is a stream of server-sent events.
    pub(crate) events: bool,
}

/// Complete events, or a part of a plain body.
#[derive(Clone, Debug)]
struct Chunk {
    /// Number of events before this chunk.
    first: u64,
    bytes: Bytes,
}

#[derive(Debug, Default)]
struct State {
    head: Option<Head>,
    chunks: Vec<Chunk>,
    events: u64,
    bytes: usize,
    outcome: Option<Outcome>,
    readers: usize,
}

/// Answer of a run, written by the run and read by callers.
#[derive(Debug)]
pub(crate) struct Answer {
    state: Mutex<State>,
    /// Counts changes, to wake readers.
    changed: watch::Sender<u64>,
}

/// Next piece for a reader.
#[derive(Debug)]
pub(crate) enum Piece {
    Bytes(Bytes),
    End(Outcome),
}

impl Answer {
    pub(crate) fn new() -> Self {
        Answer {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Sets status and headers, once.
    pub(crate) fn start(&self, head: Head) {
        self.with(|state| state.head = Some(head));
        self.wake();
    }

    /// Appends bytes that hold `events` whole events. Returns false if the answer is too large.
    pub(crate) fn push(&self, bytes: Bytes, events: u64) -> bool {
        let fits = self.with(|state| {
            if state.bytes + bytes.len() > MAX_ANSWER {
                return false;
            }
            state.bytes += bytes.len();
            state.chunks.push(Chunk {
                first: state.events,
                bytes,
            });
            state.events += events;
            true
        });
        self.wake();
        fits
    }

    /// Ends the answer. The first outcome stays.
    pub(crate) fn finish(&self, outcome: Outcome) {
        self.with(|state| {
            state.outcome.get_or_insert(outcome);
        });
        self.wake();
    }

    pub(crate) fn outcome(&self) -> Option<Outcome> {
        self.with(|state| state.outcome.clone())
    }

    /// Number of whole events so far.
    pub(crate) fn events(&self) -> u64 {
        self.with(|state| state.events)
    }

    /// All bytes so far.
    pub(crate) fn bytes(&self) -> Vec<u8> {
        self.with(|state| {
            let parts = state.chunks.iter().map(|chunk| &chunk.bytes[..]);
            parts.collect::<Vec<_>>().concat()
        })
    }

    pub(crate) fn size(&self) -> usize {
        self.with(|state| state.bytes)
    }

    /// Waits for the head, or for an outcome without one.
    pub(crate) async fn head(&self) -> Result<Head, Outcome> {
        let mut changes = self.changed.subscribe();
        loop {
            let found = self.with(|state| match (&state.head, &state.outcome) {
                (Some(head), _) => Some(Ok(head.clone())),
                (None, Some(outcome)) => Some(Err(outcome.clone())),
                (None, None) => None,
            });
            if let Some(found) = found {
                return found;
            }
            // The sender lives in `self`, so the channel can't be closed here.
            let _ = changes.changed().await;
        }
    }

    /// Waits until no reader is left.
    pub(crate) async fn abandoned(&self) {
        let mut changes = self.changed.subscribe();
        while self.with(|state| state.readers > 0) {
            let _ = changes.changed().await;
        }
    }

    /// Waits until there is a reader again.
    pub(crate) async fn attended(&self) {
        let mut changes = self.changed.subscribe();
        while self.with(|state| state.readers == 0) {
            let _ = changes.changed().await;
        }
    }

    /// Adds a reader that starts at the given event.
    pub(crate) fn reader(self: &Arc<Self>, offset: u64) -> Reader {
        self.with(|state| state.readers += 1);
        self.wake();
        Reader {
            answer: Arc::clone(self),
            changes: self.changed.subscribe(),
            next: None,
            offset,
        }
    }
}

/// Reads an answer. The run is cancelled some time after its last reader is gone.
#[derive(Debug)]
pub(crate) struct Reader {
    answer: Arc<Answer>,
    changes: watch::Receiver<u64>,
    /// Index of the next chunk; `None` until the chunk with `offset` is known.
    next: Option<usize>,
    offset: u64,
}

impl Reader {
    pub(crate) fn answer(&self) -> &Answer {
        &self.answer
    }

    /// Waits for the next piece.
    pub(crate) async fn next(&mut self) -> Piece {
        loop {
            if let Some(piece) = self.poll_piece() {
                return piece;
            }
            let _ = self.changes.changed().await;
        }
    }

    fn poll_piece(&mut self) -> Option<Piece> {
        self.changes.mark_unchanged();
        let Reader {
            answer,
            next,
            offset,
            ..
        } = self;
        answer.with(|state| {
            let at = match *next {
                Some(at) => at,
                None if *offset <= state.events => {
                    let at = state
                        .chunks
                        .partition_point(|chunk| chunk.first <= *offset)
                        .saturating_sub(1);
                    let Some(chunk) = state.chunks.get(at) else {
                        return state.outcome.clone().map(Piece::End);
                    };
                    let skip = *offset - chunk.first;
                    let rest = skip_events(&chunk.bytes, skip);
                    *next = Some(at + 1);
                    if !rest.is_empty() {
                        return Some(Piece::Bytes(rest));
                    }
                    at + 1
                }
                None => return state.outcome.clone().map(Piece::End),
            };
            match state.chunks.get(at) {
                Some(chunk) => {
                    *next = Some(at + 1);
                    Some(Piece::Bytes(chunk.bytes.clone()))
                }
                None => state.outcome.clone().map(Piece::End),
            }
        })
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.answer.with(|state| state.readers -= 1);
        self.answer.wake();
    }
}

/// Drops the first `count` events of a chunk of whole events. Comments don't count.
fn skip_events(bytes: &Bytes, count: u64) -> Bytes {
    let mut rest = bytes.clone();
    let mut left = count;
    while left > 0 {
        let Some(end) = event_end(&rest) else {
            return Bytes::new();
        };
        let event = rest.split_to(end);
        if is_event(&event) {
            left -= 1;
        }
    }
    rest
}

/// Length of the first block of a stream of server-sent events, with its blank line.
pub(crate) fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut from = 0;
    while let Some(at) = memchr::memchr(b'\n', &bytes[from..]) {
        let at = from + at;
        match &bytes[at + 1..] {
            [b'\n', ..] => return Some(at + 2),
            [b'\r', b'\n', ..] => return Some(at + 3),
            _ => from = at + 1,
        }
    }
    None
}

/// Whether a block is an event and not only a comment.
pub(crate) fn is_event(block: &[u8]) -> bool {
    block.first().is_some_and(|first| *first != b':')
}
