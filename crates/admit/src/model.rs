//! Configuration, targets and settings, independent of a deployment's formats.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// A shared immutable name.
pub type Name = Arc<str>;

/// Whether and how requests on a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Must run at most once.
    NonIdempotent,
    /// A stream of events. A resumable stream continues at another target after its last event.
    Stream {
        /// Whether it may be resumed.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may already have run may be sent again.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(
            self,
            RouteKind::Idempotent | RouteKind::Stream { resumable: true }
        )
    }

    /// Whether the response is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// Maps one host and path prefix to pools.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name in logs.
    pub name: Name,
    /// Host that it matches.
    pub host: Name,
    /// Path prefix that it matches; starts and ends with a slash.
    pub prefix: Name,
    /// Whether and how its requests may be retried.
    pub kind: RouteKind,
    /// Longest time until the caller has a response.
    pub timeout: Duration,
    /// Target latency: a response within this time has its full value.
    pub target_latency: Duration,
    /// Longest pause between events for which a stream is on time; `None` if none is stated.
    pub max_pause: Option<Duration>,
    /// Maximum number of targets to which one request is sent.
    pub max_attempts: u32,
    /// Priority tier; 0 is the highest.
    pub tier: u8,
    /// Whether it needs no API key.
    pub public: bool,
    /// Pools with their weights, among which requests are split.
    pub pools: Vec<(Name, u32)>,
}

/// A set of targets that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name.
    pub name: Name,
    /// Requests per second that a cold target can handle; `None` if unlimited.
    pub cold_per_s: Option<f64>,
}

/// Unit in which a rate counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Requests.
    Request,
    /// Tokens. A request that declares no token count is charged `default_tokens`.
    Token {
        /// Tokens charged to a request that declares no token count.
        default_tokens: u64,
    },
}

/// Fleet-wide rate and burst of a workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Unit that is counted.
    pub unit: Unit,
    /// Units per second.
    pub per_s: f64,
    /// Maximum units in a burst.
    pub burst: f64,
}

/// A tenant of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name.
    pub name: Name,
    /// API keys of its callers.
    pub keys: Vec<Name>,
    /// Priority tier, which goes before the tier of the route.
    pub tier: Option<u8>,
    /// Rate limit; `None` if there is none.
    pub rate: Option<Rate>,
}

/// Limits on callers' connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum size of a request head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Longest time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for HttpLimits {
    /// Used until a configuration is read.
    fn default() -> Self {
        HttpLimits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A complete configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Increases with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All pools.
    pub pools: Vec<Pool>,
    /// All workspaces. If there are none, no request needs an API key.
    pub workspaces: Vec<Workspace>,
    /// Limits on callers' connections and requests.
    pub limits: HttpLimits,
}

/// A backend that serves requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Id of the target; it names one start of the backend.
    pub id: Name,
    /// Pool that it belongs to.
    pub pool: Name,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Number of requests that it can run at once.
    pub slots: u32,
    /// Whether it is leaving and accepts no new requests.
    pub draining: bool,
    /// Time for which it is still cold, counted from its report.
    pub cold: Duration,
    /// Start time as the target reports it. It distinguishes two starts under one id.
    pub start_time: u64,
    /// Number of the report within one start. It tells which of two entries is older.
    pub sequence: u64,
}

/// Size of a request as declared by its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum tokens in the output.
    pub output_tokens: u32,
}

/// Settings of a process. On a reload, only the seeds take effect.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the VM.
    pub vm: Name,
    /// IP address of this member.
    pub ip: Ipv4Addr,
    /// Availability zone of this member.
    pub zone: Name,
    /// Address for callers.
    pub entry: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address of the directory of entries; `None` if this process does not serve it.
    pub directory: Option<SocketAddr>,
    /// Address of the metrics; `None` if they are not served.
    pub metrics: Option<SocketAddr>,
    /// UDP port on which this member receives datagrams of other members; the same on all VMs.
    pub peer_port: u16,
    /// UDP port to which datagrams for other members are sent. Differs from `peer_port` only if a
    /// proxy stands in front of them.
    pub peer_reach: u16,
    /// CPU cores that the process may use.
    pub cores: f64,
    /// Memory that the process may use, in bytes.
    pub memory: usize,
    /// Bandwidth of the VM's network link in Mbit/s.
    pub link_mbps: f64,
    /// Members to contact first; any of them may be down.
    pub seeds: Vec<Ipv4Addr>,
    /// Time between SIGTERM and the kill of the process.
    pub shutdown_grace: Duration,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Retries allowed per request in the window.
    pub retry_ratio: f64,
    /// Retries allowed in addition, independent of the number of requests.
    pub retry_slack: f64,
    /// Factor by which a cold target's rate is multiplied to get its limit.
    pub cold_overage: f64,
    /// Requests per second added to that limit.
    pub cold_slack: f64,
    /// Fraction by which a workspace's rate and burst may be exceeded over a window.
    pub rate_overage: f64,
    /// Units by which they may be exceeded in addition.
    pub rate_slack: f64,
    /// Longest time for which callers may cache a response of the directory.
    pub directory_ttl: Duration,
    /// Time within which the lapsed entry of a live target is published again.
    pub lapse_grace: Duration,
}

/// What a member knows of its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetView {
    /// It has just started. Others may decide for the same targets, and neither knows of the other.
    Joining,
    /// It has met nobody since its start, so that the fleet may have any size.
    Alone,
    /// It knows the members that it can reach.
    Settled,
}

/// Share of the fleet-wide limits that a member may use for one shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare {
    /// Share of each limit, at most 1.
    pub share: f64,
    /// Share of the limits of cold targets. It grows only after the number of live members has
    /// settled: until the window of the limit has passed, the owner on the other side of a
    /// partition may have used it.
    pub cold_share: f64,
    /// Share of a single member of the fleet.
    pub member_share: f64,
    /// Whether the member is the first owner of the shard.
    pub is_first_owner: bool,
    /// What the member knows of the fleet.
    pub view: FleetView,
}
