//! Ports that stay reserved while nothing listens on them.
//!
//! The reservation is a bound socket that never listens. The kernel gives its port to no other
//! socket that asks for a free one, but allows a listener that sets `SO_REUSEADDR`, as tokio and
//! the standard library do. Connections are refused until there is one.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
};

use tokio::net::{TcpListener, TcpSocket};

/// Connections that wait to be accepted; above the parallel connections of any test.
const LISTEN_BACKLOG: u32 = 1024;

/// A loopback port that is reserved until this is dropped.
#[derive(Debug)]
pub struct ReservedPort {
    _socket: TcpSocket,
    addr: SocketAddr,
}

impl ReservedPort {
    /// Reserves a free port on the loopback address.
    pub fn reserve() -> io::Result<Self> {
        Self::bind((Ipv4Addr::LOCALHOST, 0).into())
    }

    /// Reserves the given port, or a free one if it is 0.
    pub fn bind(addr: SocketAddr) -> io::Result<Self> {
        let socket = bind_socket(addr)?;
        let addr = socket.local_addr()?;
        Ok(Self { _socket: socket, addr })
    }

    /// The reserved address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Listens on the port.
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
