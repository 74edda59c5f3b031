mod link;
mod listen;
mod relay;

pub use self::link::{Link, Side};

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::{Notify, watch};

use self::link::Controls;
use crate::port::Port;

/// Counters and state that the tasks of one proxy share.
struct Shared {
    accepted: AtomicU64,
    bytes_up: AtomicU64,
    bytes_down: AtomicU64,
    /// Connections open now.
    open: watch::Sender<usize>,
    listening: watch::Sender<bool>,
    /// Woken when the upstream refused a connection.
    refused: Notify,
}

/// TCP proxy that injects faults between a caller and one upstream address.
///
/// It refuses connections while the upstream does, after the first refusal that it met. Timers
/// have a grain of 1 ms, so latencies may be up to 1 ms longer than set.
///
/// ```no_run
/// # async fn example() -> std::io::Result<()> {
/// use std::time::Duration;
/// use testkit::{Proxy, Side};
///
/// let any = "127.0.0.1:0".parse().unwrap();
/// let proxy = Proxy::start(any, "127.0.0.1:7001".parse().unwrap()).await?;
/// proxy.set_latency(Duration::from_millis(2));
/// proxy.silence(); // existing connections go silent, new ones work
/// proxy.set_held(Side::Down, true); // answers stop, requests still pass
/// proxy.heal();
/// # Ok(())
/// # }
/// ```
pub struct Proxy {
    addr: SocketAddr,
    controls: watch::Sender<Controls>,
    shared: Arc<Shared>,
}

impl Proxy {
    /// Starts to forward connections from `listen` to `upstream`.
    ///
    /// # Errors
    /// The address can't be bound.
    #[expect(clippy::unused_async, reason = "needs a running tokio runtime")]
    pub async fn start(listen: SocketAddr, upstream: SocketAddr) -> io::Result<Self> {
        let port = Port::reserve(listen)?;
        let addr = port.addr();
        let listener = port.listen()?;
        let controls = watch::Sender::new(Controls::new(upstream));
        let shared = Arc::new(Shared {
            accepted: AtomicU64::new(0),
            bytes_up: AtomicU64::new(0),
            bytes_down: AtomicU64::new(0),
            open: watch::Sender::new(0),
            listening: watch::Sender::new(true),
            refused: Notify::new(),
        });
        tokio::spawn(listen::run(
            port,
            listener,
            controls.subscribe(),
            Arc::clone(&shared),
        ));
        Ok(Self {
            addr,
            controls,
            shared,
        })
    }

    /// Address it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Address that new connections are forwarded to.
    #[must_use]
    pub fn upstream(&self) -> SocketAddr {
        self.controls.borrow().upstream
    }

    /// Changes the address that new connections are forwarded to.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.controls.send_modify(|c| c.upstream = upstream);
    }

    /// Delays each byte by `latency` in both directions.
    pub fn set_latency(&self, latency: Duration) {
        self.set_link(Side::Up, |link| link.latency = latency);
        self.set_link(Side::Down, |link| link.latency = latency);
    }

    /// Limits both directions to so many bytes a second per connection.
    pub fn set_bandwidth(&self, bytes_per_second: Option<u64>) {
        self.set_link(Side::Up, |link| link.bytes_per_second = bytes_per_second);
        self.set_link(Side::Down, |link| link.bytes_per_second = bytes_per_second);
    }

    /// Closes each connection after so many bytes of one direction.
    pub fn set_truncate(&self, side: Side, bytes: Option<u64>) {
        self.set_link(side, |link| link.truncate_after = bytes);
    }

    /// While held, a direction is silent and keeps its bytes; the other one goes on.
    pub fn set_held(&self, side: Side, held: bool) {
        self.set_link(side, |link| link.held = held);
    }

    /// While set, all connections are silent, also new ones. Nothing is lost, as in a partition
    /// that TCP survives.
    pub fn set_blackhole(&self, blackhole: bool) {
        self.set_held(Side::Up, blackhole);
        self.set_held(Side::Down, blackhole);
    }

    /// Changes one direction.
    pub fn set_link(&self, side: Side, change: impl FnOnce(&mut Link)) {
        self.controls.send_modify(|c| change(c.link_mut(side)));
    }

    /// Makes all connections accepted so far silent for good; new ones work.
    pub fn silence(&self) {
        let next = self.accepted();
        self.controls.send_modify(|c| c.silenced_before = next);
    }

    /// Resets all connections accepted so far; new ones work.
    pub fn cut(&self) {
        let next = self.accepted();
        self.controls.send_modify(|c| c.cut_before = next);
    }

    /// Refuses new connections, once it returns, until [`accept`](Self::accept). Existing ones
    /// go on.
    pub async fn refuse(&self) {
        self.controls.send_modify(|c| c.refuse = true);
        self.wait_listening(false).await;
    }

    /// Ends [`refuse`](Self::refuse). The port opens once the upstream accepts connections.
    pub fn accept(&self) {
        self.controls.send_modify(|c| c.refuse = false);
    }

    /// Waits until the port is open or closed.
    pub async fn wait_listening(&self, listening: bool) {
        let mut rx = self.shared.listening.subscribe();
        // The sender lives as long as `self`.
        let _ = rx.wait_for(|now| *now == listening).await;
    }

    /// Ends all lasting faults and limits but `silence`, whose connections stay silent.
    pub fn heal(&self) {
        self.controls.send_modify(|c| {
            c.up = Link::default();
            c.down = Link::default();
            c.refuse = false;
        });
    }

    /// Number of connections accepted so far.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::Acquire)
    }

    /// Number of connections open now.
    #[must_use]
    pub fn open(&self) -> usize {
        *self.shared.open.borrow()
    }

    /// Waits until the number of open connections fulfils a condition.
    pub async fn wait_open(&self, mut condition: impl FnMut(usize) -> bool) {
        let mut rx = self.shared.open.subscribe();
        // The sender lives as long as `self`.
        let _ = rx.wait_for(|open| condition(*open)).await;
    }

    /// Bytes forwarded in one direction so far.
    #[must_use]
    pub fn bytes(&self, side: Side) -> u64 {
        match side {
            Side::Up => self.shared.bytes_up.load(Ordering::Relaxed),
            Side::Down => self.shared.bytes_down.load(Ordering::Relaxed),
        }
    }
}
