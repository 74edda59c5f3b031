use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::model::LoadReport;

/// Shortest time between two kept reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(5);

/// Past load reports, so that readers get one of the configured age.
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

    /// Keeps a report, in place of the last one if that is younger than the grain.
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

    /// The report that was true one lag ago, else the oldest one.
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
