//! What must hold whatever fails.

use std::collections::{BTreeMap, BTreeSet};

use testkit::client::ClientResponse;
use testkit::expected_text;

use crate::calls::Done;
use crate::site::Site;

/// Counts and facts from callers.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    sent: u64,
    /// Answers by outcome and reason, as callers saw them.
    outcomes: BTreeMap<String, u64>,
    /// Ids that a daemon said were not run. None of them may have a run, unless it was answered
    /// otherwise as well.
    not_run: BTreeSet<String>,
    /// Findings from single answers.
    found: Vec<String>,
}

impl Oracle {
    pub(crate) fn sent(&mut self) {
        self.sent += 1;
    }

    pub(crate) fn summary(&self) -> String {
        let parts: Vec<_> = self
            .outcomes
            .iter()
            .map(|(name, count)| format!("{name} {count}"))
            .collect();
        format!("{} calls: {}", self.sent, parts.join(", "))
    }

    /// Takes the answer to a call.
    pub(crate) fn answered(&mut self, done: &Done) {
        let answer = match &done.answer {
            Ok(answer) => answer,
            Err(err) => {
                let kind = err.to_string();
                let kind = kind.split(':').next().unwrap_or("error").to_string();
                *self.outcomes.entry(kind).or_default() += 1;
                return;
            }
        };
        let outcome = answer.header("x-primrosechute-outcome").to_string();
        let reason = answer.header("x-primrosechute-reason");
        let key = format!("{outcome} {reason}").trim().to_string();
        *self.outcomes.entry(key).or_default() += 1;
        let id = answer.header("x-request-id").to_string();
        if answer.json()["not_run"] == true {
            self.not_run.insert(id.clone());
        }
        if let Some(problem) = wrong_answer(done, answer) {
            self.found.push(format!("request {id}: {problem}"));
        }
    }

    /// Checks the targets' records against what callers were told.
    pub(crate) fn check(&mut self, site: &Site) -> Vec<String> {
        let mut findings = std::mem::take(&mut self.found);
        let runs = site.runs();
        for (id, count) in &runs {
            if *count > 1 {
                findings.push(format!("request {id} ran {count} times"));
            }
            if self.not_run.contains(id) {
                findings.push(format!("request {id} ran though it was said not to"));
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

/// What is wrong with an answer that claims to be whole.
fn wrong_answer(done: &Done, answer: &ClientResponse) -> Option<String> {
    if !answer.status.is_success() {
        return None;
    }
    let has_error = answer
        .events
        .iter()
        .any(|event| event.kind.as_deref() == Some("error"));
    let streamed = !answer.events.is_empty();
    if has_error || !answer.is_complete() || (streamed && !answer.is_done()) {
        // Told to be incomplete, or cut with its daemon; the caller can see both.
        return None;
    }
    let Some(tokens) = done.tokens else {
        let id = answer.header("x-request-id");
        let own = answer.json()["request_id"] == id;
        return (!own).then(|| "the answer belongs to another request".to_string());
    };
    let expected = expected_text(done.call.sent_body(), tokens);
    (answer.text() != expected)
        .then(|| format!("{} of {} bytes", answer.text().len(), expected.len()))
}
