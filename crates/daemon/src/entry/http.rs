//! HTTP interface for callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use ::http::request::Parts;
use ::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::Router;
use axum::body::{Body, HttpBody};
use axum::extract::rejection::{PathRejection, QueryRejection};
use axum::extract::{Path, Query, Request, State};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use bytes::{Bytes, BytesMut};
use gateway::Buffered;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Frame, SizeHint};
use metrics::counter;
use serde::Deserialize;

use super::admit::{self, Job};
use super::response_buffer::{Chunk, Head, Reader, ResponseBuffer};
use super::run;
use super::table::{Lookup, RequestId, RequestRecord};
use crate::node::Node;
use crate::outcome::{Failure, ID_HEADER, OUTCOME_HEADER, Outcome, Refusal};

/// Router of the address for callers.
pub(crate) fn router(node: Arc<Node>) -> Router {
    Router::new()
        .route("/v1/entries", get(entries))
        .route("/v1/outcomes/{id}", get(outcome))
        .route("/v1/streams/{id}", get(resume))
        // Routes in the sheet can't have these paths.
        .method_not_allowed_fallback(async || refuse_without_id(Refusal::Route))
        .fallback(call)
        .with_state(node)
}

/// Seconds for which callers may cache the list of entries.
const ENTRIES_TTL: u64 = 5;

async fn entries(State(node): State<Arc<Node>>) -> Response {
    axum::Json(serde_json::json!({
        "ttl_seconds": ENTRIES_TTL,
        "entries": node.entries(),
    }))
    .into_response()
}

/// A request id in a path. The extractor fails on percent-escapes that are not UTF-8.
type IdPath = Result<Path<String>, PathRejection>;

const MALFORMED_ID: Refusal = Refusal::Malformed("the request id is malformed");

async fn outcome(State(node): State<Arc<Node>>, id: IdPath) -> Response {
    let Some(id) = id.ok().and_then(|Path(id)| RequestId::parse(&id).ok()) else {
        return refuse_without_id(MALFORMED_ID);
    };
    let known = if id.incarnation() == node.incarnation {
        node.outcome(id.as_str())
    } else {
        node.query_outcome(&id.name(), id.incarnation()).await
    };
    let (label, reason) = known.unwrap_or_else(|| ("unknown".into(), "unknown".into()));
    axum::Json(serde_json::json!({
        "request_id": id.as_str(),
        "outcome": label,
        "reason": reason,
    }))
    .into_response()
}

#[derive(Deserialize)]
struct ResumeQuery {
    #[serde(default)]
    offset: u64,
}

/// Resumes a stream. The caller needs a key of the workspace that the request runs for.
async fn resume(
    State(node): State<Arc<Node>>,
    id: IdPath,
    query: Result<Query<ResumeQuery>, QueryRejection>,
    headers: HeaderMap,
) -> Response {
    let Some(id) = id.ok().and_then(|Path(id)| RequestId::parse(&id).ok()) else {
        return refuse_without_id(MALFORMED_ID);
    };
    let Ok(Query(query)) = query else {
        let refusal = Refusal::Malformed("offset is not a whole number");
        return refuse(&node, refusal, &id);
    };
    let id = id.as_str();
    let Some(record) = node.with_table(|table| table.get(id)) else {
        return Outcome::Unknown.response(id);
    };
    if let Some(workspace) = &record.workspace
        && !admit::may_read(&node.sheet(), workspace, &headers)
    {
        // The request may have run, so the refusal must not claim that it did not.
        let outcome = Outcome::Refused(Refusal::Key);
        count_outcome(&outcome);
        return outcome.response_with(id, false);
    }
    let reader = record.buffer.reader(query.offset);
    respond(&node, &record.id, reader).await
}

async fn call(State(node): State<Arc<Node>>, req: Request) -> Response {
    let (parts, mut body) = req.into_parts();
    let response = check_and_run(&node, &parts, &mut body).await;
    if !parts.headers.contains_key(header::EXPECT) {
        discard_body(&node, body);
    }
    response
}

async fn check_and_run(node: &Arc<Node>, parts: &Parts, body: &mut Body) -> Response {
    let id = match admit::request_id(node, &parts.headers) {
        Ok(id) => id,
        Err(refusal) => return refuse_without_id(refusal),
    };
    if id.incarnation() != node.incarnation {
        return respond_to_foreign_id(node, &id).await;
    }
    let job = match admit::check_call(node, id.clone(), parts, body).await {
        Ok(job) => job,
        Err(refusal) => return refuse(node, refusal, &id),
    };
    match start_or_join(node, job) {
        Ok(reader) => respond(node, &id, reader).await,
        Err(Outcome::Refused(refusal)) => refuse(node, refusal, &id),
        Err(outcome) => {
            count_outcome(&outcome);
            outcome.response(id.as_str())
        }
    }
}

/// Most bytes of a refused call's body that are read after the response.
const MAX_DISCARD: usize = 1 << 20;

/// Reads the rest of a body in the background, up to a bound. A connection that is closed with
/// unread bytes is reset, and the caller may lose the response.
fn discard_body(node: &Node, body: Body) {
    if body.is_end_stream() {
        return;
    }
    let wait = node.settings.limits.header_timeout;
    tokio::spawn(async move {
        let mut body = Limited::new(body, MAX_DISCARD);
        let rest = async { while let Some(Ok(_)) = body.frame().await {} };
        let _ = tokio::time::timeout(wait, rest).await;
    });
}

/// Refuses a call without a valid request id.
fn refuse_without_id(refusal: Refusal) -> Response {
    let outcome = Outcome::Refused(refusal);
    count_outcome(&outcome);
    outcome.response("")
}

