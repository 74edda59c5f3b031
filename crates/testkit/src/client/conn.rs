use std::fmt;
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::call::Call;
use super::response::{ClientResponse, StreamingResponse};

/// Why a call received no response.
#[derive(Debug)]
pub enum ClientError {
    /// The connection could not be opened. The request was not sent.
    Connect(io::Error),
    /// The connection ended before the response headers arrived.
    ConnectionClosed(hyper::Error),
    /// The response headers did not arrive before the timeout.
    Timeout,
    /// The path, a header name or a header value is malformed.
    InvalidCall(http::Error),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(e) => write!(f, "connect: {e}"),
            Self::ConnectionClosed(e) => write!(f, "connection ended before the response: {e}"),
            Self::Timeout => f.write_str("timed out before the response headers"),
            Self::InvalidCall(e) => write!(f, "invalid call: {e}"),
        }
    }
}

impl std::error::Error for ClientError {}

/// A client for one address. It opens a new connection for each call.
///
/// ```no_run
/// # async fn example() -> Result<(), testkit::client::ClientError> {
/// use testkit::client::{Call, Client};
///
/// let client = Client::new("127.0.0.1:7001".parse().unwrap());
/// let body = r#"{"prompt":"hello","max_tokens":4,"stream":true}"#;
/// let response = client.call(Call::post("/v1/completions", body).key("secret")).await?;
/// assert!(response.status.is_success() && response.is_done());
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Client {
    addr: SocketAddr,
}

impl Client {
    /// Creates a client for `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    /// Opens a connection that can be used for several calls.
    ///
    /// # Errors
    /// Returns an error if the connection is refused or reset.
    pub async fn connect(&self) -> Result<Connection, ClientError> {
        let stream = TcpStream::connect(self.addr)
            .await
            .map_err(ClientError::Connect)?;
        let _ = stream.set_nodelay(true);
        let (tx, conn) = handshake(TokioIo::new(stream))
            .await
            .map_err(ClientError::ConnectionClosed)?;
        // A connection error also reaches the caller through the pending request or body.
        let task = tokio::spawn(async move {
            let _ = conn.await;
        });
        Ok(Connection {
            addr: self.addr,
            tx,
            task: task.abort_handle(),
        })
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    /// Returns an error if no response headers arrive. A body that breaks off is not an error here,
    /// see [`ClientResponse::error`].
    pub async fn call(&self, call: Call) -> Result<ClientResponse, ClientError> {
        Ok(self.call_streaming(call).await?.finish().await)
    }

    /// Sends a request and returns once the response headers have arrived.
    ///
    /// # Errors
    /// Returns an error if no response headers arrive.
    pub async fn call_streaming(&self, call: Call) -> Result<StreamingResponse, ClientError> {
        let start = Instant::now();
        let deadline = start + call.timeout;
        let work = async {
            let mut conn = self.connect().await?;
            let res = conn.send(&call).await?;
            Ok(StreamingResponse::new(res, start, deadline, Some(conn)))
        };
        tokio::time::timeout_at(deadline, work)
            .await
            .unwrap_or(Err(ClientError::Timeout))
    }
}

/// A connection for several consecutive calls. Dropping it closes the connection.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    tx: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Connection {
    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    /// Returns an error if no response headers arrive.
    pub async fn call(&mut self, call: Call) -> Result<ClientResponse, ClientError> {
        Ok(self.call_streaming(call).await?.finish().await)
    }

    /// Sends a request and returns once the response headers have arrived.
    ///
    /// # Errors
    /// Returns an error if no response headers arrive.
    pub async fn call_streaming(&mut self, call: Call) -> Result<StreamingResponse, ClientError> {
        let start = Instant::now();
        let deadline = start + call.timeout;
        let res = tokio::time::timeout_at(deadline, self.send(&call))
            .await
            .unwrap_or(Err(ClientError::Timeout))?;
        Ok(StreamingResponse::new(res, start, deadline, None))
    }

    /// Whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }

    async fn send(&mut self, call: &Call) -> Result<Response<Incoming>, ClientError> {
        let req = call
            .to_request(self.addr)
            .map_err(ClientError::InvalidCall)?;
        self.tx
            .ready()
            .await
            .map_err(ClientError::ConnectionClosed)?;
        self.tx
            .send_request(req)
            .await
            .map_err(ClientError::ConnectionClosed)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
