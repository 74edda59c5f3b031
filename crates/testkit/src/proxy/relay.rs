use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::Shared;
use super::controls::{Controls, Direction, wait_for_controls};

/// Buffer space reserved for each read, in bytes.
const READ_SIZE: usize = 16 * 1024;

/// Maximum number of queued chunks per direction.
const QUEUE_CAPACITY: usize = 64;

/// A unit of traffic in one direction.
enum Chunk {
    Data(Bytes),
    End,
    Reset,
}

/// How a connection is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseKind {
    Closed,
    Reset,
}

/// Forwards a connection until both directions have ended or it is reset.
pub(crate) async fn relay_connection(
    id: u64,
    mut caller: TcpStream,
    mut controls: watch::Receiver<Controls>,
    shared: &Shared,
) {
    let _ = caller.set_nodelay(true);
    let mut upstream = match connect(id, &mut controls).await {
        Ok(stream) => stream,
        Err(e) => {
            if e.kind() == io::ErrorKind::ConnectionRefused {
                shared.upstream_refused.notify_one();
            }
            let _ = caller.set_zero_linger();
            return;
        }
    };
    let mut reset_controls = controls.clone();
    let close_kind = tokio::select! {
        // The wait also ends, with an error, when the proxy is dropped. That resets as well.
        _ = wait_for_controls(&mut reset_controls, |c| id < c.reset_before) => CloseKind::Reset,
        close_kind = forward(id, &mut caller, &mut upstream, &controls, shared) => close_kind,
    };
    if close_kind == CloseKind::Reset {
        let _ = caller.set_zero_linger();
        let _ = upstream.set_zero_linger();
    }
}

