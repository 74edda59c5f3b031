//! Requests run at most once, and "not run" is true, whatever happens to the daemons in between.
//!
//! Runs are counted at the stand-in targets, outcomes at the callers.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;
use support::gate::{Gate, Open};
use support::small::{
    KEY, OTHER_KEY, assert_own, builder, hanging_connects, model_call, problem, sheet, spawn,
    start, wait_until,
};
use support::{LONG, Site, outcome};
use testkit::ServiceFault;
use testkit::client::{Call, ClientResponse};

/// Time after which a permit of the small site is void, with some margin.
const PERMIT_OVER: Duration = Duration::from_millis(1300);

/// Time after which a deadline of 4 s has passed, with some margin.
const DEADLINE_OVER: Duration = Duration::from_millis(4300);

/// Sends the call of a dead entry to another VM and to the restarted one. Neither may run it.
async fn resend_everywhere(
    site: &mut Site,
    dead: &str,
    id: &str,
    call: &Call,
) -> Vec<ClientResponse> {
    let other = site.others(dead).remove(0);
    let mut answers = vec![site.client(&other).call(call.clone()).await.unwrap()];
    site.fleet.restart(dead).await.unwrap();
    answers.push(site.client(dead).call(call.clone()).await.unwrap());
    for answer in &answers {
        assert_eq!(outcome(answer).0, "unknown", "{id}: {answer:?}");
        assert_ne!(problem(answer)["not_run"], true, "{id}: {answer:?}");
    }
    answers
}

/// Guards against a second dispatch of a request whose entry died while it waited for a permit,
/// and against a place that the dead entry keeps.
#[tokio::test]
async fn entry_killed_while_a_request_waits() {
    let mut site = start(1, 0).await;
    let owner = site.owner("llm-1").await;
    let entry = site.others(&owner).remove(0);
    let (call_ahead, blocked) = site.block("llm-1", &owner).await;
    let id = site.id(&entry, "waits").await;
    let call = model_call(1, 4, false).request_id(&id);
    let waits = spawn(site.client(&entry), call.clone());
    site.wait_waiting(&owner, 1).await;

    site.fleet.kill(&entry).await.unwrap();

    assert!(waits.await.unwrap().is_err(), "the entry is dead");
    let answers = resend_everywhere(&mut site, &entry, &id, &call).await;
    site.engines["llm-1"].set_slowdown(1.0);
    assert_own(&call_ahead, &blocked.await.unwrap().unwrap());
    site.assert_serves(&owner, 100, 3).await;
    assert!(!site.runs().contains_key(&id), "nobody may dispatch it");
    site.assert_truthful(&answers.iter().collect::<Vec<_>>());
}

/// Starts a site whose only engine is behind a closed gate and returns owner, entry and gate.
///
/// A slow start lets the owner assume that the target is full. Without load reports that lasts for
/// longer than a test, so such a site is started again.
async fn gated() -> (Site, String, String, Gate) {
    const STARTS: u32 = 4;
    for _ in 0..STARTS {
        // Load reports are switched off, so that only dispatches connect to the gate.
        let builder = builder().setting("timing", json!({ "load_poll": "1h" }));
        let mut site = Site::prepare(sheet(1, 0), builder).await;
        let gate = Gate::closed().await;
        let addr = gate.addr();
        site.change(|sheet| sheet.targets.values_mut().for_each(|t| t.address = addr));
        site.launch().await;
        let owner = site.owner("llm-1").await;
        if site.status(&owner).await["pools"][0]["free_tokens"].as_u64() > Some(0) {
            let entry = site.others(&owner).remove(0);
            return (site, owner, entry, gate);
        }
    }
    panic!("the owner assumes a full target at each start");
}

fn open(site: &Site, gate: Gate) -> Open {
    gate.open(site.engines["llm-1"].addr())
}

