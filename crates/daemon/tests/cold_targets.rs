//! A cold engine gets no more runs than the sheet allows while its ownership moves under load.
//!
//! Runs in flight and overloads are counted by the engines, service at the callers.

mod support;

use std::time::Duration;

use support::Site;
use support::load::{Load, Tally, builder, call, one_fleet, sheet};
use support::small::wait_until;

const COLD_LIMIT: u32 = 2;
const ENGINES: usize = 6;

/// Interval of calls; with runs of about 0.2 s, cold engines alone could not take them all.
const INTERVAL: Duration = Duration::from_millis(10);

async fn start(vms: usize) -> Site {
    let limits = [("w1", 10_000_000, 10_000_000)];
    let sheet = sheet(&["quick"], &limits, ENGINES, 16_384, COLD_LIMIT);
    let mut site = Site::prepare(sheet, builder(vms)).await;
    for engine in site.engines.values() {
        engine.set_slowdown(10.0);
    }
    site.launch().await;
    wait_until("all targets are owned", async || {
        site.owners().await.len() == ENGINES
    })
    .await;
    site
}

fn load(site: &Site, vms: &[String], seed: u64) -> Load {
    let clients: Vec<_> = vms.iter().map(|vm| site.client(vm)).collect();
    Load::start(INTERVAL, move |n| {
        let index = usize::try_from(n).unwrap() % clients.len();
        let call = call("w1", seed + n, 80, 20).header("x-primrosechute-deadline", "2s");
        (clients[index], call)
    })
}

fn served(tally: &Tally) -> u64 {
    tally.count("served", "")
}

/// Crashes an engine and waits until its owner knows.
async fn crash(site: &Site, engine: &str, owner: &str) {
    site.engines[engine].crash().await;
    site.wait_status(owner, "the crash is known", |status| {
        let rows = status["owned"].as_array().unwrap();
        rows.iter()
            .any(|row| row["target"] == engine && row["phase"] == "cold")
    })
    .await;
}

/// Waits until an engine started further runs.
async fn wait_runs(site: &Site, engine: &str, more: u64) {
    let before = site.engines[engine].stats().runs;
    let runs = site.engines[engine].wait_for(|stats| stats.runs >= before + more);
    let came = tokio::time::timeout(support::LONG, runs).await.is_ok();
    assert!(
        came,
        "{engine} gets no work: {:?}",
        site.engines[engine].stats()
    );
}

/// Asserts that no engine had more runs while cold than the sheet allows, and none fell over.
fn assert_cold(site: &Site, what: &str) {
    for (name, engine) in &site.engines {
        let stats = engine.stats();
        println!(
            "{what}: {name} peak {} cold, {} overloads, {} runs",
            stats.peak_cold, stats.overloads, stats.runs
        );
    }
    for (name, engine) in &site.engines {
        let stats = engine.stats();
        let limit = usize::try_from(COLD_LIMIT).unwrap();
        assert!(stats.peak_cold <= limit, "{what}: {name}: {stats:?}");
        assert_eq!(stats.overloads, 0, "{what}: {name}: {stats:?}");
    }
}

async fn assert_all_work(site: &Site, what: &str) {
    for name in site.engines.keys() {
        wait_runs(site, name, 3).await;
    }
    assert_cold(site, what);
}

/// An engine and its owner.
async fn owned_by_any(site: &Site, vms: &[String]) -> (String, String) {
    let owners = site.owners().await;
    let pair = owners.into_iter().find(|(_, vm)| vms.contains(vm));
    pair.expect("one of the VMs owns a target")
}

async fn wait_other_owner(site: &Site, engine: &str, old: &str) {
    wait_until("the target has another owner", async || {
        let owners = site.owners().await;
        owners.get(engine).is_some_and(|vm| vm != old)
    })
    .await;
}

/// Guards against two owners that both fill a cold engine when it moves by a hand-over: a VM joins
/// and another leaves.
#[tokio::test]
async fn cold_engines_move_by_hand_over() {
    let _one = one_fleet().await;
    let mut site = start(6).await;
    let names = site.fleet.names();
    // The owner must know before the next request: nothing tells it of a turn but load reports.
    for engine in site.engines.values() {
        engine.turn_cold();
    }
    for (engine, owner) in site.owners().await {
        site.wait_status(&owner, "the engine is cold", |status| {
            let rows = status["owned"].as_array().unwrap();
            rows.iter()
                .any(|row| row["target"] == engine && row["phase"] == "cold")
        })
        .await;
    }
    let work = load(&site, &names, 0);

    let (engine, owner) = owned_by_any(&site, &names).await;
    crash(&site, &engine, &owner).await;
    site.fleet.add_vm("vm-7", "zone-a").await.unwrap();
    site.fleet.add_vm("vm-8", "zone-b").await.unwrap();
    site.fleet.launch("vm-7").await.unwrap();
    site.engines[&engine].restart().unwrap();
    site.fleet.launch("vm-8").await.unwrap();
    wait_runs(&site, &engine, 3).await;
    assert_cold(&site, "join");

    let (engine, leaving) = owned_by_any(&site, &names).await;
    crash(&site, &engine, &leaving).await;
    site.fleet.mark_leaving_in_vm_list(&leaving);
    site.fleet.terminate(&leaving).unwrap();
    site.engines[&engine].restart().unwrap();
    site.fleet.wait_exit(&leaving, support::LONG).await.unwrap();
    site.fleet.remove_from_vm_list(&leaving);
    wait_runs(&site, &engine, 3).await;
    assert_all_work(&site, "leave").await;
    let tally = work.stop().await;
    println!("hand-over: {tally:?}");
    assert!(served(&tally) > 0, "{tally:?}");
}

