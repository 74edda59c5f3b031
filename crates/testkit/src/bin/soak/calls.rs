//! Generates load: new requests through random VMs, and resends under the ids of earlier ones.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use serde_json::json;
use testkit::client::{Call, ClientError, ClientResponse};
use tokio::task::JoinSet;

use crate::oracle::Oracle;
use crate::site::{KEY, Site};

/// Maximum number of calls in flight.
const MAX_CALLS_IN_FLIGHT: usize = 24;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// A call with its response or error.
pub(crate) struct FinishedCall {
    pub(crate) call: Call,
    /// Requested output tokens; `None` for calls to the plain service.
    pub(crate) max_tokens: Option<u32>,
    pub(crate) result: Result<ClientResponse, ClientError>,
}

pub(crate) struct CallGenerator {
    rng: SmallRng,
    in_flight: JoinSet<FinishedCall>,
    created_calls: u64,
    /// Calls with the request ids from their responses and their requested output tokens.
    resendable_calls: Vec<(String, Call, Option<u32>)>,
}

impl CallGenerator {
    pub(crate) fn new(rng: SmallRng) -> Self {
        CallGenerator {
            rng,
            in_flight: JoinSet::new(),
            created_calls: 0,
            resendable_calls: Vec::new(),
        }
    }

    /// Sends one call, or waits for one result if the maximum number of calls is in flight.
    pub(crate) async fn step(&mut self, site: &Site, oracle: &mut Oracle) {
        if self.in_flight.len() >= MAX_CALLS_IN_FLIGHT {
            if let Some(finished) = self.in_flight.join_next().await {
                self.record_result(
                    &finished.expect("the task of a call does not panic"),
                    oracle,
                );
            }
            return;
        }
        while let Some(finished) = self.in_flight.try_join_next() {
            self.record_result(
                &finished.expect("the task of a call does not panic"),
                oracle,
            );
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

    /// Waits for the results of all calls in flight.
    pub(crate) async fn finish(&mut self, oracle: &mut Oracle) {
        while let Some(finished) = self.in_flight.join_next().await {
            self.record_result(
                &finished.expect("the task of a call does not panic"),
                oracle,
            );
        }
    }

    /// Returns a new call, or sometimes an earlier one to be resent under its id. Either may go
    /// to any VM.
    fn next_call(&mut self) -> (Call, Option<u32>) {
        if !self.resendable_calls.is_empty() && self.rng.random_bool(0.2) {
            let (id, call, max_tokens) =
                &self.resendable_calls[self.rng.random_range(0..self.resendable_calls.len())];
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
                self.resendable_calls
                    .push((id, finished.call.clone(), finished.max_tokens));
            }
        }
        oracle.record_result(finished);
    }
}
