//! Light peers that speak the peer protocol and hold no state.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::interval;
use tokio_util::codec::Framed;
use wire::{
    Body, Frame, FrameCodec, Handover, HandoverAnswer, Heartbeat, Hello, PROTOCOL_VERSION,
    PartClaims, PartMoves,
};

/// Time between heartbeats, the daemon's default.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// Bytes of the length before each frame.
const LENGTH: usize = 4;

/// What all light peers know and count.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    /// Generation of the VM list that they announce.
    pub(crate) generation: AtomicU64,
    /// Revision of the sheet that they announce.
    pub(crate) revision: AtomicU64,
    /// Bytes of frames that the daemon sent to them.
    pub(crate) received: AtomicU64,
    /// Bytes of frames that they sent to the daemon.
    pub(crate) sent: AtomicU64,
    /// Links that the daemon dialled.
    pub(crate) links: AtomicUsize,
}

/// A light peer's name and number.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) incarnation: u64,
}

/// Listens as a peer. The first link that the daemon dials is answered with one in the other
/// direction, as real daemons link both ways.
pub(crate) async fn listen(
    shared: Arc<Shared>,
    peer: Peer,
    daemon: SocketAddr,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            shared.links.fetch_add(1, Ordering::Relaxed);
            let (accepted, dialled) = (Arc::clone(&shared), Arc::clone(&shared));
            let (one, other) = (peer.clone(), peer.clone());
            tokio::spawn(async move {
                exchange(&accepted, &one, stream, false).await;
                accepted.links.fetch_sub(1, Ordering::Relaxed);
            });
            tokio::spawn(async move {
                if let Ok(stream) = TcpStream::connect(daemon).await {
                    exchange(&dialled, &other, stream, true).await;
                }
            });
        }
    });
    Ok(address)
}

fn hello(peer: &Peer) -> Frame {
    Frame {
        seq: 0,
        body: Some(Body::Hello(Hello {
            version: PROTOCOL_VERSION,
            vm: peer.name.clone(),
            incarnation: peer.incarnation,
            zone: peer.zone.clone(),
            entry: String::new(),
        })),
    }
}

fn heartbeat(shared: &Shared, peer: &Peer) -> Frame {
    Frame {
        seq: 0,
        body: Some(Body::Heartbeat(Heartbeat {
            list_generation: shared.generation.load(Ordering::Relaxed),
            list_age_us: 0,
            sheet_revision: shared.revision.load(Ordering::Relaxed),
            ready: true,
            id_prefix: peer.incarnation,
        })),
    }
}

/// Sends heartbeats and answers requests until the link ends.
async fn exchange(shared: &Shared, peer: &Peer, stream: TcpStream, dials: bool) {
    let mut framed = Framed::new(stream, FrameCodec::default());
    if dials && send(shared, &mut framed, hello(peer)).await.is_none() {
        return;
    }
    let mut beat = interval(HEARTBEAT);
    loop {
        let reply = tokio::select! {
            frame = framed.next() => match frame {
                Some(Ok(frame)) => {
                    count(&shared.received, &frame);
                    answer(peer, frame, dials)
                }
                _ => return,
            },
            _ = beat.tick() => Some(heartbeat(shared, peer)),
        };
        if let Some(reply) = reply
            && send(shared, &mut framed, reply).await.is_none()
        {
            return;
        }
    }
}

fn count(counter: &AtomicU64, frame: &Frame) {
    let length = frame.encoded_len() + LENGTH;
    counter.fetch_add(length as u64, Ordering::Relaxed);
}

async fn send(
    shared: &Shared,
    framed: &mut Framed<TcpStream, FrameCodec>,
    frame: Frame,
) -> Option<()> {
    count(&shared.sent, &frame);
    framed.send(frame).await.ok()
}

/// Reply of a daemon that owns and holds nothing.
fn answer(peer: &Peer, frame: Frame, dials: bool) -> Option<Frame> {
    let body = match frame.body? {
        Body::Hello(_) if !dials => return Some(hello(peer)),
        Body::HandoverAsk(ask) => Body::Handover(Handover {
            target: ask.target,
            answer: HandoverAnswer::NeverOwned.into(),
            ..Handover::default()
        }),
        Body::PartQuery(_) => Body::PartClaims(PartClaims::default()),
        Body::PartAsk(_) => Body::PartMoves(PartMoves::default()),
        _ => return None,
    };
    Some(Frame {
        seq: frame.seq,
        body: Some(body),
    })
}
