//! Messages between daemons.
//!
//! Times are durations in microseconds, since the clocks of two VMs are not synchronized.

/// Version of the protocol. Daemons with different versions don't link.
pub const PROTOCOL_VERSION: u32 = 1;

/// One message. A reply carries the `seq` of its request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Number of a request, unique in each direction of a link; 0 if no reply is expected.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// The message.
    #[prost(
        oneof = "Body",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22"
    )]
    pub body: Option<Body>,
}

/// Message in a frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First frame in each direction of a link.
    #[prost(message, tag = "2")]
    Hello(Hello),
    /// Sent in each direction at a fixed interval.
    #[prost(message, tag = "3")]
    Heartbeat(Heartbeat),
    /// Asks a target owner for a permit.
    #[prost(message, tag = "4")]
    Offer(Offer),
    /// Decision about an offer.
    #[prost(message, tag = "5")]
    OfferReply(OfferReply),
    /// Withdraws an offer.
    #[prost(message, tag = "6")]
    Withdraw(Withdraw),
    /// Ends a permit.
    #[prost(message, tag = "7")]
    Release(Release),
    /// Load of an owner's targets.
    #[prost(message, tag = "8")]
    Digest(Digest),
    /// Asks a holder of parts for tokens.
    #[prost(message, tag = "9")]
    PartAsk(PartAsk),
    /// Moves parts to another holder.
    #[prost(message, tag = "10")]
    PartMoves(PartMoves),
    /// Confirms or rejects a move.
    #[prost(message, tag = "11")]
    PartAck(PartAck),
    /// Asks which parts a daemon holds.
    #[prost(message, tag = "12")]
    PartQuery(PartQuery),
    /// Parts that a daemon holds.
    #[prost(message, tag = "13")]
    PartClaims(PartClaims),
    /// Asks the previous owner of a target to hand it over.
    #[prost(message, tag = "14")]
    HandoverAsk(HandoverAsk),
    /// Response to a handover request.
    #[prost(message, tag = "15")]
    Handover(Handover),
    /// A newer sheet.
    #[prost(message, tag = "16")]
    SheetPush(SheetPush),
    /// A fresher VM list.
    #[prost(message, tag = "17")]
    ListPush(ListPush),
    /// Asks for the outcome of a request.
    #[prost(message, tag = "18")]
    OutcomeAsk(OutcomeAsk),
    /// Outcome of a request.
    #[prost(message, tag = "19")]
    OutcomeReply(OutcomeReply),
    /// Record of a request that was in flight when targets crashed.
    #[prost(message, tag = "20")]
    Suspect(Suspect),
    /// Asks for the sheet if it is newer than the given revision.
    #[prost(uint64, tag = "21")]
    SheetAsk(u64),
    /// Asks for the VM list if it is fresher than the given generation.
    #[prost(uint64, tag = "22")]
    ListAsk(u64),
}

/// Identifies a daemon to its peer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`] of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Name of the sender's VM.
    #[prost(string, tag = "2")]
    pub vm: String,
    /// Incarnation of the sender.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Availability zone of the sender.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Address at which the sender accepts callers.
    #[prost(string, tag = "5")]
    pub entry: String,
}

/// Shows that the sender is alive, and which list and sheet it has.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Heartbeat {
    /// Generation of the sender's VM list.
    #[prost(uint64, tag = "1")]
    pub list_generation: u64,
    /// Time since the sender, or a daemon that relayed to it, read the list from the platform.
    #[prost(uint64, tag = "2")]
    pub list_age_us: u64,
    /// Revision of the sender's sheet.
    #[prost(uint64, tag = "3")]
    pub sheet_revision: u64,
    /// Whether the sender accepts requests; false while it starts or drains.
    #[prost(bool, tag = "4")]
    pub ready: bool,
    /// Prefix of the request ids that the sender takes now.
    #[prost(fixed64, tag = "5")]
    pub id_prefix: u64,
}

/// Descriptor of a request that waits for a permit.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Offer {
    /// Request id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Pool that should serve it.
    #[prost(string, tag = "2")]
    pub pool: String,
    /// Rank of its tier.
    #[prost(uint32, tag = "3")]
    pub tier: u32,
    /// Workspace.
    #[prost(string, tag = "4")]
    pub workspace: String,
    /// Prompt plus output tokens.
    #[prost(uint64, tag = "5")]
    pub cost: u64,
    /// Prompt tokens.
    #[prost(uint64, tag = "6")]
    pub prompt: u64,
    /// Hash of the prompt's first block.
    #[prost(fixed64, tag = "7")]
    pub prefix: u64,
    /// Time left until the deadline of the first byte of the response.
    #[prost(uint64, tag = "8")]
    pub deadline_us: u64,
    /// Time left until the latest end of the run.
    #[prost(uint64, tag = "9")]
    pub hard_deadline_us: u64,
    /// Exact hash of the request; in older builds a hash of the body.
    #[prost(fixed64, tag = "10")]
    pub fingerprint: u64,
    /// Hash that similar requests share; missing in offers of older builds.
    #[prost(fixed64, optional, tag = "11")]
    pub coarse_fingerprint: Option<u64>,
}

