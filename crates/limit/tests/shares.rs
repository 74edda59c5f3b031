//! Accrual, lease, move and reclaim rules at a single holder.

use std::time::Duration;

use limit::{
    Claim, LeaseState, Limit, Name, PARTS, PartMove, Reclaim, RefusalCounts, RefusalReason, Shares,
    Timing,
};

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn timing() -> Timing {
    Timing {
        propagation: s(5),
        hold_down: s(20),
    }
}

/// Creates a holder of `parts` empty parts that each accrue one token per second.
fn shares(parts: u16, burst: u64) -> (Shares, Name) {
    let ws = Name::from("salon-7");
    let rate = u64::from(PARTS);
    let mut shares = Shares::new(1, timing());
    shares.configure(s(0), [(ws.clone(), Limit { rate, burst })]);
    shares.set_peers([2]);
    for number in 0..parts {
        shares.start_part(s(0), &ws, number, 1);
    }
    (shares, ws)
}

fn part(ws: &Name, epoch: u64, hops: u64) -> PartMove {
    PartMove {
        workspace: ws.clone(),
        number: 9,
        epoch,
        hops,
        level_millis: 1_000,
        receiver: 1,
    }
}

/// Guards against accrual that is lost or gained when it is computed often.
#[test]
fn accrual_is_independent_of_call_frequency() {
    let (mut shares, ws) = shares(1, 32_000);
    let step = Duration::from_nanos(3_333);
    for i in 1..=300_030 {
        assert_eq!(shares.claim(step * i, &ws).tokens, 0);
    }
    assert_eq!(shares.claim(s(1), &ws).tokens, 1);
}

/// Guards against a remainder of accrual that is kept although the bucket is full.
#[test]
fn full_bucket_keeps_no_remainder() {
    let (mut shares, ws) = shares(PARTS, 1);
    let nearly = Duration::from_nanos(999);
    shares.claim(s(9) + nearly, &ws);
    let now = s(9) + nearly;
    shares.reserve(now, &ws, 1).expect("the bucket is full");
    let full_again = now + s(1) / u32::from(PARTS);
    let before = full_again.saturating_sub(Duration::from_nanos(1));
    assert!(shares.reserve(before, &ws, 1).is_err());
    assert!(shares.reserve(full_again, &ws, 1).is_ok());
}

/// Guards against different replies to copies of a message, or to late ones: both the giver and the
/// receiver would hold the part, or neither.
#[test]
fn duplicate_moves_get_the_same_reply() {
    let (mut shares, ws) = shares(0, 3_200);
    let accept = |shares: &mut Shares, from, epoch, hops| {
        let part = part(&ws, epoch, hops);
        shares.accept(s(1), from, &part)
    };
    shares.suspend();
    assert!(!accept(&mut shares, 2, 1, 4), "suspended");
    shares.resume();
    assert!(!accept(&mut shares, 2, 1, 4), "duplicate of a denied move");
    assert!(!accept(&mut shares, 3, 1, 5), "the giver isn't listed");
    assert!(accept(&mut shares, 2, 1, 6));
    assert!(
        accept(&mut shares, 2, 1, 6),
        "duplicate of an accepted move"
    );
    assert_eq!(
        shares.claim(s(1), &ws).tokens,
        1,
        "the part is added only once"
    );
    assert!(
        accept(&mut shares, 2, 1, 4),
        "the giver must not take it back"
    );
    assert!(accept(&mut shares, 2, 2, 1), "a higher epoch replaces it");
    assert_eq!(shares.claim(s(1), &ws).parts, [(9, 2)]);
    let announced = Claim {
        workspace: ws.clone(),
        parts: vec![(9, 3)],
        tokens: 0,
    };
    shares.record_claim(s(1), 2, &announced);
    assert!(accept(&mut shares, 2, 2, 7), "older than the announcement");
    assert_eq!(shares.claim(s(1), &ws).parts, []);
    let elsewhere = PartMove {
        receiver: 7,
        ..part(&ws, 3, 1)
    };
    assert!(!shares.accept(s(1), 2, &elsewhere));
}

/// Guards against accrual while the lease is in doubt, spending after expiry or a pause, and
/// keeping parts that may have been started elsewhere.
#[test]
fn lease_state_limits_accrual_moves_and_spending() {
    let (mut shares, ws) = shares(PARTS, 3_200);
    shares.set_lease(s(1), LeaseState::InDoubt);
    assert_eq!(shares.claim(s(9), &ws).tokens, 32);
    assert!(shares.give(s(9), &ws, 1, 2).is_empty());
    assert!(
        shares.reserve(s(9), &ws, 2).is_ok(),
        "spending is allowed in doubt"
    );
    shares.set_lease_end(s(9), s(10));
    let reason = |shares: &mut Shares, now| shares.reserve(now, &ws, 1).unwrap_err().reason;
    assert_eq!(reason(&mut shares, s(10)), RefusalReason::Lease);

    shares.keep_parts_after_expiry();
    shares.set_lease_end(s(20), s(30));
    shares.set_lease(s(20), LeaseState::Held);
    assert_eq!(shares.claim(s(20), &ws).tokens, 30, "the list is unchanged");
    shares.suspend();
    assert_eq!(reason(&mut shares, s(20)), RefusalReason::Suspended);
    shares.resume();
    shares.set_lease_end(s(30), s(40));
    shares.set_lease(s(30), LeaseState::Held);
    assert!(shares.claim(s(30), &ws).parts.is_empty(), "dropped");
    let refused: Vec<RefusalCounts> = shares.status(s(30)).map(|s| s.refused).collect();
    assert_eq!(refused, [[0, 0, 0, 1, 1]]);
}

/// Guards against two daemons with different lists that both start the same part: neither starts an
/// epoch that the other one announces or holds.
#[test]
fn successors_with_different_lists_do_not_both_start_a_part() {
    let (mut shares, ws) = shares(0, 3_200);
    let vm = || [(Name::from("vm-2"), Some(2))];
    let claim = |epoch| Claim {
        workspace: ws.clone(),
        parts: vec![(0, epoch)],
        tokens: 0,
    };
    let mut reclaim = Reclaim::new(s(0), timing());
    reclaim.set_listed(s(0), &mut shares, vm());
    reclaim.set_successor(s(0), &ws, 1);
    let mut round = |shares: &mut Shares, at, claims: &[Claim]| {
        let query = reclaim.next_query(s(at), shares);
        reclaim.record_reply(query.id, 2, claims);
        let started = reclaim.poll(s(at), shares, 0);
        (query.claims, started.len())
    };
    assert_eq!(round(&mut shares, 20, &[]), (vec![], 0));
    assert_eq!(round(&mut shares, 21, &[claim(1)]), (vec![claim(1)], 0));

    shares.record_claim(s(21), 2, &claim(1));
    assert_eq!(round(&mut shares, 51, &[]), (vec![], 0));
    shares.record_claim(s(51), 2, &claim(2));
    assert_eq!(round(&mut shares, 52, &[]), (vec![claim(2)], 0));

    assert_eq!(round(&mut shares, 82, &[]), (vec![], 0));
    assert_eq!(round(&mut shares, 83, &[]), (vec![claim(3)], 1));
}
