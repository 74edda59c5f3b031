//! `send`: sends one request and prints its response and outcome.

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use clap::Args;
use http::{HeaderValue, Method};
use rand::seq::SliceRandom;
use serde_json::{Map, Value, json};

use crate::call::{self, CallResult, NotSent, Outcome, RequestSpec};
use crate::entries::{self, Entry};
use crate::http::Client;
use crate::output::{self, Colour, Error, Exit, Output};
use crate::sse::Event;
use crate::{duration, file, key};

/// Largest request body.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Path of chat requests.
const CHAT_PATH: &str = "/v1/chat/completions";

#[derive(Debug, Args)]
#[command(after_help = "Examples:\n  \
    primrosectl send --entry 127.0.0.1:21001 --key-file key.txt --prompt 'Mix 6/3 at 20 vol'\n  \
    primrosectl send --entry 127.0.0.1:21001 --key-file key.txt --stream --tier quick \
    --deadline 410ms --max-tokens 32 --prompt hello\n  \
    primrosectl send --entry 127.0.0.1:21001 --path /catalogue\n  \
    PRIMROSECTL_KEY=$(cat key.txt) primrosectl send --entry 127.0.0.1:21001 \
    --path /orders --body @order.json\n\n\
    The response goes to standard output, the request id and the outcome to standard error; with \
    --json, all of it goes to standard output. The request is resent only with the same id to \
    the same process. With an --id whose process has ended, only the outcome is looked up.\n\n\
    Exit codes: 0 served, 1 not served or outcome unknown, 2 input rejected.")]
pub(crate) struct SendArgs {
    /// Addresses for callers; the entries of the site are fetched from the first that responds.
    #[arg(long = "entry", required = true, value_name = "ADDRESS", num_args = 1..)]
    entries: Vec<SocketAddr>,
    /// File with the key; without it the key is read from `PRIMROSECTL_KEY`, if set.
    #[arg(long, value_name = "FILE")]
    key_file: Option<PathBuf>,
    /// Path of the route.
    #[arg(long, default_value = CHAT_PATH)]
    path: String,
    /// HTTP method; POST with a body, else GET.
    #[arg(long)]
    method: Option<Method>,
    /// Body as text, or @FILE to read it from a file.
    #[arg(long, conflicts_with = "prompt", value_name = "TEXT|@FILE")]
    body: Option<String>,
    /// Prompt from which the body of a model call is built.
    #[arg(long)]
    prompt: Option<String>,
    /// Model to put into the body with --prompt.
    #[arg(long, requires = "prompt")]
    model: Option<String>,
    /// Most output tokens.
    #[arg(long, value_name = "N")]
    max_tokens: Option<u64>,
    /// Ask for a stream and print the response as it arrives.
    #[arg(long)]
    stream: bool,
    /// Tier; the route's default without it.
    #[arg(long, value_parser = header_value)]
    tier: Option<HeaderValue>,
    /// Longest time to the first byte of the response, for example 410ms.
    #[arg(long, value_name = "DURATION", value_parser = deadline)]
    deadline: Option<HeaderValue>,
    /// Request id of an earlier attempt, `<incarnation>-<random>`.
    #[arg(long, value_parser = request_id)]
    id: Option<String>,
    /// Time after which waiting ends and the outcome is reported as unknown.
    #[arg(long, default_value = "10m", value_parser = duration::parse)]
    timeout: Duration,
}

pub(crate) fn header_value(text: &str) -> Result<HeaderValue, String> {
    HeaderValue::from_str(text).map_err(|_| "can't be sent in a header".into())
}

/// Parses a deadline for its header, with the same checks that daemons make.
fn deadline(text: &str) -> Result<HeaderValue, String> {
    if duration::parse(text)?.is_zero() {
        return Err("zero; write a longer deadline".into());
    }
    header_value(text)
}

/// Checks the form of a request id, so that it is valid in a path and a header.
fn request_id(text: &str) -> Result<String, String> {
    let valid = text.split_once('-').is_some_and(|(incarnation, random)| {
        incarnation.len() == 16
            && incarnation
                .bytes()
                .all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
            && (1..=64).contains(&random.len())
            && random
                .bytes()
                .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
    });
    if valid {
        return Ok(text.to_owned());
    }
    Err("not a request id; write 16 hex digits, \"-\" and up to 64 letters or digits".into())
}

