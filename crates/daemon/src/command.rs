//! Command line of `primrosechute`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};
use platform::SettingsFile;
use sheet::{LogFormat, LogLevel, Settings, SettingsError, Sheet, SheetSource};
use tokio::signal::unix::{SignalKind, signal};

use crate::fleet_member::{self, MemberError, MemberSource};
use crate::logging::{self, Format};
use crate::{Daemon, demo, feed};

/// Exit code for settings or a sheet that are rejected.
const EXIT_CONFIG: u8 = 2;
/// Exit code for a start or run that failed for another reason.
const EXIT_RUN: u8 = 1;

/// A request scheduler for heterogeneous engines.
#[derive(Debug, Parser)]
#[command(name = "primrosechute", version, about)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run the daemon of a VM.
    #[command(
        after_help = "Examples:\n  primrosechute serve --config site.jsonc\n\n\
        SIGTERM drains and stops; SIGHUP reads the sheet file again.\n\
        Exit codes: 0 stopped, 1 failed, 2 settings or sheet rejected."
    )]
    Serve {
        /// Settings file, JSON with comments.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Run a small site in one process and print a request to try.
    #[command(
        after_help = "Examples:\n  primrosechute demo\n  primrosechute demo --entry 127.0.0.1:8080"
    )]
    Demo {
        /// Address for callers.
        #[arg(long, default_value = "127.0.0.1:8080")]
        entry: std::net::SocketAddr,
    },
    /// Run a member of a fleet that reads its configuration and targets from a store.
    ///
    /// Without --config the settings file is the one that the deployment platform names in the
    /// environment.
    #[command(
        after_help = "Examples:\n  primrosechute member\n  primrosechute member --config \
        member.jsonc\n\nSIGTERM drains and stops; SIGHUP reads the seeds again.\n\
        Exit codes: 0 stopped, 1 failed, 2 settings rejected."
    )]
    Member {
        /// Settings file instead of the platform's, JSON with comments.
        #[arg(long, value_name = "FILE", conflicts_with = "metrics_port")]
        config: Option<PathBuf>,
        /// Least severe level of log lines.
        #[arg(long, value_enum, default_value_t = MemberLogLevel::Info)]
        log: MemberLogLevel,
        /// Port of the metrics, on the address of the VM, if the platform names the settings file.
        #[arg(long, default_value_t = 9464)]
        metrics_port: u16,
    },
    /// Check a settings file, and its sheet file if it names one, without starting anything.
    #[command(
        after_help = "Examples:\n  primrosechute check --config site.jsonc\n  \
        primrosechute check --member --config member.jsonc\n\n\
        Exit codes: 0 accepted, 2 rejected."
    )]
    Check {
        /// Settings file, JSON with comments.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The file holds the settings of a member.
        #[arg(long)]
        member: bool,
        /// Print the result as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Print a shell completion script.
    #[command(after_help = "Examples:\n  primrosechute completions bash")]
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

/// Log levels of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
enum MemberLogLevel {
    Off,
    Warn,
    Info,
    Debug,
}

/// Runs the command line and returns the exit code of the process.
#[must_use]
pub fn main() -> ExitCode {
    match Args::parse().command {
        Command::Serve { config } => match read_config(&config) {
            Ok((settings, _)) => block_on(serve(settings)),
            Err(text) => fail(EXIT_CONFIG, &text),
        },
        Command::Demo { entry } => block_on(run_demo(entry)),
        Command::Member {
            config,
            log,
            metrics_port,
        } => run_member(config, log, metrics_port),
        Command::Check {
            config,
            member: true,
            json,
        } => report(&config, fleet_member::read(&config).map(|_| None), json),
        Command::Check { config, json, .. } => {
            report(&config, read_config(&config).map(|(_, sheet)| sheet), json)
        }
        Command::Completions { shell } => {
            let mut command = Args::command();
            clap_complete::generate(shell, &mut command, "primrosechute", &mut std::io::stdout());
            ExitCode::SUCCESS
        }
    }
}

fn fail(code: u8, text: &str) -> ExitCode {
    eprintln!("error: {text}");
    ExitCode::from(code)
}

fn block_on(run: impl Future<Output = ExitCode>) -> ExitCode {
    match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime.block_on(run),
        Err(err) => fail(EXIT_RUN, &format!("cannot start the runtime: {err}")),
    }
}

