//! Callers: new requests through random VMs, and resends of old ids.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use serde_json::json;
use testkit::client::{Call, ClientError, ClientResponse};
use tokio::task::JoinSet;

use crate::oracle::Oracle;
use crate::site::{KEY, Site};

/// Calls at once.
const MAX_CALLS_IN_FLIGHT: usize = 24;

/// Longest wait of a caller.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// A call that was answered, or not.
pub(crate) struct FinishedCall {
    pub(crate) call: Call,
    /// Tokens that it asked for; `None` for plain calls.
    pub(crate) max_tokens: Option<u32>,
    pub(crate) result: Result<ClientResponse, ClientError>,
}

pub(crate) struct CallGenerator {
    rng: SmallRng,
    in_flight: JoinSet<FinishedCall>,
    created_calls: u64,
    /// Ids that were answered, with their calls.
    answered_calls: Vec<(String, Call, Option<u32>)>,
}

impl CallGenerator {
    pub(crate) fn new(rng: SmallRng) -> Self {
        CallGenerator {
            rng,
            in_flight: JoinSet::new(),
            created_calls: 0,
            answered_calls: Vec::new(),
        }
    }

    /// Sends one call, or takes one answer if enough calls are open.
    pub(crate) async fn step(&mut self, site: &Site, oracle: &mut Oracle) {
        if self.in_flight.len() >= MAX_CALLS_IN_FLIGHT {
            if let Some(finished) = self.in_flight.join_next().await {
                self.record_result(&finished.expect("a caller does not panic"), oracle);
            }
            return;
        }
        while let Some(finished) = self.in_flight.try_join_next() {
            self.record_result(&finished.expect("a caller does not panic"), oracle);
        }
        let vms = site.fleet.names();
        let vm = &vms[self.rng.random_range(0..vms.len())];
        let client = site.fleet.client(vm);
        let (call, max_tokens) = self.next_call();
        oracle.record_sent();
        self.in_flight.spawn(async move {
            let result = client.call(call.clone()).await;
            FinishedCall {
                call,
                max_tokens,
                result,
            }
        });
        tokio::time::sleep(Duration::from_millis(self.rng.random_range(1..30))).await;
    }

    /// Waits for all open calls.
    pub(crate) async fn finish(&mut self, oracle: &mut Oracle) {
        while let Some(finished) = self.in_flight.join_next().await {
            self.record_result(&finished.expect("a caller does not panic"), oracle);
        }
    }

    /// A new call, or now and then an old one with its id, which may go to any VM.
    fn next_call(&mut self) -> (Call, Option<u32>) {
        if !self.answered_calls.is_empty() && self.rng.random_bool(0.2) {
            let (id, call, max_tokens) =
                &self.answered_calls[self.rng.random_range(0..self.answered_calls.len())];
            return (call.clone().request_id(id), *max_tokens);
        }
        self.created_calls += 1;
        let call = if self.rng.random_bool(0.25) {
            return (
                Call::json("/orders", &json!({ "order": self.created_calls }))
                    .key(KEY)
                    .timeout(CALL_TIMEOUT),
                None,
            );
        } else {
            let max_tokens = self.rng.random_range(1..40);
            let body = json!({
                "prompt": format!("{} ", self.created_calls).repeat(self.rng.random_range(1..200)),
                "max_tokens": max_tokens,
                "stream": self.rng.random_bool(0.5),
            });
            (Call::json("/v1/completions", &body), Some(max_tokens))
        };
        (call.0.key(KEY).timeout(CALL_TIMEOUT), call.1)
    }

    fn record_result(&mut self, finished: &FinishedCall, oracle: &mut Oracle) {
        if let Ok(response) = &finished.result {
            let id = response.header("x-request-id").to_string();
            if !id.is_empty() {
                self.answered_calls
                    .push((id, finished.call.clone(), finished.max_tokens));
            }
        }
        oracle.record_result(finished);
    }
}
