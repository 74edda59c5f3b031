//! Requests and parts of prompts that crash targets are told from sound ones.

#[path = "../../admit/tests/support/mod.rs"]
mod support;

use std::time::Duration;

use gateway::{Fingerprints, Part, PartReport, PoisonParts};
use support::ms;

/// A part of all prompts, one of a few, and one that crashes targets.
const COMMON: u64 = 1;
const RARE: u64 = 2;
const POISON: u64 = 3;
const START: Duration = Duration::from_secs(100);

fn is_refused(parts: &PoisonParts, now: Duration, part: u64) -> bool {
    parts.refusal(now, &prompt([COMMON, part])).is_some()
}

/// The parts of a prompt.
fn prompt<const N: usize>(hashes: [u64; N]) -> [Part; N] {
    let mut position = 0;
    hashes.map(|hash| {
        position += 1;
        Part::of_prompt(position - 1, hash)
    })
}

/// The parts that stand for a whole request.
fn request(coarse: u64, exact: u64) -> [Part; 2] {
    Part::of_fingerprints(Fingerprints { coarse, exact })
}

fn is_request_refused(parts: &PoisonParts, now: Duration, coarse: u64, exact: u64) -> bool {
    parts.refusal(now, &request(coarse, exact)).is_some()
}

/// Members that gossip with each other.
struct Fleet {
    now: Duration,
    members: Vec<PoisonParts>,
}

impl Fleet {
    fn new(size: usize) -> Self {
        let members = (0..size).map(|_| PoisonParts::default()).collect();
        Fleet {
            now: START,
            members,
        }
    }

    /// Each member gets the reports of all others.
    fn gossip(&mut self) {
        let now = self.now;
        let reports: Vec<Vec<PartReport>> = self
            .members
            .iter_mut()
            .map(|member| {
                let reports = member.reports(now);
                member.record_reports(now, &reports);
                reports
            })
            .collect();
        for member in &mut self.members {
            for reports in &reports {
                member.merge(self.now, reports);
            }
        }
    }

    fn refusing(&self, part: u64) -> usize {
        let refuses = |member: &&PoisonParts| is_refused(member, self.now, part);
        self.members.iter().filter(refuses).count()
    }
}

/// Guards against targets that crash one after the other because no request is like another one.
/// Each crash is seen by another member.
#[test]
fn a_part_that_crashes_three_targets_is_refused_by_all_members() {
    let mut fleet = Fleet::new(9);
    for target in 0..3 {
        assert_eq!(fleet.refusing(POISON), 0, "after {target} crashes");
        let now = fleet.now;
        let member = usize::try_from(target).expect("small");
        fleet.members[member].record_answer(now, &prompt([COMMON]));
        fleet.members[member].record_crash(now, &prompt([COMMON, POISON]), target);
        fleet.now += ms(300);
        fleet.gossip();
    }

    assert_eq!(fleet.refusing(POISON), 9);
    assert_eq!(fleet.refusing(COMMON), 0);
}

/// Guards against sound requests that are refused because they share parts with poison ones, or ran
/// on targets that crashed: an answer at any member clears a part.
#[test]
fn parts_on_which_answers_begin_are_not_refused() {
    let mut fleet = Fleet::new(9);
    for target in 0..60 {
        let now = fleet.now;
        let member = usize::try_from(target % 8).expect("small");
        fleet.members[member].record_crash(now, &prompt([COMMON, RARE, POISON]), target);
        if target % 10 == 0 {
            fleet.members[8].record_answer(now, &prompt([COMMON, RARE]));
        }
        fleet.now += ms(100);
        fleet.gossip();
        assert_eq!(fleet.refusing(RARE), 0, "after {target} crashes");
    }

    assert_eq!(fleet.refusing(POISON), 9);
}

/// Guards against a kind of request that is refused whole, when no answer began on its common part
/// because targets were overloaded or down.
#[test]
fn only_the_most_specific_part_of_the_same_prompts_is_refused() {
    let mut fleet = Fleet::new(9);
    for target in 0..3 {
        fleet.members[0].record_crash(fleet.now, &prompt([COMMON, POISON]), target);
        fleet.now += ms(50);
    }
    fleet.gossip();

    assert_eq!(fleet.refusing(POISON), 9);
    assert_eq!(fleet.refusing(RARE), 0, "prompts with the common part");
}

/// The common part may be the cause: then the other parts differ.
#[test]
fn a_common_part_with_crashes_of_its_own_is_refused() {
    let mut fleet = Fleet::new(9);
    for target in 0..3 {
        let now = fleet.now;
        fleet.members[0].record_crash(now, &prompt([COMMON, 100 + target]), target);
    }
    fleet.gossip();

    assert_eq!(fleet.refusing(RARE), 9, "prompts with the common part");
}

