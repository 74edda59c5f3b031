//! The commands `sheet check` and `sheet compile`.

use std::path::{Path, PathBuf};

use clap::{Args, Subcommand};
use serde_json::{Value, json};
use sheet::{KeyState, MAX_SHEET_BYTES, Sheet, SheetDiff, SheetError};

use crate::file;
use crate::output::{self, Colour, Error, Exit, Output};

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Check a sheet and print all its errors, or a summary if it is accepted.
    #[command(after_help = "Examples:\n  \
        primrosectl sheet check sheet.csv\n  \
        primrosectl sheet check sheet.csv --against published.csv\n\n\
        Exit codes: 0 accepted, 2 rejected.")]
    Check(CheckArgs),
    /// Write the canonical form of a sheet, ready to publish.
    #[command(after_help = "Examples:\n  \
        primrosectl sheet compile sheet.csv -o canonical.csv\n  \
        primrosectl sheet compile sheet.csv --against published.csv -o canonical.csv\n\n\
        Exit codes: 0 written, 1 the output can't be written, 2 rejected, which includes a \
        revision that is not above the revision of --against.")]
    Compile(CompileArgs),
}

#[derive(Debug, Args)]
pub(crate) struct CheckArgs {
    /// The sheet, CSV.
    file: PathBuf,
    /// Print the differences from this older sheet.
    #[arg(long, value_name = "OLD")]
    against: Option<PathBuf>,
}

#[derive(Debug, Args)]
pub(crate) struct CompileArgs {
    /// The sheet, CSV.
    file: PathBuf,
    /// File for the canonical form.
    #[arg(short, long, value_name = "OUT")]
    output: PathBuf,
    /// The sheet in force; the new revision must be above its revision.
    #[arg(long, value_name = "OLD")]
    against: Option<PathBuf>,
}

pub(crate) fn run(command: &Command, out: Output) -> Result<Exit, Error> {
    match command {
        Command::Check(args) => check(args, out),
        Command::Compile(args) => compile(args, out),
    }
}

/// Reads a sheet. The inner result has the errors of a sheet that is rejected.
fn read_sheet(path: &Path) -> Result<Result<Sheet, Vec<SheetError>>, Error> {
    let limit = MAX_SHEET_BYTES;
    Ok(Sheet::parse(&file::read(path, limit)?))
}

/// Reads a sheet and the older one to compare with, if any. If a sheet is rejected, prints the
/// errors of both and returns `None`.
fn read_sheets(
    path: &Path,
    against: Option<&Path>,
    out: Output,
) -> Result<Option<(Sheet, Option<Sheet>)>, Error> {
    let newer = read_sheet(path)?;
    let older = against.map(|old| Ok((old, read_sheet(old)?))).transpose()?;
    let mut errors = Vec::new();
    let newer = newer.map_err(|found| errors.extend(found.into_iter().map(|e| (path, e))));
    let older = older.map(|(old, sheet)| {
        sheet.map_err(|found| errors.extend(found.into_iter().map(|e| (old, e))))
    });
    if let (Ok(newer), Ok(older)) = (newer, older.transpose()) {
        return Ok(Some((newer, older)));
    }
    print_errors(&errors, out);
    Ok(None)
}

fn print_errors(errors: &[(&Path, SheetError)], out: Output) {
    if out.json {
        let errors: Vec<Value> = errors
            .iter()
            .map(|(path, e)| {
                json!({
                    "file": path.display().to_string(),
                    "row": e.row,
                    "column": e.column,
                    "error": e.fault.to_string(),
                })
            })
            .collect();
        out.json(&json!({ "ok": false, "errors": errors }));
        return;
    }
    for (path, e) in errors {
        output::error(&format!("{}: {e}", path.display()));
    }
}

