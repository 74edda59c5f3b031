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

use super::check;
use super::close::Close;
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

/// Serves one link, and reports once why it was closed.
async fn link(node: Arc<Node>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut who = match stream.peer_addr() {
        Ok(address) => address.to_string(),
        Err(_) => "a closed connection".to_owned(),
    };
    let mut framed = Framed::new(counted(stream), FrameCodec::default());
    let close = match greet(&node, &mut framed).await {
        Ok(peer) => {
            who = peer.vm.to_string();
            let close = exchange(&node, &peer, &mut framed).await;
            // Replies that were written may never have been read.
            node.owner.send(Msg::LinkClosed(peer.incarnation));
            close
        }
        Err(close) => close,
    };
    close.report(&who);
}

/// Exchanges the first frames.
async fn greet(node: &Arc<Node>, framed: &mut Framed<Counted, FrameCodec>) -> Result<Peer, Close> {
    let silent = node.settings.timing.silent;
    let first = timeout(silent, framed.next()).await;
    let hello = match first.map_err(|_| Close::NoHello)? {
        Some(Ok(Frame {
            body: Some(Body::Hello(hello)),
            ..
        })) => hello,
        Some(Ok(_)) => return Err(Close::Message("the first frame is no hello")),
        Some(Err(err)) => return Err(Close::Frame(err)),
        None => return Err(Close::NoHello),
    };
    let reply = Frame {
        seq: 0,
        body: Some(Body::Hello(node.hello())),
    };
    if !matches!(timeout(silent, framed.send(reply)).await, Ok(Ok(()))) {
        return Err(Close::Ended);
    }
    if hello.version != PROTOCOL_VERSION {
        return Err(Close::Version(hello.version));
    }
    check::hello(&hello).map_err(Close::Message)?;
    Ok(Peer {
        vm: Name::from(hello.vm),
        incarnation: Incarnation(hello.incarnation),
    })
}

async fn exchange(
    node: &Arc<Node>,
    peer: &Peer,
    framed: &mut Framed<Counted, FrameCodec>,
) -> Close {
    let timing = &node.settings.timing;
    let (tx, mut rx) = mpsc::channel(REPLY_QUEUE);
    let mut beat = interval(timing.heartbeat);
    beat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut heard = Instant::now();
    loop {
        tokio::select! {
            frame = framed.next() => match frame {
                Some(Ok(frame)) => {
                    heard = Instant::now();
                    let body = match check::body(frame.body) {
                        Ok(body) => body,
                        Err(text) => return Close::Message(text),
                    };
                    receive(node, peer, frame.seq, body, &tx);
                }
                Some(Err(err)) => return Close::Frame(err),
                None => return Close::Ended,
            },
            Some(reply) = rx.recv() => {
                // A peer that does not read must not stop this task: feeding waits for it, too.
                let sent = timeout(timing.silent, send(framed, reply, &mut rx)).await;
                match sent {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return Close::Ended,
                    Err(_) => return Close::Stuck,
                }
            }
            _ = beat.tick() => {
                if heard.elapsed() > timing.silent {
                    return Close::Silent;
                }
                match timeout(timing.silent, framed.send(heartbeat(node))).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return Close::Ended,
                    Err(_) => return Close::Stuck,
                }
            }
        }
    }
}

/// Sends a reply and those that wait behind it, with one flush.
async fn send(
    framed: &mut Framed<Counted, FrameCodec>,
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
