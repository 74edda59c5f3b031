//! `explain`: what happened to one request, from the logs of members.

use std::path::PathBuf;

use clap::Args;
use serde::Serialize;
use serde_json::{Map, Value};

use crate::file;
use crate::output::{Error, Exit, Output};

/// Largest log file that is read.
const MAX_LOG_BYTES: usize = 256 << 20;
/// Most context lines: the last state changes up to the last line about the request. They show the
/// state on which the decisions about the request were based.
const CONTEXT_LINES: usize = 12;
/// Prefixes of log messages about changes to the state that a member bases its decisions on.
const STATE_MESSAGE_PREFIXES: [&str; 4] = ["member:", "store:", "config:", "target:"];

#[derive(Debug, Args)]
#[command(after_help = "Examples:\n  \
    primrosectl explain 9c41d07be2a35f68 vm-1.log vm-2.log\n  \
    primrosectl --json explain 9c41d07be2a35f68 *.log\n\n\
    Files contain JSON lines, each with an optional prefix such as the name of its VM. Lines that \
    are incomplete or malformed are skipped and counted.\n\n\
    Exit codes: 0 printed, 2 a file is rejected, 3 no line about the request.")]
pub(crate) struct ExplainArgs {
    /// Id of the request.
    id: String,
    /// Log files of members.
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
}

/// A parsed log line.
#[derive(Clone, Debug, Serialize)]
struct LogLine {
    time: String,
    source: String,
    level: String,
    message: String,
    fields: Map<String, Value>,
}

/// The result of `explain`.
#[derive(Debug, Serialize)]
struct Explanation {
    id: String,
    cause: String,
    lines: Vec<LogLine>,
    context: Vec<LogLine>,
    torn_lines: usize,
}

pub(crate) fn run(args: &ExplainArgs, out: Output) -> Result<Exit, Error> {
    let mut lines = Vec::new();
    let mut torn_lines = 0;
    for path in &args.files {
        let text = file::read_text(path, MAX_LOG_BYTES)?;
        let source = path
            .file_stem()
            .map_or_else(String::new, |stem| stem.to_string_lossy().into_owned());
        for text in text.lines().filter(|line| line.contains('{')) {
            match parse_line(text, &source) {
                Some(line) => lines.push(line),
                None => torn_lines += 1,
            }
        }
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    let explanation = explain_request(&args.id, &lines, torn_lines);
    let found = !explanation.lines.is_empty();
    if out.json {
        out.json(&serde_json::to_value(&explanation).unwrap_or_default());
    } else {
        print(&explanation);
    }
    Ok(if found { Exit::Ok } else { Exit::Partial })
}

/// Parses a log line. The last word before its JSON object names its source; without one, the name
/// of the file does.
fn parse_line(text: &str, file: &str) -> Option<LogLine> {
    let at = text.find('{')?;
    let mut value: Value = serde_json::from_str(&text[at..]).ok()?;
    let prefix = text[..at].split_whitespace().last();
    let field = |name: &str| Some(value.get(name)?.as_str()?.to_owned());
    Some(LogLine {
        time: field("timestamp")?,
        source: prefix.unwrap_or(file).to_owned(),
        level: field("level")?,
        message: field("message")?,
        fields: match value.get_mut("kvs").map(Value::take) {
            Some(Value::Object(fields)) => fields,
            _ => Map::new(),
        },
    })
}

/// Collects the lines about a request and the state changes before its last line that concern its
/// members or targets.
fn explain_request(id: &str, lines: &[LogLine], torn_lines: usize) -> Explanation {
    let is_about_request = |line: &&LogLine| text_field(line, "id") == id;
    let request_lines: Vec<LogLine> = lines.iter().filter(is_about_request).cloned().collect();
    let last = request_lines.last();
    let cause = last.map_or_else(
        || {
            "no line about this request; its lines may have been dropped, or the files are not \
             those of the request's entry"
                .to_owned()
        },
        cause,
    );
    let end = last.map(|line| line.time.clone()).unwrap_or_default();
    let sources: Vec<&str> = request_lines
        .iter()
        .map(|line| line.source.as_str())
        .collect();
    let targets: Vec<&str> = request_lines
        .iter()
        .map(|line| text_field(line, "target"))
        .collect();
    let mut context: Vec<LogLine> = lines
        .iter()
        .filter(|line| line.time <= end)
        .filter(|line| {
            STATE_MESSAGE_PREFIXES
                .iter()
                .any(|prefix| line.message.starts_with(prefix))
        })
        .filter(|line| {
            let names_target = |target: &&str| !target.is_empty() && line.message.contains(*target);
            sources.contains(&line.source.as_str()) || targets.iter().any(names_target)
        })
        .cloned()
        .collect();
    context.drain(..context.len().saturating_sub(CONTEXT_LINES));
    Explanation {
        id: id.to_owned(),
        cause,
        lines: request_lines,
        context,
        torn_lines,
    }
}

fn text_field<'a>(line: &'a LogLine, name: &str) -> &'a str {
    line.fields.get(name).and_then(Value::as_str).unwrap_or("")
}

