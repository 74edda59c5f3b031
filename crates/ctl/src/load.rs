//! `load`: sends an open-loop load to a site and measures the results.

use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use clap::Args;
use http::{HeaderMap, HeaderValue, Method};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::call::{self, NotSent, Outcome, RequestSpec};
use crate::http::RequestParts;
use crate::mix::{Action, Mix, VmSelection, Workload};
use crate::output::{self, Error, Exit, Output};
use crate::plan::{Plan, PlannedRequest};
use crate::result::{EventResult, FORMAT_VERSION, GeneratorStats, LoadResult};
use crate::site::Site;
use crate::tally::{RequestRecord, Tally};
use crate::verify::{self, ResponseProgress};
use crate::{duration, file, table};

/// Most requests in flight. Requests above it are not sent; the result counts them.
const MAX_IN_FLIGHT: u32 = 20_000;
/// Time from the setup of the load to its start.
const START_DELAY: Duration = Duration::from_millis(100);
/// Timeout for the request of an event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Most entries that a request tries while no connection can be opened.
const MAX_ENTRIES_TRIED: usize = 3;

#[derive(Debug, Args)]
#[command(after_help = "Examples:\n  \
    primrosectl load --mix mix.jsonc -o result.json\n  \
    primrosectl load --mix mix.jsonc --seed 7 --commit $(git rev-parse --short HEAD) --json\n\n\
    A mix file (JSON with comments):\n  \
    {\n    \
      \"duration\": \"30s\", \"warm_up\": \"5s\", \"seed\": 1,\n    \
      \"entries\": [\"127.0.0.1:21001\"],\n    \
      \"rate\": 100,                      // requests/s of the workloads with a share\n    \
      \"vms\": \"even\",                    // or \"one\", or {\"moving\": \"10s\"}\n    \
      \"answer_ids\": true,               // targets return the request id, as stand-ins do\n    \
      \"workloads\": [{\n      \
        \"name\": \"quick\", \"share\": 0.8,  // or \"rate\": requests/s\n      \
        \"path\": \"/v1/chat/completions\", \"stream\": true,\n      \
        \"workspace\": \"salon-chain\", \"key_file\": \"key.txt\",\n      \
        \"tier\": \"quick\", \"deadline\": \"410ms\",\n      \
        \"prompt_tokens\": {\"lognormal\": {\"median\": 200, \"sigma\": 0.7, \"max\": 2000}},\n      \
        \"output_tokens\": {\"uniform\": {\"min\": 16, \"max\": 64}},\n      \
        \"prefix\": {\"groups\": 20, \"tokens\": 256}\n    \
      }, {\n      \
        \"name\": \"look-up\", \"share\": 0.2, \"path\": \"/catalogue\"  // no model call\n    \
      }],\n    \
      \"events\": [\n      \
        {\"at\": \"10s\", \"action\": {\"rate\": {\"workload\": \"quick\", \"factor\": 10}}},\n      \
        {\"at\": \"20s\", \"action\": {\"http\": {\"address\": \"127.0.0.1:21401\",\n        \
          \"method\": \"POST\", \"path\": \"/orders\", \"body\": {}}}}\n    \
      ]\n  \
    }\n\
    Distributions: {\"constant\": N}, {\"uniform\": {min, max}}, {\"lognormal\": {median, sigma, \
    max}}, {\"pareto\": {min, shape, max}}; prompt tokens come after the shared prefix. The path \
    of a key file is relative to the folder of the mix. Latencies are measured from the planned \
    arrival of a request, the times of events from the start of the warm-up. \
    Served in time means: first byte within the deadline, or no deadline. The first token of a \
    response that is not a stream counts as received when the response is complete.\n\n\
    Exit codes: 0 done, 1 failed or nothing was served, 2 mix rejected, 3 requests were not sent \
    or an event failed.")]
pub(crate) struct LoadArgs {
    /// The mix file.
    #[arg(long, value_name = "FILE")]
    mix: PathBuf,
    /// Seed to use instead of the seed in the mix.
    #[arg(long)]
    seed: Option<u64>,
    /// Commit of the daemons, recorded in the result.
    #[arg(long)]
    commit: Option<String>,
    /// File for the result, JSON.
    #[arg(short, long, value_name = "FILE")]
    output: Option<PathBuf>,
    /// File for one line of JSON per request, including the warm-up: id, workload, outcome, reason,
    /// and whether it was served in time.
    #[arg(long, value_name = "FILE")]
    requests: Option<PathBuf>,
    /// Longest wait at the end for requests that are still in flight.
    #[arg(long, default_value = "60s", value_parser = duration::parse)]
    drain: Duration,
}

/// Shared state of a running load.
struct LoadRun {
    mix: Mix,
    site: Arc<Site>,
    start: Instant,
    tally: Mutex<Tally>,
    /// Lines of the `--requests` file, if the option is given.
    request_lines: Option<Mutex<String>>,
    in_flight: Arc<Semaphore>,
}

