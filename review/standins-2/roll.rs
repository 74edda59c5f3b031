//! Stops and starts members in turn.

use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Member};
use crate::http;

/// Time between the signals to two members.
const GAP: Duration = Duration::from_secs(1);
/// Port of the metrics in the deploy file.
const METRICS_PORT: u16 = 9464;
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
        let owner = owner(&left);
        let chosen = left.iter().find(|member| Some(member.ip) == owner);
        let chosen: Member = (*chosen.unwrap_or(&left[0])).clone();
        fleet.record.line(&format!("{owner:?} decides"));
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

/// The member that has granted most of the requests that are running, by its metrics.
fn owner(members: &[&Member]) -> Option<Ipv4Addr> {
    let granted = members
        .iter()
        .map(|member| (granted_runs(member), member.ip));
    let (most, ip) = granted.max_by(|a, b| a.0.total_cmp(&b.0))?;
    (most > 0.0).then_some(ip)
}

fn granted_runs(member: &Member) -> f64 {
    let request = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let address = (member.ip, METRICS_PORT).into();
    let page = http::call(address, request, Duration::from_millis(500)).body;
    let page = String::from_utf8_lossy(&page).into_owned();
    let line = page
        .lines()
        .find_map(|line| line.strip_prefix("primrosechute_granted_runs "));
    line.and_then(|value| value.trim().parse().ok())
        .unwrap_or(0.0)
}
