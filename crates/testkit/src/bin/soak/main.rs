//! Injects random faults into a real fleet and checks its responses and runs against an oracle.
//!
//! Daemons are real processes behind fault-injecting proxies; targets and platform are stand-ins in
//! this process. The seed determines the order of faults and calls, but not the timing, which
//! depends on the machine. The seed is printed at the start. If something is found, the findings
//! and the last fault operations before them are printed, and the exit code is 1.

mod calls;
mod faults;
mod oracle;
mod site;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use crate::calls::CallGenerator;
use crate::faults::FaultInjector;
use crate::oracle::Oracle;
use crate::site::Site;

/// Inject random faults into a real fleet and check its guarantees.
#[derive(Debug, Parser)]
#[command(after_help = "Example:\n  cargo build --workspace && \
    cargo run -p testkit --bin soak -- --minutes 10")]
struct Args {
    /// Seed of faults and calls; random if absent. It is printed.
    #[arg(long)]
    seed: Option<u64>,
    /// Duration of the run in minutes.
    #[arg(long, default_value_t = 10)]
    minutes: u64,
    /// Daemon binary.
    #[arg(long, default_value = "target/debug/primrosechute")]
    daemon: PathBuf,
}

/// Maximum number of fault operations before a finding that are printed.
const MAX_TRACE_LINES: usize = 40;

/// Time between two faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(700);

#[tokio::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    let seed = args.seed.unwrap_or_else(rand::random);
    println!("soak: seed {seed}, {} minutes", args.minutes);
    let mut site = match Site::start(&args.daemon).await {
        Ok(site) => site,
        Err(err) => {
            eprintln!("soak: can't start the site: {err}");
            return ExitCode::from(2);
        }
    };
    let findings = run(&mut site, seed, Duration::from_secs(args.minutes * 60)).await;
    if findings.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Sends calls and injects faults until the duration has passed or something is found.
async fn run(site: &mut Site, seed: u64, duration: Duration) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut calls = CallGenerator::new(SmallRng::seed_from_u64(rng.random()));
    let mut faults = FaultInjector::default();
    let mut oracle = Oracle::default();
    let deadline = Instant::now() + duration;
    let mut next_fault = Instant::now();
    let mut findings = Vec::new();
    while Instant::now() < deadline && findings.is_empty() {
        if Instant::now() >= next_fault {
            faults.step(site, &mut rng).await;
            next_fault = Instant::now() + FAULT_INTERVAL;
        }
        calls.step(site, &mut oracle).await;
        findings = oracle.check(site);
    }
    faults.end_all(site);
    calls.finish(&mut oracle).await;
    findings.extend(oracle.check(site));
    print_result(&faults, &oracle, &findings);
    findings
}

fn print_result(faults: &FaultInjector, oracle: &Oracle, findings: &[String]) {
    println!("soak: {}", oracle.summary());
    println!("soak: {} faults: {}", faults.count(), faults.summary());
    if findings.is_empty() {
        println!("soak: no findings");
        return;
    }
    for finding in findings {
        println!("soak: finding: {finding}");
    }
    for line in faults.trace().iter().rev().take(MAX_TRACE_LINES).rev() {
        println!("soak: before the finding: {line}");
    }
}
