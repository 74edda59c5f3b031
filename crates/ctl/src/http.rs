//! HTTP client with bounded times and sizes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;

/// Time to open a connection.
const CONNECT_WAIT: Duration = Duration::from_secs(2);
/// Time for which an idle connection is kept. Daemons close theirs after 60 s by default.
const IDLE: Duration = Duration::from_secs(20);
/// Largest answer to a small request for a JSON document. The list of 1,300 entries has 160 KiB.
const MAX_DOCUMENT: usize = 1 << 20;

/// Why a request got no answer.
#[derive(Debug)]
pub(crate) enum NoAnswer {
    /// No connection could be opened, so that no byte was sent.
    NotSent(String),
    /// The request may have arrived.
    Broken(String),
}

impl NoAnswer {
    pub(crate) fn text(&self) -> &str {
        match self {
            NoAnswer::NotSent(text) | NoAnswer::Broken(text) => text,
        }
    }
}

/// What is sent, apart from the address.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Message {
    pub(crate) fn get(path: impl Into<String>, headers: HeaderMap) -> Self {
        Message {
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
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Client {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_WAIT));
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE)
            // Whether to send again is decided where the request id is known.
            .retry_canceled_requests(false)
            .build(connector);
        Client { pool }
    }

    /// Sends a message and waits for the head of its answer.
    pub(crate) async fn send(
        &self,
        to: SocketAddr,
        message: &Message,
        wait: Duration,
    ) -> Result<Response<Incoming>, NoAnswer> {
        let mut req = Request::builder()
            .method(message.method.clone())
            .uri(format!("http://{to}{}", message.path))
            .body(Full::new(message.body.clone()))
            .map_err(|err| NoAnswer::NotSent(format!("{}: {err}", message.path)))?;
        *req.headers_mut() = message.headers.clone();
        match tokio::time::timeout(wait, self.pool.request(req)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(err)) if err.is_connect() => {
                Err(NoAnswer::NotSent(format!("{to}: {}", cause(&err))))
            }
            Ok(Err(err)) => Err(NoAnswer::Broken(format!("{to}: {}", cause(&err)))),
            Err(_) => Err(NoAnswer::Broken(format!(
                "{to}: no answer within {}",
                humantime::format_duration(wait)
            ))),
        }
    }

    /// Reads a small JSON document. The error starts with the address.
    pub(crate) async fn document<T: DeserializeOwned>(
        &self,
        from: SocketAddr,
        path: &str,
        wait: Duration,
    ) -> Result<T, String> {
        let mut headers = HeaderMap::new();
        let json = header::HeaderValue::from_static("application/json");
        headers.insert(header::ACCEPT, json);
        let message = Message::get(path, headers);
        let read = async {
            let response = self.send(from, &message, wait).await;
            let response = response.map_err(|err| err.text().to_owned())?;
            let status = response.status();
            if !status.is_success() {
                return Err(format!("{from}: GET {path} was answered with {status}"));
            }
            let body = body(response.into_body(), MAX_DOCUMENT).await;
            body.map_err(|err| format!("{from}: GET {path}: {err}"))
        };
        let body = tokio::time::timeout(wait, read).await.map_err(|_| {
            let wait = humantime::format_duration(wait);
            format!("{from}: no answer within {wait}")
        })??;
        serde_json::from_slice(&body)
            .map_err(|err| format!("{from}: GET {path}: the answer is not as expected: {err}"))
    }
}

/// Reads a body of at most `most` bytes.
pub(crate) async fn body(body: Incoming, most: usize) -> Result<Bytes, String> {
    match Limited::new(body, most).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => {
            Err(format!("the answer is larger than {most} bytes"))
        }
        Err(err) => Err(format!("the answer ended early: {err}")),
    }
}

/// The last cause of an error, which names the fault of the connection.
fn cause(err: &dyn std::error::Error) -> String {
    let mut last = err;
    while let Some(source) = last.source() {
        last = source;
    }
    last.to_string()
}
