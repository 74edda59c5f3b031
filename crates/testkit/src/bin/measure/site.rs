//! An example site whose daemons run one policy.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::{Value, json};
use sheet::{PoolKind, Settings, Sheet, ZoneState};
use testkit::client::Call;
use testkit::fleet::{Fleet, fast_timing};
use testkit::{Engine, EngineConfig, PlainService};

use crate::mix::Mix;

/// Maximum time to wait for a daemon to become ready, and then for the tokens of all workspaces.
const START_TIMEOUT: Duration = Duration::from_mins(1);
/// Interval for polling the tokens of workspaces.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A running example site: its daemons, engines and plain services.
pub struct Site {
    pub fleet: Fleet,
    pub engines: BTreeMap<String, Engine>,
    sheet: Sheet,
    /// Held so that the services run as long as the site exists.
    _services: Vec<PlainService>,
}

fn example_dir(site: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(site)
}

/// Reads the sheet of an example site.
pub fn read_sheet(site: &str) -> io::Result<Sheet> {
    let csv = std::fs::read(example_dir(site).join("sheet.csv"))?;
    Sheet::parse(&csv).map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        io::Error::other(lines.join("\n"))
    })
}

/// Names and zones of the VMs of an example site.
fn read_vms(site: &str) -> io::Result<Vec<(String, String)>> {
    let mut vms = Vec::new();
    for entry in std::fs::read_dir(example_dir(site))? {
        let path = entry?.path();
        if path.extension().is_some_and(|end| end == "jsonc") {
            let text = std::fs::read_to_string(&path)?;
            let settings = Settings::parse(&text, &path.display().to_string());
            let settings = settings.map_err(|err| io::Error::other(err.to_string()))?;
            vms.push((settings.vm.to_string(), settings.zone.to_string()));
        }
    }
    vms.sort();
    Ok(vms)
}

impl Site {
    /// Starts engines, services and daemons and waits until each workspace has tokens.
    pub async fn start(
        site: &str,
        policy: &str,
        binaries: &Path,
        mix: &Mix,
        warm: bool,
    ) -> io::Result<Self> {
        let mut builder = Fleet::builder(binaries.join("primrosechute"))
            .setting("timing", fast_timing())
            .setting("policy", json!(policy))
            .setting("log", json!({ "level": "warn" }))
            .ready_timeout(START_TIMEOUT);
        for (vm, zone) in read_vms(site)? {
            builder = builder.vm(&vm, &zone);
        }
        let mut sheet = read_sheet(site)?;
        mix.set_rates(&mut sheet);
        let (mut engines, mut services) = (BTreeMap::new(), Vec::new());
        for (name, target) in &mut sheet.targets {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let pool = sheet.pools.get(&target.pool);
            if pool.is_some_and(|pool| pool.kind == PoolKind::Engine) {
                let engine = Engine::start(any, engine_config(target, mix, warm)).await?;
                target.address = engine.addr();
                engines.insert(name.to_string(), engine);
            } else {
                let service = PlainService::start(any).await?;
                target.address = service.addr();
                services.push(service);
            }
        }
        let mut fleet = builder.start().await?;
        let sheets = &fleet.platform().sheets;
        sheets.publish(sheet.revision, sheet.to_csv());
        fleet.launch_all().await?;
        let site = Site {
            fleet,
            engines,
            sheet,
            _services: services,
        };
        let wait_result = tokio::time::timeout(START_TIMEOUT, site.wait_initial_tokens()).await;
        wait_result.map_err(|_| io::Error::other("the workspaces have too few tokens"))??;
        Ok(site)
    }

    /// Waits until each workspace has a quarter of its burst, as the limit shares of a new fleet
    /// start empty.
    async fn wait_initial_tokens(&self) -> io::Result<()> {
        while !self.has_initial_tokens().await? {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn has_initial_tokens(&self) -> io::Result<bool> {
        let mut tokens: BTreeMap<String, u64> = BTreeMap::new();
        for vm in self.fleet.names() {
            let status: Value = serde_json::from_slice(&self.read_admin(&vm, "/status").await?)?;
            for share in status["shares"].as_array().into_iter().flatten() {
                let workspace = share["workspace"].as_str().unwrap_or_default();
                *tokens.entry(workspace.to_owned()).or_default() +=
                    share["tokens"].as_u64().unwrap_or(0);
            }
        }
        Ok(self.sheet.workspaces.iter().all(|(name, workspace)| {
            tokens.get(&**name).copied().unwrap_or(0) >= workspace.burst / 4
        }))
    }

    /// Fetches a path from a daemon's admin address.
    pub async fn read_admin(&self, vm: &str, path: &str) -> io::Result<Vec<u8>> {
        let response = self.fleet.admin_client(vm).call(Call::get(path)).await;
        let response = response.map_err(|err| io::Error::other(format!("{vm}{path}: {err}")))?;
        Ok(response.body.to_vec())
    }

    /// Name of the first VM.
    pub fn first_vm(&self) -> String {
        self.fleet.names().into_iter().next().unwrap_or_default()
    }

    /// Sets the state of the first zone and publishes the sheet.
    pub fn set_first_zone(&mut self, state: ZoneState) {
        if let Some(zone) = self.sheet.zones.values_mut().next() {
            zone.state = state;
        }
        self.sheet.revision += 1;
        let csv = self.sheet.to_csv();
        let sheets = &self.fleet.platform().sheets;
        sheets.publish(self.sheet.revision, csv);
    }

    /// Sets the slowdown factor of the fastest engine. If several are equally fast, it applies to
    /// the first by name.
    pub fn set_fastest_slowdown(&self, factor: f64) {
        let targets = self.sheet.targets.iter();
        let engines = targets.filter_map(|(name, t)| Some((t.speed, self.engines.get(&**name)?)));
        let fastest = engines.reduce(|a, b| if b.0 > a.0 { b } else { a });
        if let Some((_, engine)) = fastest {
            engine.set_slowdown(factor);
        }
    }

    /// Waits until all engines are idle, at most for `timeout`.
    pub async fn wait_idle(&self, timeout: Duration) {
        let idle = async {
            for engine in self.engines.values() {
                engine.wait_for(|stats| stats.running == 0).await;
            }
        };
        if tokio::time::timeout(timeout, idle).await.is_err() {
            eprintln!("measure: engines still run requests of the last load");
        }
    }
}

fn engine_config(target: &sheet::Target, mix: &Mix, warm: bool) -> EngineConfig {
    EngineConfig {
        speed: target.speed,
        time_scale: mix.time_scale,
        cold_limit: usize::try_from(target.cold_limit).unwrap_or(usize::MAX),
        check_fencing: target.fencing,
        start_cold: !warm,
        record_headers: false,
        ..EngineConfig::default()
    }
}
