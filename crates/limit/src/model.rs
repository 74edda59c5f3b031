//! Shared types: names, limits, units and messages.

use std::sync::Arc;
use std::time::Duration;

/// A shared immutable name.
pub type Name = Arc<str>;

/// Identifies one run of a daemon; chosen at random when it starts.
pub type Incarnation = u64;

/// Number of parts into which the bucket of each workspace is split.
pub const PARTS: u16 = 32;

/// Levels are counted in millionths of a token. As a million is divisible by [`PARTS`], the
/// capacity of a part and its accrual per second are whole numbers.
pub(crate) const MICROS_PER_TOKEN: u64 = 1_000_000;

/// Millionths of a token in one unit of [`PartMove::level_millis`].
pub(crate) const MICROS_PER_MILLI: u64 = 1_000;

/// Fleet-wide limit of a workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limit {
    /// Tokens per second.
    pub rate: u64,
    /// Largest number of tokens that may be spent at once.
    pub burst: u64,
}

impl Limit {
    /// Takes the smaller rate and the smaller burst of two limits.
    pub(crate) fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }

    /// Capacity of `parts` parts, in millionths of a token.
    pub(crate) fn capacity(self, parts: u32) -> u64 {
        self.burst
            .saturating_mul(MICROS_PER_TOKEN / u64::from(PARTS))
            .saturating_mul(u64::from(parts))
    }

    /// Accrual of `parts` parts per second, in millionths of a token.
    pub(crate) fn per_second(self, parts: u32) -> u64 {
        self.rate
            .saturating_mul(MICROS_PER_TOKEN / u64::from(PARTS))
            .saturating_mul(u64::from(parts))
    }
}

/// Delays that must be the same in the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time within which a new sheet reaches every daemon. Increases take effect after this time.
    pub propagation: Duration,
    /// Time after which an incarnation that left the list neither spends nor moves parts. It is
    /// longer than list lag plus lease, since a lease may start with a list as old as the lag.
    pub hold_down: Duration,
}

/// Maximum age of an answer to a claim query; older ones are queried again before a part is
/// started.
pub const MAX_CLAIM_AGE: Duration = Duration::from_secs(3);

/// Time for which a holder still claims a part that it gave away. Otherwise a part that moves while
/// claims are collected could be missed and started empty, as its receiver may answer before the
/// move and its giver after it. It is twice [`MAX_CLAIM_AGE`], to allow for clocks that run at
/// different speeds.
pub(crate) const GIVEN_CLAIM_TTL: Duration = Duration::from_secs(6);

/// State of a daemon's lease to spend and move its parts, derived from its VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// The daemon is known to be listed.
    Held,
    /// The list is too old: parts can be spent, but don't accrue or move.
    InDoubt,
    /// No list has named the daemon for so long that others may have started its parts again.
    Expired,
}

/// Reason for refusing a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The workspace isn't in the sheet.
    Unknown,
    /// More tokens than the burst were requested.
    TooLarge,
    /// The held parts have too few tokens.
    Level,
    /// The lease has expired.
    Lease,
    /// Spending is suspended after a pause.
    Suspended,
}

impl RefusalReason {
    /// All reasons, in the order of [`RefusalCounts`].
    pub const ALL: [Self; 5] = [
        Self::Unknown,
        Self::TooLarge,
        Self::Level,
        Self::Lease,
        Self::Suspended,
    ];

    /// Label in metrics and status.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::TooLarge => "too_large",
            Self::Level => "level",
            Self::Lease => "lease",
            Self::Suspended => "suspended",
        }
    }
}

/// Number of refused reservations by [`RefusalReason`], in the order of [`RefusalReason::ALL`].
pub type RefusalCounts = [u64; RefusalReason::ALL.len()];

/// Error of a refused reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReserveError {
    /// Number of missing tokens. If the reason is [`RefusalReason::Level`], the reservation becomes
    /// possible once parts with this many tokens have arrived.
    pub missing: u64,
    /// Reason for the refusal.
    pub reason: RefusalReason,
}

/// Tokens reserved for one request, to be settled when it ends. If it is dropped without being
/// settled, the tokens count as used.
#[derive(Debug, PartialEq, Eq)]
pub struct Reservation {
    pub(crate) workspace: Name,
    pub(crate) tokens: u64,
    pub(crate) seq: u64,
}

impl Reservation {
    /// Workspace from whose limit the tokens were taken.
    #[must_use]
    pub fn workspace(&self) -> &Name {
        &self.workspace
    }

    /// Number of reserved tokens.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}

/// Identity of one attempt to move a part, unique in the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MoveId {
    /// Workspace.
    pub workspace: Name,
    /// Number of the part.
    pub number: u16,
    /// Epoch of the part.
    pub epoch: u64,
    /// Number of this attempt to move it in this epoch.
    pub hops: u64,
}

/// A part on its way to another holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartMove {
    /// Workspace.
    pub workspace: Name,
    /// Number of the part.
    pub number: u16,
    /// Epoch of the part.
    pub epoch: u64,
    /// Number of this attempt to move it in this epoch.
    pub hops: u64,
    /// Level of the part in thousandths of a token.
    pub level_millis: u64,
    /// Incarnation of the receiver.
    pub receiver: Incarnation,
}

impl PartMove {
    /// Identity that the answer must contain.
    #[must_use]
    pub fn id(&self) -> MoveId {
        MoveId {
            workspace: self.workspace.clone(),
            number: self.number,
            epoch: self.epoch,
            hops: self.hops,
        }
    }
}

/// Parts of one workspace that a daemon holds, has in transit or recently gave away.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Workspace.
    pub workspace: Name,
    /// Number and epoch of each part.
    pub parts: Vec<(u16, u64)>,
    /// Whole tokens that can be spent.
    pub tokens: u64,
}

/// State of one workspace at this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceStatus {
    /// Workspace.
    pub workspace: Name,
    /// Limit in effect; an increase in the sheet is delayed.
    pub limit: Limit,
    /// Numbers of the held parts.
    pub held: Vec<u16>,
    /// Number of parts in transit to other holders.
    pub in_transit: u32,
    /// Whole tokens that can be spent.
    pub tokens: u64,
    /// Whole reserved tokens that a settlement may return.
    pub refundable: u64,
    /// Tokens used beyond reservations and not yet paid by accrual, rounded up.
    pub debt: u64,
    /// Number of refused reservations by reason.
    pub refused: RefusalCounts,
}
