//! The entries of a site while a load runs.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::entries::{self, Entry};
use crate::http::Client;
use crate::mix::Vms;
use crate::output::Error;

/// Shortest time between two reads of the entries.
const MIN_TTL: Duration = Duration::from_secs(1);

/// The entries as last read, sorted by the name of the VM.
pub(crate) struct Site {
    pub(crate) client: Client,
    entries: Mutex<Arc<Vec<Entry>>>,
}

impl Site {
    /// Reads the entries, and reads them again as often as they ask for.
    pub(crate) async fn start(addresses: &[SocketAddr]) -> Result<Arc<Site>, Error> {
        let client = Client::new();
        let found = entries::find(&client, addresses).await?;
        let ttl = found.list.ttl_seconds;
        let site = Arc::new(Site {
            client,
            entries: Mutex::new(Arc::new(sorted(found.list.entries))),
        });
        if site.entries().is_empty() {
            return Err(Error::failed(format!("{} lists no entries", found.from)));
        }
        let (kept, addresses) = (Arc::clone(&site), addresses.to_vec());
        tokio::spawn(async move { kept.refresh(addresses, ttl).await });
        Ok(site)
    }

    async fn refresh(&self, addresses: Vec<SocketAddr>, mut ttl: u64) {
        loop {
            tokio::time::sleep(Duration::from_secs(ttl).max(MIN_TTL)).await;
            let known = self.entries();
            let known = known.iter().map(|entry| entry.address);
            let all: Vec<SocketAddr> = addresses.iter().copied().chain(known).collect();
            // Without an answer the last list stays, as callers cache it.
            if let Ok(found) = entries::find(&self.client, &all).await
                && !found.list.entries.is_empty()
            {
                ttl = found.list.ttl_seconds;
                let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
                *entries = Arc::new(sorted(found.list.entries));
            }
        }
    }

    fn entries(&self) -> Arc<Vec<Entry>> {
        Arc::clone(&self.entries.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The entry for a request that arrives at this time.
    pub(crate) fn choose(&self, vms: Vms, at: Duration, choice: u64) -> Entry {
        let entries = self.entries();
        let number = match vms {
            Vms::Even => u128::from(choice),
            Vms::One => 0,
            Vms::Moving(time) => at.as_nanos() / time.as_nanos().max(1),
        };
        let index = number % entries.len() as u128;
        entries[usize::try_from(index).expect("an index of a list fits")].clone()
    }
}

fn sorted(mut entries: Vec<Entry>) -> Vec<Entry> {
    entries.sort_by(|a, b| a.vm.cmp(&b.vm));
    entries
}