/// Refuses a call, without the claim that it did not run if an earlier call with the same id may
/// have run.
fn refuse(node: &Node, refusal: Refusal, id: &RequestId) -> Response {
    let outcome = Outcome::Refused(refusal);
    count_outcome(&outcome);
    log::debug!(
        "entry: request {} refused: {}",
        id.as_str(),
        outcome.reason()
    );
    let may_have_run = node.with_table(|table| table.may_have_run(id));
    outcome.response_with(id.as_str(), !may_have_run)
}

/// Counts an outcome that was decided without a run.
fn count_outcome(outcome: &Outcome) {
    counter!(
        "primrosechute_requests_total",
        "outcome" => outcome.label(),
        "reason" => outcome.reason(),
    )
    .increment(1);
}

/// Responds to a call whose id belongs to another incarnation, which this daemon must not dispatch.
async fn respond_to_foreign_id(node: &Node, id: &RequestId) -> Response {
    let known = node.query_outcome(&id.name(), id.incarnation()).await;
    let mut response = Outcome::Unknown.response(id.as_str());
    count_outcome(&Outcome::Unknown);
    if let Some((label, _)) = known
        && let Ok(value) = HeaderValue::from_str(&label)
    {
        response.headers_mut().insert(OUTCOME_HEADER, value);
    }
    response
}

/// Starts the run of a new request, or joins the run of a known one.
fn start_or_join(node: &Arc<Node>, job: Job) -> Result<Reader, Outcome> {
    let content_hash = job.content_hash();
    let workspace = job.workspace().cloned();
    let draining = !node.accepts_calls();
    let found = node.with_table(|table| {
        if draining && !table.is_used(&job.id) {
            return None;
        }
        Some(table.get_or_insert(&job.id, || RequestRecord {
            id: job.id.clone(),
            workspace: workspace.clone(),
            content_hash,
            buffer: Arc::new(ResponseBuffer::new(node.buffers.reserve())),
        }))
    });
    match found {
        None => Err(Outcome::Refused(Refusal::Draining)),
        Some(Lookup::New(record)) => {
            let reader = record.buffer.reader(0);
            tokio::spawn(run::run(Arc::clone(node), job, record));
            Ok(reader)
        }
        Some(Lookup::Known(record)) => {
            if record.content_hash != content_hash || record.workspace != workspace {
                return Err(Outcome::Refused(Refusal::Malformed(
                    "the request id was used for another request",
                )));
            }
            log::info!(
                "entry: request {} was resent and joins its run",
                job.id.as_str()
            );
            Ok(record.buffer.reader(0))
        }
        Some(Lookup::Unknown) => Err(Outcome::Unknown),
    }
}

/// Builds the response to a caller from the response of the run.
async fn respond(node: &Arc<Node>, id: &RequestId, mut reader: Reader) -> Response {
    let head = match reader.buffer().head().await {
        Ok(head) => head,
        Err(outcome) => return outcome.response(id.as_str()),
    };
    if head.events {
        let body = Body::from_stream(event_stream(Arc::clone(node), id.clone(), reader));
        return response_from_head(&head, id, None, body);
    }
    let mut body = BytesMut::new();
    let mut reserved = node.buffers.reserve();
    loop {
        match reader.next_chunk().await {
            Chunk::Bytes(bytes) if !reserved.grow(bytes.len()) => {
                return Outcome::Failed(Failure::ResponseTooLarge).response(id.as_str());
            }
            Chunk::Bytes(bytes) => body.extend_from_slice(&bytes),
            Chunk::End(outcome) => {
                let body = BufferedBody(Buffered::new(body.freeze(), reserved));
                return response_from_head(&head, id, Some(&outcome), Body::new(body));
            }
        }
    }
}

/// A complete body that counts towards the buffers of the process until the connection has taken it.
struct BufferedBody(Buffered);

impl HttpBody for BufferedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = self.0.next_piece();
        Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(u64::try_from(self.0.len()).unwrap_or(u64::MAX))
    }
}

fn response_from_head(
    head: &Head,
    id: &RequestId,
    outcome: Option<&Outcome>,
    body: Body,
) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers.clone();
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        response.headers_mut().insert(ID_HEADER, value);
    }
    // The outcome of a stream is not known yet; its last event or an error event shows it.
    let label = outcome.map_or("streaming", Outcome::label);
    response
        .headers_mut()
        .insert(OUTCOME_HEADER, HeaderValue::from_static(label));
    if head.events {
        response
            .headers_mut()
            .insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        *response.status_mut() = StatusCode::OK;
    }
    response
}

/// Body of a stream: the events, keepalive comments while none arrive, and an error event if the
/// response is incomplete.
fn event_stream(
    node: Arc<Node>,
    id: RequestId,
    mut reader: Reader,
) -> impl futures_util::Stream<Item = Result<Bytes, Infallible>> {
    const KEEPALIVE: &[u8] = b": keepalive\n\n";
    async_stream::stream! {
        let keepalive = node.settings.timing.keepalive;
        loop {
            match tokio::time::timeout(keepalive, reader.next_chunk()).await {
                Ok(Chunk::Bytes(bytes)) => yield Ok(bytes),
                Ok(Chunk::End(Outcome::Served)) => break,
                Ok(Chunk::End(outcome)) => {
                    let problem = outcome.problem(id.as_str());
                    yield Ok(Bytes::from(format!("event: error\ndata: {problem}\n\n")));
                    break;
                }
                Err(_) => yield Ok(Bytes::from_static(KEEPALIVE)),
            }
        }
    }
}
