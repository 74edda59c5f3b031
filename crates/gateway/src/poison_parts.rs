//! Detects requests that crash the targets that run them, and parts of prompts that do so whatever
//! else the request holds. The fingerprints of a request, by which its repetitions are recognized,
//! count as the last parts of its prompt.
//!
//! Each member observes the runs of its own callers and learns from heartbeats what the others
//! observed. A crash is blamed on the parts of all runs that it cut off, at whatever event of their
//! streams. Most of these parts are sound. A complete answer on a part clears it, at all members; the
//! poison parts are the fewest that explain all other crashes. An answer that has only begun clears
//! nothing: the request may crash its target at a later event.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use admit::Fingerprints;

/// A part is refused after it was in the prompts of runs on this many crashed targets.
const REFUSE_AFTER_CRASHES: usize = 3;
/// Requests that were cut off by exactly the same crashes can't be told apart. They are refused only
/// after this many crashes: a sound one that ran beside a poison one by chance would be refused for as
/// long as the poison one.
const REFUSE_TIED_AFTER_CRASHES: usize = 5;
/// Time for which a part is refused after its last crash. Then its requests are sent again, and one
/// more crash is enough.
const REFUSE_TIME: Duration = Duration::from_mins(2);
/// Time for which a crash is remembered.
const CRASH_MEMORY: Duration = Duration::from_mins(10);
/// A part is not blamed for a crash if an answer on it was completed in this time before the crash.
const ANSWER_MEMORY: Duration = Duration::from_secs(10);
/// Time for which a suspected part is gossiped after its last crash. It takes a second to reach all
/// members.
const SUSPECT_GOSSIP_TIME: Duration = Duration::from_secs(20);
/// Maximum number of suspected parts; of those with the fewest crashes, the oldest is evicted.
const MAX_SUSPECTS: usize = 1024;
/// Maximum number of parts whose last answer is remembered; the oldest half is evicted.
const MAX_ANSWERED: usize = 8192;
/// Maximum number of crashes of one part that are remembered, and that are in one heartbeat.
const MAX_CRASHES: usize = 16;
const MAX_REPORTED_CRASHES: usize = 4;
/// Maximum number of suspected parts in one heartbeat.
const MAX_REPORTS: usize = 12;
/// How many of these are chosen by rank. The others take turns.
const MAX_RANKED_REPORTS: usize = MAX_REPORTS / 2;

/// Depths of the fingerprints. They are the same for all requests, however many parts their prompts have.
const COARSE_DEPTH: u32 = u32::MAX - 1;
const EXACT_DEPTH: u32 = u32::MAX;

/// Something that requests may have in common and that may be the cause of crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identifies the part.
    pub hash: u64,
    /// How specific it is: its position in the prompt, 0 for the first part, or a larger number for a
    /// fingerprint.
    pub depth: u32,
}

impl Part {
    /// The part at a position of a prompt.
    #[must_use]
    pub const fn of_prompt(position: u32, hash: u64) -> Self {
        Part {
            hash,
            depth: position,
        }
    }

    /// The parts that stand for a whole request.
    #[must_use]
    pub const fn of_fingerprints(fingerprints: Fingerprints) -> [Self; 2] {
        let coarse = Part {
            hash: fingerprints.coarse,
            depth: COARSE_DEPTH,
        };
        let exact = Part {
            hash: fingerprints.exact,
            depth: EXACT_DEPTH,
        };
        [coarse, exact]
    }
}

/// Observations about one part, as they are gossiped. Times are ages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartReport {
    /// Hash of the part.
    pub part: u64,
    /// Depth of the part, see [`Part`].
    pub depth: u32,
    /// Targets that crashed with runs of the part, each with the time since the crash.
    pub crashes: Vec<(u64, Duration)>,
    /// Time since an answer on the part was completed, if one is known.
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
    /// See [`Part`].
    depth: u32,
    /// The newest crashes, oldest first.
    crashes: VecDeque<Crash>,
    last_answer: Option<Duration>,
    /// Time of the last heartbeat that reported it, if it has had no further crash since.
    last_report: Option<Duration>,
}

impl Suspect {
    fn add_crash(&mut self, crash: Crash) {
        if self.crashes.iter().any(|c| c.target == crash.target) {
            return;
        }
        let position = self.crashes.partition_point(|c| c.at <= crash.at);
        self.crashes.insert(position, crash);
        self.last_report = None;
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_front();
        }
    }

    fn last_crash(&self) -> Duration {
        self.crashes.back().map_or(Duration::ZERO, |crash| crash.at)
    }

    /// Crashes that no answer has cleared.
    fn blamed_crashes(&self) -> impl Iterator<Item = &Crash> {
        let cleared_until = self.last_answer.map(|at| at + ANSWER_MEMORY);
        let crashes = self.crashes.iter();
        crashes.filter(move |crash| cleared_until.is_none_or(|until| crash.at >= until))
    }

    fn report(&self, now: Duration, part: u64) -> PartReport {
        let age = |at: Duration| now.saturating_sub(at);
        let newest = self.crashes.iter().rev().take(MAX_REPORTED_CRASHES);
        PartReport {
            part,
            depth: self.depth,
            crashes: newest.map(|crash| (crash.target, age(crash.at))).collect(),
            answered: self.last_answer.map(age),
        }
    }

    /// Targets of the crashes that no answer has cleared, without the given ones.
    fn unexplained_crashes(&self, explained: &HashSet<u64>) -> HashSet<u64> {
        let targets = self.blamed_crashes().map(|crash| crash.target);
        targets
            .filter(|target| !explained.contains(target))
            .collect()
    }
}

