//! Datagrams between members, encoded as protocol buffers.

use std::net::Ipv4Addr;
use std::time::Duration;

use admit::{
    Fingerprints, GrantedElsewhere, LeaseReply, LeaseRequest, LimitReport, Offer, RunEnd, RunId,
    RunReport, StartReport, TargetLoad, TokenCounts,
};
use prost::{Message, Oneof};

use crate::membership::{Heartbeat, Member, Membership, Sighting};
use crate::poison_parts::PartReport;
use crate::position::Position;
use crate::run_number::RunNumber;
use crate::sighting_codec;

/// Maximum size of a datagram that is received.
pub(crate) const MAX_DATAGRAM: usize = 16 * 1024;

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Datagram {
    /// Incarnation of the sender.
    #[prost(fixed64, tag = "1")]
    pub(crate) sender: u64,
    #[prost(oneof = "Body", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub(crate) body: Option<Body>,
}

#[derive(Clone, PartialEq, Oneof)]
pub(crate) enum Body {
    #[prost(message, tag = "2")]
    Heartbeat(HeartbeatMsg),
    #[prost(message, tag = "3")]
    Offer(OfferMsg),
    /// The offer is queued; this shows that the owner is alive.
    #[prost(fixed64, tag = "4")]
    Queued(u64),
    #[prost(message, tag = "5")]
    Grant(GrantMsg),
    #[prost(message, tag = "6")]
    Refuse(RefuseMsg),
    #[prost(message, tag = "7")]
    Release(ReleaseMsg),
    #[prost(fixed64, tag = "8")]
    Withdraw(u64),
    #[prost(message, tag = "9")]
    Start(StartMsg),
    #[prost(message, tag = "10")]
    LeaseRequest(LeaseRequestMsg),
    #[prost(message, tag = "11")]
    LeaseReply(LeaseReplyMsg),
}

impl Body {
    /// Label of the kind of message in metrics.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Body::Heartbeat(msg) if !msg.has_gossip() => "run_list",
            Body::Heartbeat(_) => "heartbeat",
            Body::Offer(_) => "offer",
            Body::Queued(_) => "queued",
            Body::Grant(_) => "grant",
            Body::Refuse(_) => "refuse",
            Body::Release(_) => "release",
            Body::Withdraw(_) => "withdraw",
            Body::Start(_) => "start",
            Body::LeaseRequest(_) => "lease_request",
            Body::LeaseReply(_) => "lease_reply",
        }
    }
}

