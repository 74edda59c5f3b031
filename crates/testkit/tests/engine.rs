//! Behaviour of the stand-in engine.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use testkit::client::{Call, Client, ClientError};
use testkit::{Engine, EngineConfig, RunEnd, expected_text};

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn fast_config() -> EngineConfig {
    EngineConfig {
        time_scale: 0.05,
        start_cold: false,
        load_lag: Duration::ZERO,
        cache_event_lag: Duration::ZERO,
        cache_event_loss_interval: 0,
        ..EngineConfig::default()
    }
}

async fn start(cfg: EngineConfig) -> (Engine, Client) {
    let engine = Engine::start(any_port(), cfg).await.unwrap();
    let client = Client::new(engine.addr());
    (engine, client)
}

fn body(tokens: u32, stream: bool) -> String {
    json!({ "prompt": "hello", "max_tokens": tokens, "stream": stream }).to_string()
}

fn completion(id: &str, tokens: u32) -> Call {
    Call::post("/v1/completions", body(tokens, true)).request_id(id)
}

#[tokio::test]
async fn streamed_and_json_responses_contain_the_expected_text() {
    // Guards against responses whose text does not match the request body.
    let (_engine, client) = start(fast_config()).await;

    let stream = client.call(completion("a-1", 5)).await.unwrap();
    let call = Call::post("/v1/chat/completions", body(5, false)).request_id("a-2");
    let json_response = client.call(call).await.unwrap();

    assert!(stream.is_done());
    assert_eq!(stream.text(), expected_text(body(5, true).as_bytes(), 5));
    assert_eq!(
        json_response.text(),
        expected_text(body(5, false).as_bytes(), 5)
    );
    assert_eq!(json_response.json()["usage"]["completion_tokens"], 5);
    let ids: Vec<_> = stream
        .events
        .iter()
        .map(|e| e.id.clone().unwrap())
        .collect();
    assert_eq!(ids, ["0", "1", "2", "3", "4", "5", "6"]);
}

#[tokio::test]
async fn resume_continues_after_a_disconnect() {
    // Guards against runs that end when their caller disconnects.
    let (engine, client) = start(fast_config()).await;
    let mut stream = client.call_streaming(completion("a-1", 40)).await.unwrap();
    for _ in 0..3 {
        stream.next().await.unwrap();
    }
    drop(stream);

    let rest = client
        .call(Call::get("/v1/streams/a-1?offset=3"))
        .await
        .unwrap();

    assert!(rest.is_done());
    assert_eq!(rest.events[0].id.as_deref(), Some("3"));
    let text = expected_text(body(40, true).as_bytes(), 40);
    assert!(text.ends_with(&rest.text()));
    assert_eq!(engine.records().len(), 1);
    assert_eq!(engine.records()[0].end, Some(RunEnd::Complete));
}

#[tokio::test]
async fn cancel_ends_the_run_and_its_stream() {
    // Guards against cancelled runs that keep their place in the batch.
    let (engine, client) = start(fast_config()).await;
    let mut stream = client
        .call_streaming(completion("a-1", 4000))
        .await
        .unwrap();
    stream.next().await.unwrap();

    let delete = Call::new(http::Method::DELETE, "/v1/streams/a-1");
    let cancelled = client.call(delete).await.unwrap();
    let rest = stream.finish().await;

    assert_eq!(cancelled.json()["state"], "cancelled");
    assert!(!rest.is_complete());
    assert_eq!(engine.stats().running, 0);
    assert_eq!(engine.records()[0].end, Some(RunEnd::Cancelled));
    let state = client.call(Call::get("/v1/requests/a-1")).await.unwrap();
    assert_eq!(state.json()["state"], "done");
    let state = client.call(Call::get("/v1/requests/a-2")).await.unwrap();
    assert_eq!(state.json()["state"], "unknown");
}

