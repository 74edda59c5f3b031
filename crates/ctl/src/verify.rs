//! Checks of the answers that a load gets.

use std::time::Duration;

use serde::Deserialize;
use tokio::time::Instant;

use crate::call::{CallResult, Outcome};

/// What was seen of a stream.
#[derive(Debug, Default)]
pub(crate) struct ResponseProgress {
    pub(crate) first_event: Option<Instant>,
    last_event: Option<Instant>,
    pub(crate) events: u64,
    pub(crate) reported_tokens: Option<u64>,
    pub(crate) event_gaps: Vec<Duration>,
    /// An event named another request.
    names_other_request: bool,
}

impl ResponseProgress {
    /// Takes an event. With an id, the event must name it.
    pub(crate) fn record_event(&mut self, data: &str, expected_id: Option<&String>) {
        let now = Instant::now();
        self.names_other_request |= expected_id.is_some_and(|id| !data.contains(id.as_str()));
        // The event with the usage is no token.
        if data.contains("\"usage\":{") {
            self.reported_tokens = completion_tokens(data.as_bytes());
            return;
        }
        self.events += 1;
        self.first_event.get_or_insert(now);
        if let Some(last_event) = self.last_event.replace(now) {
            self.event_gaps.push(now.duration_since(last_event));
        }
    }
}

/// Output tokens that a model reports.
pub(crate) fn completion_tokens(body: &[u8]) -> Option<u64> {
    #[derive(Deserialize)]
    struct Completion {
        usage: Usage,
    }
    #[derive(Deserialize)]
    struct Usage {
        completion_tokens: u64,
    }
    let completion: Completion = serde_json::from_slice(body).ok()?;
    Some(completion.usage.completion_tokens)
}

/// The outcome of a request. An answer that is not the whole answer to this request has failed,
/// whatever its header says.
pub(crate) fn verified_outcome(
    result: &CallResult,
    id: &str,
    progress: &ResponseProgress,
    answer_ids: bool,
) -> (Outcome, String) {
    if result.outcome != Outcome::Served {
        return (result.outcome, result.reason.clone());
    }
    let body = String::from_utf8_lossy(&result.body);
    let names_other_request =
        progress.names_other_request || (answer_ids && result.events == 0 && !body.contains(id));
    let reason = if result.response_request_id.as_deref() != Some(id) {
        "wrong_id"
    } else if !result.complete {
        "not_whole"
    } else if names_other_request {
        "wrong_answer"
    } else if result.status.is_some_and(|status| status >= 400) {
        "error_status"
    } else {
        return (Outcome::Served, String::new());
    };
    (Outcome::Failed, reason.into())
}
