//! A graceful shutdown interrupts no request and hands over targets and shares.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use support::small_site::{
    assert_correct_response, builder_without_proxies, model_call, problem, read_events, sheet,
    spawn, wait_until,
};
use support::{Site, WAIT_TIMEOUT, outcome_and_reason};
use testkit::client::{Call, Client};

/// Slowdown at which an engine of the small site makes about ten tokens a second.
const SLOW: f64 = 100.0;

/// Starts a small site with two engines.
async fn start() -> Site {
    let mut site = Site::prepare(sheet(2, 0), builder_without_proxies()).await;
    site.launch().await;
    site
}

/// Names of the VMs in the entry list of a VM.
async fn listed_vms(site: &Site, vm: &str) -> Vec<String> {
    let response = site.client(vm).call(Call::get("/v1/entries")).await;
    let entries = response.unwrap().json();
    let entries = entries["entries"].as_array().unwrap().iter();
    let names = entries.map(|entry| entry["vm"].as_str().unwrap().to_string());
    names.collect()
}

/// How the shutdown of a VM is requested.
#[derive(Clone, Copy, Debug)]
enum ShutdownTrigger {
    Sigterm,
    /// The VM list marks the VM as leaving.
    VmList,
}

/// Shuts down the owner of an engine while requests run through it, wait at it and run at its
/// targets. Asserts that they complete and that its targets and shares are handed over.
async fn assert_shutdown_completes_requests(trigger: ShutdownTrigger) {
    let mut site = start().await;
    wait_until("all targets are owned", async || {
        site.owners().await.len() == 2
    })
    .await;
    let leaving = site.owner("llm-1").await;
    let remaining = site.other_vms(&leaving);
    for engine in site.engines.values() {
        engine.set_slowdown(SLOW);
    }
    let open = site.client(&leaving).connect().await.unwrap();
    let calls: Vec<_> = (0..4).map(|n| model_call(n, 30, n % 2 == 0)).collect();
    let running: Vec<_> = calls
        .iter()
        .enumerate()
        .map(|(n, call)| {
            let vm = if n < 2 { &leaving } else { &remaining[0] };
            spawn(site.client(vm), call.clone())
        })
        .collect();
    for engine in site.engines.values() {
        engine.wait_for(|stats| stats.running >= 1).await;
    }
    let mut stream = site
        .client(&leaving)
        .call_streaming(model_call(50, 30, true))
        .await
        .unwrap();
    let mut events = read_events(&mut stream, 1).await;

    match trigger {
        ShutdownTrigger::Sigterm => site.fleet.terminate(&leaving).unwrap(),
        ShutdownTrigger::VmList => site.fleet.mark_leaving_in_vm_list(&leaving),
    }
    for vm in &remaining {
        wait_until("the entry lists drop the VM", async || {
            !listed_vms(&site, vm).await.contains(&leaving)
        })
        .await;
    }
    // The other VMs may read the leaving mark earlier than the VM itself.
    site.wait_status(&leaving, "draining", |status| status["phase"] == "draining")
        .await;
    let mut open = open;
    let refused = open.call(model_call(60, 4, false)).await.unwrap();
    assert_eq!(
        outcome_and_reason(&refused),
        ("refused".into(), "draining".into())
    );
    assert_eq!(problem(&refused)["not_run"], true);
    for engine in site.engines.values() {
        engine.set_slowdown(1.0);
    }

    let mut response = stream.finish().await;
    events.append(&mut response.events);
    response.events = events;
    assert_correct_response(&model_call(50, 30, true), &response);
    for (call, response) in calls.iter().zip(running) {
        assert_correct_response(call, &response.await.unwrap().unwrap());
    }
    drop(open);
    assert_exits_cleanly(&mut site, &leaving).await;
    site.fleet.remove_from_vm_list(&leaving);
    site.assert_runs_match_responses(&[&refused]);
    assert_handed_over(&site, &remaining).await;
}

/// Asserts that the remaining VMs own all targets and all parts of the workspace's share.
async fn assert_handed_over(site: &Site, remaining: &[String]) {
    wait_until("the targets have new owners", async || {
        site.owners().await.len() == site.sheet.targets.len()
    })
    .await;
    for vm in remaining {
        site.assert_serves(vm, 1000, 3).await;
    }
    let mut parts = 0;
    for vm in remaining {
        let status = site.status(vm).await;
        for share in status["shares"].as_array().unwrap() {
            if share["workspace"] == "w1" {
                parts += share["parts"].as_u64().unwrap()
                    + share["parts_in_transit"].as_u64().unwrap_or(0);
            }
        }
    }
    assert_eq!(
        parts,
        u64::from(limit::PARTS),
        "parts of the workspace's share are lost or duplicated"
    );
}

