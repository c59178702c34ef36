//! A server that passes its requests to the test, which sends the responses. It stands in for workers and for
//! discovery.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Instant;

use super::TEST_TIMEOUT;
use super::http_message::HttpMessage;
use super::scripted_discovery::endpoint_json;

/// A request that a scripted server has received, with the connection for the response.
pub struct ReceivedRequest {
    pub message: HttpMessage,
    /// Number of the connection, in the order in which the server accepted them.
    pub connection: usize,
    stream: TcpStream,
}

impl ReceivedRequest {
    /// Responds with this status and an empty body.
    pub fn respond(&self, status: &str) {
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        (&self.stream).write_all(text.as_bytes()).expect("writing the response failed");
    }

    /// Accepts the job: responds with 202.
    pub fn accept(&self) {
        self.respond("202 Accepted");
    }

    /// Writes these bytes, which may be malformed or a part of a response.
    pub fn write_raw(&self, bytes: &str) {
        (&self.stream).write_all(bytes.as_bytes()).expect("writing to the node failed");
    }

    /// Writes these bytes to a node that may have closed the connection. Returns whether the bytes were
    /// written.
    pub fn try_write(&self, bytes: &str) -> bool {
        (&self.stream).write_all(bytes.as_bytes()).is_ok()
    }

    /// Closes the connection, without a response if none was written.
    pub fn close(&self) {
        self.stream.shutdown(Shutdown::Both).expect("the connection was already closed");
    }
}

/// A server whose requests the test receives and responds to. The close of a connection arrives as an empty
/// message.
pub struct ScriptedServer {
    pub address: SocketAddr,
    events: Receiver<ReceivedRequest>,
    /// Events that were received while the test waited for the close of another connection.
    skipped_events: RefCell<VecDeque<ReceivedRequest>>,
}

impl ScriptedServer {
    /// Starts a server on a free port.
    pub fn start() -> ScriptedServer {
        ScriptedServer::from_listener(TcpListener::bind("127.0.0.1:0").expect("binding a port failed"))
    }

    /// Starts a server on a bound listener.
    pub fn from_listener(listener: TcpListener) -> ScriptedServer {
        let address = listener.local_addr().expect("the listener has no address");
        let (event_queue, events) = channel();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                stream.set_nodelay(true).expect("setting TCP_NODELAY failed");
                let event_queue: Sender<ReceivedRequest> = event_queue.clone();
                thread::spawn(move || {
                    let mut reader =
                        BufReader::new(stream.try_clone().expect("duplicating the stream failed"));
                    let received = |message| ReceivedRequest {
                        message,
                        connection,
                        stream: stream.try_clone().expect("duplicating the stream failed"),
                    };
                    while let Some(message) = HttpMessage::read(&mut reader) {
                        if event_queue.send(received(message)).is_err() {
                            return;
                        }
                    }
                    let _ = event_queue.send(received(HttpMessage::default()));
                });
            }
        });
        ScriptedServer { address, events, skipped_events: RefCell::default() }
    }

    /// Returns this server as an endpoint with this name and status.
    pub fn endpoint_json(&self, name: &str, status: &str) -> String {
        endpoint_json(name, self.address, status)
    }

    /// Waits for the next event, a request or the close of a connection. Events of different connections may
    /// arrive in a different order than the node caused them, because each connection is read by its own
    /// thread.
    pub fn next_event(&self) -> ReceivedRequest {
        let skipped_events = self.skipped_events.borrow_mut().pop_front();
        skipped_events
            .unwrap_or_else(|| self.events.recv_timeout(TEST_TIMEOUT).expect("no request or close arrived"))
    }

    /// Waits for the close of this connection. Events of other connections stay queued for the test.
    pub fn wait_for_connection_close(&self, connection: usize) {
        let (mut others, mut event) = (VecDeque::new(), self.next_event());
        while event.connection != connection {
            others.push_back(event);
            event = self.next_event();
        }
        assert_eq!(
            event.message.start_line, "",
            "a request arrived on connection {connection} before its close"
        );
        others.append(&mut self.skipped_events.borrow_mut());
        self.skipped_events.replace(others);
    }

    /// Waits for the next request. Skips closes of connections.
    pub fn next_request(&self) -> ReceivedRequest {
        std::iter::repeat_with(|| self.next_event())
            .find(|event| !event.message.start_line.is_empty())
            .expect("the iterator is endless")
    }

    /// Waits for the next request, which must be the cancellation of this job.
    pub fn expect_cancellation(&self, id: &str) -> ReceivedRequest {
        let request = self.next_request();
        assert_eq!(request.message.start_line, format!("DELETE /jobs/{id} HTTP/1.1"));
        request
    }

    /// Leaves `count` cancellations of the job unacknowledged, and asserts that `other` does not receive the
    /// job in the meantime.
    pub fn ignore_cancellations(&self, id: &str, count: usize, other: &ScriptedServer) {
        for _ in 0..count {
            let cancellation = self.expect_cancellation(id);
            assert!(!other.has_pending_request(), "another attempt began while the first one may still run");
            cancellation.close();
        }
    }

    /// Returns the next request if one has arrived. Does not wait.
    pub fn try_next_request(&self) -> Option<ReceivedRequest> {
        std::iter::from_fn(|| self.try_next_event()).find(|event| !event.message.start_line.is_empty())
    }

    /// Returns whether a request has arrived that the test has not received. Removes the events up to and
    /// including that request from the queue.
    pub fn has_pending_request(&self) -> bool {
        self.try_next_request().is_some()
    }

    fn try_next_event(&self) -> Option<ReceivedRequest> {
        self.skipped_events.borrow_mut().pop_front().or_else(|| self.events.try_recv().ok())
    }
}

/// Waits for a request to either of two servers. Returns the server that received it, the request, and the
/// other server.
pub fn next_request_at_either<'a>(
    first: &'a ScriptedServer,
    second: &'a ScriptedServer,
) -> (&'a ScriptedServer, ReceivedRequest, &'a ScriptedServer) {
    let started = Instant::now();
    loop {
        if let Some(request) = first.try_next_request() {
            return (first, request, second);
        }
        if let Some(request) = second.try_next_request() {
            return (second, request, first);
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "no request reached either server");
        thread::yield_now();
    }
}
