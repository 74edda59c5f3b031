//! Requests run at most once, and a response that says "not run" is true, even if daemons crash,
//! are paused or are partitioned.
//!
//! Runs are counted at the stand-in targets, outcomes at the callers.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;
use support::small_site::{
    KEY, OTHER_KEY, assert_correct_response, builder, model_call, pending_connects, problem, sheet,
    spawn, start, wait_until,
};
use support::stalled_listener::{ConnectionCounts, StalledListener};
use support::{Site, WAIT_TIMEOUT, outcome_and_reason};
use testkit::ServiceFault;
use testkit::client::{Call, ClientResponse};

/// Time after which a permit of the small site is void, with some margin.
const PERMIT_OVER: Duration = Duration::from_millis(1300);

/// Time after which a deadline of 4 s has passed, with some margin.
const DEADLINE_OVER: Duration = Duration::from_millis(4300);

/// Sends the call of a killed entry to another VM and to the restarted one. Both must respond with
/// `unknown`: neither may run the call or claim that it did not run.
async fn resend_to_all(
    site: &mut Site,
    killed: &str,
    id: &str,
    call: &Call,
) -> Vec<ClientResponse> {
    let other = site.other_vms(killed).remove(0);
    let mut responses = vec![site.client(&other).call(call.clone()).await.unwrap()];
    site.fleet.restart(killed).await.unwrap();
    responses.push(site.client(killed).call(call.clone()).await.unwrap());
    for response in &responses {
        assert_eq!(
            outcome_and_reason(response).0,
            "unknown",
            "{id}: {response:?}"
        );
        assert_ne!(problem(response)["not_run"], true, "{id}: {response:?}");
    }
    responses
}

/// Guards against a second dispatch of a request whose entry died while it waited for a permit,
/// and against a slot that the killed entry keeps.
#[tokio::test]
async fn entry_killed_while_a_request_waits() {
    let mut site = start(1, 0).await;
    let owner = site.owner("llm-1").await;
    let entry = site.other_vms(&owner).remove(0);
    let (blocking_call, blocker) = site.block_engine("llm-1", &owner).await;
    let id = site.request_id(&entry, "waits").await;
    let call = model_call(1, 4, false).request_id(&id);
    let waiting = spawn(site.client(&entry), call.clone());
    site.wait_queue_length(&owner, 1).await;

    site.fleet.kill(&entry).await.unwrap();

    assert!(waiting.await.unwrap().is_err(), "the entry was killed");
    let responses = resend_to_all(&mut site, &entry, &id, &call).await;
    site.engines["llm-1"].set_slowdown(1.0);
    assert_correct_response(&blocking_call, &blocker.await.unwrap().unwrap());
    site.assert_serves(&owner, 100, 3).await;
    assert!(!site.runs().contains_key(&id), "no VM may dispatch it");
    site.assert_runs_match_responses(&responses.iter().collect::<Vec<_>>());
}

/// Starts a site whose only target address is a [`StalledListener`], and returns the site, the
/// owner of the target, another VM as entry, and the listener.
///
/// After a slow start the owner assumes that the target is full. Without load reports it keeps that
/// assumption for longer than a test lasts, so the site is started again.
async fn start_with_stalled_target() -> (Site, String, String, StalledListener) {
    const STARTS: u32 = 4;
    for _ in 0..STARTS {
        // No load polls, so that only dispatches connect to the listener.
        let builder = builder().setting("timing", json!({ "load_poll": "1h" }));
        let mut site = Site::prepare(sheet(1, 0), builder).await;
        let listener = StalledListener::start().await;
        let addr = listener.addr();
        site.change(|sheet| sheet.targets.values_mut().for_each(|t| t.address = addr));
        site.launch().await;
        let owner = site.owner("llm-1").await;
        if site.status(&owner).await["pools"][0]["free_tokens"].as_u64() > Some(0) {
            let entry = site.other_vms(&owner).remove(0);
            return (site, owner, entry, listener);
        }
    }
    panic!("the owner assumed a full target after each start");
}

