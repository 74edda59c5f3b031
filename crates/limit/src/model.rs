//! Names, limits, units and messages.

use std::sync::Arc;
use std::time::Duration;

/// A shared immutable name.
pub type Name = Arc<str>;

/// Number of one run of a daemon, chosen at random at its start.
pub type Incarnation = u64;

/// Number of parts of each workspace's bucket.
pub const PARTS: u16 = 32;

/// Levels are kept in millionths of a token: a part's capacity and its accrual per second are then
/// whole numbers, since a million is divisible by [`PARTS`].
pub(crate) const MICROS_PER_TOKEN: u64 = 1_000_000;

/// Millionths of a token in the unit of [`PartMove::level_millis`].
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
    /// Smaller rate and smaller burst of two limits.
    pub(crate) fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }

    /// Capacity of `parts` parts.
    pub(crate) fn capacity(self, parts: u32) -> u64 {
        self.burst
            .saturating_mul(MICROS_PER_TOKEN / u64::from(PARTS))
            .saturating_mul(u64::from(parts))
    }

    /// Accrual of `parts` parts per second.
    pub(crate) fn per_second(self, parts: u32) -> u64 {
        self.rate
            .saturating_mul(MICROS_PER_TOKEN / u64::from(PARTS))
            .saturating_mul(u64::from(parts))
    }
}

/// Length of hold-downs and delays, the same in the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time in which a new sheet reaches every daemon; increases apply after it.
    pub propagation: Duration,
    /// Time after which an incarnation that left the list neither spends nor moves parts. More
    /// than list lag plus lease, since a lease may begin with a list that is as old as the lag.
    pub hold_down: Duration,
}

/// Claims older than this are asked for again before a part is started.
pub const MAX_CLAIM_AGE: Duration = Duration::from_secs(3);

/// A holder goes on claiming a part that it gave away for this time. A part that moves while claims
/// are collected would otherwise be missed and started empty: its receiver answers before the move,
/// its giver after.
/// Twice [`MAX_CLAIM_AGE`], for clocks that run at different speeds.
pub(crate) const GIVEN_CLAIM_TTL: Duration = Duration::from_secs(6);

/// Right of a daemon to act for itself, derived from its VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// The daemon is listed for sure.
    Held,
    /// The list is too old: parts are spent, but accrue nothing and don't move.
    InDoubt,
    /// No list has named the daemon for so long that others may have started its parts anew.
    Expired,
}

/// Why a reservation was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The workspace isn't in the sheet.
    Unknown,
    /// More tokens than the burst.
    TooLarge,
    /// The held parts have too few tokens.
    Level,
    /// The lease expired.
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

    /// Name for metrics and status.
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

/// Refused reservations by [`RefusalReason`], in the order of [`RefusalReason::ALL`].
pub type RefusalCounts = [u64; RefusalReason::ALL.len()];

/// A reservation that was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReserveError {
    /// Tokens that are missing; moves of parts with as many make the reservation possible, if the
    /// reason is [`RefusalReason::Level`].
    pub missing: u64,
    /// Why.
    pub reason: RefusalReason,
}

/// Tokens taken for one request, to be settled when it ends. Dropped without that, they count as
/// used.
#[derive(Debug, PartialEq, Eq)]
pub struct Reservation {
    pub(crate) workspace: Name,
    pub(crate) tokens: u64,
    pub(crate) seq: u64,
}

impl Reservation {
    /// The workspace that pays.
    #[must_use]
    pub fn workspace(&self) -> &Name {
        &self.workspace
    }

    /// Tokens taken.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}

/// Identity of one attempt to move a part. No two attempts of the fleet share it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MoveId {
    /// Workspace.
    pub workspace: Name,
    /// Number of the part.
    pub number: u16,
    /// Epoch of the part.
    pub epoch: u64,
    /// Number of the attempt in this epoch.
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
    /// Number of the attempt to move in this epoch.
    pub hops: u64,
    /// Tokens in it, in thousandths.
    pub level_millis: u64,
    /// Incarnation of the receiver.
    pub receiver: Incarnation,
}

impl PartMove {
    /// What the answer must name.
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

/// Parts of one workspace that a daemon holds, has in transit or gave away a moment ago.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Workspace.
    pub workspace: Name,
    /// Numbers and epochs.
    pub parts: Vec<(u16, u64)>,
    /// Whole tokens that can be spent.
    pub tokens: u64,
}

/// State of one workspace at this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceStatus {
    /// Workspace.
    pub workspace: Name,
    /// Limit in force, which may lag behind the sheet.
    pub limit: Limit,
    /// Numbers of the parts held.
    pub held: Vec<u16>,
    /// Parts in transit to other holders.
    pub in_transit: u32,
    /// Whole tokens that can be spent.
    pub tokens: u64,
    /// Whole tokens reserved that a settlement may return.
    pub refundable: u64,
    /// Whole tokens used beyond reservations and not yet paid by accrual.
    pub debt: u64,
    /// Refused reservations.
    pub refused: RefusalCounts,
}
