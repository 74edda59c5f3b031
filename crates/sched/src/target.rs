//! Places, phases and ramp of one target.

use std::time::Duration;

use crate::config::Config;
use crate::estimate::{FirstToken, Mean};
use crate::limit::Limit;
use crate::model::{LoadReport, PermitId, TargetPhase, TargetSpec};
use crate::num::{float, whole};

/// Exponent of the speed in the weight of a target's load. At equal load the faster target is
/// preferred, but twice the speed shifts the load by 7% only: utilisation of each hardware
/// generation must stay within 10% of its share.
const SPEED_WEIGHT: f64 = 0.1;
/// A target that refuses work as overloaded below this part of its limit is taken as restarted.
const RESTART_LOAD: f64 = 0.5;

/// How warm a target is, whether it is open or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Warmth {
    Cold,
    /// May hold `allowed` tokens.
    Warming {
        allowed: u64,
    },
    Serving,
}

/// Places that runs of a lost owner may hold.
#[derive(Clone, Copy, Debug)]
struct Assumed {
    places: u32,
    since: Duration,
    until: Duration,
}

pub(crate) struct Target {
    pub(crate) spec: TargetSpec,
    pub(crate) warmth: Warmth,
    pub(crate) limit: Limit,
    /// Tokens of the known runs.
    pub(crate) tokens: u64,
    /// Number of the known runs.
    pub(crate) running: u32,
    /// Whether a suspect request runs here, so that nothing else may.
    pub(crate) alone: bool,
    /// Number of times it turned cold. Only runs granted in the present epoch warm it up.
    pub(crate) epoch: u64,
    /// The first epoch whose runs were not blamed for a crash.
    pub(crate) blamed: u64,
    /// Whether it answered since its last crash. A target that is down refuses every connection,
    /// which says nothing about the requests.
    pub(crate) alive: bool,
    pub(crate) first_token: FirstToken,
    pub(crate) token_gap: Mean,
    pub(crate) last_grant: PermitId,
    /// First permit that was not yet given when the target last refused work as overloaded.
    refused: PermitId,
    assumed: Option<Assumed>,
    /// Time of measure and content of the newest load report.
    report: Option<(Duration, LoadReport)>,
    /// Time until which a target that was handed over counts as cold while no report came.
    report_due: Option<Duration>,
    /// Whether the present silence of its load reports was noted.
    silent: bool,
    /// While cold it gets nothing until this time.
    hold: Duration,
    backoff: Duration,
    cold_since: Duration,
    weight: f64,
}

impl Target {
    pub(crate) fn new(now: Duration, spec: TargetSpec) -> Self {
        let mut target = Target {
            limit: Limit::new(spec.capacity),
            spec,
            warmth: Warmth::Cold,
            tokens: 0,
            running: 0,
            alone: false,
            epoch: 0,
            blamed: 0,
            alive: true,
            first_token: FirstToken::default(),
            token_gap: Mean::default(),
            last_grant: PermitId(0),
            refused: PermitId(0),
            assumed: None,
            report: None,
            report_due: None,
            silent: false,
            hold: Duration::ZERO,
            backoff: Duration::ZERO,
            cold_since: now,
            weight: 1.0,
        };
        target.weigh(None);
        target
    }

    /// Takes a changed specification.
    pub(crate) fn set_spec(&mut self, now: Duration, spec: TargetSpec) {
        if spec.schedulable && !self.spec.schedulable {
            self.chill(now);
        }
        self.limit.set_capacity(spec.capacity);
        self.spec = spec;
        self.weigh(None);
    }

    /// Counts all cold places as taken by runs of the lost owner.
    pub(crate) fn assume_full(&mut self, now: Duration, life: Duration) {
        self.assumed = Some(Assumed {
            places: self.spec.cold_limit,
            since: now,
            until: now + life,
        });
    }

    pub(crate) fn phase(&self) -> TargetPhase {
        match self.warmth {
            _ if !self.spec.schedulable && self.in_flight() > 0 => TargetPhase::Draining,
            _ if !self.spec.schedulable => TargetPhase::Out,
            Warmth::Cold => TargetPhase::Cold,
            Warmth::Warming { .. } => TargetPhase::Warming,
            Warmth::Serving => TargetPhase::Serving,
        }
    }

    pub(crate) fn is_cold(&self) -> bool {
        self.warmth == Warmth::Cold
    }

