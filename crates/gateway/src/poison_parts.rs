//! Detects parts of prompts that crash the targets that begin to answer them, whatever else the
//! request holds.
//!
//! Each member observes the runs of its own callers and learns from heartbeats what the others
//! observed. A crash is blamed on the parts of the runs that it cut off before their answer began.
//! Most of these parts are sound. They are told apart by answers: an answer that begins on a part
//! clears it, at all members.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// A part is refused after it was in the prompts of unanswered runs on this many crashed targets.
const REFUSE_AFTER_CRASHES: usize = 3;
/// Time for which a part is refused after its last crash. Then its requests are sent again, and one
/// more crash is enough.
const REFUSE_TIME: Duration = Duration::from_mins(2);
/// Time for which a crash is remembered.
const CRASH_MEMORY: Duration = Duration::from_mins(10);
/// A part is not blamed for a crash if an answer began on it in this time before the crash.
const ANSWER_MEMORY: Duration = Duration::from_secs(10);
/// Time for which a suspected part is gossiped after its last crash. It takes a second to reach all
/// members.
const SUSPECT_GOSSIP_TIME: Duration = Duration::from_secs(20);
/// Maximum number of suspected parts; of those with the fewest crashes, the oldest is evicted.
const MAX_SUSPECTS: usize = 1024;
/// Maximum number of parts whose last answer is remembered; the oldest half is evicted.
const MAX_ANSWERED: usize = 8192;
/// Maximum number of suspected parts in one heartbeat.
const MAX_REPORTS: usize = 12;

/// Observations about one part, as they are gossiped. Times are ages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartReport {
    /// Hash of the part.
    pub part: u64,
    /// Targets that crashed with unanswered runs of the part, each with the time since the crash.
    pub crashes: Vec<(u64, Duration)>,
    /// Time since an answer began on the part, if one is known.
    pub answered: Option<Duration>,
}

/// Parts that are blamed for a crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Blame {
    /// All of them. Most are sound.
    pub parts: Vec<u64>,
    /// Those that are refused from now on.
    pub refused: Vec<u64>,
}

#[derive(Clone, Copy)]
struct Crash {
    target: u64,
    at: Duration,
}

#[derive(Default)]
struct Suspect {
    /// The newest crashes, oldest first, at most `REFUSE_AFTER_CRASHES`.
    crashes: VecDeque<Crash>,
    last_answer: Option<Duration>,
}

impl Suspect {
    fn add_crash(&mut self, crash: Crash) {
        if self.crashes.iter().any(|c| c.target == crash.target) {
            return;
        }
        let position = self.crashes.partition_point(|c| c.at <= crash.at);
        self.crashes.insert(position, crash);
        if self.crashes.len() > REFUSE_AFTER_CRASHES {
            self.crashes.pop_front();
        }
    }

    fn last_crash(&self) -> Duration {
        self.crashes.back().map_or(Duration::ZERO, |crash| crash.at)
    }

    /// Number of crashes that no answer has cleared.
    fn blamed_crashes(&self) -> usize {
        let cleared_until = self.last_answer.map(|at| at + ANSWER_MEMORY);
        let crashes = self.crashes.iter();
        let blamed = crashes.filter(|crash| cleared_until.is_none_or(|until| crash.at >= until));
        blamed.count()
    }

    fn refused_until(&self) -> Option<Duration> {
        let is_poison = self.blamed_crashes() >= REFUSE_AFTER_CRASHES;
        is_poison.then(|| self.last_crash() + REFUSE_TIME)
    }
}

/// What a member knows about the parts of prompts.
#[derive(Default)]
pub struct PoisonParts {
    /// Time at which the last answer on a part began at this member.
    answered: HashMap<u64, Duration>,
    suspects: HashMap<u64, Suspect>,
}