#[tokio::test]
async fn cold_engine_crashes_above_its_limit_and_restarts_cold() {
    // Guards against a cold engine that accepts any load, which would hide a fault in the warm-up.
    let cfg = EngineConfig {
        start_cold: true,
        cold_limit: 2,
        warm_after: 2,
        ..fast_config()
    };
    let (engine, client) = start(cfg).await;
    let first = client
        .call_streaming(completion("a-1", 4000))
        .await
        .unwrap();
    let second = client
        .call_streaming(completion("a-2", 4000))
        .await
        .unwrap();

    let third = client.call(completion("a-3", 1)).await;

    assert!(matches!(third, Err(ClientError::ConnectionClosed(_))));
    assert!(!first.finish().await.is_complete());
    assert!(!second.finish().await.is_complete());
    let stats = engine.wait_for(|stats| stats.up).await;
    assert_eq!((stats.overloads, stats.peak_cold, stats.reset), (1, 3, 3));
    assert!(stats.cold);

    client.call(completion("a-4", 1)).await.unwrap();
    client.call(completion("a-5", 1)).await.unwrap();
    let stats = engine.wait_for(|stats| !stats.cold).await;
    assert_eq!(stats.overloads, 1);
}

#[tokio::test]
async fn runs_admitted_while_warm_do_not_count_against_the_cold_limit() {
    // Guards against overload crashes that no scheduler could prevent.
    let cfg = EngineConfig {
        cold_limit: 1,
        ..fast_config()
    };
    let (engine, client) = start(cfg).await;
    let first = client.call_streaming(completion("a-1", 100)).await.unwrap();
    let second = client.call_streaming(completion("a-2", 100)).await.unwrap();

    engine.turn_cold();
    let third = client.call(completion("a-3", 1)).await.unwrap();

    assert!(third.is_done());
    assert!(first.finish().await.is_done());
    assert!(second.finish().await.is_done());
    assert_eq!(engine.stats().overloads, 0);
    assert_eq!(engine.stats().peak_cold, 1);
}

#[tokio::test]
async fn crash_refuses_connections_and_restart_discards_runs() {
    // Guards against a crash that only closes connections, and a restart that keeps old runs.
    let (engine, client) = start(fast_config()).await;
    let stream = client
        .call_streaming(completion("a-1", 4000))
        .await
        .unwrap();
    let before = engine.stats().start;

    engine.crash().await;

    assert!(!stream.finish().await.is_complete());
    let refused = client.call(completion("a-2", 1)).await;
    assert!(matches!(refused, Err(ClientError::Connect(_))));
    engine.restart().unwrap();
    let state = client.call(Call::get("/v1/requests/a-1")).await.unwrap();
    assert_eq!(state.json()["state"], "unknown");
    let load = client.call(Call::get("/load")).await.unwrap();
    assert!(load.json()["start"].as_u64().unwrap() > before);
    assert_eq!(load.json()["cold"], true);
}

#[tokio::test]
async fn request_with_the_marker_crashes_the_engine() {
    // Guards against a marker that crashes the engine on other requests or never.
    let (engine, client) = start(fast_config()).await;
    engine.crash_on_marker(Some("poison"));

    let good = client.call(completion("a-1", 1)).await.unwrap();
    let bad = json!({ "prompt": "poison", "max_tokens": 1, "stream": true });
    let bad = client
        .call(Call::json("/v1/completions", &bad).request_id("a-2"))
        .await;

    assert!(good.is_done());
    assert!(bad.is_err() || !bad.unwrap().is_done());
    let stats = engine.wait_for(|stats| stats.up && stats.crashes > 0).await;
    assert_eq!(stats.poisoned, 1);
    assert_eq!(engine.records()[1].end, Some(RunEnd::Reset));
}

#[tokio::test]
async fn stalled_engine_sends_nothing_until_it_resumes() {
    // Guards against a stalled engine that refuses connections or responds.
    let (engine, client) = start(fast_config()).await;
    engine.set_stalled(true);
    let limit = Duration::from_millis(50);

    let timed_out = client.call(completion("a-1", 1).timeout(limit)).await;
    engine.set_stalled(false);
    let response = client.call(completion("a-2", 1)).await.unwrap();

    assert!(matches!(timed_out, Err(ClientError::Timeout)));
    assert!(response.is_done());
}

#[tokio::test]
async fn unavailable_engine_returns_503_without_a_run() {
    // Guards against refused requests that are counted as runs.
    let (engine, client) = start(fast_config()).await;
    engine.set_unavailable(true);

    let response = client.call(completion("a-1", 1)).await.unwrap();

    assert_eq!(response.status, 503);
    assert_eq!(engine.stats().runs, 0);
}

