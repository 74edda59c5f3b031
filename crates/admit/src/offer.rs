//! Input and output types of an owner.

use std::time::Duration;

use crate::model::{Name, TokenCounts};

/// Id of one run of one entry; unique in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunId {
    /// Incarnation of the entry.
    pub entry: u64,
    /// Number of the run at the entry.
    pub run: u64,
}

/// A request for which an entry asks an owner for a permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Id of the run.
    pub id: RunId,
    /// Pool that should serve it.
    pub pool: Name,
    /// Index of the shard that should serve it.
    pub shard: u32,
    /// Number of shards of the pool, as the entry counts them.
    pub shards: u32,
    /// Priority tier; 0 is the highest.
    pub tier: u8,
    /// Workspace whose rate is charged.
    pub workspace: Option<Name>,
    /// Size as declared by the caller.
    pub token_counts: Option<TokenCounts>,
    /// Hash of the last prompt part; 0 if there is none.
    pub session: u64,
    /// Longest time in the queue.
    pub max_wait: Duration,
    /// Time until the run must be over.
    pub time_left: Duration,
    /// Number of targets to which the request was already sent.
    pub sends: u32,
    /// Keys of targets that must not get it.
    pub avoid: Vec<u64>,
    /// Hash of the request, by which poison requests are recognized.
    pub fingerprint: u64,
    /// Availability zone of the entry.
    pub zone: Name,
}

/// Why an offer is refused. A refused offer was not sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The workspace is over its rate.
    Rate,
    /// It can't be served in time.
    Busy,
    /// No target accepts it.
    NoTarget,
    /// The retry budget is used up.
    RetryBudget,
    /// It is a poison request: its runs broke on several targets.
    Poison,
    /// A part of its prompt crashed several targets, in whatever request.
    PoisonPart,
    /// The targets that could serve it in time have reached the limits that they name.
    TargetLimit,
}

impl Refusal {
    /// Label in logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Refusal::Rate => "rate",
            Refusal::Busy => "busy",
            Refusal::NoTarget => "no_target",
            Refusal::RetryBudget => "retry_budget",
            Refusal::Poison => "poison",
            Refusal::PoisonPart => "poison_part",
            Refusal::TargetLimit => "target_limit",
        }
    }

    /// Code on the wire.
    #[must_use]
    pub fn code(self) -> u32 {
        match self {
            Refusal::Rate => 1,
            Refusal::Busy => 2,
            Refusal::NoTarget => 3,
            Refusal::RetryBudget => 4,
            Refusal::Poison => 5,
            Refusal::PoisonPart => 6,
            Refusal::TargetLimit => 7,
        }
    }

    /// Code on the wire.
    #[must_use]
    pub fn from_code(code: u32) -> Self {
        match code {
            1 => Refusal::Rate,
            3 => Refusal::NoTarget,
            4 => Refusal::RetryBudget,
            5 => Refusal::Poison,
            6 => Refusal::PoisonPart,
            7 => Refusal::TargetLimit,
            _ => Refusal::Busy,
        }
    }
}

/// Decision of an owner on an offer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent to the target.
    Grant {
        /// Id of the run.
        id: RunId,
        /// Id of the target.
        target: Name,
        /// Whether a target with capacity was passed over before because it had reached the limit
        /// that it names.
        has_met_limit: bool,
    },
    /// The request is refused.
    Refuse {
        /// Id of the run.
        id: RunId,
        /// Why it is refused.
        reason: Refusal,
        /// Time after which it would be admitted.
        retry_after: Duration,
    },
}

impl Decision {
    /// The run that was offered.
    #[must_use]
    pub fn id(&self) -> RunId {
        match self {
            Decision::Grant { id, .. } | Decision::Refuse { id, .. } => *id,
        }
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Nothing was sent.
    Unused,
    /// The complete response arrived.
    Served,
    /// The target responded with an error.
    Error,
    /// The target did not run it because it is at capacity.
    Overloaded,
    /// The address belongs to another target.
    Misdirected,
    /// The target could not be reached.
    Unreachable,
    /// The connection broke, or the response was damaged.
    Broken,
    /// No response arrived in time.
    TimedOut,
    /// The caller left.
    Cancelled,
}

impl RunEnd {
    /// Code on the wire.
    #[must_use]
    pub fn code(self) -> u32 {
        match self {
            RunEnd::Unused => 1,
            RunEnd::Served => 2,
            RunEnd::Error => 3,
            RunEnd::Overloaded => 4,
            RunEnd::Misdirected => 5,
            RunEnd::Unreachable => 6,
            RunEnd::Broken => 7,
            RunEnd::TimedOut => 8,
            RunEnd::Cancelled => 9,
        }
    }

    /// Code on the wire.
    #[must_use]
    pub fn from_code(code: u32) -> Self {
        match code {
            2 => RunEnd::Served,
            3 => RunEnd::Error,
            4 => RunEnd::Overloaded,
            5 => RunEnd::Misdirected,
            6 => RunEnd::Unreachable,
            7 => RunEnd::Broken,
            8 => RunEnd::TimedOut,
            9 => RunEnd::Cancelled,
            _ => RunEnd::Unused,
        }
    }
}

/// What an entry reports about a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunReport {
    /// How it ended.
    pub end: RunEnd,
    /// Time per unit of work: between events of a stream, or for a whole response.
    pub time_per_unit: Option<Duration>,
    /// Running and waiting requests, as reported by the target in its response.
    pub load: Option<(u32, u32)>,
}

impl RunReport {
    /// Creates a report that contains only how the run ended.
    #[must_use]
    pub fn of(end: RunEnd) -> Self {
        RunReport {
            end,
            time_per_unit: None,
            load: None,
        }
    }
}
