//! HTTP client for targets.
//!
//! Each request gets a connection of its own. If the target closed a pooled connection at the same
//! moment, it would not be known whether the request ran; a failed connect proves that it did not.
//! At the design scale a daemon opens about 50 connections a second.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use bytes::Bytes;
use http::header::TRANSFER_ENCODING;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use metrics::counter;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

/// Maximum size of the read buffer of a connection, and so of a response head.
const MAX_READ_BUFFER: usize = 16 << 10;

/// Why a connect to a target failed. No byte of a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectError {
    /// The port refuses connections, so the target's process is gone.
    Refused,
    /// The target can't be reached.
    Unreachable,
}

/// No usable response head arrived, although the request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoResponse;

/// Status codes of complete responses. Interim ones, from 100 to 199, are not the end of a response,
/// and the HTTP parser accepts codes up to 999, which callers can't interpret.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Longest wait for the end of a connection whose end is that of a response. A target that has closed
/// its side in order may read the rest of the request for longer.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// Tells how a connection ends whose end is that of a response. It is an extension of such a response.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionEnd(watch::Receiver<Option<bool>>);

impl ConnectionEnd {
    /// Whether the connection ended without an error. If the target closes it in order and then resets
    /// it, the response looks complete, and only the rest of the request, which can't be written, shows
    /// the reset.
    pub(crate) async fn is_in_order(&mut self) -> bool {
        let ended = timeout(END_TIMEOUT, self.0.wait_for(Option::is_some)).await;
        let is_in_order = ended.map_or(true, |ended| ended.is_ok_and(|ended| *ended == Some(true)));
        if !is_in_order {
            counter!("primrosechute_damaged_responses_total", "reason" => "reset").increment(1);
        }
        is_in_order
    }
}

/// An open connection for one request.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    end: ConnectionEnd,
}

impl Connection {
    pub(crate) async fn open(address: SocketAddr, wait: Duration) -> Result<Self, ConnectError> {
        let stream = match timeout(wait, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused => {
                return Err(ConnectError::Refused);
            }
            _ => return Err(ConnectError::Unreachable),
        };
        // Without this, small writes wait for delayed acknowledgements. Failure costs only time.
        let _ = stream.set_nodelay(true);
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|_| ConnectError::Unreachable)?;
        let (tx, rx) = watch::channel(None);
        tokio::spawn(async move { tx.send_replace(Some(connection.await.is_ok())) });
        Ok(Connection {
            sender,
            end: ConnectionEnd(rx),
        })
    }

    /// Sends the request. After this call it may have run.
    ///
    /// # Errors
    /// Fails if the connection breaks before the response head, or if that has no status of HTTP.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, NoResponse> {
        let response = self.sender.send_request(req).await;
        let mut response = response.map_err(|_| NoResponse)?;
        let has_length = response.body().size_hint().exact().is_some();
        if !has_length && !response.headers().contains_key(TRANSFER_ENCODING) {
            response.extensions_mut().insert(self.end.clone());
        }
        if FINAL_STATUSES.contains(&response.status().as_u16()) {
            return Ok(response);
        }
        counter!("primrosechute_damaged_responses_total", "reason" => "status").increment(1);
        Err(NoResponse)
    }
}

/// Builds a control request, which the daemon makes for itself and not for a caller. It has no
/// body.
pub(crate) fn control_request(
    method: Method,
    address: SocketAddr,
    path: &str,
) -> http::Result<Request<Full<Bytes>>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .body(Full::default())
}

impl Connection {
    /// Sends a control request and returns status and body.
    async fn control_call(
        mut self,
        address: SocketAddr,
        method: Method,
        path: &str,
    ) -> Option<(u16, Bytes)> {
        let req = control_request(method, address, path).ok()?;
        let response = self.send(req).await.ok()?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_CONTROL_RESPONSE);
        Some((status, body.collect().await.ok()?.to_bytes()))
    }
}

/// Result of a control request.
#[derive(Debug)]
pub(crate) enum ProbeResult {
    /// Status and body.
    Response(u16, Bytes),
    /// The port refuses connections, so the target's process is gone.
    Refused,
    /// No response arrived, so the state of the target is unknown.
    Silent,
}

/// Sends a control request and distinguishes a refused connection from other failures.
pub(crate) async fn probe(
    address: SocketAddr,
    method: Method,
    path: &str,
    wait: Duration,
) -> ProbeResult {
    let connection = match Connection::open(address, wait).await {
        Ok(connection) => connection,
        Err(ConnectError::Refused) => return ProbeResult::Refused,
        Err(ConnectError::Unreachable) => return ProbeResult::Silent,
    };
    let call = connection.control_call(address, method, path);
    match timeout(wait, call).await {
        Ok(Some((status, body))) => ProbeResult::Response(status, body),
        _ => ProbeResult::Silent,
    }
}

/// Largest response to a control request, in bytes.
const MAX_CONTROL_RESPONSE: usize = 64 << 10;

/// Sends a control request and returns status and body, if a response arrives in time.
pub(crate) async fn control_call(
    address: SocketAddr,
    method: Method,
    path: &str,
    wait: Duration,
) -> Option<(u16, Bytes)> {
    match probe(address, method, path, wait).await {
        ProbeResult::Response(status, body) => Some((status, body)),
        ProbeResult::Refused | ProbeResult::Silent => None,
    }
}
