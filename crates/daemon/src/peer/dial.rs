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

use super::byte_count::{CountedStream, count_bytes};
use super::close_reason::CloseReason;
use super::{Outgoing, validate};
use crate::node::Node;

/// Event of a dialled link, with what it shows about the peer's process.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum LinkEvent {
    /// The peer replied with its hello.
    Up(Hello),
    /// The port refuses connections: the VM is up but the process is gone.
    Refused,
    /// The link broke or can't be made; the state of the peer is unknown.
    Down,
}

/// Why a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkEnd {
    Refused,
    Broken,
    /// The daemon closed the link itself.
    Closed,
}

/// Keeps a link to one peer, with redials, until the channel closes.
pub(crate) async fn dial(
    node: Arc<Node>,
    vm: Name,
    address: SocketAddr,
    mut rx: mpsc::Receiver<Outgoing>,
) {
    let timing = &node.settings.timing;
    let mut delay = timing.redial_min;
    loop {
        let started = Instant::now();
        let end = run_link(&node, &vm, address, &mut rx).await;
        match end {
            LinkEnd::Closed => return,
            LinkEnd::Refused => node.on_link(&vm, address, &LinkEvent::Refused),
            LinkEnd::Broken => node.on_link(&vm, address, &LinkEvent::Down),
        }
        // Requests queued for the broken link fail now, so that they are sent elsewhere.
        while rx.try_recv().is_ok() {}
        if started.elapsed() > timing.redial_max {
            delay = timing.redial_min;
        }
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(delay.mul_f64(jitter)).await;
        delay = (delay * 2).min(timing.redial_max);
    }
}

async fn run_link(
    node: &Arc<Node>,
    vm: &Name,
    address: SocketAddr,
    rx: &mut mpsc::Receiver<Outgoing>,
) -> LinkEnd {
    let timing = &node.settings.timing;
    let stream = match timeout(timing.silent, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused => {
            return LinkEnd::Refused;
        }
        _ => return LinkEnd::Broken,
    };
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(count_bytes(stream), FrameCodec::default());
    let hello = Frame {
        seq: 0,
        body: Some(Body::Hello(node.hello())),
    };
    if framed.send(hello).await.is_err() {
        return LinkEnd::Broken;
    }
    let hello = match timeout(timing.silent, framed.next()).await {
        Ok(Some(Ok(Frame {
            body: Some(Body::Hello(hello)),
            ..
        }))) => hello,
        Ok(Some(Ok(_))) => return broken(vm, &CloseReason::Message("the first frame is no hello")),
        Ok(Some(Err(err))) => return broken(vm, &CloseReason::Frame(err)),
        Ok(None) => return LinkEnd::Broken,
        Err(_) => return broken(vm, &CloseReason::NoHello),
    };
    if hello.version != PROTOCOL_VERSION {
        return broken(vm, &CloseReason::Version(hello.version));
    }
    if hello.vm != **vm {
        return broken(vm, &CloseReason::WrongVm);
    }
    node.on_link(vm, address, &LinkEvent::Up(hello));
    exchange(node, vm, &mut framed, rx).await
}

/// Sends requests and heartbeats and delivers replies until the link breaks.
async fn exchange(
    node: &Arc<Node>,
    vm: &Name,
    framed: &mut Framed<CountedStream, FrameCodec>,
    rx: &mut mpsc::Receiver<Outgoing>,
) -> LinkEnd {
    let timing = &node.settings.timing;
    let mut pending: HashMap<u64, oneshot::Sender<Body>> = HashMap::new();
    let mut next_seq = 1;
    let mut heartbeat_tick = interval(timing.heartbeat);
    heartbeat_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_received = Instant::now();
    let mut announced = node.announcements();
    loop {
        tokio::select! {
            outgoing = rx.recv() => {
                let Some(outgoing) = outgoing else {
                    return LinkEnd::Closed;
                };
                let sent = send(framed, outgoing, rx, &mut pending, &mut next_seq);
                // A peer that does not read must not block this task: feeding waits for it, too.
                match timeout(timing.silent, sent).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return LinkEnd::Broken,
                    Err(_) => return broken(vm, &CloseReason::Stuck),
                }
            }
            frame = framed.next() => match frame {
                Some(Ok(Frame { seq, body })) => {
                    last_received = Instant::now();
                    match validate::body(body) {
                        Ok(body) => receive(node, vm, seq, body, &mut pending),
                        Err(text) => return broken(vm, &CloseReason::Message(text)),
                    }
                }
                Some(Err(err)) => return broken(vm, &CloseReason::Frame(err)),
                None => return LinkEnd::Broken,
            },
            _ = heartbeat_tick.tick() => {
                if last_received.elapsed() > timing.silent {
                    return broken(vm, &CloseReason::Silent);
                }
                pending.retain(|_, reply| !reply.is_closed());
                let sent = timeout(timing.silent, framed.send(heartbeat(node))).await;
                if !matches!(sent, Ok(Ok(()))) {
                    return LinkEnd::Broken;
                }
            }
            _ = announced.changed() => {
                // A new sheet or list is announced at once instead of with the next heartbeat.
                let sent = timeout(timing.silent, framed.send(heartbeat(node))).await;
                if !matches!(sent, Ok(Ok(()))) {
                    return LinkEnd::Broken;
                }
            }
        }
    }
}

/// Reports why a link is closed.
fn broken(vm: &Name, close: &CloseReason) -> LinkEnd {
    close.report(vm);
    LinkEnd::Broken
}

/// Sends a message and those queued behind it, with one flush to save system calls under load.
async fn send(
    framed: &mut Framed<CountedStream, FrameCodec>,
    mut outgoing: Outgoing,
    rx: &mut mpsc::Receiver<Outgoing>,
    pending: &mut HashMap<u64, oneshot::Sender<Body>>,
    next_seq: &mut u64,
) -> Result<(), FrameError> {
    loop {
        framed.feed(into_frame(outgoing, pending, next_seq)).await?;
        match rx.try_recv() {
            Ok(next) => outgoing = next,
            Err(_) => return framed.flush().await,
        }
    }
}

/// Makes a frame of a message. A request gets the next sequence number, by which its reply is
/// found.
fn into_frame(
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
                node.on_unmatched_reply(vm, &body);
            }
        }
        (body, None) => node.on_unmatched_reply(vm, &body),
    }
}

pub(super) fn heartbeat(node: &Node) -> Frame {
    Frame {
        seq: 0,
        body: Some(Body::Heartbeat(node.heartbeat())),
    }
}
