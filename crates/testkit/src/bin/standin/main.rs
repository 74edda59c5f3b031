//! Runs a stand-in as a separate process, which prints its addresses and serves until it is
//! stopped.
//!
//! With `--control ADDRESS` it also serves a control API for its records and faults, see
//! `control`.

mod control;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use tokio::signal::unix::{SignalKind, signal};

use testkit::{Engine, EngineConfig, PlainService, Platform, VmList};

/// Run a stand-in for a target or the platform of a fleet.
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    stand_in: StandIn,
}

#[derive(Subcommand)]
enum StandIn {
    /// An engine with continuous batching.
    Engine(EngineArgs),
    /// A plain service.
    Service {
        /// Address to serve.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Address of the control API.
        #[arg(long)]
        control: Option<SocketAddr>,
    },
    /// The configuration service and the VM list.
    Platform(PlatformArgs),
    /// A minimal daemon that only answers calls, for tests of the process harness.
    #[command(hide = true)]
    Serve {
        /// Settings file.
        #[arg(long)]
        config: PathBuf,
    },
}

/// The settings that the stand-in daemon reads.
#[derive(serde::Deserialize)]
struct DaemonSettings {
    vm: String,
    entry: SocketAddr,
    admin: SocketAddr,
    peer: SocketAddr,
    #[serde(default)]
    fail: bool,
}

#[derive(Args)]
struct EngineArgs {
    /// Address to serve.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Relative speed.
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Factor on all computed times.
    #[arg(long, default_value_t = 1.0)]
    time_scale: f64,
    /// Requests in flight above which a cold engine crashes.
    #[arg(long, default_value_t = 4)]
    cold_limit: usize,
    /// Completed requests after which a cold engine is warm.
    #[arg(long, default_value_t = 8)]
    warm_after: u64,
    /// Start warm.
    #[arg(long)]
    warm: bool,
    /// Tokens in flight above which steps slow down.
    #[arg(long, default_value_t = 16_384)]
    batch_tokens: u64,
    /// Time of one step in microseconds.
    #[arg(long, default_value_t = 20_000)]
    step_us: u64,
    /// Prompt tokens computed per second.
    #[arg(long, default_value_t = 10_000.0)]
    prefill_rate: f64,
    /// Age of load reports in milliseconds.
    #[arg(long, default_value_t = 500)]
    load_lag_ms: u64,
    /// Accept orders with old fencing tokens.
    #[arg(long)]
    ignore_fencing: bool,
    /// Address of the control API.
    #[arg(long)]
    control: Option<SocketAddr>,
}

#[derive(Args)]
struct PlatformArgs {
    /// Address of the configuration service.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Address of the VM list.
    #[arg(long, default_value = "127.0.0.1:0")]
    vm_listen: SocketAddr,
    /// Sheet in CSV; read again when it changes.
    #[arg(long)]
    sheet: Option<PathBuf>,
    /// VM list in JSON, in the format of the service's responses; read again when it changes.
    #[arg(long)]
    vms: Option<PathBuf>,
    /// Time until changes of the VM list are visible, in milliseconds.
    #[arg(long, default_value_t = 0)]
    list_lag_ms: u64,
    /// Address of the control API.
    #[arg(long)]
    control: Option<SocketAddr>,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    match Cli::parse().stand_in {
        StandIn::Engine(args) => engine(args).await,
        StandIn::Service { listen, control } => {
            let service = Arc::new(PlainService::start(listen).await?);
            println!("service: {}", service.addr());
            if let Some(addr) = control {
                control::service(addr, Arc::clone(&service)).await?;
            }
            tokio::signal::ctrl_c().await
        }
        StandIn::Platform(args) => platform(args).await,
        StandIn::Serve { config } => serve_daemon(&config).await,
    }
}

async fn serve_daemon(config: &PathBuf) -> io::Result<()> {
    let settings: DaemonSettings = serde_json::from_slice(&std::fs::read(config)?)?;
    if settings.fail {
        return Err(io::Error::other("config: the setting `fail` is true"));
    }
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let _entry = PlainService::start(settings.entry).await?;
    let _peer = PlainService::start(settings.peer).await?;
    let _admin = PlainService::start(settings.admin).await?;
    eprintln!("config: {} runs as {}", settings.vm, std::process::id());
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = reload.recv() => eprintln!("config: reload"),
        }
    }
}

async fn engine(args: EngineArgs) -> io::Result<()> {
    let config = EngineConfig {
        speed: args.speed,
        time_scale: args.time_scale,
        cold_limit: args.cold_limit,
        warm_after: args.warm_after,
        start_cold: !args.warm,
        batch_tokens: args.batch_tokens,
        step_time: Duration::from_micros(args.step_us),
        prefill_rate: args.prefill_rate,
        load_lag: Duration::from_millis(args.load_lag_ms),
        check_fencing: !args.ignore_fencing,
        record_headers: false,
        ..EngineConfig::default()
    };
    let engine = Arc::new(Engine::start(args.listen, config).await?);
    println!("engine: {}", engine.addr());
    if let Some(addr) = args.control {
        control::engine(addr, Arc::clone(&engine)).await?;
    }
    tokio::signal::ctrl_c().await
}

async fn platform(args: PlatformArgs) -> io::Result<()> {
    let platform = Arc::new(Platform::start(args.listen, args.vm_listen).await?);
    platform
        .vms
        .set_lag(Duration::from_millis(args.list_lag_ms));
    println!("sheets: {}", platform.sheets.addr());
    println!("vms: {}", platform.vms.addr());
    if let Some(addr) = args.control {
        control::platform(addr, Arc::clone(&platform)).await?;
    }
    let (mut sheet, mut vms) = (Vec::new(), Vec::new());
    let mut tick = tokio::time::interval(Duration::from_millis(200));
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            end = tokio::signal::ctrl_c() => return end,
        }
        if let Some(path) = &args.sheet
            && reload_if_changed(path, &mut sheet)?
        {
            match sheet_revision(&sheet) {
                Some(sheet_revision) => platform.sheets.publish(sheet_revision, sheet.clone()),
                None => eprintln!("platform: {}: invalid sheet", path.display()),
            }
        }
        if let Some(path) = &args.vms
            && reload_if_changed(path, &mut vms)?
        {
            match serde_json::from_slice::<VmList>(&vms) {
                Ok(list) => platform.vms.update(|rows| *rows = list.vms),
                Err(e) => eprintln!("platform: {}: {e}", path.display()),
            }
        }
    }
}

/// Reads the file. Returns whether its content differs from `last`, and if so keeps it there.
fn reload_if_changed(path: &PathBuf, last: &mut Vec<u8>) -> io::Result<bool> {
    let content = std::fs::read(path)?;
    if content == *last {
        return Ok(false);
    }
    *last = content;
    Ok(true)
}

/// Revision of a sheet, `None` if the sheet is invalid.
fn sheet_revision(csv: &[u8]) -> Option<u64> {
    sheet::Sheet::parse(csv).ok().map(|sheet| sheet.revision)
}
