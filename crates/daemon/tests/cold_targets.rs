//! A cold engine gets no more runs than the sheet allows while its ownership moves under load.
//!
//! Concurrent runs and overloads are counted by the engines, served requests at the callers.

mod support;

use std::time::Duration;

use support::Site;
use support::load::{Load, Tally, builder, call, fleet_lock, sheet};
use support::small_site::wait_until;

const COLD_LIMIT: u32 = 2;
const ENGINES: usize = 6;

/// Interval of calls. With runs of about 0.2 s, the cold limits of all engines together are too low
/// for this load.
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

fn start_load(site: &Site, vms: &[String], seed: u64) -> Load {
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

/// Crashes an engine and waits until its owner reports it as cold.
async fn crash(site: &Site, engine: &str, owner: &str) {
    site.engines[engine].crash().await;
    site.wait_status(owner, "the owner notices the crash", |status| {
        let rows = status["owned"].as_array().unwrap();
        rows.iter()
            .any(|row| row["target"] == engine && row["phase"] == "cold")
    })
    .await;
}

/// Waits until an engine has started `count` further runs.
async fn wait_further_runs(site: &Site, engine: &str, count: u64) {
    let before = site.engines[engine].stats().runs;
    let runs = site.engines[engine].wait_for(|stats| stats.runs >= before + count);
    let reached = tokio::time::timeout(support::WAIT_TIMEOUT, runs)
        .await
        .is_ok();
    assert!(
        reached,
        "{engine} starts no further runs: {:?}",
        site.engines[engine].stats()
    );
}

/// Asserts that no engine had more concurrent runs while cold than the sheet allows, and that none
/// was overloaded.
fn assert_cold_limit(site: &Site, what: &str) {
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

async fn assert_all_engines_serve(site: &Site, what: &str) {
    for name in site.engines.keys() {
        wait_further_runs(site, name, 3).await;
    }
    assert_cold_limit(site, what);
}

/// An engine that one of the VMs owns, and its owner.
async fn target_owned_by(site: &Site, vms: &[String]) -> (String, String) {
    let owners = site.owners().await;
    let pair = owners.into_iter().find(|(_, vm)| vms.contains(vm));
    pair.expect("one of the VMs owns a target")
}

async fn wait_new_owner(site: &Site, engine: &str, old: &str) {
    wait_until("the target has another owner", async || {
        let owners = site.owners().await;
        owners.get(engine).is_some_and(|vm| vm != old)
    })
    .await;
}

/// Guards against two owners that together exceed the limit of a cold engine when it moves by a
/// handover: VMs join and another leaves.
#[tokio::test]
async fn cold_engines_move_by_handover() {
    let _lock = fleet_lock().await;
    let mut site = start(6).await;
    let names = site.fleet.names();
    // The owner must know before the next request that the engine is cold, and learns that only
    // from load reports.
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
    let load = start_load(&site, &names, 0);

    let (engine, owner) = target_owned_by(&site, &names).await;
    crash(&site, &engine, &owner).await;
    site.fleet.add_vm("vm-7", "zone-a").await.unwrap();
    site.fleet.add_vm("vm-8", "zone-b").await.unwrap();
    site.fleet.launch("vm-7").await.unwrap();
    site.engines[&engine].restart().unwrap();
    site.fleet.launch("vm-8").await.unwrap();
    wait_further_runs(&site, &engine, 3).await;
    assert_cold_limit(&site, "join");

    let (engine, leaving) = target_owned_by(&site, &names).await;
    crash(&site, &engine, &leaving).await;
    site.fleet.mark_leaving_in_vm_list(&leaving);
    site.fleet.terminate(&leaving).unwrap();
    site.engines[&engine].restart().unwrap();
    site.fleet
        .wait_exit(&leaving, support::WAIT_TIMEOUT)
        .await
        .unwrap();
    site.fleet.remove_from_vm_list(&leaving);
    wait_further_runs(&site, &engine, 3).await;
    assert_all_engines_serve(&site, "leave").await;
    let tally = load.stop().await;
    println!("handover: {tally:?}");
    assert!(served(&tally) > 0, "{tally:?}");
}

/// Guards against a new owner that exceeds the limit of a cold engine because it doesn't count what
/// the old owner sent: the old owner is killed or paused and can't hand over, and the VM list lags.
#[tokio::test]
async fn cold_engines_move_without_handover() {
    let _lock = fleet_lock().await;
    let mut site = start(6).await;
    let names = site.fleet.names();
    site.fleet
        .platform()
        .vm_list
        .set_lag(Duration::from_millis(200));
    let load = start_load(&site, &names, 0);

    let (engine, killed) = target_owned_by(&site, &names).await;
    crash(&site, &engine, &killed).await;
    site.engines[&engine].restart().unwrap();
    wait_further_runs(&site, &engine, 1).await;
    site.fleet.kill(&killed).await.unwrap();
    site.fleet.remove_from_vm_list(&killed);
    wait_new_owner(&site, &engine, &killed).await;
    wait_further_runs(&site, &engine, 3).await;
    assert_cold_limit(&site, "kill");
    site.fleet.restart(&killed).await.unwrap();

    let (engine, paused) = target_owned_by(&site, &names).await;
    crash(&site, &engine, &paused).await;
    site.engines[&engine].restart().unwrap();
    wait_further_runs(&site, &engine, 1).await;
    site.fleet.pause(&paused).await.unwrap();
    site.fleet.remove_from_vm_list(&paused);
    wait_new_owner(&site, &engine, &paused).await;
    site.fleet.resume(&paused).unwrap();
    wait_further_runs(&site, &engine, 3).await;
    site.fleet.add_to_vm_list(&paused);
    assert_all_engines_serve(&site, "pause").await;
    let tally = load.stop().await;
    println!("without handover: {tally:?}");
    assert!(served(&tally) > 0, "{tally:?}");
}

/// Guards against owners on both sides of a partition that together exceed the limit of a cold
/// engine when the VM list changes meanwhile, and against a side that no longer serves from warm
/// engines.
#[tokio::test]
#[ignore = "listed in KNOWN-RED.txt: an engine gets no run for a minute after a partition has healed"]
async fn cold_engines_and_warm_service_in_a_partition() {
    let _lock = fleet_lock().await;
    let site = start(8).await;
    let names = site.fleet.names();
    let refs: Vec<&str> = names.iter().map(String::as_str).collect();
    let load = start_load(&site, &names, 0);
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
        // The owner keeps running, unlisted and cut off from half of the fleet.
        site.fleet.remove_from_vm_list(&owner);
        moved.push((engine, owner));
    }
    for (n, side) in [&names[..4], &names[4..]].into_iter().enumerate() {
        let vms: Vec<String> = side
            .iter()
            .filter(|vm| moved.iter().all(|(_, owner)| owner != *vm))
            .cloned()
            .collect();
        let side_load = start_load(&site, &vms, 100_000 * (1 + u64::try_from(n).unwrap()));
        // The load is open-loop, so it is measured in time.
        tokio::time::sleep(Duration::from_secs(2)).await;
        let tally = side_load.stop().await;
        println!("side {n} of the partition: {tally:?}");
        assert!(served(&tally) * 2 > tally.sent, "side {n}: {tally:?}");
    }
    assert_cold_limit(&site, "partition");
    for (engine, owner) in &moved {
        wait_new_owner(&site, engine, owner).await;
    }
    site.fleet.heal();
    for (_, owner) in &moved {
        site.fleet.add_to_vm_list(owner);
    }
    assert_all_engines_serve(&site, "healed partition").await;
    println!("partition: {:?}", load.stop().await);
}