    /// Requests known or assumed to be in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.running + self.assumed.map_or(0, |assumed| assumed.places)
    }

    /// Tokens that it may hold.
    pub(crate) fn allowed(&self) -> u64 {
        match self.warmth {
            Warmth::Warming { allowed } => allowed.min(self.limit.get()),
            Warmth::Cold | Warmth::Serving => self.limit.get(),
        }
    }

    /// Whether any work may be granted to it, apart from its load.
    pub(crate) fn is_usable(&self, now: Duration, in_doubt: bool) -> bool {
        let cold_use = || !in_doubt && now >= self.hold && self.in_flight() < self.spec.cold_limit;
        self.spec.schedulable && !self.alone && (!self.is_cold() || cold_use())
    }

    /// Tokens that it may hold without the part that is kept free.
    pub(crate) fn allowed_without(&self, reserve: f64) -> u64 {
        if reserve > 0.0 {
            whole(float(self.allowed()) * (1.0 - reserve))
        } else {
            self.allowed()
        }
    }

    /// Whether a run of this cost fits on top of the runs in flight.
    pub(crate) fn has_room(&self, cost: u64, reserve: f64) -> bool {
        self.running == 0 || self.tokens.saturating_add(cost) <= self.allowed_without(reserve)
    }

    /// Load relative to the limit with a run of this cost on top, lower for faster targets.
    pub(crate) fn load(&self, cost: u64) -> f64 {
        float(self.tokens.saturating_add(cost)) / float(self.allowed().max(1)) / self.weight
    }

    /// Tokens that it could take now and tokens that it bears, for the digest.
    pub(crate) fn free(&self, cfg: &Config, now: Duration, in_doubt: bool) -> (u64, u64) {
        let bears = match self.warmth {
            _ if !self.spec.schedulable => 0,
            Warmth::Cold if self.spec.cold_limit == 0 => 0,
            Warmth::Cold => self.ramp_start(cfg),
            Warmth::Warming { .. } | Warmth::Serving => self.allowed(),
        };
        let free = if self.is_usable(now, in_doubt) {
            bears.saturating_sub(self.tokens)
        } else {
            0
        };
        (free, bears)
    }

    /// Makes it cold: what ran before says nothing about it any more.
    pub(crate) fn chill(&mut self, now: Duration) {
        self.warmth = Warmth::Cold;
        self.epoch += 1;
        self.cold_since = now;
    }

    /// Takes that its process is gone: what comes back is cold, and what the old one reported says
    /// nothing about it.
    pub(crate) fn gone(&mut self, cfg: &Config, now: Duration) {
        if !self.is_cold() {
            self.chill(now);
        }
        if self.report.take().is_some() {
            self.report_due = Some(now.saturating_add(cfg.report_timeout));
        }
    }

    /// Adopts the warmth that the old owner handed over.
    pub(crate) fn set_warm(&mut self, cfg: &Config, now: Duration, phase: TargetPhase, limit: u64) {
        self.limit.set(limit);
        self.report_due = Some(now.saturating_add(cfg.report_timeout));
        self.warmth = match phase {
            TargetPhase::Serving => Warmth::Serving,
            TargetPhase::Warming => self.ramp(cfg),
            TargetPhase::Cold | TargetPhase::Draining | TargetPhase::Out => Warmth::Cold,
        };
    }

    /// Counts the completed work of a run that was granted in the present epoch.
    pub(crate) fn completed(&mut self, cfg: &Config, cost: u64) {
        self.backoff = Duration::ZERO;
        self.hold = Duration::ZERO;
        match self.warmth {
            Warmth::Cold => self.leave_cold(cfg),
            Warmth::Warming { allowed } => {
                // Each completed token adds one: a window of completed work doubles the allowance.
                let allowed = allowed.saturating_add(cost);
                self.warmth = if allowed < self.limit.get() {
                    Warmth::Warming { allowed }
                } else {
                    Warmth::Serving
                };
            }
            Warmth::Serving => {}
        }
    }

    /// Takes a refusal as overloaded of a run that was granted in the present epoch. `before`
    /// is the number of tokens in flight including that run, `next` the next permit.
    ///
    /// Runs granted before the last refusal was seen tell nothing new; a burst of refusals would
    /// otherwise cut the limit many times and then look like a restart.
    pub(crate) fn overloaded(
        &mut self,
        cfg: &Config,
        now: Duration,
        permit: PermitId,
        before: u64,
        next: PermitId,
    ) {
        self.alive = true;
        if permit < self.refused {
            return;
        }
        self.refused = next;
        if self.is_cold() {
            self.back_off(cfg, now);
        } else if float(before) < float(self.limit.get()) * RESTART_LOAD {
            self.chill(now);
        } else {
            self.limit.overloaded();
        }
    }

    /// Takes a reset that was not yet accounted for.
    pub(crate) fn crashed(&mut self, cfg: &Config, now: Duration) {
        let was_cold = self.is_cold();
        self.chill(now);
        self.alive = false;
        if was_cold {
            self.back_off(cfg, now);
        }
    }

    /// Takes a load report that was measured at the given time.
    pub(crate) fn report(
        &mut self,
        cfg: &Config,
        now: Duration,
        measured: Duration,
        report: LoadReport,
        in_doubt: bool,
    ) {
        if self.report.is_some_and(|(last, _)| measured < last) {
            return;
        }
        self.note_silence(cfg, now);
        self.silent = false;
        let before = self.report.replace((measured, report));
        let restarted = before.is_some_and(|(_, before)| before.start != report.start);
        if restarted || (report.cold && !self.is_cold()) {
            self.chill(now);
        }
        if measured < self.cold_since {
            return;
        }
        self.alive = true;
        if let Some(assumed) = &mut self.assumed
            && measured > assumed.since
        {
            assumed.places = assumed.places.min(report.running);
        }
        // A target without cold places is warmed up by others and says when it is warm.
        if self.is_cold() && self.spec.cold_limit == 0 && !in_doubt {
            self.leave_cold(cfg);
        }
    }

    /// Applies what passes with time: silence of the load reports and the end of assumed places.
    pub(crate) fn advance(&mut self, cfg: &Config, now: Duration) {
        self.note_silence(cfg, now);
        if self.report_due.is_some_and(|due| due <= now) {
            self.report_due = None;
        }
        if let Some(assumed) = self.assumed
            && (assumed.until <= now || assumed.places == 0)
        {
            self.assumed = None;
        }
    }

    /// Turns it cold once for each gap in its load reports; work completed after that warms it
    /// up again even if the reports do not return.
    fn note_silence(&mut self, cfg: &Config, now: Duration) {
        if let Some((last, _)) = self.report
            && now.saturating_sub(last) > cfg.report_timeout
            && !self.silent
        {
            self.silent = true;
            if !self.is_cold() {
                self.chill(now);
            }
        }
    }

    /// Next time at which a place may come free without an event.
    pub(crate) fn wakeup(&self, now: Duration) -> Option<Duration> {
        let hold = (self.is_cold() && self.hold > now).then_some(self.hold);
        let assumed = self.assumed.map(|assumed| assumed.until);
        hold.into_iter().chain(assumed).min()
    }

    /// Sets the weight of its load from its speed as learned, or else as specified. What was
    /// learned counts within a factor of two of the specification.
    pub(crate) fn weigh(&mut self, learned: Option<f64>) {
        let speed = self.spec.speed;
        let speed = if speed.is_finite() && speed > 0.0 {
            speed
        } else {
            1.0
        };
        let learned = learned.unwrap_or(speed).clamp(speed * 0.5, speed * 2.0);
        self.weight = learned.powf(SPEED_WEIGHT);
    }

    fn leave_cold(&mut self, cfg: &Config) {
        let says_cold = match self.report {
            // What it said before it fell silent holds no longer.
            Some((_, report)) => !self.silent && report.cold,
            None => self.report_due.is_some(),
        };
        if !says_cold && self.assumed.is_none_or(|assumed| assumed.places == 0) {
            self.warmth = self.ramp(cfg);
        }
    }

    fn ramp(&self, cfg: &Config) -> Warmth {
        Warmth::Warming {
            allowed: self.ramp_start(cfg),
        }
    }

    fn ramp_start(&self, cfg: &Config) -> u64 {
        (self.limit.get() / cfg.ramp_divisor.max(1)).max(1)
    }

    fn back_off(&mut self, cfg: &Config, now: Duration) {
        let backoff = (self.backoff * 2).max(cfg.min_backoff);
        self.backoff = backoff.min(cfg.max_backoff);
        self.hold = now + self.backoff;
    }
}
