//! Counts of a load by workload, tier and workspace.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::call::Outcome;
use crate::mix::Mix;
use crate::result::{Percentiles, Row, Worst, ratio};

/// Longest time that the histograms tell apart, in microseconds.
const MAX_MICROS: u64 = 3_600_000_000;
/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Most reasons of an outcome that are counted one by one. The site chooses the reasons.
const MAX_REASONS: usize = 32;
/// Reason under which all others are counted.
const OTHER: &str = "other";

/// How one request ended, as its caller saw it.
#[derive(Debug)]
pub(crate) struct Record {
    /// Index of the workload.
    pub(crate) workload: usize,
    /// Request id, empty if nothing was sent.
    pub(crate) id: String,
    pub(crate) outcome: Outcome,
    pub(crate) reason: String,
    /// Time from the planned arrival to the first byte of the answer.
    pub(crate) first: Option<Duration>,
    /// Times between the events of a stream.
    pub(crate) gaps: Vec<Duration>,
    /// Output tokens of the answer.
    pub(crate) tokens: u64,
    pub(crate) resends: u32,
    pub(crate) resumes: u32,
}

impl Record {
    /// Whether the request was served with its first byte within the deadline, if it has one.
    pub(crate) fn is_in_time(&self, deadline: Option<Duration>) -> bool {
        let late = deadline
            .zip(self.first)
            .is_some_and(|(deadline, first)| first > deadline);
        self.outcome == Outcome::Served && !late
    }
}

/// Times in microseconds.
struct Times(Histogram<u64>);

impl Times {
    fn new() -> Self {
        let times = Histogram::new_with_bounds(1, MAX_MICROS, DIGITS);
        Times(times.expect("the bounds of the histogram are valid"))
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

struct Group {
    row: Row,
    first: Times,
    gaps: Times,
    ended: u64,
}

impl Group {
    fn new() -> Self {
        Group {
            row: Row::default(),
            first: Times::new(),
            gaps: Times::new(),
            ended: 0,
        }
    }

    fn add(&mut self, record: &Record, deadline: Option<Duration>) {
        self.ended += 1;
        let row = &mut self.row;
        row.resends += u64::from(record.resends);
        row.resumes += u64::from(record.resumes);
        let reasons = match record.outcome {
            Outcome::Served => {
                row.tokens_served += record.tokens;
                if record.is_in_time(deadline) {
                    row.served_in_time += 1;
                    row.tokens_in_time += record.tokens;
                } else {
                    row.served_late += 1;
                }
                if let Some(first) = record.first {
                    self.first.add(first);
                }
                for gap in &record.gaps {
                    self.gaps.add(*gap);
                }
                return;
            }
            Outcome::Shed => &mut row.shed,
            Outcome::Refused => &mut row.refused,
            Outcome::Failed => &mut row.failed,
            Outcome::Unknown => &mut row.unknown,
        };
        let full = reasons.len() >= MAX_REASONS && !reasons.contains_key(&record.reason);
        let reason = if full { OTHER } else { &record.reason };
        *reasons.entry(reason.to_owned()).or_default() += 1;
    }

    fn finish(self, measured: Duration) -> Row {
        let mut row = self.row;
        if row.sent > self.ended {
            let left = row.sent - self.ended;
            row.unknown.insert("unfinished".into(), left);
        }
        row.first_token_seconds = self.first.percentiles();
        row.token_gap_seconds = self.gaps.percentiles();
        row.goodput_tokens_per_second = ratio(row.tokens_in_time, 1) / measured.as_secs_f64();
        row
    }
}

/// Rows of a result.
pub(crate) struct Rows {
    pub(crate) total: Row,
    pub(crate) workloads: BTreeMap<String, Row>,
    pub(crate) tiers: BTreeMap<String, Row>,
    pub(crate) workspaces: BTreeMap<String, Row>,
    pub(crate) worst_workspace: Option<Worst>,
    pub(crate) send_lag_seconds: Option<Percentiles>,
}

/// Counts the requests of a load.
pub(crate) struct Tally {
    total: Group,
    workloads: Vec<Group>,
    tiers: BTreeMap<String, Group>,
    workspaces: BTreeMap<String, Group>,
    /// Labels and deadline of each workload.
    labels: Vec<Labels>,
    send_lag: Times,
}

struct Labels {
    name: String,
    tier: String,
    /// `None` on open routes.
    workspace: Option<String>,
    deadline: Option<Duration>,
}

impl Tally {
    pub(crate) fn new(mix: &Mix) -> Self {
        let labels = mix.workloads.iter().map(|workload| Labels {
            name: workload.name.clone(),
            tier: workload.tier_label().to_owned(),
            workspace: workload.workspace.clone(),
            deadline: workload.deadline,
        });
        let labels: Vec<Labels> = labels.collect();
        let groups = |label: fn(&Labels) -> Option<&String>| {
            let names = labels.iter().filter_map(label).cloned();
            names.map(|name| (name, Group::new())).collect()
        };
        Tally {
            total: Group::new(),
            workloads: labels.iter().map(|_| Group::new()).collect(),
            tiers: groups(|labels| Some(&labels.tier)),
            workspaces: groups(|labels| labels.workspace.as_ref()),
            send_lag: Times::new(),
            labels,
        }
    }

    /// Counts a request that is sent so long after its planned arrival.
    pub(crate) fn sent(&mut self, workload: usize, lag: Duration) {
        self.send_lag.add(lag);
        self.each(workload, |group, _| group.row.sent += 1);
    }

    pub(crate) fn ended(&mut self, record: &Record) {
        self.each(record.workload, |group, deadline| {
            group.add(record, deadline);
        });
    }

    fn each(&mut self, workload: usize, mut change: impl FnMut(&mut Group, Option<Duration>)) {
        let labels = &self.labels[workload];
        let groups = [
            Some(&mut self.total),
            self.workloads.get_mut(workload),
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

    /// Rows of the result. Requests that have not ended count as unknown.
    pub(crate) fn finish(self, measured: Duration) -> Rows {
        let rows = |groups: BTreeMap<String, Group>| -> BTreeMap<String, Row> {
            let rows = groups.into_iter();
            rows.map(|(name, group)| (name, group.finish(measured)))
                .collect()
        };
        let names = self.labels.into_iter().map(|labels| labels.name);
        let workspaces = rows(self.workspaces);
        Rows {
            total: self.total.finish(measured),
            workloads: rows(names.zip(self.workloads).collect()),
            tiers: rows(self.tiers),
            worst_workspace: Worst::of(&workspaces),
            workspaces,
            send_lag_seconds: self.send_lag.percentiles(),
        }
    }
}
