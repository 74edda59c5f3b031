//! Open channels to the store go silent right after a change of the configuration.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::calls::Clients;
use crate::fleet::{CONFIG_APPLY, Fleet, STABLE_WINDOW, config};
use crate::record::Record;
use crate::worker::Plan;

/// The key that is taken away.
const KEY: &str = "key-old";

pub fn play(record: &Arc<Record>, temp: &Path, trouble: bool) -> Verdict {
    let zones = ["costa-atl-a", "costa-atl-a", "costa-atl-b", "costa-atl-b"];
    let fleet = Arc::new(Fleet::new(Arc::clone(record), temp, &zones, 500));
    fleet.store.put("op/config", &config(1, "app", &["key-1", KEY]));
    for at in 0..4 {
        fleet.add_worker(&Plan {
            service: "app",
            zone: zones[at],
            slots: 6,
            work: Duration::from_millis(60),
            goes_dark: false,
        });
    }
    fleet.start_members();
    thread::sleep(Duration::from_secs(5));
    let clients = Clients::start(&fleet, "old-key", 8, Duration::from_millis(20), KEY, |_| true);
    thread::sleep(Duration::from_secs(2));

    // Two changes half a second apart, and between them the channels go silent.
    fleet.store.put("op/config", &config(2, "app", &["key-1", KEY, "key-new"]));
    record.show("version 2 is acknowledged: a key more");
    thread::sleep(Duration::from_millis(100));
    if trouble {
        fleet.store.silence();
    }
    let silent_at = record.now();
    if trouble {
        record.show("the open channels to the store are silent from now on; new ones work");
    }
    thread::sleep(Duration::from_millis(400));
    fleet.store.put("op/config", &config(3, "app", &["key-1", "key-new"]));
    let acknowledged = record.now();
    record.show(&format!("version 3 is acknowledged: {KEY} is taken away"));
    thread::sleep(Duration::from_secs(6));
    let sent = clients.finish();
    fleet.stop_members();

    let in_touch_from = if trouble { silent_at + STABLE_WINDOW } else { Duration::ZERO };
    let bound = in_touch_from.max(acknowledged + CONFIG_APPLY);
    let arrivals = fleet.arrivals.lock().expect("arrivals").clone();
    let mut late: Vec<Duration> = Vec::new();
    for arrival in &arrivals {
        if let Some(sent) = sent.get(&arrival.attempt)
            && sent.sent > bound
        {
            late.push(sent.sent);
            record.line(&format!("{} ran, sent to member {} at {:.3}", arrival.attempt, sent.member, sent.sent.as_secs_f64()));
        }
    }
    late.sort_unstable();
    let after = |at: Duration, from: Duration| (at - from).as_secs_f64();
    record.show(&format!(
        "{} requests with {KEY} ran that were sent later than {} ms after version 3 was acknowledged, by members in touch",
        late.len(),
        CONFIG_APPLY.as_millis()
    ));
    if let (Some(&first), Some(&last)) = (late.first(), late.last()) {
        record.show(&format!(
            "they were sent {:.3} to {:.3} s after the ack, and {:.3} to {:.3} s after the channels went silent",
            after(first, acknowledged),
            after(last, acknowledged),
            after(first, silent_at),
            after(last, silent_at)
        ));
    }
    Verdict { broken: !late.is_empty() }
}
