//! All members are killed and start again just after a worker has become cold.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::calls::Clients;
use crate::fleet::{Fleet, KILL, config};
use crate::record::Record;
use crate::worker::Plan;

/// The bound of the rule: `cold_per_s` x `cold_overage` + `cold_slack`.
const BOUND: f64 = 23.0 * 1.5 + 5.0;
/// Time for which a worker stays cold (`cold_start_s`).
const COLD: Duration = Duration::from_secs(3);
/// Time until the next report of the worker (`heartbeat_ms`).
const REPORT: Duration = Duration::from_millis(1200);
/// Time until the platform starts a killed process again.
const DOWN: Duration = Duration::from_millis(300);
const WINDOW: Duration = Duration::from_secs(1);

pub fn play(record: &Arc<Record>, temp: &Path, trouble: bool) -> Verdict {
    let zones = ["a", "a", "a", "b", "b", "b", "b", "c", "c"].map(|zone| format!("costa-atl-{zone}"));
    let zones: Vec<&str> = zones.iter().map(String::as_str).collect();
    let fleet = Arc::new(Fleet::new(Arc::clone(record), temp, &zones, 500));
    let cold = config(1, "app", &["key-1"])
        .replace(r#""cold_start_s":0.0,"cold_per_s":0.0"#, r#""cold_start_s":3.0,"cold_per_s":23.0"#);
    fleet.store.put("op/config", &cold);
    for at in 0..4 {
        fleet.add_worker(&Plan {
            service: "app",
            zone: zones[at * 2],
            slots: 10,
            work: Duration::from_millis(60),
            goes_dark: false,
        });
    }
    fleet.start_members();
    thread::sleep(Duration::from_secs(5));
    let clients = Clients::start(&fleet, "order", 38, Duration::from_millis(140), "key-1", |_| true);
    let mut worst = 0;
    for turn in 0..5 {
        thread::sleep(Duration::from_secs(12));
        if trouble {
            record.show("all members are killed");
            for member in &fleet.members {
                fleet.signal(member, KILL);
            }
            thread::sleep(DOWN);
        }
        let worker = Arc::clone(&fleet.workers.lock().expect("workers")[turn % 4]);
        let since = record.now();
        record.show(&format!("{} becomes cold, and reports it {} ms later", worker.id(), REPORT.as_millis()));
        if trouble {
            for member in &fleet.members {
                fleet.start_member(member);
            }
        }
        thread::sleep(REPORT);
        worker.register_cold(2 + u64::try_from(turn).expect("a short list"), COLD - REPORT);
        thread::sleep(COLD - REPORT);
        worker.register("ready", 12 + u64::try_from(turn).expect("a short list"));
        thread::sleep(Duration::from_millis(300));
        let log = clients.log.lock().expect("log").clone();
        let arrivals = fleet.arrivals.lock().expect("arrivals").clone();
        let of_worker = arrivals.iter().filter(|arrival| arrival.worker == worker.index);
        let sent: Vec<(Duration, Duration)> = of_worker
            .filter_map(|arrival| log.get(&arrival.attempt).map(|sent| (sent.sent, arrival.at)))
            .filter(|&(sent, at)| sent >= since && at < since + COLD)
            .collect();
        let in_window = |from: Duration| sent.iter().filter(|&&(sent, at)| sent >= from && at < from + WINDOW).count();
        let most = sent.iter().map(|&(from, _)| in_window(from)).max().unwrap_or(0);
        record.show(&format!("it got at most {most} requests in one second while it was cold; {BOUND} are allowed"));
        worst = worst.max(most);
    }
    clients.finish();
    fleet.stop_members();
    Verdict { broken: f64::from(u32::try_from(worst).expect("a count")) > BOUND }
}
