//! Active configuration and targets.

mod support;

use std::time::Duration;

use admit::{AccessError, Catalog, Change};
use support::{config, listing, ms, target};

const LAPSE_GRACE: Duration = Duration::from_secs(2);

fn catalog(targets: usize) -> Catalog {
    let mut catalog = Catalog::new(LAPSE_GRACE);
    catalog.apply_listing(Duration::ZERO, listing(targets, 4));
    catalog
}

/// What a listing changes that lacks these targets.
fn without(ids: &[&str]) -> Vec<Change> {
    let removed = ids.iter().map(|&id| Change::TargetRemoved(id.into()));
    removed.collect()
}

#[test]
fn without_configuration_access_fails_as_no_config() {
    let mut catalog = Catalog::new(LAPSE_GRACE);
    catalog.apply_listing(Duration::ZERO, vec![Change::Target(target("t-0", 4))]);

    let denied = catalog.authorize("shop.example", "/", Some("key"));

    assert_eq!(denied.expect_err("no configuration"), AccessError::NoConfig);
    assert!(!catalog.is_ready());
}

#[test]
fn requests_are_authorized_by_route_and_key() {
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

/// Guards against a return to an older configuration when a listing is older than what was already
/// applied.
#[test]
fn the_config_version_never_decreases() {
    let mut catalog = catalog(1);
    catalog.apply_changes(ms(10), vec![Change::Config(config(9))]);
    catalog.apply_listing(ms(20), vec![Change::Config(config(7))]);
    catalog.apply_changes(ms(30), vec![Change::Config(config(8))]);

    assert_eq!(catalog.version(), 9);
}

#[test]
fn a_removed_target_disappears_at_once() {
    let mut catalog = catalog(4);
    catalog.apply_changes(ms(10), vec![Change::TargetRemoved("t-1".into())]);

    assert!(catalog.target("t-1").is_none());
    assert!(catalog.target("t-2").is_some());
}

#[test]
fn entries_missing_after_a_store_failure_are_kept_for_the_grace_time() {
    let mut catalog = catalog(4);
    catalog.record_store_failure(ms(1000));
    let listed_at = ms(1500);
    catalog.record_store_return(listed_at);
    catalog.apply_listing(listed_at, without(&["t-2", "t-3"]));

    assert!(catalog.target("t-3").is_some());
    assert!(!catalog.expire(listed_at + ms(1999)));
    assert!(catalog.expire(listed_at + LAPSE_GRACE));
    assert!(catalog.target("t-3").is_none());
    assert!(catalog.target("t-1").is_some());
}

/// Guards against a target that left after the store had returned and is used for too long: the
/// grace time counts from the return.
#[test]
fn the_grace_time_does_not_begin_again_with_each_removal() {
    let mut catalog = catalog(4);
    catalog.record_store_failure(ms(1000));
    catalog.record_store_return(ms(1500));
    catalog.apply_listing(ms(1500), without(&["t-2"]));

    catalog.apply_changes(ms(3300), vec![Change::TargetRemoved("t-1".into())]);

    assert_eq!(catalog.next_lapse(), Some(ms(3500)));
    assert!(catalog.expire(ms(3500)));
    assert!(catalog.target("t-1").is_none());
    catalog.apply_changes(ms(3500), vec![Change::TargetRemoved("t-0".into())]);
    assert!(catalog.target("t-0").is_none());
}

/// Guards against an entry that is kept although only the connection of one member had failed.
#[test]
fn a_failure_that_was_dismissed_keeps_no_entry() {
    let mut catalog = catalog(4);
    catalog.record_store_failure(ms(1000));
    catalog.dismiss_store_failure();

    catalog.apply_changes(ms(1500), vec![Change::TargetRemoved("t-1".into())]);

    assert!(catalog.target("t-1").is_none());
}

#[test]
fn an_entry_that_is_published_again_is_kept() {
    let mut catalog = catalog(4);
    catalog.record_store_failure(ms(1000));
    catalog.apply_listing(ms(1500), without(&["t-2", "t-3"]));
    catalog.apply_changes(ms(2500), vec![Change::Target(target("t-3", 4))]);

    catalog.expire(ms(9000));
    assert!(catalog.target("t-3").is_some());
    assert!(catalog.target("t-2").is_none());
}

#[test]
fn entries_removed_together_are_kept_for_the_grace_time() {
    let mut catalog = catalog(4);
    let removed = ["t-0", "t-1", "t-2"].map(|id| Change::TargetRemoved(id.into()));
    catalog.apply_changes(ms(10), removed.into());

    assert!(catalog.target("t-1").is_some());
    assert!(catalog.expire(ms(10) + LAPSE_GRACE));
    assert!(catalog.target("t-1").is_none());
}

#[test]
fn evacuated_and_draining_targets_accept_no_requests() {
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

    // A listing may show the end of an evacuation as well.
    catalog.apply_changes(ms(4), vec![Change::EvacuateZone("zone-a".into())]);
    catalog.apply_listing(ms(5), vec![Change::RestoreZone("zone-a".into())]);
    assert!(is_open(&catalog, "t-1"));
}

/// The tier of the workspace goes first, and the tier of the route decides within it. Each row:
/// workspace tier and route tier, from the first to the last in a queue.
#[test]
fn requests_are_ranked_by_workspace_and_route() {
    let rows = [
        (Some(0), 0),
        (Some(0), 3),
        (None, 1),
        (Some(1), 2),
        (Some(1), 99),
        (None, 2),
        (Some(3), 0),
        (Some(99), 1),
    ];
    let ranks = rows.map(|(workspace_tier, route_tier)| {
        let mut cfg = config(1);
        cfg.workspaces[0].tier = workspace_tier;
        cfg.routes[0].tier = route_tier;
        let mut catalog = Catalog::new(LAPSE_GRACE);
        catalog.apply_listing(Duration::ZERO, vec![Change::Config(cfg)]);
        let access = catalog.authorize("shop.example", "/", Some("key"));
        access.expect("an allowed request").rank()
    });

    assert!(ranks.is_sorted(), "{ranks:?}");
    assert_ne!(ranks[0], ranks[1]);
    assert_ne!(ranks[3], ranks[4]);
}

fn restored_catalog(changes: Vec<Change>) -> Catalog {
    let mut catalog = catalog(4);
    // Targets that are removed at once would count as lapsed.
    for change in changes {
        catalog.apply_changes(ms(10), vec![change]);
    }
    catalog
}

fn entry(id: &str, sequence: u64) -> admit::Target {
    admit::Target {
        sequence,
        ..target(id, 4)
    }
}

/// Time after which what was not written again counts as the store has it.
const RESTORE_HOLD: Duration = Duration::from_secs(6);

/// Guards against a restored store that brings back the configuration of its copy.
#[test]
fn a_restored_store_does_not_bring_back_an_older_version() {
    let mut catalog = restored_catalog(vec![Change::Config(config(9))]);

    catalog.apply_restored_listing(ms(1000), vec![Change::Config(config(7))]);
    let restored = catalog.version();
    catalog.apply_changes(ms(1500), vec![Change::Config(config(9))]);
    catalog.apply_changes(ms(2000), vec![Change::Config(config(10))]);

    assert_eq!((restored, catalog.version()), (9, 10));
}

/// Guards against a target that left before the restore and is used again, as the copy has its
/// entry from before.
#[test]
fn a_target_that_left_does_not_return_with_the_copy() {
    let mut draining = entry("t-1", 5);
    draining.draining = true;
    let mut catalog = restored_catalog(vec![
        Change::Target(draining),
        Change::TargetRemoved("t-0".into()),
    ]);

    let copy = vec![
        Change::Target(entry("t-0", 1)),
        Change::Target(entry("t-1", 4)),
    ];
    catalog.apply_restored_listing(ms(1000), copy);
    catalog.expire(ms(2000));

    assert!(catalog.target("t-0").is_none());
    assert!(catalog.target("t-1").is_some_and(|target| target.draining));
}

/// Guards against a target that drains and is used again, if the copy has an entry of the same report:
/// what is known was read later.
#[test]
fn an_entry_of_the_same_report_in_the_copy_does_not_count() {
    let mut draining = entry("t-1", 5);
    draining.draining = true;
    let mut catalog = restored_catalog(vec![Change::Target(draining)]);
    let is_draining = |catalog: &Catalog| catalog.target("t-1").map(|target| target.draining);

    catalog.apply_restored_listing(ms(1000), vec![Change::Target(entry("t-1", 5))]);
    let restored = is_draining(&catalog);
    catalog.apply_changes(ms(2000), vec![Change::Target(entry("t-1", 5))]);

    assert_eq!((restored, is_draining(&catalog)), (Some(true), Some(false)));
}

/// Guards against a sound target that is lost for good, because its entry in the copy looks old.
#[test]
fn a_held_entry_returns_when_it_is_written_again_or_the_hold_ends() {
    let removed = |id: &str| Change::TargetRemoved(id.into());
    let mut catalog = restored_catalog(vec![removed("t-0"), removed("t-1")]);
    let copy = ["t-0", "t-1"].map(|id| Change::Target(entry(id, 1)));
    catalog.apply_restored_listing(ms(1000), copy.into());

    catalog.apply_changes(ms(1500), vec![Change::Target(entry("t-1", 2))]);
    let rewritten = catalog.target("t-1").is_some();
    let held = catalog.target("t-0").is_none();
    catalog.expire(ms(1000) + RESTORE_HOLD);

    assert!(rewritten && held);
    assert!(catalog.target("t-0").is_some());
}

/// Guards against a target that is cold and gets the load of a warm one, as the copy has its entry
/// from before.
#[test]
fn an_older_entry_does_not_end_a_cold_start() {
    let mut cold = entry("t-0", 7);
    cold.cold = Duration::from_secs(20);
    let mut catalog = restored_catalog(vec![Change::Target(cold)]);

    catalog.apply_restored_listing(ms(1000), vec![Change::Target(entry("t-0", 6))]);

    let cold_until = catalog
        .targets()
        .find(|(target, _)| &*target.id == "t-0")
        .map(|(_, cold_until)| cold_until);
    assert_eq!(cold_until, Some(ms(20_010)));
}

/// Guards against sound targets that are dropped because the copy was made before they started.
#[test]
fn targets_that_the_copy_lacks_are_kept_for_the_grace_time() {
    let mut catalog = catalog(4);

    catalog.apply_restored_listing(ms(1000), without(&["t-1", "t-2"]));
    catalog.apply_changes(ms(2000), vec![Change::Target(entry("t-1", 2))]);
    let kept = catalog.target("t-2").is_some();
    catalog.expire(ms(1000) + LAPSE_GRACE);

    assert!(kept);
    assert!(catalog.target("t-1").is_some());
    assert!(catalog.target("t-2").is_none());
}

/// Guards against requests to a zone whose evacuation the copy lacks, and against one that is never
/// taken back. Each row: what is written after the restore, and whether the zone is open after the
/// hold.
#[test]
fn an_evacuation_outlives_a_restore() {
    let zone = || "zone-a".into();
    let rows = [
        (vec![], true),
        (vec![Change::EvacuateZone(zone())], false),
        (
            vec![Change::EvacuateZone(zone()), Change::RestoreZone(zone())],
            true,
        ),
    ];
    for (written, expected) in rows {
        let mut catalog = restored_catalog(vec![Change::EvacuateZone(zone())]);
        let is_open = |catalog: &Catalog| {
            let target = catalog.target("t-0").expect("a listed target");
            catalog.is_open(target)
        };
        catalog.apply_restored_listing(ms(1000), vec![Change::RestoreZone(zone())]);
        let open_at_once = is_open(&catalog);
        catalog.apply_changes(ms(2000), written.clone());
        catalog.expire(ms(1000) + RESTORE_HOLD);

        assert!(!open_at_once, "{written:?}");
        assert_eq!(is_open(&catalog), expected, "{written:?}");
    }
}

/// Guards against a target that said that it is leaving and is used again after its entry is
/// written once more.
#[test]
fn a_leaving_target_stays_closed() {
    let mut catalog = catalog(1);
    let key = admit::target_key(catalog.target("t-0").expect("a listed target"));

    let is_new = [
        catalog.record_leaving(ms(10), key),
        catalog.record_leaving(ms(20), key),
    ];
    catalog.apply_changes(ms(30), vec![Change::Target(entry("t-0", 2))]);
    let mut restarted = entry("t-0", 1);
    restarted.start_time += 1;

    assert_eq!(is_new, [true, false]);
    assert_eq!(catalog.recently_leaving(ms(100)), [key]);
    assert!(catalog.target("t-0").is_some_and(|target| target.draining));
    catalog.apply_changes(ms(40), vec![Change::Target(restarted)]);
    assert!(catalog.target("t-0").is_some_and(|target| !target.draining));
}

/// Guards against a process that ends because of one entry: no time of the clock can be added to
/// such a cold start.
#[test]
fn an_endless_cold_start_is_accepted() {
    let mut catalog = catalog(1);
    let mut cold = entry("t-0", 2);
    cold.cold = Duration::MAX;

    catalog.apply_changes(ms(10), vec![Change::Target(cold)]);

    let cold_until = catalog.targets().map(|(_, cold_until)| cold_until).next();
    assert_eq!(cold_until, Some(Duration::MAX));
}
