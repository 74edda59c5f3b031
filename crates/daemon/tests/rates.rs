//! Over all daemons, no workspace uses more than burst + rate x window tokens, and requests within
//! the rate are not refused for it.
//!
//! Tokens are counted from the engines' records, refusals at the callers.

mod support;

use std::time::Duration;

use sheet::Timing;
use support::load::{Load, Tally, builder, call, fleet_lock, sheet, tokens};
use support::small_site::wait_until;
use support::{Site, outcome_and_reason};
use testkit::RunRecord;

const RATE: u64 = 2_000;
const BURST: u64 = 8_000;
const LOWERED_RATE: u64 = 500;

/// Prompt bytes and generated tokens of a call, and the interval at which such calls cost ten times
/// the rate.
const LARGE_CALL: (usize, u32) = (720, 8);
const TENFOLD_INTERVAL: Duration = Duration::from_millis(10);

/// Prompt bytes and generated tokens of a call for load at 0.9 of the rate.
const SMALL_CALL: (usize, u32) = (80, 8);

/// Length of one phase of load.
const PHASE_LENGTH: Duration = Duration::from_secs(2);

/// Largest amount, over all windows, by which the used tokens exceed rate x time of the window. It
/// must not be larger than the burst.
///
/// `allowed` is the integral of the rate from zero to a time on the engines' clock. A run counts at
/// its start, with the daemon's estimate of its prompt and the generated tokens.
fn max_excess(runs: &[RunRecord], allowed: impl Fn(Duration) -> f64) -> f64 {
    let mut used = 0.0;
    let mut lowest = f64::INFINITY;
    let mut worst = 0.0_f64;
    for run in runs {
        let allowed = allowed(run.started_at);
        // A window that begins with this run includes all of its tokens.
        lowest = lowest.min(used - allowed);
        used += f64::from(u32::try_from(tokens(run)).unwrap());
        worst = worst.max(used - allowed - lowest);
    }
    worst
}

/// Tokens that a rate allows in a time.
fn tokens_in(rate: u64, time: Duration) -> f64 {
    f64::from(u32::try_from(rate).unwrap()) * time.as_secs_f64()
}

/// Runs of the workspace `w1` at all engines, in the order of their start.
fn runs(site: &Site) -> Vec<RunRecord> {
    let mut runs: Vec<_> = site
        .engines
        .values()
        .flat_map(testkit::Engine::records)
        .filter(|run| !run.request_id.ends_with("-marker"))
        .collect();
    runs.sort_by_key(|run| run.started_at);
    runs
}

/// Asserts the bound at a constant rate and prints how close the runs came to it.
fn assert_bound(site: &Site, what: &str) {
    let runs = runs(site);
    let worst = max_excess(&runs, |at| tokens_in(RATE, at));
    println!(
        "{what}: {} runs, up to {worst:.0} tokens above the rate, the burst is {BURST}",
        runs.len()
    );
    assert!(
        worst <= tokens_in(BURST, Duration::from_secs(1)),
        "{what}: {worst:.0} tokens above the rate, the burst is {BURST}"
    );
}

async fn start(vms: usize) -> Site {
    let limits = [("w1", RATE, BURST), ("w2", 1_000, 1_000)];
    let sheet = sheet(&["quick"], &limits, 4, 1 << 20, 64);
    let mut site = Site::prepare(sheet, builder(vms)).await;
    site.launch().await;
    site
}

/// Load of ten times the rate, round robin over these VMs.
fn tenfold_load(site: &Site, vms: &[String], seed: u64) -> Load {
    let clients: Vec<_> = vms.iter().map(|vm| site.client(vm)).collect();
    Load::start(TENFOLD_INTERVAL, move |n| {
        let index = usize::try_from(n).unwrap() % clients.len();
        let (bytes, output) = LARGE_CALL;
        (clients[index], call("w1", seed + n, bytes, output))
    })
}

