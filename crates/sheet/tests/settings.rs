//! Settings files of daemons: defaults, exact error texts and arbitrary input.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sheet::{CheckError, LogFormat, LogLevel, Policy, Settings, SettingsError, Sheet, SheetSource};

const START: &str = r#"{"vm": "a-1", "zone": "a", "entry": "127.0.0.1:1", "admin": "127.0.0.1:2","#;
const SHEET: &str = r#""sheet": {"file": "sheet.csv"}"#;

fn parse(text: &str) -> Result<Settings, String> {
    Settings::parse(text, "a.jsonc").map_err(|e| e.to_string())
}

#[test]
fn defaults_and_comments() {
    let text = format!("\u{feff}/* one\ntwo */{START} // three\n{SHEET}}}\n");
    let settings = parse(&text).unwrap();

    assert_eq!(settings.sheet, SheetSource::File("sheet.csv".into()));
    assert_eq!((settings.peer, settings.vm_list), (None, None));
    assert_eq!(settings.limits.max_header, 16 << 10);
    assert_eq!(settings.timing.heartbeat, Duration::from_millis(500));
    assert_eq!(settings.log.format, LogFormat::Text);
    assert_eq!(settings.log.level, LogLevel::Info);
}

/// Guards against a takeover while the previous holder may still have its lease or a permit.
#[test]
fn hold_down_covers_lag_transit_and_lease_twice() {
    let timing = r#""timing": {"list_lag": "2s", "lease": "3s", "silent": "4s"}"#;
    let settings = parse(&format!("{START}{SHEET},{timing}}}")).unwrap();

    assert_eq!(
        settings.hold_down(),
        Duration::from_secs(2 * (2 + 3 + 4) + 1)
    );
}

#[test]
fn all_fields_are_read() {
    let text = format!(
        r#"{START} "sheet": {{"service": "127.0.0.1:9"}}, "peer": "127.0.0.1:3",
        "vm_list": "127.0.0.1:8", "log": {{"format": "json", "level": "warn"}},
        "limits": {{"memory": "64MiB", "max_connections": 1, "max_header": "64KiB", "max_waiting": 2,
                    "max_outcomes": 3, "max_outcome_age": "1h 30m", "idle_timeout": "1.5s",
                    "header_timeout": "2s"}},
        "timing": {{"redial_min": "1s", "redial_max": "1s"}}}}"#
    );
    let settings = parse(&text).unwrap();

    assert_eq!(
        settings.sheet,
        SheetSource::Service("127.0.0.1:9".parse().unwrap())
    );
    assert_eq!(settings.limits.memory, 64 << 20);
    assert_eq!(settings.limits.max_header, 64 << 10);
    assert_eq!(settings.limits.max_outcome_age, Duration::from_mins(90));
    assert_eq!(settings.limits.idle_timeout, Duration::from_millis(1500));
    assert_eq!(settings.log.level, LogLevel::Warn);
}