/// Guards against requests that a shutdown interrupts or loses, and against targets and shares that
/// it does not hand over.
#[tokio::test]
async fn sigterm_during_streams() {
    assert_shutdown_completes_requests(ShutdownTrigger::Sigterm).await;
}

/// The same when the VM list marks the VM as leaving.
#[tokio::test]
async fn leaving_mark_during_streams() {
    assert_shutdown_completes_requests(ShutdownTrigger::VmList).await;
}

/// A caller that follows the interface: it sends to the entries of its latest entry list.
struct Caller {
    addresses: Vec<Client>,
    seed: u64,
}

impl Caller {
    /// Reads the entry list from the first entry that returns a non-empty one.
    async fn refresh(&mut self) {
        for client in self.addresses.clone() {
            let call = Call::get("/v1/entries").timeout(Duration::from_secs(5));
            let Ok(response) = client.call(call).await else {
                continue;
            };
            let entries = response.json();
            let entries = entries["entries"].as_array().into_iter().flatten();
            let addresses: Vec<Client> = entries
                .filter_map(|entry| entry["address"].as_str()?.parse().ok())
                .map(Client::new)
                .collect();
            if !addresses.is_empty() {
                self.addresses = addresses;
                return;
            }
        }
    }

    /// Sends a request, and resends it to another entry if one refuses it as draining or refuses
    /// the connection.
    async fn send(&mut self) {
        self.seed += 1;
        let call = model_call(self.seed, 10, self.seed.is_multiple_of(2));
        for attempt in 0_u64.. {
            assert!(attempt < 20, "request {} is not served", self.seed);
            self.refresh().await;
            let at = usize::try_from(self.seed + attempt).unwrap() % self.addresses.len();
            match self.addresses[at].call(call.clone()).await {
                Ok(response) if response.status.is_success() => {
                    assert_correct_response(&call, &response);
                    return;
                }
                Ok(response) => {
                    assert_eq!(
                        outcome_and_reason(&response),
                        ("refused".into(), "draining".into())
                    );
                    assert_eq!(problem(&response)["not_run"], true);
                }
                Err(testkit::client::ClientError::Connect(_)) => {}
                Err(err) => panic!("request {} is interrupted: {err}", self.seed),
            }
        }
    }
}

/// How a VM is replaced.
#[derive(Clone, Copy, Debug)]
enum Replacement {
    /// A new process on the same VM.
    Restart,
    /// A new VM; the old one is marked as leaving and then unlisted.
    NewVm,
}

/// Replaces all VMs one by one while callers send requests.
async fn replace_all(replacement: Replacement) {
    let mut site = start().await;
    for engine in site.engines.values() {
        engine.set_slowdown(10.0);
    }
    let names = site.fleet.names();
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..3)
        .map(|n| {
            let addresses = names.iter().map(|vm| site.client(vm)).collect();
            let mut caller = Caller {
                addresses,
                seed: n * 100_000,
            };
            let stop = Arc::clone(&stop);
            tokio::spawn(async move {
                while !stop.load(Ordering::SeqCst) {
                    caller.send().await;
                }
                caller.seed
            })
        })
        .collect();

    for vm in &names {
        match replacement {
            Replacement::Restart => {
                site.fleet.terminate(vm).unwrap();
                assert_exits_cleanly(&mut site, vm).await;
                site.fleet.launch(vm).await.unwrap();
            }
            Replacement::NewVm => {
                let new = format!("new-{vm}");
                site.fleet.add_vm(&new, "zone-a").await.unwrap();
                site.fleet.launch(&new).await.unwrap();
                site.fleet.mark_leaving_in_vm_list(vm);
                assert_exits_cleanly(&mut site, vm).await;
                site.fleet.remove_from_vm_list(vm);
            }
        }
    }

    stop.store(true, Ordering::SeqCst);
    let mut sent = 0;
    for (n, caller) in (0_u64..).zip(callers) {
        sent += caller.await.unwrap() - n * 100_000;
    }
    assert_eq!(u64::try_from(site.runs().len()).unwrap(), sent);
    site.assert_runs_match_responses(&[]);
}

async fn assert_exits_cleanly(site: &mut Site, vm: &str) {
    let status = site.fleet.wait_exit(vm, WAIT_TIMEOUT).await.unwrap();
    assert_eq!(status.code(), Some(0), "{vm}");
}

/// Guards against requests that are interrupted, or refused for another reason than draining, when
/// all daemons are restarted one by one.
#[tokio::test]
async fn rolling_restart_interrupts_nothing() {
    replace_all(Replacement::Restart).await;
}

/// The same when each VM is replaced by a new one.
#[tokio::test]
async fn rolling_replacement_interrupts_nothing() {
    replace_all(Replacement::NewVm).await;
}