/// Guards against a second dispatch when the entry dies between its permit and the first byte.
#[tokio::test]
async fn entry_killed_before_the_first_byte() {
    let (mut site, owner, entry, gate) = gated().await;
    let id = site.id(&entry, "connects").await;
    let call = model_call(1, 4, false).request_id(&id);
    let caller = spawn(site.client(&entry), call.clone());
    let port = gate.addr().port();
    wait_until("the entry connects", async || {
        assert!(!caller.is_finished(), "the request ended early");
        hanging_connects(port) > 0
    })
    .await;

    site.fleet.kill(&entry).await.unwrap();

    assert!(caller.await.unwrap().is_err(), "the entry is dead");
    let open = open(&site, gate);
    let answers = resend_everywhere(&mut site, &entry, &id, &call).await;
    site.assert_serves(&owner, 100, 3).await;
    assert!(!site.runs().contains_key(&id), "no byte was sent");
    assert_eq!(open.used.load(Ordering::SeqCst), 3);
    site.assert_truthful(&answers.iter().collect::<Vec<_>>());
}

/// Guards against a second dispatch when the entry dies while its bytes are under way: the run
/// may still start after the resends were answered.
#[tokio::test]
async fn entry_killed_during_the_first_bytes() {
    let mut site = start(1, 0).await;
    let owner = site.owner("llm-1").await;
    let entry = site.others(&owner).remove(0);
    let id = site.id(&entry, "sends").await;
    let call = model_call(1, 4, false).request_id(&id);
    let proxy = site.fleet.target_proxy("llm-1");
    proxy.set_held(testkit::Direction::Up, true);
    let idle = proxy.open_connections();
    let caller = spawn(site.client(&entry), call.clone());
    site.fleet
        .target_proxy("llm-1")
        .wait_open_connections(|open| open > idle)
        .await;
    wait_until("the entry has sent", async || {
        site.metric(&entry, "primrosechute_dispatched_total").await > 0.0
    })
    .await;

    site.fleet.kill(&entry).await.unwrap();

    assert!(caller.await.unwrap().is_err(), "the entry is dead");
    let answers = resend_everywhere(&mut site, &entry, &id, &call).await;
    site.fleet.heal();
    site.assert_serves(&owner, 100, 3).await;
    site.assert_truthful(&answers.iter().collect::<Vec<_>>());
}

/// Guards against a second dispatch when the entry dies after the run began, and against a place
/// that stays taken when the run has ended without its entry.
#[tokio::test]
async fn entry_killed_after_the_first_byte() {
    let mut site = start(1, 0).await;
    let owner = site.owner("llm-1").await;
    let entry = site.others(&owner).remove(0);
    let id = site.id(&entry, "runs").await;
    let call = model_call(1, 4, true).request_id(&id);
    let engine = &site.engines["llm-1"];
    engine.set_slowdown(1e6);
    let caller = spawn(site.client(&entry), call.clone());
    engine.wait_for(|stats| stats.runs == 1).await;

    site.fleet.kill(&entry).await.unwrap();

    let cut = caller.await.unwrap();
    assert!(cut.is_err() || !cut.unwrap().is_done(), "the entry is dead");
    let answers = resend_everywhere(&mut site, &entry, &id, &call).await;
    site.engines["llm-1"].set_slowdown(1.0);
    site.assert_serves(&owner, 100, 3).await;
    assert_eq!(site.runs()[&id], 1);
    site.assert_truthful(&answers.iter().collect::<Vec<_>>());
}

