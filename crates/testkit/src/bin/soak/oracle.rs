//! Checks what must hold under any fault.

use std::collections::{BTreeMap, BTreeSet};

use testkit::client::ClientResponse;
use testkit::expected_text;

use crate::calls::FinishedCall;
use crate::site::Site;

/// Counts calls and collects what responses state about their requests.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    sent: u64,
    /// Number of calls by the outcome and reason in their response, or by error.
    outcomes: BTreeMap<String, u64>,
    /// Ids of requests that a response reported as not run. None of them may have a run.
    not_run: BTreeSet<String>,
    /// Findings from single responses.
    response_findings: Vec<String>,
}

impl Oracle {
    pub(crate) fn record_sent(&mut self) {
        self.sent += 1;
    }

    pub(crate) fn summary(&self) -> String {
        let counts: Vec<_> = self
            .outcomes
            .iter()
            .map(|(name, count)| format!("{name} {count}"))
            .collect();
        format!("{} calls: {}", self.sent, counts.join(", "))
    }

    /// Records the result of a call and checks its response.
    pub(crate) fn record_result(&mut self, finished: &FinishedCall) {
        let response = match &finished.result {
            Ok(response) => response,
            Err(err) => {
                let kind = err.to_string();
                let kind = kind.split(':').next().unwrap_or("error").to_string();
                *self.outcomes.entry(kind).or_default() += 1;
                return;
            }
        };
        let outcome = response.header("x-primrosechute-outcome").to_string();
        let reason = response.header("x-primrosechute-reason");
        let key = format!("{outcome} {reason}").trim().to_string();
        *self.outcomes.entry(key).or_default() += 1;
        let id = response.header("x-request-id").to_string();
        if response.json()["not_run"] == true {
            self.not_run.insert(id.clone());
        }
        if let Some(problem) = response_mismatch(finished, response) {
            self.response_findings
                .push(format!("request {id}: {problem}"));
        }
    }

    /// Returns the findings from responses, and checks the runs that targets recorded against them.
    pub(crate) fn check(&mut self, site: &Site) -> Vec<String> {
        let mut findings = std::mem::take(&mut self.response_findings);
        let runs = site.runs();
        for (id, count) in &runs {
            if *count > 1 {
                findings.push(format!("request {id} ran {count} times"));
            }
            if self.not_run.contains(id) {
                findings.push(format!(
                    "request {id} ran although a response reported that it did not"
                ));
            }
        }
        for (name, engine) in &site.engines {
            let overloads = engine.stats().overloads;
            if overloads > 0 {
                findings.push(format!(
                    "{name} was overloaded while cold {overloads} times"
                ));
            }
        }
        findings
    }
}

/// How a response that appears complete differs from the expected one, if it does.
fn response_mismatch(finished: &FinishedCall, response: &ClientResponse) -> Option<String> {
    if !response.status.is_success() {
        return None;
    }
    let has_error = response
        .events
        .iter()
        .any(|event| event.kind.as_deref() == Some("error"));
    let streamed = !response.events.is_empty();
    if has_error || !response.is_complete() || (streamed && !response.is_done()) {
        // The response reports an error, or was cut off when its daemon ended. The caller can
        // detect both.
        return None;
    }
    let Some(max_tokens) = finished.max_tokens else {
        let id = response.header("x-request-id");
        let matches_id = response.json()["request_id"] == id;
        return (!matches_id).then(|| "the response belongs to another request".to_string());
    };
    let expected = expected_text(finished.call.sent_body(), max_tokens);
    (response.text() != expected).then(|| {
        format!(
            "the text of {} bytes differs from the expected {} bytes",
            response.text().len(),
            expected.len()
        )
    })
}