impl PoisonParts {
    /// Time for which requests with any of the parts are refused; `None` if they are not.
    #[must_use]
    pub fn refusal(&self, now: Duration, parts: &[u64]) -> Option<Duration> {
        let suspects = parts.iter().filter_map(|part| self.suspects.get(part));
        let until = suspects.filter_map(Suspect::refused_until).max()?;
        until.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Number of parts that are refused.
    #[must_use]
    pub fn refused_parts(&self, now: Duration) -> usize {
        let parts = self.suspects.keys();
        parts.filter(|&&part| self.is_refused(now, part)).count()
    }

    fn is_refused(&self, now: Duration, part: u64) -> bool {
        self.refusal(now, &[part]).is_some()
    }

    /// Records that an answer began on a prompt with these parts.
    pub fn record_answer(&mut self, now: Duration, parts: &[u64]) {
        for &part in parts {
            self.answered.insert(part, now);
            if let Some(suspect) = self.suspects.get_mut(&part) {
                suspect.last_answer = Some(now);
            }
        }
        if self.answered.len() > MAX_ANSWERED {
            self.evict_answered();
        }
    }

    /// Records that a target crashed with an unanswered run whose prompt has these parts.
    pub fn record_crash(&mut self, now: Duration, parts: &[u64], target: u64) -> Blame {
        let is_blamed = |part: &u64| {
            self.last_answer(*part)
                .is_none_or(|at| now.saturating_sub(at) >= ANSWER_MEMORY)
        };
        let mut blame = Blame {
            parts: parts.iter().copied().filter(is_blamed).collect(),
            refused: Vec::new(),
        };
        for &part in &blame.parts {
            let was_refused = self.is_refused(now, part);
            let crash = Crash { target, at: now };
            self.suspect(part).add_crash(crash);
            if !was_refused && self.is_refused(now, part) {
                blame.refused.push(part);
            }
        }
        blame
    }

    /// Applies what another member observed. Returns the parts that are refused from now on.
    pub fn merge(&mut self, now: Duration, reports: &[PartReport]) -> Vec<u64> {
        let mut refused = Vec::new();
        for report in reports {
            let was_refused = self.is_refused(now, report.part);
            let crashes = report.crashes.iter().filter(|(_, age)| *age < CRASH_MEMORY);
            let crashes: Vec<Crash> = crashes
                .map(|&(target, age)| Crash {
                    target,
                    at: now.saturating_sub(age),
                })
                .collect();
            if crashes.is_empty() {
                continue;
            }
            let suspect = self.suspect(report.part);
            for crash in crashes {
                suspect.add_crash(crash);
            }
            let answered = report.answered.map(|age| now.saturating_sub(age));
            suspect.last_answer = suspect.last_answer.max(answered);
            if !was_refused && self.is_refused(now, report.part) {
                refused.push(report.part);
            }
        }
        refused
    }

    /// Reports for the next heartbeat: the parts with the most crashes, and then the newest.
    #[must_use]
    pub fn reports(&self, now: Duration) -> Vec<PartReport> {
        let is_gossiped = |suspect: &Suspect| {
            let age = now.saturating_sub(suspect.last_crash());
            let is_refused = suspect.refused_until().is_some_and(|until| now < until);
            is_refused || age < SUSPECT_GOSSIP_TIME
        };
        let suspects = self.suspects.iter();
        let mut gossiped: Vec<(&u64, &Suspect)> = suspects
            .filter(|(_, suspect)| is_gossiped(suspect))
            .collect();
        gossiped.sort_unstable_by_key(|(_, suspect)| {
            Reverse((suspect.blamed_crashes(), suspect.last_crash()))
        });
        gossiped.truncate(MAX_REPORTS);
        let age = |at: Duration| now.saturating_sub(at);
        let report = |(&part, suspect): (&u64, &Suspect)| PartReport {
            part,
            crashes: suspect
                .crashes
                .iter()
                .map(|crash| (crash.target, age(crash.at)))
                .collect(),
            answered: suspect.last_answer.map(age),
        };
        gossiped.into_iter().map(report).collect()
    }

    /// Forgets crashes and answers that no longer matter.
    pub fn expire(&mut self, now: Duration) {
        self.suspects
            .retain(|_, suspect| now.saturating_sub(suspect.last_crash()) < CRASH_MEMORY);
        self.answered
            .retain(|_, &mut at| now.saturating_sub(at) < ANSWER_MEMORY);
    }

    fn last_answer(&self, part: u64) -> Option<Duration> {
        let gossiped = self.suspects.get(&part).and_then(|s| s.last_answer);
        self.answered.get(&part).copied().max(gossiped)
    }

    fn suspect(&mut self, part: u64) -> &mut Suspect {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&part) {
            let suspects = self.suspects.iter();
            let oldest = suspects
                .min_by_key(|(_, suspect)| (suspect.blamed_crashes(), suspect.last_crash()));
            if let Some((&oldest, _)) = oldest {
                self.suspects.remove(&oldest);
            }
        }
        let last_answer = self.answered.get(&part).copied();
        let suspect = self.suspects.entry(part).or_default();
        suspect.last_answer = suspect.last_answer.max(last_answer);
        suspect
    }

    fn evict_answered(&mut self) {
        let mut times: Vec<Duration> = self.answered.values().copied().collect();
        let middle = times.len() / 2;
        let (_, &mut median, _) = times.select_nth_unstable(middle);
        self.answered.retain(|_, &mut at| at > median);
    }
}
