//! The VM list as the platform gives it.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

/// A shared immutable name.
pub type Name = Arc<str>;

/// Number of one run of a daemon, chosen at random at its start. Printed as 16 hex digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The text is not 16 lower-case hex digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseIncarnationError;

impl FromStr for Incarnation {
    type Err = ParseIncarnationError;

    fn from_str(text: &str) -> Result<Self, ParseIncarnationError> {
        let valid = text.len() == 16
            && text
                .bytes()
                .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
        if !valid {
            return Err(ParseIncarnationError);
        }
        u64::from_str_radix(text, 16)
            .map(Incarnation)
            .map_err(|_| ParseIncarnationError)
    }
}

/// State of a VM in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM will be removed soon; its daemon drains.
    Leaving,
}

/// One row of the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Name of the VM.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// State.
    pub state: VmState,
    /// Address for callers.
    pub entry: SocketAddr,
    /// Address for other daemons.
    pub peer: SocketAddr,
}

/// The VM list. A higher generation is fresher.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmList {
    /// Number of the list, which grows with each change.
    pub generation: u64,
    /// Rows by name.
    pub vms: Vec<Vm>,
}
