use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode};
use hyper::body::Incoming;
use tokio::sync::watch;

use crate::http_util;
use crate::server::{ConnControl, HttpResponse, Server};

/// Maximum size of a value in bytes. The platform has the same limit.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Maximum time for which a watch waits.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// Fault of the configuration service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConfigServiceFault {
    /// Serves the latest value.
    #[default]
    None,
    /// Serves the latest value whose revision is at most this one.
    Stale(u64),
    /// Accepts calls and does not respond while the fault is set.
    Hang,
}

#[derive(Default)]
struct State {
    sheets: BTreeMap<u64, Bytes>,
    fault: ConfigServiceFault,
}

impl State {
    /// Revision and value that readers get under the current fault.
    fn visible(&self) -> Option<(u64, Bytes)> {
        let limit = match self.fault {
            ConfigServiceFault::None | ConfigServiceFault::Hang => u64::MAX,
            ConfigServiceFault::Stale(revision) => revision,
        };
        let (revision, value) = self.sheets.range(..=limit).next_back()?;
        Some((*revision, value.clone()))
    }
}

struct Shared {
    state: watch::Sender<State>,
    calls: AtomicU64,
    waiting: watch::Sender<usize>,
}

/// Stand-in for the configuration service: stores the sheet and serves reads and watches of it.
pub struct ConfigService {
    server: Arc<Server>,
    shared: Arc<Shared>,
}

impl ConfigService {
    /// Starts the service on `addr`, without a sheet.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    #[expect(clippy::unused_async, reason = "needs a running tokio runtime")]
    pub async fn start(addr: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: watch::Sender::new(State::default()),
            calls: AtomicU64::new(0),
            waiting: watch::Sender::new(0),
        });
        let state = Arc::clone(&shared);
        let server = Server::start(addr, move |req, _: ConnControl| {
            handle(Arc::clone(&state), req)
        })?;
        Ok(Self { server, shared })
    }

    /// Address that the service listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Publishes a sheet and wakes the watches that are waiting for it.
    ///
    /// # Panics
    /// Panics if the value is larger than 1 MiB, the platform's limit.
    pub fn publish(&self, revision: u64, csv: impl Into<Bytes>) {
        let csv = csv.into();
        assert!(
            csv.len() <= MAX_VALUE_BYTES,
            "the sheet is larger than 1 MiB"
        );
        self.shared.state.send_modify(|state| {
            state.sheets.insert(revision, csv);
        });
    }

    /// Sets the fault. It applies to waiting watches immediately.
    pub fn set_fault(&self, fault: ConfigServiceFault) {
        self.shared.state.send_modify(|state| state.fault = fault);
    }

    /// Number of calls so far. A watch counts once, no matter how long it waits.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }

    /// Number of watches that are currently waiting.
    #[must_use]
    pub fn waiting_watches(&self) -> usize {
        *self.shared.waiting.borrow()
    }

    /// Waits until at least `n` watches are waiting.
    pub async fn wait_for_watches(&self, n: usize) {
        let mut rx = self.shared.waiting.subscribe();
        // Never fails: the sender lives as long as `self`.
        let _ = rx.wait_for(|waiting| *waiting >= n).await;
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

    /// Serves again on the same port, with the same sheets.
    ///
    /// # Errors
    /// Returns an error if the service can't listen on the port.
    pub fn restart(&self) -> io::Result<()> {
        self.server.restart()
    }
}

impl Drop for ConfigService {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> HttpResponse {
    shared.calls.fetch_add(1, Ordering::Relaxed);
    if req.uri().path() != "/v1/values/sheet" {
        return http_util::error_response(StatusCode::NOT_FOUND, "no such value");
    }
    if req.method() != Method::GET {
        return http_util::error_response(StatusCode::METHOD_NOT_ALLOWED, "values are read-only");
    }
    let query = req.uri().query();
    let after = http_util::query_param(query, "after").map(str::parse::<u64>);
    let wait = http_util::query_param(query, "wait").map(http_util::parse_duration);
    let (after, wait) = match (after.transpose(), wait) {
        (Ok(after), None) => (after.unwrap_or(0), Duration::ZERO),
        (Ok(after), Some(Some(wait))) => (after.unwrap_or(0), wait.min(MAX_WAIT)),
        (Err(_), _) => {
            return http_util::error_response(StatusCode::BAD_REQUEST, "`after` is not a number");
        }
        (_, Some(None)) => {
            return http_util::error_response(StatusCode::BAD_REQUEST, "`wait` is not a duration");
        }
    };
    read_value(&shared, after, wait).await
}

async fn read_value(shared: &Shared, after: u64, wait: Duration) -> HttpResponse {
    let _waiting = (!wait.is_zero()).then(|| WaitingGuard::new(&shared.waiting));
    let mut rx = shared.state.subscribe();
    let newer = rx.wait_for(|state| {
        state.fault != ConfigServiceFault::Hang
            && state
                .visible()
                .is_some_and(|(revision, _)| revision > after)
    });
    let found = tokio::time::timeout(wait, newer)
        .await
        .ok()
        .and_then(Result::ok)
        .and_then(|state| state.visible());
    if let Some((revision, csv)) = found {
        let mut res = http_util::response_with_body(StatusCode::OK, "text/csv", Body::from(csv));
        res.headers_mut()
            .insert("x-revision", HeaderValue::from(revision));
        return res;
    }
    // While the service hangs, it sends neither a value nor a `204` when the wait is over.
    let _ = rx
        .wait_for(|state| state.fault != ConfigServiceFault::Hang)
        .await;
    let unpublished = shared.state.borrow().sheets.is_empty();
    if after == 0 && wait.is_zero() && unpublished {
        return http_util::error_response(StatusCode::NOT_FOUND, "no sheet has been published");
    }
    http_util::empty_response(StatusCode::NO_CONTENT)
}

/// Counts a watch as waiting until it is dropped.
struct WaitingGuard<'a>(&'a watch::Sender<usize>);

impl<'a> WaitingGuard<'a> {
    fn new(count: &'a watch::Sender<usize>) -> Self {
        count.send_modify(|n| *n += 1);
        Self(count)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.send_modify(|n| *n -= 1);
    }
}
