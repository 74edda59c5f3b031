use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::core::{Admission, Core};
use super::model::{OrderRecord, RunEnd};
use super::run::{self, GenerationRequest, Run};
use crate::http_util;
use crate::server::{ConnControl, HttpResponse};

/// The fields of a request body that affect the run.
#[derive(Deserialize)]
struct RequestFields {
    #[serde(default)]
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
}

pub(crate) async fn handle(
    core: Arc<Core>,
    req: Request<Incoming>,
    conn: ConnControl,
) -> HttpResponse {
    record_header_names(&core, &req);
    let mut stalled = core.stalled.subscribe();
    let _ = stalled.wait_for(|stalled| !stalled).await;
    if !core.stats.borrow().up {
        return conn.reset_and_wait().await;
    }
    let path = req.uri().path().to_owned();
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    match (req.method(), parts.as_slice()) {
        (&Method::POST, ["v1", "chat", "completions"]) => generate(&core, req, conn, true).await,
        (&Method::POST, ["v1", "completions"]) => generate(&core, req, conn, false).await,
        (&Method::GET, ["v1", "streams", id]) => resume(&core, id, req.uri().query(), conn),
        (&Method::DELETE, ["v1", "streams", id]) => cancel(&core, id),
        (&Method::GET, ["v1", "requests", id]) => request_state(&core, id),
        (&Method::GET, ["load"]) => load_report(&core),
        (&Method::GET, ["cache-events"]) => cache_events(&core, req.uri().query()),
        (&Method::POST, ["orders"]) => receive_order(&core, req, conn).await,
        _ => http_util::error_response(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn record_header_names(core: &Core, req: &Request<Incoming>) {
    let mut names = core.header_names.lock();
    for name in req.headers().keys() {
        if !names.contains(name.as_str()) {
            names.insert(name.as_str().to_owned());
        }
    }
}

async fn generate(
    core: &Core,
    req: Request<Incoming>,
    conn: ConnControl,
    chat: bool,
) -> HttpResponse {
    let (head, body) = req.into_parts();
    let Ok(body) = body.collect().await else {
        return conn.reset_and_wait().await;
    };
    let body = body.to_bytes();
    if core.state.lock().faults.unavailable {
        core.stats.send_modify(|stats| stats.unavailable += 1);
        return http_util::error_response(StatusCode::SERVICE_UNAVAILABLE, "overloaded");
    }
    let request = match parse_generation_request(core, &head, &body, chat) {
        Ok(request) => request,
        Err(e) => return http_util::error_response(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    let stream = request.stream;
    let headers = http_util::header_list(&head.headers);
    let run = match core.admit(request, head.uri.path(), headers, &body) {
        Admission::Run(run) => run,
        Admission::Down => return conn.reset_and_wait().await,
    };
    if stream {
        return event_stream(run, 0, conn);
    }
    match run.wait_for_end().await {
        Some(RunEnd::Complete) => http_util::json_response(StatusCode::OK, &run.full_response()),
        _ => conn.reset_and_wait().await,
    }
}

fn parse_generation_request(
    core: &Core,
    head: &http::request::Parts,
    body: &Bytes,
    chat: bool,
) -> serde_json::Result<GenerationRequest> {
    let fields: RequestFields = serde_json::from_slice(body)?;
    let requested_tokens = fields.max_tokens.unwrap_or(core.cfg.default_output_tokens);
    Ok(GenerationRequest {
        request_id: http_util::header_value(&head.headers, "x-request-id").unwrap_or_default(),
        chat,
        stream: fields.stream,
        model: fields.model,
        max_tokens: requested_tokens.clamp(1, core.cfg.max_output_tokens.max(1)),
        prompt_tokens: (body.len() as u64).div_ceil(4),
        body_hash: xxh3_64(body),
    })
}

fn event_stream(run: Arc<Run>, offset: u32, conn: ConnControl) -> HttpResponse {
    let body = run::event_stream_body(run, offset, conn);
    http_util::response_with_body(StatusCode::OK, "text/event-stream", body)
}

fn resume(core: &Core, id: &str, query: Option<&str>, conn: ConnControl) -> HttpResponse {
    let offset = http_util::query_param(query, "offset").map_or(Ok(0), str::parse);
    match (core.find(id), offset) {
        (_, Err(_)) => {
            http_util::error_response(StatusCode::BAD_REQUEST, "`offset` is not a number")
        }
        (None, _) => http_util::error_response(StatusCode::NOT_FOUND, "unknown request id"),
        (Some(run), Ok(offset)) if offset > run.event_count() => http_util::error_response(
            StatusCode::RANGE_NOT_SATISFIABLE,
            "`offset` is beyond the end of the stream",
        ),
        (Some(run), Ok(offset)) => event_stream(run, offset, conn),
    }
}

fn cancel(core: &Core, id: &str) -> HttpResponse {
    match core.cancel(id) {
        Some(RunEnd::Cancelled) => {
            http_util::json_response(StatusCode::OK, &json!({ "state": "cancelled" }))
        }
        Some(_) => http_util::json_response(StatusCode::OK, &json!({ "state": "done" })),
        None => http_util::error_response(StatusCode::NOT_FOUND, "unknown request id"),
    }
}

fn request_state(core: &Core, id: &str) -> HttpResponse {
    let state = match core.find(id) {
        Some(run) if run.progress.borrow().end.is_none() => "running",
        Some(_) => "done",
        None => "unknown",
    };
    http_util::json_response(StatusCode::OK, &json!({ "state": state }))
}

fn load_report(core: &Core) -> HttpResponse {
    match core.state.lock().load.delayed(Instant::now()) {
        Some(report) => http_util::json_response(StatusCode::OK, &report),
        None => http_util::error_response(StatusCode::SERVICE_UNAVAILABLE, "no load report yet"),
    }
}

fn cache_events(core: &Core, query: Option<&str>) -> HttpResponse {
    let Ok(after) = http_util::query_param(query, "after").map_or(Ok(0), str::parse) else {
        return http_util::error_response(StatusCode::BAD_REQUEST, "`after` is not a number");
    };
    let events = core.state.lock().events.after(after, Instant::now());
    http_util::json_response(StatusCode::OK, &json!({ "events": events }))
}

async fn receive_order(core: &Core, req: Request<Incoming>, conn: ConnControl) -> HttpResponse {
    let Ok(body) = req.into_body().collect().await else {
        return conn.reset_and_wait().await;
    };
    let mut order: OrderRecord = match serde_json::from_slice(&body.to_bytes()) {
        Ok(order) => order,
        Err(e) => return http_util::error_response(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    let mut state = core.state.lock();
    order.accepted = !core.cfg.check_fencing || order.fencing >= state.fencing;
    if order.accepted {
        state.fencing = state.fencing.max(order.fencing);
    }
    let accepted = order.accepted;
    state.orders.push(order);
    if accepted {
        http_util::json_response(StatusCode::OK, &json!({ "accepted": true }))
    } else {
        http_util::error_response(StatusCode::CONFLICT, "outdated fencing number")
    }
}
