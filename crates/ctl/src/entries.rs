//! Entries of a site: the `entries` command, and the lookup that `send` and `load` use.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use serde::{Deserialize, Serialize};

use crate::http::Client;
use crate::output::{self, Error, Exit, Output};

/// Timeout for the entries of one address.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug, Args)]
#[command(after_help = "Examples:\n  \
    primrosectl entries 127.0.0.1:21001 127.0.0.1:21002\n\n\
    Exit codes: 0 found, 1 no address answered, 2 bad arguments.")]
pub(crate) struct EntriesArgs {
    /// Addresses for callers; the first that responds is used.
    #[arg(required = true, value_name = "ADDRESS")]
    addresses: Vec<SocketAddr>,
}

/// Response to `GET /v1/entries`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct EntryList {
    pub(crate) ttl_seconds: u64,
    pub(crate) entries: Vec<Entry>,
}

/// A daemon that accepts requests from callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) vm: String,
    pub(crate) zone: String,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: String,
}

/// A list of entries, with the errors of the addresses that were tried before.
#[derive(Debug)]
pub(crate) struct FetchedEntries {
    pub(crate) from: SocketAddr,
    pub(crate) list: EntryList,
    pub(crate) errors: Vec<String>,
}

/// Fetches the entries from the first address that responds. If none does, the error contains the
/// errors of all addresses.
pub(crate) async fn fetch(
    client: &Client,
    addresses: &[SocketAddr],
) -> Result<FetchedEntries, Error> {
    let mut errors = Vec::new();
    for &from in addresses {
        match client.get_json(from, "/v1/entries", LIST_TIMEOUT).await {
            Ok(list) => return Ok(FetchedEntries { from, list, errors }),
            Err(err) => errors.push(err),
        }
    }
    Err(Error::failed(format!(
        "no address answered with its entries: {}",
        errors.join("; ")
    )))
}

pub(crate) async fn run(args: &EntriesArgs, out: Output) -> Result<Exit, Error> {
    let fetched = fetch(&Client::new(), &args.addresses).await?;
    for err in &fetched.errors {
        output::warn(err);
    }
    if out.json {
        out.json(&serde_json::json!({
            "from": fetched.from,
            "ttl_seconds": fetched.list.ttl_seconds,
            "entries": fetched.list.entries,
            "errors": fetched.errors,
        }));
    } else {
        let header = ["vm", "zone", "address", "incarnation"].map(String::from);
        let rows = fetched.list.entries.iter().map(|entry| {
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
            fetched.list.entries.len(),
            fetched.from,
            fetched.list.ttl_seconds
        ));
    }
    Ok(Exit::Ok)
}
