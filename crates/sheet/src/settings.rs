//! Settings of one daemon.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

use crate::Name;
use crate::units::{duration, name, size};

/// Margin of the hold-down for late timers and for clocks that run at different rates.
const HOLD_DOWN_SLACK: Duration = Duration::from_secs(1);

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this VM in the VM list.
    #[serde(deserialize_with = "name")]
    pub vm: Name,
    /// Availability zone of this VM.
    #[serde(deserialize_with = "name")]
    pub zone: Name,
    /// Address that callers connect to.
    pub entry: SocketAddr,
    /// Address for metrics, health and status.
    pub admin: SocketAddr,
    /// Address that peers connect to; a daemon without it runs standalone.
    #[serde(default)]
    pub peer: Option<SocketAddr>,
    /// Where the sheet comes from.
    pub sheet: SheetSource,
    /// Address of the platform's VM list.
    #[serde(default)]
    pub vm_list: Option<SocketAddr>,
    /// Limits on connections, waiting requests and stored outcomes.
    #[serde(default)]
    pub limits: Limits,
    /// Intervals and timeouts.
    #[serde(default)]
    pub timing: Timing,
    /// Log output.
    #[serde(default)]
    pub log: Log,
    /// How targets are chosen for requests.
    #[serde(default)]
    pub policy: Policy,
}

/// How targets are chosen for requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Policy {
    /// The owners of targets grant permits.
    #[default]
    Scheduler,
    /// For comparison in measurements only: a random target, no tiers, the rate divided by the
    /// number of VMs in the list, and a retry on errors. It has none of the guarantees of the
    /// scheduler.
    Baseline,
}

/// Where the sheet comes from.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SheetSource {
    /// A local file, read at start and on SIGHUP.
    File(PathBuf),
    /// The configuration service.
    Service(SocketAddr),
}

/// Limits on connections, waiting requests and stored outcomes.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Memory that the process may use, in bytes.
    #[serde(deserialize_with = "size")]
    pub memory: usize,
    /// Largest number of open caller connections.
    pub max_connections: usize,
    /// Largest size of a request head in bytes.
    #[serde(deserialize_with = "size")]
    pub max_header: usize,
    /// Largest number of requests that wait for a permit.
    pub max_waiting: usize,
    /// Largest number of outcomes kept to respond to resent requests.
    pub max_outcomes: usize,
    /// Time for which an outcome is kept.
    #[serde(deserialize_with = "duration")]
    pub max_outcome_age: Duration,
    /// Time after which a caller connection without a request is closed.
    #[serde(deserialize_with = "duration")]
    pub idle_timeout: Duration,
    /// Time in which a request head must arrive.
    #[serde(deserialize_with = "duration")]
    pub header_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory: 256 << 20,
            max_connections: 10_000,
            max_header: 16 << 10,
            max_waiting: 10_000,
            // Ten minutes of outcomes at 100 requests/s.
            max_outcomes: 60_000,
            max_outcome_age: Duration::from_mins(10),
            idle_timeout: Duration::from_mins(1),
            header_timeout: Duration::from_secs(10),
        }
    }
}

/// Intervals and timeouts.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Interval of heartbeats on a peer link.
    #[serde(deserialize_with = "duration")]
    pub heartbeat: Duration,
    /// Time without a message after which a peer link is closed.
    #[serde(deserialize_with = "duration")]
    pub silent: Duration,
    /// Time for which a VM list that contains this VM renews the lease.
    #[serde(deserialize_with = "duration")]
    pub lease: Duration,
    /// Largest lag of the platform's VM list.
    #[serde(deserialize_with = "duration")]
    pub list_lag: Duration,
    /// Interval between reads of the VM list.
    #[serde(deserialize_with = "duration")]
    pub list_poll: Duration,
    /// Longest time that a watch request to the configuration service waits for a change.
    #[serde(deserialize_with = "duration")]
    pub watch_wait: Duration,
    /// Time within which a permit must be used.
    #[serde(deserialize_with = "duration")]
    pub permit_life: Duration,
    /// Interval between reads of a target's load.
    #[serde(deserialize_with = "duration")]
    pub load_poll: Duration,
    /// Time after which all daemons are assumed to have a new sheet.
    #[serde(deserialize_with = "duration")]
    pub propagation: Duration,
    /// Time that streams have to finish when the daemon shuts down.
    #[serde(deserialize_with = "duration")]
    pub drain: Duration,
    /// First delay before a peer link is dialled again.
    #[serde(deserialize_with = "duration")]
    pub redial_min: Duration,
    /// Largest delay before a peer link is dialled again.
    #[serde(deserialize_with = "duration")]
    pub redial_max: Duration,
    /// Interval of keepalive comments on a caller's stream.
    #[serde(deserialize_with = "duration")]
    pub keepalive: Duration,
    /// Time without data after which a target's stream is dialled again and resumed.
    #[serde(deserialize_with = "duration")]
    pub stream_silent: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        let (ms, secs) = (Duration::from_millis, Duration::from_secs);
        Self {
            heartbeat: ms(500),
            silent: secs(2),
            lease: secs(6),
            list_lag: secs(10),
            list_poll: secs(1),
            watch_wait: secs(30),
            permit_life: secs(1),
            load_poll: ms(500),
            propagation: secs(5),
            drain: secs(60),
            redial_min: ms(50),
            redial_max: secs(2),
            keepalive: secs(1),
            stream_silent: secs(5),
        }
    }
}

impl Timing {
    /// Time to wait before taking over the targets and shares of a VM that left the VM list.
    ///
    /// The VM may still read a list that contains it for up to `list_lag`, plus the time that a
    /// message may spend in buffers (`silent`), and then keeps its lease for `lease`. The sum
    /// counts twice, since an intermediate owner may still wait because of a list between two
    /// changes.
    #[must_use]
    pub fn hold_down(&self) -> Duration {
        2 * (self.list_lag + self.silent + self.lease) + HOLD_DOWN_SLACK
    }
}

/// Log output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Format of log lines.
    pub format: LogFormat,
    /// Least severe level that is logged.
    pub level: LogLevel,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Level of log lines, the most severe first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// A failure that needs an operator.
    Error,
    /// A condition that may need an operator.
    Warn,
    /// A change of state.
    #[default]
    Info,
    /// Details of decisions.
    Debug,
    /// Details of messages.
    Trace,
}

impl Settings {
    /// The hold-down of [`Timing::hold_down`].
    #[must_use]
    pub fn hold_down(&self) -> Duration {
        self.timing.hold_down()
    }
}
