//! The entries of a site: `entries`, and the lookup before requests.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use serde::{Deserialize, Serialize};

use crate::http::Client;
use crate::output::{self, Error, Exit, Output};

/// Time in which an address must answer with its entries.
const ANSWER_WAIT: Duration = Duration::from_secs(2);

#[derive(Debug, Args)]
#[command(after_help = "Examples:\n  \
    primrosectl entries 127.0.0.1:21001 127.0.0.1:21002\n\n\
    Exit codes: 0 found, 1 no address answered, 2 bad arguments.")]
pub(crate) struct Entries {
    /// Addresses for callers; the first that answers is used.
    #[arg(required = true, value_name = "ADDRESS")]
    addresses: Vec<SocketAddr>,
}

/// The answer of `GET /v1/entries`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct List {
    pub(crate) ttl_seconds: u64,
    pub(crate) entries: Vec<Entry>,
}

/// A daemon that takes calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) vm: String,
    pub(crate) zone: String,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: String,
}

/// A list of entries, with the errors of the addresses that were asked before.
#[derive(Debug)]
pub(crate) struct Found {
    pub(crate) from: SocketAddr,
    pub(crate) list: List,
    pub(crate) errors: Vec<String>,
}

/// Asks the addresses in turn; the errors of all of them if none answers.
pub(crate) async fn find(client: &Client, addresses: &[SocketAddr]) -> Result<Found, Error> {
    let mut errors = Vec::new();
    for &from in addresses {
        match client.document(from, "/v1/entries", ANSWER_WAIT).await {
            Ok(list) => return Ok(Found { from, list, errors }),
            Err(err) => errors.push(err),
        }
    }
    Err(Error::failed(format!(
        "no address answered with its entries: {}",
        errors.join("; ")
    )))
}

pub(crate) async fn run(args: &Entries, out: Output) -> Result<Exit, Error> {
    let found = find(&Client::new(), &args.addresses).await?;
    for err in &found.errors {
        output::warn(err);
    }
    if out.json {
        out.json(&serde_json::json!({
            "from": found.from,
            "ttl_seconds": found.list.ttl_seconds,
            "entries": found.list.entries,
            "errors": found.errors,
        }));
    } else {
        let header = ["vm", "zone", "address", "incarnation"].map(String::from);
        let rows = found.list.entries.iter().map(|entry| {
            vec![
                entry.vm.clone(),
                entry.zone.clone(),
                entry.address.to_string(),
                entry.incarnation.clone(),
            ]
        });
        let rows: Vec<_> = std::iter::once(header.to_vec()).chain(rows).collect();
        out.table(&rows);
        out.line(&format!(
            "{} entries from {}, valid for {} s",
            found.list.entries.len(),
            found.from,
            found.list.ttl_seconds
        ));
    }
    Ok(Exit::Ok)
}
