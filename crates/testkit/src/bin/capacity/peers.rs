//! Simulated peers that speak the peer protocol and own no targets or limit shares.

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

/// Time between heartbeats: the daemon's default.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Size of the length prefix of each frame.
const LENGTH_PREFIX_BYTES: usize = 4;

/// State and counters that all simulated peers share.
#[derive(Debug, Default)]
pub(crate) struct PeerState {
    /// Generation of the VM list in their heartbeats.
    pub(crate) generation: AtomicU64,
    /// Revision of the sheet in their heartbeats.
    pub(crate) revision: AtomicU64,
    /// Bytes of frames that the daemon sent to them.
    pub(crate) bytes_from_daemon: AtomicU64,
    /// Bytes of frames that they sent to the daemon.
    pub(crate) bytes_to_daemon: AtomicU64,
    /// Open links that the daemon dialled.
    pub(crate) dialled_links: AtomicUsize,
}

/// Identity of a simulated peer.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) incarnation: u64,
}

/// Starts a simulated peer. For each link that the daemon dials, the peer dials one in the other
/// direction, as real daemons link both ways.
pub(crate) async fn start_peer(
    state: Arc<PeerState>,
    peer: Peer,
    daemon: SocketAddr,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            state.dialled_links.fetch_add(1, Ordering::Relaxed);
            let (accepted_state, dialled_state) = (Arc::clone(&state), Arc::clone(&state));
            let (accepting_peer, dialling_peer) = (peer.clone(), peer.clone());
            tokio::spawn(async move {
                run_link(&accepted_state, &accepting_peer, stream, false).await;
                accepted_state.dialled_links.fetch_sub(1, Ordering::Relaxed);
            });
            tokio::spawn(async move {
                if let Ok(stream) = TcpStream::connect(daemon).await {
                    run_link(&dialled_state, &dialling_peer, stream, true).await;
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

fn heartbeat(state: &PeerState, peer: &Peer) -> Frame {
    Frame {
        seq: 0,
        body: Some(Body::Heartbeat(Heartbeat {
            list_generation: state.generation.load(Ordering::Relaxed),
            list_age_us: 0,
            sheet_revision: state.revision.load(Ordering::Relaxed),
            ready: true,
            id_prefix: peer.incarnation,
        })),
    }
}

/// Sends heartbeats and replies to requests until the link closes.
async fn run_link(state: &PeerState, peer: &Peer, stream: TcpStream, is_dialler: bool) {
    let mut framed = Framed::new(stream, FrameCodec::default());
    if is_dialler && send(state, &mut framed, hello(peer)).await.is_none() {
        return;
    }
    let mut heartbeat_timer = interval(HEARTBEAT_INTERVAL);
    loop {
        let reply = tokio::select! {
            frame = framed.next() => match frame {
                Some(Ok(frame)) => {
                    add_frame_bytes(&state.bytes_from_daemon, &frame);
                    reply_to(peer, frame, is_dialler)
                }
                _ => return,
            },
            _ = heartbeat_timer.tick() => Some(heartbeat(state, peer)),
        };
        if let Some(reply) = reply
            && send(state, &mut framed, reply).await.is_none()
        {
            return;
        }
    }
}

fn add_frame_bytes(counter: &AtomicU64, frame: &Frame) {
    let length = frame.encoded_len() + LENGTH_PREFIX_BYTES;
    counter.fetch_add(length as u64, Ordering::Relaxed);
}

async fn send(
    state: &PeerState,
    framed: &mut Framed<TcpStream, FrameCodec>,
    frame: Frame,
) -> Option<()> {
    add_frame_bytes(&state.bytes_to_daemon, &frame);
    framed.send(frame).await.ok()
}

/// Reply of a daemon that owns no targets and holds no limit shares.
fn reply_to(peer: &Peer, frame: Frame, is_dialler: bool) -> Option<Frame> {
    let body = match frame.body? {
        Body::Hello(_) if !is_dialler => return Some(hello(peer)),
        Body::HandoverAsk(request) => Body::Handover(Handover {
            target: request.target,
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
