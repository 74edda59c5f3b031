//! Valid sheets: equivalent spellings, canonical form, lookups and differences.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sheet::{
    Access, Key, KeyState, Name, Pool, PoolKind, Route, Sheet, Target, TargetState, Tier,
    Workspace, Zone, ZoneState, key_hash,
};
use std::sync::Arc;
use std::time::Duration;

/// SHA-256 of `k`.
const HASH: &str = "8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a";

fn fixture() -> String {
    format!(
        "kind,name,workspace,pool,zone,address,tier,rate,burst,state,access,idempotent,max_body,\
         max_tokens,deadline,capacity,cold_limit,speed,fencing,sha256,revision\n\
         sheet,\"Riga; \"\"one\"\"\",,,,,,,,,,,,,,,,,,,7\n\
         zone,a,,,,,,,,in\n\
         zone,b,,,,,,,,out\n\
         tier,quick\n\
         tier,batch\n\
         workspace,w,,,,,,1000,20000\n\
         key,k,w,,,,quick,,,active,,,,,,,,,,{HASH}\n\
         pool,app,,,,,,,,service\n\
         pool,llm,,,,,,,,engine\n\
         target,e1,,llm,a,127.0.0.1:1,,,,in,,,,,,64000,2,2.5,yes\n\
         target,e2,,llm,b,127.0.0.1:2,,,,in,,,,,,64000,2,1,no\n\
         target,e3,,llm,a,[::1]:3,,,,leaving,,,,,,64000,2,1,no\n\
         route,/orders/open,,app,,,batch,,,,open,yes,1KiB,1,1500ms\n\
         route,/orders,,app,,,batch,,,,keyed,no,1000B,1,5s\n"
    )
}

fn parse(csv: &str) -> Sheet {
    Sheet::parse(csv.as_bytes()).unwrap()
}

#[test]
fn canonical_form_is_stable() {
    let sheet = parse(&fixture());

    assert_eq!(sheet.to_csv(), fixture());
    assert_eq!(sheet.hash, sheet.content_hash());
}

/// Guards against rejected exports of common spreadsheet programs.
#[test]
fn equivalent_spellings_parse_to_equal_sheets() {
    let plain = "kind,name,rate,burst,speed,max_body,pool,zone,address,state,capacity,cold_limit,\
                 fencing,revision,deadline,tier,access,idempotent,max_tokens\n\
                 sheet,T,,,,,,,,,,,,1\ntier,t\nzone,a,,,,,,,,in\npool,p,,,,,,,,engine\n\
                 workspace,w,1500,20000\n\
                 target,x,,,2.5,,p,a,127.0.0.1:1,in,64000,2,yes\n\
                 route,/a,,,,1536KiB,p,,,,,,,,1500ms,t,open,yes,8\n";
    let semicolon = "\u{feff}\r\n\"Kind\"; NAME ;Rate;burst;Speed;Max Body;pool;zone;address;state;\
                     capacity;Cold limit;fencing;revision;deadline;tier;access;idempotent;max-tokens;;\r\n\
                     Sheet;T;;;;;;;;;;;;1;;;;;;;\r\n\r\n;;;;;\r\ntier;t\r\nzone;a;;;;;;;;IN\r\n\
                     pool;\"p\";;;;;;;;Engine;;;\r\nworkspace;w;1.500;20.000,00\r\n\
                     target;x;;;2,5;;p;a;127.0.0.1:1;in;64.000;2;Yes\r\n\
                     route;/a;;;;1,5MiB;p;;;;;;;;1,5s;t;open;yes;8";
    let moved = "name,kind,rate,burst,revision\nT,sheet,,,1\nw,workspace,1500.0,20000\n";
    let old_mac = "kind,name,rate,burst,revision\rsheet,T,,,1\rworkspace,w,1500,20000\r";

    assert_eq!(parse(semicolon), parse(plain));
    assert_eq!(parse(moved), parse(old_mac));
    assert_eq!(parse(moved).workspaces, parse(plain).workspaces);
}

