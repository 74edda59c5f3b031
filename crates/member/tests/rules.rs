//! Membership and ownership rules of a single daemon.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use member::{
    Config, HandoverResponse, HeartbeatInfo, HelloOutcome, Incarnation, Lease, Name, Ownership,
    RelayRole, View, Vm, VmList, VmState,
};

const IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const OLD: Incarnation = Incarnation(1);
const NEW: Incarnation = Incarnation(2);

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn name(vm: usize) -> Name {
    format!("vm-{vm}").into()
}

/// A list of VMs spread over `zones` zones.
fn list(generation: u64, vms: std::ops::Range<usize>, zones: usize) -> VmList {
    let vm = |i| Vm {
        name: name(i),
        zone: format!("zone-{}", i % zones).into(),
        state: VmState::Live,
        entry: SocketAddr::new(IP, 1),
        peer: SocketAddr::new(IP, 2),
    };
    let vms = vms.map(vm).collect();
    VmList { generation, vms }
}

fn view(vm: usize, list: VmList) -> View {
    let mut view = View::new(Config::default(), name(vm), OLD);
    view.on_list(secs(100), list, secs(0));
    view
}

/// Guards against a lease that stays valid without a recent list, and against one that peers with
/// another list keep valid.
#[test]
fn lease_needs_a_recent_list_or_all_peers() {
    let cases = [
        (8, &[][..], Lease::Held),
        (9, &[], Lease::InDoubt),
        (46, &[], Lease::InDoubt),
        (47, &[], Lease::Expired),
        (20, &[(1, 5), (2, 5)], Lease::Held),
        (20, &[(1, 5)], Lease::InDoubt),
        (20, &[(1, 5), (2, 4)], Lease::InDoubt),
        (20, &[(1, 5), (2, 6)], Lease::InDoubt),
    ];
    for (age, heartbeats, lease) in cases {
        let now = secs(100 + age);
        let mut view = view(0, list(5, 0..3, 1));
        for &(vm, generation) in heartbeats {
            let (age, ready) = (secs(60), true);
            view.on_heartbeat(
                now,
                &name(vm),
                HeartbeatInfo {
                    generation,
                    age,
                    ready,
                },
            );
        }
        assert!(!view.on_list(now, list(4, 0..3, 1), secs(0)), "older list");
        assert_eq!(view.lease(now), lease, "{age} s, {heartbeats:?}");
    }
}

/// Guards against a process that is assumed to have ended because of a hello from another address
/// than its VM's.
#[test]
fn restart_is_proved_only_from_the_listed_address() {
    let other = IpAddr::V4(Ipv4Addr::BROADCAST);
    for (from, outcome) in [
        (IP, HelloOutcome::Restarted { old: OLD }),
        (other, HelloOutcome::Replaced { old: OLD }),
    ] {
        let mut view = view(0, list(1, 0..2, 1));
        assert_eq!(view.on_hello(&name(1), OLD, IP), HelloOutcome::Known);
        assert_eq!(view.on_hello(&name(1), NEW, from), outcome);
    }
}

/// VMs 0, 1 and 2 by rank for the target: the owner, the next one and the last one.
fn ranked_names() -> [Name; 3] {
    let names = [name(0), name(1), name(2)];
    let ranked = member::ranked("t", names.iter().map(|name| &**name));
    [0, 1, 2].map(|rank| ranked[rank].into())
}

/// A daemon that read its first list, of three VMs, at 100 s.
fn daemon(vm: &str) -> (View, Ownership) {
    let view = view(vm[3..].parse().unwrap(), list(1, 0..3, 1));
    let mut own = Ownership::default();
    own.update(secs(100), &view, [("t".into(), "zone-0".into())]);
    (view, own)
}

/// The owner of the target, which started it fresh at 100 s.
fn owner() -> (View, Ownership) {
    let [owner, next, last] = ranked_names();
    let (view, mut own) = daemon(&owner);
    let late = own.on_handover(secs(100), &view, "t", true, 0);
    assert!(late.is_empty(), "a reply to an earlier request was applied");
    own.on_never_owned(secs(100), &view, "t", &next, 1);
    assert!(
        !own.on_never_owned(secs(100), &view, "t", &last, 1)
            .is_empty()
    );
    (view, own)
}

