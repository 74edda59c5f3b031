//! A target address whose connects hang until it starts to accept.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Time after which a connect counts as unanswered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A listener with a full accept queue: the kernel does not answer further connects.
pub struct StalledListener {
    listener: TcpListener,
    queue_fillers: Vec<TcpStream>,
}

/// Number of connections that the listener has accepted for forwarding.
pub struct ConnectionCounts {
    /// All connections.
    pub accepted: Arc<AtomicU64>,
    /// Connections that ended without a byte.
    pub without_data: Arc<AtomicU64>,
    /// Connections whose first bytes are a `POST` request.
    pub requests: Arc<AtomicU64>,
}

impl StalledListener {
    /// Listens on a free port and fills the accept queue.
    pub async fn start() -> StalledListener {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let listener = socket.listen(1).unwrap();
        let mut queue_fillers = Vec::new();
        let addr = listener.local_addr().unwrap();
        while let Ok(filler) = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await
        {
            queue_fillers.push(filler.unwrap());
        }
        StalledListener {
            listener,
            queue_fillers,
        }
    }

    pub fn addr(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Accepts connections and forwards them to a target.
    pub fn forward_to(self, target: SocketAddr) -> ConnectionCounts {
        let counts = ConnectionCounts {
            accepted: Arc::default(),
            without_data: Arc::default(),
            requests: Arc::default(),
        };
        let accepted = Arc::clone(&counts.accepted);
        let (without_data, requests) = (
            Arc::clone(&counts.without_data),
            Arc::clone(&counts.requests),
        );
        let filler_addrs: Vec<_> = self
            .queue_fillers
            .iter()
            .map(|filler| filler.local_addr().unwrap())
            .collect();
        drop(self.queue_fillers);
        tokio::spawn(async move {
            while let Ok((stream, from)) = self.listener.accept().await {
                if !filler_addrs.contains(&from) {
                    accepted.fetch_add(1, Ordering::SeqCst);
                    tokio::spawn(forward(
                        stream,
                        target,
                        Arc::clone(&without_data),
                        Arc::clone(&requests),
                    ));
                }
            }
        });
        counts
    }
}

async fn forward(
    mut stream: TcpStream,
    target: SocketAddr,
    without_data: Arc<AtomicU64>,
    requests: Arc<AtomicU64>,
) {
    let mut buffer = [0; 1024];
    let length = stream.read(&mut buffer).await.unwrap_or(0);
    if length == 0 {
        without_data.fetch_add(1, Ordering::SeqCst);
        return;
    }
    // Other methods poll the load or ask about a run; they dispatch nothing.
    if buffer.starts_with(b"POST ") {
        requests.fetch_add(1, Ordering::SeqCst);
    }
    let Ok(mut upstream) = TcpStream::connect(target).await else {
        return;
    };
    if upstream.write_all(&buffer[..length]).await.is_ok() {
        // Either side may fail first; both connections then close.
        let _ = copy_bidirectional(&mut stream, &mut upstream).await;
    }
}