/// Guards against lost, repeated and wrongly shed requests when a target owner dies with requests
/// waiting and running: the waiting ones go to another owner.
#[tokio::test]
async fn owner_killed_with_requests_waiting_and_running() {
    let mut site = start(6, 0).await;
    wait_until("all targets are owned", async || {
        site.owners().await.len() == 6
    })
    .await;
    let owners = site.owners().await;
    let owner = owners["llm-1"].clone();
    let other = owners.values().find(|vm| **vm != owner);
    let entry = other
        .unwrap_or_else(|| panic!("one owner has all targets: {owners:?}"))
        .clone();
    for engine in site.engines.values() {
        engine.set_slowdown(1e6);
    }
    let calls: Vec<_> = (0..18).map(|n| model_call(n, 4, n % 2 == 0)).collect();
    let answers: Vec<_> = calls
        .iter()
        .map(|call| spawn(site.client(&entry), call.clone()))
        .collect();
    for engine in site.engines.values() {
        engine.wait_for(|stats| stats.running == 1).await;
    }
    site.wait_status(&owner, "waiting requests", |status| {
        status["pools"][0]["waiting_by_tier"][0].as_u64() > Some(0)
    })
    .await;

    site.fleet.kill(&owner).await.unwrap();
    site.fleet.remove_from_vm_list(&owner);
    for engine in site.engines.values() {
        engine.set_slowdown(1.0);
    }

    let mut all = Vec::new();
    for (call, answer) in calls.iter().zip(answers) {
        let answer = answer.await.unwrap().unwrap();
        if answer.status.is_success() {
            assert_own(call, &answer);
        } else {
            assert_eq!(outcome(&answer).0, "shed", "{answer:?}");
            assert_eq!(problem(&answer)["not_run"], true, "{answer:?}");
        }
        all.push(answer);
    }
    let served = all
        .iter()
        .filter(|answer| answer.status.is_success())
        .count();
    assert!(served >= 6, "the running ones are served: {served}");
    assert_eq!(site.runs().len(), served);
    site.assert_truthful(&all.iter().collect::<Vec<_>>());
    wait_until("the targets have new owners", async || {
        site.owners().await.len() == 6
    })
    .await;
    site.assert_serves(&entry, 100, 8).await;
}

/// When the owner grants a permit that the partition swallows.
#[derive(Clone, Copy, Debug)]
enum Lost {
    /// Before the owner notices the partition: the permit is written and never read.
    Written,
    /// After the owner closed the link.
    Unsent,
}

/// Guards against places that stay taken by permits that a partition swallowed, and against a
/// second run when the entry offers the request again.
async fn permit_lost_in_a_partition(lost: Lost) {
    let site = start(1, 0).await;
    let owner = site.owner("llm-1").await;
    let entry = site.others(&owner).remove(0);
    let (call_ahead, blocked) = site.block("llm-1", &owner).await;
    let call = model_call(1, 4, true).header("x-primrosechute-deadline", "50s");
    let waits = spawn(site.client(&entry), call.clone());
    site.wait_waiting(&owner, 1).await;

    site.fleet.partition(&[&entry], &[&owner]);
    let closed = format!("link with {entry} closed");
    if matches!(lost, Lost::Unsent) {
        site.fleet
            .wait_for_log(&owner, &closed, LONG)
            .await
            .unwrap();
    }
    site.engines["llm-1"].set_slowdown(1.0);
    assert_own(&call_ahead, &blocked.await.unwrap().unwrap());
    site.fleet
        .wait_for_log(&owner, &closed, LONG)
        .await
        .unwrap();
    site.fleet.heal();

    let answer = waits.await.unwrap().unwrap();
    assert_own(&call, &answer);
    site.assert_serves(&owner, 100, 4).await;
    site.assert_serves(&entry, 200, 4).await;
    site.assert_truthful(&[&answer]);
}

#[tokio::test]
async fn permit_written_into_a_partition_is_reclaimed() {
    permit_lost_in_a_partition(Lost::Written).await;
}

#[tokio::test]
async fn permit_granted_after_the_link_closed_is_returned() {
    permit_lost_in_a_partition(Lost::Unsent).await;
}

