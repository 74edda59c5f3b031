//! State of one target: warm-up, limit, load and load reports.

use std::time::Duration;

use crate::config::Config;
use crate::estimate::{FirstTokenEstimator, MovingAverage};
use crate::limit::LearnedLimit;
use crate::model::{LoadReport, PermitId, TargetPhase, TargetSpec};
use crate::num::{f64_to_tokens, tokens_to_f64};

/// Exponent of the speed in the weight of a target's load. At equal load the faster target is
/// preferred, but twice the speed shifts the load by only 7%: the utilization of each hardware
/// generation must stay within 10% of its share.
const SPEED_EXPONENT: f64 = 0.1;
/// A target that refuses work as overloaded below this fraction of its limit counts as restarted.
const RESTART_LOAD_FRACTION: f64 = 0.5;

/// Warm-up state of a target, independent of whether it is schedulable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WarmupState {
    Cold,
    /// May hold up to `allowed` tokens.
    Warming {
        allowed: u64,
    },
    Serving,
}

/// Runs that a failed owner may have left on the target.
#[derive(Clone, Copy, Debug)]
struct AssumedRuns {
    count: u32,
    since: Duration,
    until: Duration,
}

pub(crate) struct Target {
    pub(crate) spec: TargetSpec,
    pub(crate) warmup: WarmupState,
    pub(crate) limit: LearnedLimit,
    /// Tokens of the known runs.
    pub(crate) tokens: u64,
    /// Number of the known runs.
    pub(crate) running: u32,
    /// Whether a suspect request runs here; nothing else may run beside it.
    pub(crate) isolated: bool,
    /// Number of resets to cold. Only runs granted in the current epoch warm the target up.
    pub(crate) epoch: u64,
    /// First epoch whose runs have not been recorded as the cause of a crash.
    pub(crate) first_unblamed_epoch: u64,
    /// Whether it has responded since its last crash. A target that is down refuses every
    /// connection, which is no evidence against the requests.
    pub(crate) responded_since_crash: bool,
    pub(crate) first_token: FirstTokenEstimator,
    pub(crate) token_gap: MovingAverage,
    pub(crate) last_grant: PermitId,
    /// Number of the next permit when the target last refused work as overloaded; runs with a lower
    /// number were granted before.
    next_permit_at_overload: PermitId,
    assumed: Option<AssumedRuns>,
    /// Measurement time and content of the newest load report.
    last_report: Option<(Duration, LoadReport)>,
    /// Set after a handover or a refused connection: until this time, completed work doesn't warm
    /// up a cold target that has sent no report since.
    report_due: Option<Duration>,
    /// Whether the report timeout was handled since the last report.
    report_timed_out: bool,
    /// While it is cold, it gets no work before this time.
    hold_until: Duration,
    backoff: Duration,
    cold_since: Duration,
    weight: f64,
}

impl Target {
    pub(crate) fn new(now: Duration, spec: TargetSpec) -> Self {
        let mut target = Target {
            limit: LearnedLimit::new(spec.capacity),
            spec,
            warmup: WarmupState::Cold,
            tokens: 0,
            running: 0,
            isolated: false,
            epoch: 0,
            first_unblamed_epoch: 0,
            responded_since_crash: true,
            first_token: FirstTokenEstimator::default(),
            token_gap: MovingAverage::default(),
            last_grant: PermitId(0),
            next_permit_at_overload: PermitId(0),
            assumed: None,
            last_report: None,
            report_due: None,
            report_timed_out: false,
            hold_until: Duration::ZERO,
            backoff: Duration::ZERO,
            cold_since: now,
            weight: 1.0,
        };
        target.update_weight(None);
        target
    }

    /// Applies a changed specification.
    pub(crate) fn set_spec(&mut self, now: Duration, spec: TargetSpec) {
        if spec.schedulable && !self.spec.schedulable {
            self.reset_to_cold(now);
        }
        self.limit.set_capacity(spec.capacity);
        self.spec = spec;
        self.update_weight(None);
    }

    /// Assumes that runs of the failed owner use the whole cold limit.
    pub(crate) fn assume_full(&mut self, now: Duration, life: Duration) {
        self.assumed = Some(AssumedRuns {
            count: self.spec.cold_limit,
            since: now,
            until: now + life,
        });
    }

    pub(crate) fn phase(&self) -> TargetPhase {
        match self.warmup {
            _ if !self.spec.schedulable && self.in_flight() > 0 => TargetPhase::Draining,
            _ if !self.spec.schedulable => TargetPhase::Out,
            WarmupState::Cold => TargetPhase::Cold,
            WarmupState::Warming { .. } => TargetPhase::Warming,
            WarmupState::Serving => TargetPhase::Serving,
        }
    }

    pub(crate) fn is_cold(&self) -> bool {
        self.warmup == WarmupState::Cold
    }

