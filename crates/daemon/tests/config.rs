//! Changes of the configuration while traffic runs: zones, keys, targets and revisions.

mod support;

use std::time::Duration;

use serde_json::json;
use sheet::{KeyState, TargetState, ZoneState};
use support::{Site, WAIT_TIMEOUT, builder, chat_call, completion_call, outcome_and_reason};
use testkit::client::{Call, ClientResponse};
use testkit::fleet::FleetBuilder;
use testkit::{ConfigServiceFault, RunEnd};

/// Time within which a change must take effect at daemons that reach the configuration service.
const CHANGE_LIMIT: Duration = Duration::from_secs(3);
/// The same for daemons that get the change only from peers.
const CHANGE_LIMIT_BY_PEERS: Duration = Duration::from_secs(5);

const KEY: &str = "demo-coast-north";

fn builder_with_proxies() -> FleetBuilder {
    builder("costa-atl").platform_proxies().peer_proxies()
}

async fn call(site: &Site, vm: &str, seed: u64) -> ClientResponse {
    let call = completion_call(seed, 60, 3, false).key(KEY);
    site.client(vm).call(call).await.unwrap()
}

/// Latest start of a run at the engines of a zone.
fn last_start(site: &Site, zone: &str) -> Option<Duration> {
    let in_zone = |name: &&String| &*site.sheet.targets[name.as_str()].zone == zone;
    let engines = site.engines.iter().filter(|(name, _)| in_zone(name));
    engines
        .flat_map(|(_, engine)| engine.records())
        .map(|record| record.started_at)
        .max()
}

/// Current time on the engines' clock: sends a call and returns the latest start of a run.
async fn engine_time(site: &Site, vm: &str, seed: u64) -> Duration {
    call(site, vm, seed).await;
    let records = site.engines.values().flat_map(testkit::Engine::records);
    records.map(|record| record.started_at).max().unwrap()
}

