//! A graceful shutdown interrupts no request, and nothing waits for the daemon that left.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use support::small::{
    assert_own, model_call, plain_builder, problem, read_events, sheet, spawn, wait_until,
};
use support::{LONG, Site, outcome};
use testkit::client::{Call, Client};

/// Slowdown at which an engine of the small site makes about ten tokens a second.
const SLOW: f64 = 100.0;

/// Starts a small site with two engines.
async fn start() -> Site {
    let mut site = Site::prepare(sheet(2, 0), plain_builder()).await;
    site.launch().await;
    site
}

/// Names of the VMs that an entry lists.
async fn listed(site: &Site, vm: &str) -> Vec<String> {
    let answer = site.client(vm).call(Call::get("/v1/entries")).await;
    let entries = answer.unwrap().json();
    let entries = entries["entries"].as_array().unwrap().iter();
    let names = entries.map(|entry| entry["vm"].as_str().unwrap().to_string());
    names.collect()
}

/// How a VM is told to leave.
#[derive(Clone, Copy, Debug)]
enum Leave {
    Signal,
    Mark,
}

/// Takes the owner of one of the engines out while requests run through it, wait at it and run at
/// its targets.
async fn leaves_without_a_cut(how: Leave) {
    let mut site = start().await;
    wait_until("all targets are owned", async || {
        site.owners().await.len() == 2
    })
    .await;
    let leaving = site.owner("llm-1").await;
    let stays = site.others(&leaving);
    for engine in site.engines.values() {
        engine.set_slowdown(SLOW);
    }
    let open = site.client(&leaving).connect().await.unwrap();
    let calls: Vec<_> = (0..4).map(|n| model_call(n, 30, n % 2 == 0)).collect();
    let running: Vec<_> = calls
        .iter()
        .enumerate()
        .map(|(n, call)| {
            let vm = if n < 2 { &leaving } else { &stays[0] };
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

    match how {
        Leave::Signal => site.fleet.terminate(&leaving).unwrap(),
        Leave::Mark => site.fleet.mark_leaving_in_vm_list(&leaving),
    }
    for vm in &stays {
        wait_until("the entry lists drop the VM", async || {
            !listed(&site, vm).await.contains(&leaving)
        })
        .await;
    }
    // The other VMs may read the mark before the VM itself.
    site.wait_status(&leaving, "draining", |status| status["phase"] == "draining")
        .await;
    let mut open = open;
    let refused = open.call(model_call(60, 4, false)).await.unwrap();
    assert_eq!(outcome(&refused), ("refused".into(), "draining".into()));
    assert_eq!(problem(&refused)["not_run"], true);
    for engine in site.engines.values() {
        engine.set_slowdown(1.0);
    }

    let mut answer = stream.finish().await;
    events.append(&mut answer.events);
    answer.events = events;
    assert_own(&model_call(50, 30, true), &answer);
    for (call, answer) in calls.iter().zip(running) {
        assert_own(call, &answer.await.unwrap().unwrap());
    }
    drop(open);
    assert_exits(&mut site, &leaving).await;
    site.fleet.remove_from_vm_list(&leaving);
    site.assert_truthful(&[&refused]);
    assert_handed_over(&site, &stays).await;
}

/// Targets and shares are with the VMs that stay.
async fn assert_handed_over(site: &Site, stays: &[String]) {
    wait_until("the targets have new owners", async || {
        site.owners().await.len() == site.sheet.targets.len()
    })
    .await;
    for vm in stays {
        site.assert_serves(vm, 1000, 3).await;
    }
    let mut parts = 0;
    for vm in stays {
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
        "parts of the workspace are lost or doubled"
    );
}

/// Guards against requests that a shutdown cuts, calls that it loses, and targets and shares that
/// it keeps.
#[tokio::test]
async fn signal_during_streams() {
    leaves_without_a_cut(Leave::Signal).await;
}

/// The same when the VM list marks the VM as leaving.
#[tokio::test]
async fn leaving_mark_during_streams() {
    leaves_without_a_cut(Leave::Mark).await;
}

/// A caller that keeps the list of entries for a while, as the interface asks.
struct Caller {
    addresses: Vec<Client>,
    seed: u64,
}

impl Caller {
    async fn refresh(&mut self) {
        for client in self.addresses.clone() {
            let call = Call::get("/v1/entries").timeout(Duration::from_secs(5));
            let Ok(answer) = client.call(call).await else {
                continue;
            };
            let entries = answer.json();
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

    /// Sends a request, to another entry if one refuses it as not run or its port refuses.
    async fn send(&mut self) {
        self.seed += 1;
        let call = model_call(self.seed, 10, self.seed.is_multiple_of(2));
        for attempt in 0_u64.. {
            assert!(attempt < 20, "request {} is not served", self.seed);
            self.refresh().await;
            let at = usize::try_from(self.seed + attempt).unwrap() % self.addresses.len();
            match self.addresses[at].call(call.clone()).await {
                Ok(answer) if answer.status.is_success() => {
                    assert_own(&call, &answer);
                    return;
                }
                Ok(answer) => {
                    assert_eq!(outcome(&answer), ("refused".into(), "draining".into()));
                    assert_eq!(problem(&answer)["not_run"], true);
                }
                Err(testkit::client::ClientError::Connect(_)) => {}
                Err(err) => panic!("request {} is cut: {err}", self.seed),
            }
        }
    }
}

/// What takes the place of a VM.
#[derive(Clone, Copy, Debug)]
enum Replacement {
    /// A new process on the same VM.
    Restart,
    /// A new VM; the old one is marked as leaving and then unlisted.
    NewVm,
}

/// Replaces all VMs one by one while callers send requests.
async fn replace_all(how: Replacement) {
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
        match how {
            Replacement::Restart => {
                site.fleet.terminate(vm).unwrap();
                assert_exits(&mut site, vm).await;
                site.fleet.launch(vm).await.unwrap();
            }
            Replacement::NewVm => {
                let new = format!("new-{vm}");
                site.fleet.add_vm(&new, "zone-a").await.unwrap();
                site.fleet.launch(&new).await.unwrap();
                site.fleet.mark_leaving_in_vm_list(vm);
                assert_exits(&mut site, vm).await;
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
    site.assert_truthful(&[]);
}

async fn assert_exits(site: &mut Site, vm: &str) {
    let status = site.fleet.wait_exit(vm, LONG).await.unwrap();
    assert_eq!(status.code(), Some(0), "{vm}");
}

/// Guards against requests that are cut or refused when all daemons are restarted one by one.
#[tokio::test]
async fn rolling_restart_cuts_nothing() {
    replace_all(Replacement::Restart).await;
}

/// The same when each VM is replaced by a new one.
#[tokio::test]
async fn rolling_replacement_cuts_nothing() {
    replace_all(Replacement::NewVm).await;
}
