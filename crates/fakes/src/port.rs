//! TCP ports that stay reserved while nothing listens on them.
//!
//! The reservation is a bound socket that never listens. The kernel does not hand out its port as
//! a free one, but lets a listener with `SO_REUSEADDR`, which tokio and the standard library set,
//! bind to it. Connections are refused until there is such a listener.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
};

use tokio::net::{TcpListener, TcpSocket};

/// Maximum number of connections that wait to be accepted; larger than the number of concurrent
/// connections in any test.
const LISTEN_BACKLOG: u32 = 1024;

/// Reservation of a port; released on drop.
#[derive(Debug)]
pub struct ReservedPort {
    _socket: TcpSocket,
    addr: SocketAddr,
}

impl ReservedPort {
    /// Reserves a free loopback port.
    pub fn reserve() -> io::Result<Self> {
        Self::bind((Ipv4Addr::LOCALHOST, 0).into())
    }

    /// Reserves the given address; port 0 selects a free port.
    pub fn bind(addr: SocketAddr) -> io::Result<Self> {
        let socket = bind_socket(addr)?;
        let addr = socket.local_addr()?;
        Ok(Self { _socket: socket, addr })
    }

    /// Reserved address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Starts listening on the reserved address.
    pub fn listen(&self) -> io::Result<TcpListener> {
        bind_socket(self.addr)?.listen(LISTEN_BACKLOG)
    }
}

fn bind_socket(addr: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    Ok(socket)
}
