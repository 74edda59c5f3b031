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

/// Why a call got no answer.
#[derive(Debug)]
pub enum ClientError {
    /// No connection; the request was not sent.
    Connect(io::Error),
    /// The connection ended before the answer's headers.
    ConnectionClosed(hyper::Error),
    /// The headers of the answer did not come in time.
    Timeout,
    /// A header name, value or the path is malformed.
    InvalidCall(http::Error),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(e) => write!(f, "connect: {e}"),
            Self::ConnectionClosed(e) => write!(f, "connection ended before the answer: {e}"),
            Self::Timeout => f.write_str("no answer in time"),
            Self::InvalidCall(e) => write!(f, "malformed call: {e}"),
        }
    }
}

impl std::error::Error for ClientError {}

/// A client of one address. Each call uses a connection of its own.
///
/// ```no_run
/// # async fn example() -> Result<(), testkit::client::ClientError> {
/// use testkit::client::{Call, Client};
///
/// let client = Client::new("127.0.0.1:7001".parse().unwrap());
/// let body = r#"{"prompt":"hello","max_tokens":4,"stream":true}"#;
/// let answer = client.call(Call::post("/v1/completions", body).key("secret")).await?;
/// assert!(answer.status.is_success() && answer.is_done());
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Client {
    addr: SocketAddr,
}

impl Client {
    /// A client of `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    /// Opens a connection for several calls.
    ///
    /// # Errors
    /// The connection is refused or reset.
    pub async fn connect(&self) -> Result<Connection, ClientError> {
        let stream = TcpStream::connect(self.addr)
            .await
            .map_err(ClientError::Connect)?;
        let _ = stream.set_nodelay(true);
        let (tx, conn) = handshake(TokioIo::new(stream))
            .await
            .map_err(ClientError::ConnectionClosed)?;
        // The error of the connection reaches the caller through its request or body.
        let task = tokio::spawn(async move {
            let _ = conn.await;
        });
        Ok(Connection {
            addr: self.addr,
            tx,
            task: task.abort_handle(),
        })
    }

    /// Sends a call and reads the whole answer.
    ///
    /// # Errors
    /// No headers of an answer came. A body that breaks off is no error, see [`Answer::error`].
    pub async fn call(&self, call: Call) -> Result<ClientResponse, ClientError> {
        Ok(self.call_streaming(call).await?.finish().await)
    }

    /// Sends a call and returns once the headers of the answer are there.
    ///
    /// # Errors
    /// No headers of an answer came.
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

/// A connection kept open over several calls, one after the other. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    tx: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Connection {
    /// Sends a call and reads the whole answer.
    ///
    /// # Errors
    /// No headers of an answer came.
    pub async fn call(&mut self, call: Call) -> Result<ClientResponse, ClientError> {
        Ok(self.call_streaming(call).await?.finish().await)
    }

    /// Sends a call and returns once the headers of the answer are there.
    ///
    /// # Errors
    /// No headers of an answer came.
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
