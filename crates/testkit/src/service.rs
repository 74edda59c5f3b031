use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde_json::json;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::http_util::{self, Headers};
use crate::server::{ConnControl, HttpResponse, Server};

/// Fault that a plain service applies to every call while it is set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServiceFault {
    /// Responds immediately.
    #[default]
    None,
    /// Responds after a delay.
    Delay(Duration),
    /// Resets the connection after reading the request headers, before reading the body.
    ResetBeforeBody,
    /// Resets the connection after reading the whole request and recording the call.
    ResetAfterBody,
    /// Closes the connection after half of the response body.
    CloseMidAnswer,
    /// Records the call and never responds.
    Silent,
}

/// A call that a plain service received including its whole body.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Value of `x-request-id`, empty when absent.
    pub request_id: String,
    /// Method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// All headers.
    pub headers: Headers,
    /// XXH3 hash of the body.
    pub body_hash: u64,
    /// Length of the body in bytes.
    pub body_len: usize,
}

#[derive(Default)]
struct Recorded {
    calls: Vec<ServiceCall>,
    counts: BTreeMap<String, u64>,
}

struct State {
    recorded: Mutex<Recorded>,
    fault: Mutex<ServiceFault>,
    /// Number of recorded calls. A watch channel, so that tests can wait for it.
    total: watch::Sender<u64>,
}

/// Stand-in for a plain service. It responds to any method and path and counts calls per request
/// id.
///
/// ```no_run
/// # async fn example() -> std::io::Result<()> {
/// let service = testkit::PlainService::start("127.0.0.1:0".parse().unwrap()).await?;
/// service.set_fault(testkit::ServiceFault::ResetAfterBody);
/// assert_eq!(service.call_count("some-request-id"), 0);
/// # Ok(())
/// # }
/// ```
pub struct PlainService {
    server: Arc<Server>,
    state: Arc<State>,
}

impl PlainService {
    /// Starts the service on `addr`.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    #[expect(clippy::unused_async, reason = "needs a running tokio runtime")]
    pub async fn start(addr: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(State {
            recorded: Mutex::default(),
            fault: Mutex::default(),
            total: watch::Sender::new(0),
        });
        let shared = Arc::clone(&state);
        let server = Server::start(addr, move |req, conn| {
            handle(Arc::clone(&shared), req, conn)
        })?;
        Ok(Self { server, state })
    }

    /// Address that the service listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets the fault for all calls that arrive from now on.
    pub fn set_fault(&self, fault: ServiceFault) {
        *self.state.fault.lock() = fault;
    }

    /// All calls received so far.
    #[must_use]
    pub fn calls(&self) -> Vec<ServiceCall> {
        self.state.recorded.lock().calls.clone()
    }

    /// Number of calls received with `request_id`.
    #[must_use]
    pub fn call_count(&self, request_id: &str) -> u64 {
        let recorded = self.state.recorded.lock();
        recorded.counts.get(request_id).copied().unwrap_or(0)
    }

    /// Number of calls received, per request id.
    #[must_use]
    pub fn call_counts(&self) -> BTreeMap<String, u64> {
        self.state.recorded.lock().counts.clone()
    }

    /// Waits until at least `n` calls have been received.
    pub async fn wait_for_calls(&self, n: u64) {
        let mut rx = self.state.total.subscribe();
        // Never fails: the sender lives as long as `self`.
        let _ = rx.wait_for(|total| *total >= n).await;
    }

    /// Number of connections accepted so far.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.server.accepted()
    }

    /// Resets all connections and refuses new ones until [`restart`](Self::restart).
    pub async fn crash(&self) {
        self.server.crash().await;
    }

    /// Refuses new connections, finishes responses in progress for a short time, then closes the
    /// remaining connections.
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Serves again on the same port. Recorded calls are kept.
    ///
    /// # Errors
    /// Returns an error if the service can't listen on the port.
    pub fn restart(&self) -> io::Result<()> {
        self.server.restart()
    }
}

impl Drop for PlainService {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn handle(state: Arc<State>, req: Request<Incoming>, conn: ConnControl) -> HttpResponse {
    let fault = *state.fault.lock();
    if fault == ServiceFault::ResetBeforeBody {
        return conn.reset_and_wait().await;
    }
    let (head, body) = req.into_parts();
    let Ok(body) = body.collect().await else {
        return conn.reset_and_wait().await;
    };
    let body = body.to_bytes();
    let call = ServiceCall {
        request_id: http_util::header_value(&head.headers, "x-request-id").unwrap_or_default(),
        method: head.method.to_string(),
        path: head.uri.to_string(),
        headers: http_util::header_list(&head.headers),
        body_hash: xxh3_64(&body),
        body_len: body.len(),
    };
    let echo = record(&state, call);
    match fault {
        ServiceFault::None | ServiceFault::ResetBeforeBody => {}
        ServiceFault::Delay(delay) => tokio::time::sleep(delay).await,
        ServiceFault::ResetAfterBody => return conn.reset_and_wait().await,
        ServiceFault::CloseMidAnswer => return truncated_response(&echo),
        ServiceFault::Silent => std::future::pending().await,
    }
    http_util::json_response(StatusCode::OK, &echo)
}

/// Records the call and returns the response body, which echoes the call's properties.
fn record(state: &State, call: ServiceCall) -> serde_json::Value {
    let mut recorded = state.recorded.lock();
    let count = recorded.counts.entry(call.request_id.clone()).or_default();
    *count += 1;
    let echo = json!({
        "request_id": call.request_id,
        "count": *count,
        "total": recorded.calls.len() + 1,
        "method": call.method,
        "path": call.path,
        "body_hash": format!("{:016x}", call.body_hash),
        "body_len": call.body_len,
    });
    recorded.calls.push(call);
    state.total.send_modify(|total| *total += 1);
    echo
}

/// Sends the full `content-length` but only half of the body, then closes the connection.
fn truncated_response(echo: &serde_json::Value) -> HttpResponse {
    let text = echo.to_string();
    let first_half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let broken_end = async {
        // Yields once, so that the connection writes the first half before it sees the error.
        tokio::task::yield_now().await;
        Err(io::Error::other("fault: response truncated"))
    };
    let parts = stream::once(async { Ok(first_half) }).chain(stream::once(broken_end));
    let mut res =
        http_util::response_with_body(StatusCode::OK, "application/json", Body::from_stream(parts));
    res.headers_mut()
        .insert(http::header::CONTENT_LENGTH, text.len().into());
    res
}