#[derive(Clone, PartialEq, Message)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts")]
pub(crate) struct MemberMsg {
    #[prost(fixed32, tag = "1")]
    pub(crate) ip: u32,
    #[prost(fixed64, tag = "2")]
    pub(crate) incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) seq: u64,
    #[prost(bool, tag = "4")]
    pub(crate) ready: bool,
    #[prost(bool, tag = "5")]
    pub(crate) stopping: bool,
    #[prost(bool, tag = "6")]
    pub(crate) store_reachable: bool,
    #[prost(uint64, tag = "7")]
    pub(crate) revision: u64,
    #[prost(uint32, tag = "8")]
    pub(crate) max_members: u32,
    #[prost(uint32, tag = "9")]
    pub(crate) capacity_class: u32,
    #[prost(uint32, tag = "10")]
    pub(crate) zone: u32,
    #[prost(bool, tag = "11")]
    pub(crate) store_failed: bool,
    /// Era of `revision`.
    #[prost(uint64, tag = "12")]
    pub(crate) era: u64,
    #[prost(bool, tag = "13")]
    pub(crate) store_steady: bool,
    /// Whether the member leases rates. Missing in older builds.
    #[prost(bool, tag = "15")]
    pub(crate) leases_rates: bool,
    /// Whether the member reads `HeartbeatMsg::packed_sightings`. Missing in older builds.
    #[prost(bool, tag = "14")]
    pub(crate) reads_packed: bool,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct HeartbeatMsg {
    #[prost(message, optional, tag = "1")]
    pub(crate) from: Option<MemberMsg>,
    #[prost(message, repeated, tag = "2")]
    pub(crate) others: Vec<MemberMsg>,
    /// The sender's runs that were granted by the receiver, each with the key of its target.
    #[prost(message, repeated, tag = "3")]
    pub(crate) runs: Vec<RunMsg>,
    #[prost(message, repeated, tag = "4")]
    pub(crate) sightings: Vec<SightingMsg>,
    /// Parts of prompts that may crash targets.
    #[prost(message, repeated, tag = "5")]
    pub(crate) poison_parts: Vec<PartReportMsg>,
    /// Limits that targets have named.
    #[prost(message, repeated, tag = "6")]
    pub(crate) limits: Vec<LimitMsg>,
    /// Keys of targets that said recently that they are leaving.
    #[prost(fixed64, repeated, tag = "7")]
    pub(crate) leaving: Vec<u64>,
    /// In place of `sightings` for members that read it.
    #[prost(bytes = "vec", tag = "14")]
    pub(crate) packed_sightings: Vec<u8>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct LimitMsg {
    #[prost(fixed64, tag = "1")]
    pub(crate) target: u64,
    /// Requests per second; missing if the target no longer names a limit.
    #[prost(double, optional, tag = "2")]
    pub(crate) per_s: Option<f64>,
    #[prost(uint32, tag = "3")]
    pub(crate) age_ms: u32,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct PartReportMsg {
    #[prost(fixed64, tag = "1")]
    pub(crate) part: u64,
    #[prost(message, repeated, tag = "2")]
    pub(crate) crashes: Vec<CrashMsg>,
    /// Milliseconds since an answer on the part was completed, if one is known.
    #[prost(uint32, optional, tag = "3")]
    pub(crate) answered_ms: Option<u32>,
    /// See `poison_parts::Part`.
    #[prost(uint32, tag = "4")]
    pub(crate) depth: u32,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct CrashMsg {
    #[prost(fixed64, tag = "1")]
    pub(crate) target: u64,
    /// Milliseconds since the crash.
    #[prost(uint32, tag = "2")]
    pub(crate) age_ms: u32,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct SightingMsg {
    #[prost(fixed32, tag = "1")]
    pub(crate) ip: u32,
    #[prost(fixed32, tag = "2")]
    pub(crate) incarnation: u32,
    #[prost(uint64, tag = "3")]
    pub(crate) seq: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct RunMsg {
    #[prost(fixed64, tag = "1")]
    pub(crate) run: u64,
    #[prost(fixed64, tag = "2")]
    pub(crate) target: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct OfferMsg {
    #[prost(fixed64, tag = "1")]
    pub(crate) run: u64,
    #[prost(string, tag = "2")]
    pub(crate) pool: String,
    #[prost(uint32, tag = "3")]
    pub(crate) shards: u32,
    #[prost(uint32, tag = "4")]
    pub(crate) tier: u32,
    #[prost(string, tag = "5")]
    pub(crate) workspace: String,
    #[prost(uint32, tag = "6")]
    pub(crate) prompt_tokens: u32,
    #[prost(uint32, tag = "7")]
    pub(crate) output_tokens: u32,
    #[prost(bool, tag = "8")]
    pub(crate) counted: bool,
    #[prost(fixed64, tag = "9")]
    pub(crate) session: u64,
    #[prost(uint32, tag = "10")]
    pub(crate) wait_ms: u32,
    #[prost(uint32, tag = "11")]
    pub(crate) left_ms: u32,
    #[prost(uint32, tag = "12")]
    pub(crate) sends: u32,
    #[prost(fixed64, repeated, tag = "13")]
    pub(crate) avoid: Vec<u64>,
    /// Older builds send a hash of their own and no coarse one; both are unknown here.
    #[prost(fixed64, tag = "14")]
    pub(crate) exact_fingerprint: u64,
    #[prost(string, tag = "15")]
    pub(crate) zone: String,
    #[prost(uint32, tag = "16")]
    pub(crate) shard: u32,
    /// The caller's estimate of the output tokens.
    #[prost(uint32, optional, tag = "17")]
    pub(crate) expected_output: Option<u32>,
    /// Time until the response is late; missing in offers of older builds.
    #[prost(uint32, optional, tag = "18")]
    pub(crate) aim_ms: Option<u32>,
    #[prost(uint32, optional, tag = "19")]
    pub(crate) max_pause_ms: Option<u32>,
    #[prost(fixed64, tag = "20")]
    pub(crate) coarse_fingerprint: u64,
    /// What other owners granted the entry for the workspace since it last asked this one.
    #[prost(message, repeated, tag = "21")]
    pub(crate) granted_elsewhere: Vec<GrantedElsewhereMsg>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct GrantedElsewhereMsg {
    #[prost(uint32, tag = "1")]
    pub(crate) age_ms: u32,
    /// Units of the workspace's rate.
    #[prost(double, tag = "2")]
    pub(crate) units: f64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct GrantMsg {
    #[prost(fixed64, tag = "1")]
    pub(crate) run: u64,
    #[prost(string, tag = "2")]
    pub(crate) target: String,
    /// Whether a target was passed over before because of the limit that it names.
    #[prost(bool, tag = "3")]
    pub(crate) has_met_limit: bool,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct RefuseMsg {
    #[prost(fixed64, tag = "1")]
    pub(crate) run: u64,
    #[prost(uint32, tag = "2")]
    pub(crate) reason: u32,
    #[prost(uint32, tag = "3")]
    pub(crate) retry_ms: u32,
    /// Whether no other owner would admit the request.
    #[prost(bool, tag = "4")]
    pub(crate) is_final: bool,
}

/// Asks the holder of a workspace's rate for tokens.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct LeaseRequestMsg {
    #[prost(string, tag = "1")]
    pub(crate) workspace: String,
    #[prost(uint64, tag = "2")]
    pub(crate) seq: u64,
    /// Units of each offer that waits.
    #[prost(double, repeated, tag = "3")]
    pub(crate) units: Vec<f64>,
    #[prost(double, tag = "4")]
    pub(crate) ahead: f64,
    #[prost(double, tag = "5")]
    pub(crate) returned: f64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct LeaseReplyMsg {
    #[prost(string, tag = "1")]
    pub(crate) workspace: String,
    /// Incarnation of the owner that asked.
    #[prost(fixed64, tag = "2")]
    pub(crate) owner: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) seq: u64,
    /// Milliseconds until the tokens of each offer are available; 0 if it is charged.
    #[prost(uint32, repeated, tag = "4")]
    pub(crate) waits_ms: Vec<u32>,
    #[prost(double, tag = "5")]
    pub(crate) ahead: f64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct ReleaseMsg {
    #[prost(fixed64, tag = "1")]
    pub(crate) run: u64,
    #[prost(uint32, tag = "2")]
    pub(crate) end: u32,
    /// Microseconds per unit of work; 0 if unknown.
    #[prost(uint32, tag = "3")]
    pub(crate) time_per_unit_us: u32,
    #[prost(bool, tag = "4")]
    pub(crate) has_load: bool,
    #[prost(uint32, tag = "5")]
    pub(crate) running: u32,
    #[prost(uint32, tag = "6")]
    pub(crate) waiting: u32,
    #[prost(uint32, optional, tag = "7")]
    pub(crate) slowdown_percent: Option<u32>,
    #[prost(uint32, optional, tag = "8")]
    pub(crate) longest_pause_ms: Option<u32>,
    #[prost(uint32, optional, tag = "9")]
    pub(crate) events: Option<u32>,
}

/// The first event of a stream arrived.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct StartMsg {
    #[prost(fixed64, tag = "1")]
    pub(crate) run: u64,
    #[prost(uint32, tag = "2")]
    pub(crate) first_event_ms: u32,
    #[prost(message, optional, tag = "3")]
    pub(crate) load: Option<LoadMsg>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct LoadMsg {
    #[prost(uint32, tag = "1")]
    pub(crate) running: u32,
    #[prost(uint32, tag = "2")]
    pub(crate) waiting: u32,
    #[prost(uint32, optional, tag = "3")]
    pub(crate) slowdown_percent: Option<u32>,
}

impl From<&TargetLoad> for LoadMsg {
    fn from(load: &TargetLoad) -> Self {
        LoadMsg {
            running: load.running,
            waiting: load.waiting,
            slowdown_percent: load.slowdown_percent,
        }
    }
}

impl From<&LoadMsg> for TargetLoad {
    fn from(msg: &LoadMsg) -> Self {
        TargetLoad {
            running: msg.running,
            waiting: msg.waiting,
            slowdown_percent: msg.slowdown_percent,
        }
    }
}

impl StartMsg {
    pub(crate) fn new(run: RunNumber, report: &StartReport) -> Self {
        StartMsg {
            run: run.to_wire(),
            first_event_ms: millis(report.first_event),
            load: report.load.as_ref().map(LoadMsg::from),
        }
    }

    pub(crate) fn to_report(&self) -> StartReport {
        StartReport {
            first_event: Duration::from_millis(self.first_event_ms.into()),
            load: self.load.as_ref().map(TargetLoad::from),
        }
    }
}

impl From<&Member> for MemberMsg {
    fn from(member: &Member) -> Self {
        MemberMsg {
            ip: member.ip.to_bits(),
            incarnation: member.incarnation,
            seq: member.seq,
            ready: member.ready,
            stopping: member.stopping,
            store_reachable: member.store_reachable,
            revision: member.position.revision,
            era: member.position.era,
            max_members: member.max_members,
            capacity_class: member.capacity_class,
            zone: member.zone,
            store_failed: member.store_failed,
            store_steady: member.store_steady,
            leases_rates: member.leases_rates,
            reads_packed: member.reads_packed,
        }
    }
}

impl From<&MemberMsg> for Member {
    fn from(msg: &MemberMsg) -> Self {
        Member {
            ip: Ipv4Addr::from_bits(msg.ip),
            incarnation: msg.incarnation,
            seq: msg.seq,
            ready: msg.ready,
            stopping: msg.stopping,
            store_reachable: msg.store_reachable,
            position: Position::new(msg.era, msg.revision),
            max_members: msg.max_members,
            capacity_class: msg.capacity_class,
            zone: msg.zone,
            store_failed: msg.store_failed,
            store_steady: msg.store_steady,
            leases_rates: msg.leases_rates,
            reads_packed: msg.reads_packed,
        }
    }
}

impl From<&Sighting> for SightingMsg {
    fn from(sighting: &Sighting) -> Self {
        SightingMsg {
            ip: sighting.ip.to_bits(),
            incarnation: sighting.incarnation,
            seq: sighting.seq,
        }
    }
}

impl From<&SightingMsg> for Sighting {
    fn from(msg: &SightingMsg) -> Self {
        Sighting {
            ip: Ipv4Addr::from_bits(msg.ip),
            incarnation: msg.incarnation,
            seq: msg.seq,
        }
    }
}

impl GrantedElsewhereMsg {
    pub(crate) fn new(elsewhere: &GrantedElsewhere) -> Self {
        GrantedElsewhereMsg {
            age_ms: millis(elsewhere.age),
            units: elsewhere.units,
        }
    }

    /// `None` if the units are no amount.
    fn read(&self) -> Option<GrantedElsewhere> {
        (self.units.is_finite() && self.units >= 0.0).then(|| GrantedElsewhere {
            age: Duration::from_millis(self.age_ms.into()),
            units: self.units,
        })
    }
}

impl From<&PartReport> for PartReportMsg {
    fn from(report: &PartReport) -> Self {
        let crash = |&(target, age): &(u64, Duration)| CrashMsg {
            target,
            age_ms: millis(age),
        };
        PartReportMsg {
            part: report.part,
            depth: report.depth,
            crashes: report.crashes.iter().map(crash).collect(),
            answered_ms: report.answered.map(millis),
        }
    }
}

impl From<&PartReportMsg> for PartReport {
    fn from(msg: &PartReportMsg) -> Self {
        let age = |ms: u32| Duration::from_millis(ms.into());
        let crashes = msg.crashes.iter();
        PartReport {
            part: msg.part,
            depth: msg.depth,
            crashes: crashes.map(|c| (c.target, age(c.age_ms))).collect(),
            answered: msg.answered_ms.map(age),
        }
    }
}

impl From<&LeaseRequest> for LeaseRequestMsg {
    fn from(request: &LeaseRequest) -> Self {
        LeaseRequestMsg {
            workspace: request.workspace.to_string(),
            seq: request.seq,
            units: request.units.clone(),
            ahead: request.ahead,
            returned: request.returned,
        }
    }
}

impl From<LeaseRequestMsg> for LeaseRequest {
    fn from(msg: LeaseRequestMsg) -> Self {
        LeaseRequest {
            workspace: msg.workspace.into(),
            seq: msg.seq,
            units: msg.units,
            ahead: msg.ahead,
            returned: msg.returned,
        }
    }
}

impl From<&LeaseReply> for LeaseReplyMsg {
    fn from(reply: &LeaseReply) -> Self {
        let waits = reply.waits.iter();
        LeaseReplyMsg {
            workspace: reply.workspace.to_string(),
            owner: reply.owner,
            seq: reply.seq,
            waits_ms: waits.map(|&wait| millis_rounded_up(wait)).collect(),
            ahead: reply.ahead,
        }
    }
}

impl From<LeaseReplyMsg> for LeaseReply {
    fn from(msg: LeaseReplyMsg) -> Self {
        let waits = msg.waits_ms.into_iter();
        LeaseReply {
            workspace: msg.workspace.into(),
            owner: msg.owner,
            seq: msg.seq,
            waits: waits.map(|ms| Duration::from_millis(ms.into())).collect(),
            ahead: msg.ahead,
        }
    }
}

impl From<&LimitReport> for LimitMsg {
    fn from(report: &LimitReport) -> Self {
        LimitMsg {
            target: report.target,
            per_s: report.per_s,
            age_ms: millis(report.age),
        }
    }
}

impl From<&LimitMsg> for LimitReport {
    fn from(msg: &LimitMsg) -> Self {
        LimitReport {
            target: msg.target,
            per_s: msg.per_s,
            age: Duration::from_millis(msg.age_ms.into()),
        }
    }
}

/// Older builds let a request wait for half of its target latency.
const OLD_AIM_PER_WAIT: u32 = 2;

impl OfferMsg {
    pub(crate) fn granted_elsewhere(&self) -> Vec<GrantedElsewhere> {
        let granted = self.granted_elsewhere.iter();
        granted.filter_map(GrantedElsewhereMsg::read).collect()
    }

    /// Converts the message to an offer.
    pub(crate) fn into_offer(self, id: RunId) -> Offer {
        Offer {
            id,
            pool: self.pool.into(),
            shard: self.shard,
            shards: self.shards,
            tier: u8::try_from(self.tier).unwrap_or(u8::MAX),
            workspace: (!self.workspace.is_empty()).then(|| self.workspace.into()),
            token_counts: self.counted.then_some(TokenCounts {
                prompt_tokens: self.prompt_tokens,
                output_tokens: self.output_tokens,
            }),
            expected_output: self.expected_output,
            session: self.session,
            aim_left: Duration::from_millis(
                self.aim_ms
                    .unwrap_or_else(|| self.wait_ms.saturating_mul(OLD_AIM_PER_WAIT))
                    .into(),
            ),
            max_pause: (self.max_pause_ms).map(|ms| Duration::from_millis(ms.into())),
            max_wait: Duration::from_millis(self.wait_ms.into()),
            time_left: Duration::from_millis(self.left_ms.into()),
            sends: self.sends,
            avoid: self.avoid,
            fingerprints: Fingerprints {
                coarse: self.coarse_fingerprint,
                exact: self.exact_fingerprint,
            },
            zone: self.zone.into(),
        }
    }
}

impl ReleaseMsg {
    pub(crate) fn new(run: RunNumber, report: &RunReport) -> Self {
        let load = report.load.unwrap_or_default();
        let time_per_unit = report
            .time_per_unit
            .map_or(0, |time_per_unit| time_per_unit.as_micros());
        ReleaseMsg {
            run: run.to_wire(),
            end: report.end.code(),
            time_per_unit_us: u32::try_from(time_per_unit).unwrap_or(u32::MAX),
            has_load: report.load.is_some(),
            running: load.running,
            waiting: load.waiting,
            slowdown_percent: load.slowdown_percent,
            longest_pause_ms: report.longest_pause.map(millis),
            events: report.events,
        }
    }

    pub(crate) fn to_report(&self) -> RunReport {
        RunReport {
            end: RunEnd::from_code(self.end),
            time_per_unit: (self.time_per_unit_us > 0)
                .then(|| Duration::from_micros(self.time_per_unit_us.into())),
            load: self.has_load.then_some(TargetLoad {
                running: self.running,
                waiting: self.waiting,
                slowdown_percent: self.slowdown_percent,
            }),
            longest_pause: (self.longest_pause_ms).map(|ms| Duration::from_millis(ms.into())),
            events: self.events,
        }
    }
}

impl HeartbeatMsg {
    pub(crate) fn new(heartbeat: &Heartbeat) -> Self {
        HeartbeatMsg {
            from: Some((&heartbeat.from).into()),
            others: heartbeat.others.iter().map(MemberMsg::from).collect(),
            runs: Vec::new(),
            sightings: heartbeat.sightings.iter().map(SightingMsg::from).collect(),
            poison_parts: Vec::new(),
            limits: Vec::new(),
            leaving: Vec::new(),
            packed_sightings: Vec::new(),
        }
    }

    fn has_gossip(&self) -> bool {
        !(self.others.is_empty() && self.sightings.is_empty() && self.packed_sightings.is_empty())
    }

    pub(crate) fn pack_sightings(&mut self, sightings: &[Sighting]) {
        self.sightings.clear();
        self.packed_sightings = sighting_codec::encode(sightings);
    }

    /// Converts the message to a heartbeat, or returns `None` if it has no sender.
    pub(crate) fn to_heartbeat(&self) -> Option<Heartbeat> {
        Some(Heartbeat {
            from: self.from.as_ref()?.into(),
            others: self.others.iter().map(Member::from).collect(),
            sightings: self.sightings.iter().map(Sighting::from).collect(),
        })
    }
}

/// Milliseconds for the wire, such that a time above zero stays above zero.
fn millis_rounded_up(time: Duration) -> u32 {
    u32::try_from(time.as_nanos().div_ceil(1_000_000)).unwrap_or(u32::MAX)
}

/// Bytes of a datagram that carries only the list of runs, without limits and leaving targets.
#[must_use]
pub fn run_list_len(from: &Member, runs: &[(u64, u64)]) -> usize {
    let heartbeat = Heartbeat {
        from: *from,
        others: Vec::new(),
        sightings: Vec::new(),
    };
    let mut msg = HeartbeatMsg::new(&heartbeat);
    msg.runs = runs
        .iter()
        .map(|&(run, target)| RunMsg { run, target })
        .collect();
    datagram_len(from.incarnation, msg)
}

/// Bytes of a datagram with a heartbeat, without runs, limits and parts of prompts.
#[must_use]
pub fn gossip_len(heartbeat: &Heartbeat) -> usize {
    let mut msg = HeartbeatMsg::new(heartbeat);
    msg.pack_sightings(&heartbeat.sightings);
    datagram_len(heartbeat.from.incarnation, msg)
}

/// Packs the sightings of a heartbeat and unpacks them as a receiver does. Returns `None` if the
/// last `cut` bytes are missing and the rest is malformed.
#[must_use]
pub fn repack(heartbeat: &Heartbeat, to: &Membership, cut: usize) -> Option<Vec<Sighting>> {
    let packed = sighting_codec::encode(&heartbeat.sightings);
    let received = &packed[..packed.len().saturating_sub(cut)];
    sighting_codec::decode(received, |ip| to.known_seq(ip))
}

fn datagram_len(sender: u64, msg: HeartbeatMsg) -> usize {
    let body = Some(Body::Heartbeat(msg));
    Datagram { sender, body }.encoded_len()
}

/// Milliseconds for the wire; longer times are capped at `u32::MAX`.
pub(crate) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