/// Guards against an answer that is cut by a partition between entry and owner, and against a
/// place that stays taken because the report of the run's end was lost.
#[tokio::test]
async fn run_that_ends_in_a_partition_frees_its_place() {
    let site = start(1, 0).await;
    let owner = site.owner("llm-1").await;
    let entry = site.others(&owner).remove(0);
    let (call, running) = site.block("llm-1", &entry).await;

    site.fleet.partition(&[&entry], &[&owner]);
    let closed = format!("link with {entry} closed");
    site.fleet
        .wait_for_log(&owner, &closed, LONG)
        .await
        .unwrap();
    site.engines["llm-1"].set_slowdown(1.0);
    let answer = running.await.unwrap().unwrap();
    assert_own(&call, &answer);

    site.assert_serves(&owner, 100, 4).await;
    site.fleet.heal();
    site.assert_serves(&entry, 200, 4).await;
    site.assert_truthful(&[&answer]);
}

/// Guards against a place that stays taken by a permit which crossed with the end of its request:
/// the entry must return what comes too late.
#[tokio::test]
async fn permit_that_crosses_an_expired_request_is_returned() {
    const LATENCY: Duration = Duration::from_millis(400);
    let site = start(1, 0).await;
    let owner = site.owner("llm-1").await;
    let entry = site.others(&owner).remove(0);
    let (_, blocked) = site.block("llm-1", &owner).await;
    // The owner counts the deadline from the late offer, so it outlives the entry's.
    site.fleet.peer_proxy(&entry, &owner).set_latency(LATENCY);
    let call = model_call(1, 4, false).header("x-primrosechute-deadline", "2s");

    let answer = site.client(&entry).call(call).await.unwrap();
    // The withdrawal is under way for as long as the latency; the grant overtakes it.
    site.engines["llm-1"].set_slowdown(1.0);
    blocked.await.unwrap().unwrap();

    assert_eq!(outcome(&answer), ("refused".into(), "expired".into()));
    wait_until("the permit is granted", async || {
        site.metric(&owner, "primrosechute_permits_granted_total")
            .await
            > 1.0
    })
    .await;
    site.fleet
        .peer_proxy(&entry, &owner)
        .set_latency(Duration::ZERO);
    site.assert_serves(&owner, 100, 3).await;
    site.assert_truthful(&[&answer]);
}

/// Guards against a dispatch for a caller who left while its request waited.
#[tokio::test]
async fn caller_that_leaves_the_queue_is_never_run() {
    let site = start(1, 0).await;
    let owner = site.owner("llm-1").await;
    let entry = site.others(&owner).remove(0);
    let (_, blocked) = site.block("llm-1", &owner).await;
    let id = site.id(&entry, "left").await;
    let call = model_call(1, 4, false).request_id(&id);
    let waits = spawn(site.client(&entry), call.clone());
    site.wait_waiting(&owner, 1).await;

    waits.abort();
    site.wait_waiting(&owner, 0).await;
    site.engines["llm-1"].set_slowdown(1.0);
    blocked.await.unwrap().unwrap();

    let again = site.client(&entry).call(call).await.unwrap();
    assert_eq!(outcome(&again), ("refused".into(), "cancelled".into()));
    site.assert_serves(&owner, 100, 3).await;
    assert!(!site.runs().contains_key(&id));
    site.assert_truthful(&[&again]);
}

/// Stage in which the entry is paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Paused {
    Waiting,
    Connecting,
}

