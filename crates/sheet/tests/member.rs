//! Settings files of members: defaults, and errors with their positions.

use std::net::Ipv4Addr;
use std::time::Duration;

use sheet::MemberSettings;

const START: &str = r#"{"vm": "a-1", "zone": "a", "ip": "10.0.0.1", "store": "10.0.9.9:8225""#;

fn parse(rest: &str) -> Result<MemberSettings, String> {
    let text = format!("{START}{rest}}}");
    MemberSettings::parse(&text, "m.jsonc").map_err(|err| err.to_string())
}

#[test]
fn defaults_are_usable() {
    let settings = parse(" // one member\n").unwrap();

    assert_eq!(settings.ports.entry, 7100);
    assert_eq!(settings.grace, Duration::from_secs(10));
    assert!(settings.seeds.is_empty());
}

#[test]
fn all_fields_are_read() {
    let rest = r#", "seeds": ["10.0.0.2"], "cores": 0.25, "memory": "110MB", "link_mbps": 100, "grace": "8s",
        "ports": {"entry": 1, "ready": 2, "directory": null, "metrics": 4, "peer": 6, "peer_reach": 5},
        "directory_ttl": "5s", "lapse": "2s",
        "repeats": {"window": "20s", "ratio": 0.1, "slack": 5},
        "rates": {"part": 0.3, "slack": 7}, "cold": {"part": 0.4, "slack": 2}"#;
    let settings = parse(rest).unwrap();

    assert_eq!(settings.seeds, [Ipv4Addr::new(10, 0, 0, 2)]);
    assert_eq!(settings.memory, 110_000_000);
    assert_eq!(settings.ports.directory, None);
    assert_eq!(settings.ports.peer_reach, Some(5));
    assert_eq!(settings.repeats.window, Duration::from_secs(20));
    assert!((settings.cold.slack - 2.0).abs() < f64::EPSILON);
}

/// Guards against a member that starts with unknown fields or with values that it can't satisfy.
#[test]
fn errors_name_the_field_and_its_place() {
    let rows = [
        (r#", "colour": 1"#, "m.jsonc:1:82: colour: unknown field"),
        (
            r#", "ports": {"peer": 0}"#,
            "m.jsonc:1:90: ports.peer is zero; write a value above 0",
        ),
        (
            r#", "ports": {"peer": 70000}"#,
            "m.jsonc:1:90: ports.peer: invalid value: integer `70000`, expected u16",
        ),
        (
            r#", "ports": {"entry": 9, "ready": 9}"#,
            "m.jsonc:1:103: ports.ready is the port of ports.entry (9); use another",
        ),
        (
            r#", "ports": {"entry": 9, "peer": 9}"#,
            "m.jsonc:1:91: ports.entry is the port of ports.peer (9); use another",
        ),
        (
            r#", "seeds": ["somewhere"]"#,
            "seeds: invalid IPv4 address syntax",
        ),
        (r#", "cores": 0"#, "m.jsonc:1:81: cores is zero"),
        (
            r#", "rates": {"part": -1, "slack": 0}"#,
            "m.jsonc:1:90: rates.part (-1) is not a number of at least 0; correct it",
        ),
        (r#", "rates": {"part": 1}"#, "rates: missing field `slack`"),
        (
            r#", "grace": "1s""#,
            "m.jsonc:1:81: grace (1s) is below 3s; raise it",
        ),
        (
            r#", "memory": "1MiB""#,
            "memory (1048576 B) is below 33554432 B; raise it",
        ),
        (r#", "memory": 5"#, "invalid type: integer `5`"),
        (r#", "lapse": "soon""#, r#"lapse: "soon" is not a duration"#),
        (
            r#", "repeats": {"window": "0s"}"#,
            "repeats.window is zero; write a value above 0",
        ),
        (r#", "cores": }"#, "not JSON"),
    ];
    for (rest, expected) in rows {
        let err = parse(rest).unwrap_err();
        assert!(err.contains(expected), "{rest}: {err}");
    }
    let unreachable = START.replace("10.0.0.1", "0.0.0.0") + "}";
    let err = MemberSettings::parse(&unreachable, "m.jsonc").unwrap_err();
    assert!(err.to_string().contains("can't be reached from other VMs"));
    let without = START.replace(r#", "store": "10.0.9.9:8225""#, "") + "}";
    let err = MemberSettings::parse(&without, "m.jsonc").unwrap_err();
    assert!(err.to_string().contains("missing field `store`"), "{err}");
}
