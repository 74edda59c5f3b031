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
use wire::{Body, Codec, Frame, PROTOCOL_VERSION};

use super::count::{Counted, counted};
use super::dial::heartbeat;
use crate::node::Node;
use crate::owner::Msg;

/// Replies that may wait for a slow link before it is closed.
const REPLY_QUEUE: usize = 4096;

/// Who is at the other end of an accepted link.
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
                // Lets open connections end when the process is out of file descriptors.
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn link(node: Arc<Node>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let silent = node.settings.timing.silent;
    let mut framed = Framed::new(counted(stream), Codec::default());
    let hello = match timeout(silent, framed.next()).await {
        Ok(Some(Ok(Frame {
            body: Some(Body::Hello(hello)),
            ..
        }))) => hello,
        Ok(Some(Err(err))) => {
            log::warn!("peer: {err}");
            return;
        }
        _ => return,
    };
    let reply = Frame {
        seq: 0,
        body: Some(Body::Hello(node.hello())),
    };
    if framed.send(reply).await.is_err() {
        return;
    }
    if hello.version != PROTOCOL_VERSION {
        log::warn!(
            "peer: {} speaks protocol version {}, not {PROTOCOL_VERSION}",
            hello.vm,
            hello.version
        );
        return;
    }
    let peer = Peer {
        vm: Name::from(hello.vm),
        incarnation: Incarnation(hello.incarnation),
    };
    exchange(&node, &peer, &mut framed).await;
    // Replies that were written may never have been read.
    node.owner.send(Msg::LinkClosed(peer.incarnation));
    log::debug!("peer: link from {} closed", peer.vm);
}

async fn exchange(node: &Arc<Node>, peer: &Peer, framed: &mut Framed<Counted, Codec>) {
    let timing = &node.settings.timing;
    let (tx, mut rx) = mpsc::channel(REPLY_QUEUE);
    let mut beat = interval(timing.heartbeat);
    beat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut heard = Instant::now();
    loop {
        tokio::select! {
            frame = framed.next() => match frame {
                Some(Ok(Frame { seq, body: Some(body) })) => {
                    heard = Instant::now();
                    receive(node, peer, seq, body, &tx);
                }
                Some(Ok(_)) => {}
                Some(Err(err)) => {
                    log::warn!("peer: link from {} closed: {err}", peer.vm);
                    return;
                }
                None => return,
            },
            Some(reply) = rx.recv() => {
                if framed.feed(reply).await.is_err() {
                    return;
                }
                while let Ok(reply) = rx.try_recv() {
                    if framed.feed(reply).await.is_err() {
                        return;
                    }
                }
                if !matches!(timeout(timing.silent, framed.flush()).await, Ok(Ok(()))) {
                    return;
                }
            }
            _ = beat.tick() => {
                if heard.elapsed() > timing.silent {
                    return;
                }
                let sent = timeout(timing.silent, framed.send(heartbeat(node))).await;
                if !matches!(sent, Ok(Ok(()))) {
                    return;
                }
            }
        }
    }
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
            // Tells the owner that nobody waits, so that it gives no permit into a closed link.
            () = tx.closed(), if is_offer => None,
        };
        if let Some(body) = reply {
            // Fails only if the link is closed; the other end has seen that too.
            let _ = tx
                .send(Frame {
                    seq,
                    body: Some(body),
                })
                .await;
        }
    });
}
