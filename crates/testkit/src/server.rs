use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use axum::body::Body;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::port::ReservedPort;

/// How long `stop` waits for answers in progress before it drops their connections.
const STOP_GRACE: Duration = Duration::from_secs(1);

pub(crate) type Answer = Response<Body>;
type Handler = dyn Fn(Request<Incoming>, Conn) -> BoxFuture<'static, Answer> + Send + Sync;

/// Control of the connection that a request came on.
#[derive(Clone, Debug)]
pub(crate) struct Conn {
    reset: Arc<AtomicBool>,
    closed: CancellationToken,
}

impl Conn {
    /// Resets the connection; the caller reads an error instead of an end.
    pub(crate) fn reset(&self) {
        self.reset.store(true, Ordering::Release);
        self.closed.cancel();
    }

    /// Resets the connection and never returns, for handlers that must not answer.
    pub(crate) async fn reset_and_wait(&self) -> Answer {
        self.reset();
        std::future::pending().await
    }
}

/// One HTTP/1.1 server that can crash and restart on its port.
pub(crate) struct Host {
    port: ReservedPort,
    handler: Box<Handler>,
    accepted: AtomicU64,
    run: Mutex<Option<Run>>,
}

/// One run of a server, from a start to its end.
struct Run {
    /// Ends accepting and drops connections at once.
    abort: CancellationToken,
    /// Ends accepting and finishes answers in progress.
    finish: CancellationToken,
    /// Set before `abort` to drop connections by a reset.
    reset: Arc<AtomicBool>,
    tasks: TaskTracker,
}

impl Host {
    /// Binds `addr` and serves it with `handler`.
    pub(crate) fn start<F, R>(addr: SocketAddr, handler: F) -> io::Result<Arc<Self>>
    where
        F: Fn(Request<Incoming>, Conn) -> R + Send + Sync + 'static,
        R: Future<Output = Answer> + Send + 'static,
    {
        let host = Arc::new(Self {
            port: ReservedPort::reserve(addr)?,
            handler: Box::new(move |req, conn| handler(req, conn).boxed()),
            accepted: AtomicU64::new(0),
            run: Mutex::new(None),
        });
        host.restart()?;
        Ok(host)
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.port.addr()
    }

    /// Number of connections accepted since the start.
    pub(crate) fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Starts to serve again after a stop or a crash; no effect while it serves.
    pub(crate) fn restart(self: &Arc<Self>) -> io::Result<()> {
        let mut run = self.run.lock();
        if run.is_some() {
            return Ok(());
        }
        let listener = self.port.listen()?;
        let next = Run {
            abort: CancellationToken::new(),
            finish: CancellationToken::new(),
            reset: Arc::new(AtomicBool::new(false)),
            tasks: TaskTracker::new(),
        };
        next.tasks.spawn(accept(
            Arc::clone(self),
            listener,
            next.abort.clone(),
            next.finish.clone(),
            Arc::clone(&next.reset),
            next.tasks.clone(),
        ));
        *run = Some(next);
        Ok(())
    }

    /// Resets all connections and refuses new ones; returns once the port is closed.
    pub(crate) async fn crash(&self) {
        let run = self.run.lock().take();
        if let Some(run) = run {
            run.reset.store(true, Ordering::Release);
            run.abort.cancel();
            run.tasks.close();
            run.tasks.wait().await;
        }
    }

    /// Refuses new connections, finishes answers for a short while, then closes the rest.
    pub(crate) async fn stop(&self) {
        let run = self.run.lock().take();
        if let Some(run) = run {
            run.finish.cancel();
            run.tasks.close();
            if tokio::time::timeout(STOP_GRACE, run.tasks.wait())
                .await
                .is_err()
            {
                run.abort.cancel();
                run.tasks.wait().await;
            }
        }
    }

    /// Ends all tasks without waiting for them.
    pub(crate) fn abort(&self) {
        if let Some(run) = self.run.lock().take() {
            run.abort.cancel();
        }
    }
}

async fn accept(
    host: Arc<Host>,
    listener: TcpListener,
    abort: CancellationToken,
    finish: CancellationToken,
    reset: Arc<AtomicBool>,
    tasks: TaskTracker,
) {
    loop {
        let accepted = tokio::select! {
            () = abort.cancelled() => return,
            () = finish.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            // Errors of `accept` belong to one connection or pass (too many open files).
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        host.accepted.fetch_add(1, Ordering::Relaxed);
        let _ = stream.set_nodelay(true);
        tasks.spawn(serve(
            Arc::clone(&host),
            stream,
            abort.clone(),
            finish.clone(),
            Arc::clone(&reset),
        ));
    }
}

async fn serve(
    host: Arc<Host>,
    stream: TcpStream,
    abort: CancellationToken,
    finish: CancellationToken,
    reset_all: Arc<AtomicBool>,
) {
    let conn = Conn {
        reset: Arc::new(AtomicBool::new(false)),
        closed: CancellationToken::new(),
    };
    let io = Guarded {
        stream,
        reset: Arc::clone(&conn.reset),
        reset_all,
    };
    let closed = conn.closed.clone();
    let service = service_fn(move |req| {
        let answer = (host.handler)(req, conn.clone());
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut served = pin!(
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(io), service)
    );
    tokio::select! {
        () = abort.cancelled() => return,
        () = closed.cancelled() => return,
        _ = served.as_mut() => return,
        () = finish.cancelled() => {}
    }
    served.as_mut().graceful_shutdown();
    tokio::select! {
        () = abort.cancelled() => {}
        () = closed.cancelled() => {}
        _ = served.as_mut() => {}
    }
}

/// A stream that is reset instead of closed when its flag is set at drop.
struct Guarded {
    stream: TcpStream,
    reset: Arc<AtomicBool>,
    reset_all: Arc<AtomicBool>,
}

impl Drop for Guarded {
    fn drop(&mut self) {
        if self.reset.load(Ordering::Acquire) || self.reset_all.load(Ordering::Acquire) {
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for Guarded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
