use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::sync::watch::error::RecvError;

use super::Shared;
use super::controls::{Controls, wait_for_controls};
use super::relay;
use crate::port::ReservedPort;

/// Time between two connection attempts to an upstream that refuses connections. Also the delay
/// before retrying after a failed `accept` or `listen`.
const PROBE_INTERVAL: Duration = Duration::from_millis(10);

/// Accepts connections until the proxy is dropped. Closes the port while the proxy or the upstream
/// refuses connections.
pub(crate) async fn accept_loop(
    port: ReservedPort,
    first: TcpListener,
    mut controls: watch::Receiver<Controls>,
    shared: Arc<Shared>,
) {
    let mut listener = first;
    loop {
        if accept_until_closed(listener, &mut controls, &shared)
            .await
            .is_err()
        {
            return;
        }
        shared.listening.send_replace(false);
        listener = loop {
            if wait_until_reopen(&mut controls).await.is_err() {
                return;
            }
            match port.listen() {
                Ok(listener) => break listener,
                // The port is reserved, so listening can only fail for lack of resources.
                Err(_) => tokio::time::sleep(PROBE_INTERVAL).await,
            }
        };
        shared.listening.send_replace(true);
    }
}

/// Accepts connections until the port has to close.
async fn accept_until_closed(
    listener: TcpListener,
    controls: &mut watch::Receiver<Controls>,
    shared: &Arc<Shared>,
) -> Result<(), RecvError> {
    let relay_controls = controls.clone();
    loop {
        tokio::select! {
            refuse = wait_for_controls(controls, |c| c.refuse) => return refuse,
            () = shared.upstream_refused.notified() => return Ok(()),
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => spawn_relay(stream, relay_controls.clone(), Arc::clone(shared)),
                Err(_) => tokio::time::sleep(PROBE_INTERVAL).await,
            },
        }
    }
}

fn spawn_relay(stream: TcpStream, controls: watch::Receiver<Controls>, shared: Arc<Shared>) {
    let id = shared.accepted.fetch_add(1, Ordering::AcqRel);
    shared.open.send_modify(|open| *open += 1);
    tokio::spawn(async move {
        relay::relay_connection(id, stream, controls, &shared).await;
        shared.open.send_modify(|open| *open -= 1);
    });
}

/// Waits until the port can be reopened: the proxy no longer refuses connections, and the upstream
/// does not refuse them either.
///
/// The upstream is checked by a connection that is closed immediately.
async fn wait_until_reopen(controls: &mut watch::Receiver<Controls>) -> Result<(), RecvError> {
    loop {
        wait_for_controls(controls, |c| !c.refuse).await?;
        let upstream = controls.borrow_and_update().upstream;
        match TcpStream::connect(upstream).await {
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
            _ => return Ok(()),
        }
        tokio::select! {
            changed = controls.changed() => changed?,
            () = tokio::time::sleep(PROBE_INTERVAL) => {}
        }
    }
}
