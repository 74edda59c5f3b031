//! One load on one site.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

use serde::Deserialize;
use serde_json::Value;
use testkit::RunRecord;
use testkit::measure::{DaemonCosts, EngineWork, Measurement};
use tokio::process::Command;

use crate::Args;
use crate::mix::Mix;
use crate::site::Site;

/// Time that requests in flight at the end of a load get to finish.
const DRAIN_TIME: &str = "8s";
/// Maximum time to wait for engines to finish the requests of a load.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Metric that counts the bytes on links to peers.
const PEER_BYTES_METRIC: &str = "primrosechute_peer_bytes_total";

/// Counters of a site before a load.
struct StartCounters {
    started_at: Instant,
    record_counts: BTreeMap<String, usize>,
    overloads: u64,
    usage: BTreeMap<String, DaemonUsage>,
}

/// Resources that one daemon has used since its start.
#[derive(Clone, Copy)]
struct DaemonUsage {
    cpu_time: Duration,
    peer_bytes: f64,
}

/// A line of the request file that `primrosectl load` writes.
#[derive(Deserialize)]
struct RequestResult {
    id: String,
    in_time: bool,
}

/// Runs a load on a site and combines what callers, engines and daemons recorded.
pub async fn run_load(
    site: &mut Site,
    mix: &Mix,
    binaries: &Path,
    load: f64,
    args: &Args,
) -> io::Result<Measurement> {
    let before = StartCounters::read(site).await?;
    let dir = tempfile::tempdir()?;
    write_mix(site, mix, load, args, dir.path())?;
    let apply_fault = async {
        match args.scenario {
            Some(scenario) => scenario.run(site, args.seconds).await,
            None => Ok(()),
        }
    };
    let (result, fault_result) =
        tokio::join!(run_load_generator(binaries, args, dir.path()), apply_fault);
    fault_result?;
    let result = result?;
    let after = daemon_usage(site).await?;
    let elapsed = before.started_at.elapsed();
    site.wait_idle(IDLE_TIMEOUT).await;
    let in_time_ids = read_in_time_ids(&dir.path().join("requests.jsonl"))?;
    let mut measurement = Measurement::from_load_result(&result);
    measurement.load = load;
    measurement.offered = mix.capacity * load;
    measurement.work = EngineWork::from_records(&new_records(site, &before), &in_time_ids);
    measurement.cold_overloads = cold_overloads(site) - before.overloads;
    measurement.costs = daemon_costs(&before.usage, &after, elapsed);
    Ok(measurement)
}

fn write_mix(site: &Site, mix: &Mix, load: f64, args: &Args, dir: &Path) -> io::Result<()> {
    let names = site.fleet.names();
    let entries: Vec<_> = names.iter().map(|vm| site.fleet.entry_addr(vm)).collect();
    let mut mix_file = mix.mix_file(&entries, load, args.seconds);
    if let Some(scenario) = args.scenario {
        scenario.add_mix_events(&mut mix_file, mix.tenant(), args.seconds);
    }
    std::fs::write(dir.join("mix.json"), serde_json::to_vec_pretty(&mix_file)?)
}

/// Runs `primrosectl load` and returns its result.
async fn run_load_generator(binaries: &Path, args: &Args, dir: &Path) -> io::Result<Value> {
    let output = Command::new(binaries.join("primrosectl"))
        .args(["load", "--json", "--mix", "mix.json", "--drain", DRAIN_TIME])
        .args(["--requests", "requests.jsonl", "--output", "result.json"])
        .args(["--seed", &args.seed.to_string()])
        .current_dir(dir)
        .kill_on_drop(true)
        .output()
        .await?;
    // The exit code is not checked: a load with no request served in time is also a result.
    let text = std::fs::read(dir.join("result.json")).map_err(|_| {
        let text = String::from_utf8_lossy(&output.stderr);
        io::Error::other(format!("primrosectl wrote no result: {text}"))
    })?;
    Ok(serde_json::from_slice(&text)?)
}

fn read_in_time_ids(path: &Path) -> io::Result<BTreeSet<String>> {
    let mut ids = BTreeSet::new();
    for line in std::fs::read_to_string(path)?.lines() {
        let request: RequestResult = serde_json::from_str(line)?;
        if request.in_time {
            ids.insert(request.id);
        }
    }
    Ok(ids)
}

impl StartCounters {
    async fn read(site: &Site) -> io::Result<Self> {
        let engines = site.engines.iter();
        Ok(StartCounters {
            record_counts: engines
                .map(|(name, engine)| (name.clone(), engine.records().len()))
                .collect(),
            overloads: cold_overloads(site),
            usage: daemon_usage(site).await?,
            started_at: Instant::now(),
        })
    }
}

fn cold_overloads(site: &Site) -> u64 {
    site.engines.values().map(|e| e.stats().overloads).sum()
}

/// Run records added since the counters were read.
fn new_records(site: &Site, before: &StartCounters) -> Vec<RunRecord> {
    let engines = site.engines.iter();
    engines
        .flat_map(|(name, engine)| {
            let skip = before.record_counts.get(name).copied().unwrap_or(0);
            engine.records().into_iter().skip(skip)
        })
        .collect()
}

async fn daemon_usage(site: &Site) -> io::Result<BTreeMap<String, DaemonUsage>> {
    let mut usage = BTreeMap::new();
    for vm in site.fleet.names() {
        let metrics = site.read_admin(&vm, "/metrics").await?;
        let metrics = String::from_utf8_lossy(&metrics);
        let lines = metrics
            .lines()
            .filter(|line| line.starts_with(PEER_BYTES_METRIC));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        let cpu_time = site.fleet.usage(&vm)?.cpu_time;
        let peer_bytes = values.sum();
        usage.insert(
            vm,
            DaemonUsage {
                cpu_time,
                peer_bytes,
            },
        );
    }
    Ok(usage)
}

fn daemon_costs(
    before: &BTreeMap<String, DaemonUsage>,
    after: &BTreeMap<String, DaemonUsage>,
    elapsed: Duration,
) -> DaemonCosts {
    let seconds = elapsed.as_secs_f64();
    let mut costs = DaemonCosts::default();
    for (vm, after) in after {
        let Some(before) = before.get(vm) else {
            continue;
        };
        let cores = after.cpu_time.saturating_sub(before.cpu_time).as_secs_f64() / seconds;
        costs.cores += cores;
        costs.most_cores = costs.most_cores.max(cores);
        // The counters of a daemon that was killed start from 0 again.
        costs.peer_bytes += (after.peer_bytes - before.peer_bytes).max(0.0) / seconds;
    }
    let daemons = u32::try_from(after.len().max(1)).map_or(1.0, f64::from);
    costs.cores /= daemons;
    costs.peer_bytes /= daemons;
    costs
}
