//! Random faults on a real fleet, checked against a simple oracle.
//!
//! Daemons are real processes behind fault-injecting proxies; targets and platform are stand-ins in
//! this process. The seed decides the order of faults and calls; timing is the machine's. On a
//! finding the seed, the operations before it and the finding are printed, and the exit code is 1.

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

/// Run random faults on a real fleet and check its promises.
#[derive(Debug, Parser)]
#[command(after_help = "Example:\n  cargo build --workspace && \
    cargo run -p testkit --bin soak -- --minutes 10")]
struct Args {
    /// Seed; a random one is drawn and printed without it.
    #[arg(long)]
    seed: Option<u64>,
    /// Length of the run.
    #[arg(long, default_value_t = 10)]
    minutes: u64,
    /// Daemon binary.
    #[arg(long, default_value = "target/debug/primrosechute")]
    daemon: PathBuf,
}

/// Operations before a finding that are printed.
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
            eprintln!("soak: the site does not start: {err}");
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

/// Runs calls and faults until the time is over or something is found.
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
        println!("soak: before it: {line}");
    }
}
