//! HTTP client with timeouts and size limits.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which an idle connection is kept. It is below the 60 s after which daemons close idle
/// connections by default.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest JSON document. The list of 1,300 entries has 160 KiB.
const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// Why a request got no response.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte was sent, because no connection could be opened or the request was invalid.
    NotSent(String),
    /// The request may have reached the server.
    MaybeSent(String),
}

impl SendError {
    pub(crate) fn message(&self) -> &str {
        match self {
            SendError::NotSent(message) | SendError::MaybeSent(message) => message,
        }
    }
}

/// An HTTP request without its address.
#[derive(Clone, Debug)]
pub(crate) struct RequestParts {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl RequestParts {
    pub(crate) fn get(path: impl Into<String>, headers: HeaderMap) -> Self {
        RequestParts {
            method: Method::GET,
            path: path.into(),
            headers,
            body: Bytes::new(),
        }
    }
}

/// Sends requests over pooled connections.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    pool: HyperClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let pool = HyperClient::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            // The module `call` decides on resends, because they must keep the request id.
            .retry_canceled_requests(false)
            .build(connector);
        Client { pool }
    }

    /// Sends a request and waits for the response head.
    pub(crate) async fn send(
        &self,
        to: SocketAddr,
        parts: &RequestParts,
        timeout: Duration,
    ) -> Result<Response<Incoming>, SendError> {
        let mut req = Request::builder()
            .method(parts.method.clone())
            .uri(format!("http://{to}{}", parts.path))
            .body(Full::new(parts.body.clone()))
            .map_err(|err| SendError::NotSent(format!("{}: {err}", parts.path)))?;
        *req.headers_mut() = parts.headers.clone();
        match tokio::time::timeout(timeout, self.pool.request(req)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(err)) if err.is_connect() => {
                Err(SendError::NotSent(format!("{to}: {}", root_cause(&err))))
            }
            Ok(Err(err)) => Err(SendError::MaybeSent(format!("{to}: {}", root_cause(&err)))),
            Err(_) => Err(SendError::MaybeSent(format!(
                "{to}: no answer within {}",
                humantime::format_duration(timeout)
            ))),
        }
    }

    /// Fetches a small JSON document. The error text starts with the address.
    pub(crate) async fn get_json<T: DeserializeOwned>(
        &self,
        from: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<T, String> {
        let mut headers = HeaderMap::new();
        let json = header::HeaderValue::from_static("application/json");
        headers.insert(header::ACCEPT, json);
        let parts = RequestParts::get(path, headers);
        let read = async {
            let response = self.send(from, &parts, timeout).await;
            let response = response.map_err(|err| err.message().to_owned())?;
            let status = response.status();
            if !status.is_success() {
                return Err(format!("{from}: GET {path} was answered with {status}"));
            }
            let body = read_body(response.into_body(), MAX_DOCUMENT_BYTES).await;
            body.map_err(|err| format!("{from}: GET {path}: {err}"))
        };
        let body = tokio::time::timeout(timeout, read).await.map_err(|_| {
            let timeout = humantime::format_duration(timeout);
            format!("{from}: no answer within {timeout}")
        })??;
        serde_json::from_slice(&body)
            .map_err(|err| format!("{from}: GET {path}: unexpected response: {err}"))
    }
}

/// Reads a body of at most `max_bytes` bytes.
pub(crate) async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, String> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => {
            Err(format!("the response is larger than {max_bytes} bytes"))
        }
        Err(err) => Err(format!("the answer ended early: {err}")),
    }
}

/// The innermost source of an error, which names the failure of the connection.
fn root_cause(err: &dyn std::error::Error) -> String {
    let mut innermost = err;
    while let Some(source) = innermost.source() {
        innermost = source;
    }
    innermost.to_string()
}
