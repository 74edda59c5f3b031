use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::watch;
use tokio::sync::watch::error::RecvError;

/// Direction of traffic through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Direction {
    /// From the caller to the upstream.
    Up,
    /// From the upstream to the caller.
    Down,
}

impl Direction {
    pub(crate) fn opposite(self) -> Self {
        match self {
            Self::Up => Self::Down,
            Self::Down => Self::Up,
        }
    }
}

/// Faults and limits of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DirectionSettings {
    /// Delay added to each byte.
    pub latency: Duration,
    /// Bandwidth limit per connection, `None` for unlimited.
    pub bytes_per_second: Option<u64>,
    /// Whether bytes, closes and resets are held back.
    pub held: bool,
    /// Number of bytes in this direction after which a connection is closed, `None` for never.
    pub close_after_bytes: Option<u64>,
}

/// Settings of a proxy. Connections are numbered from 0 in the order in which they are accepted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Controls {
    pub(crate) upstream: SocketAddr,
    pub(crate) up: DirectionSettings,
    pub(crate) down: DirectionSettings,
    pub(crate) refuse: bool,
    /// Connections with a lower number are silent: no bytes pass, but they stay open.
    pub(crate) silenced_before: u64,
    /// Connections with a lower number are reset.
    pub(crate) reset_before: u64,
}

impl Controls {
    pub(crate) fn new(upstream: SocketAddr) -> Self {
        Self {
            upstream,
            up: DirectionSettings::default(),
            down: DirectionSettings::default(),
            refuse: false,
            silenced_before: 0,
            reset_before: 0,
        }
    }

    pub(crate) fn settings(&self, direction: Direction) -> DirectionSettings {
        match direction {
            Direction::Up => self.up,
            Direction::Down => self.down,
        }
    }

    pub(crate) fn settings_mut(&mut self, direction: Direction) -> &mut DirectionSettings {
        match direction {
            Direction::Up => &mut self.up,
            Direction::Down => &mut self.down,
        }
    }

    /// Whether connection `id` currently passes bytes in this direction.
    pub(crate) fn passes(&self, id: u64, direction: Direction) -> bool {
        !self.settings(direction).held && !self.is_silent(id)
    }

    pub(crate) fn is_silent(&self, id: u64) -> bool {
        id < self.silenced_before
    }
}

/// Waits until the settings satisfy a condition. Returns an error once the proxy is dropped.
pub(crate) async fn wait_for_controls(
    controls: &mut watch::Receiver<Controls>,
    condition: impl FnMut(&Controls) -> bool,
) -> Result<(), RecvError> {
    controls.wait_for(condition).await.map(|_| ())
}
