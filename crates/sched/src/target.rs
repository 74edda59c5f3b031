//! Places, phases and ramp of one target.

use std::time::Duration;

use crate::config::Config;
use crate::estimate::{FirstTokenEstimator, MovingAverage};
use crate::limit::LearnedLimit;
use crate::model::{LoadReport, PermitId, TargetPhase, TargetSpec};
use crate::num::{f64_to_tokens, tokens_to_f64};

/// Exponent of the speed in the weight of a target's load. At equal load the faster target is
/// preferred, but twice the speed shifts the load by 7% only: utilisation of each hardware
/// generation must stay within 10% of its share.
const SPEED_EXPONENT: f64 = 0.1;
/// A target that refuses work as overloaded below this part of its limit is taken as restarted.
const RESTART_LOAD_FRACTION: f64 = 0.5;

/// How warm a target is, whether it is open or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WarmupState {
    Cold,
    /// May hold `allowed` tokens.
    Warming {
        allowed: u64,
    },
    Serving,
}

/// Places that runs of a lost owner may hold.
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
    /// Whether a suspect request runs here, so that nothing else may.
    pub(crate) isolated: bool,
    /// Number of times it turned cold. Only runs granted in the present epoch warm it up.
    pub(crate) epoch: u64,
    /// The first epoch whose runs were not blamed for a crash.
    pub(crate) first_unblamed_epoch: u64,
    /// Whether it answered since its last crash. A target that is down refuses every connection,
    /// which says nothing about the requests.
    pub(crate) answered_since_crash: bool,
    pub(crate) first_token: FirstTokenEstimator,
    pub(crate) token_gap: MovingAverage,
    pub(crate) last_grant: PermitId,
    /// First permit that was not yet given when the target last refused work as overloaded.
    next_permit_at_overload: PermitId,
    assumed: Option<AssumedRuns>,
    /// Time of measure and content of the newest load report.
    last_report: Option<(Duration, LoadReport)>,
    /// Time until which a target that was handed over counts as cold while no report came.
    report_due: Option<Duration>,
    /// Whether the present silence of its load reports was noted.
    report_timed_out: bool,
    /// While cold it gets nothing until this time.
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
            answered_since_crash: true,
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

    /// Takes a changed specification.
    pub(crate) fn set_spec(&mut self, now: Duration, spec: TargetSpec) {
        if spec.schedulable && !self.spec.schedulable {
            self.reset_to_cold(now);
        }
        self.limit.set_capacity(spec.capacity);
        self.spec = spec;
        self.update_weight(None);
    }

    /// Counts all cold places as taken by runs of the lost owner.
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

    /// Requests known or assumed to be in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.running + self.assumed.map_or(0, |assumed| assumed.count)
    }

    /// Tokens that it may hold.
    pub(crate) fn allowed(&self) -> u64 {
        match self.warmup {
            WarmupState::Warming { allowed } => allowed.min(self.limit.get()),
            WarmupState::Cold | WarmupState::Serving => self.limit.get(),
        }
    }

    /// Whether any work may be granted to it, apart from its load.
    pub(crate) fn is_usable(&self, now: Duration, lease_in_doubt: bool) -> bool {
        let cold_use =
            || !lease_in_doubt && now >= self.hold_until && self.in_flight() < self.spec.cold_limit;
        self.spec.schedulable && !self.isolated && (!self.is_cold() || cold_use())
    }

    /// Tokens that it may hold without the part that is kept free.
    pub(crate) fn allowed_below_reserve(&self, reserved_fraction: f64) -> u64 {
        if reserved_fraction > 0.0 {
            f64_to_tokens(tokens_to_f64(self.allowed()) * (1.0 - reserved_fraction))
        } else {
            self.allowed()
        }
    }

    /// Whether a run of this cost fits on top of the runs in flight.
    pub(crate) fn has_room(&self, cost: u64, reserved_fraction: f64) -> bool {
        self.running == 0
            || self.tokens.saturating_add(cost) <= self.allowed_below_reserve(reserved_fraction)
    }

    /// Load relative to the limit with a run of this cost on top, lower for faster targets.
    pub(crate) fn load(&self, cost: u64) -> f64 {
        tokens_to_f64(self.tokens.saturating_add(cost))
            / tokens_to_f64(self.allowed().max(1))
            / self.weight
    }

    /// Tokens that it could take now and tokens that it bears, for the digest.
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

    /// Makes it cold: what ran before says nothing about it any more.
    pub(crate) fn reset_to_cold(&mut self, now: Duration) {
        self.warmup = WarmupState::Cold;
        self.epoch += 1;
        self.cold_since = now;
    }

    /// Takes that its process is gone: what comes back is cold, and what the old one reported says
    /// nothing about it.
    pub(crate) fn connection_refused(&mut self, cfg: &Config, now: Duration) {
        if !self.is_cold() {
            self.reset_to_cold(now);
        }
        if self.last_report.take().is_some() {
            self.report_due = Some(now.saturating_add(cfg.report_timeout));
        }
    }

    /// Adopts the warmth that the old owner handed over.
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

    /// Counts the completed work of a run that was granted in the present epoch.
    pub(crate) fn record_completion(&mut self, cfg: &Config, cost: u64) {
        self.backoff = Duration::ZERO;
        self.hold_until = Duration::ZERO;
        match self.warmup {
            WarmupState::Cold => self.leave_cold(cfg),
            WarmupState::Warming { allowed } => {
                // Each completed token adds one: a window of completed work doubles the allowance.
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

    /// Takes a refusal as overloaded of a run that was granted in the present epoch. `before`
    /// is the number of tokens in flight including that run, `next` the next permit.
    ///
    /// Runs granted before the last refusal was seen tell nothing new; a burst of refusals would
    /// otherwise cut the limit many times and then look like a restart.
    pub(crate) fn record_overload(
        &mut self,
        cfg: &Config,
        now: Duration,
        permit: PermitId,
        before: u64,
        next: PermitId,
    ) {
        self.answered_since_crash = true;
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

    /// Takes a reset that was not yet accounted for.
    pub(crate) fn record_crash(&mut self, cfg: &Config, now: Duration) {
        let was_cold = self.is_cold();
        self.reset_to_cold(now);
        self.answered_since_crash = false;
        if was_cold {
            self.back_off(cfg, now);
        }
    }

    /// Takes a load report that was measured at the given time.
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
        self.answered_since_crash = true;
        if let Some(assumed) = &mut self.assumed
            && measured > assumed.since
        {
            assumed.count = assumed.count.min(report.running);
        }
        // A target without cold places is warmed up by others and says when it is warm.
        if self.is_cold() && self.spec.cold_limit == 0 && !lease_in_doubt {
            self.leave_cold(cfg);
        }
    }

    /// Applies what passes with time: silence of the load reports and the end of assumed places.
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

    /// Turns it cold once for each gap in its load reports; work completed after that warms it
    /// up again even if the reports do not return.
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

    /// Next time at which a place may come free without an event.
    pub(crate) fn wakeup(&self, now: Duration) -> Option<Duration> {
        let hold = (self.is_cold() && self.hold_until > now).then_some(self.hold_until);
        let assumed = self.assumed.map(|assumed| assumed.until);
        hold.into_iter().chain(assumed).min()
    }

    /// Sets the weight of its load from its speed as learned, or else as specified. What was
    /// learned counts within a factor of two of the specification.
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
            // What it said before it fell silent holds no longer.
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
