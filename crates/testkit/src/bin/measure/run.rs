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

/// Time for requests in flight at the end of a load.
const DRAIN: &str = "8s";
/// Longest wait for engines to end the work of a point.
const IDLE_WAIT: Duration = Duration::from_secs(20);
/// Counter of the bytes on links to peers.
const PEER_BYTES: &str = "primrosechute_peer_bytes_total";

/// Counters of a site before a load.
struct Before {
    at: Instant,
    records: BTreeMap<String, usize>,
    overloads: u64,
    spent: BTreeMap<String, Spent>,
}

/// What one daemon has spent since its start.
#[derive(Clone, Copy)]
struct Spent {
    cpu: Duration,
    peer_bytes: f64,
}

/// A line of the file of requests.
#[derive(Deserialize)]
struct Request {
    id: String,
    in_time: bool,
}

/// Puts a load on a site and sums up what engines, callers and daemons saw.
pub async fn run(
    site: &mut Site,
    mix: &Mix,
    binaries: &Path,
    load: f64,
    args: &Args,
) -> io::Result<Measurement> {
    let before = Before::of(site).await?;
    let dir = tempfile::tempdir()?;
    write_mix(site, mix, load, args, dir.path())?;
    let disturb = async {
        match args.scenario {
            Some(scenario) => scenario.play(site, args.seconds).await,
            None => Ok(()),
        }
    };
    let (result, disturbed) = tokio::join!(send(binaries, args, dir.path()), disturb);
    disturbed?;
    let result = result?;
    let after = spent(site).await?;
    let took = before.at.elapsed();
    site.wait_idle(IDLE_WAIT).await;
    let in_time = in_time(&dir.path().join("requests.jsonl"))?;
    let mut point = Measurement::from_load_result(&result);
    point.load = load;
    point.offered = mix.capacity * load;
    point.work = EngineWork::from_records(&records(site, &before), &in_time);
    point.cold_overloads = overloads(site) - before.overloads;
    point.costs = costs(&before.spent, &after, took);
    Ok(point)
}

fn write_mix(site: &Site, mix: &Mix, load: f64, args: &Args, dir: &Path) -> io::Result<()> {
    let names = site.fleet.names();
    let entries: Vec<_> = names.iter().map(|vm| site.fleet.entry_addr(vm)).collect();
    let mut file = mix.file(&entries, load, args.seconds);
    if let Some(scenario) = args.scenario {
        scenario.change_mix(&mut file, mix.tenant(), args.seconds);
    }
    std::fs::write(dir.join("mix.json"), serde_json::to_vec_pretty(&file)?)
}

/// Runs `primrosectl load` and returns its result.
async fn send(binaries: &Path, args: &Args, dir: &Path) -> io::Result<Value> {
    let output = Command::new(binaries.join("primrosectl"))
        .args(["load", "--json", "--mix", "mix.json", "--drain", DRAIN])
        .args(["--requests", "requests.jsonl", "--output", "result.json"])
        .args(["--seed", &args.seed.to_string()])
        .current_dir(dir)
        .kill_on_drop(true)
        .output()
        .await?;
    // A load of which nothing is served in time is a result, too.
    let text = std::fs::read(dir.join("result.json")).map_err(|_| {
        let text = String::from_utf8_lossy(&output.stderr);
        io::Error::other(format!("primrosectl gave no result: {text}"))
    })?;
    Ok(serde_json::from_slice(&text)?)
}

fn in_time(path: &Path) -> io::Result<BTreeSet<String>> {
    let mut ids = BTreeSet::new();
    for line in std::fs::read_to_string(path)?.lines() {
        let request: Request = serde_json::from_str(line)?;
        if request.in_time {
            ids.insert(request.id);
        }
    }
    Ok(ids)
}

impl Before {
    async fn of(site: &Site) -> io::Result<Self> {
        let records = site.engines.iter();
        Ok(Before {
            records: records
                .map(|(name, engine)| (name.clone(), engine.records().len()))
                .collect(),
            overloads: overloads(site),
            spent: spent(site).await?,
            at: Instant::now(),
        })
    }
}

fn overloads(site: &Site) -> u64 {
    site.engines.values().map(|e| e.stats().overloads).sum()
}

/// Runs since the counters were read.
fn records(site: &Site, before: &Before) -> Vec<RunRecord> {
    let engines = site.engines.iter();
    engines
        .flat_map(|(name, engine)| {
            let skip = before.records.get(name).copied().unwrap_or(0);
            engine.records().into_iter().skip(skip)
        })
        .collect()
}

async fn spent(site: &Site) -> io::Result<BTreeMap<String, Spent>> {
    let mut spent = BTreeMap::new();
    for vm in site.fleet.names() {
        let metrics = site.admin(&vm, "/metrics").await?;
        let metrics = String::from_utf8_lossy(&metrics);
        let lines = metrics.lines().filter(|line| line.starts_with(PEER_BYTES));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        let cpu = site.fleet.usage(&vm)?.cpu_time;
        let peer_bytes = values.sum();
        spent.insert(vm, Spent { cpu, peer_bytes });
    }
    Ok(spent)
}

fn costs(
    before: &BTreeMap<String, Spent>,
    after: &BTreeMap<String, Spent>,
    took: Duration,
) -> DaemonCosts {
    let seconds = took.as_secs_f64();
    let mut costs = DaemonCosts::default();
    for (vm, after) in after {
        let Some(before) = before.get(vm) else {
            continue;
        };
        let cores = after.cpu.saturating_sub(before.cpu).as_secs_f64() / seconds;
        costs.cores += cores;
        costs.most_cores = costs.most_cores.max(cores);
        // The counters of a daemon that was killed start anew.
        costs.peer_bytes += (after.peer_bytes - before.peer_bytes).max(0.0) / seconds;
    }
    let daemons = u32::try_from(after.len().max(1)).map_or(1.0, f64::from);
    costs.cores /= daemons;
    costs.peer_bytes /= daemons;
    costs
}
