//! `report`: compares the results of loads.

use std::path::{Path, PathBuf};

use clap::Args;
use serde_json::{Value, json};

use crate::output::{Error, Exit, Output};
use crate::result::{FORMAT_VERSION, LoadResult};
use crate::{file, svg, table};

/// Largest result file.
const MAX_RESULT_BYTES: usize = 4 << 20;
/// Most results in one report.
const MAX_RESULTS: usize = 16;

#[derive(Debug, Args)]
#[command(after_help = "Examples:\n  \
    primrosectl report result.json\n  \
    primrosectl report baseline.json result.json --svg report.svg\n\n\
    Each result is a column; the numbers in brackets are ratios to the first result. Rows that are \
    zero in all results are left out. The worst workspace has the smallest share of its requests \
    served in time; its ratio is to the median share.\n\n\
    Exit codes: 0 printed, 1 the SVG can't be written, 2 a file is rejected.")]
pub(crate) struct ReportArgs {
    /// Results of `load`.
    #[arg(required = true, value_name = "RESULT")]
    files: Vec<PathBuf>,
    /// Write charts of the goodput and the latency percentiles by tier.
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
}

pub(crate) fn run(args: &ReportArgs, out: Output) -> Result<Exit, Error> {
    if args.files.len() > MAX_RESULTS {
        return Err(Error::rejected(format!(
            "a report has at most {MAX_RESULTS} results"
        )));
    }
    let results: Vec<LoadResult> = args
        .files
        .iter()
        .map(|f| read_result(f))
        .collect::<Result<_, _>>()?;
    let names: Vec<String> = args.files.iter().zip(&results).map(column_name).collect();
    if let Some(path) = &args.svg {
        file::write(path, svg::draw(&names, &results).as_bytes())?;
    }
    if out.json {
        out.json(&to_json(&names, &results));
    } else {
        table::print(&names, &results, out);
    }
    Ok(Exit::Ok)
}

fn read_result(path: &Path) -> Result<LoadResult, Error> {
    let text = file::read_text(path, MAX_RESULT_BYTES)?;
    let rejected = |message: String| Error::rejected(format!("{}: {message}", path.display()));
    let value: Value =
        serde_json::from_str(&text).map_err(|err| rejected(format!("is not JSON: {err}")))?;
    match value.get("format").and_then(Value::as_u64) {
        Some(format) if format == u64::from(FORMAT_VERSION) => {}
        Some(format) => {
            return Err(rejected(format!(
                "has format {format}, not {FORMAT_VERSION}"
            )));
        }
        None => return Err(rejected("is not a result of load: it has no format".into())),
    }
    serde_json::from_str(&text).map_err(|err| rejected(format!("is not a result of load: {err}")))
}

/// Name of the column of a result: its file and, if given, its commit.
fn column_name((path, result): (&PathBuf, &LoadResult)) -> String {
    let stem = path.file_stem().unwrap_or_default().to_string_lossy();
    match &result.commit {
        Some(commit) => format!("{stem}@{commit}"),
        None => stem.into_owned(),
    }
}

fn to_json(names: &[String], results: &[LoadResult]) -> Value {
    let metrics: Vec<Value> = table::metrics(results)
        .iter()
        .map(|metric| {
            let ratios: Vec<_> = (0..results.len())
                .map(|index| metric.ratio(index))
                .collect();
            json!({
                "group": metric.group,
                "metric": metric.name,
                "values": metric.values,
                "ratios": ratios,
            })
        })
        .collect();
    let runs: Vec<Value> = names
        .iter()
        .zip(results)
        .map(|(name, result)| {
            json!({
                "name": name,
                "mix": result.mix,
                "seed": result.seed,
                "duration_seconds": result.duration_seconds,
                "commit": result.commit,
                "worst_workspace": result.worst_workspace,
                "generator": result.generator,
            })
        })
        .collect();
    json!({ "results": runs, "metrics": metrics })
}
