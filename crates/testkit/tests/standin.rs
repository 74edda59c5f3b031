//! The binary `standin`.

use std::net::SocketAddr;
use std::process::Stdio;

use serde_json::json;
use testkit::client::{Call, Client};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// Starts a stand-in and reads the addresses that it prints.
async fn start<const N: usize>(args: &str) -> (Child, [Client; N]) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_standin"))
        .args(args.split_whitespace())
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let mut clients = Vec::new();
    while clients.len() < N {
        let line = lines.next_line().await.unwrap().unwrap();
        let (_, addr) = line.split_once(": ").unwrap();
        clients.push(Client::new(addr.parse::<SocketAddr>().unwrap()));
    }
    (child, clients.try_into().unwrap())
}

#[tokio::test]
async fn engine_process_serves_requests_and_applies_control_calls() {
    // Guards against options or control calls that do not reach the engine.
    let args = "engine --warm --time-scale 0.05 --control 127.0.0.1:0";
    let (_child, [engine, control]) = start(args).await;
    let completion = || Call::post("/v1/completions", r#"{"prompt":"hi","max_tokens":3}"#);

    let response = engine.call(completion().request_id("a-1")).await.unwrap();
    let fault = json!({ "unavailable": true, "turn_cold": true });
    let set = control.call(Call::json("/faults", &fault)).await.unwrap();
    let refused = engine.call(completion()).await.unwrap();
    let stats = control.call(Call::get("/stats")).await.unwrap().json();
    let records = control.call(Call::get("/records")).await.unwrap().json();

    assert_eq!(response.json()["usage"]["completion_tokens"], 3);
    assert_eq!((set.status.as_u16(), refused.status.as_u16()), (204, 503));
    assert_eq!(
        (&stats["completed"], &stats["cold"]),
        (&json!(1), &json!(true))
    );
    assert_eq!(records[0]["request_id"], "a-1");
}

#[tokio::test]
async fn service_process_counts_calls_and_applies_control_calls() {
    // Guards against a fault name that the control API does not accept.
    let (_child, [service, control]) = start("service --control 127.0.0.1:0").await;

    service
        .call(Call::get("/").request_id("a-1"))
        .await
        .unwrap();
    for fault in [
        json!({ "delay_ms": 1 }),
        json!("silent"),
        json!("reset_after_body"),
    ] {
        let set = control.call(Call::json("/fault", &fault)).await.unwrap();
        assert_eq!(set.status, 204, "{fault}");
    }
    let reset = service.call(Call::get("/").request_id("a-1")).await;
    let counts = control.call(Call::get("/counts")).await.unwrap();

    assert!(reset.is_err());
    assert_eq!(counts.json(), json!({ "a-1": 2 }));
}

#[tokio::test]
async fn platform_process_reloads_its_files_and_applies_control_calls() {
    // Guards against files that are not read again after a change.
    let dir = tempfile::tempdir().unwrap();
    let (sheet, vms) = (dir.path().join("sheet.csv"), dir.path().join("vms.json"));
    std::fs::write(&sheet, "kind,name,revision\nsheet,site,3\n").unwrap();
    std::fs::write(&vms, r#"{"generation":0,"vms":[]}"#).unwrap();
    let args = format!(
        "platform --sheet {} --vms {} --control 127.0.0.1:0",
        sheet.display(),
        vms.display()
    );
    let (_child, [sheets, list, control]) = start(&args).await;

    let first = sheets
        .call(Call::get("/v1/values/sheet?wait=20s"))
        .await
        .unwrap();
    std::fs::write(&sheet, "kind,name,revision\nsheet,site,4\n").unwrap();
    let next = sheets
        .call(Call::get("/v1/values/sheet?after=3&wait=20s"))
        .await
        .unwrap();
    let fault = json!({ "vms": "down", "sheets": { "stale": 3 } });
    control.call(Call::json("/faults", &fault)).await.unwrap();
    let stale = sheets.call(Call::get("/v1/values/sheet")).await.unwrap();

    assert_eq!(first.header("x-revision"), "3");
    assert_eq!(next.header("x-revision"), "4");
    assert_eq!(stale.header("x-revision"), "3");
    assert!(list.call(Call::get("/v1/vms")).await.is_err());
}
