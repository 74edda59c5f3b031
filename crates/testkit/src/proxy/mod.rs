mod controls;
mod listen;
mod relay;

pub use self::controls::{Direction, DirectionSettings};

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::{Notify, watch};

use self::controls::Controls;
use crate::port::ReservedPort;

/// Counters and state that the tasks of one proxy share.
struct Shared {
    accepted: AtomicU64,
    bytes_up: AtomicU64,
    bytes_down: AtomicU64,
    /// Connections open now.
    open: watch::Sender<usize>,
    listening: watch::Sender<bool>,
    /// Woken when the upstream refused a connection.
    upstream_refused: Notify,
}

/// TCP proxy that injects faults between a caller and one upstream address.
///
/// It refuses connections while the upstream does, after the first refusal that it met. Timers
/// have a grain of 1 ms, so latencies may be up to 1 ms longer than set.
///
/// ```no_run
/// # async fn example() -> std::io::Result<()> {
/// use std::time::Duration;
/// use testkit::{Proxy, Direction};
///
/// let any = "127.0.0.1:0".parse().unwrap();
/// let proxy = Proxy::start(any, "127.0.0.1:7001".parse().unwrap()).await?;
/// proxy.set_latency(Duration::from_millis(2));
/// proxy.silence_existing(); // existing connections go silent, new ones work
/// proxy.set_held(Direction::Down, true); // answers stop, requests still pass
/// proxy.clear_faults();
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
        let port = ReservedPort::reserve(listen)?;
        let addr = port.addr();
        let listener = port.listen()?;
        let controls = watch::Sender::new(Controls::new(upstream));
        let shared = Arc::new(Shared {
            accepted: AtomicU64::new(0),
            bytes_up: AtomicU64::new(0),
            bytes_down: AtomicU64::new(0),
            open: watch::Sender::new(0),
            listening: watch::Sender::new(true),
            upstream_refused: Notify::new(),
        });
        tokio::spawn(listen::accept_loop(
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
        self.update_direction(Direction::Up, |settings| settings.latency = latency);
        self.update_direction(Direction::Down, |settings| settings.latency = latency);
    }

    /// Limits both directions to so many bytes a second per connection.
    pub fn set_bandwidth(&self, rate: Option<u64>) {
        self.update_direction(Direction::Up, |settings| settings.bytes_per_second = rate);
        self.update_direction(Direction::Down, |settings| settings.bytes_per_second = rate);
    }

    /// Closes each connection after so many bytes of one direction.
    pub fn set_close_after(&self, direction: Direction, bytes: Option<u64>) {
        self.update_direction(direction, |settings| settings.close_after_bytes = bytes);
    }

    /// While held, a direction is silent and keeps its bytes; the other one goes on.
    pub fn set_held(&self, direction: Direction, held: bool) {
        self.update_direction(direction, |settings| settings.held = held);
    }

    /// While set, all connections are silent, also new ones. Nothing is lost, as in a partition
    /// that TCP survives.
    pub fn set_blackhole(&self, blackhole: bool) {
        self.set_held(Direction::Up, blackhole);
        self.set_held(Direction::Down, blackhole);
    }

    /// Changes one direction.
    pub fn update_direction(
        &self,
        direction: Direction,
        change: impl FnOnce(&mut DirectionSettings),
    ) {
        self.controls
            .send_modify(|c| change(c.settings_mut(direction)));
    }

    /// Makes all connections accepted so far silent for good; new ones work.
    pub fn silence_existing(&self) {
        let next = self.accepted_connections();
        self.controls.send_modify(|c| c.silenced_before = next);
    }

    /// Resets all connections accepted so far; new ones work.
    pub fn reset_existing(&self) {
        let next = self.accepted_connections();
        self.controls.send_modify(|c| c.reset_before = next);
    }

    /// Refuses new connections, once it returns, until [`accept_connections`](Self::accept_connections). Existing ones
    /// go on.
    pub async fn refuse_connections(&self) {
        self.controls.send_modify(|c| c.refuse = true);
        self.wait_listening(false).await;
    }

    /// Ends [`refuse_connections`](Self::refuse_connections). The port opens once the upstream accepts connections.
    pub fn accept_connections(&self) {
        self.controls.send_modify(|c| c.refuse = false);
    }

    /// Waits until the port is open or closed.
    pub async fn wait_listening(&self, listening: bool) {
        let mut rx = self.shared.listening.subscribe();
        // The sender lives as long as `self`.
        let _ = rx.wait_for(|now| *now == listening).await;
    }

    /// Ends all lasting faults and limits but `silence_existing`, whose connections stay silent.
    pub fn clear_faults(&self) {
        self.controls.send_modify(|c| {
            c.up = DirectionSettings::default();
            c.down = DirectionSettings::default();
            c.refuse = false;
        });
    }

    /// Number of connections accepted so far.
    #[must_use]
    pub fn accepted_connections(&self) -> u64 {
        self.shared.accepted.load(Ordering::Acquire)
    }

    /// Number of connections open now.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        *self.shared.open.borrow()
    }

    /// Waits until the number of open connections fulfils a condition.
    pub async fn wait_open_connections(&self, mut condition: impl FnMut(usize) -> bool) {
        let mut rx = self.shared.open.subscribe();
        // The sender lives as long as `self`.
        let _ = rx.wait_for(|open| condition(*open)).await;
    }

    /// Bytes forwarded in one direction so far.
    #[must_use]
    pub fn forwarded_bytes(&self, direction: Direction) -> u64 {
        match direction {
            Direction::Up => self.shared.bytes_up.load(Ordering::Relaxed),
            Direction::Down => self.shared.bytes_down.load(Ordering::Relaxed),
        }
    }
}