/// Guards against a new owner that fills a cold engine on top of what the old owner sent, when the
/// old one is killed or paused and can't hand over, and the list lags.
#[tokio::test]
async fn cold_engines_move_without_hand_over() {
    let _one = one_fleet().await;
    let mut site = start(6).await;
    let names = site.fleet.names();
    site.fleet
        .platform()
        .vms
        .set_lag(Duration::from_millis(200));
    let work = load(&site, &names, 0);

    let (engine, killed) = owned_by_any(&site, &names).await;
    crash(&site, &engine, &killed).await;
    site.engines[&engine].restart().unwrap();
    wait_runs(&site, &engine, 1).await;
    site.fleet.kill(&killed).await.unwrap();
    site.fleet.remove_from_vm_list(&killed);
    wait_other_owner(&site, &engine, &killed).await;
    wait_runs(&site, &engine, 3).await;
    assert_cold(&site, "kill");
    site.fleet.restart(&killed).await.unwrap();

    let (engine, paused) = owned_by_any(&site, &names).await;
    crash(&site, &engine, &paused).await;
    site.engines[&engine].restart().unwrap();
    wait_runs(&site, &engine, 1).await;
    site.fleet.pause(&paused).await.unwrap();
    site.fleet.remove_from_vm_list(&paused);
    wait_other_owner(&site, &engine, &paused).await;
    site.fleet.resume(&paused).unwrap();
    wait_runs(&site, &engine, 3).await;
    site.fleet.add_to_vm_list(&paused);
    assert_all_work(&site, "pause").await;
    let tally = work.stop().await;
    println!("without hand-over: {tally:?}");
    assert!(served(&tally) > 0, "{tally:?}");
}

/// Guards against an owner on each side of a partition that both fill a cold engine when the list
/// changes meanwhile, and against a side that stops to serve from warm engines.
#[tokio::test]
async fn cold_engines_and_warm_service_in_a_partition() {
    let _one = one_fleet().await;
    let site = start(8).await;
    let names = site.fleet.names();
    let refs: Vec<&str> = names.iter().map(String::as_str).collect();
    let work = load(&site, &names, 0);
    for engine in site.engines.values() {
        engine.wait_for(|stats| !stats.cold).await;
    }

    site.fleet.partition(&refs[..4], &refs[4..]);
    let mut moved = Vec::new();
    for side in [&names[..4], &names[4..]] {
        let owners = site.owners().await;
        let Some((engine, owner)) = owners.into_iter().find(|(_, vm)| side.contains(vm)) else {
            continue;
        };
        crash(&site, &engine, &owner).await;
        site.engines[&engine].restart().unwrap();
        // The owner goes on without being listed, cut off from half of the fleet.
        site.fleet.remove_from_vm_list(&owner);
        moved.push((engine, owner));
    }
    for (n, side) in [&names[..4], &names[4..]].into_iter().enumerate() {
        let vms: Vec<String> = side
            .iter()
            .filter(|vm| moved.iter().all(|(_, owner)| owner != *vm))
            .cloned()
            .collect();
        let side_load = load(&site, &vms, 100_000 * (1 + u64::try_from(n).unwrap()));
        // The load is a rate, so its length is a time.
        tokio::time::sleep(Duration::from_secs(2)).await;
        let tally = side_load.stop().await;
        println!("side {n} of the partition: {tally:?}");
        assert!(served(&tally) * 2 > tally.sent, "side {n}: {tally:?}");
    }
    assert_cold(&site, "partition");
    for (engine, owner) in &moved {
        wait_other_owner(&site, engine, owner).await;
    }
    site.fleet.heal();
    for (_, owner) in &moved {
        site.fleet.add_to_vm_list(owner);
    }
    assert_all_work(&site, "healed partition").await;
    println!("partition: {:?}", work.stop().await);
}