pub(crate) async fn run(args: &LoadArgs, out: Output) -> Result<Exit, Error> {
    let mut mix = Mix::read(&args.mix)?;
    mix.seed = args.seed.unwrap_or(mix.seed);
    let site = Site::start(&mix.entries).await?;
    let load = Arc::new(LoadRun {
        tally: Mutex::new(Tally::new(&mix)),
        request_lines: args.requests.as_ref().map(|_| Mutex::default()),
        mix,
        site,
        start: Instant::now() + START_DELAY,
        in_flight: Arc::new(Semaphore::new(MAX_IN_FLIGHT as usize)),
    });
    let events = tokio::spawn(run_events(Arc::clone(&load)));
    let mut workloads = JoinSet::new();
    for index in 0..load.mix.workloads.len() {
        workloads.spawn(send_workload(Arc::clone(&load), index));
    }
    let over_limit: u64 = workloads.join_all().await.iter().sum();
    let all_permits = load.in_flight.acquire_many(MAX_IN_FLIGHT);
    // Requests that are still in flight after this wait count as unknown.
    let _ = tokio::time::timeout(args.drain, all_permits).await;
    let events = events.await.map_err(|err| Error::failed(err.to_string()))?;
    if let (Some(path), Some(lines)) = (&args.requests, &load.request_lines) {
        let lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
        file::write(path, lines.as_bytes())?;
    }
    let result = load.result(args, events, over_limit);
    if let Some(path) = &args.output {
        let text = serde_json::to_string_pretty(&result)
            .map_err(|err| Error::failed(format!("cannot serialize the result: {err}")))?;
        file::write(path, text.as_bytes())?;
    }
    if out.json {
        out.json(&result);
    } else {
        let name = std::slice::from_ref(&result.mix);
        table::print(name, std::slice::from_ref(&result), out);
    }
    Ok(exit_status(&result))
}

/// File name of a path without its folder.
fn file_name(path: &Path) -> String {
    path.file_name()
        .unwrap_or_default()
        .to_string_lossy()
        .into()
}

/// Prints warnings about a result and returns the exit code for it.
fn exit_status(result: &LoadResult) -> Exit {
    for event in &result.events {
        if let Some(err) = &event.error {
            output::warn(&format!("event {}: {err}", event.action));
        }
    }
    if result.generator.over_limit > 0 {
        output::warn(&format!(
            "{} requests were not sent because {MAX_IN_FLIGHT} were in flight",
            result.generator.over_limit
        ));
    }
    if result.total.served() == 0 {
        Exit::Failed
    } else if result.generator.over_limit > 0 || result.events.iter().any(|e| e.error.is_some()) {
        Exit::Partial
    } else {
        Exit::Ok
    }
}

