//! A poison request, which crashes each engine that runs it, is refused at every VM after two
//! crashes.

mod support;

use std::time::Duration;

use serde_json::json;
use support::load::{Load, builder, call, fleet_lock, key, sheet};
use support::small_site::wait_until;
use support::{Site, WAIT_TIMEOUT, outcome_and_reason};
use testkit::client::Call;

const COLD_LIMIT: u32 = 2;
const ENGINES: usize = 6;
const VMS: usize = 7;
const MARKER: &str = "crash marker";

async fn start() -> Site {
    let limits = [("w1", 10_000_000, 10_000_000)];
    let sheet = sheet(&["quick"], &limits, ENGINES, 16_384, COLD_LIMIT);
    let mut site = Site::prepare(sheet, builder(VMS)).await;
    for engine in site.engines.values() {
        engine.crash_on_marker(Some(MARKER));
    }
    site.launch().await;
    wait_until("all targets are owned", async || {
        site.owners().await.len() == ENGINES
    })
    .await;
    site
}

/// The call that crashes engines. Its body is always the same; it has no request id, so each entry
/// assigns a new one.
fn poison_call() -> Call {
    let body = json!({ "prompt": MARKER, "max_tokens": 4 });
    Call::json("/v1/completions", &body)
        .key(&key("w1"))
        .timeout(WAIT_TIMEOUT)
}

/// Number of crashes that the call caused, over all engines.
fn crash_count(site: &Site) -> u64 {
    let engines = site.engines.values();
    engines.map(|engine| engine.stats().poisoned).sum()
}

/// Guards against a request that crashes one engine after another because its caller resends it
/// through other VMs as soon as it fails, and against other requests of its workspace that are
/// refused for it.
#[tokio::test]
async fn a_poison_request_is_refused_after_two_engines() {
    let _lock = fleet_lock().await;
    let site = start().await;
    let names = site.fleet.names();
    let clients: Vec<_> = names.iter().map(|vm| site.client(vm)).collect();
    // Load that needs all engines: while other engines are idle, an owner with only cold engines
    // gets no requests.
    for engine in site.engines.values() {
        engine.set_slowdown(10.0);
    }
    let load = Load::start(Duration::from_millis(10), move |n| {
        let index = usize::try_from(n).unwrap() % clients.len();
        (clients[index], call("w1", n, 80, 20))
    });
    for engine in site.engines.values() {
        engine.wait_for(|stats| stats.completed > 0).await;
    }

    let mut outcomes = Vec::new();
    for vm in names.iter().cycle().take(3 * VMS) {
        let response = site.client(vm).call(poison_call()).await.unwrap();
        outcomes.push(outcome_and_reason(&response));
    }

    println!("outcomes of the poison request: {outcomes:?}");
    let crashed = crash_count(&site);
    assert!(crashed <= 2, "{crashed} engines crashed: {outcomes:?}");
    let refused_as_poison = ("refused".to_string(), "poison".to_string());
    for end in &outcomes[outcomes.len() - VMS..] {
        assert_eq!(
            *end, refused_as_poison,
            "not refused at every VM: {outcomes:?}"
        );
    }
    for (name, engine) in &site.engines {
        let before = engine.stats().completed;
        let completed = engine.wait_for(|stats| stats.completed >= before + 3);
        let reached = tokio::time::timeout(WAIT_TIMEOUT, completed).await.is_ok();
        assert!(
            reached,
            "{name} completes no further runs: {:?}",
            engine.stats()
        );
        let stats = engine.stats();
        assert!(
            stats.peak_cold <= usize::try_from(COLD_LIMIT).unwrap(),
            "{name}: {stats:?}"
        );
        assert_eq!(stats.overloads, 0, "{name}: {stats:?}");
    }
    let tally = load.stop().await;
    println!("other requests of the workspace: {tally:?}");
    // Only requests that ran on an engine while it crashed may fail.
    let lost = tally.sent - tally.count("served", "");
    assert!(lost <= 2 * u64::from(COLD_LIMIT) * 8, "{tally:?}");
    assert_eq!(tally.count("refused", "poison"), 0, "{tally:?}");
    assert_eq!(crash_count(&site), crashed, "the poison request ran again");
}
