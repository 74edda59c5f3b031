use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::Shared;
use super::link::{Controls, until};
use super::relay;
use crate::port::Port;

/// Time between two looks at an upstream that refuses connections.
const PROBE: Duration = Duration::from_millis(10);

/// Accepts connections until the proxy is dropped.
pub(crate) async fn run(
    port: Port,
    first: TcpListener,
    mut controls: watch::Receiver<Controls>,
    shared: Arc<Shared>,
) {
    let mut listener = Some(first);
    loop {
        if let Some(open) = listener.take() {
            let Ok(why) = accept(open, &mut controls, &shared).await else {
                return;
            };
            shared.listening.send_replace(false);
            if why == Closed::Upstream && wait_for_upstream(&mut controls).await.is_err() {
                return;
            }
        }
        if until(&mut controls, |c| !c.refuse).await.is_err() {
            return;
        }
        match port.listen() {
            Ok(open) => {
                listener = Some(open);
                shared.listening.send_replace(true);
            }
            // The port is reserved, so only a lack of resources can be the reason.
            Err(_) => tokio::time::sleep(PROBE).await,
        }
    }
}

/// Why the port was closed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Closed {
    Refuse,
    Upstream,
}

async fn accept(
    listener: TcpListener,
    controls: &mut watch::Receiver<Controls>,
    shared: &Arc<Shared>,
) -> Result<Closed, watch::error::RecvError> {
    let given = controls.clone();
    loop {
        tokio::select! {
            changed = until(controls, |c| c.refuse) => {
                return changed.map(|()| Closed::Refuse);
            }
            () = shared.refused.notified() => return Ok(Closed::Upstream),
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => spawn(stream, given.clone(), Arc::clone(shared)),
                Err(_) => tokio::time::sleep(PROBE).await,
            },
        }
    }
}

fn spawn(stream: TcpStream, controls: watch::Receiver<Controls>, shared: Arc<Shared>) {
    let id = shared.accepted.fetch_add(1, Ordering::AcqRel);
    shared.open.send_modify(|open| *open += 1);
    tokio::spawn(async move {
        relay::run(id, stream, controls, &shared).await;
        shared.open.send_modify(|open| *open -= 1);
    });
}

/// Waits until the upstream accepts a connection, which is closed at once.
async fn wait_for_upstream(
    controls: &mut watch::Receiver<Controls>,
) -> Result<(), watch::error::RecvError> {
    loop {
        let upstream = controls.borrow_and_update().upstream;
        match TcpStream::connect(upstream).await {
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
            _ => return Ok(()),
        }
        tokio::select! {
            changed = controls.changed() => changed?,
            () = tokio::time::sleep(PROBE) => {}
        }
    }
}
