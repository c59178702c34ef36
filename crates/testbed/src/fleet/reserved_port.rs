//! Ports of workers, reserved for the whole run.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

const LISTEN_BACKLOG: u32 = 1024;

/// A port that no other process can bind, also while nothing listens there: a worker that is down refuses connections,
/// and listens at the same port when it starts again.
pub(super) struct ReservedPort {
    pub(super) address: SocketAddr,
    /// Bound without listening for as long as the port is reserved.
    _placeholder: socket2::Socket,
}

impl ReservedPort {
    /// Reserves a free port on loopback.
    pub(super) fn reserve() -> io::Result<ReservedPort> {
        let placeholder = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        // SO_REUSEPORT admits the worker's own listener; SO_REUSEADDR would let any process bind the port.
        placeholder.set_reuse_port(true)?;
        placeholder.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        let address = placeholder.local_addr()?.as_socket();
        let address = address.ok_or_else(|| io::Error::other("the system gave no address"))?;
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
