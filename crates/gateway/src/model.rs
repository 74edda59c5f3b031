//! Configuration, targets and settings in the product's own words.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// A shared immutable name.
pub type Name = Arc<str>;

/// What may be repeated of a request on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A stream of events; a resumable one goes on at another target after its last event.
    Stream {
        /// Whether it may be resumed.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run may be sent again.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(
            self,
            RouteKind::Idempotent | RouteKind::Stream { resumable: true }
        )
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name in logs.
    pub name: Name,
    /// Host that it serves.
    pub host: Name,
    /// Start of the path, from slash to slash.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time until the caller has an answer.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub target_latency: Duration,
    /// Number of targets to which one request may be sent.
    pub max_attempts: u32,
    /// Rank of the tier; 0 is the highest.
    pub tier: u8,
    /// Whether it needs no key.
    pub public: bool,
    /// Pools with their weights.
    pub pools: Vec<(Name, u32)>,
}

/// A set of targets that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name.
    pub name: Name,
    /// Requests a second that a cold target bears; `None` if it may get any number.
    pub cold_per_s: Option<f64>,
}

/// What a rate counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Requests.
    Request,
    /// Tokens; a request without a token count is worth `plain` tokens.
    Token {
        /// Tokens of a request without a count.
        default_tokens: u64,
    },
}

/// Rate and burst of a workspace over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// What is counted.
    pub unit: Unit,
    /// Units a second.
    pub per_s: f64,
    /// Units at once.
    pub burst: f64,
}

/// A tenant of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name.
    pub name: Name,
    /// Keys of its callers.
    pub keys: Vec<Name>,
    /// Rank that goes before the tier of the route.
    pub tier: Option<u8>,
    /// Rate; `None` if it is not limited.
    pub rate: Option<Rate>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Bytes of a request head.
    pub max_header_bytes: usize,
    /// Bytes of a request body.
    pub max_body_bytes: usize,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for HttpLimits {
    /// In force until a configuration is read.
    fn default() -> Self {
        HttpLimits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A whole configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Grows with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All pools.
    pub pools: Vec<Pool>,
    /// All workspaces; without any, no request needs a key.
    pub workspaces: Vec<Workspace>,
    /// Bounds on what callers send.
    pub limits: HttpLimits,
}

/// One back end.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Id of this start of the back end.
    pub id: Name,
    /// Pool that it belongs to.
    pub pool: Name,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// How much longer it is cold, as of the report.
    pub cold: Duration,
    /// Time of its start as it reports it; tells two starts under one id apart.
    pub start_time: u64,
}

/// Size of a request as its caller declares it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub output_tokens: u32,
}

/// What a process is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the VM.
    pub vm: Name,
    /// Own address.
    pub ip: Ipv4Addr,
    /// Own availability zone.
    pub zone: Name,
    /// Address for callers.
    pub entry: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address of the directory of entries; `None` if this process serves none.
    pub directory: Option<SocketAddr>,
    /// Address of the metrics; `None` if they are not served.
    pub metrics: Option<SocketAddr>,
    /// UDP port for traffic between members; the same on all VMs.
    pub peer_port: u16,
    /// UDP port at which other members are reached; `peer_port` unless a relay stands before them.
    pub peer_reach: u16,
    /// Cores that the process may use.
    pub cores: f64,
    /// Bandwidth of the VM's link, in Mbit/s.
    pub link_mbps: f64,
    /// Members to ask first; any of them may be gone.
    pub seeds: Vec<Ipv4Addr>,
    /// Time from SIGTERM until the process is killed.
    pub shutdown_grace: Duration,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Repeats allowed for each request of the window.
    pub retry_ratio: f64,
    /// Repeats allowed besides.
    pub retry_slack: f64,
    /// Part by which a cold target's rate may be exceeded.
    pub cold_overage: f64,
    /// Requests by which it may be exceeded besides.
    pub cold_slack: f64,
    /// Part by which a workspace's rate and burst may be exceeded over a window.
    pub rate_overage: f64,
    /// Units by which they may be exceeded besides.
    pub rate_slack: f64,
    /// Longest time that callers may keep an answer of the directory.
    pub directory_ttl: Duration,
    /// Time within which a lapsed entry of a live target is back in the store.
    pub lapse_grace: Duration,
}
