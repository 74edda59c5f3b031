//! Why a link is closed.

use std::fmt;

use metrics::counter;
use wire::{FrameError, PROTOCOL_VERSION};

/// Why a link is closed.
#[derive(Debug)]
pub(super) enum Close {
    /// The connection ended.
    Ended,
    /// No hello came in time.
    NoHello,
    /// The peer speaks this version of the protocol.
    Version(u32),
    /// The address answers for another VM than the list says.
    WrongVm,
    /// A frame can't be read.
    Frame(FrameError),
    /// A message breaks the protocol.
    Message(&'static str),
    /// Nothing came for the silence time.
    Silent,
    /// The peer did not read for the silence time.
    Stuck,
}

impl Close {
    fn label(&self) -> &'static str {
        match self {
            Close::Ended => "ended",
            Close::NoHello => "no_hello",
            Close::Version(_) => "version",
            Close::WrongVm => "wrong_vm",
            Close::Frame(_) => "frame",
            Close::Message(_) => "message",
            Close::Silent => "silent",
            Close::Stuck => "stuck",
        }
    }

    /// Counts and logs the end of a link. The end of a peer's process is no fault of the link.
    pub(super) fn report(&self, who: &str) {
        counter!("primrosechute_links_closed_total", "reason" => self.label()).increment(1);
        match self {
            Close::Ended => log::debug!("peer: link with {who} ended"),
            _ => log::warn!("peer: link with {who} closed: {self}"),
        }
    }
}

impl fmt::Display for Close {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Close::Ended => f.write_str("the connection ended"),
            Close::NoHello => f.write_str("no hello came"),
            Close::Version(version) => {
                write!(
                    f,
                    "it speaks protocol version {version}, not {PROTOCOL_VERSION}"
                )
            }
            Close::WrongVm => f.write_str("its address answers for another VM"),
            Close::Frame(err) => err.fmt(f),
            Close::Message(text) => f.write_str(text),
            Close::Silent => f.write_str("nothing came for too long"),
            Close::Stuck => f.write_str("it does not read what is sent"),
        }
    }
}
