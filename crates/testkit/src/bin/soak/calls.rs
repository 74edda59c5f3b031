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
const MAX_OPEN: usize = 24;

/// Longest wait of a caller.
const PATIENCE: Duration = Duration::from_secs(20);

/// A call that was answered, or not.
pub(crate) struct Done {
    pub(crate) call: Call,
    /// Tokens that it asked for; `None` for plain calls.
    pub(crate) tokens: Option<u32>,
    pub(crate) answer: Result<ClientResponse, ClientError>,
}

pub(crate) struct Caller {
    rng: SmallRng,
    open: JoinSet<Done>,
    seed: u64,
    /// Ids that were answered, with their calls.
    ids: Vec<(String, Call, Option<u32>)>,
}

impl Caller {
    pub(crate) fn new(rng: SmallRng) -> Self {
        Caller {
            rng,
            open: JoinSet::new(),
            seed: 0,
            ids: Vec::new(),
        }
    }

    /// Sends one call, or takes one answer if enough calls are open.
    pub(crate) async fn step(&mut self, site: &Site, oracle: &mut Oracle) {
        if self.open.len() >= MAX_OPEN {
            if let Some(done) = self.open.join_next().await {
                self.take(&done.expect("a caller does not panic"), oracle);
            }
            return;
        }
        while let Some(done) = self.open.try_join_next() {
            self.take(&done.expect("a caller does not panic"), oracle);
        }
        let names = site.fleet.names();
        let vm = &names[self.rng.random_range(0..names.len())];
        let client = site.fleet.client(vm);
        let (call, tokens) = self.next_call();
        oracle.sent();
        self.open.spawn(async move {
            let answer = client.call(call.clone()).await;
            Done {
                call,
                tokens,
                answer,
            }
        });
        tokio::time::sleep(Duration::from_millis(self.rng.random_range(1..30))).await;
    }

    /// Waits for all open calls.
    pub(crate) async fn finish(&mut self, oracle: &mut Oracle) {
        while let Some(done) = self.open.join_next().await {
            self.take(&done.expect("a caller does not panic"), oracle);
        }
    }

    /// A new call, or now and then an old one with its id, which may go to any VM.
    fn next_call(&mut self) -> (Call, Option<u32>) {
        if !self.ids.is_empty() && self.rng.random_bool(0.2) {
            let (id, call, tokens) = &self.ids[self.rng.random_range(0..self.ids.len())];
            return (call.clone().request_id(id), *tokens);
        }
        self.seed += 1;
        let call = if self.rng.random_bool(0.25) {
            return (
                Call::json("/orders", &json!({ "order": self.seed }))
                    .key(KEY)
                    .timeout(PATIENCE),
                None,
            );
        } else {
            let tokens = self.rng.random_range(1..40);
            let body = json!({
                "prompt": format!("{} ", self.seed).repeat(self.rng.random_range(1..200)),
                "max_tokens": tokens,
                "stream": self.rng.random_bool(0.5),
            });
            (Call::json("/v1/completions", &body), Some(tokens))
        };
        (call.0.key(KEY).timeout(PATIENCE), call.1)
    }

    fn take(&mut self, done: &Done, oracle: &mut Oracle) {
        if let Ok(answer) = &done.answer {
            let id = answer.header("x-request-id").to_string();
            if !id.is_empty() {
                self.ids.push((id, done.call.clone(), done.tokens));
            }
        }
        oracle.answered(done);
    }
}