/// Pauses the entry until its permit is void, and returns the answer, the site and the gate.
async fn pause_past_the_permit(
    stage: Paused,
    deadline: &str,
    pause: Duration,
) -> (Site, Call, ClientResponse, Open) {
    let (site, owner, entry, gate) = gated().await;
    let id = site.id(&entry, "paused").await;
    let call = model_call(1, 4, false)
        .request_id(&id)
        .header("x-primrosechute-deadline", deadline);
    let port = gate.addr().port();
    let open = match stage {
        Paused::Connecting => {
            let caller = spawn(site.client(&entry), call.clone());
            wait_until("the entry connects", async || {
                assert!(!caller.is_finished(), "the request ended early");
                hanging_connects(port) > 0
            })
            .await;
            site.fleet.pause(&entry).await.unwrap();
            let open = open(&site, gate);
            // The kernel completes the connect of the paused process.
            let accepted = || open.accepted.load(Ordering::SeqCst) > 0;
            wait_until("the connect completes", async || accepted()).await;
            (caller, open)
        }
        Paused::Waiting => {
            let open = open(&site, gate);
            let (_, blocked) = site.block("llm-1", &owner).await;
            let caller = spawn(site.client(&entry), call.clone());
            site.wait_waiting(&owner, 1).await;
            site.fleet.pause(&entry).await.unwrap();
            site.engines["llm-1"].set_slowdown(1.0);
            blocked.await.unwrap().unwrap();
            wait_until("the permit is granted", async || {
                site.metric(&owner, "primrosechute_permits_granted_total")
                    .await
                    > 1.0
            })
            .await;
            (caller, open)
        }
    };
    let (caller, open) = open;
    // Time has to pass while the process stands still; nothing else tells that the permit is void.
    tokio::time::sleep(pause).await;
    site.fleet.resume(&entry).unwrap();
    let answer = caller.await.unwrap().unwrap();
    (site, call, answer, open)
}

/// Guards against a dispatch with a permit that became void while the entry connected.
#[tokio::test]
async fn entry_paused_while_connecting_needs_a_new_permit() {
    let (site, call, answer, open) =
        pause_past_the_permit(Paused::Connecting, "50s", PERMIT_OVER).await;

    assert_own(&call, &answer);
    assert_eq!(
        open.used.load(Ordering::SeqCst),
        1,
        "sent with the old permit"
    );
    // The gate may see the end of the unused connection after the answer.
    let empty = || open.empty.load(Ordering::SeqCst) == 1;
    wait_until("the first connection ends unused", async || empty()).await;
    site.assert_truthful(&[&answer]);
}

/// Guards against a dispatch with a permit that became void on its way to the paused entry.
#[tokio::test]
async fn entry_paused_while_waiting_needs_a_new_permit() {
    let (site, call, answer, open) =
        pause_past_the_permit(Paused::Waiting, "50s", PERMIT_OVER).await;

    assert_own(&call, &answer);
    // The blocker and the request itself; the old permit must not have carried a third.
    assert_eq!(open.used.load(Ordering::SeqCst), 2);
    site.assert_truthful(&[&answer]);
}

/// Guards against a dispatch after the deadline when the entry was paused while it connected.
#[tokio::test]
async fn entry_paused_while_connecting_past_the_deadline_refuses() {
    let (site, _, answer, _) = pause_past_the_permit(Paused::Connecting, "4s", DEADLINE_OVER).await;

    assert_eq!(outcome(&answer), ("refused".into(), "expired".into()));
    assert_eq!(problem(&answer)["not_run"], true);
    site.assert_truthful(&[&answer]);
}

/// Guards against a dispatch after the deadline when the entry was paused while it waited.
#[tokio::test]
async fn entry_paused_while_waiting_past_the_deadline_refuses() {
    let (site, _, answer, _) = pause_past_the_permit(Paused::Waiting, "4s", DEADLINE_OVER).await;

    assert_eq!(problem(&answer)["not_run"], true, "{answer:?}");
    site.assert_truthful(&[&answer]);
}

