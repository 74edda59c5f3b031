//! Member processes that start from settings files.

#[path = "../../../platform/tests/support/mod.rs"]
mod platform_support;

use std::collections::BTreeSet;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use platform_support::caller;
use platform_support::member::{config, publish, register};
use platform_support::next_ip;
use platform_support::store::Store;
use platform_support::worker::{Behaviour, Worker};
use rustix::process::Signal;
use serde_json::json;
use testkit::fleet::Process;
use tokio::process::Command;
use tokio::time::{sleep, timeout};

const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// Command that runs the program with these arguments and a settings file.
fn primrosechute(arguments: &[&str], config: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_primrosechute"));
    command
        .args(arguments)
        .arg("--config")
        .arg(config)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .kill_on_drop(true);
    command
}

/// Starts a member process that logs next to its settings file.
fn start(config: &Path) -> Process {
    let mut process = Process::new("member", config.with_extension("log"));
    let program = Path::new(env!("CARGO_BIN_EXE_primrosechute"));
    process.spawn(program, config).expect("the program");
    process
}

/// Two processes discover each other through one seed, serve requests, and exit with code 0 on
/// SIGTERM.
#[tokio::test]
async fn members_start_from_settings_files() {
    let dir = tempfile::tempdir().expect("directory");
    let store = Store::start().await;
    publish(&store, &config(1, 1, &json!({})));
    let worker = Worker::start("w-1", Behaviour::Serves).await;
    register(&store, &worker, "ready");
    let ips = [next_ip(), next_ip()];
    let mut members = Vec::new();
    for ip in ips {
        let text = format!(
            r#"{{ // one of two
                "vm": "vm-{ip}", "ip": "{ip}", "zone": "zone-a", "seeds": ["{}"],
                "store": "{}", "grace": "5s" }}"#,
            ips[0], store.address
        );
        let path = dir.path().join(format!("{ip}.jsonc"));
        std::fs::write(&path, text).expect("settings");
        members.push(start(&path));
    }

    let entries_complete = async {
        for ip in ips {
            while caller::directory_entries((ip, 7102).into()).await.len() != 2 {
                sleep(Duration::from_millis(20)).await;
            }
        }
    };
    timeout(WAIT_TIMEOUT, entries_complete)
        .await
        .expect("each directory lists both members");
    for (index, ip) in ips.into_iter().enumerate() {
        let extra = caller::keyed_headers("key-1", 1);
        let request = caller::request("POST", "/order/1", &format!("c-{index}"), &extra, "");
        let response = caller::call((ip, 7100).into(), &request).await;
        assert_eq!((response.status, response.whole), (200, true));
    }
    for member in &mut members {
        member.signal(Signal::TERM).expect("runs");
        let status = timeout(WAIT_TIMEOUT, member.wait()).await.expect("ends");
        assert!(status.expect("a child").success());
    }
}

/// Names and labels of the series on the metrics page, without values.
async fn series(ip: std::net::Ipv4Addr) -> BTreeSet<String> {
    let response = caller::get((ip, 7103).into(), "/metrics").await;
    let body = response.expect("the metrics page").body;
    let lines = body.lines().filter(|line| !line.starts_with('#'));
    lines
        .filter_map(|line| Some(line.rsplit_once(' ')?.0.to_owned()))
        .collect()
}

/// Guards against metric series whose number grows with the ids, paths and keys of requests.
#[tokio::test]
async fn metrics_do_not_grow_with_requests() {
    let dir = tempfile::tempdir().expect("directory");
    let store = Store::start().await;
    publish(&store, &config(1, 1, &json!({})));
    let mut workers = Vec::new();
    for index in 0..3 {
        let worker = Worker::start(&format!("w-{index}"), Behaviour::Serves).await;
        register(&store, &worker, "ready");
        workers.push(worker);
    }
    let ip = next_ip();
    let path = dir.path().join("m.jsonc");
    let text = json!({ "vm": "vm-1", "ip": ip, "zone": "zone-a", "store": store.address });
    std::fs::write(&path, text.to_string()).expect("settings");
    let _member = start(&path);
    let ready = async {
        while !caller::is_ready((ip, 7101).into()).await {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(WAIT_TIMEOUT, ready).await.expect("ready");
    let call = async |id: String, path: String, key: String| {
        let extra = caller::keyed_headers(&key, 1);
        let request = caller::request("POST", &path, &id, &extra, "");
        caller::call((ip, 7100).into(), &request).await.status
    };
    let paths = ["/order/", "/read/", "/stream/", "/unknown/"];
    let send_calls = async |round: &str| {
        for index in 0..300 {
            let path = format!("{}{round}{index}", paths[index % paths.len()]);
            let key = if index % 3 == 0 {
                format!("key-{round}{index}")
            } else {
                "key-2".into()
            };
            call(format!("call-{round}{index}"), path, key).await;
        }
    };
    send_calls("a").await;
    let before = series(ip).await;
    send_calls("b").await;

    let after = series(ip).await;
    let new: Vec<_> = after.difference(&before).collect();
    assert!(new.is_empty(), "{new:?}");
    assert!(after.len() < 200, "{} series", after.len());
    let text = after.iter().cloned().collect::<String>();
    assert!(!text.contains("w-0") && !text.contains("key-"), "{text}");
}

/// Guards against a member that starts with invalid settings, and against errors without line and
/// column.
#[tokio::test]
async fn invalid_settings_exit_with_code_2() {
    let dir = tempfile::tempdir().expect("directory");
    let path = dir.path().join("m.jsonc");
    let text = r#"{"vm": "a", "ip": "127.0.0.1", "zone": "a", "store": "127.0.0.1:1", "cores": 0}"#;
    std::fs::write(&path, text).expect("settings");

    for arguments in [&["member"][..], &["check", "--member"]] {
        let output = primrosechute(arguments, &path)
            .output()
            .await
            .expect("runs");

        assert_eq!(output.status.code(), Some(2));
        let err = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(err.contains("m.jsonc:1:78: cores is zero"), "{err}");
    }
    std::fs::write(&path, text.replace(": 0}", ": 1}")).expect("settings");
    let output = primrosechute(&["check", "--member"], &path).output().await;
    assert_eq!(output.expect("runs").status.code(), Some(0));
}
