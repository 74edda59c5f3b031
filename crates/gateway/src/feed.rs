//! Frames with which members pass on what they read from the store.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::io::{InspectReader, InspectWriter};

use crate::adapter::Record;
use crate::position::Position;
use crate::record_log::LogDelta;
use crate::transfer::{Progress, until_stalled};

/// Maximum size of a response. A snapshot of 12,000 targets has about 6 MB.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Maximum size of a request, which has three numbers and a flag.
const MAX_REQUEST_BYTES: usize = 64;

/// Bytes of the length that precedes each message.
const FRAME_HEAD: usize = 4;

type Inspect = Box<dyn FnMut(&[u8])>;

/// Connection on which one member follows another one.
pub(crate) struct Connection {
    rx: FramedRead<InspectReader<OwnedReadHalf, Inspect>, LengthDelimitedCodec>,
    tx: FramedWrite<InspectWriter<OwnedWriteHalf, Inspect>, LengthDelimitedCodec>,
    received: Progress,
    sent: Progress,
}

/// Asks for changes after a revision.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct FeedRequest {
    #[prost(uint64, tag = "1")]
    pub(crate) after: u64,
    #[prost(uint32, tag = "2")]
    pub(crate) wait_ms: u32,
    /// Era of `after`.
    #[prost(uint64, tag = "3")]
    pub(crate) era: u64,
    /// Whether the response may be a difference. Older builds don't know differences.
    #[prost(bool, tag = "4")]
    pub(crate) accepts_difference: bool,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct RecordMsg {
    #[prost(string, tag = "1")]
    pub(crate) key: String,
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub(crate) value: Option<Bytes>,
    #[prost(uint64, tag = "3")]
    pub(crate) revision: u64,
}

/// Changes up to a revision, or none if the wait is over.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct FeedResponse {
    /// Revision up to which the sender has applied all changes.
    #[prost(uint64, tag = "1")]
    pub(crate) revision: u64,
    /// Whether the records are all items, not changes.
    #[prost(bool, tag = "2")]
    pub(crate) is_snapshot: bool,
    #[prost(message, repeated, tag = "3")]
    pub(crate) records: Vec<RecordMsg>,
    /// Revision that the sender publishes in its heartbeats.
    #[prost(uint64, tag = "4")]
    pub(crate) published_revision: u64,
    /// Whether the sender reads the store itself, with success.
    #[prost(bool, tag = "5")]
    pub(crate) is_reader: bool,
    /// Milliseconds since the store may have been away for the last time, as far as the sender can
    /// tell, if ever.
    #[prost(uint32, optional, tag = "6")]
    pub(crate) failure_age_ms: Option<u32>,
    /// Era of `revision`.
    #[prost(uint64, tag = "7")]
    pub(crate) era: u64,
    /// Era of `published_revision`.
    #[prost(uint64, tag = "8")]
    pub(crate) published_era: u64,
    /// Whether the records are those written after the requested revision, and `digest` lists all.
    #[prost(bool, tag = "9")]
    pub(crate) is_difference: bool,
    #[prost(fixed64, repeated, tag = "10")]
    pub(crate) digest: Vec<u64>,
}

impl FeedRequest {
    pub(crate) fn after(&self) -> Position {
        Position::new(self.era, self.after)
    }

    pub(crate) fn frame_len(&self) -> usize {
        FRAME_HEAD + self.encoded_len()
    }
}

impl FeedResponse {
    pub(crate) fn new(delta: LogDelta) -> Self {
        let mut response = FeedResponse::default();
        let records = match delta {
            LogDelta::None => Vec::new(),
            LogDelta::Changes(records) => records,
            LogDelta::Difference { newer, digest } => {
                response.is_difference = true;
                response.digest = digest;
                newer
            }
            LogDelta::Snapshot(records) => {
                response.is_snapshot = true;
                records
            }
        };
        response.records = records.into_iter().map(RecordMsg::from).collect();
        response
    }

    pub(crate) fn frame_len(&self) -> usize {
        FRAME_HEAD + self.encoded_len()
    }

    /// Label of the kind of response in metrics.
    pub(crate) fn kind(&self) -> &'static str {
        match (self.is_snapshot, self.is_difference) {
            (true, _) => "feed_snapshot",
            (false, true) => "feed_difference",
            (false, false) => "feed_changes",
        }
    }

    /// Position up to which the sender has applied all changes.
    pub(crate) fn position(&self) -> Position {
        Position::new(self.era, self.revision)
    }

    /// Position that the sender publishes in its heartbeats.
    pub(crate) fn published_position(&self) -> Position {
        Position::new(self.published_era, self.published_revision)
    }

    pub(crate) fn to_delta(&self) -> LogDelta {
        let records = self.records.iter().map(|msg| Record {
            key: msg.key.as_str().into(),
            value: msg.value.clone(),
            revision: msg.revision,
        });
        if self.is_snapshot {
            return LogDelta::Snapshot(records.collect());
        }
        if self.is_difference {
            return LogDelta::Difference {
                newer: records.collect(),
                digest: self.digest.clone(),
            };
        }
        if self.records.is_empty() {
            return LogDelta::None;
        }
        LogDelta::Changes(records.collect())
    }
}