fn forward_to(site: &Site, listener: StalledListener) -> ConnectionCounts {
    listener.forward_to(site.engines["llm-1"].addr())
}

/// Guards against a second dispatch when the entry dies after it got the permit and before it sent
/// the first byte.
#[tokio::test]
async fn entry_killed_before_the_first_byte() {
    let (mut site, owner, entry, listener) = start_with_stalled_target().await;
    let id = site.request_id(&entry, "connects").await;
    let call = model_call(1, 4, false).request_id(&id);
    let caller = spawn(site.client(&entry), call.clone());
    let port = listener.addr().port();
    wait_until("the entry connects", async || {
        assert!(!caller.is_finished(), "the request ended early");
        pending_connects(port) > 0
    })
    .await;

    site.fleet.kill(&entry).await.unwrap();

    assert!(caller.await.unwrap().is_err(), "the entry was killed");
    let counts = forward_to(&site, listener);
    let responses = resend_to_all(&mut site, &entry, &id, &call).await;
    site.assert_serves(&owner, 100, 3).await;
    assert!(!site.runs().contains_key(&id), "no byte was sent");
    assert_eq!(counts.requests.load(Ordering::SeqCst), 3);
    site.assert_runs_match_responses(&responses.iter().collect::<Vec<_>>());
}

/// Guards against a second dispatch when the entry dies while its bytes are in flight: the run may
/// still start after the responses to the resends.
#[tokio::test]
async fn entry_killed_while_sending_the_first_bytes() {
    let mut site = start(1, 0).await;
    let owner = site.owner("llm-1").await;
    let entry = site.other_vms(&owner).remove(0);
    let id = site.request_id(&entry, "sends").await;
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

    assert!(caller.await.unwrap().is_err(), "the entry was killed");
    let responses = resend_to_all(&mut site, &entry, &id, &call).await;
    site.fleet.heal();
    site.assert_serves(&owner, 100, 3).await;
    site.assert_runs_match_responses(&responses.iter().collect::<Vec<_>>());
}

/// Guards against a second dispatch when the entry dies after the run began, and against a slot
/// that stays taken although the run has ended.
#[tokio::test]
async fn entry_killed_after_the_first_byte() {
    let mut site = start(1, 0).await;
    let owner = site.owner("llm-1").await;
    let entry = site.other_vms(&owner).remove(0);
    let id = site.request_id(&entry, "runs").await;
    let call = model_call(1, 4, true).request_id(&id);
    let engine = &site.engines["llm-1"];
    engine.set_slowdown(1e6);
    let caller = spawn(site.client(&entry), call.clone());
    engine.wait_for(|stats| stats.runs == 1).await;

    site.fleet.kill(&entry).await.unwrap();

    let interrupted = caller.await.unwrap();
    assert!(
        interrupted.is_err() || !interrupted.unwrap().is_done(),
        "the entry was killed"
    );
    let responses = resend_to_all(&mut site, &entry, &id, &call).await;
    site.engines["llm-1"].set_slowdown(1.0);
    site.assert_serves(&owner, 100, 3).await;
    assert_eq!(site.runs()[&id], 1);
    site.assert_runs_match_responses(&responses.iter().collect::<Vec<_>>());
}

/// Guards against requests that are lost, repeated or shed after they ran when a target owner dies
/// with requests waiting and running. The waiting ones go to another owner.
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
    let responses: Vec<_> = calls
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
    for (call, response) in calls.iter().zip(responses) {
        let response = response.await.unwrap().unwrap();
        if response.status.is_success() {
            assert_correct_response(call, &response);
        } else {
            assert_eq!(outcome_and_reason(&response).0, "shed", "{response:?}");
            assert_eq!(problem(&response)["not_run"], true, "{response:?}");
        }
        all.push(response);
    }
    let served = all
        .iter()
        .filter(|response| response.status.is_success())
        .count();
    assert!(served >= 6, "the running requests must be served: {served}");
    assert_eq!(site.runs().len(), served);
    site.assert_runs_match_responses(&all.iter().collect::<Vec<_>>());
    wait_until("the targets have new owners", async || {
        site.owners().await.len() == 6
    })
    .await;
    site.assert_serves(&entry, 100, 8).await;
}