/// Reads and checks settings, and the sheet file if they name one.
fn read_config(path: &Path) -> Result<(Settings, Option<Sheet>), String> {
    let file = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|err| format!("{file}: cannot be read: {err}"))?;
    let settings = Settings::parse(&text, &file).map_err(|err| err.to_string())?;
    let sheet = match &settings.sheet {
        SheetSource::File(sheet) => feed::read_file(sheet)?,
        SheetSource::Service(_) => return Ok((settings, None)),
    };
    let names = settings.check_names(&sheet);
    names.map_err(|err| SettingsError::at(&text, &file, err).to_string())?;
    Ok((settings, Some(sheet)))
}

fn run_member(config: Option<PathBuf>, log: MemberLogLevel, metrics_port: u16) -> ExitCode {
    use logforth::record::Level;
    let level = match log {
        MemberLogLevel::Off => None,
        MemberLogLevel::Warn => Some(Level::Warn),
        MemberLogLevel::Info => Some(Level::Info),
        MemberLogLevel::Debug => Some(Level::Debug),
    };
    if let Some(Err(err)) = level.map(logging::start_bounded) {
        return fail(EXIT_RUN, &format!("cannot start the log: {err}"));
    }
    let source = match config {
        Some(path) => MemberSource::File(path),
        None => match SettingsFile::from_env(metrics_port) {
            Ok(file) => MemberSource::Platform(file),
            Err(text) => return fail(EXIT_CONFIG, &text),
        },
    };
    match fleet_member::run(source) {
        Ok(()) => ExitCode::SUCCESS,
        Err(MemberError::Settings(text)) => fail(EXIT_CONFIG, &text),
        Err(MemberError::Start(text)) => fail(EXIT_RUN, &text),
    }
}

/// Prints the result of a check, with the sheet if one was read.
fn report(path: &Path, checked: Result<Option<Sheet>, String>, json: bool) -> ExitCode {
    match (checked, json) {
        (Ok(_), true) => {
            println!("{{\"ok\":true}}");
            ExitCode::SUCCESS
        }
        (Ok(sheet), false) => {
            println!("{}: settings accepted", path.display());
            if let Some(sheet) = sheet {
                println!("sheet revision {} accepted", sheet.revision);
            }
            ExitCode::SUCCESS
        }
        (Err(text), true) => {
            println!(
                "{}",
                serde_json::json!({ "ok": false, "errors": text.lines().collect::<Vec<_>>() })
            );
            ExitCode::from(EXIT_CONFIG)
        }
        (Err(text), false) => fail(EXIT_CONFIG, &text),
    }
}

fn start_logging(settings: &Settings) {
    use logforth::record::Level;
    let format = match settings.log.format {
        LogFormat::Text => Format::Text,
        LogFormat::Json => Format::Json,
    };
    let level = match settings.log.level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
        LogLevel::Trace => Level::Trace,
    };
    logging::start(format, level);
}

async fn serve(settings: Settings) -> ExitCode {
    start_logging(&settings);
    match Daemon::start(settings).await {
        Ok(daemon) => run_until_stopped(daemon).await,
        Err(err @ crate::StartError::Sheet(_)) => fail(EXIT_CONFIG, &err.to_string()),
        Err(err) => fail(EXIT_RUN, &err.to_string()),
    }
}

async fn run_demo(entry: std::net::SocketAddr) -> ExitCode {
    match demo::start(entry).await {
        Ok(daemon) => {
            println!("{}", demo::curl_line(daemon.entry()));
            run_until_stopped(daemon).await
        }
        Err(err) => fail(EXIT_RUN, &err.to_string()),
    }
}

async fn run_until_stopped(daemon: Daemon) -> ExitCode {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    );
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = signals else {
        return fail(EXIT_RUN, "cannot listen for signals");
    };
    loop {
        tokio::select! {
            () = daemon.leaving() => {
                log::info!("config: the VM list marks this VM as leaving");
                break;
            }
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => match daemon.reload() {
                Ok(true) => log::info!("config: the sheet file was read again"),
                Ok(false) => log::info!("config: the sheet file has no newer revision"),
                Err(_) => log::error!("config: the last accepted sheet stays in force"),
            },
        }
    }
    daemon.drain().await;
    ExitCode::SUCCESS
}