/// Decision about an offer; sent when the decision is made, which may be long after the offer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OfferReply {
    /// The decision.
    #[prost(oneof = "Verdict", tags = "1, 2, 3")]
    pub verdict: Option<Verdict>,
}

/// A decision about an offer.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Verdict {
    /// A permit to send the request to a target.
    #[prost(message, tag = "1")]
    Grant(Grant),
    /// The request is shed and was not run.
    #[prost(message, tag = "2")]
    Shed(Shed),
    /// The sender owns no target of the pool. The value is the revision of its sheet.
    #[prost(uint64, tag = "3")]
    NotOwner(u64),
}

/// A permit.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Grant {
    /// Number of the permit at its owner.
    #[prost(uint64, tag = "1")]
    pub permit: u64,
    /// Target.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Time from the sending of the offer until the permit expires. It starts with the offer so
    /// that a delayed reply can't extend it.
    #[prost(uint64, tag = "3")]
    pub expires_us: u64,
    /// Incarnation of the owner that granted the permit.
    #[prost(fixed64, tag = "4")]
    pub owner: u64,
}

/// Reason why a request was shed.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Shed {
    /// Reason, as in the `x-primrosechute-reason` header.
    #[prost(string, tag = "1")]
    pub reason: String,
}

/// Withdraws an offer because the caller disconnected.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Withdraw {
    /// Request id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Pool.
    #[prost(string, tag = "2")]
    pub pool: String,
}

/// Ends a permit and reports how its run ended.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Release {
    /// Pool of the target.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// Number of the permit.
    #[prost(uint64, tag = "2")]
    pub permit: u64,
    /// How the run ended: 0 unused, 1 complete, 2 cancelled, 3 reset, 4 overloaded.
    #[prost(uint32, tag = "3")]
    pub end: u32,
    /// Number of tokens generated.
    #[prost(uint64, tag = "4")]
    pub tokens: u64,
    /// Time to the first token, if there was one.
    #[prost(uint64, optional, tag = "5")]
    pub first_token_us: Option<u64>,
    /// Mean time between tokens.
    #[prost(uint64, optional, tag = "6")]
    pub token_gap_us: Option<u64>,
    /// Request id. An owner that took the target over needs it, since it assigns new permit
    /// numbers.
    #[prost(string, tag = "7")]
    pub id: String,
    /// Incarnation of the owner that granted the permit.
    #[prost(fixed64, tag = "8")]
    pub owner: u64,
    /// Target of the permit.
    #[prost(string, tag = "9")]
    pub target: String,
}

/// Load of an owner in one pool.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Digest {
    /// Pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// Tokens that could be admitted now.
    #[prost(uint64, tag = "2")]
    pub free: u64,
    /// Sum of the limits of all schedulable targets, in tokens.
    #[prost(uint64, tag = "3")]
    pub limit: u64,
    /// Number of waiting offers by tier rank.
    #[prost(uint32, repeated, tag = "4")]
    pub waiting: Vec<u32>,
}

/// Asks a holder of parts to move some to the sender.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PartAsk {
    /// Workspace.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// Number of tokens that the sender lacks.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// Moves parts to the receiver. Without parts, the sender has none to spare.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PartMoves {
    /// The parts.
    #[prost(message, repeated, tag = "1")]
    pub moves: Vec<PartMove>,
    /// Tokens that remain with the sender for the workspace.
    #[prost(uint64, tag = "2")]
    pub left: u64,
}

/// Moves one part.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PartMove {
    /// Workspace.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// Number of the part.
    #[prost(uint32, tag = "2")]
    pub number: u32,
    /// Epoch of the part. A part with a higher epoch replaces it.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// Tokens in the part, in thousandths.
    #[prost(uint64, tag = "4")]
    pub level_millis: u64,
    /// Incarnation of the receiver. A daemon with another incarnation rejects the move.
    #[prost(fixed64, tag = "5")]
    pub receiver: u64,
    /// Number of moves of the part in this epoch.
    #[prost(uint64, tag = "6")]
    pub hops: u64,
}

/// Confirms or rejects a move.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PartAck {
    /// Workspace.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// Number of the part.
    #[prost(uint32, tag = "2")]
    pub number: u32,
    /// Epoch of the part.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// Number of moves of the part in this epoch, as in the move.
    #[prost(uint64, tag = "4")]
    pub hops: u64,
    /// Whether the receiver accepted the part.
    #[prost(bool, tag = "5")]
    pub taken: bool,
}

/// Asks which parts of all workspaces the receiver holds.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PartQuery {
    /// Parts that the sender is about to start, with their new epochs. The receiver records them
    /// before it replies.
    #[prost(message, repeated, tag = "1")]
    pub claims: Vec<PartClaim>,
}

