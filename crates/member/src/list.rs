//! The VM list that the platform publishes.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

/// A shared immutable name.
pub type Name = Arc<str>;

/// Random number that identifies one run of a daemon. Printed as 16 hex digits.
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

/// State of a VM in the VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM will be removed soon, and its daemon drains.
    Leaving,
}

/// One row of the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Name of the VM.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Whether the VM stays in the fleet.
    pub state: VmState,
    /// Address that callers connect to.
    pub entry: SocketAddr,
    /// Address that other daemons connect to.
    pub peer: SocketAddr,
}

/// The VM list. Of two lists, the one with the higher generation is fresher.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmList {
    /// Number that grows with each change of the list.
    pub generation: u64,
    /// One row per VM.
    pub vms: Vec<Vm>,
}
