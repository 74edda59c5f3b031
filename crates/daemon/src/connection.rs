//! Serves one HTTP connection.

use std::error::Error;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use axum::Router;
use axum::response::Response;
use http::Request;
use hyper::body::Incoming;
use hyper::service::Service;
use hyper_util::service::{TowerToHyperService, TowerToHyperServiceFuture};
use metrics::counter;

/// The service of one connection, which records that a request has arrived.
#[derive(Clone)]
pub(crate) struct FirstRequestService {
    inner: TowerToHyperService<Router>,
    request_received: Arc<AtomicBool>,
}

impl FirstRequestService {
    /// Returns the service and the flag that it sets with the first request.
    pub(crate) fn new(router: Router) -> (Self, Arc<AtomicBool>) {
        let request_received = Arc::<AtomicBool>::default();
        let flag = Arc::clone(&request_received);
        let inner = TowerToHyperService::new(router);
        (
            FirstRequestService {
                inner,
                request_received,
            },
            flag,
        )
    }
}

impl Service<Request<Incoming>> for FirstRequestService {
    type Response = Response;
    type Error = std::convert::Infallible;
    type Future = TowerToHyperServiceFuture<Router, Request<Incoming>>;

    fn call(&self, req: Request<Incoming>) -> Self::Future {
        self.request_received.store(true, Ordering::Relaxed);
        self.inner.call(req)
    }
}

/// Serves a connection to its end, and closes it if its first request does not arrive in time.
///
/// hyper starts its header timeout only when the first bytes have shown the protocol version, and
/// has none for HTTP/2, so that a silent connection would stay open forever.
pub(crate) async fn run(
    connection: impl Future<Output = Result<(), Box<dyn Error + Send + Sync>>>,
    request_received: Arc<AtomicBool>,
    wait: Duration,
) {
    let mut connection = std::pin::pin!(connection);
    let first = tokio::select! {
        ended = &mut connection => Some(ended),
        () = tokio::time::sleep(wait) => None,
    };
    let ended = match first {
        Some(ended) => ended,
        None if request_received.load(Ordering::Relaxed) => connection.await,
        None => return failed(HEADER_TIMEOUT),
    };
    if let Err(err) = ended {
        failed(reason(&*err));
    }
}

/// Label of a connection whose next request head did not arrive in time.
const HEADER_TIMEOUT: &str = "header_timeout";

fn failed(reason: &'static str) {
    counter!("primrosechute_connections_failed_total", "reason" => reason).increment(1);
    log::debug!("entry: connection failed: {reason}");
}

/// Label of a connection's error. The text of the error could repeat what the caller sent.
fn reason(err: &(dyn Error + Send + Sync + 'static)) -> &'static str {
    match err.downcast_ref::<hyper::Error>() {
        Some(err) if err.is_timeout() => HEADER_TIMEOUT,
        Some(err) if err.is_parse_too_large() => "header_too_large",
        Some(err) if err.is_parse() => "malformed",
        Some(err) if err.is_incomplete_message() => "ended_early",
        _ => "broken",
    }
}
