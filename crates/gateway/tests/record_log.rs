//! The copy of the store's items that members pass on.

use gateway::adapter::Record;
use gateway::{LogDelta, Position, RecordLog, delta_len};

fn written(key: &str, revision: u64) -> Record {
    Record {
        key: key.into(),
        value: Some(format!("{key}@{revision}").into_bytes().into()),
        revision,
    }
}

fn removed(key: &str, revision: u64) -> Record {
    Record {
        value: None,
        ..written(key, revision)
    }
}

/// Position in the first era.
fn at(revision: u64) -> Position {
    Position::new(1, revision)
}

fn listed_log() -> RecordLog {
    let mut log = RecordLog::default();
    log.apply_listing(&[written("a", 3), written("b", 7)], at(10));
    log
}

/// Items of a snapshot in order of their keys.
fn snapshot(log: &RecordLog) -> Vec<Record> {
    match log.since(Position::default()) {
        LogDelta::Snapshot(mut records) => {
            records.sort_by(|a, b| a.key.cmp(&b.key));
            records
        }
        other => panic!("{other:?} is no snapshot"),
    }
}

/// Each row: revision that a member knows, and what it gets from a log whose listing is of revision
/// 10 and that has seen changes at 12 and 15.
#[test]
fn a_member_gets_what_it_lacks() {
    let mut log = listed_log();
    log.apply_changes(vec![written("c", 12)], at(13));
    log.apply_changes(vec![removed("a", 15)], at(20));
    let rows = [
        (
            10,
            LogDelta::Changes(vec![written("c", 12), removed("a", 15)]),
        ),
        (
            11,
            LogDelta::Changes(vec![written("c", 12), removed("a", 15)]),
        ),
        (12, LogDelta::Changes(vec![removed("a", 15)])),
        (15, LogDelta::Changes(Vec::new())),
        (20, LogDelta::None),
        (21, LogDelta::None),
    ];

    for (after, expected) in rows {
        assert_eq!(log.since(at(after)), expected, "after revision {after}");
    }
    assert_eq!(snapshot(&log), [written("b", 7), written("c", 12)]);
}

/// A member that knows nothing, or less than the history goes back, gets all items.
#[test]
fn a_member_that_missed_too_much_gets_a_snapshot() {
    let mut log = listed_log();
    assert!(matches!(log.since(at(9)), LogDelta::Snapshot(_)));
    for revision in 11..3000 {
        log.apply_changes(vec![written("c", revision)], at(revision));
    }

    assert!(matches!(log.since(at(10)), LogDelta::Snapshot(_)));
    assert!(matches!(log.since(at(2990)), LogDelta::Changes(records) if records.len() == 9));
}

/// Guards against a reader that lags behind and brings back items that were replaced since.
#[test]
fn older_records_of_a_key_are_ignored() {
    let mut log = listed_log();

    let applied = log.apply_changes(vec![written("b", 6), written("a", 11)], at(11));

    assert_eq!(applied, [written("a", 11)]);
    assert_eq!(snapshot(&log), [written("a", 11), written("b", 7)]);
}

/// Guards against a snapshot of a reader that lags behind.
#[test]
fn an_older_listing_is_rejected() {
    let mut log = listed_log();

    assert_eq!(log.apply_listing(&[written("a", 3)], at(9)), None);

    assert_eq!(log.position(), at(10));
    assert_eq!(snapshot(&log), [written("a", 3), written("b", 7)]);
}

/// A listing after a failure shows changes that no watch reported. Members that follow get them
/// as changes, and so do the members that follow those.
#[test]
fn changes_found_by_a_listing_are_passed_on() {
    let mut reader = listed_log();
    let mut follower = listed_log();
    let mut second = listed_log();

    let found_by_reader = reader.apply_listing(&[written("b", 11), written("c", 8)], at(14));
    let found = vec![removed("a", 14), written("b", 11), written("c", 8)];
    assert_eq!(found_by_reader, Some(found));
    let LogDelta::Changes(changes) = reader.since(follower.position()) else {
        panic!("{:?}", reader.since(at(10)));
    };
    follower.apply_changes(changes, reader.position());
    let LogDelta::Changes(changes) = follower.since(second.position()) else {
        panic!("{:?}", follower.since(at(10)));
    };
    second.apply_changes(changes, follower.position());

    let expected = [written("b", 11), written("c", 8)];
    for log in [&reader, &follower, &second] {
        assert_eq!(snapshot(log), expected);
        assert_eq!(log.position(), at(14));
    }
}

/// Guards against listings that cost as much processor time as the first one, at this member and at
/// its followers, when history is compacted.
#[test]
fn a_listing_without_changes_adds_no_history() {
    let mut log = listed_log();

    let changed = log.apply_listing(&[written("a", 3), written("b", 7)], at(12));

    assert_eq!(changed, Some(Vec::new()));
    assert_eq!(log.since(at(10)), LogDelta::Changes(Vec::new()));
}

