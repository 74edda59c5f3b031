//! Starts the process, and shuts it down without losing requests.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::adapter::{HttpDialect, SettingsSource, Store};
use crate::http_server::{self, Service};
use crate::node::Node;
use crate::{catalog_expiry, clock, crash_check, feed_server, peer_link, store_follower};

/// How the process ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was asked to stop and has shut down.
    Stopped,
    /// It could not start, for the given reason.
    Failed(String),
}

/// Callers cache a response of the directory and connect here until it expires.
const DIRECTORY_DRAIN_TIME: Duration = Duration::from_millis(2200);
/// Requests that are still running are answered this long before the process would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(800);
/// Time for the last responses to be sent.
const FLUSH_TIME: Duration = Duration::from_millis(150);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// A member that sees no other live member reads its settings again at this interval: the seeds may
/// have changed.
const SEED_RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Serves until SIGTERM or SIGINT. Runs on one thread, inside a `LocalSet`.
pub async fn run<S: Store + 'static>(
    source: impl SettingsSource + 'static,
    dialect: Box<dyn HttpDialect>,
    store: S,
) -> Outcome {
    // Handlers are installed first, so that a signal during the start does not kill the process.
    let mut signals = match Signals::new() {
        Ok(signals) => signals,
        Err(err) => return Outcome::Failed(format!("cannot listen for signals: {err}")),
    };
    match start(&source, dialect, store).await {
        Ok((node, close)) => {
            wait_for_stop(&node, &source, &mut signals).await;
            stop(&node, &close).await;
            Outcome::Stopped
        }
        Err(text) => Outcome::Failed(text),
    }
}

async fn start<S: Store + 'static>(
    source: &impl SettingsSource,
    dialect: Box<dyn HttpDialect>,
    store: S,
) -> Result<(Rc<Node>, watch::Sender<bool>), String> {
    let settings = source.read()?;
    let peer = SocketAddr::from((settings.ip, settings.peer_port));
    let socket = UdpSocket::bind(peer)
        .await
        .map_err(|err| format!("cannot listen on the peer address {peer}: {err}"))?;
    let node = Node::new(settings, dialect, socket);
    let settings = &node.settings;
    info!(
        "member: {} starts, incarnation {:016x}",
        settings.vm, node.incarnation
    );
    let (close, close_rx) = watch::channel(false);
    let mut listeners = vec![
        (settings.entry, Service::Callers),
        (settings.ready, Service::Ready),
    ];
    listeners.extend(
        settings
            .directory
            .map(|address| (address, Service::Directory)),
    );
    listeners.extend(settings.metrics.map(|address| (address, Service::Metrics)));
    for (address, service) in listeners {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|err| format!("cannot listen on {address} for {service:?}: {err}"))?;
        let task = http_server::serve(Rc::clone(&node), listener, service, close_rx.clone());
        tokio::task::spawn_local(task);
    }
    let listener = TcpListener::bind(peer)
        .await
        .map_err(|err| format!("cannot listen on {peer} for followers: {err}"))?;
    let task = feed_server::serve(Rc::clone(&node), listener, close_rx);
    tokio::task::spawn_local(task);
    tokio::task::spawn_local(store_follower::follow(Rc::clone(&node), store));
    tokio::task::spawn_local(catalog_expiry::run(Rc::clone(&node)));
    tokio::task::spawn_local(peer_link::receive_datagrams(Rc::clone(&node)));
    tokio::task::spawn_local(peer_link::run_heartbeats(Rc::clone(&node)));
    tokio::task::spawn_local(peer_link::poll_owner(Rc::clone(&node)));
    tokio::task::spawn_local(crash_check::run_left_checks(Rc::clone(&node)));
    Ok((node, close))
}

struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

async fn wait_for_stop(node: &Node, source: &impl SettingsSource, signals: &mut Signals) {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => return,
            _ = signals.interrupt.recv() => return,
            _ = signals.hangup.recv() => reload(node, source),
            () = sleep(SEED_RELOAD_INTERVAL) => {
                if node.membership.borrow().live_count(clock::now()) == 1 {
                    reload(node, source);
                }
            }
        }
    }
}

/// Applies new seeds from the settings. All other settings take effect at the next start.
fn reload(node: &Node, source: &impl SettingsSource) {
    match source.read() {
        Ok(settings) => {
            info!(
                "config: settings read again, {} seeds",
                settings.seeds.len()
            );
            node.membership.borrow_mut().set_seeds(settings.seeds);
        }
        Err(text) => warn!("config: reload failed, keeping the current settings: {text}"),
    }
}

/// Leaves the directory at once, serves requests that still arrive, and exits when none is left. At the
/// deadline the rest are answered: a caller that gets no answer can't tell what became of its request.
async fn stop(node: &Node, close: &watch::Sender<bool>) {
    let stop_started = Instant::now();
    let time = node.settings.shutdown_grace.saturating_sub(KILL_MARGIN);
    let deadline = stop_started + time;
    node.answer_by.send_replace(Some(clock::now() + time));
    node.stopping.send_replace(true);
    peer_link::send_heartbeat(node);
    info!("member: stopping with {} requests", node.serving.get());
    sleep(DIRECTORY_DRAIN_TIME.min(deadline - stop_started)).await;
    // A later request might not finish before the process is killed.
    close.send_replace(true);
    let last_response = deadline + FLUSH_TIME;
    while Instant::now() < last_response && (node.serving.get() > 0 || node.connections.get() > 0) {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    sleep(FLUSH_TIME).await;
    info!("member: stopped with {} requests left", node.serving.get());
}