/// Guards against requests that go to a zone after operators took it out, also through daemons that
/// can't reach the configuration service, and against a zone that gets no requests after its
/// return.
#[tokio::test]
async fn a_zone_that_is_out_gets_no_new_work_until_it_is_back() {
    let mut site = Site::start_with("costa-atl", builder_with_proxies(), |_| {}).await;
    let cut_off = "costa-atl-b-1";
    site.fleet.set_platform_blackhole(cut_off, true);
    let names = site.fleet.names();
    let before = engine_time(&site, "costa-atl-a-1", 1).await;

    let set_zone_state = |state| {
        move |sheet: &mut sheet::Sheet| {
            sheet.zones.get_mut("costa-atl-c").unwrap().state = state;
        }
    };
    site.change(set_zone_state(ZoneState::Out));
    let mut seed = 100;
    let until = tokio::time::Instant::now() + CHANGE_LIMIT_BY_PEERS + Duration::from_secs(2);
    while tokio::time::Instant::now() < until {
        for vm in &names {
            seed += 1;
            let response = call(&site, vm, seed).await;
            assert!(response.status.is_success(), "{response:?}");
        }
    }

    let last = last_start(&site, "costa-atl-c").unwrap_or(before);
    let late = last.saturating_sub(before);
    assert!(
        late <= CHANGE_LIMIT,
        "the zone got a request {late:?} after it was taken out"
    );
    let runs = |site: &Site| -> usize {
        let engines = site.engines.iter();
        let in_zone =
            engines.filter(|(name, _)| &*site.sheet.targets[name.as_str()].zone == "costa-atl-c");
        in_zone.map(|(_, engine)| engine.records().len()).sum()
    };
    let runs_before = runs(&site);
    site.change(set_zone_state(ZoneState::In));
    let zone_serves = async {
        while runs(&site) == runs_before {
            seed += 1;
            call(&site, "costa-atl-a-1", seed).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, zone_serves)
        .await
        .expect("the zone serves again");
    for (name, engine) in &site.engines {
        assert_eq!(
            engine.stats().overloads,
            0,
            "{name} was overloaded while cold"
        );
    }
}

/// Number of waiting requests over all owners.
async fn waiting_at_owners(site: &Site) -> u64 {
    let mut waiting = 0;
    for vm in site.fleet.names() {
        let status = site.status(&vm).await;
        for pool in status["pools"].as_array().unwrap() {
            let tiers = pool["waiting_by_tier"].as_array().unwrap();
            waiting += tiers
                .iter()
                .filter_map(serde_json::Value::as_u64)
                .sum::<u64>();
        }
    }
    waiting
}

/// Guards against a withdrawn key that is still accepted on an open connection, for a waiting
/// request, or at a daemon that can't reach the configuration service.
#[tokio::test]
async fn a_withdrawn_key_stops_open_connections_and_waiting_requests() {
    let mut site = Site::start_with("costa-atl", builder_with_proxies(), |_| {}).await;
    let vm = "costa-atl-a-1";
    site.fleet.set_platform_blackhole("costa-atl-b-2", true);
    let mut connection = site.client(vm).connect().await.unwrap();
    let response = connection
        .call(completion_call(1, 60, 3, false).key(KEY))
        .await;
    assert!(response.unwrap().status.is_success());
    for engine in site.engines.values() {
        // Stalled engines finish no request: once they are full, further requests wait.
        engine.set_stalled(true);
    }
    let waiting: Vec<_> = (0..300)
        .map(|seed| {
            let client = site.client(vm);
            let call = chat_call(1_000 + seed, 60, 100, true)
                .key(KEY)
                .header("x-primrosechute-deadline", "30s");
            tokio::spawn(async move { client.call(call).await })
        })
        .collect();
    let wait = async { while waiting_at_owners(&site).await == 0 {} };
    tokio::time::timeout(WAIT_TIMEOUT, wait)
        .await
        .expect("requests wait at the owners");

    site.change(|sheet| {
        for key in sheet.keys.values_mut() {
            if &*key.workspace == "coast-north" {
                key.state = KeyState::Withdrawn;
            }
        }
    });
    let refused = async {
        let mut seed = 2;
        loop {
            seed += 1;
            let call = completion_call(seed, 60, 3, false)
                .key(KEY)
                .header("x-primrosechute-deadline", "100ms");
            let response = connection.call(call).await.unwrap();
            if outcome_and_reason(&response).1 == "key" {
                break;
            }
        }
    };
    tokio::time::timeout(CHANGE_LIMIT, refused)
        .await
        .expect("the key is refused on the open connection in time");
    let cut_off = async {
        while outcome_and_reason(&call(&site, "costa-atl-b-2", 9_000).await).1 != "key" {}
    };
    tokio::time::timeout(CHANGE_LIMIT_BY_PEERS, cut_off)
        .await
        .expect("a daemon without the configuration service refuses the key in time");
    for engine in site.engines.values() {
        engine.set_stalled(false);
    }

    let mut refused = 0;
    for task in waiting {
        let response = task.await.unwrap().unwrap();
        let (outcome, reason) = outcome_and_reason(&response);
        if reason == "key" {
            refused += 1;
            let id = response.header("x-request-id");
            assert!(
                !site.runs().contains_key(id),
                "{id} ran though it was refused"
            );
        } else {
            assert!(
                outcome == "streaming" || outcome == "shed" || reason == "rate",
                "{response:?}"
            );
        }
    }
    assert!(refused > 0, "no waiting request was refused for its key");
}

/// Guards against new runs at a target that is leaving.
#[tokio::test]
async fn a_leaving_target_gets_no_new_work() {
    let mut site = Site::start("costa-atl").await;
    for seed in 0..20 {
        call(&site, "costa-atl-a-2", seed).await;
    }
    let leaving = "chute-llm-4";
    site.change(|sheet| {
        sheet.targets.get_mut(leaving).unwrap().state = TargetState::Leaving;
    });
    for vm in site.fleet.names() {
        let revision = site.sheet.revision;
        site.wait_status(&vm, "the new revision", |status| {
            status["sheet"]["revision"] == revision
        })
        .await;
    }
    // All daemons have the revision, and permits granted earlier are checked again before the first
    // byte.
    let runs_before = site.engines[leaving].records().len();
    for seed in 100..200 {
        let response = call(&site, "costa-atl-a-2", seed).await;
        assert!(response.status.is_success(), "{response:?}");
    }
    assert_eq!(site.engines[leaving].records().len(), runs_before);
    let ended = site.engines[leaving].records();
    assert!(ended.iter().all(|run| run.end == Some(RunEnd::Complete)));
}

/// Guards against daemons that go back to an older revision when they restart while the
/// configuration service is stale, and against a rejected sheet that takes effect.
#[tokio::test]
async fn a_revision_never_goes_back() {
    let mut site = Site::start_with("costa-atl", builder_with_proxies(), |_| {}).await;
    let stale = site.sheet.revision;
    site.change(|sheet| {
        sheet.workspaces.get_mut("harbour").unwrap().rate = 7_000;
    });
    let revision = site.sheet.revision;
    let has =
        |revision: u64| move |status: &serde_json::Value| status["sheet"]["revision"] == revision;
    for vm in site.fleet.names() {
        site.wait_status(&vm, "the new revision", has(revision))
            .await;
    }

    site.fleet
        .platform()
        .sheets
        .set_fault(ConfigServiceFault::Stale(stale));
    for vm in ["costa-atl-a-1", "costa-atl-b-1", "costa-atl-c-1"] {
        site.fleet.kill(vm).await.unwrap();
        site.fleet.restart(vm).await.unwrap();
        // A ready daemon serves requests, so it must have the newest revision.
        assert_eq!(site.status(vm).await["sheet"]["revision"], revision, "{vm}");
    }
    site.fleet
        .platform()
        .sheets
        .set_fault(ConfigServiceFault::None);

    let rejected = site.sheet.to_csv().replace("pool,", "pond,");
    site.fleet.platform().sheets.publish(revision + 1, rejected);
    let log = async {
        for vm in site.fleet.names() {
            let found = site
                .fleet
                .wait_for_log(&vm, "sheet rejected", WAIT_TIMEOUT)
                .await;
            if found.is_ok() {
                return;
            }
        }
    };
    log.await;
    for vm in site.fleet.names() {
        assert_eq!(
            site.status(&vm).await["sheet"]["revision"],
            revision,
            "{vm}"
        );
    }
    // The targets of the killed owners serve again after the hold-down of their new owners.
    let served = async {
        loop {
            let call = Call::get("/schedule?day=1");
            let response = site.client("costa-atl-a-1").call(call).await.unwrap();
            if response.status.is_success() {
                break response;
            }
        }
    };
    let response = tokio::time::timeout(WAIT_TIMEOUT, served)
        .await
        .expect("the site serves after the rejected sheet");
    assert_eq!(
        response.json()["path"],
        json!("/schedule?day=1"),
        "{response:?}"
    );
}
