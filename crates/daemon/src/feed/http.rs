//! Reads small values from the platform over HTTP.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use metrics::counter;
use tokio::time::timeout;

use crate::target::{Connection, control_request};

/// Twice the largest value that the platform holds.
const MAX_VALUE: usize = 2 << 20;

/// Longest error text in a log line, in characters. An error may repeat what the platform sent.
const MAX_REASON: usize = 200;

/// A response of the platform.
#[derive(Debug)]
pub(super) struct PlatformResponse {
    pub(super) status: u16,
    /// Value of `x-revision`.
    pub(super) revision: Option<u64>,
    pub(super) body: Bytes,
}

/// Why a value can't be read.
#[derive(Clone, Debug)]
pub(super) enum ReadError {
    Connect,
    Timeout,
    Broken,
    TooLarge,
    Status(u16),
    Malformed(String),
}

impl ReadError {
    fn label(&self) -> &'static str {
        match self {
            ReadError::Connect => "connect",
            ReadError::Timeout => "timeout",
            ReadError::Broken => "broken",
            ReadError::TooLarge => "too_large",
            ReadError::Status(_) => "status",
            ReadError::Malformed(_) => "malformed",
        }
    }
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Connect => f.write_str("no connection"),
            ReadError::Timeout => f.write_str("no answer in time"),
            ReadError::Broken => f.write_str("the answer broke off or is not HTTP"),
            ReadError::TooLarge => write!(f, "the answer has more than {MAX_VALUE} bytes"),
            ReadError::Status(status) => write!(f, "the answer has status {status}"),
            ReadError::Malformed(reason) => write!(f, "{reason:.MAX_REASON$}"),
        }
    }
}

/// Reports failed reads of one value: counts each, and logs one line per change of the reason.
#[derive(Debug)]
pub(super) struct ReadMonitor {
    /// Description of the value for log lines.
    subject: String,
    /// Value of the metric label `source`.
    source: &'static str,
    failing: Option<&'static str>,
}

impl ReadMonitor {
    pub(super) fn new(subject: String, source: &'static str) -> Self {
        ReadMonitor {
            subject,
            source,
            failing: None,
        }
    }

    pub(super) fn record(&mut self, err: Option<&ReadError>) {
        let failing = err.map(ReadError::label);
        if let Some(reason) = failing {
            counter!(
                "primrosechute_platform_reads_failed_total",
                "source" => self.source,
                "reason" => reason,
            )
            .increment(1);
        }
        match err {
            _ if failing == self.failing => {}
            Some(err) => log::warn!("config: {} can't be read: {err}", self.subject),
            None => log::info!("config: {} is readable again", self.subject),
        }
        self.failing = failing;
    }
}

/// Reads one value.
pub(super) async fn get(
    address: SocketAddr,
    path: &str,
    wait: Duration,
) -> Result<PlatformResponse, ReadError> {
    let call = async {
        let connection = Connection::open(address, wait).await;
        let mut connection = connection.map_err(|_| ReadError::Connect)?;
        let req = control_request(Method::GET, address, path).map_err(|_| ReadError::Broken)?;
        let response = connection.send(req).await.map_err(|_| ReadError::Broken)?;
        let status = response.status().as_u16();
        let revision = response.headers().get("x-revision");
        let revision = revision.and_then(|value| value.to_str().ok()?.parse().ok());
        let body = Limited::new(response.into_body(), MAX_VALUE)
            .collect()
            .await;
        let body = body.map_err(|err| {
            if err.is::<LengthLimitError>() {
                ReadError::TooLarge
            } else {
                ReadError::Broken
            }
        })?;
        Ok(PlatformResponse {
            status,
            revision,
            body: body.to_bytes(),
        })
    };
    timeout(wait, call).await.unwrap_or(Err(ReadError::Timeout))
}
