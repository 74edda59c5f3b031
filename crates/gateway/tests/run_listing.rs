//! Which owners get the list of runs of an entry.

#[path = "../../admit/tests/support/mod.rs"]
mod support;

use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;
use std::time::Duration;

use gateway::{Membership, Position, RunListing, run_list_len};
use support::ms;

const HEARTBEAT: Duration = Duration::from_millis(250);

fn ip(at: u64) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 1, u8::try_from(at).expect("a small number"))
}

/// Bytes per second of lists of one member that sends 20 requests of half a second each second to
/// owners in rotation.
fn bytes_per_s(owners: u64) -> usize {
    let mut membership = Membership::new(ip(0), u64::MAX, Vec::new());
    membership.update_local(|me| {
        (me.ready, me.store_reachable, me.store_steady) = (true, true, true);
        (me.seq, me.zone, me.max_members) = (100_000, 9_000, 300);
        me.position = Position::new(1, 1_000_000);
    });
    let me = membership.local();
    let mut listing = RunListing::default();
    let mut runs: HashMap<u64, Ipv4Addr> = HashMap::new();
    let (mut sent, mut next_run) = (0, 0);
    for beat in 0..80_u32 {
        let now = HEARTBEAT * beat;
        for _ in 0..5 {
            runs.insert(next_run, ip(1 + next_run % owners));
            next_run += 1;
        }
        let ended: Vec<u64> = runs
            .keys()
            .copied()
            .filter(|r| r + 15 <= next_run)
            .collect();
        for run in ended {
            let owner = runs.remove(&run).expect("the run is in flight");
            listing.record_end(now, owner);
        }
        let in_flight: HashSet<Ipv4Addr> = runs.values().copied().collect();
        for owner in listing.due(now, &in_flight, |_| Some(1)) {
            listing.record_sent(now, owner, Some(1));
            let listed = runs.iter().filter(|&(_, &at)| at == owner);
            let listed: Vec<(u64, u64)> = listed.map(|(&run, _)| (run, run)).collect();
            sent += run_list_len(me, &listed);
        }
    }
    sent / 20
}

/// Guards against lists that go to every owner that was asked in the last seconds: with 64 shards
/// they took most of the 18 KB/s that a member may send.
#[test]
fn lists_do_not_grow_with_the_number_of_owners() {
    let (few, many) = (bytes_per_s(16), bytes_per_s(64));

    println!("{few} bytes a second with 16 owners, {many} with 64");
    assert!(many <= 5_000 && many * 2 <= few * 3, "{few}, {many}");
}

/// Guards against a run that an owner counts for long because its end and a list were lost, and
/// against an owner that does not learn of runs in flight after its restart, or after it took the
/// entry for dead.
#[test]
fn ends_are_repeated_and_runs_in_flight_are_refreshed() {
    let mut listing = RunListing::default();
    let mut sent_at = Vec::new();
    for at in (0..6_000).step_by(250) {
        // A run is granted at 0 s and ends at 4 s. The owner restarts at 2.5 s.
        let (now, incarnation) = (ms(at), u64::from(at >= 2_500));
        let in_flight = HashSet::from_iter((at < 4_000).then_some(ip(1)));
        if at == 4_000 {
            listing.record_end(now, ip(1));
        }
        for owner in listing.due(now, &in_flight, |_| Some(incarnation)) {
            listing.record_sent(now, owner, Some(incarnation));
            sent_at.push(at);
        }
    }

    assert_eq!(sent_at, [1_000, 2_000, 2_500, 3_500, 4_000, 4_250, 4_500]);
}
