use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// A reserved local TCP port.
///
/// Holds a bound socket that never listens, so that the kernel gives the port to nobody else while
/// a server on it is stopped, and connections to it are refused. A server that sets `SO_REUSEADDR`
/// (the default of `tokio` and `std`) may listen on it meanwhile.
#[derive(Debug)]
pub struct ReservedPort {
    addr: SocketAddr,
    _socket: TcpSocket,
}

impl ReservedPort {
    /// Reserves `addr`; port 0 picks a free one.
    ///
    /// # Errors
    /// The address is in use or not local.
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
    /// No port is free.
    pub fn loopback() -> io::Result<Self> {
        Self::reserve(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// The reserved address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Starts to listen on the port.
    ///
    /// # Errors
    /// Another socket listens on it already.
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
