use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Map, Value};

use super::Fleet;
use super::vm::any_port;
use crate::platform::Platform;

/// Default maximum time to wait for a daemon to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Configuration of a [`Fleet`].
pub struct FleetBuilder {
    pub(crate) binary: PathBuf,
    pub(crate) vms: Vec<(String, String)>,
    pub(crate) peer_proxies: bool,
    pub(crate) platform_proxies: bool,
    pub(crate) settings: Map<String, Value>,
    pub(crate) ready_timeout: Duration,
}

impl FleetBuilder {
    pub(crate) fn new(binary: PathBuf) -> Self {
        Self {
            binary,
            vms: Vec::new(),
            peer_proxies: false,
            platform_proxies: false,
            settings: Map::new(),
            ready_timeout: READY_TIMEOUT,
        }
    }

    /// Adds a VM.
    #[must_use]
    pub fn vm(mut self, name: &str, zone: &str) -> Self {
        self.vms.push((name.to_owned(), zone.to_owned()));
        self
    }

    /// Adds `n` VMs named `vm-1`, `vm-2` and so on, assigned to the zones in rotation.
    #[must_use]
    pub fn vms(mut self, n: usize, zones: &[&str]) -> Self {
        for (i, zone) in (0..n).zip(zones.iter().cycle()) {
            self = self.vm(&format!("vm-{}", i + 1), zone);
        }
        self
    }

    /// Inserts a proxy between each daemon and the peer port of each other daemon.
    #[must_use]
    pub fn peer_proxies(mut self) -> Self {
        self.peer_proxies = true;
        self
    }

    /// Inserts proxies between each daemon and the configuration service and the VM list.
    #[must_use]
    pub fn platform_proxies(mut self) -> Self {
        self.platform_proxies = true;
        self
    }

    /// Sets a field in the settings of all daemons, for example `timing`. Objects are merged.
    #[must_use]
    pub fn setting(mut self, field: &str, value: Value) -> Self {
        merge_json(self.settings.entry(field).or_insert(Value::Null), value);
        self
    }

    /// Sets the maximum time to wait for a daemon to become ready.
    #[must_use]
    pub fn ready_timeout(mut self, timeout: Duration) -> Self {
        self.ready_timeout = timeout;
        self
    }

    /// Starts the platform and reserves all addresses. No daemon is started: call
    /// [`Fleet::launch_all`] once a sheet is published.
    ///
    /// # Errors
    /// Returns an error if no port is free or the temporary directory can't be created.
    pub async fn start(mut self) -> io::Result<Fleet> {
        let vms = std::mem::take(&mut self.vms);
        let mut fleet = Fleet {
            platform: Platform::start(any_port(), any_port()).await?,
            dir: tempfile::Builder::new().prefix("fleet-").tempdir()?,
            cfg: self,
            vms: BTreeMap::new(),
            peer_proxies: BTreeMap::new(),
            target_proxies: BTreeMap::new(),
        };
        for (name, zone) in vms {
            fleet.add_vm(&name, &zone).await?;
        }
        Ok(fleet)
    }
}

/// Timing settings with which a new fleet obtains its limit shares after about 8 s.
#[must_use]
pub fn fast_timing() -> Value {
    serde_json::json!({
        "heartbeat": "100ms",
        "silent": "600ms",
        "lease": "1s",
        "list_lag": "200ms",
        "list_poll": "200ms",
        "propagation": "1s",
        "load_poll": "200ms",
        "redial_max": "500ms",
    })
}

/// Merges `from` into `into`. Objects are merged field by field, other values are replaced.
pub(crate) fn merge_json(into: &mut Value, from: Value) {
    match (into, from) {
        (Value::Object(into), Value::Object(from)) => {
            for (field, value) in from {
                merge_json(into.entry(field).or_insert(Value::Null), value);
            }
        }
        (into, from) => *into = from,
    }
}