fn check(args: &CheckArgs, out: Output) -> Result<Exit, Error> {
    let Some((sheet, older)) = read_sheets(&args.file, args.against.as_deref(), out)? else {
        return Ok(Exit::Rejected);
    };
    let diff = older.map(|older| older.diff(&sheet));
    if out.json {
        let mut result = summary(&sheet);
        if let Some(diff) = &diff {
            result["diff"] = diff_json(diff);
        }
        out.json(&result);
        return Ok(Exit::Ok);
    }
    let accepted = out.paint(Colour::Green, "accepted");
    out.line(&format!(
        "{}: {accepted}, {:?}, revision {}",
        args.file.display(),
        sheet.title,
        sheet.revision
    ));
    out.line(&format!("hash {}", hex::encode(sheet.hash.0)));
    let rows: Vec<Vec<String>> = [vec!["kind".into(), "rows".into()]]
        .into_iter()
        .chain(
            counts(&sheet)
                .iter()
                .map(|(kind, count)| vec![(*kind).into(), count.to_string()]),
        )
        .collect();
    out.table(&rows);
    if let Some(diff) = diff {
        print_diff(&diff, out);
    }
    Ok(Exit::Ok)
}

/// Number of rows of each kind.
fn counts(sheet: &Sheet) -> [(&'static str, usize); 8] {
    let withdrawn = |key: &&sheet::Key| key.state == KeyState::Withdrawn;
    [
        ("zone", sheet.zones.len()),
        ("tier", sheet.tiers.len()),
        ("workspace", sheet.workspaces.len()),
        ("key", sheet.keys.len()),
        (
            "withdrawn key",
            sheet.keys.values().filter(withdrawn).count(),
        ),
        ("pool", sheet.pools.len()),
        ("target", sheet.targets.len()),
        ("route", sheet.routes.len()),
    ]
}

fn summary(sheet: &Sheet) -> Value {
    let counts: serde_json::Map<String, Value> = counts(sheet)
        .iter()
        .map(|(kind, count)| (kind.replace(' ', "_"), json!(count)))
        .collect();
    json!({
        "ok": true,
        "title": sheet.title,
        "revision": sheet.revision,
        "hash": hex::encode(sheet.hash.0),
        "counts": counts,
    })
}

fn diff_json(diff: &SheetDiff) -> Value {
    let kinds: Vec<Value> = diff
        .kinds
        .iter()
        .map(|kind| {
            json!({
                "kind": kind.kind,
                "added": kind.added.iter().map(|n| &**n).collect::<Vec<_>>(),
                "removed": kind.removed.iter().map(|n| &**n).collect::<Vec<_>>(),
                "changed": kind.changed.iter().map(|n| &**n).collect::<Vec<_>>(),
            })
        })
        .collect();
    json!({ "from": diff.revisions.0, "to": diff.revisions.1, "kinds": kinds })
}

fn print_diff(diff: &SheetDiff, out: Output) {
    out.line(&format!(
        "changes from revision {} to {}:",
        diff.revisions.0, diff.revisions.1
    ));
    if diff.kinds.is_empty() {
        out.line("  no rows differ");
    }
    for kind in &diff.kinds {
        let changes = [
            ("+", Colour::Green, &kind.added),
            ("-", Colour::Red, &kind.removed),
            ("~", Colour::Yellow, &kind.changed),
        ];
        for (sign, colour, names) in changes {
            for name in names {
                out.line(&format!(
                    "  {} {} {name}",
                    out.paint(colour, sign),
                    kind.kind
                ));
            }
        }
    }
}

fn compile(args: &CompileArgs, out: Output) -> Result<Exit, Error> {
    let Some((sheet, older)) = read_sheets(&args.file, args.against.as_deref(), out)? else {
        return Ok(Exit::Rejected);
    };
    if let Some(older) = older.filter(|older| sheet.revision <= older.revision) {
        return Err(Error::rejected(format!(
            "{}: revision {} is not above revision {} in force; raise it",
            args.file.display(),
            sheet.revision,
            older.revision
        )));
    }
    file::write(&args.output, sheet.to_csv().as_bytes())?;
    if out.json {
        out.json(&json!({
            "ok": true,
            "revision": sheet.revision,
            "hash": hex::encode(sheet.hash.0),
            "output": args.output.display().to_string(),
        }));
    } else {
        out.line(&format!(
            "{}: revision {}, hash {}",
            args.output.display(),
            sheet.revision,
            hex::encode(sheet.hash.0)
        ));
    }
    Ok(Exit::Ok)
}
