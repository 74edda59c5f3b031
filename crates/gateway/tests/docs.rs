//! The operators' page lists every event and metric of a member, and no others.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Prefixes of log messages, by the component that logs.
const EVENT_PREFIXES: [&str; 7] = [
    "entry: ", "member: ", "store: ", "config: ", "target: ", "peer: ", "poison: ",
];
const METRIC_PREFIX: &str = "primrosechute_";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// String literals in the source code of a member.
fn literals() -> Vec<String> {
    let mut found = Vec::new();
    let mut folders = vec![
        root().join("crates/gateway/src"),
        root().join("platform/src"),
    ];
    let mut files = vec![root().join("crates/daemon/src/bounded_log.rs")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).expect("the source folder is readable") {
            let path = entry.expect("a directory entry").path();
            if path.is_dir() {
                folders.push(path);
            } else {
                files.push(path);
            }
        }
    }
    for file in files {
        let text = std::fs::read_to_string(file).expect("the source file is readable");
        let code = text
            .lines()
            .filter(|line| !line.trim_start().starts_with("//"));
        for line in code {
            found.extend(line.split('"').skip(1).step_by(2).map(ToOwned::to_owned));
        }
    }
    found
}

/// A message with `*` in place of each interpolation.
fn event_pattern(literal: &str) -> String {
    let mut text = String::new();
    let mut depth = 0;
    for c in literal.chars() {
        match c {
            '{' => depth += 1,
            '}' => {
                depth -= 1;
                text.push('*');
            }
            c if depth == 0 => text.push(c),
            _ => {}
        }
    }
    text
}

/// Code spans in the first column of the tables under a heading.
fn documented(heading: &str) -> BTreeSet<String> {
    let page = std::fs::read_to_string(root().join("docs/OPERATIONS.md"))
        .expect("the operators' page is readable");
    let section = page.split(heading).nth(1).expect(heading);
    let section = section
        .split("\n#")
        .next()
        .expect("the text of the section");
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    rows.flat_map(|row| {
        let cell = row.split(" | ").next().expect("the first cell");
        let codes: Vec<String> = cell
            .split('`')
            .skip(1)
            .step_by(2)
            .map(ToOwned::to_owned)
            .collect();
        codes
    })
    .collect()
}

/// Guards against events that operators can't look up, and against documented events that no longer
/// exist.
#[test]
fn every_event_is_documented() {
    let code: BTreeSet<String> = literals()
        .iter()
        .filter(|literal| {
            EVENT_PREFIXES
                .iter()
                .any(|prefix| literal.starts_with(prefix))
        })
        .map(|literal| event_pattern(literal))
        .collect();

    assert_eq!(documented("### Events"), code);
}

/// Guards against metrics that operators can't look up, and against documented metrics that no
/// longer exist.
#[test]
fn every_metric_is_documented() {
    let code: BTreeSet<String> = literals()
        .into_iter()
        .filter(|literal| literal.starts_with(METRIC_PREFIX) && literal.len() > METRIC_PREFIX.len())
        .collect();
    let documented: BTreeSet<String> = documented("### Metrics of a member")
        .into_iter()
        .map(|name| name.split('{').next().unwrap_or_default().to_owned())
        .filter(|name| !name.starts_with("primrosechute_process_"))
        .collect();

    assert_eq!(documented, code);
}
