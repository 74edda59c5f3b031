//! Buffer for the response of one run, which several callers can read from any offset.
//!
//! The bytes are copied into segments: slices of the connection's read buffers would keep those
//! buffers alive, which take several times the size of the response.

use std::sync::{Arc, Mutex, PoisonError};

use bytes::{Bytes, BytesMut};
use gateway::Reservation;
use http::{HeaderMap, StatusCode};
use tokio::sync::watch;

use crate::outcome::Outcome;

/// Largest response that is kept, in bytes.
pub(crate) const MAX_RESPONSE: usize = 16 << 20;

/// Status and headers of a response.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// Whether the body is a stream of server-sent events.
    pub(crate) events: bool,
}

/// Size in bytes from which a segment is closed.
const SEGMENT_SIZE: usize = 16 << 10;

/// An immutable part of the response that begins with a whole event.
#[derive(Clone, Debug)]
struct Segment {
    /// Number of bytes before this segment.
    start: usize,
    /// Number of events before this segment.
    first_event: u64,
    bytes: Bytes,
}

#[derive(Debug, Default)]
struct State {
    head: Option<Head>,
    segments: Vec<Segment>,
    /// The part that still grows, with the number of bytes and events before it.
    tail: BytesMut,
    tail_start: usize,
    tail_first_event: u64,
    events: u64,
    outcome: Option<Outcome>,
    readers: usize,
    /// Covers the bytes until the response has ended; then the table counts them.
    reserved: Option<Reservation>,
}

impl State {
    fn len(&self) -> usize {
        self.tail_start + self.tail.len()
    }

    fn push(&mut self, bytes: &[u8], events: u64) {
        self.tail.extend_from_slice(bytes);
        self.events += events;
        if self.tail.len() >= SEGMENT_SIZE {
            self.close_tail();
        }
    }

    fn close_tail(&mut self) {
        // The copy has no spare capacity; the buffer that grew may have as much of it as it holds.
        let bytes = Bytes::copy_from_slice(&self.tail);
        let end = self.tail_start + self.tail.len();
        self.tail.clear();
        self.segments.push(Segment {
            start: self.tail_start,
            first_event: self.tail_first_event,
            bytes,
        });
        self.tail_start = end;
        self.tail_first_event = self.events;
    }

    /// Byte position of an event that has arrived or is the next one to arrive.
    fn event_position(&self, event: u64) -> usize {
        // A plain response has no events, so all its segments begin at event 0.
        if event == 0 {
            return 0;
        }
        if event >= self.tail_first_event {
            let skipped = skip_events(&self.tail, event - self.tail_first_event);
            return self.tail_start + skipped;
        }
        let after = self.segments.partition_point(|s| s.first_event <= event);
        let segment = &self.segments[after - 1];
        segment.start + skip_events(&segment.bytes, event - segment.first_event)
    }

    /// Bytes from a position on, up to the end of its segment. `None` if there are none yet.
    fn read(&self, position: usize) -> Option<Bytes> {
        if position >= self.len() {
            return None;
        }
        if position >= self.tail_start {
            let rest = &self.tail[position - self.tail_start..];
            return Some(Bytes::copy_from_slice(rest));
        }
        let after = self.segments.partition_point(|s| s.start <= position);
        let segment = &self.segments[after - 1];
        Some(segment.bytes.slice(position - segment.start..))
    }
}

/// Response of a run, written by the run and read by callers.
#[derive(Debug)]
pub(crate) struct ResponseBuffer {
    state: Mutex<State>,
    /// Counts changes, to wake readers.
    changed: watch::Sender<u64>,
}

/// Result of one read from a response.
#[derive(Debug)]
pub(crate) enum Chunk {
    Bytes(Bytes),
    End(Outcome),
}

