//! Behaviour of the stand-in platform.

use std::net::SocketAddr;
use std::time::Duration;

use testkit::client::{Call, Client, ClientError};
use testkit::{ConfigServiceFault, Platform, VmEntry, VmListFault, VmState};

async fn start() -> Platform {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Platform::start(any, any).await.unwrap()
}

fn sheet(query: &str) -> Call {
    Call::get(format!("/v1/values/sheet{query}"))
}

fn vm(name: &str) -> VmEntry {
    VmEntry {
        name: name.into(),
        zone: "zone-a".into(),
        state: VmState::Live,
        entry: SocketAddr::from(([127, 0, 0, 1], 1)),
        peer: SocketAddr::from(([127, 0, 0, 1], 2)),
    }
}

#[tokio::test]
async fn watch_returns_when_a_newer_sheet_is_published() {
    // Guards against watches that return early or late, or are counted more than once.
    let platform = start().await;
    let client = Client::new(platform.sheets.addr());
    platform.sheets.publish(3, "old");

    let read = client.call(sheet("")).await.unwrap();
    let watch = tokio::spawn(async move { client.call(sheet("?after=3&wait=30s")).await });
    platform.sheets.wait_for_watches(1).await;
    platform.sheets.publish(4, "new");
    let updated = watch.await.unwrap().unwrap();

    assert_eq!(
        (read.header("x-revision"), &read.body[..]),
        ("3", &b"old"[..])
    );
    assert_eq!(
        (updated.header("x-revision"), &updated.body[..]),
        ("4", &b"new"[..])
    );
    assert_eq!(platform.sheets.calls(), 2);
}

#[tokio::test]
async fn watch_returns_no_content_after_its_wait() {
    // Guards against watches that wait forever.
    let platform = start().await;
    let client = Client::new(platform.sheets.addr());
    platform.sheets.publish(3, "old");

    let unchanged = client.call(sheet("?after=3&wait=10ms")).await.unwrap();

    assert_eq!(unchanged.status, 204);
}

#[tokio::test]
async fn config_service_faults_hide_the_newest_sheet() {
    // Guards against faults that still let the newest value through.
    let platform = start().await;
    let client = Client::new(platform.sheets.addr());
    platform.sheets.publish(3, "old");
    platform.sheets.publish(4, "new");

    platform.sheets.set_fault(ConfigServiceFault::Stale(3));
    let stale = client.call(sheet("")).await.unwrap();
    platform.sheets.set_fault(ConfigServiceFault::Hang);
    let timed_out = client
        .call(sheet("").timeout(Duration::from_millis(50)))
        .await;
    platform.sheets.crash().await;
    let refused = client.call(sheet("")).await;
    platform.sheets.restart().unwrap();
    platform.sheets.set_fault(ConfigServiceFault::None);
    let recovered = client.call(sheet("")).await.unwrap();

    assert_eq!(&stale.body[..], b"old");
    assert!(matches!(timed_out, Err(ClientError::Timeout)));
    assert!(matches!(refused, Err(ClientError::Connect(_))));
    assert_eq!(&recovered.body[..], b"new");
}

#[tokio::test]
async fn list_changes_become_visible_after_the_lag() {
    // Guards against VM lists that are newer than the lag allows.
    let platform = start().await;
    let client = Client::new(platform.vms.addr());
    let names = async || {
        let list = client.call(Call::get("/v1/vms")).await.unwrap().json();
        let vms = list["vms"].as_array().unwrap().clone();
        let names = vms.iter().map(|vm| vm["name"].as_str().unwrap().to_owned());
        (
            list["generation"].as_u64().unwrap(),
            names.collect::<Vec<_>>(),
        )
    };
    platform.vms.upsert(vm("vm-1"));

    assert_eq!(names().await, (1, vec!["vm-1".to_owned()]));
    platform.vms.set_lag(Duration::from_hours(1));
    platform.vms.upsert(vm("vm-2"));
    platform.vms.remove("vm-1");
    assert_eq!(names().await, (1, vec!["vm-1".to_owned()]));
    platform.vms.flush();
    assert_eq!(names().await, (3, vec!["vm-2".to_owned()]));
    platform.vms.set_lag(Duration::ZERO);
    platform.vms.set_fault(VmListFault::Stale);
    platform.vms.set_state("vm-2", VmState::Leaving);
    assert_eq!(names().await.0, 3);
    platform.vms.set_fault(VmListFault::None);
    assert_eq!(names().await.0, 4);
}

#[tokio::test]
async fn view_serves_the_same_list_with_other_peer_addresses() {
    // Guards against a view whose peer addresses bypass the proxies between daemons.
    let platform = start().await;
    let other = SocketAddr::from(([127, 0, 0, 1], 9));
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let peers = [("vm-2".to_owned(), other)].into();
    let view = platform.vms.serve_view(any, peers).unwrap();
    platform.vms.upsert(vm("vm-1"));
    platform.vms.upsert(vm("vm-2"));

    let list = Client::new(view.addr()).call(Call::get("/v1/vms")).await;

    let list = list.unwrap().json();
    assert_eq!(list["generation"], 2);
    assert_eq!(list["vms"][0]["peer"], "127.0.0.1:2");
    assert_eq!(list["vms"][1]["peer"], "127.0.0.1:9");
}
