//! Compares the scheduler with the baseline policy on an example site, with real daemon processes
//! and stand-in engines.
//!
//! Each policy has its own fleet and engines. Each load runs first with the scheduler, then with
//! the baseline.

mod mix;
mod run;
mod scenario;
mod site;

use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};

use clap::{Parser, ValueEnum};
use serde_json::json;
use testkit::measure::{Measurement, goals, goals_under_faults, markdown};

/// Example site to measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum SiteName {
    LvRiga,
    CostaAtl,
}

impl SiteName {
    fn folder(self) -> &'static str {
        match self {
            SiteName::LvRiga => "lv-riga",
            SiteName::CostaAtl => "costa-atl",
        }
    }
}

#[derive(Debug, Parser)]
#[command(
    about = "Compares the scheduler with the baseline policy on an example site.",
    after_help = "Example:\n  cargo build --release -p daemon -p ctl\n  \
        cargo run --release -p testkit --bin measure -- --site lv-riga --out measures.json\n\n\
        The daemon and primrosectl are taken from the directory of this binary. The table goes to \
        standard output, the measurements to the file. Exit codes: 0 measured, 1 failed."
)]
struct Args {
    /// Example site.
    #[arg(long, value_enum)]
    site: SiteName,
    /// Loads as multiples of the capacity, which is computed from the model of the engines.
    #[arg(long, value_delimiter = ',', default_value = "0.7,1.0,1.5,3.0")]
    loads: Vec<f64>,
    /// Seed of arrivals and sizes.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Factor on all times of the engines and on the deadlines of callers.
    #[arg(long, default_value_t = 2.0)]
    time_scale: f64,
    /// Measured seconds of each load.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Starts the engines warm. Without it they start cold, as after a restart.
    #[arg(long)]
    warm: bool,
    /// Fault or overload during each load.
    #[arg(long, value_enum)]
    scenario: Option<scenario::Scenario>,
    /// Output file for the measurements, in JSON.
    #[arg(long)]
    out: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    match measure(&Args::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("measure: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn measure(args: &Args) -> io::Result<()> {
    // Read before the loads run, as the checkout may change meanwhile.
    let commit = checkout_revision();
    let exe = std::env::current_exe()?;
    let binaries = exe.parent().unwrap_or(Path::new("")).to_owned();
    let folder = args.site.folder();
    let sheet = site::read_sheet(folder)?;
    let mix = mix::Mix::new(folder, &sheet, args.time_scale);
    let mut sites = Vec::new();
    for policy in ["scheduler", "baseline"] {
        let site = site::Site::start(folder, policy, &binaries, &mix, args.warm).await?;
        sites.push((policy, site));
    }
    let mut measurements: Vec<Measurement> = Vec::new();
    for load in &args.loads {
        for (policy, site) in &mut sites {
            let mut measurement = run::run_load(site, &mix, &binaries, *load, args).await?;
            folder.clone_into(&mut measurement.site);
            (*policy).clone_into(&mut measurement.policy);
            eprintln!(
                "measure: {folder} {load} {policy}: {:.0} tokens/s served in time",
                measurement.total.goodput
            );
            measurements.push(measurement);
        }
    }
    write_results(args, &mix, &measurements, &commit)
}

fn write_results(
    args: &Args,
    mix: &mix::Mix,
    measurements: &[Measurement],
    commit: &str,
) -> io::Result<()> {
    let goals = match args.scenario {
        Some(_) => goals_under_faults(measurements, mix.tenant()),
        None => goals(measurements, mix.top_tier()),
    };
    let document = json!({
        "site": args.site.folder(),
        "seed": args.seed,
        "commit": commit,
        "time_scale": args.time_scale,
        "seconds": args.seconds,
        "warm": args.warm,
        "scenario": args.scenario.map(scenario::Scenario::name),
        "tenant": mix.tenant(),
        "capacity_requests_per_second": mix.capacity,
        "capacity_source": "computed from the model of the stand-in engines",
        "points": measurements,
        "goals": &goals,
    });
    std::fs::write(&args.out, serde_json::to_vec_pretty(&document)?)?;
    println!("{}", markdown(measurements, &goals, args.seed, commit));
    Ok(())
}

/// Abbreviated commit of the checkout, with the suffix `-dirty` if it has uncommitted changes.
fn checkout_revision() -> String {
    let output = Command::new("git")
        .args(["describe", "--always", "--dirty", "--exclude", "*"])
        .output();
    let text = output.map(|o| String::from_utf8_lossy(&o.stdout).trim().to_owned());
    text.unwrap_or_default()
}
