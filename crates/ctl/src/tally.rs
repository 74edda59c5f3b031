//! Statistics of a load by workload, tier and workspace.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::call::Outcome;
use crate::mix::Mix;
use crate::result::{GroupStats, Percentiles, WorstWorkspace, ratio};

/// Longest time that the histograms record, in microseconds; longer times count as this one.
const MAX_MICROS: u64 = 3_600_000_000;
/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Most reasons of an outcome that are counted separately. The limit is needed because the reasons
/// come from the site.
const MAX_REASONS: usize = 32;
/// Reason under which all further reasons are counted.
const OTHER_REASON: &str = "other";

/// How one request ended, as its caller saw it.
#[derive(Debug)]
pub(crate) struct RequestRecord {
    /// Index of the workload.
    pub(crate) workload_index: usize,
    /// Request id, empty if nothing was sent.
    pub(crate) id: String,
    pub(crate) outcome: Outcome,
    pub(crate) reason: String,
    /// Time from the planned arrival to the first event of a stream, or to the end of any other
    /// response.
    pub(crate) first_byte: Option<Duration>,
    /// Times between consecutive events of a stream.
    pub(crate) token_gaps: Vec<Duration>,
    /// Output tokens of the response.
    pub(crate) tokens: u64,
    pub(crate) resends: u32,
    pub(crate) resumes: u32,
}

impl RequestRecord {
    /// Whether the request was served with its first byte within the deadline, or without a
    /// deadline.
    pub(crate) fn is_in_time(&self, deadline: Option<Duration>) -> bool {
        let late = deadline
            .zip(self.first_byte)
            .is_some_and(|(deadline, first_byte)| first_byte > deadline);
        self.outcome == Outcome::Served && !late
    }
}

/// Histogram of times in microseconds.
struct TimeHistogram(Histogram<u64>);

impl TimeHistogram {
    fn new() -> Self {
        let times = Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS);
        TimeHistogram(times.expect("the histogram bounds are valid"))
    }

    fn add(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS);
        self.0.saturating_record(micros.max(1));
    }

    fn percentiles(&self) -> Option<Percentiles> {
        let at = |quantile| Duration::from_micros(self.0.value_at_quantile(quantile)).as_secs_f64();
        (!self.0.is_empty()).then(|| Percentiles {
            count: self.0.len(),
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
        })
    }
}

/// Running statistics of one group of requests.
struct GroupTally {
    stats: GroupStats,
    first_byte: TimeHistogram,
    token_gaps: TimeHistogram,
    ended: u64,
}

impl GroupTally {
    fn new() -> Self {
        GroupTally {
            stats: GroupStats::default(),
            first_byte: TimeHistogram::new(),
            token_gaps: TimeHistogram::new(),
            ended: 0,
        }
    }

    fn add(&mut self, record: &RequestRecord, deadline: Option<Duration>) {
        self.ended += 1;
        let stats = &mut self.stats;
        stats.resends += u64::from(record.resends);
        stats.resumes += u64::from(record.resumes);
        let reasons = match record.outcome {
            Outcome::Served => {
                stats.tokens_served += record.tokens;
                if record.is_in_time(deadline) {
                    stats.served_in_time += 1;
                    stats.tokens_in_time += record.tokens;
                } else {
                    stats.served_late += 1;
                }
                if let Some(first_byte) = record.first_byte {
                    self.first_byte.add(first_byte);
                }
                for gap in &record.token_gaps {
                    self.token_gaps.add(*gap);
                }
                return;
            }
            Outcome::Shed => &mut stats.shed,
            Outcome::Refused => &mut stats.refused,
            Outcome::Failed => &mut stats.failed,
            Outcome::Unknown => &mut stats.unknown,
        };
        let full = reasons.len() >= MAX_REASONS && !reasons.contains_key(&record.reason);
        let reason = if full { OTHER_REASON } else { &record.reason };
        *reasons.entry(reason.to_owned()).or_default() += 1;
    }