#[tokio::test]
async fn repeated_prompt_needs_no_second_prefill() {
    // Guards against a prefix cache that never hits or never evicts.
    let cfg = EngineConfig {
        cache_capacity: 2_000,
        ..fast_config()
    };
    let (engine, client) = start(cfg).await;
    let long = |text: &str| {
        let body = json!({ "prompt": text.repeat(500), "max_tokens": 1, "stream": true });
        Call::json("/v1/completions", &body)
    };

    client.call(long("abcdefgh")).await.unwrap();
    client.call(long("abcdefgh")).await.unwrap();
    client.call(long("ijklmnop")).await.unwrap();
    client.call(long("qrstuvwx")).await.unwrap();
    client.call(long("abcdefgh")).await.unwrap();

    let records = engine.records();
    let cached: Vec<bool> = records.iter().map(|r| r.cached_tokens > 900).collect();
    assert_eq!(cached, [false, true, false, false, false]);
    let events = client
        .call(Call::get("/cache-events?after=1"))
        .await
        .unwrap();
    let kinds: Vec<_> = events.json()["events"]
        .as_array()
        .unwrap()
        .iter()
        .map(|event| event["kind"].as_str().unwrap().to_owned())
        .collect();
    // Two prompts fit, so the third evicts the first, and the repeated first evicts the second.
    assert_eq!(kinds, ["stored", "stored", "evicted", "stored", "evicted"]);
}

#[tokio::test]
async fn old_fencing_token_is_rejected_only_when_checked() {
    // Guards against a check that accepts the order of a previous owner.
    for (check, status) in [(true, 409), (false, 200)] {
        let cfg = EngineConfig {
            check_fencing: check,
            ..fast_config()
        };
        let (engine, client) = start(cfg).await;
        let order = |fencing: u64| {
            let body = json!({ "fencing": fencing, "kind": "set_role", "name": "decode" });
            Call::json("/orders", &body)
        };

        let new = client.call(order(7)).await.unwrap();
        let old = client.call(order(6)).await.unwrap();

        assert_eq!((new.status.as_u16(), old.status.as_u16()), (200, status));
        assert_eq!(engine.orders()[1].accepted, !check);
    }
}

#[tokio::test]
async fn run_records_contain_headers_and_start_order() {
    // Guards against records without headers, which would hide a leaked key.
    let (engine, client) = start(fast_config()).await;

    client
        .call(
            completion("a-1", 1)
                .key("secret")
                .header("x-workspace", "w1"),
        )
        .await
        .unwrap();
    client.call(completion("a-1", 1)).await.unwrap();

    let records = engine.records();
    let has_key = |index: usize| {
        records[index]
            .headers
            .iter()
            .any(|(name, _)| name == "authorization")
    };
    assert!(has_key(0) && !has_key(1));
    assert_eq!(records[0].workspace.as_deref(), Some("w1"));
    assert!(records[0].order < records[1].order);
    assert_eq!(engine.run_counts()["a-1"], 2);
}

#[tokio::test]
async fn header_names_cover_requests_without_a_run() {
    // Guards against a key that leaks with a request that starts no run.
    for (call, unavailable) in [
        (Call::get("/load"), false),
        (Call::get("/v1/requests/a-1"), false),
        (completion("a-1", 1), true),
    ] {
        let (engine, client) = start(fast_config()).await;
        engine.set_unavailable(unavailable);

        client.call(call.key("secret")).await.unwrap();

        assert!(engine.header_names().contains("authorization"));
    }
}

#[tokio::test]
async fn clearing_faults_ends_a_slowdown() {
    // Guards against a step that stays slow after its fault is cleared.
    let (engine, client) = start(fast_config()).await;
    engine.set_slowdown(1e6);
    let mut stream = client.call_streaming(completion("a-1", 5)).await.unwrap();
    let slow = tokio::time::timeout(Duration::from_millis(50), stream.next()).await;

    engine.clear_faults();

    assert!(slow.is_err());
    assert!(stream.finish().await.is_done());
}

#[tokio::test]
async fn load_report_is_delayed_by_the_lag() {
    // Guards against load reports that are newer than the lag allows.
    let cfg = EngineConfig {
        load_lag: Duration::from_hours(1),
        ..fast_config()
    };
    let (engine, client) = start(cfg).await;
    let _stream = client
        .call_streaming(completion("a-1", 4000))
        .await
        .unwrap();
    engine.wait_for(|stats| stats.generated_tokens > 0).await;

    let load = client.call(Call::get("/load")).await.unwrap();

    assert_eq!(load.json()["running"], 0);
}
