use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::engine::{RunEnd, RunRecord};

/// Work done by the engines during a measurement, and how much of it was wasted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineWork {
    /// Number of runs.
    pub runs: u64,
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens computed for requests that were not served in time, and by all runs of a
    /// request except the first complete one.
    pub wasted_tokens: u64,
    /// Maximum number of runs with the same request id.
    pub most_runs: u64,
    /// Number of request ids with more than one run.
    pub repeated_ids: u64,
}

impl EngineWork {
    /// Sums up the runs of all engines. `in_time` contains the ids of the requests that were served
    /// in time.
    #[must_use]
    pub fn from_records<'a>(
        records: impl IntoIterator<Item = &'a RunRecord>,
        in_time: &BTreeSet<String>,
    ) -> Self {
        let mut work = EngineWork::default();
        let mut runs: BTreeMap<&str, u64> = BTreeMap::new();
        let mut served_ids = BTreeSet::new();
        for record in records {
            let id = record.request_id.as_str();
            work.runs += 1;
            work.prefill_tokens += record.prefilled_tokens;
            *runs.entry(id).or_default() += 1;
            let useful = record.end == Some(RunEnd::Complete) && in_time.contains(id);
            if !useful || !served_ids.insert(id) {
                work.wasted_tokens += record.prefilled_tokens;
            }
        }
        work.most_runs = runs.values().copied().max().unwrap_or(0);
        work.repeated_ids = runs.values().filter(|n| **n > 1).count() as u64;
        work
    }

    /// Fraction of the computed prompt tokens that was wasted.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
    pub fn wasted_share(&self) -> f64 {
        self.wasted_tokens as f64 / self.prefill_tokens.max(1) as f64
    }
}
