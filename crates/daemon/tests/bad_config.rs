//! Invalid settings and sheets, and invalid responses of the platform, are rejected.

mod support;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use rustix::process::Signal;
use serde_json::json;
use support::single_daemon::{KEY, SingleDaemon, check_refusal, request, run_subcommand, send};
use testkit::ConfigService;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const REJECTED: &str = "primrosechute_sheets_rejected_total";
const BROKEN: &str = "the answer broke off or is not HTTP";
const READS_FAILED: &str = "primrosechute_platform_reads_failed_total";

/// Guards against a daemon that starts with invalid settings, and against errors without line and
/// column.
#[tokio::test]
async fn bad_settings_are_rejected_with_line_and_column() {
    let daemon = SingleDaemon::prepare().await;
    daemon.write_sheet();
    let config = daemon.path("site.jsonc");
    let sheet = daemon.path("sheet.csv");
    let cases = [
        (
            r#""colour": 1"#,
            "7:13: colour: unknown field `colour`, expected one of `vm`, `zone`, `entry`, `admin`, `peer`, `sheet`, `vm_list`, `limits`, `timing`, `log`, `policy`",
        ),
        (
            r#""timing": { "silent": "5 fortnights" }"#,
            r#"7:25: timing.silent: "5 fortnights" is not a duration; write a number and a unit, for example 410ms or 5s"#,
        ),
        (
            r#""timing": { "silent": "5" }"#,
            r#"7:25: timing.silent: "5" is not a duration; write a number and a unit, for example 410ms or 5s"#,
        ),
        (
            r#""limits": { "max_header": "64" }"#,
            r#"7:29: limits.max_header: "64" is not a size; write a number and a unit, for example 64KiB or 2MB"#,
        ),
        (
            r#""limits": { "max_header": "1KiB" }"#,
            "7:29: limits.max_header (1024B) is below 8KiB; raise it",
        ),
        (
            r#""peer": "localhost:7""#,
            "7:11: peer: invalid socket address syntax",
        ),
        (
            r#""peer": "127.0.0.1:1""#,
            "7:11: peer has the address of entry (127.0.0.1:1); use another port",
        ),
        (
            r#""log": { "level": "loud" }"#,
            "7:21: log.level: unknown variant `loud`, expected one of `error`, `warn`, `info`, `debug`, `trace`",
        ),
        (r#""log": }"#, "7:10: not JSON: expected value"),
    ];
    for (field, expected) in cases {
        let text = format!(
            "// A comment.\n{{\n  \"vm\": \"vm-1\", \"zone\": \"zone-a\",\n  \
             \"entry\": \"127.0.0.1:1\",\n  \"admin\": \"127.0.0.1:2\",\n  \
             \"sheet\": {{ \"file\": {sheet:?} }},\n  {field}\n}}\n"
        );
        std::fs::write(&config, text).unwrap();
        let expected = format!("{}:{expected}", config.display());
        for subcommand in ["check", "serve"] {
            let output = run_subcommand(subcommand, &config, &[]).await;
            let stderr = String::from_utf8(output.stderr).unwrap();
            assert_eq!(stderr, format!("error: {expected}\n"), "{subcommand}");
            assert_eq!(output.status.code(), Some(2), "{subcommand}: {expected}");
        }
        let output = run_subcommand("check", &config, &["--json"]).await;
        let printed: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
        assert_eq!(printed, json!({ "ok": false, "errors": [expected] }));
        assert_eq!(output.status.code(), Some(2));
    }
}

/// Guards against a daemon that starts with an invalid sheet or one that lacks its zone.
#[tokio::test]
async fn bad_sheet_files_are_rejected_with_row_and_column() {
    let mut daemon = SingleDaemon::prepare().await;
    let (config, sheet) = (daemon.path("site.jsonc"), daemon.path("sheet.csv"));
    let settings = |zone: &str| {
        let addresses = r#""entry": "127.0.0.1:1", "admin": "127.0.0.1:2""#;
        let sheet = format!(r#""sheet": {{ "file": {sheet:?} }}"#);
        format!("{{ \"vm\": \"vm-1\",\n\"zone\": \"{zone}\", {addresses}, {sheet} }}")
    };
    let zone = "zone \"zone-z\" is not in the sheet; correct the name or add a zone row";
    let state = "\"ajar\" is not one of in, out; use one of these";
    let cases = [
        ("zone-z", "in", format!("{}:2:9: {zone}", config.display())),
        (
            "zone-a",
            "ajar",
            format!("{}: row 3, column state: {state}", sheet.display()),
        ),
    ];
    for (zone, state, expected) in cases {
        daemon.sheet.set_cell("zone", "zone-a", "state", state);
        daemon.write_sheet();
        std::fs::write(&config, settings(zone)).unwrap();
        for subcommand in ["check", "serve"] {
            let output = run_subcommand(subcommand, &config, &[]).await;
            let stderr = String::from_utf8(output.stderr).unwrap();
            assert_eq!(stderr, format!("error: {expected}\n"), "{subcommand}");
            assert_eq!(output.status.code(), Some(2), "{subcommand}");
        }
    }
}

/// Guards against a reload that applies an invalid, older or conflicting sheet, or that does not
/// report the rejection.
#[tokio::test]
async fn rejected_sheet_file_leaves_the_last_one_in_force() {
    let mut daemon = SingleDaemon::prepare().await;
    daemon.sheet.set_revision(5);
    daemon.spawn(&json!({}));
    daemon.wait_ready().await;
    let hash = daemon.status().await["sheet"]["hash"].clone();

    daemon
        .sheet
        .set_revision(6)
        .set_cell("zone", "zone-a", "state", "ajar");
    daemon.write_sheet();
    daemon.signal(Signal::HUP);
    let status = daemon
        .wait_status("a rejected sheet", |status| {
            !status["rejected_sheet"].is_null()
        })
        .await;
    let path = daemon.path("sheet.csv");
    let location = format!("{}: row 3, column state", path.display());
    let errors = [format!(
        "{location}: \"ajar\" is not one of in, out; use one of these"
    )];
    let expected = json!({ "revision": null, "errors": errors });
    assert_eq!(status["rejected_sheet"], expected);
    assert_eq!(status["sheet"], json!({ "revision": 5, "hash": hash }));
    assert_eq!(daemon.counter(REJECTED, &["invalid"]).await, 1);

    daemon
        .sheet
        .set_revision(4)
        .set_cell("zone", "zone-a", "state", "in");
    daemon.write_sheet();
    daemon.signal(Signal::HUP);
    daemon.wait_counter(REJECTED, &["older"], 1).await;
    assert_eq!(daemon.status().await["sheet"]["revision"], 5);

    daemon.sheet.set_revision(5).workspace("w2", 1, 1);
    daemon.write_sheet();
    for times in 1..=2 {
        daemon.signal(Signal::HUP);
        daemon
            .wait_log("the sheet file has no newer revision", times + 1)
            .await;
    }
    let text = "revision 5 is in force with other content; give the change a higher revision";
    let status = daemon.status().await;
    let expected = json!({ "revision": 5, "errors": [text] });
    assert_eq!(status["rejected_sheet"], expected);
    assert_eq!(status["sheet"], json!({ "revision": 5, "hash": hash }));
    assert_eq!(daemon.counter(REJECTED, &["conflict"]).await, 1);
    assert_eq!(daemon.log().matches(text).count(), 1);

    daemon.sheet.increment_revision();
    daemon.write_sheet();
    daemon.signal(Signal::HUP);
    let in_force = |status: &serde_json::Value| status["sheet"]["revision"] == 6;
    let status = daemon.wait_status("revision 6", in_force).await;
    assert!(status["rejected_sheet"].is_null());
    daemon.assert_serves().await;
}

/// Guards against the same for a sheet from the configuration service, and against a rejection that
/// is logged and counted again at each read of the same sheet.
#[tokio::test]
async fn rejected_sheet_of_the_service_leaves_the_last_one_in_force() {
    let service = ConfigService::start(any_port()).await.unwrap();
    let mut daemon = SingleDaemon::prepare().await;
    service.publish(1, daemon.sheet.csv());
    daemon.spawn(&json!({
        "sheet": { "service": service.addr() },
        "timing": { "redial_max": "50ms", "load_poll": "50ms" },
    }));
    daemon.wait_ready().await;

    let calls = service.calls();
    service.publish(2, "kind,name,revision\nsheet,single,2\nzone,zone-a\n");
    let rejected = |status: &serde_json::Value| !status["rejected_sheet"].is_null();
    let status = daemon.wait_status("a rejected sheet", rejected).await;
    assert_eq!(status["rejected_sheet"]["revision"], 2);
    assert_eq!(status["sheet"]["revision"], 1);
    // The service responds at once while the daemon asks for more than revision 1.
    let again = async || service.calls() >= calls + 5;
    support::single_daemon::poll_until("five more reads of the sheet", || daemon.log(), again)
        .await;
    assert_eq!(daemon.counter(REJECTED, &["invalid"]).await, 1);
    daemon.assert_serves().await;

    service.publish(3, daemon.sheet.set_revision(3).csv());
    let in_force = |status: &serde_json::Value| status["sheet"]["revision"] == 3;
    let status = daemon.wait_status("revision 3", in_force).await;
    assert!(status["rejected_sheet"].is_null());
    assert!(!daemon.log().contains(KEY));
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A platform that sends the same bytes on each connection, or nothing.
struct FixedResponseServer {
    address: SocketAddr,
    response: Arc<Mutex<Option<String>>>,
}

impl FixedResponseServer {
    async fn start() -> FixedResponseServer {
        let listener = TcpListener::bind(any_port()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let response = Arc::<Mutex<Option<String>>>::default();
        let shared = Arc::clone(&response);
        tokio::spawn(async move {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                let response = shared.lock().unwrap().clone();
                tokio::spawn(async move {
                    let mut head = [0; 1024];
                    let _ = stream.read(&mut head).await;
                    match response {
                        Some(response) => drop(stream.write_all(response.as_bytes()).await),
                        // The daemon closes the connection.
                        None => drop(stream.read(&mut head).await),
                    }
                });
            }
        });
        FixedResponseServer { address, response }
    }

    /// Sets the bytes to send; with `None`, connections stay silent.
    fn set(&self, response: impl Into<Option<String>>) {
        *self.response.lock().unwrap() = response.into();
    }
}

fn ok_response(body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Guards against a large, slow or broken response of the configuration service that is applied,
/// read without a size limit, or stops further reads.
#[tokio::test]
async fn bad_responses_of_the_configuration_service_are_not_applied() {
    let platform = FixedResponseServer::start().await;
    let mut daemon = SingleDaemon::prepare().await;
    platform.set(ok_response(&daemon.sheet.csv()));
    daemon.spawn(&json!({
        "sheet": { "service": platform.address },
        "timing": { "redial_max": "50ms", "heartbeat": "50ms", "silent": "200ms", "watch_wait": "1s" },
    }));
    daemon.wait_ready().await;
    let cases = [
        (
            Some(ok_response(&"x".repeat(3 << 20))),
            "too_large",
            "the answer has more than 2097152 bytes",
        ),
        (None, "timeout", "no answer in time"),
        (
            Some("HTTP/1.1 404 No\r\n\r\n".into()),
            "status",
            "the answer has status 404",
        ),
        (
            Some("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nx".into()),
            "broken",
            BROKEN,
        ),
    ];
    for (response, reason, text) in cases {
        platform.set(response);
        let label = format!("reason=\"{reason}\"");
        let labels = ["source=\"sheet\"", &label];
        daemon.wait_counter(READS_FAILED, &labels, 2).await;
        daemon.wait_log(&format!("can't be read: {text}"), 1).await;
    }
    // The daemon reads responses above the platform's limit of 1 MB, but rejects a sheet of that
    // size.
    platform.set(ok_response(&"x".repeat(1_500_000)));
    let rejected = |status: &serde_json::Value| !status["rejected_sheet"].is_null();
    let status = daemon.wait_status("a rejected sheet", rejected).await;
    let text = "sheet: has 1500000 bytes, more than 1000000; remove rows or split the site";
    assert_eq!(status["rejected_sheet"]["errors"], json!([text]));
    assert_eq!(status["sheet"]["revision"], 1);
    daemon.assert_serves().await;
}

/// Guards against a daemon that has no sheet yet and responds that a route does not exist.
#[tokio::test]
async fn calls_before_the_first_sheet_are_refused_as_draining() {
    let platform = FixedResponseServer::start().await;
    let mut daemon = SingleDaemon::prepare().await;
    daemon.spawn(&json!({ "sheet": { "service": platform.address } }));
    daemon
        .wait_status("a start", |status| status["phase"] == "starting")
        .await;

    let response = send(&daemon, &request("GET /open", &[], "")).await;

    let detail = "this daemon takes no new requests; ask for other entries";
    check_refusal("no sheet", &response, 503, "draining", detail);
    assert_eq!(response.header("retry-after"), "1");
}

/// Guards against an invalid VM list that is partly applied, and against invalid responses that
/// stop the polling.
#[tokio::test]
async fn bad_vm_lists_are_not_applied() {
    let platform = FixedResponseServer::start().await;
    let mut daemon = SingleDaemon::prepare().await;
    daemon.spawn(&json!({
        "peer": daemon.peer,
        "vm_list": platform.address,
        "timing": { "list_poll": "20ms", "silent": "300ms", "heartbeat": "50ms" },
    }));
    let row = |name: &str, entry: &str| {
        json!({ "name": name, "zone": "zone-a", "state": "live", "entry": entry,
                "peer": daemon.peer })
    };
    let list = |generation: u64, entry: &str| {
        let vms = [row("vm-1", &daemon.entry.to_string()), row("vm-2", entry)];
        ok_response(&json!({ "generation": generation, "vms": vms }).to_string())
    };
    let large = format!("{{\"generation\":9,\"vms\":[]{}}}", " ".repeat(3 << 20));
    let cases = [
        (None, "timeout", "no answer in time"),
        (
            Some(ok_response("vm-1 vm-2")),
            "malformed",
            "not a VM list: expected value at line 1 column 1",
        ),
        (
            Some("HTTP/1.1 500 No\r\n\r\n".into()),
            "status",
            "the answer has status 500",
        ),
        (
            Some(list(9, "vm-2:7100")),
            "malformed",
            "not a VM list: invalid socket address syntax",
        ),
        (
            Some(ok_response(&large)),
            "too_large",
            "the answer has more than 2097152 bytes",
        ),
        (Some("no HTTP".into()), "broken", BROKEN),
    ];
    for (response, reason, text) in cases {
        platform.set(response);
        let label = format!("reason=\"{reason}\"");
        let labels = ["source=\"vm_list\"", &label];
        daemon.wait_log(&format!("can't be read: {text}"), 1).await;
        // Polling continues after a failure.
        let before = daemon.counter(READS_FAILED, &labels).await;
        daemon.wait_counter(READS_FAILED, &labels, before + 1).await;
        assert_eq!(daemon.status().await["list_generation"], 0, "{text}");
    }
    platform.set(list(9, "127.0.0.1:7100"));
    let taken = |status: &serde_json::Value| status["list_generation"] == 9;
    daemon.wait_status("generation 9", taken).await;
}
