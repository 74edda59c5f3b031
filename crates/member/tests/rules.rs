//! Rules of a single daemon.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use member::{
    Answer, Beat, Config, Greeting, Incarnation, Lease, Name, Ownership, RelayRole, View, Vm,
    VmList, VmState,
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

/// A list of VMs in `zones` zones.
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

/// Guards against a lease that outlives the list, and against one that peers without the same
/// list keep alive.
#[test]
fn lease_follows_the_list_or_all_peers() {
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
    for (age, beats, lease) in cases {
        let now = secs(100 + age);
        let mut view = view(0, list(5, 0..3, 1));
        for &(vm, generation) in beats {
            let (age, ready) = (secs(60), true);
            view.on_heartbeat(
                now,
                &name(vm),
                Beat {
                    generation,
                    age,
                    ready,
                },
            );
        }
        assert!(!view.on_list(now, list(4, 0..3, 1), secs(0)), "older list");
        assert_eq!(view.lease(now), lease, "{age} s, {beats:?}");
    }
}

/// Guards against a process declared gone on the word of another address.
#[test]
fn hello_shows_a_restart_only_from_the_listed_address() {
    let other = IpAddr::V4(Ipv4Addr::BROADCAST);
    for (from, greeting) in [
        (IP, Greeting::Restarted { old: OLD }),
        (other, Greeting::Replaced { old: OLD }),
    ] {
        let mut view = view(0, list(1, 0..2, 1));
        assert_eq!(view.on_hello(&name(1), OLD, IP), Greeting::Known);
        assert_eq!(view.on_hello(&name(1), NEW, from), greeting);
    }
}

/// Guards against a second daemon that gets the target after it was handed over.
#[test]
fn handed_over_target_is_promised_once() {
    let (target, zone): (Name, Name) = ("t".into(), "zone-0".into());
    let owner = list(1, 0..3, 1);
    let owner = (0..3).find(|vm| view(*vm, owner.clone()).owner("t", "zone-0") == Some(&name(*vm)));
    let owner = owner.unwrap();
    let (asker, third) = (name((owner + 1) % 3), name((owner + 2) % 3));
    let view = view(owner, list(1, 0..3, 1));
    let mut own = Ownership::default();
    own.update(secs(100), &view, [(target.clone(), zone)]);
    for vm in [&asker, &third] {
        own.on_never_owned(secs(100), &view, "t", vm, 1);
    }
    let cases = [
        ("the owner stops", &asker, OLD, 3, Answer::Given),
        ("the answer was lost", &asker, OLD, 3, Answer::Given),
        ("another process asks", &asker, NEW, 3, Answer::Wait),
        ("by another list", &asker, OLD, 4, Answer::Wait),
        ("a third VM asks", &third, OLD, 2, Answer::Wait),
    ];
    for (case, from, incarnation, generation, answer) in cases {
        let from = (from, incarnation);
        let given = own.on_ask(secs(101), &view, &target, from, generation);
        assert_eq!(given, answer, "{case}");
    }
    assert!(own.tick(secs(101), &view).is_empty(), "started again");
}

/// Guards against links and readers of the platform that grow with the fleet.
#[test]
fn links_and_readers_are_bounded() {
    let all = list(1, 0..1300, 24);
    let zone = || (0..1300).step_by(24);
    let (mut relays, mut lost) = (0, 0);
    for vm in zone() {
        let mut view = view(vm, all.clone());
        assert!(view.peers().len() <= 2 + 14 + 23, "{}", view.peers().len());
        relays += usize::from(member::is_relay(&view));
        let beat = Beat {
            generation: 1,
            age: secs(60),
            ready: true,
        };
        zone().for_each(|peer| view.on_heartbeat(secs(160), &name(peer), beat));
        let role = member::relay_role(secs(160), &view);
        lost += usize::from(role != RelayRole::Follower);
    }
    assert_eq!(relays, 2);
    assert!((4..24).contains(&lost), "{lost} readers of 55 in an outage");
}