/// All parts that a daemon holds or has in transit.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PartClaims {
    /// Claims by workspace.
    #[prost(message, repeated, tag = "1")]
    pub claims: Vec<PartClaim>,
}

/// Parts of one workspace that a daemon holds or has in transit.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PartClaim {
    /// Workspace.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// Numbers of the parts.
    #[prost(uint32, repeated, tag = "2")]
    pub numbers: Vec<u32>,
    /// Epochs of the parts, in the same order.
    #[prost(uint64, repeated, tag = "3")]
    pub epochs: Vec<u64>,
    /// Tokens available in all of them.
    #[prost(uint64, tag = "4")]
    pub tokens: u64,
}

/// Asks the previous owner of a target to hand it over.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HandoverAsk {
    /// Target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Generation of the list that makes the sender the owner.
    #[prost(uint64, tag = "2")]
    pub list_generation: u64,
}

/// Phase of a target in its warm-up and its removal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum TargetPhase {
    /// Missing in the message.
    Unknown = 0,
    /// Limited to its cold limit.
    Cold = 1,
    /// Its limit grows with completed work.
    Warming = 2,
    /// Limited to its learned limit.
    Serving = 3,
    /// Gets no new work, but runs are in flight.
    Draining = 4,
    /// Gets no new work, and no runs are in flight.
    Out = 5,
}

/// Response to a handover request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum HandoverAnswer {
    /// Missing in the message.
    None = 0,
    /// The sender stopped granting permits for the target; the other fields have its state.
    HandedOver = 1,
    /// The sender owns the target according to a fresher list.
    StillOwner = 2,
    /// The sender never owned the target and knows no earlier owner.
    NeverOwned = 3,
    /// The sender does not hold the target.
    NotHeld = 4,
    /// In no list of the last hold-down did a VM other than the receiver's own the target.
    OnlyAskerOwned = 5,
}

/// Response to a handover request, with the state of the target if it is handed over.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Handover {
    /// Target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Relation of the sender to the target.
    #[prost(enumeration = "HandoverAnswer", tag = "2")]
    pub answer: i32,
    /// Phase of the target.
    #[prost(enumeration = "TargetPhase", tag = "3")]
    pub phase: i32,
    /// Learned limit in tokens.
    #[prost(uint64, tag = "4")]
    pub limit: u64,
    /// Runs in flight.
    #[prost(message, repeated, tag = "5")]
    pub runs: Vec<HandoverRun>,
}

/// A run in flight at a target that is handed over.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HandoverRun {
    /// Request id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Number of the permit at the old owner.
    #[prost(uint64, tag = "2")]
    pub permit: u64,
    /// Tokens that the run counts as.
    #[prost(uint64, tag = "3")]
    pub cost: u64,
    /// Time left until the run no longer counts as in flight.
    #[prost(uint64, tag = "4")]
    pub hard_deadline_us: u64,
}

/// A sheet in canonical form. It fits in one frame, so it is sent as a single piece.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SheetPush {
    /// Revision.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Content.
    #[prost(bytes = "bytes", tag = "2")]
    pub content: bytes::Bytes,
    /// Number of this piece, from 0.
    #[prost(uint32, tag = "3")]
    pub piece: u32,
    /// Number of pieces.
    #[prost(uint32, tag = "4")]
    pub pieces: u32,
}

/// A VM list.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ListPush {
    /// Generation.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// Time since the list was read from the platform.
    #[prost(uint64, tag = "2")]
    pub age_us: u64,
    /// Rows.
    #[prost(message, repeated, tag = "3")]
    pub vms: Vec<VmRow>,
}

/// A row of a VM list.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct VmRow {
    /// Name of the VM.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Whether the VM is leaving.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Address that callers connect to.
    #[prost(string, tag = "4")]
    pub entry: String,
    /// Address that other daemons connect to.
    #[prost(string, tag = "5")]
    pub peer: String,
}

/// Asks the daemon with the incarnation in a request id for the outcome of the request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OutcomeAsk {
    /// Request id.
    #[prost(string, tag = "1")]
    pub id: String,
}

/// Outcome of a request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OutcomeReply {
    /// Outcome, as in the response headers; empty if the request is unknown.
    #[prost(string, tag = "1")]
    pub outcome: String,
    /// Reason, as in the response headers.
    #[prost(string, tag = "2")]
    pub reason: String,
}

/// Record of a request that was in flight when targets crashed.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Suspect {
    /// Exact or coarse hash of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Targets that crashed while running it. A name occurs twice if an isolated run crashed that
    /// target again; without any name, the record clears a suspect request.
    #[prost(string, repeated, tag = "2")]
    pub targets: Vec<String>,
    /// Time for which the receiver should remember it. If it is 0 and there are targets, the
    /// message only asks for the receiver's record.
    #[prost(uint64, tag = "3")]
    pub remember_us: u64,
}