/// Guards against the refusal of parts of other runs on the targets that a poison part crashes.
#[test]
fn parts_of_other_runs_on_the_same_targets_are_not_refused() {
    let mut fleet = Fleet::new(9);
    for target in 0..6 {
        let now = fleet.now;
        if target < 4 {
            fleet.members[1].record_crash(now, &prompt([RARE]), target);
        }
        fleet.members[0].record_crash(now, &prompt([POISON]), target);
        fleet.now += ms(300);
        fleet.gossip();
    }

    assert_eq!(fleet.refusing(POISON), 9);
    assert_eq!(fleet.refusing(RARE), 0);
}

/// Guards against the refusal of a sound part whose runs were on crashed targets by chance.
#[test]
fn crashes_before_an_answer_do_not_count() {
    let mut parts = PoisonParts::default();
    let mut now = START;
    for target in 0..20 {
        parts.record_crash(now, &prompt([RARE]), target);
        now += Duration::from_secs(15);
        if target % 2 == 1 {
            parts.record_answer(now, &prompt([RARE]));
            now += Duration::from_secs(15);
        }
        assert!(!is_refused(&parts, now, RARE), "after {target} crashes");
    }
}

/// A part that was sound may become poison, for example with a new version of the targets.
#[test]
fn a_part_without_answers_for_a_while_is_blamed_again() {
    let mut parts = PoisonParts::default();
    parts.record_answer(START, &prompt([COMMON]));
    let mut now = START + Duration::from_secs(10);

    for target in 0..3 {
        assert!(!is_refused(&parts, now, COMMON));
        parts.record_crash(now, &prompt([COMMON]), target);
        now += ms(500);
    }

    assert!(is_refused(&parts, now, COMMON));
}

/// One crash that several members see is one crash.
#[test]
fn a_crash_is_counted_once() {
    let mut fleet = Fleet::new(9);
    for member in &mut fleet.members {
        member.record_crash(START, &prompt([POISON]), 1);
        member.record_crash(START + ms(1), &prompt([POISON]), 2);
    }
    fleet.now += ms(250);

    fleet.gossip();

    assert_eq!(fleet.refusing(POISON), 0);
}

/// Guards against members that forget a part when those that know it restart, one after the other.
#[test]
fn restarted_members_learn_of_refused_parts() {
    let mut fleet = Fleet::new(9);
    for target in 0..3 {
        fleet.members[0].record_crash(START, &prompt([POISON]), target);
    }
    fleet.now += ms(250);
    fleet.gossip();
    for at in 0..9 {
        fleet.members[at] = PoisonParts::default();
        fleet.now += Duration::from_secs(5);
        fleet.gossip();
    }

    assert_eq!(fleet.refusing(POISON), 9);
}

/// A refused part is tried again, and one more crash is enough.
#[test]
fn a_refusal_ends_and_returns_after_one_crash() {
    let mut parts = PoisonParts::default();
    for target in 0..3 {
        parts.record_crash(START, &prompt([POISON]), target);
    }
    let later = START + Duration::from_mins(2);
    assert!(is_refused(&parts, START + ms(119_999), POISON));
    assert!(!is_refused(&parts, later, POISON));

    parts.record_crash(later, &prompt([POISON]), 4);

    assert!(is_refused(&parts, later, POISON));
}

/// Guards against a request that crashes three targets of each shard, or again three after a restart
/// of the member that counted them, and against the refusal of sound requests with the same prompt.
#[test]
fn a_request_is_refused_by_its_fingerprint_at_all_members() {
    const FINGERPRINT: u64 = 77;
    let mut fleet = Fleet::new(9);
    for target in 0..3 {
        let member = usize::try_from(target).expect("small");
        let now = fleet.now;
        fleet.members[member].record_crash(now, &prompt([COMMON, RARE, FINGERPRINT]), target);
        fleet.members[member] = PoisonParts::default();
        fleet.members[member].record_crash(now, &prompt([COMMON, RARE, FINGERPRINT]), target);
        fleet.now += ms(400);
        fleet.gossip();
    }
    for at in 0..9 {
        fleet.members[at] = PoisonParts::default();
        fleet.gossip();
    }

    assert_eq!(fleet.refusing(FINGERPRINT), 9);
    assert_eq!(fleet.refusing(RARE), 0);
}