/// Guards against requests that are accepted with a withdrawn key.
#[test]
fn keys_are_found_by_hash() {
    let active = parse(&fixture());
    let withdrawn = parse(&fixture().replace("quick,,,active", "quick,,,withdrawn"));

    assert_eq!(&*active.active_key(&key_hash(b"k")).unwrap().workspace, "w");
    assert_eq!(active.key(&key_hash(b"other")), None);
    // A hash with the same first two bytes, by which the index is searched.
    let mut near = key_hash(b"k");
    near[31] ^= 1;
    assert_eq!(active.key(&near), None);
    assert!(withdrawn.key(&key_hash(b"k")).is_some());
    assert_eq!(withdrawn.active_key(&key_hash(b"k")), None);
}

/// Guards against a path that passes the access check of one route but that the target resolves to
/// another.
#[test]
fn routes_match_whole_path_segments() {
    let sheet = parse(&fixture());
    let cases = [
        ("/orders", Some("/orders")),
        ("/orders/", Some("/orders")),
        ("/orders?x=/..", Some("/orders")),
        ("/orders/1", Some("/orders")),
        ("/orders/openly", Some("/orders")),
        ("/orders/open/1", Some("/orders/open")),
        ("/%6frders/open", Some("/orders/open")),
        ("/ordersx", None),
        ("orders", None),
        ("", None),
        ("/orders/open/../1", None),
        ("/orders/open/%2e%2E/1", None),
        ("/orders/open/..;v=1/1", None),
        ("/orders//open", None),
        ("/orders/open%2f..", None),
        ("/orders/open\\..", None),
        ("/orders/%", None),
        ("/orders/%zz", None),
    ];
    for (path, expected) in cases {
        let found = sheet.route(path).map(|route| &*route.path);
        assert_eq!(found, expected, "{path:?}");
    }
    let all = parse(&fixture().replace("/orders/open", "/"));
    assert_eq!(all.route("/orders/1").unwrap().access, Access::Keyed);
    assert_eq!(all.route("/any/1").unwrap().access, Access::Open);
}

/// Guards against new work for a target that is leaving, or whose zone is out or missing.
#[test]
fn targets_and_tiers_are_found_by_name() {
    let sheet = parse(&fixture());
    let mut no_zones = sheet.clone();
    no_zones.zones.clear();
    let takes = ["e1", "e2", "e3", "e4"].map(|name| sheet.takes_new_work(name));
    let llm: Vec<&str> = sheet
        .targets_in_pool("llm")
        .map(|(name, _)| &**name)
        .collect();

    assert_eq!(takes, [true, false, false, false]);
    assert!(!no_zones.takes_new_work("e1"));
    assert_eq!(llm, ["e1", "e2", "e3"]);
    assert_eq!(sheet.targets_in_pool("app").count(), 0);
    // Rows share the allocation of a name that they refer to; there are 12,000 targets at the
    // design scale.
    let (pool, _) = sheet.pools.get_key_value("llm").unwrap();
    assert!(Arc::ptr_eq(&sheet.targets["e1"].pool, pool));
    assert_eq!(sheet.tier_rank("batch"), Some(1));
    assert_eq!(sheet.tier_rank("Batch"), None);
}

/// Guards against changes missing in the log, and against key hashes in the log.
#[test]
fn differences_are_summarized() {
    let older = parse(&fixture());
    let newer = parse(
        &fixture()
            .replace(",7\n", ",8\n")
            .replace("zone,a,,,,,,,,in", "zone,a,,,,,,,,out")
            .replace("key,k,", "key,l,")
            .replace("tier,quick\ntier,batch", "tier,batch\ntier,quick"),
    );

    assert_eq!(
        older.diff(&newer).to_string(),
        "revision 7 to 8: zone 1 changed (a); tier 2 changed (batch, quick); key 1 added (l); \
         key 1 removed (k); route 2 changed (/orders, /orders/open)"
    );
    assert_eq!(
        older.diff(&older).to_string(),
        "revision 7 to 7: no rows differ"
    );
}

fn name() -> impl Strategy<Value = Name> {
    "[a-zA-Z0-9_.-]{1,12}".prop_map(Name::from)
}

fn names() -> impl Strategy<Value = Vec<Name>> {
    prop::collection::btree_set(name(), 1..6).prop_map(|names| names.into_iter().collect())
}

fn pick(names: &[Name], index: usize) -> Name {
    names[index % names.len()].clone()
}