pub(crate) async fn run(args: &SendArgs, out: Output) -> Result<Exit, Error> {
    let spec = request_spec(args)?;
    let client = Client::new();
    let found = entries::fetch(&client, &args.entries).await?;
    for err in &found.errors {
        output::warn(err);
    }
    let mut text = String::new();
    let mut on_event = |event: &Event| {
        let fragment = generated_text(&event.data).unwrap_or_default();
        if out.json {
            text.push_str(&fragment);
        } else {
            let mut stdout = std::io::stdout();
            let _ = stdout.write_all(fragment.as_bytes());
            let _ = stdout.flush();
        }
    };
    let sent = send(args, &client, &spec, found.list.entries, &mut on_event).await?;
    print_result(args, &sent, text, out);
    let served = sent.result.outcome == Outcome::Served && sent.result.complete;
    Ok(if served { Exit::Ok } else { Exit::Failed })
}

fn request_spec(args: &SendArgs) -> Result<RequestSpec, Error> {
    if !args.path.starts_with('/') || args.path.parse::<http::uri::PathAndQuery>().is_err() {
        return Err(Error::rejected(format!(
            "--path: {:?} is not a path; start it with \"/\"",
            args.path
        )));
    }
    let body = request_body(args)?;
    let method = args.method.clone().unwrap_or(if body.is_empty() {
        Method::GET
    } else {
        Method::POST
    });
    Ok(RequestSpec {
        method,
        path: args.path.clone(),
        body,
        key: key::read(args.key_file.as_deref())?,
        tier: args.tier.clone(),
        deadline: args.deadline.clone(),
    })
}

fn request_body(args: &SendArgs) -> Result<Bytes, Error> {
    let mut fields = match (&args.body, &args.prompt) {
        (_, Some(prompt)) => prompt_fields(args, prompt),
        (Some(text), None) => {
            let bytes = match text.strip_prefix('@') {
                Some(path) => file::read(Path::new(path), MAX_BODY_BYTES)?,
                None => text.clone().into_bytes(),
            };
            if !args.stream && args.max_tokens.is_none() {
                return Ok(bytes.into());
            }
            serde_json::from_slice(&bytes).map_err(|err| {
                Error::rejected(format!(
                    "--body: --stream and --max-tokens need a JSON object: {err}"
                ))
            })?
        }
        (None, None) if args.stream || args.max_tokens.is_some() => {
            return Err(Error::rejected(
                "--stream and --max-tokens need --prompt or --body",
            ));
        }
        (None, None) => return Ok(Bytes::new()),
    };
    if args.stream {
        fields.insert("stream".into(), true.into());
    }
    if let Some(max_tokens) = args.max_tokens {
        fields.insert("max_tokens".into(), max_tokens.into());
    }
    Ok(Value::Object(fields).to_string().into())
}

fn prompt_fields(args: &SendArgs, prompt: &str) -> Map<String, Value> {
    let mut fields = Map::new();
    if let Some(model) = &args.model {
        fields.insert("model".into(), model.as_str().into());
    }
    if args.path == CHAT_PATH {
        let message = json!({ "role": "user", "content": prompt });
        fields.insert("messages".into(), json!([message]));
    } else {
        fields.insert("prompt".into(), prompt.into());
    }
    fields
}

/// The result of a request that was sent or only looked up.
struct SendResult {
    id: String,
    entry: Option<Entry>,
    result: CallResult,
}

