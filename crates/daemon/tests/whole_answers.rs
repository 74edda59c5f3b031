//! Each caller gets the complete response to its own request, or an error that says it is
//! incomplete, when connections go silent, responses are delayed or streams are truncated.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use support::small_site::{
    KEY, assert_correct_response, builder, model_call, problem, read_events, sheet, spawn, start,
    wait_until,
};
use support::{Site, chat_call, outcome_and_reason, send_all};
use testkit::client::{Call, Client, ClientResponse};
use testkit::{Direction, Proxy, RunEnd};

/// Slowdown at which an engine of the small site makes about ten tokens a second.
const SLOW: f64 = 100.0;

fn event_ids(response: &ClientResponse) -> Vec<String> {
    let ids = response.events.iter().filter_map(|event| event.id.clone());
    ids.collect()
}

/// Guards against events that are lost or repeated when a caller resumes after its connection went
/// silent, and against a second run caused by the resume.
#[tokio::test]
async fn caller_resumes_after_silence() {
    let site = start(1, 0).await;
    let vm = site.fleet.names().remove(0);
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let caller_proxy = Proxy::start(any_port, site.fleet.entry_addr(&vm))
        .await
        .unwrap();
    let engine = &site.engines["llm-1"];
    engine.set_slowdown(SLOW);
    let id = site.request_id(&vm, "silent").await;
    let call = model_call(1, 20, true).request_id(&id);
    let mut stream = Client::new(caller_proxy.addr())
        .call_streaming(call.clone())
        .await
        .unwrap();
    let mut events = read_events(&mut stream, 5).await;

    caller_proxy.silence_existing();
    let resume = Call::get(format!("/v1/streams/{id}?offset=5")).key(KEY);
    let resumed = spawn(site.client(&vm), resume);
    engine.wait_for(|stats| stats.generated_tokens >= 10).await;
    engine.set_slowdown(1.0);
    let resumed = resumed.await.unwrap().unwrap();

    let mut whole = resumed.clone();
    events.extend(resumed.events);
    whole.events = events;
    assert_correct_response(&call, &whole);
    for offset in [0, 7, 21, 22] {
        let resume = Call::get(format!("/v1/streams/{id}?offset={offset}")).key(KEY);
        let rest = site.client(&vm).call(resume).await.unwrap();
        let expected: Vec<_> = (offset..22).map(|id| id.to_string()).collect();
        assert_eq!(event_ids(&rest), expected);
        assert!(rest.is_complete());
    }
    assert_eq!(site.runs()[&id], 1);
}

/// Guards against a stream that ends or loses events when its target connection goes silent.
#[tokio::test]
async fn target_stream_goes_silent() {
    let site = start(1, 0).await;
    let vm = site.fleet.names().remove(0);
    let engine = &site.engines["llm-1"];
    engine.set_slowdown(SLOW);
    let call = model_call(1, 20, true);
    let mut stream = site.client(&vm).call_streaming(call.clone()).await.unwrap();
    let mut events = read_events(&mut stream, 5).await;

    site.fleet.target_proxy("llm-1").silence_existing();
    events.extend(read_events(&mut stream, 5).await);
    site.fleet.target_proxy("llm-1").silence_existing();
    let mut response = stream.finish().await;

    events.append(&mut response.events);
    response.events = events;
    assert_correct_response(&call, &response);
    assert_eq!(engine.stats().runs, 1);
    site.assert_runs_match_responses(&[&response]);
}

/// Silences the target connection of a call after the request has passed and before the response
/// begins. Returns the response that the caller gets.
async fn silence_before_the_head(site: &Site, vm: &str, call: &Call) -> ClientResponse {
    let proxy = site.fleet.target_proxy("llm-1");
    proxy.set_held(Direction::Down, true);
    let caller = spawn(site.client(vm), call.clone());
    let engine = &site.engines["llm-1"];
    engine.wait_for(|stats| stats.runs == 1).await;
    proxy.silence_existing();
    proxy.set_held(Direction::Down, false);
    caller.await.unwrap().unwrap()
}

/// Guards against a stream whose caller waits for minutes because the connection went silent
/// before the head of the response.
#[tokio::test]
async fn target_goes_silent_before_the_head_of_a_stream() {
    let site = start(1, 0).await;
    let vm = site.fleet.names().remove(0);
    let call = model_call(1, 20, true);

    let response = silence_before_the_head(&site, &vm, &call).await;

    assert_correct_response(&call, &response);
    site.assert_runs_match_responses(&[&response]);
    site.assert_serves(&vm, 100, 3).await;
}

/// The same for a non-streamed response, which the engine keeps only as events.
#[tokio::test]
async fn target_goes_silent_before_a_plain_response() {
    let site = start(1, 0).await;
    let vm = site.fleet.names().remove(0);
    let call = model_call(1, 20, false);

    let response = silence_before_the_head(&site, &vm, &call).await;

    assert_correct_response(&call, &response);
    let json = response.json();
    assert_eq!(json["object"], "text_completion");
    assert_eq!(json["choices"][0]["finish_reason"], "length");
    assert_eq!(json["usage"]["completion_tokens"], 20);
    site.assert_runs_match_responses(&[&response]);
    site.assert_serves(&vm, 100, 3).await;
}

