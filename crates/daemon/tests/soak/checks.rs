//! Checks of the system's guarantees against what callers and workers observed.
//!
//! Each check returns findings that begin with a code for the kind of violation.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::fleet::{
    BURST, COLD_PART, COLD_PER_S, COLD_SLACK, COLD_START, KEYS, RATE, RATE_PART, RATE_SLACK,
    RATE_WINDOW, REPEATS_RATIO, REPEATS_SLACK, REPEATS_WINDOW, TIMEOUT, ZONES,
};
use super::load::{Call, CallResult, Kind};
use super::timeline::{Condition, Timeline};
use crate::platform_support::echo::{Run, event_text};
use crate::platform_support::worker::STREAM_EVENTS;

/// Time within which a change of the store must take effect, and time after which an evacuated zone
/// must get no more runs.
const CHANGE_LIMIT: Duration = Duration::from_secs(2);
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);
/// Time after the store is available again within which a member has received missed changes.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(4);
/// Time after the time limit of a request within which its caller must have a response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);
/// Time within which a run ends after its caller disconnected, and the share of runs that may take
/// longer.
const CANCEL_LIMIT: Duration = Duration::from_millis(500);
const LATE_CANCEL_SHARE: f64 = 0.25;

/// Window of the limit that a worker names, what it may get beyond it, and the time after which it is
/// counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_TOLERANCE: f64 = 1.5;
const LIMIT_TOLERANCE_RUNS: f64 = 5.0;
const LIMIT_STABLE: Duration = Duration::from_secs(3);

/// What was observed in one run of the soak test.
pub struct Observations<'a> {
    pub calls: &'a [Call],
    /// Runs by worker.
    pub runs: &'a [Vec<Run>],
    pub timeline: &'a Timeline,
    pub started: Instant,
}

