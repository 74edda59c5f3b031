//! Follows another member that reads the store.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::feed::{Connection, FeedError, FeedRequest, FeedResponse};
use crate::transfer::Progress;

/// Client of one reader at a time.
#[derive(Default)]
pub(crate) struct FeedClient {
    conn: Option<(SocketAddr, Connection)>,
    /// Counts the bytes of the responses as they are received.
    progress: Progress,
}

impl FeedClient {
    pub(crate) fn progress(&self) -> Progress {
        self.progress.clone()
    }

    /// Waits for changes as requested. The response has to begin within `response_timeout` after
    /// the requested wait, and must not stall for longer. After a failure, or if this
    /// future is dropped, the connection is not used again: a late response could be taken for the
    /// next one.
    pub(crate) async fn watch(
        &mut self,
        reader: SocketAddr,
        req: &FeedRequest,
        response_timeout: Duration,
    ) -> Result<FeedResponse, FeedError> {
        let mut conn = match self.conn.take() {
            Some((address, conn)) if address == reader => conn,
            _ => self.connect(reader, response_timeout).await?,
        };
        let wait = Duration::from_millis(req.wait_ms.into());
        conn.send(req, response_timeout).await?;
        let response = conn
            .receive(wait + response_timeout, response_timeout)
            .await?;
        let response = response.ok_or(FeedError::Broken)?;
        self.conn = Some((reader, conn));
        Ok(response)
    }

    async fn connect(
        &self,
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Connection, FeedError> {
        let stream = timeout(connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| FeedError::Timeout)?
            .map_err(|_| FeedError::Broken)?;
        Ok(Connection::client(stream, self.progress()))
    }
}