/// Guards against a second run, a differing answer or a false "not run" when an id is used again
/// at the VM that runs or ran it.
#[tokio::test]
async fn id_sent_again_to_the_same_vm() {
    let site = start(1, 0).await;
    let vm = site.fleet.names().remove(0);
    let id = site.id(&vm, "again").await;
    let call = model_call(1, 6, true).request_id(&id);
    let other_body = model_call(2, 6, true).request_id(&id);
    let body = call.sent_body().clone();
    let other_key = Call::post("/v1/completions", body.clone())
        .key(OTHER_KEY)
        .request_id(&id);
    let bad_key = Call::post("/v1/completions", body)
        .key("no-such-key")
        .request_id(&id);
    let engine = &site.engines["llm-1"];
    engine.set_slowdown(1e6);

    let first = spawn(site.client(&vm), call.clone());
    engine.wait_for(|stats| stats.runs == 1).await;
    let second = spawn(site.client(&vm), call.clone());
    let mut refused = Vec::new();
    for wrong in [&other_body, &other_key, &bad_key] {
        refused.push(site.client(&vm).call(wrong.clone()).await.unwrap());
    }
    engine.set_slowdown(1.0);
    let first = first.await.unwrap().unwrap();
    let second = second.await.unwrap().unwrap();
    let third = site.client(&vm).call(call.clone()).await.unwrap();
    for wrong in [&other_body, &other_key, &bad_key] {
        refused.push(site.client(&vm).call(wrong.clone()).await.unwrap());
    }

    for answer in [&first, &second, &third] {
        assert_own(&call, answer);
        assert_eq!(answer.events, first.events);
    }
    for answer in &refused {
        assert_eq!(outcome(answer).0, "refused", "{answer:?}");
    }
    assert_eq!(site.runs(), [(id, 1)].into());
    site.assert_truthful(&refused.iter().collect::<Vec<_>>());
}

/// Guards against repeated or wrongly described calls of a non-idempotent plain service.
#[tokio::test]
async fn plain_service_faults_never_repeat_a_call() {
    let site = start(0, 2).await;
    let vm = site.fleet.names().remove(0);
    let faults = [
        ServiceFault::ResetBeforeBody,
        ServiceFault::ResetAfterBody,
        ServiceFault::CloseMidAnswer,
        ServiceFault::Silent,
    ];
    let mut answers = Vec::new();
    for (n, fault) in faults.into_iter().enumerate() {
        for service in site.services.values() {
            service.set_fault(fault);
        }
        let id = site.id(&vm, &format!("order-{n}")).await;
        let call = Call::json("/orders", &json!({ "tubes": n }))
            .key(KEY)
            .request_id(&id)
            .header("x-primrosechute-deadline", "1s");

        let answer = site.client(&vm).call(call.clone()).await.unwrap();
        let again = site.client(&vm).call(call).await.unwrap();

        let label = outcome(&answer).0;
        assert!(
            ["unknown", "failed"].contains(&&*label),
            "{fault:?}: {answer:?}"
        );
        assert_eq!(outcome(&again).0, label, "{fault:?}: {again:?}");
        assert_ne!(problem(&answer)["not_run"], true, "{fault:?}");
        let count: u64 = site.services.values().map(|s| s.call_count(&id)).sum();
        assert!(count <= 1, "{fault:?}: {count} calls");
        answers.extend([answer, again]);
    }
    site.assert_truthful(&answers.iter().collect::<Vec<_>>());
}

/// Guards against requests that fail or run twice because one target refuses connections.
#[tokio::test]
async fn refused_connection_is_retried_elsewhere() {
    let site = start(2, 0).await;
    wait_until("all targets are owned", async || {
        site.owners().await.len() == 2
    })
    .await;
    let vm = site.fleet.names().remove(0);
    site.fleet.target_proxy("llm-1").refuse_connections().await;

    let mut answers = Vec::new();
    for n in 0..6 {
        let call = model_call(n, 3, n % 2 == 0);
        let answer = site.client(&vm).call(call.clone()).await.unwrap();
        assert_own(&call, &answer);
        answers.push(answer);
    }

    assert_eq!(site.engines["llm-1"].stats().runs, 0);
    assert_eq!(site.engines["llm-2"].stats().runs, 6);
    site.assert_truthful(&answers.iter().collect::<Vec<_>>());
}