impl Observations<'_> {
    /// Runs all checks and returns their findings.
    pub fn check(&self) -> Vec<String> {
        let mut runs_by_id: HashMap<&str, Vec<(usize, &Run)>> = HashMap::new();
        for (worker, runs) in self.runs.iter().enumerate() {
            for run in runs {
                runs_by_id.entry(&run.id).or_default().push((worker, run));
            }
        }
        let mut findings = Vec::new();
        for call in self.calls {
            let runs = runs_by_id
                .get(call.id.as_str())
                .map_or(&[][..], Vec::as_slice);
            for finding in [
                check_runs(call, runs),
                self.check_response(call, runs),
                self.check_response_time(call),
                self.check_changes(call, runs),
            ]
            .into_iter()
            .flatten()
            {
                let at = (call.sent - self.started).as_secs_f64();
                let Call {
                    id, member, kind, ..
                } = call;
                findings.push(format!("{at:.3} {finding}: {kind:?} {id} at {member}"));
            }
        }
        findings.extend(self.check_rate(&runs_by_id));
        findings.extend(self.check_cold_sends());
        findings.extend(self.check_named_limits());
        findings.extend(self.check_repeats(&runs_by_id));
        findings.extend(self.check_abandoned_runs(&runs_by_id));
        findings
    }

    /// Responses are complete, belong to their request, and refuse it only if it did not run.
    fn check_response(&self, call: &Call, runs: &[(usize, &Run)]) -> Option<String> {
        let disturbed = self
            .timeline
            .member_was_down(call.member, call.sent, call.ended);
        let response = match &call.result {
            CallResult::Response(response) => response,
            CallResult::Closed if !runs.is_empty() && !disturbed => {
                return Some("LOST closed without an answer after it was dispatched".into());
            }
            CallResult::Closed | CallResult::CallerLeft | CallResult::TimedOut => return None,
        };
        match response.status {
            200 if !response.whole => {
                let excused = disturbed
                    || (call.kind.is_stream()
                        && (self.worker_impaired(call) || call.ended - call.sent >= TIMEOUT));
                let correct_prefix = (1..=STREAM_EVENTS)
                    .map(|n| event_text(&call.id, n))
                    .collect::<String>()
                    .starts_with(&response.body);
                if call.kind.is_stream() && !correct_prefix {
                    return Some(format!("ORDER of the events {:?}", response.body));
                }
                (!excused).then(|| "LOST the answer is truncated".into())
            }
            200 if call.kind.is_stream() => {
                let expected: String = (1..=STREAM_EVENTS)
                    .map(|n| event_text(&call.id, n))
                    .collect();
                (response.body != expected)
                    .then(|| format!("ORDER of the events {:?}", response.body))
            }
            200 if response.body != call.id => {
                Some(format!("MIXED the answer is {:?}", response.body))
            }
            200 if runs.is_empty() => Some("MIXED an answer without a run".into()),
            200 | 500 | 502 | 504 => None,
            408 | 421 | 429 | 503 if runs.is_empty() => None,
            status @ (408 | 421 | 429 | 503) => Some(format!("REFUSED with {status}, and it ran")),
            status @ (401 | 403) => {
                let withdrawn =
                    self.timeline
                        .overlaps(call.sent, call.ended, CHANGE_LIMIT, |condition| {
                            condition == Condition::KeyWithdrawn
                        });
                let allowed = call.key == KEYS[1]
                    && (withdrawn
                        || self.timeline.may_miss_changes(
                            call.member,
                            call.sent,
                            call.ended,
                            CATCH_UP_LIMIT,
                        ));
                (!allowed).then(|| format!("DENIED with {status}"))
            }
            status => Some(format!("DENIED with {status}: {}", response.body)),
        }
    }

    fn worker_impaired(&self, call: &Call) -> bool {
        // A broken connection may be detected late.
        self.timeline
            .overlaps(call.sent, call.ended, TIMEOUT, |condition| {
                matches!(
                    condition,
                    Condition::WorkerImpaired | Condition::WorkerDraining(_)
                )
            })
    }

    /// Calls end within their time limit.
    fn check_response_time(&self, call: &Call) -> Option<String> {
        let took = call.ended - call.sent;
        let is_late =
            took > TIMEOUT + RESPONSE_MARGIN || matches!(call.result, CallResult::TimedOut);
        (is_late
            && !self
                .timeline
                .member_was_down(call.member, call.sent, call.ended))
        .then(|| format!("CONFIG ended only after {took:?}"))
    }

    /// Changes of the store take effect in time at members that can read it.
    fn check_changes(&self, call: &Call, runs: &[(usize, &Run)]) -> Option<String> {
        let informed = |since: Instant| {
            !self
                .timeline
                .may_miss_changes(call.member, since, call.ended, CATCH_UP_LIMIT)
        };
        for &(worker, run) in runs {
            let drained = self
                .timeline
                .spans_of(Condition::WorkerDraining(worker))
                .any(|span| {
                    call.sent > span.from + CHANGE_LIMIT
                        && span.to.is_none_or(|to| run.arrived < to)
                        && informed(span.from)
                });
            if drained {
                return Some(format!("DRAIN ran at worker {worker}, which is draining"));
            }
            let zone = ZONES[worker % ZONES.len()];
            let evacuated = self
                .timeline
                .spans_of(Condition::ZoneEvacuated(zone))
                .any(|span| {
                    run.arrived > span.from + EVACUATION_LIMIT
                        && span.to.is_none_or(|to| run.arrived < to)
                        && informed(span.from)
                });
            if evacuated {
                return Some(format!("EVAC ran at worker {worker}, in {zone}"));
            }
        }
        let withdrawn = call.key == KEYS[1]
            && self.timeline.spans_of(Condition::KeyWithdrawn).any(|span| {
                call.sent > span.from + CHANGE_LIMIT
                    && span.to.is_none_or(|to| call.ended < to)
                    && informed(span.from)
            });
        (withdrawn && !runs.is_empty()).then(|| "CONFIG ran with a withdrawn key".into())
    }

    /// First runs of requests use no more tokens in any window than the rate allows.
    fn check_rate(&self, runs_by_id: &HashMap<&str, Vec<(usize, &Run)>>) -> Option<String> {
        let window = RATE_WINDOW.as_secs_f64();
        let bound = (RATE * window + BURST) * (1.0 + RATE_PART) + RATE_SLACK;
        let firsts = runs_by_id.values().filter_map(|runs| {
            let (_, run) = runs.iter().min_by_key(|(_, run)| run.arrived)?;
            Some((run.arrived, run.tokens))
        });
        let (max_sum, at) = self.max_window_sum(firsts, RATE_WINDOW);
        (max_sum > bound).then(|| format!("{at:.3} QUOTA {max_sum} tokens of {bound} in a window"))
    }

    /// A cold worker gets no more runs in any second than allowed.
    fn check_cold_sends(&self) -> Vec<String> {
        let bound = COLD_PER_S * COLD_PART + COLD_SLACK;
        let mut findings = Vec::new();
        for (worker, runs) in self.runs.iter().enumerate() {
            for span in self.timeline.spans_of(Condition::WorkerCold(worker)) {
                let sends = runs
                    .iter()
                    .filter(|run| run.arrived >= span.from && run.arrived < span.from + COLD_START)
                    .map(|run| (run.arrived, 1.0));
                let (max_sum, at) = self.max_window_sum(sends, Duration::from_secs(1));
                if max_sum > bound {
                    findings.push(format!(
                        "{at:.3} FAILBACK {max_sum} sends of {bound} in a second to worker {worker}"
                    ));
                }
            }
        }
        findings
    }

    /// A worker gets no more runs in any window than the limit that it names allows. Runs of members
    /// that were down or cut from the others shortly before don't count.
    fn check_named_limits(&self) -> Vec<String> {
        let members: HashMap<&str, _> = self
            .calls
            .iter()
            .map(|call| (call.id.as_str(), call.member))
            .collect();
        let is_counted = |run: &Run| {
            let before = run.arrived.checked_sub(LIMIT_WINDOW).unwrap_or(run.arrived);
            let member = members.get(run.id.as_str());
            !self
                .timeline
                .overlaps(before, run.arrived, LIMIT_STABLE, |condition| {
                    condition == Condition::PeerLinksImpaired
                        || member.is_some_and(|&ip| condition == Condition::MemberDown(ip))
                })
        };
        let mut findings = Vec::new();
        for span in self.timeline.spans() {
            let Condition::WorkerLimited(worker, per_s) = span.condition else {
                continue;
            };
            let bound = per_s * LIMIT_WINDOW.as_secs_f64() * LIMIT_TOLERANCE + LIMIT_TOLERANCE_RUNS;
            let from = span.from + LIMIT_STABLE;
            let runs = self.runs[worker].iter().filter(|run| {
                let is_limited = run.arrived >= from && span.to.is_none_or(|to| run.arrived < to);
                is_limited && is_counted(run)
            });
            let (max_sum, at) = self.max_window_sum(runs.map(|r| (r.arrived, 1.0)), LIMIT_WINDOW);
            if max_sum > bound {
                findings.push(format!(
                    "{at:.3} LIMIT {max_sum} runs of {bound} at worker {worker}, limit {per_s}"
                ));
            }
        }
        findings
    }

    /// The number of repeated runs in any window is at most a share of the requests sent in that
    /// window, the one before it or the one that begins half a window earlier, whichever has the
    /// most, plus slack.
    fn check_repeats(&self, runs_by_id: &HashMap<&str, Vec<(usize, &Run)>>) -> Option<String> {
        let mut repeats = Vec::new();
        for runs in runs_by_id.values() {
            let mut at: Vec<Instant> = runs.iter().map(|(_, run)| run.arrived).collect();
            at.sort_unstable();
            repeats.extend(at.into_iter().skip(1));
        }
        repeats.sort_unstable();
        for (first, &end) in repeats.iter().enumerate() {
            let count = repeats[first..]
                .iter()
                .take_while(|&&at| at < end + REPEATS_WINDOW)
                .count();
            let requests_in = |from: Instant| {
                let sent = |call: &&Call| call.sent >= from && call.sent < from + REPEATS_WINDOW;
                to_f64(self.calls.iter().filter(sent).count())
            };
            let before = end.checked_sub(REPEATS_WINDOW).unwrap_or(end);
            let half = end.checked_sub(REPEATS_WINDOW / 2).unwrap_or(end);
            let max_requests = requests_in(end)
                .max(requests_in(before))
                .max(requests_in(half));
            let bound = max_requests * REPEATS_RATIO + REPEATS_SLACK;
            if to_f64(count) > bound {
                let at = (end - self.started).as_secs_f64();
                return Some(format!(
                    "{at:.3} BUDGET {count} repeats of {bound:.1} in a window"
                ));
            }
        }
        None
    }

    /// Runs end soon after their caller disconnects.
    fn check_abandoned_runs(
        &self,
        runs_by_id: &HashMap<&str, Vec<(usize, &Run)>>,
    ) -> Option<String> {
        let (mut abandoned, mut late) = (0, 0);
        for call in self.calls {
            let must_cancel = matches!(call.result, CallResult::CallerLeft)
                && call.kind != Kind::Order
                && !self.timeline.overlaps(
                    call.sent,
                    call.ended + CANCEL_LIMIT,
                    Duration::ZERO,
                    |condition| {
                        matches!(
                            condition,
                            Condition::MemberDown(_) | Condition::WorkerImpaired
                        )
                    },
                );
            if !must_cancel {
                continue;
            }
            let runs = runs_by_id
                .get(call.id.as_str())
                .map_or(&[][..], Vec::as_slice);
            let limit = call.ended + CANCEL_LIMIT;
            abandoned += 1;
            if runs
                .iter()
                .any(|(_, run)| run.ended.is_none_or(|ended| ended > limit))
            {
                late += 1;
            }
        }
        let too_many = late >= 3 && to_f64(late) > to_f64(abandoned) * LATE_CANCEL_SHARE;
        too_many.then(|| format!("GONE {late} of {abandoned} runs continued after the caller left"))
    }

    /// The largest sum over any window, and the start of that window in seconds since the start of
    /// the run.
    fn max_window_sum(
        &self,
        events: impl Iterator<Item = (Instant, f64)>,
        window: Duration,
    ) -> (f64, f64) {
        let mut events: Vec<(Instant, f64)> = events.collect();
        events.sort_unstable_by_key(|&(at, _)| at);
        let mut max_sum = (0.0, 0.0);
        let (mut sum, mut first) = (0.0, 0);
        for &(at, units) in &events {
            sum += units;
            while at - events[first].0 >= window {
                sum -= events[first].1;
                first += 1;
            }
            if sum > max_sum.0 {
                max_sum = (sum, (events[first].0 - self.started).as_secs_f64());
            }
        }
        max_sum
    }
}

/// A non-repeatable call runs at most once, and no worker gets more time than the call has.
fn check_runs(call: &Call, runs: &[(usize, &Run)]) -> Option<String> {
    if call.kind == Kind::Order && runs.len() > 1 {
        return Some(format!("TWICE ran {} times", runs.len()));
    }
    let over = runs
        .iter()
        .find(|(_, run)| run.time_left > TIMEOUT + RESPONSE_MARGIN)
        .map(|(_, run)| run.time_left);
    over.map(|left| format!("BUDGET a worker was allowed {left:?}"))
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run of some seconds"
)]
pub fn to_f64(count: usize) -> f64 {
    count as f64
}
