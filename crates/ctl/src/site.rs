//! Cached entries of a site, refreshed while a load runs.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::entries::{self, Entry};
use crate::http::Client;
use crate::mix::VmSelection;
use crate::output::Error;

/// Shortest time between two refreshes of the entries.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// The entries as last fetched, sorted by VM name, and the client that sends requests to them.
pub(crate) struct Site {
    pub(crate) client: Client,
    entries: Mutex<Arc<Vec<Entry>>>,
}

impl Site {
    /// Fetches the entries and starts a task that refreshes them whenever their TTL ends.
    pub(crate) async fn start(addresses: &[SocketAddr]) -> Result<Arc<Site>, Error> {
        let client = Client::new();
        let fetched = entries::fetch(&client, addresses).await?;
        let ttl = fetched.list.ttl_seconds;
        let site = Arc::new(Site {
            client,
            entries: Mutex::new(Arc::new(sorted(fetched.list.entries))),
        });
        if site.entries().is_empty() {
            return Err(Error::failed(format!("{} lists no entries", fetched.from)));
        }
        let (refreshed, addresses) = (Arc::clone(&site), addresses.to_vec());
        tokio::spawn(async move { refreshed.refresh(addresses, ttl).await });
        Ok(site)
    }

    async fn refresh(&self, addresses: Vec<SocketAddr>, mut ttl: u64) {
        loop {
            tokio::time::sleep(Duration::from_secs(ttl).max(MIN_REFRESH_INTERVAL)).await;
            let current = self.entries();
            let current = current.iter().map(|entry| entry.address);
            let candidates: Vec<SocketAddr> = addresses.iter().copied().chain(current).collect();
            // Without a response the last list stays in use, because callers cache it as well.
            if let Ok(fetched) = entries::fetch(&self.client, &candidates).await
                && !fetched.list.entries.is_empty()
            {
                ttl = fetched.list.ttl_seconds;
                let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
                *entries = Arc::new(sorted(fetched.list.entries));
            }
        }
    }

    fn entries(&self) -> Arc<Vec<Entry>> {
        Arc::clone(&self.entries.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Chooses the entry for a request that arrives at this time after the start of the load.
    pub(crate) fn choose_entry(&self, selection: VmSelection, at: Duration, choice: u64) -> Entry {
        let entries = self.entries();
        let unbounded_index = match selection {
            VmSelection::Even => u128::from(choice),
            VmSelection::One => 0,
            VmSelection::Moving(time) => at.as_nanos() / time.as_nanos().max(1),
        };
        let index = unbounded_index % entries.len() as u128;
        entries[usize::try_from(index).expect("the index is below the list length")].clone()
    }
}

fn sorted(mut entries: Vec<Entry>) -> Vec<Entry> {
    entries.sort_by(|a, b| a.vm.cmp(&b.vm));
    entries
}
