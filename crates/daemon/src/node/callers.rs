//! Queries of callers: entries and outcomes.

use member::Incarnation;
use serde::Serialize;
use sheet::Name;
use wire::{Body, OutcomeAsk};

use super::{Node, lock};

/// An address for callers, as `/v1/entries` shows it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Entry {
    vm: Name,
    zone: Name,
    address: String,
    incarnation: String,
}

impl Entry {
    pub(crate) fn vm(&self) -> &Name {
        &self.vm
    }
}

impl Node {
    /// Outcome and reason of a request of this incarnation.
    pub(crate) fn outcome(&self, id: &str) -> Option<(String, String)> {
        let record = self.with_table(|table| table.get(id))?;
        Some(match record.buffer.outcome() {
            Some(outcome) => (outcome.label().into(), outcome.reason().into()),
            None => ("pending".into(), String::new()),
        })
    }

    /// Asks another incarnation for the outcome of its request.
    pub(crate) async fn query_outcome(
        &self,
        id: &Name,
        incarnation: Incarnation,
    ) -> Option<(String, String)> {
        let vm = self.peers.vm_of(incarnation)?;
        let ask = Body::OutcomeAsk(OutcomeAsk { id: id.to_string() });
        let wait = self.settings.timing.silent;
        match self.peers.call(&vm, ask, wait).await {
            Ok(Body::OutcomeReply(reply)) if !reply.outcome.is_empty() => {
                Some((reply.outcome, reply.reason))
            }
            Ok(_) => None,
            Err(err) => {
                log::info!("peer: the outcome of request {id} is not known: {err}");
                None
            }
        }
    }

    /// Addresses that callers may use.
    pub(crate) fn entries(&self) -> Vec<Entry> {
        let peer_id_prefixes = lock(&self.peer_id_prefixes).clone();
        let entry = |entry: member::Entry| Entry {
            address: entry.address.to_string(),
            incarnation: peer_id_prefixes
                .get(&entry.vm)
                .unwrap_or(&entry.incarnation)
                .to_string(),
            vm: entry.vm,
            zone: entry.zone,
        };
        let now = self.now();
        let others = self
            .fleet
            .with_view(|view| view.entries(now).map(entry).collect::<Vec<_>>());
        let own = Entry {
            vm: self.settings.vm.clone(),
            zone: self.settings.zone.clone(),
            address: self.settings.entry.to_string(),
            incarnation: self.id_prefix().to_string(),
        };
        let own = self.accepts_calls().then_some(own);
        let others = others
            .into_iter()
            .filter(|entry| entry.vm != self.settings.vm);
        own.into_iter().chain(others).collect()
    }

    pub(super) fn id_prefix(&self) -> Incarnation {
        self.with_table(|table| table.prefix())
    }

    /// Requests that have not ended.
    pub(crate) fn running(&self) -> usize {
        self.with_table(|table| table.running())
    }
}
