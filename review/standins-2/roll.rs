//! Stops and starts members in turn.

use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Member};

/// Time between the signals to two members.
const GAP: Duration = Duration::from_secs(1);
/// The platform starts a process that has ended again after this time.
const RESTART_AFTER: Duration = Duration::from_millis(100);

/// Sends SIGTERM to `count` members, one each second, to the one that decides if its turn has not come yet. Each is
/// started again once it has ended.
pub fn roll(fleet: &Fleet, count: usize) -> Result<(), String> {
    let mut rolled = HashSet::new();
    let mut restarts = Vec::new();
    let mut next_at = Instant::now();
    while rolled.len() < count {
        thread::sleep(next_at.saturating_duration_since(Instant::now()));
        next_at += GAP;
        let is_left = |member: &&Member| !rolled.contains(&member.ip);
        let left: Vec<&Member> = fleet.members.iter().filter(is_left).collect();
        let owner = owner(left[0]);
        let chosen = left.iter().find(|member| Some(member.ip) == owner);
        let chosen: Member = (*chosen.unwrap_or(&left[0])).clone();
        rolled.insert(chosen.ip);
        chosen.stop();
        restarts.push(thread::spawn(move || {
            while !chosen.has_ended() {
                thread::sleep(Duration::from_millis(10));
            }
            thread::sleep(RESTART_AFTER);
            chosen.start()
        }));
    }
    for restart in restarts {
        restart.join().map_err(|_| "a restart failed")??;
    }
    Ok(())
}

/// The member that the newest line about a request names as the one that decided.
pub fn owner(member: &Member) -> Option<Ipv4Addr> {
    let log = std::fs::read_to_string(&member.log).ok()?;
    let at = log.rfind("\"owner\":\"")?;
    let ip: String = log[at + 9..].chars().take_while(|&c| c != '"').collect();
    ip.parse().ok()
}
