//! The commands `sheet check` and `sheet compile`.

mod common;

use common::{example_path, run, write_file};

const SMALL: &str = "kind,name,state,revision\nsheet,Demo,,4\nzone,a,in,\n";

#[test]
fn check_counts_the_rows_of_an_example() {
    let done = run(&[
        "sheet",
        "check",
        &example_path("lv-riga/sheet.csv"),
        "--json",
    ]);

    assert_eq!((done.code, done.stderr.as_str()), (Some(0), ""));
    let result = done.json();
    assert_eq!(result["counts"]["target"], 16);
    assert_eq!(result["counts"]["tier"], 5);
    assert_eq!(result["revision"], 1);
}

#[test]
fn check_prints_every_error_with_file_row_and_column() {
    let dir = tempfile::tempdir().unwrap();
    let sheet = write_file(&dir, "bad.csv", &SMALL.replace(",in,", ",open,"));
    let text = SMALL.replace("Demo,,4", "Demo,,x").replace("in", "on");
    let worse = write_file(&dir, "worse.csv", &text);

    let done = run(&["sheet", "check", &sheet]);
    let both = run(&["sheet", "check", &worse]);

    assert_eq!(done.code, Some(2));
    let expected = format!(
        "error: {sheet}: row 3, column state: \"open\" is not one of in, out; use one of these\n"
    );
    assert_eq!(done.stderr, expected);
    assert_eq!(both.stderr.lines().count(), 2, "{}", both.stderr);
}

#[test]
fn check_prints_the_differences() {
    let dir = tempfile::tempdir().unwrap();
    let old = write_file(&dir, "old.csv", SMALL);
    let new = write_file(&dir, "new.csv", &SMALL.replace("zone,a,in,", "zone,b,in,"));

    let done = run(&["sheet", "check", &new, "--against", &old]);

    assert_eq!(done.code, Some(0), "{}", done.stderr);
    let end = "changes from revision 4 to 4:\n  + zone b\n  - zone a\n";
    assert!(done.stdout.ends_with(end), "{}", done.stdout);
}

#[test]
fn compile_writes_a_sheet_of_the_same_hash() {
    let dir = tempfile::tempdir().unwrap();
    let out = dir.path().join("out.csv").display().to_string();

    let done = run(&[
        "sheet",
        "compile",
        &example_path("lv-riga/sheet.csv"),
        "-o",
        &out,
        "--json",
    ]);
    let again = run(&["sheet", "check", &out, "--json"]);

    assert_eq!(done.code, Some(0), "{}", done.stderr);
    assert_eq!(done.json()["hash"], again.json()["hash"]);
}

/// Daemons ignore a sheet whose revision is not higher, so an operator must not publish one.
#[test]
fn compile_rejects_a_revision_that_is_not_higher() {
    let dir = tempfile::tempdir().unwrap();
    let sheet = write_file(&dir, "sheet.csv", SMALL);
    let out = dir.path().join("out.csv");
    let path = out.display().to_string();

    let done = run(&["sheet", "compile", &sheet, "--against", &sheet, "-o", &path]);

    assert_eq!(done.code, Some(2));
    let expected =
        format!("error: {sheet}: revision 4 is not above revision 4 in force; raise it\n");
    assert_eq!(done.stderr, expected);
    assert!(!out.exists());
}

#[test]
fn a_missing_file_is_rejected() {
    let done = run(&["sheet", "check", "/nonexistent.csv", "--json"]);

    assert_eq!(done.code, Some(2));
    let expected = "/nonexistent.csv: cannot be read: No such file or directory (os error 2)";
    assert_eq!(done.json()["error"], expected);
}