/// Guards against the refusal of a sound request that is repeated and whose runs are cut off beside
/// those of a poison request: an answer anywhere clears it, and the poison request explains the rest.
#[test]
fn a_sound_request_that_is_repeated_is_not_refused() {
    const ANSWERED: u64 = 78;
    const UNANSWERED: u64 = 79;
    let mut fleet = Fleet::new(9);
    for target in 0..5 {
        let now = fleet.now;
        fleet.members[0].record_crash(now, &prompt([POISON]), target);
        fleet.members[1].record_crash(now, &prompt([ANSWERED]), target);
        if target < 4 {
            fleet.members[1].record_crash(now, &prompt([UNANSWERED]), target);
        }
        fleet.members[2].record_answer(now, &prompt([ANSWERED]));
        fleet.now += ms(400);
        fleet.gossip();
    }

    assert_eq!(fleet.refusing(POISON), 9);
    assert_eq!(fleet.refusing(ANSWERED), 0);
    assert_eq!(fleet.refusing(UNANSWERED), 0);
}

/// Guards against the refusal of a sound request that was cut off by the same crashes as a poison one. The
/// next crash tells them apart.
#[test]
fn requests_with_the_same_crashes_are_refused_only_when_told_apart() {
    const SOUND: u64 = 80;
    // Of two equal parts the one with the larger hash would be taken.
    for poison in [SOUND - 1, SOUND + 1] {
        let mut fleet = Fleet::new(9);
        for target in 0..3 {
            let now = fleet.now;
            fleet.members[0].record_crash(now, &prompt([COMMON, SOUND]), target);
            fleet.members[1].record_crash(now, &prompt([COMMON, poison]), target);
            fleet.now += ms(400);
            fleet.gossip();
        }
        assert_eq!(fleet.refusing(SOUND), 0, "{poison}: three crashes");
        assert_eq!(fleet.refusing(RARE), 0, "{poison}: the common part");

        fleet.members[1].record_crash(fleet.now, &prompt([COMMON, poison]), 3);
        fleet.now += ms(400);
        fleet.gossip();

        assert_eq!(fleet.refusing(SOUND), 0, "{poison}");
        assert_eq!(fleet.refusing(poison), 9, "{poison}");
    }
}

/// Guards against requests that crash targets for ever because they always come two at a time.
#[test]
fn requests_that_are_never_told_apart_are_refused() {
    let mut parts = PoisonParts::default();
    for target in 0..5 {
        parts.record_crash(START, &prompt([POISON]), target);
        parts.record_crash(START, &prompt([POISON + 1]), target);
    }

    let refused = [POISON, POISON + 1].map(|part| is_refused(&parts, START, part));

    assert_ne!(refused, [false, false]);
}

/// Guards against a request that crashes targets for ever, as answers to sound ones of the same path clear
/// it, and against the refusal of sound ones at full load that come once each: the crashes cut many of them
/// off, and none has an answer of its own.
#[test]
fn a_request_is_refused_beside_sound_ones_that_share_its_coarse_fingerprint() {
    const COARSE: u64 = 50;
    // Sound requests may have the smaller hash or the larger one.
    for poison in [1, u64::MAX] {
        let mut fleet = Fleet::new(9);
        let mut sound = 1000;
        for target in 0..12 {
            let now = fleet.now;
            let member = usize::try_from(target % 9).expect("small");
            if !is_request_refused(&fleet.members[member], now, COARSE, poison) {
                assert!(target < 4, "{poison}: runs again after {target} crashes");
                fleet.members[member].record_crash(now, &request(COARSE, poison), target);
            }
            for at in 0..36 {
                sound += 1;
                let parts = &mut fleet.members[at % 9];
                assert!(!is_request_refused(parts, now, COARSE, sound), "{sound}");
                // It may be cut off again as it is sent to another target.
                parts.record_crash(now, &request(COARSE, sound), target);
                parts.record_crash(now, &request(COARSE, sound), target + 1);
                parts.record_answer(now, &request(COARSE, sound + 100_000));
            }
            fleet.now += ms(400);
            fleet.gossip();
            fleet.now += ms(250);
            fleet.gossip();
        }
        for cut_off in 1001..=sound {
            let refused = |m: &PoisonParts| is_request_refused(m, fleet.now, COARSE, cut_off);
            assert!(!fleet.members.iter().any(refused), "{cut_off}");
        }
    }
}

/// Guards against a crashing request that stays unknown to the other members, as its crashes cut off more
/// runs of one member than a heartbeat reports: all have one crash and were never answered.
#[test]
fn a_request_is_refused_though_a_crash_cuts_off_many_runs_of_a_member() {
    const CUT_OFF: u64 = 22;
    const ROWS: u64 = 20;
    let mut refusing = 0;
    for row in 0..ROWS {
        let mut fleet = Fleet::new(9);
        for target in 0..3 {
            let now = fleet.now;
            let crashed = &mut fleet.members[usize::try_from(target).expect("small")];
            for at in 0..CUT_OFF {
                let sound = 1000 * (target + 1) + 2 * at;
                crashed.record_crash(now, &request(sound, sound + 1), target);
            }
            crashed.record_crash(now, &request(row, 100 + row), target);
            // One second, the interval at which such a request comes again.
            for _ in 0..4 {
                fleet.now += ms(250);
                fleet.gossip();
            }
        }
        let refuses = |m: &&PoisonParts| is_request_refused(m, fleet.now, row, 100 + row);
        refusing += fleet.members.iter().filter(refuses).count();
    }

    assert_eq!(refusing, 9 * usize::try_from(ROWS).expect("small"));
}

