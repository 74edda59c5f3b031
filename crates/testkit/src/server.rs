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

/// How long `stop` waits for responses in progress before it closes their connections.
const STOP_GRACE: Duration = Duration::from_secs(1);

pub(crate) type HttpResponse = Response<Body>;
type Handler =
    dyn Fn(Request<Incoming>, ConnControl) -> BoxFuture<'static, HttpResponse> + Send + Sync;

/// Handle for resetting the connection on which a request arrived.
#[derive(Clone, Debug)]
pub(crate) struct ConnControl {
    reset: Arc<AtomicBool>,
    closed: CancellationToken,
}

impl ConnControl {
    /// Resets the connection, so that the client gets an error instead of an end of stream.
    pub(crate) fn reset(&self) {
        self.reset.store(true, Ordering::Release);
        self.closed.cancel();
    }

    /// Resets the connection and never returns. For handlers that must not send a response.
    pub(crate) async fn reset_and_wait(&self) -> HttpResponse {
        self.reset();
        std::future::pending().await
    }
}

/// An HTTP/1.1 server that can crash and restart on the same port.
pub(crate) struct Server {
    port: ReservedPort,
    handler: Box<Handler>,
    accepted: AtomicU64,
    run: Mutex<Option<ServerRun>>,
}

/// State of a server from a start to the next stop or crash.
struct ServerRun {
    /// Stops accepting and drops all connections immediately.
    abort: CancellationToken,
    /// Stops accepting and finishes responses in progress.
    drain: CancellationToken,
    /// Set before `abort` so that connections are reset instead of closed.
    reset: Arc<AtomicBool>,
    tasks: TaskTracker,
}

impl Server {
    /// Binds `addr` and serves it with `handler`.
    pub(crate) fn start<F, R>(addr: SocketAddr, handler: F) -> io::Result<Arc<Self>>
    where
        F: Fn(Request<Incoming>, ConnControl) -> R + Send + Sync + 'static,
        R: Future<Output = HttpResponse> + Send + 'static,
    {
        let server = Arc::new(Self {
            port: ReservedPort::reserve(addr)?,
            handler: Box::new(move |req, conn| handler(req, conn).boxed()),
            accepted: AtomicU64::new(0),
            run: Mutex::new(None),
        });
        server.restart()?;
        Ok(server)
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.port.addr()
    }

    /// Number of connections accepted so far, over all restarts.
    pub(crate) fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Serves again after a stop or a crash. Does nothing while the server is running.
    pub(crate) fn restart(self: &Arc<Self>) -> io::Result<()> {
        let mut run = self.run.lock();
        if run.is_some() {
            return Ok(());
        }
        let listener = self.port.listen()?;
        let new_run = ServerRun {
            abort: CancellationToken::new(),
            drain: CancellationToken::new(),
            reset: Arc::new(AtomicBool::new(false)),
            tasks: TaskTracker::new(),
        };
        new_run.tasks.spawn(accept(
            Arc::clone(self),
            listener,
            new_run.abort.clone(),
            new_run.drain.clone(),
            Arc::clone(&new_run.reset),
            new_run.tasks.clone(),
        ));
        *run = Some(new_run);
        Ok(())
    }

    /// Resets all connections and refuses new ones. Returns once the port is closed.
    pub(crate) async fn crash(&self) {
        let run = self.run.lock().take();
        if let Some(run) = run {
            run.reset.store(true, Ordering::Release);
            run.abort.cancel();
            run.tasks.close();
            run.tasks.wait().await;
        }
    }

    /// Refuses new connections, waits up to `STOP_GRACE` for responses in progress, then closes the
    /// remaining connections.
    pub(crate) async fn stop(&self) {
        let run = self.run.lock().take();
        if let Some(run) = run {
            run.drain.cancel();
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

    /// Cancels all tasks without waiting for them to end.
    pub(crate) fn abort(&self) {
        if let Some(run) = self.run.lock().take() {
            run.abort.cancel();
        }
    }
}

async fn accept(
    server: Arc<Server>,
    listener: TcpListener,
    abort: CancellationToken,
    drain: CancellationToken,
    reset: Arc<AtomicBool>,
    tasks: TaskTracker,
) {
    loop {
        let accepted = tokio::select! {
            () = abort.cancelled() => return,
            () = drain.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            // An `accept` error concerns a single connection or is temporary (too many open files).
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        server.accepted.fetch_add(1, Ordering::Relaxed);
        let _ = stream.set_nodelay(true);
        tasks.spawn(serve(
            Arc::clone(&server),
            stream,
            abort.clone(),
            drain.clone(),
            Arc::clone(&reset),
        ));
    }
}

async fn serve(
    server: Arc<Server>,
    stream: TcpStream,
    abort: CancellationToken,
    drain: CancellationToken,
    reset_all: Arc<AtomicBool>,
) {
    let conn = ConnControl {
        reset: Arc::new(AtomicBool::new(false)),
        closed: CancellationToken::new(),
    };
    let io = ResettableStream {
        stream,
        reset: Arc::clone(&conn.reset),
        reset_all,
    };
    let closed = conn.closed.clone();
    let service = service_fn(move |req| {
        let response = (server.handler)(req, conn.clone());
        async move { Ok::<_, Infallible>(response.await) }
    });
    let mut connection = pin!(
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(io), service)
    );
    tokio::select! {
        () = abort.cancelled() => return,
        () = closed.cancelled() => return,
        _ = connection.as_mut() => return,
        () = drain.cancelled() => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        () = abort.cancelled() => {}
        () = closed.cancelled() => {}
        _ = connection.as_mut() => {}
    }
}

/// A TCP stream that sends a reset instead of a normal close when it is dropped with one of its
/// flags set.
struct ResettableStream {
    stream: TcpStream,
    reset: Arc<AtomicBool>,
    reset_all: Arc<AtomicBool>,
}

impl Drop for ResettableStream {
    fn drop(&mut self) {
        if self.reset.load(Ordering::Acquire) || self.reset_all.load(Ordering::Acquire) {
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for ResettableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ResettableStream {
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
