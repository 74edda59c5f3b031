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
    /// The caller's estimate of the output tokens.
    pub expected_output: Option<u32>,
    /// Hash of the last prompt part; 0 if there is none.
    pub session: u64,
    /// Longest time in the queue.
    pub max_wait: Duration,
    /// Time until its response, or the first event of it, is late.
    pub aim_left: Duration,
    /// Longest pause between events for which a stream is on time.
    pub max_pause: Option<Duration>,
    /// Time until the run must be over.
    pub time_left: Duration,
    /// Number of targets to which the request was already sent.
    pub sends: u32,
    /// Keys of targets that must not get it.
    pub avoid: Vec<u64>,
    /// Hashes of the request, by which poison requests are recognized.
    pub fingerprints: Fingerprints,
    /// Availability zone of the entry.
    pub zone: Name,
}

/// Hashes of a request, by which it is recognized when it comes again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fingerprints {
    /// Covers the caller, the path and the body.
    pub coarse: u64,
    /// Covers what `coarse` does, the method, the query and the headers that decide what a target does.
    pub exact: u64,
}

impl Offer {
    /// Tokens in its prompt; zero if it declares none.
    pub(crate) fn prompt_tokens(&self) -> u32 {
        self.token_counts.map_or(0, |counts| counts.prompt_tokens)
    }
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
        /// Whether it holds for the whole fleet, so that no other owner would admit the request.
        is_final: bool,
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

/// Load as a target reports it in the head of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Time that work takes on the target's machine at this moment, in percent of the usual; `None` if
    /// it is not stated.
    pub slowdown_percent: Option<u32>,
}

/// What an entry reports when the first event of a stream arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartReport {
    /// Time from the send to the first event.
    pub first_event: Duration,
    /// Load that the target reported in the head of the response.
    pub load: Option<TargetLoad>,
}

/// What an entry reports about a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunReport {
    /// How it ended.
    pub end: RunEnd,
    /// Time per unit of work: between events of a stream, or for a whole response.
    pub time_per_unit: Option<Duration>,
    /// Load that the target reported in its response.
    pub load: Option<TargetLoad>,
    /// Longest pause between two events of a stream.
    pub longest_pause: Option<Duration>,
    /// Events of a stream that was served completely.
    pub events: Option<u32>,
}

impl RunReport {
    /// Creates a report that contains only how the run ended.
    #[must_use]
    pub fn of(end: RunEnd) -> Self {
        RunReport {
            end,
            time_per_unit: None,
            load: None,
            longest_pause: None,
            events: None,
        }
    }
}