/// Even load of 0.9 of the rate, in turn over these VMs, with `calls_per_vm` calls in a row to
/// each.
fn load_within_rate(site: &Site, vms: &[String], calls_per_vm: u64, seed: u64) -> Load {
    let clients: Vec<_> = vms.iter().map(|vm| site.client(vm)).collect();
    let (bytes, output) = SMALL_CALL;
    let prompt_cost = call("w1", seed, bytes, output).sent_body().len() / 4 + 1;
    let cost = u64::try_from(prompt_cost).unwrap() + u64::from(output);
    let per_second =
        tokens_in(RATE, Duration::from_secs(1)) * 0.9 / tokens_in(cost, Duration::from_secs(1));
    Load::start(Duration::from_secs_f64(1.0 / per_second), move |n| {
        let index = usize::try_from(n / calls_per_vm).unwrap() % clients.len();
        (clients[index], call("w1", seed + n, bytes, output))
    })
}

async fn run_phase(load: Load) -> Tally {
    // The load is open-loop, so a phase is measured in time.
    tokio::time::sleep(PHASE_LENGTH).await;
    load.stop().await
}

/// Waits until all VMs together have at least this many tokens of `w1`.
async fn wait_for_tokens(site: &Site, tokens: u64) {
    wait_until("the token bucket of w1 fills", async || {
        let mut level = 0;
        for vm in site.fleet.names() {
            let status = site.status(&vm).await;
            for share in status["shares"].as_array().unwrap() {
                if share["workspace"] == "w1" {
                    level += share["tokens"].as_u64().unwrap();
                }
            }
        }
        level >= tokens
    })
    .await;
}

/// Asserts that fewer than 1% of the requests of a load within the rate were refused for it.
fn assert_not_refused_for_rate(what: &str, tally: &Tally) {
    let refused = tally.count("refused", "rate");
    println!("{what}: {refused} of {} refused for rate", tally.sent);
    assert!(refused * 100 < tally.sent, "{what}: {tally:?}");
}

/// Guards against tokens above the limit, and refusals within it, in a fleet without faults, when
/// the traffic of a workspace goes to one VM, to all, or moves between them.
#[tokio::test]
async fn limits_hold_for_traffic_to_one_vm_and_to_all() {
    let _lock = fleet_lock().await;
    let site = start(7).await;
    let names = site.fleet.names();
    wait_for_tokens(&site, BURST / 10 * 9).await;

    println!(
        "one VM: {:?}",
        run_phase(tenfold_load(&site, &names[..1], 0)).await
    );
    assert_bound(&site, "ten times the rate to one VM");
    println!(
        "all VMs: {:?}",
        run_phase(tenfold_load(&site, &names, 10_000)).await
    );
    assert_bound(&site, "ten times the rate to all VMs");

    wait_for_tokens(&site, BURST / 2).await;
    let one = run_phase(load_within_rate(&site, &names[1..2], 1, 20_000)).await;
    let moving = run_phase(load_within_rate(&site, &names, 30, 30_000)).await;
    let spread = run_phase(load_within_rate(&site, &names, 1, 40_000)).await;
    assert_bound(&site, "within the rate");
    assert_not_refused_for_rate("within the rate to one VM", &one);
    assert_not_refused_for_rate("within the rate, moving between VMs", &moving);
    assert_not_refused_for_rate("within the rate to all VMs in turn", &spread);
}

