//! Starting and stopping the daemon.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use axum::Router;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use sheet::{Settings, Sheet, SheetSource};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::BootClock;
use crate::connection::{self, FirstRequestService};
use crate::entry::{self, random_incarnation};
use crate::node::Node;
use crate::{admin, feed, fleet, owner, peer, shares};

/// Why the daemon does not start.
#[derive(Debug)]
pub enum StartError {
    /// An address can't be used.
    Bind {
        /// Use of the address, as its setting names it, or `echo target` in the demo.
        role: &'static str,
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        err: io::Error,
    },
    /// The sheet file is rejected; the text names file, row and column.
    Sheet(String),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Bind { role, address, err } => {
                write!(f, "cannot listen on the {role} address {address}: {err}")
            }
            StartError::Sheet(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for StartError {}

/// A started daemon.
pub struct Daemon {
    node: Arc<Node>,
    entry: SocketAddr,
    stop: oneshot::Sender<()>,
    stopped: oneshot::Receiver<()>,
}

impl fmt::Debug for Daemon {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Daemon")
            .field("entry", &self.entry)
            .finish_non_exhaustive()
    }
}

impl Daemon {
    /// Starts all roles.
    ///
    /// # Errors
    /// Fails if an address can't be used or the sheet file is rejected.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let metrics = metrics_recorder();
        let sheet = match &settings.sheet {
            SheetSource::File(path) => Some(feed::read_file(path).map_err(StartError::Sheet)?),
            SheetSource::Service(_) => None,
        };
        let entry_listener = bind("entry", settings.entry).await?;
        let admin_listener = bind("admin", settings.admin).await?;
        let peer_listener = match settings.peer {
            Some(address) => Some(bind("peer", address).await?),
            None => None,
        };
        let entry = entry_listener.local_addr().unwrap_or(settings.entry);
        let vm_list = settings.vm_list;
        let (handle, rx) = owner::Handle::channel();
        let incarnation = random_incarnation();
        let node = Arc::new(Node::new(
            settings,
            incarnation,
            Box::new(BootClock),
            handle,
        ));
        owner::start(Arc::clone(&node), rx);
        log::info!(
            "config: {} starts as incarnation {incarnation}",
            node.settings.vm
        );
        if let Some(sheet) = sheet {
            node.apply_sheet(sheet);
        }
        tokio::spawn(feed::follow_sheet(Arc::clone(&node)));
        tokio::spawn(feed::poll_load(Arc::clone(&node)));
        if let Some(address) = vm_list {
            tokio::spawn(feed::poll_list(Arc::clone(&node), address));
        }
        if let Some(listener) = peer_listener {
            tokio::spawn(peer::serve(Arc::clone(&node), listener));
        }
        tokio::spawn(watch_pauses(Arc::clone(&node)));
        tokio::spawn(send_digests(Arc::clone(&node)));
        tokio::spawn(shares::run(Arc::clone(&node)));
        tokio::spawn(fleet::run(Arc::clone(&node)));
        let (stop, stop_rx) = oneshot::channel();
        let (stopped_tx, stopped) = oneshot::channel();
        let limits = HttpLimits::of(&node);
        let admin_router = admin::router(Arc::clone(&node), metrics);
        let router = entry::router(Arc::clone(&node));
        tokio::spawn(serve_http(
            admin_listener,
            admin_router,
            limits.clone(),
            None,
        ));
        tokio::spawn(serve_http(
            entry_listener,
            router,
            limits,
            Some((stop_rx, stopped_tx)),
        ));
        Ok(Daemon {
            node,
            entry,
            stop,
            stopped,
        })
    }

    /// Address for callers.
    #[must_use]
    pub fn entry(&self) -> SocketAddr {
        self.entry
    }

    /// Applies a checked sheet if it is newer. Returns whether it was applied.
    pub(crate) fn apply_sheet(&self, sheet: Sheet) -> bool {
        self.node.apply_sheet(sheet)
    }

    /// Reads the sheet file again.
    ///
    /// # Errors
    /// Returns the reason, with file, row and column, if the new sheet is rejected; then the old
    /// one stays active.
    pub fn reload(&self) -> Result<bool, String> {
        match &self.node.settings.sheet {
            SheetSource::File(path) => match feed::read_file(path) {
                Ok(sheet) => Ok(self.node.apply_sheet(sheet)),
                Err(text) => {
                    let errors = text.lines().map(ToOwned::to_owned);
                    let hash = xxh3_64(text.as_bytes());
                    self.node.rejected.set("invalid", None, hash, errors);
                    Err(text)
                }
            },
            SheetSource::Service(_) => Ok(false),
        }
    }