/// Guards against a mistyped setting that silently keeps its default.
#[test]
fn errors_name_file_line_and_column() {
    let cases = [
        ("", "a.jsonc:1:1: not JSON: EOF while parsing a value"),
        (
            "{\n/* x",
            "a.jsonc:2:5: a comment or string is not closed, or a slash does not start a comment; correct it",
        ),
        (
            "{\n  / x",
            "a.jsonc:2:4: a comment or string is not closed, or a slash does not start a comment; correct it",
        ),
        (
            "/* x\n\n */ {\"vm\" 1}",
            "a.jsonc:3:11: not JSON: expected `:`",
        ),
        ("{S}}", "a.jsonc:1:106: not JSON: trailing characters"),
        ("{}", "a.jsonc:1:2: missing field `vm`"),
        (
            "{S,\n  // é\n  /* é */ \"colour\": 1}",
            "a.jsonc:3:21: colour: unknown field `colour`, expected one of `vm`, `zone`, `entry`, `admin`, `peer`, `sheet`, `vm_list`, `limits`, `timing`, `log`, `policy`",
        ),
        (
            "{S,\n\"timing\": {\"lease\": 15}}",
            "a.jsonc:2:21: timing.lease: invalid type: integer `15`, expected a string",
        ),
        (
            "{S,\n\"timing\": {\"lease\": \"15\"}}",
            "a.jsonc:2:21: timing.lease: \"15\" is not a duration; write a number and a unit, for example 410ms or 5s",
        ),
        (
            "{S,\n\"timing\": {\"lease\": \"25h\"}}",
            "a.jsonc:2:21: timing.lease: \"25h\" is longer than 24h; write a shorter duration",
        ),
        (
            "{S,\n\"timing\": {\"leese\": \"1s\"}}",
            "a.jsonc:2:21: timing.leese: unknown field `leese`, expected one of `heartbeat`, `silent`, `lease`, `list_lag`, `list_poll`, `watch_wait`, `permit_life`, `load_poll`, `propagation`, `drain`, `redial_min`, `redial_max`, `keepalive`, `stream_silent`",
        ),
        (
            "{S,\n\"timing\": {\"lease\": \"0s\"}}",
            "a.jsonc:2:21: timing.lease is zero; write a value above 0",
        ),
        (
            "{S,\n\"timing\": {\"heartbeat\": \"2s\"}}",
            "a.jsonc:2:25: timing.silent (2s) is not above timing.heartbeat (2s); raise it or lower timing.heartbeat",
        ),
        (
            "{S,\n\"timing\": {\"lease\": \"1s\"}}",
            "a.jsonc:2:21: timing.lease (1s) is not above timing.list_poll (1s); raise it or lower timing.list_poll",
        ),
        (
            "{S,\n\"timing\": {\"keepalive\": \"6s\"}}",
            "a.jsonc:2:25: timing.stream_silent (5s) is not above timing.keepalive (6s); raise it or lower timing.keepalive",
        ),
        (
            "{S,\n\"timing\": {\"redial_min\": \"3s\", \"redial_max\": \"1s\"}}",
            "a.jsonc:2:46: timing.redial_max (1s) is below timing.redial_min (3s); raise it or lower timing.redial_min",
        ),
        (
            "{S,\n\"limits\": {\"max_header\": \"64\"}}",
            "a.jsonc:2:26: limits.max_header: \"64\" is not a size; write a number and a unit, for example 64KiB or 2MB",
        ),
        (
            "{S,\n\"limits\": {\"max_header\": \"4KiB\"}}",
            "a.jsonc:2:26: limits.max_header (4096B) is below 8KiB; raise it",
        ),
        (
            "{S,\n\"limits\": {\"max_header\": \"2MiB\"}}",
            "a.jsonc:2:26: limits.max_header (2097152B) is above 1024KiB; lower it",
        ),
        (
            "{S,\n\"limits\": {\"max_waiting\": 0}}",
            "a.jsonc:2:27: limits.max_waiting is zero; write a value above 0",
        ),
        (
            "{S,\n\"limits\": {\"max_outcomes\": 10000001}}",
            "a.jsonc:2:28: limits.max_outcomes (10000001) is above 10000000; lower it",
        ),
        (
            "{S,\n\"log\": {\"level\": \"loud\"}}",
            "a.jsonc:2:18: log.level: unknown variant `loud`, expected one of `error`, `warn`, `info`, `debug`, `trace`",
        ),
        (
            "{S,\n\"peer\": \"peer-1:80\"}",
            "a.jsonc:2:9: peer: invalid socket address syntax",
        ),
        (
            "{S,\n\"peer\": \"127.0.0.1:3\"}",
            "a.jsonc:2:9: peer is set without vm_list; set both or neither",
        ),
        (
            "{S,\n\"vm_list\": \"127.0.0.1:3\"}",
            "a.jsonc:2:12: vm_list is set without peer; set both or neither",
        ),
        (
            "{S,\n\"peer\": \"127.0.0.1:1\", \"vm_list\": \"127.0.0.1:8\"}",
            "a.jsonc:2:9: peer has the address of entry (127.0.0.1:1); use another port",
        ),
        (
            "{S,\n\"peer\": \"0.0.0.0:3\", \"vm_list\": \"127.0.0.1:8\"}",
            "a.jsonc:2:9: peer (0.0.0.0:3) can't be reached from other VMs; write the IP address of this VM and a port",
        ),
    ];
    for (text, expected) in cases {
        let text = text.replace("{S", &format!("{START}{SHEET}"));
        assert_eq!(parse(&text).unwrap_err(), expected, "{text}");
    }
}

/// Guards against names that aren't valid header values, and against input of unlimited size.
#[test]
fn names_and_size_are_limited() {
    let bad_name = START.replace("a-1", "a 1") + SHEET + "}";
    assert_eq!(
        parse(&bad_name).unwrap_err(),
        "a.jsonc:1:8: vm: \"a 1\" is not a name; use up to 64 ASCII letters, digits, \"-\", \"_\" and \
         \".\""
    );
    assert_eq!(
        parse(&" ".repeat(1 << 19)).unwrap_err(),
        "a.jsonc:1:1: has 524288 bytes, more than 262144; remove comments"
    );
}

/// Guards against a daemon in a zone that the sheet doesn't define.
#[test]
fn zone_must_be_in_the_sheet() {
    let text = format!("{START}{SHEET}}}");
    let settings = parse(&text).unwrap();
    let csv = "kind,name,state,revision\nsheet,T,,1\nzone,b,in\n";
    let e = settings.check_names(&Sheet::parse(csv.as_bytes()).unwrap());

    assert_eq!(e, Err(CheckError::UnknownZone("a".into())));
    assert_eq!(
        SettingsError::at(&text, "a.jsonc", e.unwrap_err()).to_string(),
        "a.jsonc:1:23: zone \"a\" is not in the sheet; correct the name or add a zone row"
    );
}

/// Guards against a daemon that runs the baseline without an explicit setting.
#[test]
fn policy_defaults_to_the_scheduler() {
    let by_default = parse(&format!("{START}{SHEET}}}")).unwrap();
    let baseline = parse(&format!("{START}{SHEET},\"policy\": \"baseline\"}}")).unwrap();

    assert_eq!(by_default.policy, Policy::Scheduler);
    assert_eq!(baseline.policy, Policy::Baseline);
}

/// Guards against a panic in humantime 2.4 when the nanoseconds carry over into `u64::MAX` seconds.
#[test]
fn duration_overflow_is_an_error() {
    let lease = r#"{"lease": "18446744073709551615s1000000000ns"}"#;
    let text = format!("{START}{SHEET},\"timing\": {lease}}}");

    assert!(parse(&text).unwrap_err().contains("is not a duration"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = Settings::parse(&String::from_utf8_lossy(&bytes), "a.jsonc");
    }

    // Values of the right type reach the unit parsers and checks, which arbitrary bytes rarely do.
    #[test]
    fn arbitrary_timing_values_do_not_panic(
        key in "lease|silent|drain|heartbeat|é",
        value in "\"[0-9a-zµ. ]{0,20}\"|[0-9]{1,3}|//\n|/\\*é\n\\*/\"1s\"",
    ) {
        let text = format!("{START}{SHEET},\"timing\": {{\"{key}\": {value}}}}}");
        let _ = Settings::parse(&text, "a.jsonc");
    }
}
