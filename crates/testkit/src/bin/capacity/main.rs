//! Measures the CPU time, memory and network traffic that one daemon needs without requests, by
//! the size of the fleet.
//!
//! One real daemon process gets a VM list, targets and workspaces of the given sizes. The other
//! daemons are simulated peers in this process: they speak the peer protocol over real sockets and
//! do nothing else.

mod peers;
mod run;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;

use crate::run::{DaemonCost, Size, measure};

/// Measure what one daemon needs without requests, by the size of the fleet.
#[derive(Debug, Parser)]
#[command(after_help = "Example:\n  cargo build --release --workspace && \
    target/release/capacity --daemon target/release/primrosechute")]
struct Args {
    /// Daemon binary.
    #[arg(long, default_value = "target/release/primrosechute")]
    daemon: PathBuf,
    /// Numbers of peers. Of this and the next two lists, the first value is used while another
    /// list varies.
    #[arg(long, value_delimiter = ',', default_value = "100,300,1000")]
    peers: Vec<usize>,
    /// Numbers of targets.
    #[arg(long, value_delimiter = ',', default_value = "1000,4000")]
    targets: Vec<usize>,
    /// Numbers of workspaces.
    #[arg(long, value_delimiter = ',', default_value = "300,2700")]
    workspaces: Vec<usize>,
    /// Length of each measurement in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
}

/// The sizes to measure: one number varies at a time while the others have their first value.
fn sizes(args: &Args) -> Vec<Size> {
    let first = Size {
        peers: args.peers[0],
        targets: args.targets[0],
        workspaces: args.workspaces[0],
    };
    let mut sizes = vec![first];
    sizes.extend(args.peers[1..].iter().map(|&peers| Size { peers, ..first }));
    sizes.extend(
        args.targets[1..]
            .iter()
            .map(|&targets| Size { targets, ..first }),
    );
    sizes.extend(args.workspaces[1..].iter().map(|&workspaces| Size {
        workspaces,
        ..first
    }));
    sizes
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    println!(
        "| peers | targets | workspaces | links | owned | % of a core | resident MiB | sent B/s | received B/s | platform calls/s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for size in sizes(&args) {
        match measure(&args.daemon, size, Duration::from_secs(args.seconds)).await {
            Ok(cost) => println!("{}", row(size, &cost)),
            Err(err) => {
                eprintln!("capacity: {size:?}: {err}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

fn row(size: Size, cost: &DaemonCost) -> String {
    format!(
        "| {} | {} | {} | {} | {} | {:.2} | {} | {:.0} | {:.0} | {:.1} |",
        size.peers,
        size.targets,
        size.workspaces,
        cost.links,
        cost.owned_targets,
        cost.core_percent,
        cost.resident_bytes >> 20,
        cost.sent_per_second,
        cost.received_per_second,
        cost.platform_calls_per_second,
    )
}
