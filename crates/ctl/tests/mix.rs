//! Error messages about invalid mix files.

mod common;

use common::{run, write_file};

const HEAD: &str = r#""duration": "1s", "seed": 1, "entries": ["127.0.0.1:1"],"#;

/// Runs `load` on a mix with these fields. `@` marks where the error is expected. Returns the exit
/// code, the error, and the position of the mark.
fn error(fields: &str) -> (Option<i32>, String, String) {
    let text = format!("{{ // a mix\n{HEAD}\n{fields}\n}}");
    let mark = text.find('@').unwrap();
    let line = text[..mark].matches('\n').count() + 1;
    let column = mark - text[..mark].rfind('\n').unwrap();
    let dir = tempfile::tempdir().unwrap();
    let mix = write_file(&dir, "mix.jsonc", &text.replace('@', ""));
    let done = run(&["load", "--mix", &mix]);
    (done.code, done.stderr, format!("{mix}:{line}:{column}"))
}

/// A misspelt field must be rejected, not ignored in favour of its default.
#[test]
fn errors_name_file_line_and_column() {
    let workload =
        |fields: &str| format!(r#""workloads": [{{"name": "a", "path": "/a", {fields}}}]"#);
    let cases = [
        (
            workload(r#""rate": 1, @"teir": "quick""#),
            "workloads[0].teir: unknown field `teir`, expected one of `name`, \
             `rate`, `share`, `path`, `workspace`, `key`, `key_file`, `tier`, `deadline`, \
             `prompt_tokens`, `output_tokens`, `prefix`, `stream`, `method`, `body`, `vms`",
        ),
        (
            workload(r#""rate": 1, "deadline": @"410""#),
            "workloads[0].deadline: \"410\" is not a duration; write a number and \
             a unit, for example 410ms or 5s",
        ),
        (
            workload(r#""rate": @0"#),
            "workloads[0].rate: gives no rate above 0 and up to 100000/s",
        ),
        (
            workload(r#""share": @1"#),
            "workloads[0].share: needs \"rate\" of the mix; set it or give the \
             workload a rate",
        ),
        (
            workload(r#""rate": 1, "stream": @true"#),
            "workloads[0].stream: needs \"prompt_tokens\"",
        ),
        (
            workload(
                r#""rate": 1, "output_tokens": @{"pareto": {"min": 0, "shape": 1, "max": 9}}"#,
            ),
            "workloads[0].output_tokens: min or shape is not above 0",
        ),
        (
            workload(r#""rate": 1, "key": @"a", "key_file": "b""#),
            "workloads[0].key: is given beside \"key_file\"; remove one",
        ),
        (
            workload(r#""rate": 1"#)
                + r#", "events": [{"at": "0s", "action": {"rate": {"workload": @"b", "factor": 2}}}]"#,
            "events[0].action.rate.workload: \"b\" is no name of a workload",
        ),
        ("\"workloads\" \n@[]".into(), "expected `:`"),
    ];
    for (text, expected) in cases {
        let (code, err, place) = error(&text);

        assert_eq!(
            (code, err),
            (Some(2), format!("error: {place}: {expected}\n"))
        );
    }
}
