//! Inspects the data that arrives on a connection before hyper parses it.
//!
//! Each head is checked here first: if a request has both Content-Length and Transfer-Encoding, hyper drops
//! the length, and another server that uses the length may see a second request in the body (request
//! smuggling). The filter also applies the read timeout, and keeps reading while a request is being answered,
//! so that a closed connection is noticed.

use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::BytesMut;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::{Connection, ConnectionState, MAX_HEAD_BYTES, READ_CHUNK_BYTES};
use crate::telemetry::metrics::{Counter, Metrics};

/// Maximum number of headers of a request, as in hyper.
const MAX_HEADERS: usize = 100;
/// Substitute that hyper reads instead of a request that must not be served. hyper answers it with status 400
/// and closes the connection.
const INVALID_REQUEST: &[u8] = b"REFUSED\r\n\r\n";
/// Substitute that hyper reads instead of an incomplete request at a shutdown; see
/// [`Connection::is_request_rejected`].
const REJECTED_REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";
/// Value of [`ReadFilter::forwardable_bytes`] for a stream that is forwarded to its end.
const UNLIMITED_BYTES: u64 = u64::MAX;

/// Read side of a connection, between its socket and hyper.
pub struct ReadFilter {
    pub(super) stream: TcpStream,
    pub(super) connection: Rc<Connection>,
    /// Bytes that were read from the socket and not yet forwarded.
    buffered: BytesMut,
    /// Number of bytes that may be forwarded: an inspected head and its body.
    forwardable_bytes: u64,
    metrics: Metrics,
    /// Whether this node has stopped accepting jobs. Incomplete requests are then rejected, so that their
    /// clients may send them to another node.
    intake_closed: Rc<Cell<bool>>,
}

impl ReadFilter {
    /// Creates the filter for a connection that was just accepted.
    pub fn new(
        stream: TcpStream,
        connection: Rc<Connection>,
        metrics: Metrics,
        intake_closed: Rc<Cell<bool>>,
    ) -> ReadFilter {
        let buffered = BytesMut::new();
        ReadFilter { stream, connection, buffered, forwardable_bytes: 0, metrics, intake_closed }
    }

    /// Returns the socket, once hyper has finished with it. Buffered bytes are dropped.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Duplicates the socket's descriptor. Returns `None` if bytes have arrived after the request, since
    /// these would be lost, if the request is the last one on the connection, or if the descriptor cannot be
    /// duplicated.
    pub fn duplicate_socket(&self) -> Option<OwnedFd> {
        if !self.buffered.is_empty() || self.connection.is_last_request() {
            return None;
        }
        self.stream.as_fd().try_clone_to_owned().ok()
    }

    /// Returns whether data has arrived that was not forwarded yet, in the buffer or in the socket.
    pub fn has_pending_input(&self) -> bool {
        !self.buffered.is_empty() || self.has_unread_input()
    }

    /// Returns whether the socket has unread bytes, an unread end of the stream or an unread error.
    fn has_unread_input(&self) -> bool {
        !self.peek().is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Returns whether the remote end has closed or reset the connection, and all data that it sent before
    /// was read.
    pub fn is_disconnected(&self) -> bool {
        match self.peek() {
            Ok(bytes) => bytes == 0,
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }

    /// Returns the number of bytes that can be read immediately, limited to 1. Queries the operating system,
    /// since the runtime may not have been notified yet of data that has arrived.
    fn peek(&self) -> io::Result<usize> {
        socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()])
    }

