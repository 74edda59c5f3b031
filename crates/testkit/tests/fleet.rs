//! The process harness, with a minimal stand-in daemon.

use std::path::Path;
use std::time::Duration;

use serde_json::json;
use testkit::client::{Call, Client, ClientError};
use testkit::fleet::{Fleet, FleetBuilder};

const LONG_TIMEOUT: Duration = Duration::from_secs(20);
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

fn builder() -> FleetBuilder {
    Fleet::builder(env!("CARGO_BIN_EXE_standin")).vms(2, &["zone-a", "zone-b"])
}

async fn responds(client: Client) -> bool {
    client.call(Call::get("/")).await.is_ok()
}

#[tokio::test]
async fn killed_daemon_refuses_connections_and_restarts_at_its_address() {
    // Guards against a restart at another address, where peers can't find the daemon.
    let mut fleet = builder().start().await.unwrap();
    fleet.launch_all().await.unwrap();
    let client = fleet.client("vm-1");
    assert!(responds(client).await);

    fleet.kill("vm-1").await.unwrap();

    let refused = client.call(Call::get("/")).await;
    assert!(matches!(refused, Err(ClientError::Connect(_))));
    assert!(!fleet.is_running("vm-1"));
    assert_eq!(fleet.platform().vms.latest().vms.len(), 2);
    fleet.restart("vm-1").await.unwrap();
    assert!(responds(client).await);
}

#[tokio::test]
async fn paused_daemon_does_not_respond_until_it_resumes() {
    // Guards against a pause that ends the process or returns before it is stopped.
    let mut fleet = builder().start().await.unwrap();
    fleet.launch_all().await.unwrap();

    fleet.pause("vm-1").await.unwrap();
    let timed_out = fleet
        .client("vm-1")
        .call(Call::get("/").timeout(SHORT_TIMEOUT))
        .await;
    fleet.resume("vm-1").unwrap();

    assert!(matches!(timed_out, Err(ClientError::Timeout)));
    assert!(responds(fleet.client("vm-1")).await);
}

#[tokio::test]
async fn signals_reach_the_daemon() {
    // Guards against signals that are lost or reach another process.
    let mut fleet = builder().start().await.unwrap();
    fleet.launch_all().await.unwrap();

    fleet.reload("vm-1").unwrap();
    fleet
        .wait_for_log("vm-1", "reload", LONG_TIMEOUT)
        .await
        .unwrap();
    fleet.terminate("vm-1").unwrap();
    let status = fleet.wait_exit("vm-1", LONG_TIMEOUT).await.unwrap();

    assert!(status.success());
    assert!(fleet.terminate("vm-1").is_err());
    assert!(fleet.is_running("vm-2"));
    assert!(!fleet.log("vm-2").contains("reload"));
    assert!(fleet.usage("vm-2").unwrap().resident_bytes > 0);
}

#[tokio::test]
async fn daemon_that_exits_at_start_is_reported_with_its_log() {
    // Guards against a harness that waits for a daemon that has exited, or hides the reason.
    let mut fleet = builder().start().await.unwrap();
    fleet.set_setting("vm-1", "fail", json!(true));

    let error = fleet.launch("vm-1").await.unwrap_err().to_string();

    assert!(error.contains("vm-1 ended"), "{error}");
    assert!(error.contains("the setting `fail` is true"), "{error}");
}

#[tokio::test]
async fn settings_file_contains_addresses_and_overrides() {
    // Guards against overrides that remove other fields of the same object.
    let fleet = builder().platform_proxies();
    let fleet = fleet.setting("timing", json!({ "lease": "2s", "hold_down": "4s" }));
    let fleet = fleet.setting("timing", json!({ "lease": "1s" }));
    let mut fleet = fleet.start().await.unwrap();
    fleet.launch("vm-1").await.unwrap();

    let text = std::fs::read_to_string(fleet.dir().join("vm-1.json")).unwrap();

    let settings: serde_json::Value = serde_json::from_str(&text).unwrap();
    let sheets = fleet.sheet_proxy("vm-1").addr().to_string();
    assert_eq!(settings["sheet"], json!({ "service": sheets }));
    assert_eq!(settings["entry"], fleet.entry_addr("vm-1").to_string());
    assert_eq!(
        settings["timing"],
        json!({ "lease": "1s", "hold_down": "4s" })
    );
}

#[tokio::test]
async fn partition_blocks_only_links_between_the_groups() {
    // Guards against partitions that block links inside a group.
    let fleet = builder().vm("vm-3", "zone-a").peer_proxies();
    let mut fleet = fleet.start().await.unwrap();
    fleet.launch_all().await.unwrap();
    let call = async |fleet: &Fleet, from: &str, to: &str, limit| {
        let client = Client::new(fleet.peer_proxy(from, to).addr());
        client.call(Call::get("/").timeout(limit)).await
    };

    fleet.partition(&["vm-1"], &["vm-2", "vm-3"]);
    let across = call(&fleet, "vm-1", "vm-2", SHORT_TIMEOUT).await;
    let inside = call(&fleet, "vm-2", "vm-3", LONG_TIMEOUT).await;
    fleet.heal();
    let healed = call(&fleet, "vm-1", "vm-2", LONG_TIMEOUT).await;
    fleet.kill("vm-2").await.unwrap();
    let dead = call(&fleet, "vm-1", "vm-2", LONG_TIMEOUT).await;

    assert!(matches!(across, Err(ClientError::Timeout)));
    assert!(inside.is_ok());
    assert!(healed.is_ok());
    assert!(matches!(dead, Err(ClientError::Connect(_))));
}

#[tokio::test]
async fn dropped_fleet_leaves_no_processes() {
    // Guards against daemons that outlive a failed test.
    let mut fleet = builder().start().await.unwrap();
    fleet.launch_all().await.unwrap();
    fleet.pause("vm-2").await.unwrap();
    let pids = ["vm-1", "vm-2"].map(|name| {
        let log = fleet.log(name);
        log.rsplit(' ').next().unwrap().trim().to_owned()
    });

    drop(fleet);

    let wait_for_exit = async {
        while pids.iter().any(|pid| Path::new("/proc").join(pid).exists()) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(LONG_TIMEOUT, wait_for_exit)
        .await
        .unwrap();
}
