//! `status`: the state of daemons side by side.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use clap::Args;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::duration;
use crate::http::Client;
use crate::output::{self, Error, Exit, Output};

#[derive(Debug, Args)]
#[command(after_help = "Examples:\n  \
    primrosectl status 127.0.0.1:21101 127.0.0.1:21102\n  \
    primrosectl status --timeout 500ms 127.0.0.1:21101\n\n\
    Exit codes: 0 all answered, 1 none answered, 2 bad arguments, 3 some did not answer.")]
pub(crate) struct StatusArgs {
    /// Admin addresses of daemons.
    #[arg(required = true, value_name = "ADMIN_ADDRESS")]
    addresses: Vec<SocketAddr>,
    /// Timeout for each daemon.
    #[arg(long, default_value = "2s", value_parser = duration::parse)]
    timeout: std::time::Duration,
}

/// The fields of `GET /status` that the table shows.
#[derive(Debug, Deserialize)]
struct Status {
    vm: String,
    zone: String,
    phase: String,
    lease: String,
    sheet: SheetVersion,
    list_generation: u64,
    owned: Vec<Value>,
    running: u64,
}

#[derive(Debug, Deserialize)]
struct SheetVersion {
    revision: u64,
    hash: String,
}

/// Response of a daemon: the document as received and the fields that the table shows.
type StatusResponse = Result<(Value, Status), String>;

pub(crate) async fn run(args: &StatusArgs, out: Output) -> Result<Exit, Error> {
    let responses = query_all(args).await;
    let statuses: Vec<&Status> = responses
        .iter()
        .filter_map(|(_, response)| response.as_ref().ok().map(|(_, status)| status))
        .collect();
    let warnings = warnings(&statuses);
    if out.json {
        print_json(&responses, &warnings, out);
    } else {
        print_table(&responses, out);
        for warning in &warnings {
            output::warn(warning);
        }
    }
    Ok(match statuses.len() {
        0 => Exit::Failed,
        count if count < responses.len() => Exit::Partial,
        _ => Exit::Ok,
    })
}

/// Queries all daemons concurrently. The responses are in the order of the addresses.
async fn query_all(args: &StatusArgs) -> Vec<(SocketAddr, StatusResponse)> {
    let client = Client::new();
    let mut tasks = JoinSet::new();
    for (index, &address) in args.addresses.iter().enumerate() {
        let (client, timeout) = (client.clone(), args.timeout);
        tasks.spawn(async move {
            let document: Result<Value, _> = client.get_json(address, "/status", timeout).await;
            let response = document.and_then(|document| {
                let status = Status::deserialize(&document)
                    .map_err(|err| format!("{address}: GET /status: unexpected response: {err}"))?;
                Ok((document, status))
            });
            (index, address, response)
        });
    }
    let mut responses = tasks.join_all().await;
    responses.sort_by_key(|(index, ..)| *index);
    responses
        .into_iter()
        .map(|(_, address, response)| (address, response))
        .collect()
}

/// Differences between daemons that should agree. They are expected only for a few seconds after a
/// change.
fn warnings(statuses: &[&Status]) -> Vec<String> {
    let revisions: BTreeSet<u64> = statuses.iter().map(|s| s.sheet.revision).collect();
    let hashes: BTreeSet<_> = statuses
        .iter()
        .map(|s| (s.sheet.revision, s.sheet.hash.as_str()))
        .collect();
    let generations: BTreeSet<u64> = statuses.iter().map(|s| s.list_generation).collect();
    let mut warnings = Vec::new();
    if revisions.len() > 1 {
        warnings.push(format!(
            "sheet revisions differ: {}",
            join_numbers(&revisions)
        ));
    }
    if hashes.len() > revisions.len() {
        warnings.push("sheets of the same revision have different hashes".into());
    }
    if generations.len() > 1 {
        warnings.push(format!(
            "list generations differ: {}",
            join_numbers(&generations)
        ));
    }
    warnings
}

fn join_numbers(numbers: &BTreeSet<u64>) -> String {
    let numbers: Vec<String> = numbers.iter().map(u64::to_string).collect();
    numbers.join(", ")
}

fn print_json(responses: &[(SocketAddr, StatusResponse)], warnings: &[String], out: Output) {
    let daemons: Vec<Value> = responses
        .iter()
        .map(|(address, response)| match response {
            Ok((document, _)) => json!({ "address": address, "ok": true, "status": document }),
            Err(err) => json!({ "address": address, "ok": false, "error": err }),
        })
        .collect();
    out.json(&json!({ "daemons": daemons, "warnings": warnings }));
}

fn print_table(responses: &[(SocketAddr, StatusResponse)], out: Output) {
    let header = [
        "address", "vm", "zone", "phase", "lease", "sheet", "list", "owned", "running",
    ];
    let mut rows = vec![header.map(String::from).to_vec()];
    let mut errors = Vec::new();
    for (address, response) in responses {
        match response {
            Ok((_, s)) => rows.push(vec![
                address.to_string(),
                s.vm.clone(),
                s.zone.clone(),
                s.phase.clone(),
                s.lease.clone(),
                s.sheet.revision.to_string(),
                s.list_generation.to_string(),
                s.owned.len().to_string(),
                s.running.to_string(),
            ]),
            Err(err) => errors.push(err),
        }
    }
    if rows.len() > 1 {
        out.table(&rows);
    }
    for err in errors {
        output::error(err);
    }
}
