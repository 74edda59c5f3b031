use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::model::LoadReport;

/// Minimum time between two stored reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(5);

/// History of load reports, so that readers can be given a report of the configured age.
pub(crate) struct LoadHistory {
    lag: Duration,
    reports: VecDeque<(Instant, LoadReport)>,
}

impl LoadHistory {
    pub(crate) fn new(lag: Duration) -> Self {
        Self {
            lag,
            reports: VecDeque::new(),
        }
    }

    /// Stores a report. It replaces the last one if less than `MIN_REPORT_INTERVAL` has passed
    /// since the report before that.
    pub(crate) fn push(&mut self, now: Instant, report: LoadReport) {
        let n = self.reports.len();
        if n >= 2 && now - self.reports[n - 2].0 < MIN_REPORT_INTERVAL {
            self.reports[n - 1].1 = report;
            return;
        }
        self.reports.push_back((now, report));
        while self.reports.len() > 1 && now - self.reports[1].0 >= self.lag {
            self.reports.pop_front();
        }
    }

    /// Returns the report that was current one lag ago, or the oldest one if none is that old.
    pub(crate) fn delayed(&self, now: Instant) -> Option<LoadReport> {
        let age = |at: Instant| now.saturating_duration_since(at);
        let old = self
            .reports
            .iter()
            .rev()
            .find(|(at, _)| age(*at) >= self.lag);
        let (at, report) = old.or_else(|| self.reports.front())?;
        let age = age(*at).min(self.lag);
        Some(LoadReport {
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            ..*report
        })
    }
}