/// The same for a non-streamed chat response.
#[tokio::test]
async fn target_goes_silent_before_a_plain_chat_response() {
    let site = start(1, 0).await;
    let vm = site.fleet.names().remove(0);
    let call = chat_call(1, 40, 20, false).key(KEY);

    let response = silence_before_the_head(&site, &vm, &call).await;

    assert_correct_response(&call, &response);
    assert_eq!(response.json()["object"], "chat.completion");
    assert_eq!(
        response.json()["choices"][0]["message"]["role"],
        "assistant"
    );
    site.assert_runs_match_responses(&[&response]);
}

/// Guards against a caller that waits for minutes when the request itself is lost on a silent
/// connection, and against a response with another outcome than `unknown`.
#[tokio::test]
async fn request_lost_on_a_silent_connection_is_unknown() {
    let site = start(1, 0).await;
    let vm = site.fleet.names().remove(0);
    let proxy = site.fleet.target_proxy("llm-1");
    proxy.set_held(Direction::Up, true);
    let caller = spawn(site.client(&vm), model_call(1, 4, false));
    wait_until("the entry has sent", async || {
        site.metric(&vm, "primrosechute_dispatched_total").await > 0.0
    })
    .await;
    proxy.silence_existing();
    proxy.set_held(Direction::Up, false);

    let response = caller.await.unwrap().unwrap();

    assert_eq!(outcome_and_reason(&response).0, "unknown", "{response:?}");
    assert_eq!(problem(&response)["not_run"], false);
    site.assert_serves(&vm, 100, 3).await;
}

/// Guards against requests that hang or fail for long when all links between daemons go silent.
#[tokio::test]
async fn peer_links_go_silent() {
    let site = start(2, 0).await;
    let owner = site.owner("llm-1").await;
    let entry = site.other_vms(&owner).remove(0);
    site.assert_serves(&entry, 100, 2).await;

    site.fleet
        .all_peer_proxies()
        .for_each(Proxy::silence_existing);

    site.assert_serves(&entry, 200, 4).await;
    site.assert_runs_match_responses(&[]);
}

/// Guards against a daemon that never gets a new sheet or VM list because its connections to the
/// platform went silent.
#[tokio::test]
async fn platform_connections_go_silent() {
    let builder = builder().setting("timing", json!({ "watch_wait": "1s" }));
    let mut site = Site::prepare(sheet(1, 0), builder).await;
    site.launch().await;

    for vm in site.fleet.names() {
        site.fleet.sheet_proxy(&vm).silence_existing();
        site.fleet.list_proxy(&vm).silence_existing();
    }
    site.change(|sheet| sheet.title = "changed".to_string());
    site.fleet.add_to_vm_list("vm-1");

    let revision = site.sheet.revision;
    let generation = site.fleet.platform().vms.latest().generation;
    for vm in site.fleet.names() {
        site.wait_status(&vm, "the new sheet and list", |status| {
            status["sheet"]["revision"] == revision && status["list_generation"] == generation
        })
        .await;
    }
    site.assert_serves("vm-1", 100, 2).await;
}

/// Guards against responses that reach the wrong caller when many are delayed at the same time.
#[tokio::test]
async fn late_responses_reach_their_own_callers() {
    let site = start(3, 0).await;
    for name in site.engines.keys() {
        let proxy = site.fleet.target_proxy(name);
        proxy.set_latency(Duration::from_millis(20));
        proxy.set_bandwidth(Some(100_000));
    }
    for link in site.fleet.all_peer_proxies() {
        link.set_latency(Duration::from_millis(10));
    }
    let names = site.fleet.names();
    let calls: Vec<_> = (0_u32..60)
        .map(|n| {
            let seed = u64::from(n);
            let call = match n % 3 {
                0 => model_call(seed, 3 + n % 7, true),
                1 => model_call(seed, 3 + n % 5, false),
                _ => chat_call(seed, 40, 3 + n % 9, true).key(KEY),
            };
            let call = call.header("x-primrosechute-deadline", "50s");
            (site.client(&names[n as usize % names.len()]), call)
        })
        .collect();

    let responses = send_all(calls.clone()).await;

    for ((_, call), response) in calls.iter().zip(responses) {
        assert_correct_response(call, &response.unwrap());
    }
    assert_eq!(site.runs().len(), 60);
    site.assert_runs_match_responses(&[]);
}

/// Guards against a truncated stream that is treated as complete: the entry must resume it while
/// the target makes progress.
#[tokio::test]
async fn truncated_target_streams_are_resumed() {
    let site = start(1, 0).await;
    let vm = site.fleet.names().remove(0);
    let proxy = site.fleet.target_proxy("llm-1");
    proxy.set_close_after(Direction::Down, Some(1200));
    let call = model_call(1, 30, true);

    let response = site.client(&vm).call(call.clone()).await.unwrap();

    assert_correct_response(&call, &response);
    assert_eq!(site.engines["llm-1"].stats().runs, 1);
    site.assert_runs_match_responses(&[&response]);
}

