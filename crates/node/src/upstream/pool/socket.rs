//! The socket under a connection to a worker: accounts for what passes over it and makes the last check
//! before the first byte of a request.

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

/// What has passed over a connection since it was given its last request.
#[derive(Default)]
pub struct Traffic {
    request_written: Cell<bool>,
    response_read: Cell<bool>,
    /// Whether the end of the connection discards what the worker's system has not received yet.
    discards_unsent: Cell<bool>,
    /// Whether the first byte of that request may be written; `None` before the first request.
    send_permit: RefCell<Option<Rc<SendPermit>>>,
}

impl Traffic {
    /// Starts the account of another request.
    pub fn begin_request(&self, send_permit: Rc<SendPermit>) {
        *self.send_permit.borrow_mut() = Some(send_permit);
        self.request_written.set(false);
        self.response_read.set(false);
    }

    /// Whether a byte of the request was written, so that it may have arrived.
    pub fn request_written(&self) -> bool {
        self.request_written.get()
    }

    /// Whether a byte was read since the connection was given the request.
    pub fn response_read(&self) -> bool {
        self.response_read.get()
    }

    /// Has the end of the connection discard what the worker's system has not received yet. Otherwise the system
    /// continues to deliver that.
    pub fn discard_unsent(&self) {
        self.discards_unsent.set(true);
    }

    fn is_send_permitted(&self) -> bool {
        self.send_permit.borrow().as_ref().is_none_or(|permit| permit.is_valid())
    }
}

/// A TCP stream with an account of its [`Traffic`].
///
/// Before the first byte of a request it checks that the send permit is still valid, and that the worker has
/// neither closed the connection nor sent anything, which the driver of the connection may not have noticed
/// yet.
pub struct Socket {
    stream: TcpStream,
    traffic: Rc<Traffic>,
    metrics: Metrics,
}

impl Socket {
    /// A socket that accounts to `traffic`.
    pub fn new(stream: TcpStream, traffic: Rc<Traffic>, metrics: Metrics) -> Self {
        Socket { stream, traffic, metrics }
    }

    /// Fails if a request must not begin on this connection. A request that has begun is continued.
    fn check_before_first_byte(&self) -> io::Result<()> {
        if self.traffic.request_written() {
            return Ok(());
        }
        if !self.traffic.is_send_permitted() {
            // hyper has taken the request and would write it as soon as it can: only the end of the
            // connection prevents that.
            return Err(ErrorKind::ConnectionAborted.into());
        }
        self.check_nothing_received()
    }

    /// Fails if the worker has closed the connection or sent something without a request. The byte that is
    /// read here is lost, which is no loss, since the connection is then closed.
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
        if matches!(written, Ok(1..)) && !self.traffic.request_written.replace(true) {
            self.check_first_byte();
        }
        written
    }
}

impl Socket {
    /// Counts a first byte that was sent too late despite the checks, as when the process was stalled before the write.
    fn check_first_byte(&self) {
        let Some(send_permit) = self.traffic.send_permit.borrow().clone() else { return };
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
        if self.traffic.discards_unsent.get() {
            // The option fails only on a connection that has ended.
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
            self.traffic.response_read.set(true);
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