    /// Number of requests known or assumed to be in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.running + self.assumed.map_or(0, |assumed| assumed.count)
    }

    /// Number of tokens that it may hold.
    pub(crate) fn allowed(&self) -> u64 {
        match self.warmup {
            WarmupState::Warming { allowed } => allowed.min(self.limit.get()),
            WarmupState::Cold | WarmupState::Serving => self.limit.get(),
        }
    }

    /// Whether work may be granted to it, regardless of its tokens in flight.
    pub(crate) fn is_usable(&self, now: Duration, lease_in_doubt: bool) -> bool {
        let cold_use =
            || !lease_in_doubt && now >= self.hold_until && self.in_flight() < self.spec.cold_limit;
        self.spec.schedulable && !self.isolated && (!self.is_cold() || cold_use())
    }

    /// Number of tokens that it may hold, less the fraction reserved for higher tiers.
    pub(crate) fn allowed_below_reserve(&self, reserved_fraction: f64) -> u64 {
        if reserved_fraction > 0.0 {
            f64_to_tokens(tokens_to_f64(self.allowed()) * (1.0 - reserved_fraction))
        } else {
            self.allowed()
        }
    }

    /// Whether a run of this cost fits beside the runs in flight.
    pub(crate) fn has_room(&self, cost: u64, reserved_fraction: f64) -> bool {
        self.running == 0
            || self.tokens.saturating_add(cost) <= self.allowed_below_reserve(reserved_fraction)
    }

    /// Load relative to the limit, including a new run of this cost; lower for faster targets.
    pub(crate) fn load(&self, cost: u64) -> f64 {
        tokens_to_f64(self.tokens.saturating_add(cost))
            / tokens_to_f64(self.allowed().max(1))
            / self.weight
    }

    /// Tokens that it could accept now and tokens that it may hold, for the digest.
    pub(crate) fn free_and_limit(
        &self,
        cfg: &Config,
        now: Duration,
        lease_in_doubt: bool,
    ) -> (u64, u64) {
        let limit = match self.warmup {
            _ if !self.spec.schedulable => 0,
            WarmupState::Cold if self.spec.cold_limit == 0 => 0,
            WarmupState::Cold => self.initial_allowance(cfg),
            WarmupState::Warming { .. } | WarmupState::Serving => self.allowed(),
        };
        let free = if self.is_usable(now, lease_in_doubt) {
            limit.saturating_sub(self.tokens)
        } else {
            0
        };
        (free, limit)
    }

    /// Makes it cold and starts a new epoch, so that runs granted before don't warm it up.
    pub(crate) fn reset_to_cold(&mut self, now: Duration) {
        self.warmup = WarmupState::Cold;
        self.epoch += 1;
        self.cold_since = now;
    }

    /// Handles a refused connection, which shows that its process has ended: the next process
    /// starts cold, and the reports of the old one don't apply to it.
    pub(crate) fn connection_refused(&mut self, cfg: &Config, now: Duration) {
        if !self.is_cold() {
            self.reset_to_cold(now);
        }
        if self.last_report.take().is_some() {
            self.report_due = Some(now.saturating_add(cfg.report_timeout));
        }
    }

    /// Adopts the warm-up state that the old owner handed over.
    pub(crate) fn adopt_warmup(
        &mut self,
        cfg: &Config,
        now: Duration,
        phase: TargetPhase,
        limit: u64,
    ) {
        self.limit.set(limit);
        self.report_due = Some(now.saturating_add(cfg.report_timeout));
        self.warmup = match phase {
            TargetPhase::Serving => WarmupState::Serving,
            TargetPhase::Warming => self.warming_state(cfg),
            TargetPhase::Cold | TargetPhase::Draining | TargetPhase::Out => WarmupState::Cold,
        };
    }

    /// Records the completion of a run that was granted in the current epoch.
    pub(crate) fn record_completion(&mut self, cfg: &Config, cost: u64) {
        self.backoff = Duration::ZERO;
        self.hold_until = Duration::ZERO;
        match self.warmup {
            WarmupState::Cold => self.leave_cold(cfg),
            WarmupState::Warming { allowed } => {
                // Each completed token adds one, so completing a full allowance doubles it.
                let allowed = allowed.saturating_add(cost);
                self.warmup = if allowed < self.limit.get() {
                    WarmupState::Warming { allowed }
                } else {
                    WarmupState::Serving
                };
            }
            WarmupState::Serving => {}
        }
    }

    /// Records that a run of the current epoch was refused as overloaded. `before` is the number of
    /// tokens in flight including that run, `next` the number of the next permit.
    ///
    /// Refusals of runs that were granted before the last recorded refusal are ignored; otherwise a
    /// burst of refusals would cut the limit many times and then look like a restart.
    pub(crate) fn record_overload(
        &mut self,
        cfg: &Config,
        now: Duration,
        permit: PermitId,
        before: u64,
        next: PermitId,
    ) {
        self.responded_since_crash = true;
        if permit < self.next_permit_at_overload {
            return;
        }
        self.next_permit_at_overload = next;
        if self.is_cold() {
            self.back_off(cfg, now);
        } else if tokens_to_f64(before) < tokens_to_f64(self.limit.get()) * RESTART_LOAD_FRACTION {
            self.reset_to_cold(now);
        } else {
            self.limit.record_overload();
        }
    }

    /// Records a crash, seen as a connection reset in an epoch without an earlier one.
    pub(crate) fn record_crash(&mut self, cfg: &Config, now: Duration) {
        let was_cold = self.is_cold();
        self.reset_to_cold(now);
        self.responded_since_crash = false;
        if was_cold {
            self.back_off(cfg, now);
        }
    }

    /// Records a load report that was measured at the given time.
    pub(crate) fn record_load_report(
        &mut self,
        cfg: &Config,
        now: Duration,
        measured: Duration,
        report: LoadReport,
        lease_in_doubt: bool,
    ) {
        if self.last_report.is_some_and(|(last, _)| measured < last) {
            return;
        }
        self.check_report_timeout(cfg, now);
        self.report_timed_out = false;
        let before = self.last_report.replace((measured, report));
        let restarted = before.is_some_and(|(_, before)| before.start != report.start);
        if restarted || (report.cold && !self.is_cold()) {
            self.reset_to_cold(now);
        }
        if measured < self.cold_since {
            return;
        }
        self.responded_since_crash = true;
        if let Some(assumed) = &mut self.assumed
            && measured > assumed.since
        {
            assumed.count = assumed.count.min(report.running);
        }
        // With a cold limit of 0, others warm the target up, and it reports when it is warm.
        if self.is_cold() && self.spec.cold_limit == 0 && !lease_in_doubt {
            self.leave_cold(cfg);
        }
    }

    /// Applies the effects of elapsed time: the report timeout and the expiry of assumed runs.
    pub(crate) fn advance(&mut self, cfg: &Config, now: Duration) {
        self.check_report_timeout(cfg, now);
        if self.report_due.is_some_and(|due| due <= now) {
            self.report_due = None;
        }
        if let Some(assumed) = self.assumed
            && (assumed.until <= now || assumed.count == 0)
        {
            self.assumed = None;
        }
    }

    /// Resets it to cold once for each gap in its load reports. Work completed after that warms it
    /// up again, even if no further report arrives.
    fn check_report_timeout(&mut self, cfg: &Config, now: Duration) {
        if let Some((last, _)) = self.last_report
            && now.saturating_sub(last) > cfg.report_timeout
            && !self.report_timed_out
        {
            self.report_timed_out = true;
            if !self.is_cold() {
                self.reset_to_cold(now);
            }
        }
    }

    /// Next time at which the target may become usable without an event.
    pub(crate) fn wakeup(&self, now: Duration) -> Option<Duration> {
        let hold = (self.is_cold() && self.hold_until > now).then_some(self.hold_until);
        let assumed = self.assumed.map(|assumed| assumed.until);
        hold.into_iter().chain(assumed).min()
    }

    /// Sets the weight of its load from its learned speed, or else from the specified one. The
    /// learned speed is limited to a factor of two around the specified one.
    pub(crate) fn update_weight(&mut self, learned: Option<f64>) {
        let speed = self.spec.speed;
        let speed = if speed.is_finite() && speed > 0.0 {
            speed
        } else {
            1.0
        };
        let learned = learned.unwrap_or(speed).clamp(speed * 0.5, speed * 2.0);
        self.weight = learned.powf(SPEED_EXPONENT);
    }

    fn leave_cold(&mut self, cfg: &Config) {
        let reported_cold = match self.last_report {
            // A report from before the timeout no longer applies.
            Some((_, report)) => !self.report_timed_out && report.cold,
            None => self.report_due.is_some(),
        };
        if !reported_cold && self.assumed.is_none_or(|assumed| assumed.count == 0) {
            self.warmup = self.warming_state(cfg);
        }
    }

    fn warming_state(&self, cfg: &Config) -> WarmupState {
        WarmupState::Warming {
            allowed: self.initial_allowance(cfg),
        }
    }

    fn initial_allowance(&self, cfg: &Config) -> u64 {
        (self.limit.get() / cfg.ramp_divisor.max(1)).max(1)
    }

    fn back_off(&mut self, cfg: &Config, now: Duration) {
        let backoff = (self.backoff * 2).max(cfg.min_backoff);
        self.backoff = backoff.min(cfg.max_backoff);
        self.hold_until = now + self.backoff;
    }
}
