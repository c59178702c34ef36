//! A server whose requests are handed to the test, which answers them by hand: it stands in for workers and for
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

/// A request that a scripted server has received, and the connection to respond on.
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
        (&self.stream).write_all(text.as_bytes()).expect("the node reads");
    }

    /// Accepts the job: responds with 202.
    pub fn accept(&self) {
        self.respond("202 Accepted");
    }

    /// Writes these bytes, which need not be a response.
    pub fn write_raw(&self, bytes: &str) {
        (&self.stream).write_all(bytes.as_bytes()).expect("the node reads");
    }

    /// Like [`Self::write_raw`] for a node that may have closed the connection; returns whether it was written.
    pub fn try_write(&self, bytes: &str) -> bool {
        (&self.stream).write_all(bytes.as_bytes()).is_ok()
    }

    /// Closes the connection, without a response where none was written.
    pub fn close(&self) {
        self.stream.shutdown(Shutdown::Both).expect("it was open");
    }
}

/// A server whose requests the test receives and answers. The end of a connection comes as an empty message.
pub struct ScriptedServer {
    pub address: SocketAddr,
    events: Receiver<ReceivedRequest>,
    /// Events that were received while the end of another connection was awaited.
    set_aside: RefCell<VecDeque<ReceivedRequest>>,
}

impl ScriptedServer {
    /// Starts a server on a free port.
    pub fn start() -> ScriptedServer {
        ScriptedServer::on(TcpListener::bind("127.0.0.1:0").expect("a free port"))
    }

    /// Starts a server on a listener that is bound already.
    pub fn on(listener: TcpListener) -> ScriptedServer {
        let address = listener.local_addr().expect("an address");
        let (event_queue, events) = channel();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let event_queue: Sender<ReceivedRequest> = event_queue.clone();
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                    let received = |message| ReceivedRequest {
                        message,
                        connection,
                        stream: stream.try_clone().expect("a handle"),
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
        ScriptedServer { address, events, set_aside: RefCell::default() }
    }

    /// This server as an endpoint of that name and status.
    pub fn endpoint_json(&self, name: &str, status: &str) -> String {
        endpoint_json(name, self.address, status)
    }

    /// The next request or end of a connection. Events of different connections may come in another order than that in
    /// which the node made them: each connection is read by a thread of its own.
    pub fn next_event(&self) -> ReceivedRequest {
        let set_aside = self.set_aside.borrow_mut().pop_front();
        set_aside.unwrap_or_else(|| self.events.recv_timeout(TEST_TIMEOUT).expect("a request"))
    }

    /// Waits for the end of that connection. Events of other connections stay to be received.
    pub fn wait_for_connection_end(&self, connection: usize) {
        let (mut others, mut event) = (VecDeque::new(), self.next_event());
        while event.connection != connection {
            others.push_back(event);
            event = self.next_event();
        }
        assert_eq!(event.message.start_line, "", "a request on connection {connection} before its end");
        others.append(&mut self.set_aside.borrow_mut());
        self.set_aside.replace(others);
    }

    /// The next request; ends of connections are skipped.
    pub fn next_request(&self) -> ReceivedRequest {
        std::iter::repeat_with(|| self.next_event())
            .find(|event| !event.message.start_line.is_empty())
            .expect("endless")
    }

    /// The next request, which must be the withdrawal of that job.
    pub fn expect_withdrawal(&self, id: &str) -> ReceivedRequest {
        let request = self.next_request();
        assert_eq!(request.message.start_line, format!("DELETE /jobs/{id} HTTP/1.1"));
        request
    }

    /// Leaves so many withdrawals unacknowledged, during which `other` must not receive the job.
    pub fn ignore_withdrawals(&self, id: &str, count: usize, other: &ScriptedServer) {
        for _ in 0..count {
            let withdrawal = self.expect_withdrawal(id);
            assert!(!other.has_pending_request(), "a second attempt beside one that may still run");
            withdrawal.close();
        }
    }

    /// The next request, if one has arrived.
    pub fn try_next_request(&self) -> Option<ReceivedRequest> {
        std::iter::from_fn(|| self.try_next_event()).find(|event| !event.message.start_line.is_empty())
    }

    /// Whether a request has arrived that the test has not received. Takes events off the queue up to that request.
    pub fn has_pending_request(&self) -> bool {
        self.try_next_request().is_some()
    }

    fn try_next_event(&self) -> Option<ReceivedRequest> {
        self.set_aside.borrow_mut().pop_front().or_else(|| self.events.try_recv().ok())
    }
}

/// Waits for the request that reaches one of two servers; returns that server, the request and the other server.
pub fn next_request_at_either<'a>(
    one: &'a ScriptedServer,
    two: &'a ScriptedServer,
) -> (&'a ScriptedServer, ReceivedRequest, &'a ScriptedServer) {
    let started = Instant::now();
    loop {
        if let Some(request) = one.try_next_request() {
            return (one, request, two);
        }
        if let Some(request) = two.try_next_request() {
            return (two, request, one);
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "no request reached either server");
        thread::yield_now();
    }
}