/// Guards against a target that is handed over to two daemons.
#[test]
fn target_is_handed_over_only_once() {
    let [_, asker, third] = ranked_names();
    let (view, mut own) = owner();
    for (case, from, incarnation, generation, response) in [
        (
            "the owner stops",
            &asker,
            OLD,
            3,
            HandoverResponse::HandedOver,
        ),
        (
            "the reply was lost",
            &asker,
            OLD,
            3,
            HandoverResponse::HandedOver,
        ),
        (
            "another process asks",
            &asker,
            NEW,
            3,
            HandoverResponse::Wait,
        ),
        (
            "another list generation",
            &asker,
            OLD,
            4,
            HandoverResponse::Wait,
        ),
        ("a third VM asks", &third, OLD, 2, HandoverResponse::Wait),
    ] {
        let from = (from, incarnation);
        let given = own.on_handover_request(secs(101), &view, &"t".into(), from, generation);
        assert_eq!(given, response, "{case}");
    }
    assert!(
        own.tick(secs(101), &view).is_empty(),
        "the target started again"
    );
}

/// Guards against a handover while a third VM, the owner by an intermediate list, may start the
/// target at the end of its hold-down.
#[test]
fn late_handover_needs_the_intermediate_lists() {
    let [first, next, _] = ranked_names();
    for (generation, at, response) in [
        (3, 109, HandoverResponse::HandedOver),
        (3, 111, HandoverResponse::Stopped),
        (2, 111, HandoverResponse::HandedOver),
        (2, 128, HandoverResponse::Stopped),
    ] {
        let (mut view, mut own) = owner();
        let mut moved = list(generation, 0..3, 1);
        let row = moved.vms.iter_mut().find(|row| row.name == first);
        row.unwrap().state = VmState::Leaving;
        view.on_list(secs(101), moved, secs(0));
        own.update(secs(101), &view, [("t".into(), "zone-0".into())]);
        let given = own.on_handover_request(secs(at), &view, &"t".into(), (&next, OLD), generation);
        assert_eq!(given, response, "generation {generation}, {at} s");
    }
}

/// Guards against a fresh start while a VM that left the list may still hold the target.
#[test]
fn departed_vm_may_still_hold_the_target() {
    let [first, next, last] = ranked_names();
    for (gone, generation, response) in [
        (None, 2, HandoverResponse::NeverOwned),
        (None, 3, HandoverResponse::Wait),
        (Some(last), 2, HandoverResponse::Wait),
    ] {
        let (mut view, mut own) = daemon(&next);
        let mut left = list(2, 0..3, 1);
        left.vms.retain(|row| Some(&row.name) != gone.as_ref());
        view.on_list(secs(101), left, secs(0));
        own.update(secs(101), &view, [("t".into(), "zone-0".into())]);
        let given =
            own.on_handover_request(secs(102), &view, &"t".into(), (&first, OLD), generation);
        assert_eq!(given, response, "{gone:?} left, generation {generation}");
    }
}

/// Guards against numbers of links and of platform readers that grow with the fleet.
#[test]
fn links_and_readers_are_bounded() {
    let all = list(1, 0..1300, 24);
    let zone = || (0..1300).step_by(24);
    let (mut relays, mut lost) = (0, 0);
    for vm in zone() {
        let mut view = view(vm, all.clone());
        assert!(view.peers().len() <= 2 + 14 + 23, "{}", view.peers().len());
        relays += usize::from(member::is_relay(&view));
        let heartbeat = HeartbeatInfo {
            generation: 1,
            age: secs(60),
            ready: true,
        };
        zone().for_each(|peer| view.on_heartbeat(secs(160), &name(peer), heartbeat));
        let role = member::relay_role(secs(160), &view);
        lost += usize::from(role != RelayRole::Follower);
    }
    assert_eq!(relays, 2);
    assert!((4..24).contains(&lost), "{lost} readers of 55 in an outage");
}
