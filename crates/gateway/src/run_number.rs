//! Numbers of runs, which are unique in the fleet.

/// Names one run of one process in all messages about it, in both directions.
///
/// An address names a VM, and the processes that run there one after the other would count from the
/// same number. The high half of a number is therefore the low half of the incarnation of the process
/// that chose it. Owners return numbers as they got them, so owners of older builds need not know this.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RunNumber(u64);

const HALF_BITS: u32 = u32::BITS;

impl RunNumber {
    /// The first number of a process.
    pub(crate) fn first(incarnation: u64) -> Self {
        RunNumber(incarnation << HALF_BITS)
    }

    pub(crate) fn next(self) -> Self {
        let count = self.0.wrapping_add(1) & u64::from(u32::MAX);
        RunNumber(self.0 >> HALF_BITS << HALF_BITS | count)
    }

    /// Whether a process chose it. Processes of older builds count from 1, and none is recognized.
    pub(crate) fn is_of(self, incarnation: u64) -> bool {
        self.0 >> HALF_BITS == incarnation & u64::from(u32::MAX)
    }

    pub(crate) fn from_wire(number: u64) -> Self {
        RunNumber(number)
    }

    pub(crate) fn to_wire(self) -> u64 {
        self.0
    }
}
