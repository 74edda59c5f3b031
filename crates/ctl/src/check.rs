//! Checks of the answers that a load gets.

use std::time::Duration;

use serde::Deserialize;
use tokio::time::Instant;

use crate::call::{Ended, Outcome};

/// What was seen of a stream.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub(crate) first: Option<Instant>,
    last: Option<Instant>,
    pub(crate) events: u64,
    pub(crate) usage: Option<u64>,
    pub(crate) gaps: Vec<Duration>,
    /// An event named another request.
    foreign: bool,
}

impl Seen {
    /// Takes an event. With an id, the event must name it.
    pub(crate) fn take(&mut self, data: &str, id: Option<&String>) {
        let now = Instant::now();
        self.foreign |= id.is_some_and(|id| !data.contains(id.as_str()));
        // The event with the usage is no token.
        if data.contains("\"usage\":{") {
            self.usage = usage(data.as_bytes());
            return;
        }
        self.events += 1;
        self.first.get_or_insert(now);
        if let Some(last) = self.last.replace(now) {
            self.gaps.push(now.duration_since(last));
        }
    }
}

/// Output tokens that a model reports.
pub(crate) fn usage(body: &[u8]) -> Option<u64> {
    #[derive(Deserialize)]
    struct Answer {
        usage: Usage,
    }
    #[derive(Deserialize)]
    struct Usage {
        completion_tokens: u64,
    }
    let answer: Answer = serde_json::from_slice(body).ok()?;
    Some(answer.usage.completion_tokens)
}

/// The outcome of a request. An answer that is not the whole answer to this request has failed,
/// whatever its header says.
pub(crate) fn judge(ended: &Ended, id: &str, seen: &Seen, answer_ids: bool) -> (Outcome, String) {
    if ended.outcome != Outcome::Served {
        return (ended.outcome, ended.reason.clone());
    }
    let body = String::from_utf8_lossy(&ended.body);
    let foreign = seen.foreign || (answer_ids && ended.events == 0 && !body.contains(id));
    let fault = if ended.answered_id.as_deref() != Some(id) {
        "wrong_id"
    } else if !ended.whole {
        "not_whole"
    } else if foreign {
        "wrong_answer"
    } else if ended.status.is_some_and(|status| status >= 400) {
        "error_status"
    } else {
        return (Outcome::Served, String::new());
    };
    (Outcome::Failed, fault.into())
}