    /// Keeps reading while a request is being answered, since the end of the stream can only be read after
    /// all data that was sent before it. Returns `Ready` once the remote end has closed the connection.
    pub fn poll_disconnected(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while self.connection.state() == ConnectionState::Busy {
            let mut chunk = [MaybeUninit::uninit(); READ_CHUNK_BYTES];
            let mut chunk = ReadBuf::uninit(&mut chunk);
            let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut chunk));
            if read.is_err() || chunk.filled().is_empty() {
                return Poll::Ready(());
            }
            if self.buffered.len() + chunk.filled().len() > MAX_HEAD_BYTES {
                // No client that waits for its response sends that much data.
                self.connection.mark_last_request();
                self.buffered.clear();
            }
            if !self.connection.is_last_request() {
                self.buffered.extend_from_slice(chunk.filled());
            }
        }
        // No waker is needed: only hyper makes the connection busy, and this function is polled after hyper.
        Poll::Pending
    }

    /// Reads for hyper: forwards the inspected data, and nothing while a request is being answered.
    pub(super) fn poll_read(
        &mut self,
        context: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            if self.forwardable_bytes > 0 && !self.buffered.is_empty() {
                self.forward_buffered(out);
                return Poll::Ready(Ok(()));
            }
            // hyper expects that only the socket can wake a pending read.
            self.connection.read_waker.replace(Some(context.waker().clone()));
            if self.connection.state() == ConnectionState::Busy {
                // Data after the request is inspected once this request is answered. Until then,
                // `poll_disconnected` reads it.
                return Poll::Pending;
            }
            if self.forwardable_bytes == 0 && !self.buffered.is_empty() {
                if self.connection.state() != ConnectionState::Reading {
                    self.connection.enter(ConnectionState::Reading);
                }
                self.inspect_head();
                if self.forwardable_bytes > 0 {
                    continue;
                }
            }
            // Data that has arrived is read first, even if it is late: it may be the end of a request, which
            // would be lost. Its length is bounded.
            if self.connection.read_expired.replace(false) && !self.has_unread_input() {
                self.metrics.add(Counter::ConnectionsTimedOut);
                if self.forwardable_bytes > 0 || self.buffered.is_empty() {
                    return Poll::Ready(Ok(()));
                }
                if self.intake_closed.get() {
                    self.substitute_rejected_request();
                } else {
                    self.substitute_invalid_request();
                }
                continue;
            }
            if ready!(self.poll_fill_buffer(context))? == 0 {
                return Poll::Ready(Ok(()));
            }
        }
    }

    /// Moves buffered bytes that may be forwarded to the reader.
    fn forward_buffered(&mut self, out: &mut ReadBuf<'_>) {
        let limit = usize::try_from(self.forwardable_bytes).unwrap_or(usize::MAX);
        let part = self.buffered.split_to(limit.min(self.buffered.len()).min(out.remaining()));
        out.put_slice(&part);
        if self.forwardable_bytes != UNLIMITED_BYTES {
            self.forwardable_bytes -= part.len() as u64;
        }
    }

    /// Reads from the socket into the buffer. Returns the number of bytes, which is 0 at the end of the
    /// stream.
    fn poll_fill_buffer(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut chunk = [MaybeUninit::uninit(); READ_CHUNK_BYTES];
        let mut chunk = ReadBuf::uninit(&mut chunk);
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut chunk))?;
        let read = chunk.filled().len();
        if read > 0 {
            self.connection.last_progress_at.set(Instant::now());
            self.buffered.extend_from_slice(chunk.filled());
        }
        Poll::Ready(Ok(read))
    }

    /// Inspects the buffered head. If the head is complete, allows it to be forwarded together with its body.
    fn inspect_head(&mut self) {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let head_bytes = match head.parse(&self.buffered) {
            Ok(httparse::Status::Complete(head_bytes)) => head_bytes as u64,
            Ok(httparse::Status::Partial) if self.buffered.len() <= MAX_HEAD_BYTES => return,
            // hyper answers a malformed head with a more precise status, and reads nothing after it.
            Ok(httparse::Status::Partial) | Err(_) => {
                self.metrics.add(Counter::RequestsMalformed);
                self.forwardable_bytes = UNLIMITED_BYTES;
                return;
            }
        };
        match BodyFraming::of(head.headers) {
            BodyFraming::Length(body_bytes) => {
                self.forwardable_bytes = head_bytes.saturating_add(body_bytes);
            }
            BodyFraming::Chunked => {
                // Only hyper can determine the end of a chunked body.
                self.connection.mark_last_request();
                self.forwardable_bytes = UNLIMITED_BYTES;
            }
            BodyFraming::Ambiguous => self.substitute_invalid_request(),
        }
    }

    /// Makes hyper answer with status 400 instead of serving the buffered request.
    fn substitute_invalid_request(&mut self) {
        self.metrics.add(Counter::RequestsMalformed);
        self.substitute(INVALID_REQUEST);
    }

    /// Makes the service answer with status 503 instead of serving the buffered request.
    fn substitute_rejected_request(&mut self) {
        self.connection.mark_request_rejected();
        self.substitute(REJECTED_REQUEST);
    }

    /// Forwards `request` instead of the buffered data, and then all data that follows.
    fn substitute(&mut self, request: &[u8]) {
        self.buffered.clear();
        self.buffered.extend_from_slice(request);
        self.forwardable_bytes = UNLIMITED_BYTES;
    }
}

/// Framing of a request's body, which determines the end of the body.
enum BodyFraming {
    /// The body has this length in bytes, which is 0 if the request has no body.
    Length(u64),
    /// The request has Transfer-Encoding and no Content-Length.
    Chunked,
    /// The request has several lengths, an invalid length, or a length besides Transfer-Encoding.
    Ambiguous,
}

impl BodyFraming {
    fn of(headers: &[httparse::Header]) -> BodyFraming {
        let headers_named =
            |name: &'static str| headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name));
        let is_chunked = headers_named("transfer-encoding").next().is_some();
        let mut lengths = headers_named("content-length").map(parse_content_length);
        match (lengths.next(), lengths.next(), is_chunked) {
            (None, _, false) => BodyFraming::Length(0),
            (Some(Some(length)), None, false) => BodyFraming::Length(length),
            (None, _, true) => BodyFraming::Chunked,
            (Some(_), _, _) => BodyFraming::Ambiguous,
        }
    }
}

/// Parses the value of a Content-Length header, which must consist of digits only, without a sign or a list.
fn parse_content_length(header: &httparse::Header) -> Option<u64> {
    let digits_only = !header.value.is_empty() && header.value.iter().all(u8::is_ascii_digit);
    if !digits_only {
        return None;
    }
    std::str::from_utf8(header.value).ok()?.parse().ok()
}
