//! Runs a member of a fleet, with the settings of the platform or with settings of our own.

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
    /// A file of our own, JSON with comments.
    Own(PathBuf),
}

impl MemberSource {
    fn load(&self) -> Result<(gateway::Settings, SocketAddr), String> {
        match self {
            MemberSource::Platform(file) => file.load(),
            MemberSource::Own(path) => {
                let settings = read(path)?;
                let store = settings.store;
                Ok((convert(settings), store))
            }
        }
    }
}

impl SettingsSource for MemberSource {
    fn read(&self) -> Result<gateway::Settings, String> {
        self.load().map(|(settings, _)| settings)
    }
}

/// Reads and checks a settings file of our own.
pub(crate) fn read(path: &Path) -> Result<MemberSettings, String> {
    let file = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|err| format!("{file}: cannot be read: {err}"))?;
    MemberSettings::parse(&text, &file).map_err(|err| err.to_string())
}

fn convert(own: MemberSettings) -> gateway::Settings {
    let at = |port| SocketAddr::from((own.ip, port));
    gateway::Settings {
        entry: at(own.ports.entry),
        ready: at(own.ports.ready),
        directory: own.ports.directory.map(at),
        metrics: own.ports.metrics.map(at),
        peer_port: own.ports.peer,
        peer_reach: own.ports.peer_reach.unwrap_or(own.ports.peer),
        vm: own.vm,
        ip: own.ip,
        zone: own.zone,
        cores: own.cores,
        link_mbps: own.link_mbps,
        seeds: own.seeds,
        shutdown_grace: own.grace,
        retry_window: own.repeats.window,
        retry_ratio: own.repeats.ratio,
        retry_slack: own.repeats.slack,
        cold_overage: own.cold.part,
        cold_slack: own.cold.slack,
        rate_overage: own.rates.part,
        rate_slack: own.rates.slack,
        directory_ttl: own.directory_ttl,
        lapse_grace: own.lapse,
    }
}

/// Serves until SIGTERM, on one thread: a VM of a fleet has a part of one core.
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
