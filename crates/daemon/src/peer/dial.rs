//! The dialling side of a link.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::{SinkExt, StreamExt};
use rand::RngExt;
use sheet::Name;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};
use tokio_util::codec::Framed;
use wire::{Body, Frame, FrameCodec, FrameError, Hello, PROTOCOL_VERSION};

use super::close::Close;
use super::count::{Counted, counted};
use super::{Outgoing, check};
use crate::node::Node;

/// What a link learns about its peer's process.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum LinkEvent {
    /// The peer answered with its hello.
    Up(Hello),
    /// The port refuses: the process is gone, its VM answers.
    Refused,
    /// The link broke or can't be made; nothing is known.
    Down,
}

/// Why a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Refused,
    Broken,
    /// The daemon closed the link itself.
    Closed,
}

/// Keeps a link to one peer until the channel closes.
pub(crate) async fn dial(
    node: Arc<Node>,
    vm: Name,
    address: SocketAddr,
    mut rx: mpsc::Receiver<Outgoing>,
) {
    let timing = &node.settings.timing;
    let mut wait = timing.redial_min;
    loop {
        let started = Instant::now();
        let end = run(&node, &vm, address, &mut rx).await;
        match end {
            End::Closed => return,
            End::Refused => node.on_link(&vm, address, &LinkEvent::Refused),
            End::Broken => node.on_link(&vm, address, &LinkEvent::Down),
        }
        // Requests that waited for the broken link fail now, so that callers go elsewhere.
        while rx.try_recv().is_ok() {}
        if started.elapsed() > timing.redial_max {
            wait = timing.redial_min;
        }
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(wait.mul_f64(jitter)).await;
        wait = (wait * 2).min(timing.redial_max);
    }
}

async fn run(
    node: &Arc<Node>,
    vm: &Name,
    address: SocketAddr,
    rx: &mut mpsc::Receiver<Outgoing>,
) -> End {
    let timing = &node.settings.timing;
    let stream = match timeout(timing.silent, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused => {
            return End::Refused;
        }
        _ => return End::Broken,
    };
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(counted(stream), FrameCodec::default());
    let hello = Frame {
        seq: 0,
        body: Some(Body::Hello(node.hello())),
    };
    if framed.send(hello).await.is_err() {
        return End::Broken;
    }
    let hello = match timeout(timing.silent, framed.next()).await {
        Ok(Some(Ok(Frame {
            body: Some(Body::Hello(hello)),
            ..
        }))) => hello,
        Ok(Some(Ok(_))) => return broken(vm, &Close::Message("the first frame is no hello")),
        Ok(Some(Err(err))) => return broken(vm, &Close::Frame(err)),
        Ok(None) => return End::Broken,
        Err(_) => return broken(vm, &Close::NoHello),
    };
    if hello.version != PROTOCOL_VERSION {
        return broken(vm, &Close::Version(hello.version));
    }
    if hello.vm != **vm {
        return broken(vm, &Close::WrongVm);
    }
    node.on_link(vm, address, &LinkEvent::Up(hello));
    exchange(node, vm, &mut framed, rx).await
}

/// Sends requests and heartbeats and hands out replies until the link breaks.
async fn exchange(
    node: &Arc<Node>,
    vm: &Name,
    framed: &mut Framed<Counted, FrameCodec>,
    rx: &mut mpsc::Receiver<Outgoing>,
) -> End {
    let timing = &node.settings.timing;
    let mut pending: HashMap<u64, oneshot::Sender<Body>> = HashMap::new();
    let mut next_seq = 1;
    let mut beat = interval(timing.heartbeat);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut heard = Instant::now();
    let mut changed = node.changes();
    loop {
        tokio::select! {
            outgoing = rx.recv() => {
                let Some(outgoing) = outgoing else {
                    return End::Closed;
                };
                let sent = send(framed, outgoing, rx, &mut pending, &mut next_seq);
                // A peer that does not read must not stop this task: feeding waits for it, too.
                match timeout(timing.silent, sent).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return End::Broken,
                    Err(_) => return broken(vm, &Close::Stuck),
                }
            }
            frame = framed.next() => match frame {
                Some(Ok(Frame { seq, body })) => {
                    heard = Instant::now();
                    match check::body(body) {
                        Ok(body) => receive(node, vm, seq, body, &mut pending),
                        Err(text) => return broken(vm, &Close::Message(text)),
                    }
                }
                Some(Err(err)) => return broken(vm, &Close::Frame(err)),
                None => return End::Broken,
            },
            _ = beat.tick() => {
                if heard.elapsed() > timing.silent {
                    return broken(vm, &Close::Silent);
                }
                pending.retain(|_, reply| !reply.is_closed());
                let sent = timeout(timing.silent, framed.send(heartbeat(node))).await;
                if !matches!(sent, Ok(Ok(()))) {
                    return End::Broken;
                }
            }
            _ = changed.changed() => {
                // A new sheet or list is announced at once instead of with the next heartbeat.
                let sent = timeout(timing.silent, framed.send(heartbeat(node))).await;
                if !matches!(sent, Ok(Ok(()))) {
                    return End::Broken;
                }
            }
        }
    }
}

fn broken(vm: &Name, close: &Close) -> End {
    close.report(vm);
    End::Broken
}

/// Sends a message and those that wait behind it, with one flush to save system calls under load.
async fn send(
    framed: &mut Framed<Counted, FrameCodec>,
    mut outgoing: Outgoing,
    rx: &mut mpsc::Receiver<Outgoing>,
    pending: &mut HashMap<u64, oneshot::Sender<Body>>,
    next_seq: &mut u64,
) -> Result<(), FrameError> {
    loop {
        framed.feed(number(outgoing, pending, next_seq)).await?;
        match rx.try_recv() {
            Ok(next) => outgoing = next,
            Err(_) => return framed.flush().await,
        }
    }
}

fn number(
    outgoing: Outgoing,
    pending: &mut HashMap<u64, oneshot::Sender<Body>>,
    next_seq: &mut u64,
) -> Frame {
    match outgoing {
        Outgoing::Send(body) => Frame {
            seq: 0,
            body: Some(body),
        },
        Outgoing::Call(body, reply) => {
            let seq = *next_seq;
            *next_seq += 1;
            pending.insert(seq, reply);
            Frame {
                seq,
                body: Some(body),
            }
        }
    }
}

fn receive(
    node: &Arc<Node>,
    vm: &Name,
    seq: u64,
    body: Body,
    pending: &mut HashMap<u64, oneshot::Sender<Body>>,
) {
    match (body, pending.remove(&seq)) {
        (Body::Heartbeat(heartbeat), _) => node.on_heartbeat(vm, &heartbeat),
        (body, Some(reply)) => {
            if let Err(body) = reply.send(body) {
                node.on_orphan(vm, &body);
            }
        }
        (body, None) => node.on_orphan(vm, &body),
    }
}

pub(super) fn heartbeat(node: &Node) -> Frame {
    Frame {
        seq: 0,
        body: Some(Body::Heartbeat(node.heartbeat())),
    }
}
