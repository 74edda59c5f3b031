//! Runs a member of a fleet, with settings from the platform or a local file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use gateway::adapter::SettingsSource;
use platform::{PlatformDialect, PlatformStore, SettingsFile};
use sheet::MemberSettings;

/// Why a member ended with an error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum MemberError {
    /// The settings are rejected.
    Settings(String),
    /// It could not start.
    Start(String),
}

/// Where a member's settings come from.
#[derive(Clone, Debug)]
pub(crate) enum MemberSource {
    /// The platform's file.
    Platform(SettingsFile),
    /// A local file, JSON with comments.
    File(PathBuf),
}

impl MemberSource {
    fn load(&self) -> Result<(gateway::Settings, SocketAddr), String> {
        match self {
            MemberSource::Platform(file) => file.load(),
            MemberSource::File(path) => {
                let settings = read(path)?;
                let store = settings.store;
                Ok((to_gateway_settings(settings), store))
            }
        }
    }
}

impl SettingsSource for MemberSource {
    fn read(&self) -> Result<gateway::Settings, String> {
        self.load().map(|(settings, _)| settings)
    }
}

/// Reads and checks a local settings file.
pub(crate) fn read(path: &Path) -> Result<MemberSettings, String> {
    let file = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|err| format!("{file}: cannot be read: {err}"))?;
    MemberSettings::parse(&text, &file).map_err(|err| err.to_string())
}

fn to_gateway_settings(settings: MemberSettings) -> gateway::Settings {
    let at = |port| SocketAddr::from((settings.ip, port));
    gateway::Settings {
        entry: at(settings.ports.entry),
        ready: at(settings.ports.ready),
        directory: settings.ports.directory.map(at),
        metrics: settings.ports.metrics.map(at),
        peer_port: settings.ports.peer,
        peer_reach: settings.ports.peer_reach.unwrap_or(settings.ports.peer),
        vm: settings.vm,
        ip: settings.ip,
        zone: settings.zone,
        cores: settings.cores,
        memory: settings.memory,
        link_mbps: settings.link_mbps,
        seeds: settings.seeds,
        shutdown_grace: settings.grace,
        retry_window: settings.repeats.window,
        retry_ratio: settings.repeats.ratio,
        retry_slack: settings.repeats.slack,
        cold_overage: settings.cold.part,
        cold_slack: settings.cold.slack,
        rate_overage: settings.rates.part,
        rate_slack: settings.rates.slack,
        directory_ttl: settings.directory_ttl,
        lapse_grace: settings.lapse,
    }
}

/// Serves until SIGTERM, on one thread, since a VM of a fleet has less than one core.
pub(crate) fn run(source: MemberSource) -> Result<(), MemberError> {
    let (_, store) = source.load().map_err(MemberError::Settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|err| MemberError::Start(format!("cannot start the runtime: {err}")))?;
    let run = gateway::run(source, Box::new(PlatformDialect), PlatformStore::new(store));
    match tokio::task::LocalSet::new().block_on(&runtime, run) {
        gateway::Outcome::Stopped => Ok(()),
        gateway::Outcome::Failed(text) => Err(MemberError::Start(text)),
    }
}
