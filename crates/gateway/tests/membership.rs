//! Membership from seeds.

mod support;

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use gateway::Membership;
use support::ms;

struct World {
    now: Duration,
    rosters: Vec<Membership>,
    /// Members that are cut off from all others.
    cut: Vec<bool>,
    dead: Vec<bool>,
}

fn ip(at: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, u8::try_from(at + 1).expect("few members"))
}

impl World {
    fn new(size: usize, seeds: &[usize]) -> Self {
        let seeds: Vec<Ipv4Addr> = seeds.iter().map(|&at| ip(at)).collect();
        let rosters = (0..size).map(|at| {
            let mut roster = Membership::new(ip(at), at as u64 + 100, seeds.clone());
            roster.update_local(|me| {
                me.ready = true;
                me.store_reachable = true;
            });
            roster
        });
        World {
            now: Duration::ZERO,
            rosters: rosters.collect(),
            cut: vec![false; size],
            dead: vec![false; size],
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            for from in 0..self.rosters.len() {
                if self.dead[from] {
                    continue;
                }
                let (beat, to) = self.rosters[from].next_heartbeat(self.now);
                for ip in to {
                    let to = usize::from(ip.octets()[3]) - 1;
                    let reaches = !self.cut[from] && !self.cut[to] && !self.dead[to];
                    if reaches {
                        self.rosters[to].receive_heartbeat(self.now, &beat);
                    }
                }
            }
            self.now += ms(250);
        }
    }

    fn entries(&self, at: usize) -> usize {
        self.rosters[at].entries(self.now).len()
    }

    fn first_owners(&self) -> HashMap<Ipv4Addr, usize> {
        let mut owners = HashMap::new();
        for (at, roster) in self.rosters.iter().enumerate() {
            if !self.dead[at] {
                *owners.entry(roster.owners(self.now, 0)[0]).or_default() += 1;
            }
        }
        owners
    }
}

/// All members know all others within three seconds through one live seed of three, and agree on
/// the owner.
#[test]
fn members_find_each_other() {
    for size in [2, 9, 40, 87] {
        let mut world = World::new(size, &[0, size + 5, size + 6]);
        // Seeds that name no member are not answered.
        world.cut.resize(size + 10, true);
        world.dead.resize(size + 10, true);
        world.run(Duration::from_secs(3));

        for at in 0..size {
            assert_eq!(world.entries(at), size, "{size} members, at {at}");
        }
        assert_eq!(world.first_owners().len(), 1, "{size} members");
    }
}

#[test]
fn a_dead_member_is_left_out() {
    let mut world = World::new(9, &[0]);
    world.run(Duration::from_secs(3));
    world.dead[4] = true;
    world.run(Duration::from_secs(3));

    for at in [0, 1, 8] {
        assert_eq!(world.entries(at), 8);
        assert!(!world.rosters[at].owners(world.now, 0).contains(&ip(4)));
    }
}

/// A member that was cut off uses the part of one, and both sides find each other afterwards.
#[test]
fn a_cut_splits_the_limits_and_heals() {
    let mut world = World::new(9, &[0, 1]);
    // A process that started lately takes a missing seed as a sign of a larger fleet.
    world.run(Duration::from_secs(31));
    world.cut[5] = true;
    // From its first moment: nobody asks it but itself.
    let owner = world.rosters[5].owners(world.now, 0)[0];
    if owner != ip(5) {
        assert!(world.rosters[5].limit_share(world.now, 0, 1).share <= 1.0 / 9.0 + 1e-9);
    }
    world.run(Duration::from_secs(3));

    assert_eq!(world.rosters[5].live_count(world.now), 1);
    assert!((world.rosters[5].limit_share(world.now, 0, 1).share - 1.0 / 9.0).abs() < 1e-9);
    assert!(world.rosters[0].limit_share(world.now, 0, 8).share <= 8.0 / 9.0 + 1e-9);
    world.cut[5] = false;
    world.run(Duration::from_secs(3));
    for at in 0..9 {
        assert_eq!(world.entries(at), 9);
        assert!((world.rosters[at].limit_share(world.now, 0, 9).share - 1.0).abs() < 1e-9);
    }
}

/// A process that starts anew at the address of another one takes its place, and a rumor of the
/// old one does not bring it back.
#[test]
fn a_new_incarnation_takes_the_place_of_the_old_one() {
    let mut world = World::new(5, &[0]);
    world.run(Duration::from_secs(2));
    let mut reborn = Membership::new(ip(3), 999, vec![ip(0)]);
    reborn.update_local(|me| me.ready = true);
    world.rosters[3] = reborn;
    world.run(Duration::from_secs(2));

    for at in [0, 1, 2, 4] {
        assert!(world.rosters[at].is_gone(world.now, ip(3), 103));
        assert!(!world.rosters[at].is_gone(world.now, ip(3), 999));
    }
}

#[test]
fn a_stopping_member_is_named_to_no_caller_and_owns_last() {
    let mut world = World::new(4, &[0]);
    world.run(Duration::from_secs(2));
    world.rosters[2].update_local(|me| me.stopping = true);
    world.run(ms(750));

    for at in 0..4 {
        assert_eq!(world.entries(at), 3);
        assert_eq!(world.rosters[at].owners(world.now, 0).last(), Some(&ip(2)));
    }
}

/// An owner that is silent is passed over at once by the member that noticed, for a while.
#[test]
fn a_mistrusted_owner_is_passed_over() {
    let mut world = World::new(4, &[0]);
    world.run(Duration::from_secs(2));
    let at = (0..4)
        .find(|&at| world.rosters[at].owners(world.now, 0)[0] != ip(at))
        .expect("three members are not the owner");
    let first = world.rosters[at].owners(world.now, 0)[0];

    let now = world.now;
    world.rosters[at].suspect(now, first);

    assert_ne!(world.rosters[at].owners(now, 0)[0], first);
    world.run(ms(1250));
    assert_eq!(world.rosters[at].owners(world.now, 0)[0], first);
}
