//! Help, version and completions.

mod common;

use common::server::unused_address;
use common::{run, write_file};

const COMMANDS: [&[&str]; 9] = [
    &["sheet"],
    &["sheet", "check"],
    &["sheet", "compile"],
    &["entries"],
    &["status"],
    &["send"],
    &["load"],
    &["report"],
    &["completions"],
];

#[test]
fn every_command_has_help_with_examples_and_exit_codes() {
    for command in COMMANDS.iter().chain([&[][..]].iter()) {
        let done = run(&[command, &["--help"][..]].concat());

        assert_eq!(done.code, Some(0), "{command:?}");
        let example = format!("Examples:\n  primrosectl {}", command.join(" "));
        assert!(
            done.stdout.contains(example.trim_end()),
            "{command:?}: {}",
            done.stdout
        );
        assert!(
            done.stdout.contains("Exit codes: 0 "),
            "{command:?}: {}",
            done.stdout
        );
        assert!(
            done.stdout.contains("--json"),
            "{command:?}: {}",
            done.stdout
        );
    }
}

/// Arguments are visible to all users of the machine, so no command may take a key as one.
#[test]
fn no_command_takes_a_key_as_an_argument() {
    for command in COMMANDS {
        let done = run(&[command, &["--help"][..]].concat());

        assert!(!done.stdout.contains("--key "), "{command:?}");
    }
}

#[test]
fn version_and_completions_are_printed() {
    let version = run(&["--version"]);
    let script = run(&["completions", "bash"]);
    let odd = run(&["completions", "dos"]);

    assert_eq!(
        version.stdout,
        concat!("primrosectl ", env!("CARGO_PKG_VERSION"), "\n")
    );
    assert!(
        script.stdout.contains("primrosectl__subcmd__sheet"),
        "{}",
        script.stdout
    );
    assert_eq!(
        (version.code, script.code, odd.code),
        (Some(0), Some(0), Some(2))
    );
}

/// The example in the help must pass validation, so that the command fails only when it fetches the
/// entries.
#[test]
fn the_mix_in_the_help_is_a_valid_mix() {
    let dir = tempfile::tempdir().unwrap();
    let help = run(&["load", "--help"]).stdout;
    let start = help.find("  {\n").unwrap();
    let end = help.find("\n  }\n").unwrap() + 5;
    let dead = unused_address().to_string();
    let mix = write_file(
        &dir,
        "mix.jsonc",
        &help[start..end].replace("127.0.0.1:21001", &dead),
    );
    write_file(&dir, "key.txt", "demo-key");

    let done = run(&["load", "--mix", &mix]);

    let expected = format!("error: no address answered with its entries: {dead}: ");
    assert!(done.stderr.starts_with(&expected), "{}", done.stderr);
    assert_eq!(done.code, Some(1));
}

/// humantime 2.4 panics on some numbers of 20 digits.
#[test]
fn long_durations_are_rejected() {
    for text in ["18446744073709551615s 1000ms", "25h", "1"] {
        let done = run(&["status", "--timeout", text, "127.0.0.1:1"]);

        assert_eq!(done.code, Some(2), "{text}");
        assert!(
            done.stderr.starts_with("error: invalid value"),
            "{}",
            done.stderr
        );
    }
}
