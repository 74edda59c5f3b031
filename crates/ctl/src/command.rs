//! The subcommands of `primrosectl` and the dispatch to them.

use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};

use crate::output::{Error, Exit, Output};
use crate::{entries, explain, load, report, send, sheets, status};

/// Checks, monitors and load-tests a primrosechute site.
#[derive(Debug, Parser)]
#[command(
    name = "primrosectl",
    version,
    about,
    after_help = "Examples:\n  \
        primrosectl sheet check sheet.csv\n  \
        primrosectl status 127.0.0.1:21101 127.0.0.1:21102\n\n\
        Exit codes: 0 ok, 1 failed, 2 input rejected, 3 partial result."
)]
struct Args {
    /// Print the result as JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check or compile a sheet.
    #[command(
        subcommand,
        after_help = "Examples:\n  primrosectl sheet check sheet.csv\n\n\
        Exit codes: 0 ok, 1 failed, 2 input rejected."
    )]
    Sheet(sheets::Command),
    /// Show which addresses callers may use.
    Entries(entries::EntriesArgs),
    /// Show the state of daemons side by side and warn about differences.
    Status(status::StatusArgs),
    /// Send one request and print its response and outcome.
    Send(Box<send::SendArgs>),
    /// Send an open-loop load to a site and measure how it is served.
    Load(load::LoadArgs),
    /// Compare the results of load runs.
    Report(report::ReportArgs),
    /// Explain what happened to one request, from the logs of members.
    Explain(explain::ExplainArgs),
    /// Print a shell completion script.
    #[command(after_help = "Examples:\n  primrosectl completions bash\n\n\
        Exit codes: 0 printed, 2 unknown shell.")]
    Completions {
        /// Shell to generate the script for.
        shell: clap_complete::Shell,
    },
}

/// Runs the command line and returns the exit code of the process.
pub(crate) fn main() -> ExitCode {
    let args = Args::parse();
    let out = Output::new(args.json);
    let result = match &args.command {
        Command::Sheet(command) => sheets::run(command, out),
        Command::Entries(args) => block_on(entries::run(args, out)),
        Command::Status(args) => block_on(status::run(args, out)),
        Command::Send(args) => block_on(send::run(args, out)),
        Command::Load(args) => block_on(load::run(args, out)),
        Command::Report(args) => report::run(args, out),
        Command::Explain(args) => explain::run(args, out),
        Command::Completions { shell } => {
            let mut command = Args::command();
            let mut stdout = std::io::stdout();
            clap_complete::generate(*shell, &mut command, "primrosectl", &mut stdout);
            Ok(Exit::Ok)
        }
    };
    match result {
        Ok(exit) => exit.into(),
        Err(err) => {
            out.error(&err);
            err.exit.into()
        }
    }
}

fn block_on(command: impl Future<Output = Result<Exit, Error>>) -> Result<Exit, Error> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|err| Error::failed(format!("cannot start the runtime: {err}")))?
        .block_on(command)
}