impl From<Record> for RecordMsg {
    fn from(record: Record) -> Self {
        RecordMsg {
            key: record.key.to_string(),
            value: record.value,
            revision: record.revision,
        }
    }
}

/// Why a connection can't be used further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FeedError {
    /// It could not be opened, or it broke.
    Broken,
    /// The other member did not respond or read in time.
    Timeout,
    /// A frame is too long or can't be decoded.
    Malformed,
    /// The other member does not read the store.
    NotReader,
    /// The other member lags behind the fleet.
    Stale,
    /// No heartbeats of the other member arrive.
    Silent,
    /// The buffers of the process are full.
    NoMemory,
    /// A difference does not fit the items that are known.
    Incomplete,
}

impl FeedError {
    /// A frame that is too long is an error of this kind in the framing library.
    fn from_io(err: &std::io::Error) -> Self {
        match err.kind() {
            std::io::ErrorKind::InvalidData | std::io::ErrorKind::InvalidInput => {
                FeedError::Malformed
            }
            _ => FeedError::Broken,
        }
    }

    pub(crate) fn label(self) -> &'static str {
        match self {
            FeedError::Broken => "broken",
            FeedError::Timeout => "timeout",
            FeedError::Malformed => "malformed",
            FeedError::NotReader => "not_reader",
            FeedError::Stale => "stale",
            FeedError::Silent => "silent",
            FeedError::NoMemory => "no_memory",
            FeedError::Incomplete => "incomplete",
        }
    }
}

impl Connection {
    /// The side that sends requests. `received` counts the bytes of the responses.
    pub(crate) fn client(stream: TcpStream, received: Progress) -> Self {
        Connection::new(stream, MAX_REQUEST_BYTES, MAX_RESPONSE_BYTES, received)
    }

    /// The side that sends responses.
    pub(crate) fn server(stream: TcpStream) -> Self {
        let received = Progress::default();
        Connection::new(stream, MAX_RESPONSE_BYTES, MAX_REQUEST_BYTES, received)
    }

    fn new(stream: TcpStream, max_sent: usize, max_received: usize, received: Progress) -> Self {
        // Best effort: this only reduces latency.
        let _ = stream.set_nodelay(true);
        let (rx, tx) = stream.into_split();
        let codec = |max| {
            LengthDelimitedCodec::builder()
                .max_frame_length(max)
                .new_codec()
        };
        let sent = Progress::default();
        let rx = InspectReader::new(rx, inspect(&received));
        let tx = InspectWriter::new(tx, inspect(&sent));
        Connection {
            rx: FramedRead::new(rx, codec(max_received)),
            tx: FramedWrite::new(tx, codec(max_sent)),
            received,
            sent,
        }
    }

    /// Sends one message, unless it stalls for `max_stall`.
    pub(crate) async fn send(
        &mut self,
        msg: &impl Message,
        max_stall: Duration,
    ) -> Result<(), FeedError> {
        let encoded = Bytes::from(msg.encode_to_vec());
        let sending = self.tx.send(encoded);
        match until_stalled(&self.sent, max_stall, max_stall, sending).await {
            Some(sent) => sent.map_err(|err| FeedError::from_io(&err)),
            None => Err(FeedError::Timeout),
        }
    }

    /// Receives one message; `None` if the other side has closed the connection. The message has to
    /// begin within `wait`, and not to stall for `max_stall` then.
    pub(crate) async fn receive<M: Message + Default>(
        &mut self,
        wait: Duration,
        max_stall: Duration,
    ) -> Result<Option<M>, FeedError> {
        let next = self.rx.next();
        match until_stalled(&self.received, wait, max_stall, next).await {
            None => Err(FeedError::Timeout),
            Some(None) => Ok(None),
            Some(Some(Err(err))) => Err(FeedError::from_io(&err)),
            Some(Some(Ok(frame))) => M::decode(frame).map(Some).map_err(|_| FeedError::Malformed),
        }
    }
}

/// Bytes of a response with these items.
#[must_use]
pub fn delta_len(delta: LogDelta) -> usize {
    FeedResponse::new(delta).frame_len()
}

/// Counts the bytes that pass.
fn inspect(progress: &Progress) -> Inspect {
    let progress = progress.clone();
    Box::new(move |bytes| progress.record(bytes.len()))
}
