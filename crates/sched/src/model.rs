//! Input and output types of the scheduler.

use std::sync::Arc;
use std::time::Duration;

/// A shared immutable name.
pub type Name = Arc<str>;

/// Data about a waiting request that its entry sends to a target owner; the body is not included.
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
    /// Hash of the first block of the prompt, for prefix-cache affinity; 0 if there is none.
    pub prefix: u64,
    /// Time by which the first byte of the response must arrive.
    pub deadline: Duration,
    /// Time by which the run must have ended; the owner stops counting the run then.
    pub hard_deadline: Duration,
    /// Hash of all that tells the request from others, used to recognize poison requests.
    pub fingerprint: u64,
    /// Hash that similar requests share, so that a poison request is recognized that is not quite the same
    /// each time; `None` if the entry sends none.
    pub coarse_fingerprint: Option<u64>,
}

impl Descriptor {
    pub(crate) fn fingerprints(&self) -> Fingerprints {
        Fingerprints {
            exact: self.fingerprint,
            coarse: self.coarse_fingerprint,
        }
    }
}

/// Hashes by which a poison request is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fingerprints {
    pub(crate) exact: u64,
    pub(crate) coarse: Option<u64>,
}

impl Fingerprints {
    pub(crate) fn iter(self) -> impl Iterator<Item = u64> {
        [self.exact].into_iter().chain(self.coarse)
    }
}

/// Number of a permit, unique within one incarnation of the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PermitId(pub u64);

/// The right to send one request to one target once, before it expires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Number of the permit.
    pub id: PermitId,
    /// Request that may be sent.
    pub request: Name,
    /// Target to which it may be sent.
    pub target: Name,
    /// Time after which the permit is void unless the first byte was sent before.
    pub expires: Duration,
}

/// Reason for shedding a request. A shed request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ShedReason {
    /// The queue was full and held only work of the same or a higher tier.
    QueueFull,
    /// A request of a higher tier replaced it in the full queue.
    Evicted,
    /// Its deadline can't be met.
    Deadline,
    /// No target of the pool accepts new work.
    NoTarget,
    /// Requests with its fingerprint crashed targets.
    Poison,
}

/// Decision of the scheduler on one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request may be sent.
    Granted(Permit),
    /// The request was shed.
    Shed {
        /// Request id.
        id: Name,
        /// Rank of its tier.
        tier: u8,
        /// Reason for shedding it.
        reason: ShedReason,
    },
}

/// Specification of a target, from the sheet.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSpec {
    /// Name of the target.
    pub name: Name,
    /// Largest number of tokens in flight when warm; an upper bound for the learned limit.
    pub capacity: u64,
    /// Largest number of requests in flight while cold.
    pub cold_limit: u32,
    /// Relative speed of its hardware generation.
    pub speed: f64,
    /// Whether it accepts new work; false while its zone is out or the target is leaving.
    pub schedulable: bool,
}

/// Warm-up state of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TargetPhase {
    /// It may hold only `cold_limit` requests.
    Cold,
    /// Its allowance grows with completed work.
    Warming,
    /// It may hold as many tokens as its learned limit.
    Serving,
    /// It gets no new work; runs in flight continue.
    Draining,
    /// It gets no new work and has no run in flight.
    Out,
}

/// How the use of a permit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The permit was returned unused; no byte was sent.
    Unused,
    /// The complete response arrived.
    Complete,
    /// The caller disconnected and the stream was cancelled.
    Cancelled,
    /// The target reset the connection or refused it.
    Reset,
    /// The target responded that it is overloaded or still loading.
    Overloaded,
}

/// Result of one run, sent by the entry when the permit ends.
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

/// Load reported by a target; it arrives with a delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in flight at the target.
    pub running: u32,
    /// Tokens in flight at the target.
    pub tokens: u64,
    /// Whether the target reports that it is cold.
    pub cold: bool,
    /// Identifies the current start of the target; a different value means that it restarted.
    pub start: u64,
}

/// Short summary of an owner's load in one pool, from which entries choose an owner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Digest {
    /// Tokens that could be admitted now.
    pub free: u64,
    /// Tokens that all schedulable targets may hold.
    pub limit: u64,
    /// Waiting descriptors by tier rank.
    pub waiting: Vec<u32>,
}

/// One run in flight that is handed over to a new owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InFlight {
    /// Request id.
    pub request: Name,
    /// Number of the permit at the old owner.
    pub permit: PermitId,
    /// Tokens that it counts as.
    pub cost: u64,
    /// Time left until its hard deadline, when the run stops counting.
    pub hard_deadline: Duration,
}

/// State of one target that its old owner hands over to the new one.
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
