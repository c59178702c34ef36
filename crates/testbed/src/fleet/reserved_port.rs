//! Ports of workers, which are reserved for the whole run.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Port that no other process can bind, even while the worker does not listen. A worker that is down thus
/// refuses connections, and listens at the same port when it starts again.
pub(super) struct ReservedPort {
    pub(super) address: SocketAddr,
    /// Socket that reserves the port: it is bound to the port and does not listen.
    _placeholder: socket2::Socket,
}

impl ReservedPort {
    /// Reserves a free port on loopback.
    pub(super) fn reserve() -> io::Result<ReservedPort> {
        let placeholder = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        // SO_REUSEPORT lets the worker's own listener bind the port. SO_REUSEADDR would let any process do so.
        placeholder.set_reuse_port(true)?;
        placeholder.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        let address = placeholder.local_addr()?.as_socket();
        let address = address.ok_or_else(|| io::Error::other("the reserved socket has no IP address"))?;
        Ok(ReservedPort { address, _placeholder: placeholder })
    }

    /// Opens a listener at the port.
    pub(super) fn listen(&self) -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseport(true)?;
        socket.bind(self.address)?;
        socket.listen(LISTEN_BACKLOG)
    }
}
