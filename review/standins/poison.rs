//! A request that crashes its workers comes again while the members are restarted in turn.

use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::calls::Clients;
use crate::fleet::{Fleet, Request, STABLE_WINDOW, config};
use crate::record::Record;
use crate::worker::{CRASHING_BODY, Plan};

const WORKERS: usize = 8;
/// Workers of a pool with four shards.
const LARGE_WORKERS: usize = 120;
/// The crashing request comes again after this time.
const PAUSE: Duration = Duration::from_millis(400);
/// Time for which it comes.
const LENGTH: Duration = Duration::from_secs(52);
/// Pause between the restarts of two members (`gap_s`).
const GAP: Duration = Duration::from_millis(1000);
/// Retries that the rule allows.
const ALLOWED: usize = 3;

/// With as many workers that their pool has several shards, and without restarts.
pub fn play_large(record: &Arc<Record>, temp: &Path, _trouble: bool) -> Verdict {
    play_with(record, temp, Trouble::None, LARGE_WORKERS)
}

pub fn play(record: &Arc<Record>, temp: &Path, trouble: bool) -> Verdict {
    let trouble = if trouble { Trouble::Restarts } else { Trouble::None };
    play_with(record, temp, trouble, WORKERS)
}

/// The machines of crashed workers go dark; no member is restarted.
pub fn play_dark(record: &Arc<Record>, temp: &Path, trouble: bool) -> Verdict {
    let trouble = if trouble { Trouble::DarkWorkers } else { Trouble::None };
    play_with(record, temp, trouble, WORKERS)
}

#[derive(Clone, Copy, PartialEq)]
enum Trouble {
    None,
    /// The members are restarted in turn.
    Restarts,
    /// The machine of a crashed worker goes dark: its channels hang until it is back.
    DarkWorkers,
}

fn play_with(record: &Arc<Record>, temp: &Path, trouble: Trouble, workers: usize) -> Verdict {
    let zones = ["costa-atl-a", "costa-atl-a", "costa-atl-b", "costa-atl-b"];
    let fleet = Arc::new(Fleet::new(Arc::clone(record), temp, &zones, 500));
    fleet.store.put("op/config", &config(1, "app", &["key-1"]));
    for at in 0..workers {
        fleet.add_worker(&Plan {
            service: "app",
            zone: zones[at % zones.len()],
            slots: 6,
            work: Duration::from_millis(60),
            goes_dark: trouble == Trouble::DarkWorkers,
        });
    }
    fleet.start_members();
    thread::sleep(Duration::from_secs(4));
    let sound = Clients::start(&fleet, "sound", 12, Duration::from_millis(40), "key-1", |member| member.is_ready());

    // Both rounds of restarts begin after the request has crashed its third worker and a while more.
    let restarts = (trouble == Trouble::Restarts).then(|| {
        let fleet = Arc::clone(&fleet);
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(8));
            for round in 1..=2 {
                fleet.record.show(&format!("round {round}: the members are restarted in turn"));
                for member in &fleet.members {
                    fleet.restart(member);
                    thread::sleep(GAP);
                }
            }
        })
    });
    let started = Instant::now();
    let mut sent: HashMap<String, (Duration, bool)> = HashMap::new();
    let mut number = 0;
    while started.elapsed() < LENGTH {
        let member = &fleet.members[number % fleet.members.len()];
        number += 1;
        if member.is_ready() {
            let attempt = format!("crashing-{number}");
            let call = fleet.call(
                member,
                &Request {
                    path: "/swap/confirm",
                    attempt: &attempt,
                    key: "key-1",
                    deadline: Duration::from_millis(1500),
                    body: CRASHING_BODY,
                },
            );
            let in_touch = call.sent >= member.disturbed() + STABLE_WINDOW;
            sent.insert(attempt, (call.sent, in_touch));
        }
        thread::sleep(PAUSE);
    }
    if let Some(restarts) = restarts {
        assert!(restarts.join().is_ok(), "the restarts failed");
    }
    let sound = sound.finish();
    fleet.stop_members();

    let arrivals = fleet.arrivals.lock().expect("arrivals").clone();
    let crashes: Vec<_> = arrivals.iter().filter(|arrival| arrival.crashed).collect();
    record.show(&format!("the crashing request was sent {} times and crashed {} workers", sent.len(), crashes.len()));
    let Some(third) = crashes.get(2).map(|crash| crash.at) else {
        panic!("the request has not crashed three workers");
    };
    let is_late = |attempt: &str| sent.get(attempt).is_some_and(|&(at, in_touch)| in_touch && at > third + STABLE_WINDOW);
    let late = crashes.iter().filter(|crash| is_late(&crash.attempt)).count();
    record.show(&format!(
        "third crash at {:.3} s; {late} retries reached workers, sent by members in touch later than {} ms after it; {ALLOWED} are allowed",
        third.as_secs_f64(),
        STABLE_WINDOW.as_millis()
    ));
    let ran = |attempt: &str| arrivals.iter().any(|arrival| arrival.attempt == attempt);
    let lost = sound.iter().filter(|(attempt, sent)| matches!(sent.status, 0 | 502 | 504) && ran(attempt)).count();
    record.show(&format!("of {} sound orders, {lost} had reached a worker and got 502, 504 or nothing", sound.len()));
    Verdict { broken: late > ALLOWED }
}
