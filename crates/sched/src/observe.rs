//! What the ends of runs and the load reports say about the targets.

use std::time::Duration;

use crate::model::{LoadReport, PermitId, RunEnd, RunReport};
use crate::runs::Run;
use crate::scheduler::Scheduler;

/// A prompt may take this many times its unloaded time before it counts as late, if that is
/// longer than the goal for the first token.
const PROMPT_SLACK: f64 = 2.0;

impl Scheduler {
    /// Ends a permit. Unknown permits and second releases are ignored.
    pub fn release(&mut self, now: Duration, permit: PermitId, report: RunReport) {
        self.advance_clock(now);
        if let Some(key) = self.runs.by_permit(permit) {
            self.finish(key, &report);
        }
    }

    /// Ends the run of a request, also one that an earlier owner granted and handed over. Returns
    /// false if the request has no run here.
    pub fn release_request(&mut self, now: Duration, request: &str, report: RunReport) -> bool {
        self.advance_clock(now);
        let key = self.runs.by_request(request);
        key.map(|key| self.finish(key, &report)).is_some()
    }

    /// Takes a target's own load report, measured now.
    pub fn load_report(&mut self, now: Duration, target: &str, report: LoadReport) {
        self.load_report_at(now, target, report, now);
    }

    /// Takes a target's own load report that was measured at an earlier time. A report older than
    /// the last one is ignored.
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

    /// Takes that a target refuses connections. Without this a target that restarts while it has
    /// nothing in flight would be taken for warm until its next load report.
    pub fn connection_refused(&mut self, now: Duration, target: &str) {
        self.advance_clock(now);
        if let Some(&key) = self.by_name.get(target) {
            self.targets[key].connection_refused(&self.cfg, now);
        }
    }

    /// Ends a run without a report.
    pub(crate) fn remove_run(&mut self, key: usize) -> Run {
        let run = self.runs.remove(key);
        let target = &mut self.targets[run.target];
        target.tokens = target.tokens.saturating_sub(run.cost);
        target.running -= 1;
        if run.isolated {
            target.isolated = false;
            if let Some(fingerprint) = run.fingerprint {
                self.containment.set_isolated_run(fingerprint, false);
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
                    && let Some(fingerprint) = run.fingerprint
                {
                    self.containment.clear(self.now, fingerprint);
                }
            }
        }
    }

    /// Takes a reset: the target turns cold, and the requests that ran on it become suspect.
    ///
    /// Each run that a crash ended reports a reset of its own; only the first one of an epoch
    /// counts, or the runs granted since would be blamed for a crash before their time.
    fn record_reset(&mut self, key: usize) {
        let (now, run) = (self.now, self.runs.get(key));
        let (target_key, epoch) = (run.target, run.epoch);
        let target = &mut self.targets[target_key];
        if epoch >= target.first_unblamed_epoch {
            let (answered, first_unblamed) =
                (target.answered_since_crash, target.first_unblamed_epoch);
            for (_, run) in self.runs.on_target(target_key) {
                // A target that has done nothing yet may be faulty itself, but a suspect that
                // crashes it alone must not try one restarted target after the other.
                if (answered || run.isolated)
                    && let Some(fingerprint) = run.fingerprint
                    && (first_unblamed..=epoch).contains(&run.epoch)
                {
                    self.containment.record_crash(
                        now,
                        fingerprint,
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

    /// Learns times and the limit from a run. `before` is the number of tokens in flight with it
    /// if it ran in the present epoch of its target.
    fn learn_from(&mut self, run: &Run, report: &RunReport, before: Option<u64>, complete: bool) {
        let target = &mut self.targets[run.target];
        target.answered_since_crash |= complete || report.first_token.is_some();
        if run.cold {
            // The times of a cold target say nothing about its limit.
            return;
        }
        let speed = target.spec.speed.max(f64::MIN_POSITIVE);
        // The largest part of a goal that the run took.
        let mut ratio = 0.0_f64;
        // Without a prompt length, as after a hand-over, the time to first token can't be judged.
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