/// Guards against items and followers that stay in the time before a restore of the store, because
/// its revisions have gone back.
#[test]
fn a_listing_of_a_later_era_replaces_all_items() {
    let mut log = listed_log();
    log.apply_changes(vec![written("a", 15), written("c", 18)], at(20));
    let restored = Position::new(2, 12);

    let changed = log.apply_listing(&[written("a", 3), written("b", 11)], restored);
    let rewritten = log.apply_changes(vec![written("a", 14)], Position::new(2, 14));

    let expected = vec![removed("c", 12), written("a", 3), written("b", 11)];
    assert_eq!(changed, Some(expected));
    assert_eq!(rewritten, [written("a", 14)]);
    assert_eq!(log.position(), Position::new(2, 14));
    assert!(matches!(log.since(at(20)), LogDelta::Snapshot(_)));
    let newer = LogDelta::Changes(vec![written("a", 14)]);
    assert_eq!(log.since(restored), newer);
}

/// Guards against a late response, or a reader that has not heard of the restore, which bring back
/// the time before.
#[test]
fn data_of_an_earlier_era_is_ignored() {
    let mut log = listed_log();
    log.apply_listing(&[written("a", 3)], Position::new(2, 5));

    let listing = log.apply_listing(&[written("a", 9), written("b", 30)], at(30));
    let changes = log.apply_changes(vec![written("b", 31)], at(31));

    assert_eq!((listing, changes), (None, vec![]));
    assert_eq!(log.position(), Position::new(2, 5));
    assert_eq!(log.since(Position::new(3, 1)), LogDelta::None);
}

/// Guards against changes of a later era that are applied to items of an earlier one.
#[test]
fn changes_of_a_later_era_wait_for_a_listing() {
    let mut log = listed_log();

    let changes = log.apply_changes(vec![written("b", 31)], Position::new(2, 31));

    assert_eq!((changes, log.position()), (vec![], at(10)));
}

/// Targets of a large fleet, with values of the size that the store holds.
fn large_listing(targets: u64) -> Vec<Record> {
    let target = |at| Record {
        value: Some(vec![b'x'; 250].into()),
        ..written(&format!("op/target/{at}"), at + 1)
    };
    (0..targets).map(target).collect()
}

/// Guards against a whole snapshot of 900 kB for each member whose own listing is older than the
/// history of the reader that it follows.
#[test]
fn a_member_that_listed_before_its_reader_gets_a_difference() {
    let before = large_listing(3_000);
    let mut after = before[5..].to_vec();
    after.extend((0..20).map(|at| written(&format!("op/target/{at}"), 3_100 + at)));
    let (mut reader, mut follower) = (RecordLog::default(), RecordLog::default());
    reader.apply_listing(&after[10..], at(3_150));
    follower.apply_listing(&before, at(3_000));

    let delta = reader.difference_since(follower.position());
    let bytes = delta_len(delta.clone());
    let LogDelta::Difference { newer, digest } = delta else {
        panic!("{bytes} bytes, but no difference");
    };
    let all = follower.complete(newer, &digest).expect("all are known");
    follower.apply_listing(&all, reader.position());

    println!("{bytes} bytes");
    assert!(bytes <= 30_000, "{bytes} bytes");
    assert_eq!(snapshot(&follower), snapshot(&reader));
}

/// Guards against items that are lost because a member knows less than its position says, and
/// against differences that are malformed or belong to other items.
#[test]
fn a_difference_that_does_not_fit_changes_nothing() {
    let mut follower = listed_log();
    follower.apply_changes(vec![written("c", 14)], at(20));
    let mut reader = RecordLog::default();
    let items = [written("a", 3), written("b", 5), written("d", 30)];
    reader.apply_listing(&items, at(40));
    let LogDelta::Difference { newer, digest } = reader.difference_since(at(20)) else {
        panic!("{:?}", reader.difference_since(at(20)));
    };
    let rows = [
        (newer.clone(), digest.clone()),
        (Vec::new(), digest.clone()),
        (newer.clone(), Vec::new()),
        (vec![removed("b", 30)], digest.clone()),
        (newer, [digest.clone(), digest].concat()),
    ];

    for (newer, digest) in rows {
        assert_eq!(follower.complete(newer, &digest), None, "{digest:?}");
    }
    let of_another_era = reader.difference_since(Position::new(2, 1));
    assert_eq!(of_another_era, LogDelta::None);
    for unknown in [Position::default(), Position::new(0, 30)] {
        let delta = reader.difference_since(unknown);
        assert!(matches!(delta, LogDelta::Snapshot(_)), "{unknown:?}");
    }
}

/// Guards against a history that is shorter than one burst of changes at all targets.
#[test]
fn the_history_covers_a_burst_of_changes() {
    let mut log = RecordLog::default();
    log.apply_listing(&large_listing(3_000), at(3_000));
    for change in 0..6_000 {
        let key = format!("op/target/{}", change % 3_000);
        let record = if change < 3_000 { removed } else { written };
        log.apply_changes(vec![record(&key, 3_001 + change)], at(3_001 + change));
    }

    let missed = log.since(at(3_050));
    assert!(matches!(missed, LogDelta::Changes(records) if records.len() == 5_950));
}
