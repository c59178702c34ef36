//! Socket of a connection to a worker. It records whether bytes were written and read, and makes the last
//! check before the first byte of a request.

use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, IoSlice, Read};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;
use tracing::{debug, error};

use crate::attempt::SendPermit;
use crate::telemetry::logging::UPSTREAM;
use crate::telemetry::metrics::{Counter, Metrics};

/// State that a connection shares with its [`Socket`]: progress and send permit of the latest request, and
/// the handling of unsent bytes.
#[derive(Default)]
pub struct SocketState {
    request_byte_written: Cell<bool>,
    response_byte_read: Cell<bool>,
    /// Whether closing the connection discards the bytes that the worker's system has not received yet.
    discards_unsent: Cell<bool>,
    /// Permit for the first byte of the latest request, or `None` before the first request.
    send_permit: RefCell<Option<Rc<SendPermit>>>,
}

impl SocketState {
    /// Prepares the state for another request with this permit.
    pub fn begin_request(&self, send_permit: Rc<SendPermit>) {
        *self.send_permit.borrow_mut() = Some(send_permit);
        self.request_byte_written.set(false);
        self.response_byte_read.set(false);
    }

    /// Returns whether a byte of the request was written, so that the request may have arrived.
    pub fn has_written_request_byte(&self) -> bool {
        self.request_byte_written.get()
    }

    /// Returns whether a byte was read since the connection was given the request.
    pub fn has_read_response_byte(&self) -> bool {
        self.response_byte_read.get()
    }

    /// Makes the close of the connection discard the bytes that the worker's system has not received yet.
    /// Otherwise the operating system continues to deliver them.
    pub fn set_discard_unsent(&self) {
        self.discards_unsent.set(true);
    }

    fn is_send_permitted(&self) -> bool {
        self.send_permit.borrow().as_ref().is_none_or(|permit| permit.is_valid())
    }
}

/// A TCP stream that records reads and writes in its [`SocketState`].
///
/// Before the first byte of a request, the socket checks that the send permit is still valid, and that the
/// worker has neither closed the connection nor sent anything. The task that drives the connection may not
/// have noticed the close or the received data yet.
pub struct Socket {
    stream: TcpStream,
    socket_state: Rc<SocketState>,
    metrics: Metrics,
}

impl Socket {
    /// Creates a socket that records reads and writes in `socket_state`.
    pub fn new(stream: TcpStream, socket_state: Rc<SocketState>, metrics: Metrics) -> Self {
        Socket { stream, socket_state, metrics }
    }

    /// Fails if the first byte of a request must not be written. A request that has begun is continued.
    fn check_before_first_byte(&self) -> io::Result<()> {
        if self.socket_state.has_written_request_byte() {
            return Ok(());
        }
        if !self.socket_state.is_send_permitted() {
            // hyper already holds the request and would write it as soon as possible. Only closing the
            // connection prevents that.
            return Err(ErrorKind::ConnectionAborted.into());
        }
        self.check_nothing_received()
    }

    /// Fails if the worker has closed the connection or sent something without a request. A byte that is read
    /// here is lost, which does no harm because the connection is then closed.
    fn check_nothing_received(&self) -> io::Result<()> {
        match (&*SockRef::from(&self.stream)).read(&mut [0]) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
            Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
            Ok(_) => {
                self.metrics.add(Counter::MalformedWorkerResponses);
                let address = self.stream.peer_addr().ok();
                debug!(target: UPSTREAM, ?address, "unsolicited data received");
                Err(ErrorKind::InvalidData.into())
            }
        }
    }

    fn record_write(&self, written: io::Result<usize>) -> io::Result<usize> {
        if matches!(written, Ok(1..)) && !self.socket_state.request_byte_written.replace(true) {
            self.record_late_first_byte();
        }
        written
    }
}

impl Socket {
    /// Counts and logs a first byte that was sent too late despite the checks, for example because the
    /// process was stalled before the write.
    fn record_late_first_byte(&self) {
        let Some(send_permit) = self.socket_state.send_permit.borrow().clone() else { return };
        if let Err(reason) = send_permit.check_sent(Instant::now()) {
            self.metrics.record_violation(reason);
            let request_id = send_permit.request_id();
            let address = self.stream.peer_addr().ok();
            error!(target: UPSTREAM, %reason, request_id, ?address, "permission violation");
        }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if self.socket_state.discards_unsent.get() {
            // Setting the option fails only on a closed connection.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() > filled_before {
            self.socket_state.response_byte_read.set(true);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_before_first_byte()?;
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes));
        Poll::Ready(self.record_write(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_before_first_byte()?;
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, bytes));
        Poll::Ready(self.record_write(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
