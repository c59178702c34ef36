//! A worker with a full accept backlog.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use super::TEST_TIMEOUT;
use super::scripted_discovery::endpoint_json;

/// A worker whose accept backlog is full. No further connection is established until the test drains the
/// backlog.
pub struct FullBacklogWorker {
    listener: TcpListener,
    /// Connections that fill the backlog.
    backlog: Vec<TcpStream>,
}

impl FullBacklogWorker {
    /// Starts a worker and fills its backlog.
    pub fn start() -> FullBacklogWorker {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("creating the socket failed");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("binding a port failed");
        socket.listen(0).expect("listening on the socket failed");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("the listener has no address");
        let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(300));
        let backlog = std::iter::from_fn(|| fill().ok()).collect();
        FullBacklogWorker { listener, backlog }
    }

    /// Returns this worker as the endpoint `s-1` with the given status.
    pub fn endpoint_json(&self, status: &str) -> String {
        endpoint_json("s-1", self.listener.local_addr().expect("the listener has no address"), status)
    }

    /// Accepts the connections of the backlog, so that further ones can be established.
    pub fn drain_backlog(&self) {
        self.backlog
            .iter()
            .for_each(|_| _ = self.listener.accept().expect("accepting a connection of the backlog failed"));
    }

    /// Returns the next established connection, if there is one. Does not wait.
    pub fn try_accept(&self) -> Option<TcpStream> {
        self.listener.set_nonblocking(true).expect("making the listener non-blocking failed");
        let (stream, _) = self.listener.accept().ok()?;
        stream.set_nonblocking(false).expect("making the stream blocking failed");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("setting the read timeout failed");
        Some(stream)
    }

    /// Waits for the next connection.
    pub fn accept(&self) -> TcpStream {
        let started = Instant::now();
        loop {
            if let Some(stream) = self.try_accept() {
                return stream;
            }
            assert!(started.elapsed() < TEST_TIMEOUT, "no connection was established");
            thread::yield_now();
        }
    }
}
