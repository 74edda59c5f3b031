//! Why a link is closed.

use std::fmt;

use metrics::counter;
use wire::{FrameError, PROTOCOL_VERSION};

/// Why a link is closed.
#[derive(Debug)]
pub(super) enum CloseReason {
    /// The connection ended.
    Ended,
    /// No hello came in time.
    NoHello,
    /// The peer uses this other version of the protocol.
    Version(u32),
    /// The VM at the address is not the one in the VM list.
    WrongVm,
    /// A frame can't be read.
    Frame(FrameError),
    /// A message breaks the protocol.
    Message(&'static str),
    /// Nothing arrived for `timing.silent`.
    Silent,
    /// The peer did not read for `timing.silent`.
    Stuck,
}

impl CloseReason {
    fn label(&self) -> &'static str {
        match self {
            CloseReason::Ended => "ended",
            CloseReason::NoHello => "no_hello",
            CloseReason::Version(_) => "version",
            CloseReason::WrongVm => "wrong_vm",
            CloseReason::Frame(_) => "frame",
            CloseReason::Message(_) => "message",
            CloseReason::Silent => "silent",
            CloseReason::Stuck => "stuck",
        }
    }

    /// Counts and logs the end of a link. A connection that ended, as when the peer's process
    /// exits, is not logged as a warning.
    pub(super) fn report(&self, who: &str) {
        counter!("primrosechute_links_closed_total", "reason" => self.label()).increment(1);
        match self {
            CloseReason::Ended => log::debug!("peer: link with {who} ended"),
            _ => log::warn!("peer: link with {who} closed: {self}"),
        }
    }
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CloseReason::Ended => f.write_str("the connection ended"),
            CloseReason::NoHello => f.write_str("no hello came"),
            CloseReason::Version(version) => {
                write!(
                    f,
                    "it speaks protocol version {version}, not {PROTOCOL_VERSION}"
                )
            }
            CloseReason::WrongVm => f.write_str("its address answers for another VM"),
            CloseReason::Frame(err) => err.fmt(f),
            CloseReason::Message(text) => f.write_str(text),
            CloseReason::Silent => f.write_str("nothing came for too long"),
            CloseReason::Stuck => f.write_str("it does not read what is sent"),
        }
    }
}
