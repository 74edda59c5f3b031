//! Inputs and outputs of the scheduler.

use std::sync::Arc;
use std::time::Duration;

/// A shared immutable name.
pub type Name = Arc<str>;

/// What an entry tells a target owner about a waiting request. It holds no body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Descriptor {
    /// Request id, unique in the fleet.
    pub id: Name,
    /// Rank of the tier; 0 is the highest.
    pub tier: u8,
    /// Workspace that the request runs for.
    pub workspace: Name,
    /// Estimated prompt plus output tokens.
    pub cost: u64,
    /// Estimated prompt tokens.
    pub prompt: u64,
    /// Hash of the prompt's first block, for prefix-cache affinity; 0 for none.
    pub prefix: u64,
    /// Time by which the first byte of the answer must arrive.
    pub deadline: Duration,
    /// Time by which the run is over at the latest; the owner frees its place then.
    pub hard_deadline: Duration,
    /// Hash of the body, to recognise a request that crashes targets.
    pub fingerprint: u64,
}

/// Number of a permit, unique for one owner incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PermitId(pub u64);

/// The right to send one request to one target once, before it expires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Number of the permit.
    pub id: PermitId,
    /// Request that may be sent.
    pub request: Name,
    /// Target that it may be sent to.
    pub target: Name,
    /// Time after which the permit is void unless the first byte was sent.
    pub expires: Duration,
}

/// Why a request is shed. A shed request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ShedReason {
    /// The queue was full and held only work of the same or a higher tier.
    QueueFull,
    /// A request of a higher tier took its place in the queue.
    Evicted,
    /// It could not meet its deadline.
    Deadline,
    /// No target of the pool may get work.
    NoTarget,
    /// Its fingerprint crashed targets.
    Poison,
}

/// What the scheduler decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request may be sent.
    Granted(Permit),
    /// The request is shed.
    Shed {
        /// Request id.
        id: Name,
        /// Rank of its tier.
        tier: u8,
        /// Why it was shed.
        reason: ShedReason,
    },
}

/// A target as the sheet describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSpec {
    /// Name of the target.
    pub name: Name,
    /// Tokens in flight that it bears when warm; an upper bound for the learned limit.
    pub capacity: u64,
    /// Requests in flight that it bears while cold.
    pub cold_limit: u32,
    /// Relative speed of its hardware generation.
    pub speed: f64,
    /// False while its zone is out or the target is leaving.
    pub schedulable: bool,
}

/// Warm-up state of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TargetPhase {
    /// It bears only `cold_limit` requests.
    Cold,
    /// Its limit grows with completed work.
    Warming,
    /// It bears its learned limit.
    Serving,
    /// It gets no new work; runs in flight go on.
    Draining,
    /// It gets no work and has none.
    Out,
}

/// How a permit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The permit was returned unused; no byte was sent.
    Unused,
    /// The whole answer arrived.
    Complete,
    /// The caller left and the stream was cancelled.
    Cancelled,
    /// The target reset the connection or refused it.
    Reset,
    /// The target answered that it is overloaded or still loading.
    Overloaded,
}

/// Report of one run, sent by the entry when a permit ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunReport {
    /// How it ended.
    pub end: RunEnd,
    /// Tokens generated.
    pub tokens: u64,
    /// Time from the first byte sent to the first token.
    pub first_token: Option<Duration>,
    /// Mean time between tokens.
    pub token_gap: Option<Duration>,
}

/// Load that a target reports of itself, late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in flight at the target.
    pub running: u32,
    /// Tokens in flight at the target.
    pub tokens: u64,
    /// Whether the target says that it is cold.
    pub cold: bool,
    /// Number of the target's start; a change means that it restarted.
    pub start: u64,
}

/// Small summary of an owner's load in one pool, for entries choosing an owner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Digest {
    /// Tokens that could be admitted now.
    pub free: u64,
    /// Tokens that all open targets bear.
    pub limit: u64,
    /// Waiting descriptors by tier rank.
    pub waiting: Vec<u32>,
}

/// One run in flight, as handed over to a new owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InFlight {
    /// Request id.
    pub request: Name,
    /// Number of the permit at the old owner.
    pub permit: PermitId,
    /// Tokens it counts for.
    pub cost: u64,
    /// Remaining time until the place is freed.
    pub hard_deadline: Duration,
}

/// State of one target, handed over from its old owner to its new one.
#[derive(Clone, Debug, PartialEq)]
pub struct Handover {
    /// Name of the target.
    pub target: Name,
    /// Warm-up state.
    pub phase: TargetPhase,
    /// Learned limit in tokens.
    pub limit: u64,
    /// Runs in flight.
    pub in_flight: Vec<InFlight>,
}