impl LoadRun {
    fn with_tally<T>(&self, work: impl FnOnce(&mut Tally) -> T) -> T {
        work(&mut self.tally.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Adds a line for the request to the `--requests` file.
    fn log_request(&self, record: &RequestRecord, measured: bool) {
        let Some(lines) = &self.request_lines else {
            return;
        };
        let workload = &self.mix.workloads[record.workload_index];
        let line = serde_json::json!({
            "id": record.id,
            "workload": workload.name,
            "outcome": record.outcome.label(),
            "reason": record.reason,
            "in_time": record.is_in_time(workload.deadline),
            "measured": measured,
        });
        let mut lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push_str(&line.to_string());
        lines.push('\n');
    }

    fn result(&self, args: &LoadArgs, events: Vec<EventResult>, over_limit: u64) -> LoadResult {
        let mix = &self.mix;
        let tally = self.with_tally(|tally| std::mem::replace(tally, Tally::new(mix)));
        let groups = tally.finish(mix.duration);
        LoadResult {
            format: FORMAT_VERSION,
            mix: file_name(&args.mix),
            seed: mix.seed,
            warm_up_seconds: mix.warm_up.as_secs_f64(),
            duration_seconds: mix.duration.as_secs_f64(),
            commit: args.commit.clone(),
            total: groups.total,
            workloads: groups.workloads,
            tiers: groups.tiers,
            workspaces: groups.workspaces,
            worst_workspace: groups.worst_workspace,
            generator: GeneratorStats {
                send_lag_seconds: groups.send_lag_seconds,
                over_limit,
            },
            events,
        }
    }
}

/// Sends the requests of a workload at their planned times. Returns how many were not sent because
/// too many requests were in flight.
async fn send_workload(load: Arc<LoadRun>, workload_index: usize) -> u64 {
    let mut over_limit = 0;
    for planned in Plan::new(&load.mix, workload_index) {
        tokio::time::sleep_until(load.start + planned.arrival).await;
        let measured = planned.arrival >= load.mix.warm_up;
        let Ok(permit) = Arc::clone(&load.in_flight).try_acquire_owned() else {
            over_limit += 1;
            continue;
        };
        let lag = load.start.elapsed().saturating_sub(planned.arrival);
        if measured {
            load.with_tally(|tally| tally.record_sent(workload_index, lag));
        }
        let load = Arc::clone(&load);
        tokio::spawn(async move {
            let record = send_request(&load, workload_index, planned).await;
            load.log_request(&record, measured);
            if measured {
                load.with_tally(|tally| tally.record_ended(&record));
            }
            drop(permit);
        });
    }
    over_limit
}

/// Sends one request, trying other entries while nothing could be sent.
async fn send_request(
    load: &LoadRun,
    workload_index: usize,
    planned: PlannedRequest,
) -> RequestRecord {
    let mix = &load.mix;
    let workload = &mix.workloads[workload_index];
    let spec = request_spec(workload, &planned);
    let arrival = load.start + planned.arrival;
    let mut record = RequestRecord {
        workload_index,
        id: String::new(),
        outcome: Outcome::Failed,
        reason: "not_sent".into(),
        first_byte: None,
        token_gaps: Vec::new(),
        tokens: 0,
        resends: 0,
        resumes: 0,
    };
    for attempt in 0..MAX_ENTRIES_TRIED {
        // The previous attempts sent nothing, so another entry may get the request with a new id.
        let (selection, choice) = match attempt {
            0 => (workload.vms.unwrap_or(mix.vms), planned.vm_choice),
            _ => (
                VmSelection::Even,
                planned.vm_choice.wrapping_add(attempt as u64),
            ),
        };
        let entry = load.site.choose_entry(selection, planned.arrival, choice);
        let id = call::new_request_id(&entry.incarnation);
        let mut progress = ResponseProgress::default();
        let result = call::run(&load.site.client, entry.address, &id, &spec, |event| {
            progress.record_event(&event.data, mix.answer_ids.then_some(&id));
        })
        .await;
        let result = match result {
            Ok(result) => result,
            Err(NotSent(_)) => continue,
        };
        let end = Instant::now();
        record.id.clone_from(&id);
        (record.outcome, record.reason) =
            verify::verified_outcome(&result, &id, &progress, mix.answer_ids);
        record.first_byte = Some(
            progress
                .first_event
                .unwrap_or(end)
                .saturating_duration_since(arrival),
        );
        record.tokens = match result.events {
            0 => verify::completion_tokens(&result.body).unwrap_or(0),
            _ => progress.reported_tokens.unwrap_or(progress.events),
        };
        record.token_gaps = progress.event_gaps;
        (record.resends, record.resumes) = (result.resends, result.resumes);
        break;
    }
    record
}

fn request_spec(workload: &Workload, planned: &PlannedRequest) -> RequestSpec {
    let value = |text: &str| HeaderValue::from_str(text).ok();
    let method = workload.method.as_ref().and_then(|m| m.parse().ok());
    RequestSpec {
        method: method.unwrap_or(if planned.body.is_empty() {
            Method::GET
        } else {
            Method::POST
        }),
        path: workload.path.clone(),
        body: planned.body.clone(),
        key: workload.authorization.clone(),
        tier: workload.tier.as_deref().and_then(value),
        deadline: workload
            .deadline
            .and_then(|deadline| value(&format!("{}ms", deadline.as_millis().max(1)))),
    }
}

/// Runs the HTTP events of the mix. Rate changes are part of the request plans.
async fn run_events(load: Arc<LoadRun>) -> Vec<EventResult> {
    let mut tasks = JoinSet::new();
    for event in load.mix.events.clone() {
        let Action::Http {
            address,
            method,
            path,
            body,
        } = event.action
        else {
            continue;
        };
        let load = Arc::clone(&load);
        tasks.spawn(async move {
            tokio::time::sleep_until(load.start + event.at).await;
            let json = HeaderValue::from_static("application/json");
            let headers = HeaderMap::from_iter([(http::header::CONTENT_TYPE, json)]);
            let parts = RequestParts {
                method: method.parse().unwrap_or(Method::GET),
                path: path.clone(),
                headers,
                body: body.map(|body| body.to_string()).unwrap_or_default().into(),
            };
            let sent = load.site.client.send(address, &parts, EVENT_TIMEOUT).await;
            let status = sent.map(|response| response.status().as_u16());
            EventResult {
                at_seconds: event.at.as_secs_f64(),
                action: format!("{method} {address}{path}"),
                error: match &status {
                    Ok(status) if *status < 400 => None,
                    Ok(status) => Some(format!("was answered with {status}")),
                    Err(err) => Some(err.message().to_owned()),
                },
                status: status.ok(),
            }
        });
    }
    let mut results = tasks.join_all().await;
    results.sort_by(|a, b| a.at_seconds.total_cmp(&b.at_seconds));
    results
}