/// What a member knows about the parts of prompts.
#[derive(Default)]
pub struct PoisonParts {
    /// Time at which the last answer on a part was completed at this member.
    answered: HashMap<u64, Duration>,
    suspects: HashMap<u64, Suspect>,
    /// Parts that explain the crashes, with the time until which they are refused.
    poison: HashMap<u64, Duration>,
}

impl PoisonParts {
    /// Time for which requests with any of the parts are refused; `None` if they are not.
    #[must_use]
    pub fn refusal(&self, now: Duration, parts: &[Part]) -> Option<Duration> {
        let until = parts
            .iter()
            .filter_map(|part| self.poison.get(&part.hash))
            .max()?;
        until.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Number of parts that are refused.
    #[must_use]
    pub fn refused_parts(&self, now: Duration) -> usize {
        self.poison.values().filter(|&&until| now < until).count()
    }

    /// Records that an answer on a prompt with these parts was completed.
    pub fn record_answer(&mut self, now: Duration, parts: &[Part]) {
        let mut is_suspected = false;
        for part in parts {
            self.answered.insert(part.hash, now);
            if let Some(suspect) = self.suspects.get_mut(&part.hash) {
                suspect.last_answer = Some(now);
                is_suspected = true;
            }
        }
        if is_suspected {
            self.find_poison();
        }
        if self.answered.len() > MAX_ANSWERED {
            self.evict_answered();
        }
    }

    /// Records that a target crashed with a run whose prompt has these parts.
    pub fn record_crash(&mut self, now: Duration, parts: &[Part], target: u64) -> Blame {
        let is_blamed = |part: &&Part| {
            self.last_answer(part.hash)
                .is_none_or(|at| now.saturating_sub(at) >= ANSWER_MEMORY)
        };
        let blamed: Vec<Part> = parts.iter().filter(is_blamed).copied().collect();
        for part in &blamed {
            let suspect = self.suspect(part.hash);
            suspect.depth = suspect.depth.max(part.depth);
            suspect.add_crash(Crash { target, at: now });
        }
        Blame {
            parts: blamed.into_iter().map(|part| part.hash).collect(),
            refused: self.find_newly_refused(now),
        }
    }

    /// Applies what another member observed. Returns the parts that are refused from now on.
    pub fn merge(&mut self, now: Duration, reports: &[PartReport]) -> Vec<u64> {
        if reports.is_empty() {
            return Vec::new();
        }
        for report in reports {
            let crashes = report.crashes.iter().filter(|(_, age)| *age < CRASH_MEMORY);
            let mut crashes = crashes.peekable();
            if crashes.peek().is_none() {
                continue;
            }
            let suspect = self.suspect(report.part);
            suspect.depth = suspect.depth.max(report.depth);
            for &(target, age) in crashes {
                let at = now.saturating_sub(age);
                suspect.add_crash(Crash { target, at });
            }
            let answered = report.answered.map(|age| now.saturating_sub(age));
            suspect.last_answer = suspect.last_answer.max(answered);
        }
        self.find_newly_refused(now)
    }

    /// Reports for the next heartbeat. Refused parts and those with several crashes come first, up to half
    /// of the reports. The others take turns: a crash that cuts off many runs leaves many parts with
    /// one crash each, and any of them may be the cause.
    #[must_use]
    pub fn reports(&self, now: Duration) -> Vec<PartReport> {
        let mut gossiped: Vec<(u64, &Suspect)> = self
            .suspects
            .iter()
            .filter(|(part, suspect)| self.is_gossiped(now, **part, suspect))
            .map(|(&part, suspect)| (part, suspect))
            .collect();
        let rank = |&(part, suspect): &(u64, &Suspect)| {
            let crashes = suspect.blamed_crashes().count();
            (self.is_refused(now, part), crashes, suspect.last_crash())
        };
        gossiped.sort_by_cached_key(|entry| Reverse(rank(entry)));
        let is_ranked = |entry: &&(u64, &Suspect)| {
            let (is_refused, crashes, _) = rank(entry);
            is_refused || crashes > 1
        };
        let ranked = gossiped.iter().take_while(is_ranked).count();
        let (ranked, others) = gossiped.split_at_mut(ranked.min(MAX_RANKED_REPORTS));
        // Stable, so of those that were reported at the same time the highest in rank is the first.
        others.sort_by_key(|(_, suspect)| suspect.last_report);
        let chosen = ranked.iter().chain(others.iter()).take(MAX_REPORTS);
        chosen
            .map(|&(part, suspect)| suspect.report(now, part))
            .collect()
    }

    /// Records that parts were reported in a heartbeat to other members. Those with the longest time since
    /// then are the next.
    pub fn record_reports(&mut self, now: Duration, reports: &[PartReport]) {
        for report in reports {
            if let Some(suspect) = self.suspects.get_mut(&report.part) {
                suspect.last_report = Some(now);
            }
        }
    }

    fn is_gossiped(&self, now: Duration, part: u64, suspect: &Suspect) -> bool {
        let age = now.saturating_sub(suspect.last_crash());
        self.is_refused(now, part) || age < SUSPECT_GOSSIP_TIME
    }

    fn is_refused(&self, now: Duration, part: u64) -> bool {
        self.poison.get(&part).is_some_and(|&until| now < until)
    }

    /// Forgets crashes and answers that no longer matter.
    pub fn expire(&mut self, now: Duration) {
        self.suspects
            .retain(|_, suspect| now.saturating_sub(suspect.last_crash()) < CRASH_MEMORY);
        self.answered
            .retain(|_, &mut at| now.saturating_sub(at) < ANSWER_MEMORY);
        let suspects = &self.suspects;
        self.poison.retain(|part, _| suspects.contains_key(part));
    }

    /// Updates the parts that explain the crashes. Returns those that are refused from now on.
    fn find_newly_refused(&mut self, now: Duration) -> Vec<u64> {
        let before = std::mem::take(&mut self.poison);
        self.find_poison();
        let was_refused = |part: &u64| before.get(part).is_some_and(|&until| now < until);
        let refused = self.poison.iter().filter(|&(_, &until)| now < until);
        let new = refused.filter(|(part, _)| !was_refused(part));
        new.map(|(&part, _)| part).collect()
    }

    /// Updates the parts that explain the crashes: again and again the one with the most crashes
    /// that none before it explains. Sound parts of the same prompts, and of other runs on the same
    /// targets, have no crashes of their own. Of parts with the same crashes the deepest is the most
    /// specific. If they belong to several requests, the next crash may tell which of them is poison.
    fn find_poison(&mut self) {
        self.poison.clear();
        let mut explained: HashSet<u64> = HashSet::new();
        let suspects = self.suspects.iter();
        let mut candidates: Vec<(u64, &Suspect)> = suspects
            .filter(|(_, suspect)| suspect.crashes.len() >= REFUSE_AFTER_CRASHES)
            .map(|(&part, suspect)| (part, suspect))
            .collect();
        loop {
            let crashes: Vec<HashSet<u64>> = candidates
                .iter()
                .map(|(_, suspect)| suspect.unexplained_crashes(&explained))
                .collect();
            let best = (0..candidates.len()).max_by_key(|&at| {
                let (part, suspect) = candidates[at];
                (crashes[at].len(), suspect.depth, part)
            });
            let Some(at) = best.filter(|&at| crashes[at].len() >= REFUSE_AFTER_CRASHES) else {
                return;
            };
            let (part, suspect) = candidates[at];
            let same_crashes = (0..candidates.len()).filter(|&other| crashes[other] == crashes[at]);
            let depths = same_crashes.map(|other| candidates[other].1.depth);
            if !is_tied(suspect.depth, depths) || crashes[at].len() >= REFUSE_TIED_AFTER_CRASHES {
                self.poison.insert(part, suspect.last_crash() + REFUSE_TIME);
            }
            explained.extend(&crashes[at]);
            candidates.swap_remove(at);
        }
    }

    fn last_answer(&self, part: u64) -> Option<Duration> {
        let gossiped = self.suspects.get(&part).and_then(|s| s.last_answer);
        self.answered.get(&part).copied().max(gossiped)
    }

    fn suspect(&mut self, part: u64) -> &mut Suspect {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&part) {
            let suspects = self.suspects.iter();
            let oldest = suspects.min_by_key(|(_, s)| (s.blamed_crashes().count(), s.last_crash()));
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

/// Whether parts with the same crashes, of which `best` is the deepest, can't be told apart. Two of one
/// depth belong to different requests. Each request has a coarse fingerprint, so two of these are two
/// requests as well, even if the exact one of only one of them was repeated.
fn is_tied(best: u32, depths: impl Iterator<Item = u32>) -> bool {
    let mut seen = HashSet::new();
    let mut compared = depths.filter(|&depth| depth >= best.min(COARSE_DEPTH));
    compared.any(|depth| !seen.insert(depth))
}