/// Connects to the upstream once the proxy passes bytes towards it.
///
/// A reset requested while connecting takes effect afterwards: dropping the connection attempt
/// would close the upstream's end normally instead of resetting it.
async fn connect(id: u64, controls: &mut watch::Receiver<Controls>) -> io::Result<TcpStream> {
    let ready = |c: &Controls| c.passes(id, Direction::Up) || id < c.reset_before;
    wait_for_controls(controls, ready)
        .await
        .map_err(io::Error::other)?;
    let now = *controls.borrow();
    if id < now.reset_before {
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    let stream = TcpStream::connect(now.upstream).await?;
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

async fn forward(
    id: u64,
    caller: &mut TcpStream,
    upstream: &mut TcpStream,
    controls: &watch::Receiver<Controls>,
    shared: &Shared,
) -> CloseKind {
    let (caller_read, caller_write) = caller.split();
    let (upstream_read, upstream_write) = upstream.split();
    let (up_tx, up_rx) = mpsc::channel(QUEUE_CAPACITY);
    let (down_tx, down_rx) = mpsc::channel(QUEUE_CAPACITY);
    let direction_relay = |direction, forwarded_bytes| DirectionRelay {
        id,
        direction,
        controls: controls.clone(),
        forwarded_bytes,
    };
    let read = async {
        tokio::join!(
            direction_relay(Direction::Up, &shared.bytes_up).read(caller_read, up_tx),
            direction_relay(Direction::Down, &shared.bytes_down).read(upstream_read, down_tx),
        );
        // Both ends have closed or failed. A silent connection delivers nothing more, so it ends
        // here. Any other connection ends when the writers are done.
        let mut controls = controls.clone();
        let _ = wait_for_controls(&mut controls, |c| c.is_silent(id)).await;
    };
    let write = async {
        tokio::try_join!(
            direction_relay(Direction::Up, &shared.bytes_up).write(upstream_write, up_rx),
            direction_relay(Direction::Down, &shared.bytes_down).write(caller_write, down_rx),
        )
    };
    tokio::select! {
        () = read => CloseKind::Closed,
        result = write => result.map_or_else(|close_kind| close_kind, |_| CloseKind::Closed),
    }
}

/// Relay for one direction of a connection.
struct DirectionRelay<'a> {
    id: u64,
    direction: Direction,
    controls: watch::Receiver<Controls>,
    forwarded_bytes: &'a AtomicU64,
}

impl DirectionRelay<'_> {
    /// Reads chunks and queues each with the time at which it is due.
    async fn read(self, from: ReadHalf<'_>, tx: mpsc::Sender<(Instant, Chunk)>) {
        let mut buf = BytesMut::new();
        loop {
            let chunk = match read_chunk(&from, &mut buf).await {
                Ok(data) if data.is_empty() => Chunk::End,
                Ok(data) => Chunk::Data(data),
                Err(_) => Chunk::Reset,
            };
            let last = !matches!(chunk, Chunk::Data(_));
            let (latency, silent) = {
                let controls = self.controls.borrow();
                (
                    controls.settings(self.direction).latency,
                    controls.is_silent(self.id),
                )
            };
            // Chunks of a silent connection are discarded. Reading goes on, so that the end of the
            // connection is still noticed.
            if !silent
                && self
                    .send(&tx, (Instant::now() + latency, chunk))
                    .await
                    .is_err()
            {
                return;
            }
            if last {
                return;
            }
        }
    }

    /// Queues a chunk. Discards it if the connection becomes silent while the queue is full.
    async fn send(
        &self,
        tx: &mpsc::Sender<(Instant, Chunk)>,
        chunk: (Instant, Chunk),
    ) -> Result<(), CloseKind> {
        let mut controls = self.controls.clone();
        tokio::select! {
            sent = tx.send(chunk) => sent.map_err(|_| CloseKind::Closed),
            _ = wait_for_controls(&mut controls, |c| c.is_silent(self.id)) => Ok(()),
        }
    }

    /// Writes chunks when they are due.
    async fn write(
        mut self,
        mut to: WriteHalf<'_>,
        mut rx: mpsc::Receiver<(Instant, Chunk)>,
    ) -> Result<(), CloseKind> {
        let mut written = 0;
        let mut link_free_at = Instant::now();
        loop {
            let Some((due, chunk)) = rx.recv().await else {
                // The reader discarded its last chunk because the connection was silent.
                self.wait_until_passing(self.direction).await?;
                return Err(CloseKind::Reset);
            };
            sleep_until_due(due.max(link_free_at)).await;
            self.wait_until_passing(self.direction).await?;
            let mut data = match chunk {
                Chunk::Data(data) => data,
                Chunk::End => return to.shutdown().await.map_err(|_| CloseKind::Reset),
                Chunk::Reset => return Err(CloseKind::Reset),
            };
            let settings = self.controls.borrow().settings(self.direction);
            if let Some(limit) = settings.close_after_bytes {
                let left = usize::try_from(limit.saturating_sub(written)).unwrap_or(usize::MAX);
                data.truncate(left);
            }
            let sent = to.write_all(&data).await;
            let len = data.len() as u64;
            written += len;
            self.forwarded_bytes.fetch_add(len, Ordering::Relaxed);
            if sent.is_err() {
                // The write error is reported in the opposite direction, so it is held back while
                // that direction is.
                self.wait_until_passing(self.direction.opposite()).await?;
                return Err(CloseKind::Reset);
            }
            if settings
                .close_after_bytes
                .is_some_and(|limit| written >= limit)
            {
                return Err(CloseKind::Closed);
            }
            if let Some(rate) = settings.bytes_per_second {
                link_free_at = link_free_at.max(Instant::now()) + transfer_time(len, rate);
            }
        }
    }

    async fn wait_until_passing(&mut self, direction: Direction) -> Result<(), CloseKind> {
        let id = self.id;
        let passes = wait_for_controls(&mut self.controls, |c| c.passes(id, direction)).await;
        passes.map_err(|_| CloseKind::Reset)
    }
}

/// Reads the available bytes. Holds no buffer while it waits, so that idle connections use little
/// memory.
async fn read_chunk(from: &ReadHalf<'_>, buf: &mut BytesMut) -> io::Result<Bytes> {
    loop {
        from.readable().await?;
        buf.reserve(READ_SIZE);
        match from.try_read_buf(buf) {
            Ok(_) => return Ok(buf.split().freeze()),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => *buf = BytesMut::new(),
            Err(e) => return Err(e),
        }
    }
}

async fn sleep_until_due(at: Instant) {
    if at > Instant::now() {
        tokio::time::sleep_until(at).await;
    }
}

fn transfer_time(bytes: u64, rate: u64) -> Duration {
    Duration::from_nanos(bytes.saturating_mul(1_000_000_000) / rate.max(1))
}
