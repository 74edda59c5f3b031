//! Workers leave while one member is cut off from the store.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::calls::Clients;
use crate::fleet::{DRAIN, Fleet, STABLE_WINDOW, config};
use crate::record::Record;
use crate::worker::{Plan, Worker};

const ZONE: &str = "costa-atl-b";

fn plan(work_ms: u64) -> Plan<'static> {
    Plan {
        service: "app",
        zone: ZONE,
        slots: 6,
        work: Duration::from_millis(work_ms),
        goes_dark: false,
    }
}

/// A leaving that was acknowledged.
struct Leaving {
    worker: usize,
    id: String,
    acknowledged: Duration,
    /// Members that were disturbed around it.
    out_of_touch: Vec<usize>,
}

/// Counts the requests that reached workers too late.
fn count_late(record: &Record, fleet: &Fleet, sent: &std::collections::HashMap<String, crate::calls::Sent>, leavings: &[Leaving]) -> usize {
    let arrivals = fleet.arrivals.lock().expect("arrivals").clone();
    let mut all = 0;
    for leaving in leavings {
        let mut late: Vec<Duration> = Vec::new();
        let (mut by_others, mut lost) = (0, 0);
        for arrival in arrivals.iter().filter(|arrival| arrival.worker == leaving.worker) {
            let Some(sent) = sent.get(&arrival.attempt) else { continue };
            if arrival.at <= leaving.acknowledged + DRAIN {
                continue;
            }
            if leaving.out_of_touch.contains(&sent.member) {
                by_others += 1;
                continue;
            }
            late.push(arrival.at - leaving.acknowledged);
            lost += usize::from(matches!(sent.status, 0 | 502 | 504));
        }
        late.sort_unstable();
        let seconds = |at: Option<&Duration>| at.map_or(0.0, Duration::as_secs_f64);
        record.show(&format!(
            "{}: left at {:.3} s; {} requests reached it later than {} ms after the ack, from members in touch ({:.3} to {:.3} s after it), {lost} of them lost; {by_others} from others",
            leaving.id,
            leaving.acknowledged.as_secs_f64(),
            late.len(),
            DRAIN.as_millis(),
            seconds(late.first()),
            seconds(late.last())
        ));
        all += late.len();
    }
    all
}

/// One member is cut off from the store, and a worker leaves whose entry is removed.
pub fn play(record: &Arc<Record>, temp: &Path, trouble: bool) -> Verdict {
    let zones = [ZONE; 4];
    let fleet = Arc::new(Fleet::new(Arc::clone(record), temp, &zones, 500));
    fleet.store.put("op/config", &config(1, "app", &["key-1"]));
    for _ in 0..4 {
        fleet.add_worker(&plan(60));
    }
    fleet.start_members();
    thread::sleep(Duration::from_secs(5));
    let clients = Clients::start(&fleet, "order", 12, Duration::from_millis(20), "key-1", |_| true);
    thread::sleep(Duration::from_secs(2));
    let mut leavings = Vec::new();
    for turn in 0..12 {
        let readers = fleet.store.watching();
        let cut = readers[turn % readers.len()];
        if trouble {
            fleet.store.set_cut(cut, true);
            record.show(&format!("member {cut} is cut off from the store"));
        }
        thread::sleep(Duration::from_millis(900));
        // A new worker takes the place of an old one, whose entry is removed.
        let old: Arc<Worker> = Arc::clone(&fleet.workers.lock().expect("workers")[turn]);
        fleet.add_worker(&plan(60));
        thread::sleep(Duration::from_millis(100));
        let id = old.id();
        old.deregister();
        let acknowledged = record.now();
        record.show(&format!("the entry of {id} is removed"));
        leavings.push(Leaving {
            worker: old.index,
            id,
            acknowledged,
            out_of_touch: if trouble { vec![cut] } else { Vec::new() },
        });
        // It serves for `drain_ms` and a little longer, and exits.
        thread::sleep(DRAIN + Duration::from_millis(250));
        old.exit();
        record.line(&format!("worker {} exits", old.id()));
        thread::sleep(Duration::from_millis(750));
        if trouble {
            fleet.store.set_cut(cut, false);
            record.show(&format!("member {cut} reaches the store again"));
        }
        thread::sleep(STABLE_WINDOW + Duration::from_millis(200));
    }
    let sent = clients.finish();
    fleet.stop_members();
    let late = count_late(record, &fleet, &sent, &leavings);
    Verdict { broken: late > 0 }
}
