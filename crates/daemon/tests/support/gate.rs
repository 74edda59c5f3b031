//! A target address on which connects hang until the gate opens.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Time after which a connect counts as hanging.
const HANGS: Duration = Duration::from_millis(300);

/// A listener whose accept queue is full, so that the kernel leaves connects without an answer.
pub struct Gate {
    listener: TcpListener,
    fillers: Vec<TcpStream>,
}

/// Connections through an open gate.
pub struct Open {
    /// All connections.
    pub accepted: Arc<AtomicU64>,
    /// Connections on which no byte came before their end.
    pub empty: Arc<AtomicU64>,
    /// Connections on which a request came.
    pub used: Arc<AtomicU64>,
}

impl Gate {
    /// Listens on a free port and fills the queue.
    pub async fn closed() -> Gate {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let listener = socket.listen(1).unwrap();
        let mut fillers = Vec::new();
        let addr = listener.local_addr().unwrap();
        while let Ok(filler) = tokio::time::timeout(HANGS, TcpStream::connect(addr)).await {
            fillers.push(filler.unwrap());
        }
        Gate { listener, fillers }
    }

    pub fn addr(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Accepts connections and forwards them to a target.
    pub fn open(self, target: SocketAddr) -> Open {
        let open = Open {
            accepted: Arc::default(),
            empty: Arc::default(),
            used: Arc::default(),
        };
        let accepted = Arc::clone(&open.accepted);
        let (empty, used) = (Arc::clone(&open.empty), Arc::clone(&open.used));
        let mine: Vec<_> = self
            .fillers
            .iter()
            .map(|f| f.local_addr().unwrap())
            .collect();
        drop(self.fillers);
        tokio::spawn(async move {
            while let Ok((stream, from)) = self.listener.accept().await {
                if !mine.contains(&from) {
                    accepted.fetch_add(1, Ordering::SeqCst);
                    tokio::spawn(forward(
                        stream,
                        target,
                        Arc::clone(&empty),
                        Arc::clone(&used),
                    ));
                }
            }
        });
        open
    }
}

async fn forward(
    mut stream: TcpStream,
    target: SocketAddr,
    empty: Arc<AtomicU64>,
    used: Arc<AtomicU64>,
) {
    let mut first = [0; 1024];
    let read = stream.read(&mut first).await.unwrap_or(0);
    if read == 0 {
        empty.fetch_add(1, Ordering::SeqCst);
        return;
    }
    // Load reports and questions about runs are no dispatch.
    if first.starts_with(b"POST ") {
        used.fetch_add(1, Ordering::SeqCst);
    }
    let Ok(mut up) = TcpStream::connect(target).await else {
        return;
    };
    if up.write_all(&first[..read]).await.is_ok() {
        // Either end may break first; both see it.
        let _ = copy_bidirectional(&mut stream, &mut up).await;
    }
}
