//! Small HTTP reads from the platform.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use tokio::time::timeout;

use crate::target::Connection;

/// Largest value that the platform holds, with some room for its headers' worth of growth.
const MAX_VALUE: usize = 2 << 20;

/// An answer of the platform.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) body: Bytes,
}

/// Reads one value. `None` if the platform did not answer in time.
pub(super) async fn get(address: SocketAddr, path: &str, wait: Duration) -> Option<Answer> {
    let call = async {
        let mut connection = Connection::open(address, wait).await.ok()?;
        let req = Request::builder()
            .uri(path)
            .header(http::header::HOST, address.to_string())
            .body(Full::default())
            .ok()?;
        let response = connection.send(req).await.ok()?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_VALUE);
        let body = body.collect().await.ok()?.to_bytes();
        Some(Answer { status, body })
    };
    timeout(wait, call).await.ok().flatten()
}
