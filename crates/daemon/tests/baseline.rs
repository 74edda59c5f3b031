//! The baseline policy, with which measurements compare the scheduler.

mod support;

use serde_json::json;
use support::{Site, builder, completion_call, outcome_and_reason};
use testkit::client::Call;

/// Guards against a baseline that queues, waits for permits or retries differently from its design,
/// which would distort the comparison.
#[tokio::test(flavor = "multi_thread")]
async fn calls_go_to_random_targets_and_model_calls_are_retried() {
    let builder = builder("costa-atl").setting("policy", json!("baseline"));
    let site = Site::start_with("costa-atl", builder, |_| {}).await;
    let client = site.client("costa-atl-a-1");
    let call = |seed| completion_call(seed, 60, 3, false).key("demo-coast-south");

    let served = client.call(call(1)).await.unwrap();
    let swap = Call::json("/swaps", &json!({ "swap": 1 })).key("demo-island");
    let swapped = client.call(swap).await.unwrap();
    for engine in site.engines.values() {
        engine.set_unavailable(true);
    }
    let failed = client.call(call(2)).await.unwrap();

    assert_eq!(outcome_and_reason(&served).0, "served");
    assert_eq!(outcome_and_reason(&swapped).0, "served");
    let (label, reason) = outcome_and_reason(&failed);
    assert_eq!(label, "failed", "{reason}");
    let tries: u64 = site.engines.values().map(|e| e.stats().unavailable).sum();
    assert_eq!(tries, 3, "a model call is tried three times");
    let metrics = site.fleet.admin_client("costa-atl-a-1");
    let metrics = metrics.call(Call::get("/metrics")).await.unwrap();
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(!text.contains("primrosechute_permits_granted_total"));
    assert!(text.contains("primrosechute_peer_bytes_total{direction=\"sent\"}"));
}
