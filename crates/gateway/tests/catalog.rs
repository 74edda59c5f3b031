//! Configuration and targets in force.

mod support;

use std::time::Duration;

use gateway::{AccessError, Catalog, Change};
use support::{config, listing, ms, target};

const LAPSE: Duration = Duration::from_secs(2);

fn catalog(targets: usize) -> Catalog {
    let mut catalog = Catalog::new(LAPSE);
    catalog.apply_listing(Duration::ZERO, listing(targets, 4));
    catalog
}

#[test]
fn without_configuration_nothing_is_said_of_routes_and_keys() {
    let mut catalog = Catalog::new(LAPSE);
    catalog.apply_listing(Duration::ZERO, vec![Change::Target(target("t-0", 4))]);

    let denied = catalog.authorize("shop.example", "/", Some("key"));

    assert_eq!(denied.expect_err("no configuration"), AccessError::NoConfig);
    assert!(!catalog.is_ready());
}

#[test]
fn routes_and_keys() {
    let catalog = catalog(1);
    let rows = [
        ("shop.example", "/read/1", Some("key"), Ok("read")),
        ("shop.example", "/read", Some("key"), Ok("all")),
        ("shop.example", "/other", Some("key"), Ok("all")),
        (
            "other.example",
            "/read/1",
            Some("key"),
            Err(AccessError::NoRoute),
        ),
        (
            "shop.example",
            "/read/1",
            Some("nobody"),
            Err(AccessError::UnknownKey),
        ),
        (
            "shop.example",
            "/read/1",
            None,
            Err(AccessError::UnknownKey),
        ),
    ];
    for (host, path, key, expected) in rows {
        let allowed = catalog.authorize(host, path, key);
        let name = allowed.as_ref().map(|allowed| &*allowed.route.name);
        assert_eq!(
            name.map_err(|&denied| denied),
            expected,
            "{host} {path} {key:?}"
        );
    }
}

/// Guards against a member that goes back when a listing is older than what it has seen.
#[test]
fn versions_never_go_back() {
    let mut catalog = catalog(1);
    catalog.apply_changes(ms(10), vec![Change::Config(config(9))]);
    catalog.apply_listing(ms(20), vec![Change::Config(config(7))]);
    catalog.apply_changes(ms(30), vec![Change::Config(config(8))]);

    assert_eq!(catalog.version(), 9);
}

#[test]
fn a_target_that_goes_is_gone_at_once() {
    let mut catalog = catalog(4);
    catalog.apply_changes(ms(10), vec![Change::TargetRemoved("t-1".into())]);

    assert!(catalog.target("t-1").is_none());
    assert!(catalog.target("t-2").is_some());
}

#[test]
fn entries_missing_after_trouble_are_kept_for_the_time_to_come_back() {
    let mut catalog = catalog(4);
    catalog.record_store_failure(ms(1000));
    let back = ms(1500);
    catalog.apply_listing(back, listing(2, 4));

    assert!(catalog.target("t-3").is_some());
    assert!(!catalog.expire(back + ms(1999)));
    assert!(catalog.expire(back + LAPSE));
    assert!(catalog.target("t-3").is_none());
    assert!(catalog.target("t-1").is_some());
}

#[test]
fn an_entry_that_comes_back_stays() {
    let mut catalog = catalog(4);
    catalog.record_store_failure(ms(1000));
    catalog.apply_listing(ms(1500), listing(2, 4));
    catalog.apply_changes(ms(2500), vec![Change::Target(target("t-3", 4))]);

    catalog.expire(ms(9000));
    assert!(catalog.target("t-3").is_some());
    assert!(catalog.target("t-2").is_none());
}

#[test]
fn many_entries_that_go_at_once_are_kept_for_a_while() {
    let mut catalog = catalog(4);
    let gone = ["t-0", "t-1", "t-2"].map(|id| Change::TargetRemoved(id.into()));
    catalog.apply_changes(ms(10), gone.into());

    assert!(catalog.target("t-1").is_some());
    assert!(catalog.expire(ms(10) + LAPSE));
    assert!(catalog.target("t-1").is_none());
}

#[test]
fn evacuated_and_draining_targets_are_closed() {
    let mut catalog = catalog(2);
    let is_open = |catalog: &Catalog, id: &str| {
        catalog
            .target(id)
            .is_some_and(|target| catalog.is_open(target))
    };
    catalog.apply_changes(ms(1), vec![Change::EvacuateZone("zone-a".into())]);
    assert!(!is_open(&catalog, "t-0"));
    catalog.apply_changes(ms(2), vec![Change::RestoreZone("zone-a".into())]);
    assert!(is_open(&catalog, "t-0"));

    let mut draining = target("t-0", 4);
    draining.draining = true;
    catalog.apply_changes(ms(3), vec![Change::Target(draining)]);
    assert!(!is_open(&catalog, "t-0"));
    assert!(is_open(&catalog, "t-1"));

    // A listing without the evacuation ends it; the change may have been missed.
    catalog.apply_changes(ms(4), vec![Change::EvacuateZone("zone-a".into())]);
    catalog.apply_listing(ms(5), listing(2, 4));
    assert!(is_open(&catalog, "t-1"));
}