impl ResponseBuffer {
    pub(crate) fn new(reserved: Reservation) -> Self {
        let state = State {
            reserved: Some(reserved),
            ..State::default()
        };
        ResponseBuffer {
            state: Mutex::new(state),
            changed: watch::Sender::new(0),
        }
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn notify_readers(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Sets status and headers, once.
    pub(crate) fn start(&self, head: Head) {
        self.with_state(|state| state.head = Some(head));
        self.notify_readers();
    }

    /// Appends bytes that hold `events` whole events. Returns false, without appending them, if the
    /// response would be too large or the buffers of the process are full.
    pub(crate) fn push(&self, bytes: &[u8], events: u64) -> bool {
        let fits = self.with_state(|state| {
            let is_short = state.len() + bytes.len() <= MAX_RESPONSE;
            let reserved = state.reserved.as_mut();
            let fits = is_short && reserved.is_none_or(|reserved| reserved.grow(bytes.len()));
            if fits {
                state.push(bytes, events);
            }
            fits
        });
        self.notify_readers();
        fits
    }

    /// Ends the response. Only the first outcome is kept.
    pub(crate) fn finish(&self, outcome: Outcome) {
        self.with_state(|state| {
            state.outcome.get_or_insert(outcome);
            state.reserved = None;
            if !state.tail.is_empty() {
                state.close_tail();
                state.tail = BytesMut::new();
            }
        });
        self.notify_readers();
    }

    pub(crate) fn outcome(&self) -> Option<Outcome> {
        self.with_state(|state| state.outcome.clone())
    }

    /// Number of whole events so far.
    pub(crate) fn events(&self) -> u64 {
        self.with_state(|state| state.events)
    }

    /// All bytes so far.
    pub(crate) fn bytes(&self) -> Vec<u8> {
        self.with_state(|state| {
            let closed = state.segments.iter().map(|segment| &segment.bytes[..]);
            let parts: Vec<_> = closed.chain([&state.tail[..]]).collect();
            parts.concat()
        })
    }

    pub(crate) fn size(&self) -> usize {
        self.with_state(|state| state.len())
    }

    /// Waits for the head. Fails with the outcome if the response ends without a head.
    pub(crate) async fn head(&self) -> Result<Head, Outcome> {
        let mut changes = self.changed.subscribe();
        loop {
            let found = self.with_state(|state| match (&state.head, &state.outcome) {
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
    pub(crate) async fn wait_for_no_readers(&self) {
        let mut changes = self.changed.subscribe();
        while self.with_state(|state| state.readers > 0) {
            let _ = changes.changed().await;
        }
    }

    /// Waits until there is a reader again.
    pub(crate) async fn wait_for_reader(&self) {
        let mut changes = self.changed.subscribe();
        while self.with_state(|state| state.readers == 0) {
            let _ = changes.changed().await;
        }
    }

    /// Adds a reader that starts at the given event.
    pub(crate) fn reader(self: &Arc<Self>, offset: u64) -> Reader {
        self.with_state(|state| state.readers += 1);
        self.notify_readers();
        Reader {
            buffer: Arc::clone(self),
            changes: self.changed.subscribe(),
            position: None,
            offset,
        }
    }
}

/// Reader of a response. The run is cancelled some time after its last reader is dropped.
#[derive(Debug)]
pub(crate) struct Reader {
    buffer: Arc<ResponseBuffer>,
    changes: watch::Receiver<u64>,
    /// Position of the next byte; `None` until the event with `offset` is known.
    position: Option<usize>,
    offset: u64,
}

impl Reader {
    pub(crate) fn buffer(&self) -> &ResponseBuffer {
        &self.buffer
    }

    /// Waits for the next bytes, or the end of the response.
    pub(crate) async fn next_chunk(&mut self) -> Chunk {
        loop {
            if let Some(chunk) = self.poll_chunk() {
                return chunk;
            }
            let _ = self.changes.changed().await;
        }
    }

    fn poll_chunk(&mut self) -> Option<Chunk> {
        self.changes.mark_unchanged();
        let Reader {
            buffer,
            position,
            offset,
            ..
        } = self;
        buffer.with_state(|state| {
            if position.is_none() && *offset <= state.events {
                *position = Some(state.event_position(*offset));
            }
            let Some(bytes) = position.and_then(|at| state.read(at)) else {
                return state.outcome.clone().map(Chunk::End);
            };
            *position = position.map(|at| at + bytes.len());
            Some(Chunk::Bytes(bytes))
        })
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.buffer.with_state(|state| state.readers -= 1);
        self.buffer.notify_readers();
    }
}

/// Length of the first `count` events, with the comments between them.
fn skip_events(bytes: &[u8], count: u64) -> usize {
    let mut at = 0;
    let mut left = count;
    while left > 0 {
        let Some(length) = event_end(&bytes[at..]) else {
            break;
        };
        left -= u64::from(is_event(&bytes[at..at + length]));
        at += length;
    }
    at
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
