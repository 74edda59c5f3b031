//! Messages between daemons and their framing.
//!
//! A frame consists of a 4-byte big-endian length and a [`Frame`] in protocol buffer encoding. The
//! length covers the message only and is at most [`MAX_FRAME_LEN`].

#![forbid(unsafe_code)]

mod codec;
mod message;

pub use codec::{FrameCodec, FrameError, MAX_FRAME_LEN};
pub use message::{
    Body, Digest, Frame, Grant, Handover, HandoverAnswer, HandoverAsk, HandoverRun, Heartbeat,
    Hello, ListPush, Offer, OfferReply, OutcomeAsk, OutcomeReply, PROTOCOL_VERSION, PartAck,
    PartAsk, PartClaim, PartClaims, PartMove, PartMoves, PartQuery, Release, Shed, SheetPush,
    Suspect, TargetPhase, Verdict, VmRow, Withdraw,
};