/// Guards against a non-streamed response that is lost or truncated although the engine still has
/// it.
#[tokio::test]
async fn truncated_plain_responses_are_rebuilt() {
    let site = start(1, 0).await;
    let vm = site.fleet.names().remove(0);
    let proxy = site.fleet.target_proxy("llm-1");
    proxy.set_close_after(Direction::Down, Some(800));
    let call = model_call(1, 80, false);

    let response = site.client(&vm).call(call.clone()).await.unwrap();

    assert_correct_response(&call, &response);
    assert_eq!(site.engines["llm-1"].stats().runs, 1);
    site.assert_runs_match_responses(&[&response]);
}

/// Guards against `unknown` for a request that the engine still has after its connection was
/// reset.
#[tokio::test]
async fn reset_before_the_head_is_resumed() {
    let site = start(1, 0).await;
    let vm = site.fleet.names().remove(0);
    let engine = &site.engines["llm-1"];
    engine.set_slowdown(1e6);
    let calls = [model_call(1, 20, true), model_call(2, 20, false)];
    for call in &calls {
        engine.set_slowdown(1e6);
        let proxy = site.fleet.target_proxy("llm-1");
        proxy.set_held(Direction::Down, true);
        let before = engine.stats().runs;
        let caller = spawn(site.client(&vm), call.clone());
        engine.wait_for(|stats| stats.runs > before).await;
        proxy.reset_existing();
        proxy.set_held(Direction::Down, false);
        engine.set_slowdown(1.0);

        let response = caller.await.unwrap().unwrap();

        assert_correct_response(call, &response);
    }
    assert_eq!(engine.stats().runs, 2);
    site.assert_runs_match_responses(&[]);
}

/// Guards against a stream that ends without an error event when the target no longer makes
/// progress.
#[tokio::test]
async fn stream_without_progress_ends_with_an_error_event() {
    let site = start(1, 0).await;
    let vm = site.fleet.names().remove(0);
    let engine = &site.engines["llm-1"];
    engine.set_slowdown(SLOW);
    let mut stream = site
        .client(&vm)
        .call_streaming(model_call(1, 100, true))
        .await
        .unwrap();
    read_events(&mut stream, 3).await;

    let proxy = site.fleet.target_proxy("llm-1");
    proxy.set_close_after(Direction::Down, Some(200));
    proxy.reset_existing();
    let response = stream.finish().await;

    assert!(
        response.is_complete() && !response.is_done(),
        "{response:?}"
    );
    let problem = problem(&response);
    assert_eq!(
        (&problem["outcome"], &problem["reason"]),
        (&json!("failed"), &json!("incomplete"))
    );
    assert_eq!(problem["not_run"], false);
    assert_eq!(engine.stats().runs, 1);
}

/// Guards against a stream that ends without an error event when the engine crashes.
#[tokio::test]
async fn engine_crash_ends_a_stream_with_an_error_event() {
    let site = start(1, 0).await;
    let vm = site.fleet.names().remove(0);
    let engine = &site.engines["llm-1"];
    engine.set_slowdown(SLOW);
    let mut stream = site
        .client(&vm)
        .call_streaming(model_call(1, 100, true))
        .await
        .unwrap();
    read_events(&mut stream, 3).await;

    engine.crash().await;
    let response = stream.finish().await;

    assert!(
        response.is_complete() && !response.is_done(),
        "{response:?}"
    );
    assert_eq!(problem(&response)["outcome"], "failed");
    assert_eq!(problem(&response)["not_run"], false);
    assert_eq!(engine.stats().runs, 1);
}

/// Guards against runs, slots and tokens that stay taken after a caller disconnects.
#[tokio::test]
async fn caller_disconnect_frees_run_slot_and_tokens() {
    const BURST: u64 = 2000;
    let mut sheet = sheet(1, 0);
    let small = sheet.workspaces.get_mut("w1").unwrap();
    // The rate refills only a fraction of one request's tokens while the test runs.
    (small.rate, small.burst) = (100, BURST);
    let mut site = Site::prepare(sheet, builder()).await;
    site.launch().await;
    let vm = site.fleet.names().remove(0);
    let engine = &site.engines["llm-1"];
    engine.set_slowdown(SLOW);
    let tokens = u32::try_from(BURST / 4).unwrap() - 100;
    let call = |seed| model_call(seed, tokens, true);
    let mut stream = site.client(&vm).call_streaming(call(1)).await.unwrap();
    assert!(stream.status.is_success());
    read_events(&mut stream, 2).await;

    drop(stream);
    engine.wait_for(|stats| stats.cancelled == 1).await;

    assert_eq!(engine.records()[0].end, Some(RunEnd::Cancelled));
    engine.set_slowdown(1.0);
    let second = call(2);
    let response = site.client(&vm).call(second.clone()).await.unwrap();
    assert_correct_response(&second, &response);
}