/// When the owner grants a permit that is lost in the partition.
#[derive(Clone, Copy, Debug)]
enum PermitLoss {
    /// Before the owner notices the partition: the permit is written to the link and never read.
    InFlight,
    /// After the owner closed the link.
    LinkClosed,
}

/// Guards against slots that stay taken by permits lost in a partition, and against a second run
/// when the entry offers the request again.
async fn permit_lost_in_a_partition(loss: PermitLoss) {
    let site = start(1, 0).await;
    let owner = site.owner("llm-1").await;
    let entry = site.other_vms(&owner).remove(0);
    let (blocking_call, blocker) = site.block_engine("llm-1", &owner).await;
    let call = model_call(1, 4, true).header("x-primrosechute-deadline", "50s");
    let waiting = spawn(site.client(&entry), call.clone());
    site.wait_queue_length(&owner, 1).await;

    site.fleet.partition(&[&entry], &[&owner]);
    let closed = format!("link with {entry} closed");
    if matches!(loss, PermitLoss::LinkClosed) {
        site.fleet
            .wait_for_log(&owner, &closed, WAIT_TIMEOUT)
            .await
            .unwrap();
    }
    site.engines["llm-1"].set_slowdown(1.0);
    assert_correct_response(&blocking_call, &blocker.await.unwrap().unwrap());
    site.fleet
        .wait_for_log(&owner, &closed, WAIT_TIMEOUT)
        .await
        .unwrap();
    site.fleet.heal();

    let response = waiting.await.unwrap().unwrap();
    assert_correct_response(&call, &response);
    site.assert_serves(&owner, 100, 4).await;
    site.assert_serves(&entry, 200, 4).await;
    site.assert_runs_match_responses(&[&response]);
}

#[tokio::test]
async fn permit_sent_into_a_partition_is_reclaimed() {
    permit_lost_in_a_partition(PermitLoss::InFlight).await;
}

#[tokio::test]
async fn permit_granted_after_the_link_closed_is_returned() {
    permit_lost_in_a_partition(PermitLoss::LinkClosed).await;
}

/// Guards against a response that is truncated by a partition between entry and owner, and against
/// a slot that stays taken because the report of the run's end was lost.
#[tokio::test]
async fn run_that_ends_in_a_partition_frees_its_slot() {
    let site = start(1, 0).await;
    let owner = site.owner("llm-1").await;
    let entry = site.other_vms(&owner).remove(0);
    let (call, running) = site.block_engine("llm-1", &entry).await;

    site.fleet.partition(&[&entry], &[&owner]);
    let closed = format!("link with {entry} closed");
    site.fleet
        .wait_for_log(&owner, &closed, WAIT_TIMEOUT)
        .await
        .unwrap();
    site.engines["llm-1"].set_slowdown(1.0);
    let response = running.await.unwrap().unwrap();
    assert_correct_response(&call, &response);

    site.assert_serves(&owner, 100, 4).await;
    site.fleet.heal();
    site.assert_serves(&entry, 200, 4).await;
    site.assert_runs_match_responses(&[&response]);
}

/// Guards against a slot that stays taken by a permit that crosses the withdrawal of its expired
/// request: the entry must return a permit that arrives too late.
#[tokio::test]
async fn permit_that_crosses_an_expired_request_is_returned() {
    const LATENCY: Duration = Duration::from_millis(400);
    let site = start(1, 0).await;
    let owner = site.owner("llm-1").await;
    let entry = site.other_vms(&owner).remove(0);
    let (_, blocker) = site.block_engine("llm-1", &owner).await;
    // The owner counts the deadline from the arrival of the delayed offer, so it ends after the
    // entry's.
    site.fleet.peer_proxy(&entry, &owner).set_latency(LATENCY);
    let call = model_call(1, 4, false).header("x-primrosechute-deadline", "2s");

    let response = site.client(&entry).call(call).await.unwrap();
    // The withdrawal is still delayed by the link, so the grant is sent before it arrives.
    site.engines["llm-1"].set_slowdown(1.0);
    blocker.await.unwrap().unwrap();

    assert_eq!(
        outcome_and_reason(&response),
        ("refused".into(), "expired".into())
    );
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
    site.assert_runs_match_responses(&[&response]);
}

