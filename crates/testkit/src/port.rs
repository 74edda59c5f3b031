use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// A reserved local TCP port.
///
/// Holds a bound socket that never listens. While no server listens on the port, the kernel refuses
/// connections to it and does not assign it to another process. A server that sets `SO_REUSEADDR`
/// (the default in `tokio` and `std`) can listen on it at the same time.
#[derive(Debug)]
pub struct ReservedPort {
    addr: SocketAddr,
    _socket: TcpSocket,
}

impl ReservedPort {
    /// Reserves `addr`. Port 0 picks a free port.
    ///
    /// # Errors
    /// Returns an error if the address is in use or not local.
    pub fn reserve(addr: SocketAddr) -> io::Result<Self> {
        let socket = bind_reusable(addr)?;
        Ok(Self {
            addr: socket.local_addr()?,
            _socket: socket,
        })
    }

    /// Reserves a free loopback port.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub fn loopback() -> io::Result<Self> {
        Self::reserve(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// The reserved address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Listens on the port.
    ///
    /// # Errors
    /// Returns an error if another socket already listens on the port.
    pub fn listen(&self) -> io::Result<TcpListener> {
        bind_reusable(self.addr)?.listen(1024)
    }
}

fn bind_reusable(addr: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    Ok(socket)
}
