//! The example sheets and settings files.

use std::collections::BTreeSet;
use std::path::PathBuf;

use sheet::{Limits, MemberSettings, Settings, Sheet, Timing, key_hash};

fn path(file: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "../../examples", file]
        .iter()
        .collect()
}

fn sheet(site: &str) -> Sheet {
    let bytes = std::fs::read(path(site).join("sheet.csv")).unwrap();
    Sheet::parse(&bytes).unwrap_or_else(|errors| panic!("{site}: {}", errors[0]))
}

/// Guards against examples that differ from the documented sites or from the keys in the README.
#[test]
fn example_sheets_match_their_sites() {
    let readme = std::fs::read_to_string(path("README.md")).unwrap();
    let sites = [
        ("lv-riga", 4, [("formula-llm", 12), ("salon-app", 4)]),
        ("costa-atl", 3, [("chute-llm", 9), ("rota-app", 3)]),
    ];
    for (site, zones, pools) in sites {
        let sheet = sheet(site);

        assert_eq!(sheet.zones.len(), zones, "{site}");
        assert_eq!(
            (sheet.workspaces.len(), sheet.tiers.len()),
            (5, 5),
            "{site}"
        );
        for (pool, targets) in pools {
            assert_eq!(sheet.targets_in_pool(pool).count(), targets, "{pool}");
        }
        for name in sheet.workspaces.keys() {
            let plain = format!("demo-{name}");
            let key = sheet.active_key(&key_hash(plain.as_bytes())).unwrap();
            assert_eq!(key.workspace, *name);
            assert!(readme.contains(&format!("`{plain}`")), "{plain}");
        }
    }
}

/// Guards against line ends changed by git or an editor, which would leave CRLF untested.
#[test]
fn lv_riga_sheet_is_a_spreadsheet_export() {
    let text = std::fs::read_to_string(path("lv-riga/sheet.csv")).unwrap();

    assert!(text.starts_with('\u{feff}'));
    assert_eq!(text.matches("\r\n").count(), text.matches('\n').count());
    assert!(text.contains("1,5MiB") && text.contains(';'));
}

/// Guards against settings files that a daemon rejects, and against VMs that share a port.
#[test]
fn settings_of_all_vms_are_valid() {
    for (site, first, vms) in [
        ("lv-riga", "riga-a-1", 8),
        ("costa-atl", "costa-atl-a-1", 7),
    ] {
        let sheet = sheet(site);
        let mut addresses: Vec<_> = sheet.targets.values().map(|t| t.address).collect();
        let mut names = BTreeSet::new();
        for entry in std::fs::read_dir(path(site)).unwrap() {
            let file = entry.unwrap().path();
            if file.extension().is_some_and(|extension| extension == "csv") {
                continue;
            }
            let text = std::fs::read_to_string(&file).unwrap();
            let settings = Settings::parse(&text, &file.to_string_lossy()).unwrap();
            settings.check_names(&sheet).unwrap();
            assert_eq!(file.file_stem().unwrap().to_str(), Some(&*settings.vm));
            // The first file shows the defaults.
            assert_eq!(
                (settings.limits, settings.timing),
                (Limits::default(), Timing::default())
            );
            addresses.extend([settings.entry, settings.admin, settings.peer.unwrap()]);
            names.insert(settings.vm);
        }

        assert_eq!(names.len(), vms, "{site}");
        assert!(names.contains(first));
        let distinct: BTreeSet<_> = addresses.iter().collect();
        assert_eq!(distinct.len(), addresses.len(), "{site}");
    }
}

/// Guards against a member example that the program rejects.
#[test]
fn member_example_is_valid() {
    let text = std::fs::read_to_string(path("member.jsonc")).unwrap();
    let settings = MemberSettings::parse(&text, "member.jsonc").unwrap();

    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.ports.peer, 7104);
}