/// Guards against a dispatch for a caller that disconnected while its request waited.
#[tokio::test]
async fn request_cancelled_while_waiting_is_never_run() {
    let site = start(1, 0).await;
    let owner = site.owner("llm-1").await;
    let entry = site.other_vms(&owner).remove(0);
    let (_, blocker) = site.block_engine("llm-1", &owner).await;
    let id = site.request_id(&entry, "left").await;
    let call = model_call(1, 4, false).request_id(&id);
    let waiting = spawn(site.client(&entry), call.clone());
    site.wait_queue_length(&owner, 1).await;

    waiting.abort();
    site.wait_queue_length(&owner, 0).await;
    site.engines["llm-1"].set_slowdown(1.0);
    blocker.await.unwrap().unwrap();

    let repeated = site.client(&entry).call(call).await.unwrap();
    assert_eq!(
        outcome_and_reason(&repeated),
        ("refused".into(), "cancelled".into())
    );
    site.assert_serves(&owner, 100, 3).await;
    assert!(!site.runs().contains_key(&id));
    site.assert_runs_match_responses(&[&repeated]);
}

/// Stage in which the entry is paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PausedStage {
    Waiting,
    Connecting,
}

/// Pauses the entry at a stage of a request and resumes it after `pause`, when its permit is void.
/// Returns the site, the call, its response and the connections of the target.
async fn pause_past_the_permit(
    stage: PausedStage,
    deadline: &str,
    pause: Duration,
) -> (Site, Call, ClientResponse, ConnectionCounts) {
    let (site, owner, entry, listener) = start_with_stalled_target().await;
    let id = site.request_id(&entry, "paused").await;
    let call = model_call(1, 4, false)
        .request_id(&id)
        .header("x-primrosechute-deadline", deadline);
    let port = listener.addr().port();
    let paused = match stage {
        PausedStage::Connecting => {
            let caller = spawn(site.client(&entry), call.clone());
            wait_until("the entry connects", async || {
                assert!(!caller.is_finished(), "the request ended early");
                pending_connects(port) > 0
            })
            .await;
            site.fleet.pause(&entry).await.unwrap();
            let counts = forward_to(&site, listener);
            // The kernel completes the connect of the paused process.
            let accepted = || counts.accepted.load(Ordering::SeqCst) > 0;
            wait_until("the connect completes", async || accepted()).await;
            (caller, counts)
        }
        PausedStage::Waiting => {
            let counts = forward_to(&site, listener);
            let (_, blocker) = site.block_engine("llm-1", &owner).await;
            let caller = spawn(site.client(&entry), call.clone());
            site.wait_queue_length(&owner, 1).await;
            site.fleet.pause(&entry).await.unwrap();
            site.engines["llm-1"].set_slowdown(1.0);
            blocker.await.unwrap().unwrap();
            wait_until("the permit is granted", async || {
                site.metric(&owner, "primrosechute_permits_granted_total")
                    .await
                    > 1.0
            })
            .await;
            (caller, counts)
        }
    };
    let (caller, counts) = paused;
    // The permit becomes void only with time, which no event announces.
    tokio::time::sleep(pause).await;
    site.fleet.resume(&entry).unwrap();
    let response = caller.await.unwrap().unwrap();
    (site, call, response, counts)
}

/// Guards against a dispatch with a permit that became void while the entry connected.
#[tokio::test]
async fn entry_paused_while_connecting_needs_a_new_permit() {
    let (site, call, response, counts) =
        pause_past_the_permit(PausedStage::Connecting, "50s", PERMIT_OVER).await;

    assert_correct_response(&call, &response);
    assert_eq!(
        counts.requests.load(Ordering::SeqCst),
        1,
        "sent with the old permit"
    );
    // The listener may see the end of the unused connection after the response.
    let empty = || counts.without_data.load(Ordering::SeqCst) == 1;
    wait_until("the first connection ends unused", async || empty()).await;
    site.assert_runs_match_responses(&[&response]);
}

