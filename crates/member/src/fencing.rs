//! Fencing tokens of requests to engines.

use std::fmt;

/// Fencing token of a request to an engine, ordered by revision, generation and start order.
///
/// Tokens grow over successive owners of a target: a later owner took the target by a list of a
/// higher generation, and `start_order` grows over the processes of one VM. A sheet revision
/// reaches every daemon faster (5 s) than a hold-down ends. After a handover the new owner sends
/// its first request once it holds at least the previous owner's revision, which heartbeats show.
///
/// ```
/// use member::FencingToken;
/// let old = FencingToken { revision: 7, generation: 3, start_order: 9 };
/// let new = FencingToken { revision: 7, generation: 4, start_order: 1 };
/// assert!(new.as_u128() > old.as_u128());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken {
    /// Revision of the sheet.
    pub revision: u64,
    /// Generation of the last list that makes the sender the owner of the target.
    pub generation: u64,
    /// Number that grows over the processes of the owner's VM, such as the start time in seconds.
    pub start_order: u32,
}

impl FencingToken {
    /// The number sent to the engine: 48 bits of revision, 48 of generation and 32 of start order.
    #[must_use]
    pub fn as_u128(self) -> u128 {
        const MASK: u64 = (1 << 48) - 1;
        u128::from(self.revision.min(MASK)) << 80
            | u128::from(self.generation.min(MASK)) << 32
            | u128::from(self.start_order)
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.as_u128())
    }
}