    /// Waits until the VM list marks this VM as leaving.
    pub async fn leaving(&self) {
        let mut leaving = self.node.leaving();
        // Fails only if the node is dropped, which `self` prevents.
        let _ = leaving.wait_for(|leaving| *leaving).await;
    }

    /// Stops accepting calls, finishes running requests, and returns when all have ended. When the
    /// drain time is over, callers of the others learn that these may have run.
    pub async fn drain(self) {
        self.node.drain();
        log::info!("entry: draining {} requests", self.node.running());
        let drain = self.node.settings.timing.drain;
        let deadline = Instant::now() + drain;
        let node = Arc::clone(&self.node);
        let done = async {
            while node.running() > 0 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            shares::give_parts_away(&node).await;
        };
        if tokio::time::timeout(drain, done).await.is_err() {
            log::warn!(
                "entry: the drain time is over with {} requests running",
                self.node.running()
            );
            self.node.with_table(|table| table.end_running());
        }
        // Fails only if the server has ended already.
        let _ = self.stop.send(());
        let left = deadline.saturating_duration_since(Instant::now());
        let _ = tokio::time::timeout(left.max(FLUSH_TIME), self.stopped).await;
    }
}

/// The process-wide metrics recorder; several daemons in one process share it.
fn metrics_recorder() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE
        .get_or_init(|| {
            let recorder = PrometheusBuilder::new().build_recorder();
            let handle = recorder.handle();
            // Fails only if another recorder is installed; then that one is used.
            let _ = metrics::set_global_recorder(recorder);
            handle
        })
        .clone()
}

async fn bind(role: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|err| StartError::Bind { role, address, err })
}

/// Limits of the HTTP servers.
#[derive(Clone)]
struct HttpLimits {
    connections: Arc<Semaphore>,
    max_header: usize,
    header_timeout: Duration,
    idle_timeout: Duration,
}

impl HttpLimits {
    /// Smallest header buffer that the HTTP library accepts.
    const MIN_HEADER: usize = 8192;

    fn of(node: &Node) -> Self {
        let limits = &node.settings.limits;
        HttpLimits {
            connections: Arc::new(Semaphore::new(limits.max_connections)),
            max_header: limits.max_header.max(Self::MIN_HEADER),
            header_timeout: limits.header_timeout,
            idle_timeout: limits.idle_timeout,
        }
    }
}

/// Serves HTTP/1.1 and HTTP/2 until `stop` is signalled, then finishes open connections.
async fn serve_http(
    listener: TcpListener,
    router: Router,
    limits: HttpLimits,
    stop: Option<(oneshot::Receiver<()>, oneshot::Sender<()>)>,
) {
    let (mut stop, stopped) = match stop {
        Some((stop, stopped)) => (Some(stop), Some(stopped)),
        None => (None, None),
    };
    let graceful = GracefulShutdown::new();
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(limits.idle_timeout)
        .keep_alive_timeout(limits.header_timeout)
        .max_header_list_size(u32::try_from(limits.max_header).unwrap_or(u32::MAX));
    loop {
        let Ok(permit) = Arc::clone(&limits.connections).acquire_owned().await else {
            break;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_stop(&mut stop) => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("entry: accept failed: {err}");
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let (service, request_received) = FirstRequestService::new(router.clone());
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection.into_owned());
        let wait = limits.header_timeout;
        tokio::spawn(async move {
            connection::run(connection, request_received, wait).await;
            drop(permit);
        });
    }
    drop(listener);
    graceful.shutdown().await;
    if let Some(stopped) = stopped {
        let _ = stopped.send(());
    }
}

async fn wait_for_stop(stop: &mut Option<oneshot::Receiver<()>>) {
    match stop {
        Some(stop) => {
            let _ = stop.await;
        }
        None => std::future::pending().await,
    }
}

/// Shortest time for the last responses to be sent and the connections to be closed.
const FLUSH_TIME: Duration = Duration::from_secs(1);

/// Interval of clock checks. A gap between two of them shows that the process was paused.
const PAUSE_TICK: Duration = Duration::from_millis(50);

/// Gap that counts as a pause. A busy machine delays a tick by less than this.
const PAUSE_GAP: Duration = Duration::from_secs(1);

async fn watch_pauses(node: Arc<Node>) {
    let mut tick = interval(PAUSE_TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = node.now();
    loop {
        tick.tick().await;
        let now = node.now();
        let gap = now.saturating_sub(last);
        if gap > PAUSE_GAP {
            node.on_pause(gap);
        }
        last = now;
    }
}

/// Sends digests as often as heartbeats.
async fn send_digests(node: Arc<Node>) {
    let mut tick = interval(node.settings.timing.heartbeat);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        node.send_digests().await;
    }
}
