use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::core::{Admitted, Core};
use super::model::{OrderRecord, RunEnd};
use super::run::{self, Ask, Run};
use crate::http_util;
use crate::server::{Answer, Conn};

/// The fields of a request body that change the run.
#[derive(Deserialize)]
struct Fields {
    #[serde(default)]
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
}

pub(crate) async fn handle(core: Arc<Core>, req: Request<Incoming>, conn: Conn) -> Answer {
    note_headers(&core, &req);
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
        (&Method::GET, ["v1", "requests", id]) => state(&core, id),
        (&Method::GET, ["load"]) => load(&core),
        (&Method::GET, ["cache-events"]) => cache_events(&core, req.uri().query()),
        (&Method::POST, ["orders"]) => order(&core, req, conn).await,
        _ => http_util::error(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn note_headers(core: &Core, req: &Request<Incoming>) {
    let mut names = core.header_names.lock();
    for name in req.headers().keys() {
        if !names.contains(name.as_str()) {
            names.insert(name.as_str().to_owned());
        }
    }
}

async fn generate(core: &Core, req: Request<Incoming>, conn: Conn, chat: bool) -> Answer {
    let (head, body) = req.into_parts();
    let Ok(body) = body.collect().await else {
        return conn.reset_and_wait().await;
    };
    let body = body.to_bytes();
    if core.state.lock().faults.unavailable {
        core.stats.send_modify(|stats| stats.unavailable += 1);
        return http_util::error(StatusCode::SERVICE_UNAVAILABLE, "overloaded");
    }
    let ask = match ask(core, &head, &body, chat) {
        Ok(ask) => ask,
        Err(e) => return http_util::error(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    let stream = ask.stream;
    let headers = http_util::headers(&head.headers);
    let run = match core.admit(ask, head.uri.path(), headers, &body) {
        Admitted::Run(run) => run,
        Admitted::Down => return conn.reset_and_wait().await,
    };
    if stream {
        return event_stream(run, 0, conn);
    }
    match run.ended().await {
        Some(RunEnd::Complete) => http_util::json(StatusCode::OK, &run.whole()),
        _ => conn.reset_and_wait().await,
    }
}

fn ask(
    core: &Core,
    head: &http::request::Parts,
    body: &Bytes,
    chat: bool,
) -> serde_json::Result<Ask> {
    let fields: Fields = serde_json::from_slice(body)?;
    let wanted = fields.max_tokens.unwrap_or(core.cfg.default_output_tokens);
    Ok(Ask {
        request_id: http_util::header(&head.headers, "x-request-id").unwrap_or_default(),
        chat,
        stream: fields.stream,
        model: fields.model,
        max_tokens: wanted.clamp(1, core.cfg.max_output_tokens.max(1)),
        prompt_tokens: (body.len() as u64).div_ceil(4),
        body_hash: xxh3_64(body),
    })
}

fn event_stream(run: Arc<Run>, offset: u32, conn: Conn) -> Answer {
    let body = run::body(run, offset, conn);
    http_util::with_body(StatusCode::OK, "text/event-stream", body)
}

fn resume(core: &Core, id: &str, query: Option<&str>, conn: Conn) -> Answer {
    let offset = http_util::query(query, "offset").map_or(Ok(0), str::parse);
    match (core.find(id), offset) {
        (_, Err(_)) => http_util::error(StatusCode::BAD_REQUEST, "`offset` is not a number"),
        (None, _) => http_util::error(StatusCode::NOT_FOUND, "unknown request id"),
        (Some(run), Ok(offset)) if offset > run.events() => http_util::error(
            StatusCode::RANGE_NOT_SATISFIABLE,
            "offset is behind the end",
        ),
        (Some(run), Ok(offset)) => event_stream(run, offset, conn),
    }
}

fn cancel(core: &Core, id: &str) -> Answer {
    match core.cancel(id) {
        Some(RunEnd::Cancelled) => {
            http_util::json(StatusCode::OK, &json!({ "state": "cancelled" }))
        }
        Some(_) => http_util::json(StatusCode::OK, &json!({ "state": "done" })),
        None => http_util::error(StatusCode::NOT_FOUND, "unknown request id"),
    }
}

fn state(core: &Core, id: &str) -> Answer {
    let state = match core.find(id) {
        Some(run) if run.progress.borrow().end.is_none() => "running",
        Some(_) => "done",
        None => "unknown",
    };
    http_util::json(StatusCode::OK, &json!({ "state": state }))
}

fn load(core: &Core) -> Answer {
    match core.state.lock().load.lagging(Instant::now()) {
        Some(report) => http_util::json(StatusCode::OK, &report),
        None => http_util::error(StatusCode::SERVICE_UNAVAILABLE, "no report yet"),
    }
}

fn cache_events(core: &Core, query: Option<&str>) -> Answer {
    let Ok(after) = http_util::query(query, "after").map_or(Ok(0), str::parse) else {
        return http_util::error(StatusCode::BAD_REQUEST, "`after` is not a number");
    };
    let events = core.state.lock().events.after(after, Instant::now());
    http_util::json(StatusCode::OK, &json!({ "events": events }))
}

async fn order(core: &Core, req: Request<Incoming>, conn: Conn) -> Answer {
    let Ok(body) = req.into_body().collect().await else {
        return conn.reset_and_wait().await;
    };
    let mut order: OrderRecord = match serde_json::from_slice(&body.to_bytes()) {
        Ok(order) => order,
        Err(e) => return http_util::error(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    let mut state = core.state.lock();
    order.accepted = !core.cfg.check_fencing || order.fencing >= state.fencing;
    if order.accepted {
        state.fencing = state.fencing.max(order.fencing);
    }
    let accepted = order.accepted;
    state.orders.push(order);
    if accepted {
        http_util::json(StatusCode::OK, &json!({ "accepted": true }))
    } else {
        http_util::error(StatusCode::CONFLICT, "old fencing number")
    }
}
