//! Bodies of requests and responses, in memory.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use metrics::counter;
use tokio::sync::mpsc;

use crate::buffer_budget::{Buffered, Reservation};

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The connection broke.
    Broken,
    /// It is longer than allowed.
    TooLarge,
    /// The buffers of the process are full.
    NoMemory,
}

/// Reads a whole body, for which memory is reserved as it arrives.
pub(crate) async fn read(
    mut body: Incoming,
    max_bytes: usize,
    reserved: &mut Reservation,
) -> Result<Bytes, BodyError> {
    // Copied, as slices would keep the larger read buffers of the connection.
    let mut received = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if received.len() + data.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        if !reserved.grow(data.len()) {
            count_full("body");
            return Err(BodyError::NoMemory);
        }
        received.extend_from_slice(data);
    }
    Ok(received.freeze())
}

/// Counts bytes for which there was no room.
pub(crate) fn count_full(what: &'static str) {
    counter!("primrosechute_buffers_full_total", "what" => what).increment(1);
}

/// Ends the connection to the caller before the end of the response.
#[derive(Debug)]
pub(crate) struct Aborted;

impl std::fmt::Display for Aborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer ended early")
    }
}

impl std::error::Error for Aborted {}

/// Body of a response to a caller.
pub(crate) enum Body {
    Full(Buffered),
    Streamed {
        rx: mpsc::Receiver<Result<Buffered, Aborted>>,
        /// Bytes that were received and not given out.
        current: Option<Buffered>,
    },
}

impl Body {
    pub(crate) fn streamed(rx: mpsc::Receiver<Result<Buffered, Aborted>>) -> Self {
        Body::Streamed { rx, current: None }
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Body::Full(bytes.into())
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match self.get_mut() {
            Body::Full(buffered) => Poll::Ready(buffered.next_piece().map(|b| Ok(Frame::data(b)))),
            Body::Streamed { rx, current } => loop {
                if let Some(piece) = current.as_mut().and_then(Buffered::next_piece) {
                    return Poll::Ready(Some(Ok(Frame::data(piece))));
                }
                match std::task::ready!(rx.poll_recv(cx)) {
                    Some(Ok(next)) => *current = Some(next),
                    Some(Err(aborted)) => return Poll::Ready(Some(Err(aborted))),
                    None => return Poll::Ready(None),
                }
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Full(buffered) if buffered.is_empty())
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Body::Full(buffered) => {
                http_body::SizeHint::with_exact(u64::try_from(buffered.len()).unwrap_or(u64::MAX))
            }
            Body::Streamed { .. } => http_body::SizeHint::default(),
        }
    }
}
