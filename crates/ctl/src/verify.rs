//! Verification of the responses that a load receives.

use std::time::Duration;

use serde::Deserialize;
use tokio::time::Instant;

use crate::call::{CallResult, Outcome};

/// Events of a stream received so far.
#[derive(Debug, Default)]
pub(crate) struct ResponseProgress {
    pub(crate) first_event: Option<Instant>,
    last_event: Option<Instant>,
    pub(crate) events: u64,
    pub(crate) reported_tokens: Option<u64>,
    pub(crate) event_gaps: Vec<Duration>,
    /// Whether an event did not contain the id of the request.
    names_other_request: bool,
}

impl ResponseProgress {
    /// Records an event. With an expected id, the event must contain it.
    pub(crate) fn record_event(&mut self, data: &str, expected_id: Option<&String>) {
        let now = Instant::now();
        self.names_other_request |= expected_id.is_some_and(|id| !data.contains(id.as_str()));
        // The event that reports the usage is not a token.
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

/// Number of output tokens that a model reports in its response.
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

/// Outcome of a request and its reason. A response that claims to be served counts as failed if it
/// is incomplete, belongs to another request, or has an error status.
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
