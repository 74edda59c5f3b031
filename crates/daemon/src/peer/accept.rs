//! The accepting side of a link.

use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use member::Incarnation;
use sheet::Name;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, interval, timeout};
use tokio_util::codec::Framed;
use wire::{Body, Frame, FrameCodec, FrameError, PROTOCOL_VERSION};

use super::byte_count::{CountedStream, count_bytes};
use super::close_reason::CloseReason;
use super::dial::heartbeat;
use super::validate;
use crate::node::Node;
use crate::owner::Msg;

/// Replies that may be queued for a link; further ones wait in the tasks that made them.
const REPLY_QUEUE: usize = 4096;

/// The daemon at the other end of a link.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) vm: Name,
    pub(crate) incarnation: Incarnation,
}

/// Accepts links until the listener fails.
pub(crate) async fn serve(node: Arc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(link(Arc::clone(&node), stream));
            }
            Err(err) => {
                log::warn!("peer: accept failed: {err}");
                // Gives open connections time to end when the process is out of file descriptors.
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

/// Serves one link, and reports once why it was closed.
async fn link(node: Arc<Node>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut who = match stream.peer_addr() {
        Ok(address) => address.to_string(),
        Err(_) => "a closed connection".to_owned(),
    };
    let mut framed = Framed::new(count_bytes(stream), FrameCodec::default());
    let close = match handshake(&node, &mut framed).await {
        Ok(peer) => {
            who = peer.vm.to_string();
            let close = exchange(&node, &peer, &mut framed).await;
            // Replies that were sent may not have been received.
            node.owner.send(Msg::LinkClosed(peer.incarnation));
            close
        }
        Err(close) => close,
    };
    close.report(&who);
}

/// Exchanges hellos.
async fn handshake(
    node: &Arc<Node>,
    framed: &mut Framed<CountedStream, FrameCodec>,
) -> Result<Peer, CloseReason> {
    let silent = node.settings.timing.silent;
    let first = timeout(silent, framed.next()).await;
    let hello = match first.map_err(|_| CloseReason::NoHello)? {
        Some(Ok(Frame {
            body: Some(Body::Hello(hello)),
            ..
        })) => hello,
        Some(Ok(_)) => return Err(CloseReason::Message("the first frame is no hello")),
        Some(Err(err)) => return Err(CloseReason::Frame(err)),
        None => return Err(CloseReason::NoHello),
    };
    let reply = Frame {
        seq: 0,
        body: Some(Body::Hello(node.hello())),
    };
    if !matches!(timeout(silent, framed.send(reply)).await, Ok(Ok(()))) {
        return Err(CloseReason::Ended);
    }
    if hello.version != PROTOCOL_VERSION {
        return Err(CloseReason::Version(hello.version));
    }
    validate::hello(&hello).map_err(CloseReason::Message)?;
    Ok(Peer {
        vm: Name::from(hello.vm),
        incarnation: Incarnation(hello.incarnation),
    })
}

/// Receives frames, and sends replies and heartbeats, until the link has to be closed.
async fn exchange(
    node: &Arc<Node>,
    peer: &Peer,
    framed: &mut Framed<CountedStream, FrameCodec>,
) -> CloseReason {
    let timing = &node.settings.timing;
    let (tx, mut rx) = mpsc::channel(REPLY_QUEUE);
    let mut heartbeat_tick = interval(timing.heartbeat);
    heartbeat_tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last_received = Instant::now();
    loop {
        tokio::select! {
            frame = framed.next() => match frame {
                Some(Ok(frame)) => {
                    last_received = Instant::now();
                    let body = match validate::body(frame.body) {
                        Ok(body) => body,
                        Err(text) => return CloseReason::Message(text),
                    };
                    receive(node, peer, frame.seq, body, &tx);
                }
                Some(Err(err)) => return CloseReason::Frame(err),
                None => return CloseReason::Ended,
            },
            Some(reply) = rx.recv() => {
                // A peer that does not read must not block this task: feeding waits for it, too.
                let sent = timeout(timing.silent, send(framed, reply, &mut rx)).await;
                match sent {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return CloseReason::Ended,
                    Err(_) => return CloseReason::Stuck,
                }
            }
            _ = heartbeat_tick.tick() => {
                if last_received.elapsed() > timing.silent {
                    return CloseReason::Silent;
                }
                match timeout(timing.silent, framed.send(heartbeat(node))).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return CloseReason::Ended,
                    Err(_) => return CloseReason::Stuck,
                }
            }
        }
    }
}

/// Sends a reply and those queued behind it, with one flush.
async fn send(
    framed: &mut Framed<CountedStream, FrameCodec>,
    reply: Frame,
    rx: &mut mpsc::Receiver<Frame>,
) -> Result<(), FrameError> {
    framed.feed(reply).await?;
    while let Ok(reply) = rx.try_recv() {
        framed.feed(reply).await?;
    }
    framed.flush().await
}

fn receive(node: &Arc<Node>, peer: &Peer, seq: u64, body: Body, tx: &mpsc::Sender<Frame>) {
    if let Body::Heartbeat(heartbeat) = body {
        node.on_heartbeat(&peer.vm, &heartbeat);
        return;
    }
    if seq == 0 {
        node.on_message(peer, body);
        return;
    }
    let (node, peer, tx) = (Arc::clone(node), peer.clone(), tx.clone());
    let is_offer = matches!(body, Body::Offer(_));
    tokio::spawn(async move {
        let reply = tokio::select! {
            reply = node.on_request(&peer, body) => reply,
            // Drops the reply channel when the link closes, so that the owner sends no permit into
            // it.
            () = tx.closed(), if is_offer => None,
        };
        if let Some(body) = reply {
            // Fails only if the link is closed, which the other end notices, too.
            let _ = tx
                .send(Frame {
                    seq,
                    body: Some(body),
                })
                .await;
        }
    });
}
