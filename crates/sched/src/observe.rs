//! Updates of the targets' state from ended runs and load reports.

use std::time::Duration;

use crate::model::{LoadReport, PermitId, RunEnd, RunReport};
use crate::runs::Run;
use crate::scheduler::Scheduler;

/// The goal for the first token is raised to this multiple of the prompt's unloaded prefill time if
/// that is longer.
const PROMPT_SLACK: f64 = 2.0;

impl Scheduler {
    /// Ends a permit. Unknown permits and repeated releases are ignored.
    pub fn release(&mut self, now: Duration, permit: PermitId, report: RunReport) {
        self.advance_clock(now);
        if let Some(key) = self.runs.by_permit(permit) {
            self.finish(key, &report);
        }
    }

    /// Ends the run of a request, including one that an earlier owner granted and handed over.
    /// Returns false if the request has no run here.
    pub fn release_request(&mut self, now: Duration, request: &str, report: RunReport) -> bool {
        self.advance_clock(now);
        let key = self.runs.by_request(request);
        key.map(|key| self.finish(key, &report)).is_some()
    }

    /// Processes a load report of a target, measured now.
    pub fn load_report(&mut self, now: Duration, target: &str, report: LoadReport) {
        self.load_report_at(now, target, report, now);
    }

    /// Processes a load report of a target, measured at an earlier time. A report older than the
    /// last one is ignored.
    pub fn load_report_at(
        &mut self,
        now: Duration,
        target: &str,
        report: LoadReport,
        measured: Duration,
    ) {
        let now = self.advance_clock(now);
        if let Some(&key) = self.by_name.get(target) {
            let target = &mut self.targets[key];
            target.record_load_report(
                &self.cfg,
                now,
                measured.min(now),
                report,
                self.lease_in_doubt,
            );
        }
    }

    /// Records that a target refused a connection. Without this, a target that restarts while it
    /// has nothing in flight would count as warm until its next load report.
    pub fn connection_refused(&mut self, now: Duration, target: &str) {
        self.advance_clock(now);
        if let Some(&key) = self.by_name.get(target) {
            self.targets[key].connection_refused(&self.cfg, now);
        }
    }

    /// Ends a run without learning from it.
    pub(crate) fn remove_run(&mut self, key: usize) -> Run {
        let run = self.runs.remove(key);
        let target = &mut self.targets[run.target];
        target.tokens = target.tokens.saturating_sub(run.cost);
        target.running -= 1;
        if run.isolated {
            target.isolated = false;
            if let Some(fingerprints) = run.fingerprints {
                self.containment.set_isolated_run(fingerprints, false);
            }
        }
        run
    }

    fn finish(&mut self, key: usize, report: &RunReport) {
        if report.end == RunEnd::Reset {
            self.record_reset(key);
            return;
        }
        let run = self.remove_run(key);
        let target = &mut self.targets[run.target];
        let same_epoch = run.epoch == target.epoch;
        let before = target.tokens.saturating_add(run.cost);
        match report.end {
            RunEnd::Overloaded if same_epoch && !run.handed_over => {
                let next = PermitId(self.next_permit);
                target.record_overload(&self.cfg, self.now, run.permit, before, next);
            }
            RunEnd::Unused | RunEnd::Reset | RunEnd::Overloaded => {}
            RunEnd::Cancelled => {
                self.learn_from(&run, report, same_epoch.then_some(before), false);
            }
            RunEnd::Complete => {
                if same_epoch && !self.lease_in_doubt {
                    target.record_completion(&self.cfg, run.cost);
                }
                self.learn_from(&run, report, same_epoch.then_some(before), true);
                if run.isolated
                    && let Some(fingerprints) = run.fingerprints
                {
                    self.containment.clear(self.now, fingerprints);
                }
            }
        }
    }

    /// Handles a connection reset as a crash: the target becomes cold, and the requests that ran on
    /// it become suspect.
    ///
    /// Each run that a crash ended reports its own reset. Only the first one of an epoch counts;
    /// otherwise runs granted since would become suspect because of a crash before their start.
    fn record_reset(&mut self, key: usize) {
        let (now, run) = (self.now, self.runs.get(key));
        let (target_key, epoch) = (run.target, run.epoch);
        let target = &mut self.targets[target_key];
        if epoch >= target.first_unblamed_epoch {
            let (responded, first_unblamed) =
                (target.responded_since_crash, target.first_unblamed_epoch);
            for (_, run) in self.runs.on_target(target_key) {
                // A target that has not responded since its last crash may itself be faulty, so
                // runs on it don't become suspect. An isolated run still counts: a suspect must
                // not crash one restarted target after the other.
                if (responded || run.isolated)
                    && let Some(fingerprints) = run.fingerprints
                    && (first_unblamed..=epoch).contains(&run.epoch)
                {
                    self.containment.record_crash(
                        now,
                        fingerprints,
                        &target.spec.name,
                        run.isolated,
                    );
                }
            }
            target.first_unblamed_epoch = epoch + 1;
            target.record_crash(&self.cfg, now);
        }
        self.remove_run(key);
    }

    /// Updates latency estimates and the limit from a run. `before` is the number of tokens in
    /// flight including the run, or `None` if the run is not of the target's current epoch.
    fn learn_from(&mut self, run: &Run, report: &RunReport, before: Option<u64>, complete: bool) {
        let target = &mut self.targets[run.target];
        target.responded_since_crash |= complete || report.first_token.is_some();
        if run.cold {
            // Latencies of a cold target are no evidence about its limit.
            return;
        }
        let speed = target.spec.speed.max(f64::MIN_POSITIVE);
        // Largest ratio of measured time to goal.
        let mut ratio = 0.0_f64;
        // Without the prompt length, as after a handover, the time to first token can't be rated.
        if let Some(first) = report.first_token
            && run.prompt > 0
        {
            let seconds = first.as_secs_f64();
            target.first_token.record(self.now, run.prompt, seconds);
            self.first_token
                .record(self.now, run.prompt, seconds * speed);
            let goal = self.cfg.first_token_goal.as_secs_f64();
            let slack = PROMPT_SLACK * target.first_token.min_prefill_seconds(run.prompt);
            ratio = ratio.max(seconds / goal.max(slack));
        }
        if let Some(gap) = report.token_gap {
            target.token_gap.record(gap.as_secs_f64());
            self.token_gap.record(gap.as_secs_f64() * speed);
            ratio = ratio.max(gap.as_secs_f64() / self.cfg.token_gap_goal.as_secs_f64());
        }
        if let (Some(own), Some(pool)) = (target.token_gap.get(), self.token_gap.get()) {
            target.update_weight((own > 0.0).then(|| pool / own));
        }
        if let Some(before) = before {
            if ratio > 1.0 {
                target.limit.record_missed(run.cost, before);
            } else if complete && !self.lease_in_doubt {
                target.limit.record_met(ratio, run.cost, before);
            }
        }
    }
}
