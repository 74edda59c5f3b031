//! Decisions about single targets.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use member::{
    Action, Answer, Config, Grants, Incarnation, Name, Ownership, Source, State, View, Vm, VmList,
    VmState,
};

const START: Duration = Duration::from_secs(1000);
const IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

fn list(generation: u64, names: &[&str]) -> VmList {
    let vm = |name: &&str| Vm {
        name: Name::from(*name),
        zone: "a".into(),
        state: VmState::Live,
        entry: SocketAddr::new(IP, 1),
        peer: SocketAddr::new(IP, 2),
    };
    VmList {
        generation,
        vms: names.iter().map(vm).collect(),
    }
}

fn targets() -> [(Name, Name); 1] {
    [("t".into(), "a".into())]
}

/// A daemon on VM `name` and the VMs ordered by rank for the target.
struct Daemon {
    name: Name,
    view: View,
    own: Ownership,
}

impl Daemon {
    fn new(name: &str) -> Self {
        let view = View::new(Config::default(), name.into(), Incarnation(1));
        let own = Ownership::default();
        let name = name.into();
        Self { name, view, own }
    }

    fn read(&mut self, now: Duration, list: VmList) -> Vec<Action> {
        self.view.on_list(now, list, Duration::ZERO);
        self.own.update(now, &self.view, targets())
    }

    fn ask(&mut self, now: Duration, from: &Daemon, generation: u64) -> Answer {
        let from = (&from.name, Incarnation(1));
        self.own
            .on_ask(now, &self.view, &"t".into(), from, generation)
    }
}

/// Names ranked for the target, the first owner first.
fn names() -> Vec<&'static str> {
    member::ranked("t", ["vm-1", "vm-2", "vm-3"])
}

fn secs(n: u64) -> Duration {
    START + Duration::from_secs(n)
}

fn start(source: Source) -> Action {
    Action::Start {
        target: "t".into(),
        source,
    }
}

/// Guards against a first start of a fleet that waits the hold-down although nobody ever owned
/// the targets.
#[test]
fn starts_fresh_when_all_never_owned() {
    let names = names();
    let mut first = Daemon::new(names[0]);
    let mut second = Daemon::new(names[1]);
    let both = list(1, &names[..2]);
    let asks = first.read(START, both.clone());
    second.read(START, both);
    assert!(matches!(
        &asks[..],
        [Action::AskHandover { generation: 1, .. }]
    ));

    assert_eq!(second.ask(START, &first, 1), Answer::NeverOwned);
    let actions = first
        .own
        .on_never_owned(START, &first.view, "t", &second.name, 1);

    assert_eq!(actions, [start(Source::Fresh)]);
    assert_eq!(first.own.grants(START, &first.view, "t"), Grants::Full);
}

/// Guards against a restart that takes a target before its unknown old owner has stopped.
#[test]
fn waits_the_hold_down_without_an_answer() {
    let names = names();
    let mut daemon = Daemon::new(names[0]);
    daemon.read(START, list(1, &names[..2]));
    for at in 1..38 {
        let actions = daemon.read(secs(at), list(1, &names[..2]));
        assert!(!actions.contains(&start(Source::AssumeFull)));
    }
    assert_eq!(daemon.own.state("t"), &State::HoldDown { until: secs(38) });

    let actions = daemon.read(secs(38), list(1, &names[..2]));

    assert_eq!(actions, [start(Source::AssumeFull)]);
}