async fn send(
    args: &SendArgs,
    client: &Client,
    spec: &RequestSpec,
    mut entries: Vec<Entry>,
    on_event: &mut impl FnMut(&Event),
) -> Result<SendResult, Error> {
    entries.shuffle(&mut rand::rng());
    if let Some(id) = &args.id {
        let matching = entries.iter().find(|e| id.starts_with(&e.incarnation));
        let entry = matching.cloned();
        if let Some(entry) = &entry {
            // An earlier attempt may have reached this entry, so no other may receive the request.
            match send_to_entry(args, client, entry, id, spec, on_event).await {
                Ok(result) => return send_result(id.clone(), entry.clone(), Ok(result)),
                Err(NotSent(message)) => output::warn(&message),
            }
        }
        let addresses: Vec<SocketAddr> = entries.iter().map(|e| e.address).collect();
        let (outcome, reason) = call::look_up_outcome(client, &addresses, id).await;
        let (id, result) = (id.clone(), CallResult::without_response(outcome, reason));
        return Ok(SendResult { id, entry, result });
    }
    let mut last_error = "the site lists no entries".to_owned();
    for entry in entries {
        let id = call::new_request_id(&entry.incarnation);
        match send_to_entry(args, client, &entry, &id, spec, on_event).await {
            // Nothing was sent, so another entry may receive the request under a new id.
            Err(NotSent(message)) => {
                output::warn(&message);
                last_error = message;
            }
            result => return send_result(id, entry, result),
        }
    }
    Err(Error::failed(format!(
        "no entry could be reached: {last_error}"
    )))
}

/// Sends the request to one entry. After the timeout the outcome is unknown, and the caller still
/// prints the id, so that the outcome can be looked up later.
async fn send_to_entry(
    args: &SendArgs,
    client: &Client,
    entry: &Entry,
    id: &str,
    spec: &RequestSpec,
    on_event: &mut impl FnMut(&Event),
) -> Result<CallResult, NotSent> {
    let call = call::run(client, entry.address, id, spec, on_event);
    let result = tokio::time::timeout(args.timeout, call).await;
    result.unwrap_or_else(|_| {
        let timeout = humantime::format_duration(args.timeout);
        let reason = format!("no answer within {timeout}");
        Ok(CallResult::without_response(Outcome::Unknown, reason))
    })
}

fn send_result(
    id: String,
    entry: Entry,
    result: Result<CallResult, NotSent>,
) -> Result<SendResult, Error> {
    let result = result.map_err(|NotSent(message)| Error::failed(message))?;
    let entry = Some(entry);
    Ok(SendResult { id, entry, result })
}

fn print_result(args: &SendArgs, sent: &SendResult, streamed_text: String, out: Output) {
    let SendResult { id, entry, result } = sent;
    let body = String::from_utf8_lossy(&result.body);
    let served = result.outcome == Outcome::Served;
    if out.json {
        let response = match serde_json::from_str::<Value>(&body) {
            _ if result.events > 0 => streamed_text.into(),
            Ok(value) => value,
            Err(_) => body.as_ref().into(),
        };
        out.json(&json!({
            "request_id": id,
            "answered_request_id": result.response_request_id,
            "vm": entry.as_ref().map(|entry| &entry.vm),
            "entry": entry.as_ref().map(|entry| entry.address),
            "status": result.status,
            "outcome": result.outcome,
            "reason": result.reason,
            "whole": result.complete,
            "events": result.events,
            "resends": result.resends,
            "resumes": result.resumes,
            "answer": response,
        }));
        return;
    }
    if result.events > 0 {
        out.line("");
    } else if served && result.complete {
        let text = generated_text(&body).unwrap_or_else(|| body.into_owned());
        out.line(text.trim_end_matches('\n'));
    }
    let colour = if served { Colour::Green } else { Colour::Red };
    let mut line = format!(
        "outcome {}",
        out.paint_error(colour, result.outcome.label())
    );
    if !result.reason.is_empty() {
        line = format!("{line} ({})", result.reason);
    }
    if served && !result.complete {
        line.push_str(", but the response is incomplete");
    }
    output::print_stderr(&format!("request {id}"));
    output::print_stderr(&line);
    if result.resends + result.resumes > 0 {
        output::print_stderr(&format!(
            "resent {} times, resumed {} times",
            result.resends, result.resumes
        ));
    }
    if result
        .response_request_id
        .as_ref()
        .is_some_and(|other| other != id)
    {
        output::error("the response has another request id");
    }
    if args.id.is_some() && entry.is_none() {
        output::warn("no entry has the incarnation of the id, so nothing was sent");
    }
}

/// Text of a response or an event of a model; `None` if it has another form.
fn generated_text(data: &str) -> Option<String> {
    let value: Value = serde_json::from_str(data).ok()?;
    let choice = value.get("choices")?.get(0)?;
    let paths = ["/delta/content", "/message/content", "/text"];
    let mut texts = paths.iter().filter_map(|path| choice.pointer(path));
    texts.next()?.as_str().map(str::to_owned)
}
