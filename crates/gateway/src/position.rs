//! Positions in the history of the store.

/// A revision of the store, and the era in which it was given out.
///
/// The era rises each time the store is restored from an older copy. Revisions then go back and are
/// given out again, so that revisions of different eras can't be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Number of restores, as the store states it.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

impl Position {
    /// Position with this revision in the given era.
    #[must_use]
    pub fn new(era: u64, revision: u64) -> Self {
        Position { era, revision }
    }
}