/// Guards against a request that crashes targets for ever as its query is new each time.
#[test]
fn a_request_whose_query_is_new_each_time_is_refused() {
    const COARSE: u64 = 50;
    const SOUND_COARSE: u64 = 51;
    let mut fleet = Fleet::new(9);
    for target in 0..3 {
        let now = fleet.now;
        let member = usize::try_from(target).expect("small");
        fleet.members[member].record_crash(now, &request(COARSE, 100 + target), target);
        fleet.members[member].record_crash(now, &request(SOUND_COARSE, 200 + target), target);
        fleet.members[8].record_answer(now, &request(SOUND_COARSE, 300 + target));
        fleet.now += ms(400);
        fleet.gossip();
    }

    for member in &fleet.members {
        assert!(is_request_refused(member, fleet.now, COARSE, 999));
        assert!(!is_request_refused(member, fleet.now, SOUND_COARSE, 999));
    }
}

/// Guards against the refusal of a sound request that is repeated without an answer, beside one that crashes
/// targets with a new query each time. The exact fingerprint of the sound one is the most specific part, but
/// it belongs to another request than the coarse one of the poison.
#[test]
fn a_coarse_fingerprint_and_an_exact_one_are_told_apart() {
    const COARSE: u64 = 50;
    const SOUND: [u64; 2] = [51, 52];
    let mut parts = PoisonParts::default();
    let mut now = START;
    for target in 0..4 {
        parts.record_crash(now, &request(COARSE, 100 + target), target);
        if target < 3 {
            parts.record_crash(now, &request(SOUND[0], SOUND[1]), target);
        }
        now += ms(400);
        let sound_is_refused = is_request_refused(&parts, now, SOUND[0], SOUND[1]);
        assert!(!sound_is_refused, "after crash {target}");
    }

    assert!(is_request_refused(&parts, now, COARSE, 999));
}

/// Guards against the refusal of sound requests, or of none, while a fleet is updated: members of the
/// build before have one fingerprint of a request, which differs from those of this build. Each build finds
/// the request by its own crashes.
#[test]
fn members_of_two_builds_refuse_the_same_request_and_nothing_sound() {
    const COARSE: u64 = 50;
    const OLD_POISON: u64 = 60;
    const OLD_SOUND: u64 = 61;
    let is_old = |member: usize| member.is_multiple_of(2);
    let mut fleet = Fleet::new(8);
    let mut crashes = 0;
    for round in 0..30 {
        let (now, member, target) = (fleet.now, round % 8, round as u64);
        let sound = 1000 + target;
        let parts = &mut fleet.members[member];
        let (poison, sound, answered) = if is_old(member) {
            let old = |hash| vec![Part::of_prompt(0, hash)];
            (old(OLD_POISON), old(OLD_SOUND), old(OLD_SOUND))
        } else {
            let new = |exact| request(COARSE, exact).to_vec();
            (new(POISON), new(sound), new(sound + 1_000_000))
        };
        assert_eq!(parts.refusal(now, &sound), None, "round {round}");
        if parts.refusal(now, &poison).is_none() {
            crashes += 1;
            parts.record_crash(now, &poison, target);
            parts.record_crash(now, &sound, target);
        }
        parts.record_answer(now, &answered);
        fleet.now += ms(400);
        fleet.gossip();
    }

    assert_eq!(crashes, 6, "three for each build");
}

/// Guards against memory and heartbeats that grow with the number of parts.
#[test]
fn the_state_is_bounded() {
    const CRASHES: u64 = 20_000;
    let mut parts = PoisonParts::default();
    let mut now = START;
    for target in 0..3 {
        parts.record_crash(now, &prompt([POISON]), target);
    }
    for at in 0..CRASHES {
        now += ms(1);
        parts.record_crash(now, &prompt([1000 + at]), at);
        parts.record_answer(now, &prompt([100_000 + at]));
    }
    parts.expire(now);

    let reports = parts.reports(now);

    // The heartbeat of a member has room for a few dozen parts.
    assert!(reports.len() <= 24, "{}", reports.len());
    assert_eq!(reports[0].part, POISON, "refused parts come first");
}