fn number_field(line: &LogLine, name: &str) -> u64 {
    line.fields.get(name).and_then(Value::as_u64).unwrap_or(0)
}

/// Describes how the request ended, from the last line about it.
fn cause(line: &LogLine) -> String {
    let (target, took) = (text_field(line, "target"), number_field(line, "took_ms"));
    let waited = number_field(line, "waited_ms");
    match line.message.as_str() {
        "entry: served" => format!(
            "served by {target} in {took} ms: first byte after {} ms, {waited} ms of it waiting \
             for a permit{}, {} sends",
            number_field(line, "first_ms"),
            limit_note(line),
            number_field(line, "sends"),
        ),
        "entry: not served whole" => match text_field(line, "outcome") {
            "cancelled" => format!("the caller disconnected after {took} ms while {target} ran it"),
            "late" => format!("its time limit expired after {took} ms while {target} still ran it"),
            "broken" => format!(
                "the stream of {target} broke after {} events and could not be resumed elsewhere",
                number_field(line, "events")
            ),
            _ => format!("{target} returned an error after {took} ms"),
        },
        "entry: refused or failed" => failure_cause(line, target, took),
        "entry: not taken" => format!(
            "not taken, status {}: {}; configuration {} was in force",
            number_field(line, "status"),
            text_field(line, "reason"),
            number_field(line, "config")
        ),
        _ => format!(
            "the end of the request is not logged; its last line is {:?}",
            line.message
        ),
    }
}

/// Says whether a wait was one for targets that had reached the limits that they name.
fn limit_note(line: &LogLine) -> &'static str {
    let met_limit = line.fields.get("met_limit").and_then(Value::as_bool);
    if met_limit == Some(true) {
        " (targets with free capacity had reached the limits that they name)"
    } else {
        ""
    }
}

fn failure_cause(line: &LogLine, target: &str, took: u64) -> String {
    let (live_members, sends) = (number_field(line, "live"), number_field(line, "sends"));
    match text_field(line, "reason") {
        "rate" => format!(
            "not run: workspace {} was over its rate; {live_members} members were live, and each \
             owner grants a share of the rate in proportion to the members that it can see",
            text_field(line, "workspace")
        ),
        "busy" => format!(
            "not run: no target had free capacity within the time that it could wait ({took} ms \
             after it arrived)"
        ),
        "no_target" => format!("not run: no target of its pool was available; {sends} sends"),
        "target_limit" => format!(
            "not run: the targets with free capacity had reached the limits that they name, and no \
             other target had room within the time that it could wait ({took} ms after it arrived)"
        ),
        "retry_budget" => "not run: the retry budget of its pool was used up".to_owned(),
        "poison" => "not run: the same request broke three targets".to_owned(),
        "poison_part" => {
            "not run: a part of its prompt crashed three targets, in this or other requests"
                .to_owned()
        }
        "outcome unknown" => format!(
            "it may have run: {target} received it but returned no complete response; its route \
             allows no further attempt, or none was left ({sends} sends)"
        ),
        "time over" => format!("it may have run: {target} did not respond for {took} ms"),
        reason => format!("status {}: {reason}", number_field(line, "status")),
    }
}

fn print(explanation: &Explanation) {
    println!("{}: {}", explanation.id, explanation.cause);
    let sections = [
        ("request", &explanation.lines),
        ("what was known", &explanation.context),
    ];
    for (title, lines) in sections.into_iter().filter(|(_, lines)| !lines.is_empty()) {
        println!("\n{title}:");
        for line in lines {
            let fields: Vec<String> = line
                .fields
                .iter()
                .filter(|(name, _)| *name != "id")
                .map(|(name, value)| format!("{name}={value}"))
                .collect();
            println!(
                "  {} {} {} {}",
                line.time,
                line.source,
                line.message,
                fields.join(" ")
            );
        }
    }
    if explanation.torn_lines > 0 {
        println!(
            "\n{} incomplete or malformed lines were skipped",
            explanation.torn_lines
        );
    }
}
