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

/// Counters and state shared by the tasks of a proxy.
struct Shared {
    accepted: AtomicU64,
    bytes_up: AtomicU64,
    bytes_down: AtomicU64,
    /// Number of open connections.
    open: watch::Sender<usize>,
    listening: watch::Sender<bool>,
    /// Notified when the upstream refuses a connection.
    upstream_refused: Notify,
}

/// TCP proxy that injects faults between a caller and one upstream address.
///
/// When the upstream refuses a connection, the proxy resets the caller's connection and refuses new
/// ones until the upstream accepts again. Timers have a resolution of 1 ms, so latencies may be up
/// to 1 ms longer than configured.
///
/// ```no_run
/// # async fn example() -> std::io::Result<()> {
/// use std::time::Duration;
/// use testkit::{Proxy, Direction};
///
/// let any = "127.0.0.1:0".parse().unwrap();
/// let proxy = Proxy::start(any, "127.0.0.1:7001".parse().unwrap()).await?;
/// proxy.set_latency(Duration::from_millis(2));
/// proxy.silence_existing(); // existing connections become silent, new ones work
/// proxy.set_held(Direction::Down, true); // responses are held back, requests still pass
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
    /// Starts a proxy that forwards connections from `listen` to `upstream`.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
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

    /// Address that the proxy listens on.
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

    /// Limits the bytes per second of each connection, separately in each direction.
    pub fn set_bandwidth(&self, rate: Option<u64>) {
        self.update_direction(Direction::Up, |settings| settings.bytes_per_second = rate);
        self.update_direction(Direction::Down, |settings| settings.bytes_per_second = rate);
    }

    /// Closes each connection once it has passed so many bytes in one direction.
    pub fn set_close_after(&self, direction: Direction, bytes: Option<u64>) {
        self.update_direction(direction, |settings| settings.close_after_bytes = bytes);
    }

    /// Holds back the traffic of one direction without losing bytes. The other direction is not
    /// affected.
    pub fn set_held(&self, direction: Direction, held: bool) {
        self.update_direction(direction, |settings| settings.held = held);
    }

    /// Holds back the traffic of both directions for all connections, including new ones. No bytes
    /// are lost, as in a network partition shorter than the TCP timeouts.
    pub fn set_blackhole(&self, blackhole: bool) {
        self.set_held(Direction::Up, blackhole);
        self.set_held(Direction::Down, blackhole);
    }

    /// Changes the settings of one direction.
    pub fn update_direction(
        &self,
        direction: Direction,
        change: impl FnOnce(&mut DirectionSettings),
    ) {
        self.controls
            .send_modify(|c| change(c.settings_mut(direction)));
    }

    /// Makes all connections accepted so far silent permanently. New connections are not affected.
    pub fn silence_existing(&self) {
        let next = self.accepted_connections();
        self.controls.send_modify(|c| c.silenced_before = next);
    }

    /// Resets all connections accepted so far. New connections are not affected.
    pub fn reset_existing(&self) {
        let next = self.accepted_connections();
        self.controls.send_modify(|c| c.reset_before = next);
    }

    /// Refuses new connections until [`accept_connections`](Self::accept_connections). Returns once
    /// the port is closed. Existing connections are not affected.
    pub async fn refuse_connections(&self) {
        self.controls.send_modify(|c| c.refuse = true);
        self.wait_listening(false).await;
    }

    /// Ends [`refuse_connections`](Self::refuse_connections). The port reopens once the upstream
    /// accepts connections.
    pub fn accept_connections(&self) {
        self.controls.send_modify(|c| c.refuse = false);
    }

    /// Waits until the port is open (`listening` is true) or closed.
    pub async fn wait_listening(&self, listening: bool) {
        let mut rx = self.shared.listening.subscribe();
        // Never fails: the sender lives as long as `self`.
        let _ = rx.wait_for(|now| *now == listening).await;
    }

    /// Clears all settings of both directions and ends the refusal of connections. Connections made
    /// silent by [`silence_existing`](Self::silence_existing) stay silent.
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

    /// Number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        *self.shared.open.borrow()
    }

    /// Waits until the number of open connections satisfies a condition.
    pub async fn wait_open_connections(&self, mut condition: impl FnMut(usize) -> bool) {
        let mut rx = self.shared.open.subscribe();
        // Never fails: the sender lives as long as `self`.
        let _ = rx.wait_for(|open| condition(*open)).await;
    }

    /// Number of bytes forwarded in one direction so far.
    #[must_use]
    pub fn forwarded_bytes(&self, direction: Direction) -> u64 {
        match direction {
            Direction::Up => self.shared.bytes_up.load(Ordering::Relaxed),
            Direction::Down => self.shared.bytes_down.load(Ordering::Relaxed),
        }
    }
}