/// Guards against a dispatch with a permit that became void on its way to the paused entry.
#[tokio::test]
async fn entry_paused_while_waiting_needs_a_new_permit() {
    let (site, call, response, counts) =
        pause_past_the_permit(PausedStage::Waiting, "50s", PERMIT_OVER).await;

    assert_correct_response(&call, &response);
    // One for the blocking call and one for the request; none with the old permit.
    assert_eq!(counts.requests.load(Ordering::SeqCst), 2);
    site.assert_runs_match_responses(&[&response]);
}

/// Guards against a dispatch after the deadline when the entry was paused while it connected.
#[tokio::test]
async fn entry_paused_while_connecting_past_the_deadline_refuses() {
    let (site, _, response, _) =
        pause_past_the_permit(PausedStage::Connecting, "4s", DEADLINE_OVER).await;

    assert_eq!(
        outcome_and_reason(&response),
        ("refused".into(), "expired".into())
    );
    assert_eq!(problem(&response)["not_run"], true);
    site.assert_runs_match_responses(&[&response]);
}

/// Guards against a dispatch after the deadline when the entry was paused while it waited.
#[tokio::test]
async fn entry_paused_while_waiting_past_the_deadline_refuses() {
    let (site, _, response, _) =
        pause_past_the_permit(PausedStage::Waiting, "4s", DEADLINE_OVER).await;

    assert_eq!(problem(&response)["not_run"], true, "{response:?}");
    site.assert_runs_match_responses(&[&response]);
}

/// Guards against a second run, a different response or a false "not run" when a caller reuses an
/// id at the VM that runs or ran it.
#[tokio::test]
async fn id_reused_at_the_same_vm() {
    let site = start(1, 0).await;
    let vm = site.fleet.names().remove(0);
    let id = site.request_id(&vm, "again").await;
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

    for response in [&first, &second, &third] {
        assert_correct_response(&call, response);
        assert_eq!(response.events, first.events);
    }
    for response in &refused {
        assert_eq!(outcome_and_reason(response).0, "refused", "{response:?}");
    }
    assert_eq!(site.runs(), [(id, 1)].into());
    site.assert_runs_match_responses(&refused.iter().collect::<Vec<_>>());
}

/// Guards against calls of a non-idempotent plain service that are repeated or reported as not run.
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
    let mut responses = Vec::new();
    for (n, fault) in faults.into_iter().enumerate() {
        for service in site.services.values() {
            service.set_fault(fault);
        }
        let id = site.request_id(&vm, &format!("order-{n}")).await;
        let call = Call::json("/orders", &json!({ "tubes": n }))
            .key(KEY)
            .request_id(&id)
            .header("x-primrosechute-deadline", "1s");

        let response = site.client(&vm).call(call.clone()).await.unwrap();
        let repeated = site.client(&vm).call(call).await.unwrap();

        let label = outcome_and_reason(&response).0;
        assert!(
            ["unknown", "failed"].contains(&&*label),
            "{fault:?}: {response:?}"
        );
        assert_eq!(
            outcome_and_reason(&repeated).0,
            label,
            "{fault:?}: {repeated:?}"
        );
        assert_ne!(problem(&response)["not_run"], true, "{fault:?}");
        let count: u64 = site.services.values().map(|s| s.call_count(&id)).sum();
        assert!(count <= 1, "{fault:?}: {count} calls");
        responses.extend([response, repeated]);
    }
    site.assert_runs_match_responses(&responses.iter().collect::<Vec<_>>());
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

    let mut responses = Vec::new();
    for n in 0..6 {
        let call = model_call(n, 3, n % 2 == 0);
        let response = site.client(&vm).call(call.clone()).await.unwrap();
        assert_correct_response(&call, &response);
        responses.push(response);
    }

    assert_eq!(site.engines["llm-1"].stats().runs, 0);
    assert_eq!(site.engines["llm-2"].stats().runs, 6);
    site.assert_runs_match_responses(&responses.iter().collect::<Vec<_>>());
}
