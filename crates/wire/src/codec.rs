//! Framing of messages on a link.

use std::fmt;
use std::io;

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::message::Frame;

/// Largest length of a frame in bytes. The largest value of the configuration service, 1 MB, fits
/// in one frame. The limit also bounds the memory that a peer can make a reader allocate.
pub const MAX_FRAME_LEN: usize = 1 << 20;

/// Error after which a link can't be read further.
#[derive(Debug)]
pub enum FrameError {
    /// The connection failed, ended inside a frame, or announced a frame longer than
    /// [`MAX_FRAME_LEN`].
    Io(io::Error),
    /// A frame does not contain a valid message.
    Decode(prost::DecodeError),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Io(err) => write!(f, "cannot read a frame: {err}"),
            FrameError::Decode(err) => write!(f, "a frame holds no valid message: {err}"),
        }
    }
}

impl std::error::Error for FrameError {}

impl From<io::Error> for FrameError {
    fn from(err: io::Error) -> Self {
        FrameError::Io(err)
    }
}

/// Encodes and decodes [`Frame`]s for `tokio_util::codec::Framed`.
#[derive(Debug)]
pub struct FrameCodec {
    length_codec: LengthDelimitedCodec,
    /// Whether the length of a frame was consumed but its message was not read yet. If the link
    /// ends at this point, the buffer may be empty although the frame is incomplete.
    in_frame: bool,
}

impl Default for FrameCodec {
    fn default() -> Self {
        FrameCodec {
            length_codec: LengthDelimitedCodec::builder()
                .max_frame_length(MAX_FRAME_LEN)
                .new_codec(),
            in_frame: false,
        }
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = FrameError;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        let len_before = buf.len();
        let Some(frame) = self.length_codec.decode(buf)? else {
            self.in_frame |= buf.len() < len_before;
            return Ok(None);
        };
        self.in_frame = false;
        Frame::decode(frame).map(Some).map_err(FrameError::Decode)
    }

    fn decode_eof(&mut self, buf: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        let frame = self.decode(buf)?;
        if frame.is_none() && (self.in_frame || !buf.is_empty()) {
            let text = "the link ended inside a frame";
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, text).into());
        }
        Ok(frame)
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: Frame, buf: &mut BytesMut) -> Result<(), FrameError> {
        let encoded = Bytes::from(frame.encode_to_vec());
        Ok(self.length_codec.encode(encoded, buf)?)
    }
}