prop_compose! {
    fn sheets()(
        title in "[^\\s\\p{C}]([^\\p{C}]{0,20}[^\\s\\p{C}])?",
        revision in 1..u64::MAX / 2,
        (zones, tiers, workspaces, pools, keys, targets) in
            (names(), names(), names(), names(), names(), names()),
        paths in prop::collection::btree_set("(/[a-z][a-z;,.]{2,5}){1,3}", 0..5),
        seed in any::<[usize; 4]>(),
        (rate, tokens, requests) in (1..=1_000_000_000_000_u64, 1..=1_000_000_000_000_u64, 1..=1_000_000_u32),
        (speed, body, ms) in (0.01..=100.0, 1..=1_u64 << 30, 1..=86_400_000_u64),
    ) -> Sheet {
        let flag = |i: usize| (seed[0] >> (i % 64)) & 1 == 1;
        let rank = |i: usize| u8::try_from((seed[1] ^ i) % tiers.len()).unwrap();
        let mut sheet = Sheet {
            title,
            revision,
            tiers: tiers.iter().map(|name| Tier { name: name.clone() }).collect(),
            ..Sheet::default()
        };
        for (i, name) in zones.iter().enumerate() {
            let state = if flag(i) { ZoneState::In } else { ZoneState::Out };
            sheet.zones.insert(name.clone(), Zone { state });
        }
        for (i, name) in workspaces.iter().enumerate() {
            let workspace = Workspace { rate: rate / (i as u64 + 1) + 1, burst: tokens };
            sheet.workspaces.insert(name.clone(), workspace);
        }
        for (i, name) in pools.iter().enumerate() {
            let kind = if flag(i) { PoolKind::Engine } else { PoolKind::Service };
            sheet.pools.insert(name.clone(), Pool { kind });
        }
        for (i, name) in keys.into_iter().enumerate() {
            let state = if flag(i) { KeyState::Active } else { KeyState::Withdrawn };
            let workspace = pick(&workspaces, seed[2] ^ i);
            let hash = key_hash(name.as_bytes());
            sheet.keys.insert(hash, Key { name, workspace, highest_tier: rank(i), state });
        }
        for (i, name) in targets.into_iter().enumerate() {
            sheet.targets.insert(name, Target {
                pool: pick(&pools, seed[2] ^ i),
                zone: pick(&zones, seed[3] ^ i),
                address: ([10, 0, 0, 1], u16::try_from(i + 1).unwrap()).into(),
                state: if flag(i) { TargetState::In } else { TargetState::Leaving },
                capacity: tokens,
                cold_limit: requests,
                speed,
                fencing: flag(i + 7),
            });
        }
        for (i, path) in paths.into_iter().enumerate() {
            sheet.routes.push(Route {
                path: path.into(),
                pool: pick(&pools, seed[2] ^ i),
                access: if flag(i) { Access::Open } else { Access::Keyed },
                idempotent: flag(i + 9),
                max_body: body >> i,
                max_tokens: tokens,
                deadline: Duration::from_millis(ms),
                tier: rank(i),
            });
        }
        sheet.routes.retain(|route| route.max_body > 0);
        sheet.routes.sort_by_key(|route| (std::cmp::Reverse(route.path.len()), route.path.clone()));
        sheet.hash = sheet.content_hash();
        sheet
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a daemon that relays a sheet that its peers parse differently.
    #[test]
    fn canonical_form_parses_back(sheet in sheets()) {
        prop_assert_eq!(Sheet::parse(sheet.to_csv().as_bytes()), Ok(sheet));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = Sheet::parse(&bytes);
    }

    // Rows of a valid kind reach the value parsers, which arbitrary bytes rarely do.
    #[test]
    fn arbitrary_cells_do_not_panic(cell in "[0-9a-z.,µ:/ \"%-]{0,40}|\\PC{0,20}", separator in "[,;]") {
        let names = ["kind", "name", "rate", "speed", "deadline", "max_body", "address", "sha256"];
        for kind in ["sheet", "zone", "workspace", "key", "target", "route"] {
            let cells: Vec<&str> = names.iter().map(|_| &*cell).collect();
            let row = cells[1..].join(&separator);
            let _ = Sheet::parse(format!("{}\n{kind}{separator}{row}", names.join(&separator)).as_bytes());
        }
        let _ = Sheet::default().route(&cell);
    }
}