/// Guards against shares that are spent on both sides of a partition or get a second holder through
/// a lagging VM list, and against tokens granted at the old rate after it was lowered.
#[tokio::test]
async fn limits_hold_in_a_partition_with_list_lag_and_while_the_rate_is_lowered() {
    let _lock = fleet_lock().await;
    let mut site = start(8).await;
    let names = site.fleet.names();
    wait_for_tokens(&site, BURST / 10 * 9).await;
    let refs: Vec<&str> = names.iter().map(String::as_str).collect();

    site.fleet.partition(&refs[..4], &refs[4..]);
    let tally = run_phase(tenfold_load(&site, &names, 0)).await;
    println!("both sides of a partition: {tally:?}");
    let tally = run_phase(load_within_rate(&site, &names, 1, 10_000)).await;
    println!("within the rate, both sides of a partition: {tally:?}");
    let load = tenfold_load(&site, &names, 20_000);
    site.fleet.heal();
    let tally = run_phase(load).await;
    println!("after the partition: {tally:?}");
    assert_bound(&site, "through both sides of a partition");

    // Readers see the departure after the largest lag, while the VM that left still serves.
    site.fleet
        .platform()
        .vms
        .set_lag(Duration::from_millis(200));
    let load = tenfold_load(&site, &names, 30_000);
    site.fleet.remove_from_vm_list(&names[0]);
    let started = async || {
        let mut started = 0.0;
        for vm in &names[1..] {
            started += site.metric(vm, "primrosechute_parts_started_total").await;
        }
        started
    };
    let before = started().await;
    wait_until(
        "the parts of the VM that left are started again",
        async || started().await > before,
    )
    .await;
    let tally = run_phase(load).await;
    println!("while a VM leaves a lagging list: {tally:?}");
    site.fleet.add_to_vm_list(&names[0]);
    assert_bound(&site, "with list lag");

    let load = tenfold_load(&site, &names[1..], 40_000);
    site.change(|sheet| {
        sheet.workspaces.get_mut("w1").unwrap().rate = LOWERED_RATE;
    });
    for vm in &names[1..] {
        let revision = site.sheet.revision;
        site.wait_status(vm, "the lower rate", |status| {
            status["sheet"]["revision"] == revision
        })
        .await;
    }
    let id = site.request_id(&names[1], "marker").await;
    let marker = call("w2", 50_000, 40, 1).request_id(&id);
    let response = site.client(&names[1]).call(marker).await.unwrap();
    assert!(
        response.status.is_success(),
        "{:?}",
        outcome_and_reason(&response)
    );
    let tally = run_phase(load).await;
    println!("while the rate is lowered: {tally:?}");
    let records = site.engines.values().flat_map(testkit::Engine::records);
    let marker = records
        .into_iter()
        .find(|run| run.request_id == id)
        .unwrap();
    let lowered = marker.started_at;
    let worst = max_excess(&runs(&site), |at| {
        let after = at.saturating_sub(lowered);
        tokens_in(RATE, at.min(lowered)) + tokens_in(LOWERED_RATE, after)
    });
    println!("lowered rate: up to {worst:.0} tokens above the rate, the burst is {BURST}");
    assert!(
        worst <= tokens_in(BURST, Duration::from_secs(1)),
        "{worst:.0}"
    );
}

/// Guards against shares that get two holders during a rolling restart, and against shares that
/// stay unusable after all VMs were paused at the same time.
#[tokio::test]
async fn limits_hold_in_a_rolling_restart_and_after_a_pause_of_all_vms() {
    let _lock = fleet_lock().await;
    let mut site = start(9).await;
    let names = site.fleet.names();
    wait_for_tokens(&site, BURST / 10 * 9).await;

    let load = tenfold_load(&site, &names, 0);
    for vm in &names {
        site.fleet.terminate(vm).unwrap();
        site.fleet
            .wait_exit(vm, support::WAIT_TIMEOUT)
            .await
            .unwrap();
        site.fleet.restart(vm).await.unwrap();
    }
    println!("during a rolling restart: {:?}", load.stop().await);
    assert_bound(&site, "during a rolling restart");
    let tally = run_phase(load_within_rate(&site, &names, 1, 100_000)).await;
    println!("within the rate after a rolling restart: {tally:?}");

    wait_for_tokens(&site, BURST / 4).await;
    for vm in &names {
        site.fleet.pause(vm).await.unwrap();
    }
    // Longer than lease and list lag: each daemon must assume that others took over its shares.
    tokio::time::sleep(Duration::from_secs(8)).await;
    for vm in &names {
        site.fleet.resume(vm).unwrap();
    }
    let timing = Timing {
        silent: Duration::from_millis(600),
        lease: Duration::from_secs(1),
        list_lag: Duration::from_millis(200),
        ..Timing::default()
    };
    let limit = timing.hold_down() + Duration::from_secs(10);
    let usable = async {
        for (n, vm) in (200_000..).zip(names.iter().cycle()) {
            let client = site.client(vm);
            let served = client.call(call("w1", n, SMALL_CALL.0, SMALL_CALL.1)).await;
            if served.is_ok_and(|response| response.status.is_success()) {
                return;
            }
        }
    };
    let reached = tokio::time::timeout(limit, usable).await.is_ok();
    assert!(reached, "no share is usable {limit:?} after the pause");
    let tally = run_phase(tenfold_load(&site, &names, 300_000)).await;
    println!("after a pause of all VMs: {tally:?}");
    assert!(tally.count("served", "") > 0, "{tally:?}");
    assert_bound(&site, "after a pause of all VMs");
}
