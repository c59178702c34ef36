//! A worker that accepts no connection until the test lets it.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use super::TEST_TIMEOUT;
use super::scripted_discovery::endpoint_json;

/// A worker whose accept backlog is full: a further connection is not established until the backlog is drained.
pub struct FullBacklogWorker {
    listener: TcpListener,
    /// The connections that fill the backlog.
    backlog: Vec<TcpStream>,
}

impl FullBacklogWorker {
    /// Starts a worker and fills its backlog.
    pub fn start() -> FullBacklogWorker {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
        socket.listen(0).expect("it listens");
        let listener = TcpListener::from(socket);
        let at = listener.local_addr().expect("an address");
        let fill = || TcpStream::connect_timeout(&at, Duration::from_millis(300));
        let backlog = std::iter::from_fn(|| fill().ok()).collect();
        FullBacklogWorker { listener, backlog }
    }

    /// This worker as the endpoint `s-1` of that status.
    pub fn endpoint_json(&self, status: &str) -> String {
        endpoint_json("s-1", self.listener.local_addr().expect("an address"), status)
    }

    /// Accepts the connections of the backlog, so that others are established.
    pub fn drain_backlog(&self) {
        self.backlog.iter().for_each(|_| _ = self.listener.accept().expect("one of the backlog"));
    }

    /// The connection that has been established, if one has.
    pub fn try_accept(&self) -> Option<TcpStream> {
        self.listener.set_nonblocking(true).expect("a listener");
        let (stream, _) = self.listener.accept().ok()?;
        stream.set_nonblocking(false).expect("a stream");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        Some(stream)
    }

    /// Waits for the next connection.
    pub fn accept(&self) -> TcpStream {
        let started = Instant::now();
        loop {
            if let Some(stream) = self.try_accept() {
                return stream;
            }
            assert!(started.elapsed() < TEST_TIMEOUT, "nothing came");
            thread::yield_now();
        }
    }
}