    fn finish(self, measured: Duration) -> GroupStats {
        let mut stats = self.stats;
        if stats.sent > self.ended {
            let unfinished = stats.sent - self.ended;
            stats.unknown.insert("unfinished".into(), unfinished);
        }
        stats.first_token_seconds = self.first_byte.percentiles();
        stats.token_gap_seconds = self.token_gaps.percentiles();
        stats.goodput_tokens_per_second = ratio(stats.tokens_in_time, 1) / measured.as_secs_f64();
        stats
    }
}

/// The parts of a load result that come from the tally.
pub(crate) struct ResultGroups {
    pub(crate) total: GroupStats,
    pub(crate) workloads: BTreeMap<String, GroupStats>,
    pub(crate) tiers: BTreeMap<String, GroupStats>,
    pub(crate) workspaces: BTreeMap<String, GroupStats>,
    pub(crate) worst_workspace: Option<WorstWorkspace>,
    pub(crate) send_lag_seconds: Option<Percentiles>,
}

/// Counts the measured requests of a load.
pub(crate) struct Tally {
    total: GroupTally,
    workloads: Vec<GroupTally>,
    tiers: BTreeMap<String, GroupTally>,
    workspaces: BTreeMap<String, GroupTally>,
    /// Labels and deadline of each workload.
    labels: Vec<WorkloadLabels>,
    send_lag: TimeHistogram,
}

struct WorkloadLabels {
    name: String,
    tier: String,
    /// `None` for routes that need no key.
    workspace: Option<String>,
    deadline: Option<Duration>,
}

impl Tally {
    pub(crate) fn new(mix: &Mix) -> Self {
        let labels = mix.workloads.iter().map(|workload| WorkloadLabels {
            name: workload.name.clone(),
            tier: workload.tier_label().to_owned(),
            workspace: workload.workspace.clone(),
            deadline: workload.deadline,
        });
        let labels: Vec<WorkloadLabels> = labels.collect();
        let groups = |label: fn(&WorkloadLabels) -> Option<&String>| {
            let names = labels.iter().filter_map(label).cloned();
            names.map(|name| (name, GroupTally::new())).collect()
        };
        Tally {
            total: GroupTally::new(),
            workloads: labels.iter().map(|_| GroupTally::new()).collect(),
            tiers: groups(|labels| Some(&labels.tier)),
            workspaces: groups(|labels| labels.workspace.as_ref()),
            send_lag: TimeHistogram::new(),
            labels,
        }
    }

    /// Counts a request when it is sent. `lag` is the delay since its planned arrival.
    pub(crate) fn record_sent(&mut self, workload_index: usize, lag: Duration) {
        self.send_lag.add(lag);
        self.update_groups(workload_index, |group, _| group.stats.sent += 1);
    }

    /// Counts the end of a request.
    pub(crate) fn record_ended(&mut self, record: &RequestRecord) {
        self.update_groups(record.workload_index, |group, deadline| {
            group.add(record, deadline);
        });
    }

    /// Changes the total and the groups of a workload.
    fn update_groups(
        &mut self,
        workload_index: usize,
        mut change: impl FnMut(&mut GroupTally, Option<Duration>),
    ) {
        let labels = &self.labels[workload_index];
        let groups = [
            Some(&mut self.total),
            self.workloads.get_mut(workload_index),
            self.tiers.get_mut(&labels.tier),
            labels
                .workspace
                .as_ref()
                .and_then(|name| self.workspaces.get_mut(name)),
        ];
        for group in groups.into_iter().flatten() {
            change(group, labels.deadline);
        }
    }

    /// Computes the result. Requests that have not ended count as unknown.
    pub(crate) fn finish(self, measured: Duration) -> ResultGroups {
        let finish_all = |groups: BTreeMap<String, GroupTally>| -> BTreeMap<String, GroupStats> {
            let groups = groups.into_iter();
            groups
                .map(|(name, group)| (name, group.finish(measured)))
                .collect()
        };
        let names = self.labels.into_iter().map(|labels| labels.name);
        let workspaces = finish_all(self.workspaces);
        ResultGroups {
            total: self.total.finish(measured),
            workloads: finish_all(names.zip(self.workloads).collect()),
            tiers: finish_all(self.tiers),
            worst_workspace: WorstWorkspace::among(&workspaces),
            workspaces,
            send_lag_seconds: self.send_lag.percentiles(),
        }
    }
}
