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
use super::controls::{Controls, Direction, until};

/// Bytes read at once.
const CHUNK: usize = 16 * 1024;

/// Pieces under way in one direction.
const QUEUE: usize = 64;

/// What one direction delivers.
enum Piece {
    Data(Bytes),
    End,
    Reset,
}

/// How a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    Closed,
    Reset,
}

/// Forwards one connection until both sides have ended or it is cut.
pub(crate) async fn run(
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
                shared.refused.notify_one();
            }
            let _ = caller.set_zero_linger();
            return;
        }
    };
    let mut cut = controls.clone();
    let ended = tokio::select! {
        // The wait fails when the proxy is dropped, which cuts as well.
        _ = until(&mut cut, |c| id < c.cut_before) => Ended::Reset,
        ended = forward(id, &mut caller, &mut upstream, &controls, shared) => ended,
    };
    if ended == Ended::Reset {
        let _ = caller.set_zero_linger();
        let _ = upstream.set_zero_linger();
    }
}

/// Connects to the upstream once the proxy passes bytes.
///
/// A cut during the connect takes effect after it, since a dropped connect would close the
/// upstream's end in an orderly way.
async fn connect(id: u64, controls: &mut watch::Receiver<Controls>) -> io::Result<TcpStream> {
    let ready = |c: &Controls| c.passes(id, Direction::Up) || id < c.cut_before;
    until(controls, ready).await.map_err(io::Error::other)?;
    let now = *controls.borrow();
    if id < now.cut_before {
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
) -> Ended {
    let (caller_read, caller_write) = caller.split();
    let (upstream_read, upstream_write) = upstream.split();
    let (up_tx, up_rx) = mpsc::channel(QUEUE);
    let (down_tx, down_rx) = mpsc::channel(QUEUE);
    let flow = |side, total| Flow {
        id,
        side,
        controls: controls.clone(),
        total,
    };
    let read = async {
        tokio::join!(
            flow(Direction::Up, &shared.bytes_up).read(caller_read, up_tx),
            flow(Direction::Down, &shared.bytes_down).read(upstream_read, down_tx),
        );
        // Once both ends are gone, a silent connection has nothing left to wait for.
        let mut controls = controls.clone();
        let _ = until(&mut controls, |c| c.is_silent(id)).await;
    };
    let write = async {
        tokio::try_join!(
            flow(Direction::Up, &shared.bytes_up).write(upstream_write, up_rx),
            flow(Direction::Down, &shared.bytes_down).write(caller_write, down_rx),
        )
    };
    tokio::select! {
        () = read => Ended::Closed,
        ended = write => ended.map_or_else(|ended| ended, |_| Ended::Closed),
    }
}

/// One direction of one connection.
struct Flow<'a> {
    id: u64,
    side: Direction,
    controls: watch::Receiver<Controls>,
    total: &'a AtomicU64,
}

impl Flow<'_> {
    /// Reads pieces and stamps them with the time they are due.
    async fn read(self, from: ReadHalf<'_>, tx: mpsc::Sender<(Instant, Piece)>) {
        let mut buf = BytesMut::new();
        loop {
            let piece = match read_piece(&from, &mut buf).await {
                Ok(data) if data.is_empty() => Piece::End,
                Ok(data) => Piece::Data(data),
                Err(_) => Piece::Reset,
            };
            let last = !matches!(piece, Piece::Data(_));
            let (latency, silent) = {
                let controls = self.controls.borrow();
                (
                    controls.link(self.side).latency,
                    controls.is_silent(self.id),
                )
            };
            // The bytes of a silent connection are lost, so that its ends can still be seen.
            if !silent
                && self
                    .send(&tx, (Instant::now() + latency, piece))
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

    /// Queues a piece unless the connection goes silent while the queue is full.
    async fn send(
        &self,
        tx: &mpsc::Sender<(Instant, Piece)>,
        piece: (Instant, Piece),
    ) -> Result<(), Ended> {
        let mut controls = self.controls.clone();
        tokio::select! {
            sent = tx.send(piece) => sent.map_err(|_| Ended::Closed),
            _ = until(&mut controls, |c| c.is_silent(self.id)) => Ok(()),
        }
    }

    /// Delivers pieces when they are due.
    async fn write(
        mut self,
        mut to: WriteHalf<'_>,
        mut rx: mpsc::Receiver<(Instant, Piece)>,
    ) -> Result<(), Ended> {
        let mut written = 0;
        let mut free_at = Instant::now();
        loop {
            let Some((due, piece)) = rx.recv().await else {
                // The reader lost its last piece when the connection went silent.
                self.passes(self.side).await?;
                return Err(Ended::Reset);
            };
            wait_until(due.max(free_at)).await;
            self.passes(self.side).await?;
            let mut data = match piece {
                Piece::Data(data) => data,
                Piece::End => return to.shutdown().await.map_err(|_| Ended::Reset),
                Piece::Reset => return Err(Ended::Reset),
            };
            let link = self.controls.borrow().link(self.side);
            if let Some(limit) = link.close_after_bytes {
                let left = usize::try_from(limit.saturating_sub(written)).unwrap_or(usize::MAX);
                data.truncate(left);
            }
            let sent = to.write_all(&data).await;
            let len = data.len() as u64;
            written += len;
            self.total.fetch_add(len, Ordering::Relaxed);
            if sent.is_err() {
                // The news of the broken end travels against this direction.
                self.passes(self.side.other()).await?;
                return Err(Ended::Reset);
            }
            if link.close_after_bytes.is_some_and(|limit| written >= limit) {
                return Err(Ended::Closed);
            }
            if let Some(rate) = link.bytes_per_second {
                free_at = free_at.max(Instant::now()) + transfer_time(len, rate);
            }
        }
    }

    async fn passes(&mut self, side: Direction) -> Result<(), Ended> {
        let id = self.id;
        let passes = until(&mut self.controls, |c| c.passes(id, side)).await;
        passes.map_err(|_| Ended::Reset)
    }
}

/// Reads what is there. Holds no buffer while it waits, so that idle connections are cheap.
async fn read_piece(from: &ReadHalf<'_>, buf: &mut BytesMut) -> io::Result<Bytes> {
    loop {
        from.readable().await?;
        buf.reserve(CHUNK);
        match from.try_read_buf(buf) {
            Ok(_) => return Ok(buf.split().freeze()),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => *buf = BytesMut::new(),
            Err(e) => return Err(e),
        }
    }
}

async fn wait_until(at: Instant) {
    if at > Instant::now() {
        tokio::time::sleep_until(at).await;
    }
}

fn transfer_time(bytes: u64, rate: u64) -> Duration {
    Duration::from_nanos(bytes.saturating_mul(1_000_000_000) / rate.max(1))
}
