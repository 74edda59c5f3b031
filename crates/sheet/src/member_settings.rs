//! Settings of a member, which reads its configuration and targets from a store.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde::Deserialize;

use crate::settings_check::{MIN_MEMORY, format_duration, require_nonzero};
use crate::units::{duration, name, size};
use crate::{CheckError, Name};

/// Smallest `grace`. After SIGTERM a member still serves callers with an old directory response for
/// 2.2 s, and then ends its requests.
const MIN_GRACE: Duration = Duration::from_secs(3);

/// Settings of one member.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSettings {
    /// Name of this VM in logs.
    #[serde(deserialize_with = "name")]
    pub vm: Name,
    /// Address of this VM, on which all ports listen.
    pub ip: Ipv4Addr,
    /// Availability zone of this VM.
    #[serde(deserialize_with = "name")]
    pub zone: Name,
    /// Ports that the member listens on.
    #[serde(default)]
    pub ports: MemberPorts,
    /// Addresses of members to contact first; some of them may no longer exist.
    #[serde(default)]
    pub seeds: Vec<Ipv4Addr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Number of CPU cores that the process may use.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// Memory that the process may use, in bytes.
    #[serde(default = "default_memory", deserialize_with = "size")]
    pub memory: usize,
    /// Bandwidth of the VM's link, in Mbit/s.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// Time from SIGTERM until the process is killed.
    #[serde(default = "default_grace", deserialize_with = "duration")]
    pub grace: Duration,
    /// Longest time for which callers may cache a response of the directory.
    #[serde(default = "default_directory_ttl", deserialize_with = "duration")]
    pub directory_ttl: Duration,
    /// Time for which an expired entry of the store is kept after the store is reachable again.
    #[serde(default = "default_lapse", deserialize_with = "duration")]
    pub lapse: Duration,
    /// Fleet-wide limit on retries.
    #[serde(default)]
    pub repeats: RetryBudget,
    /// By how much the fleet may exceed the rate of a workspace.
    #[serde(default = "default_rate_excess")]
    pub rates: AllowedExcess,
    /// By how much the fleet may exceed the rate of a cold target.
    #[serde(default = "default_cold_excess")]
    pub cold: AllowedExcess,
}

/// Ports of a member. `peer` has to be the same on all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MemberPorts {
    /// TCP port for callers.
    pub entry: u16,
    /// TCP port of the readiness check.
    pub ready: u16,
    /// TCP port of the directory of entries; without it no directory is served.
    pub directory: Option<u16>,
    /// TCP port of the metrics; without it no metrics are served.
    pub metrics: Option<u16>,
    /// UDP port for traffic between members.
    pub peer: u16,
    /// UDP port to which messages for other members are sent, if it differs from their `peer`
    /// because of a relay in front of them.
    pub peer_reach: Option<u16>,
}

impl Default for MemberPorts {
    fn default() -> Self {
        MemberPorts {
            entry: 7100,
            ready: 7101,
            directory: Some(7102),
            metrics: Some(7103),
            peer: 7104,
            peer_reach: None,
        }
    }
}

/// Fleet-wide limit on retries: `ratio` times the requests of the window, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetryBudget {
    /// Time window in which requests and retries are counted.
    #[serde(deserialize_with = "duration")]
    pub window: Duration,
    /// Retries allowed for each request in the window.
    pub ratio: f64,
    /// Retries allowed in addition.
    pub slack: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            window: Duration::from_secs(10),
            ratio: 0.2,
            slack: 50.0,
        }
    }
}

/// By how much a limit may be exceeded while members have different views of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AllowedExcess {
    /// Excess as a fraction of the limit.
    pub part: f64,
    /// Excess in units of the limit, in addition.
    pub slack: f64,
}

impl MemberSettings {
    /// Checks the values. [`MemberSettings::parse`] calls this.
    ///
    /// # Errors
    ///
    /// The first invalid value.
    pub fn check(&self) -> Result<(), CheckError> {
        for (field, value) in [("cores", self.cores), ("link_mbps", self.link_mbps)] {
            require_non_negative(field, value)?;
            if value == 0.0 {
                return Err(CheckError::Zero(field));
            }
        }
        if self.memory < MIN_MEMORY {
            return Err(CheckError::BelowMinimum {
                field: "memory",
                values: [self.memory, MIN_MEMORY].map(|size| format!("{size} B").into()),
            });
        }
        let numbers = [
            ("repeats.ratio", self.repeats.ratio),
            ("repeats.slack", self.repeats.slack),
            ("rates.part", self.rates.part),
            ("rates.slack", self.rates.slack),
            ("cold.part", self.cold.part),
            ("cold.slack", self.cold.slack),
        ];
        for (field, value) in numbers {
            require_non_negative(field, value)?;
        }
        require_nonzero(&[
            ("directory_ttl", self.directory_ttl),
            ("lapse", self.lapse),
            ("repeats.window", self.repeats.window),
        ])?;
        if self.grace < MIN_GRACE {
            return Err(CheckError::BelowMinimum {
                field: "grace",
                values: [self.grace, MIN_GRACE].map(format_duration),
            });
        }
        self.check_ports()
    }

    fn check_ports(&self) -> Result<(), CheckError> {
        if self.ip.is_unspecified() {
            return Err(CheckError::Unreachable {
                field: "ip",
                address: self.ip.to_string().into(),
            });
        }
        if self.ports.peer_reach == Some(0) {
            return Err(CheckError::Zero("ports.peer_reach"));
        }
        // Followers of the store connect to the peer port over TCP, besides the datagrams over UDP.
        let tcp = [
            ("ports.peer", Some(self.ports.peer)),
            ("ports.entry", Some(self.ports.entry)),
            ("ports.ready", Some(self.ports.ready)),
            ("ports.directory", self.ports.directory),
            ("ports.metrics", self.ports.metrics),
        ];
        let ports: Vec<_> = tcp
            .into_iter()
            .filter_map(|(field, port)| Some((field, port?)))
            .collect();
        for (i, &(field, port)) in ports.iter().enumerate() {
            if port == 0 {
                return Err(CheckError::Zero(field));
            }
            if let Some((other, _)) = ports[..i].iter().find(|(_, other)| *other == port) {
                return Err(CheckError::DuplicatePort {
                    fields: [field, other],
                    port,
                });
            }
        }
        Ok(())
    }
}

fn require_non_negative(field: &'static str, value: f64) -> Result<(), CheckError> {
    if value.is_finite() && value >= 0.0 {
        return Ok(());
    }
    Err(CheckError::NotANumber {
        field,
        value: value.to_string().into(),
    })
}

fn default_cores() -> f64 {
    1.0
}

fn default_memory() -> usize {
    256 << 20
}

fn default_link_mbps() -> f64 {
    1000.0
}

fn default_grace() -> Duration {
    Duration::from_secs(10)
}

fn default_directory_ttl() -> Duration {
    Duration::from_secs(5)
}

fn default_lapse() -> Duration {
    Duration::from_secs(2)
}

fn default_rate_excess() -> AllowedExcess {
    AllowedExcess {
        part: 0.25,
        slack: 0.0,
    }
}

fn default_cold_excess() -> AllowedExcess {
    AllowedExcess {
        part: 0.5,
        slack: 5.0,
    }
}
