//! Inspects what arrives on a connection before hyper parses it.
//!
//! Each head is checked here first: of a request that carries both Content-Length and Transfer-Encoding hyper
//! drops the length, by which another server may see a second request in the body (request smuggling). The
//! filter also applies the read timeout, and keeps reading while a request is being answered, so that a peer
//! that has closed is noticed.

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

/// Most headers of a request, as in hyper.
const MAX_HEADERS: usize = 100;
/// What hyper reads in place of a request that must not be served: it answers 400 and closes.
const INVALID_REQUEST: &[u8] = b"REFUSED\r\n\r\n";
/// What hyper reads in place of half a request at a shutdown; see [`Connection::is_request_rejected`].
const REJECTED_REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";
/// Value of [`ReadFilter::forwardable_bytes`] for a stream that is passed on to its end.
const UNLIMITED: u64 = u64::MAX;

/// The reading side of a connection, between its socket and hyper.
pub struct ReadFilter {
    pub(super) stream: TcpStream,
    pub(super) connection: Rc<Connection>,
    /// Bytes that were read from the socket and not passed on.
    buffered: BytesMut,
    /// How many bytes may be passed on: a head that was inspected, and its body.
    forwardable_bytes: u64,
    metrics: Metrics,
    /// Set once this node accepts no jobs any more: half a request is then rejected, so that its client may send
    /// it to another node.
    intake_closed: Rc<Cell<bool>>,
}

impl ReadFilter {
    /// A filter for a connection that was just accepted.
    pub fn new(
        stream: TcpStream,
        connection: Rc<Connection>,
        metrics: Metrics,
        intake_closed: Rc<Cell<bool>>,
    ) -> ReadFilter {
        let buffered = BytesMut::new();
        ReadFilter { stream, connection, buffered, forwardable_bytes: 0, metrics, intake_closed }
    }

    /// The socket, once hyper is done with it; buffered bytes are dropped.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// A duplicate of the socket's descriptor. None where bytes have arrived behind the request, which would
    /// be lost, or where the descriptor cannot be duplicated.
    pub fn duplicate_socket(&self) -> Option<OwnedFd> {
        if !self.buffered.is_empty() || self.connection.is_last_request() {
            return None;
        }
        self.stream.as_fd().try_clone_to_owned().ok()
    }

    /// Whether something has arrived that was not passed on, in the buffer or in the socket.
    pub fn has_pending_input(&self) -> bool {
        !self.buffered.is_empty() || self.has_unread_input()
    }

    /// Whether the socket has bytes, its end or an error that was not read.
    fn has_unread_input(&self) -> bool {
        !self.peek().is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Whether the peer has closed or reset the connection, and all that it sent before was read.
    pub fn is_disconnected(&self) -> bool {
        match self.peek() {
            Ok(bytes) => bytes == 0,
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }

    /// Number of bytes that can be read at once, one at most. Asks the operating system: the runtime may not know
    /// yet of what has arrived.
    fn peek(&self) -> io::Result<usize> {
        socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()])
    }

    /// Continues to read while a request is being answered: the end of the stream lies behind all that was sent before
    /// it. Ready once the peer has closed.
    pub fn poll_disconnected(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while self.connection.state() == ConnectionState::Busy {
            let mut chunk = [MaybeUninit::uninit(); READ_CHUNK_BYTES];
            let mut chunk = ReadBuf::uninit(&mut chunk);
            let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut chunk));
            if read.is_err() || chunk.filled().is_empty() {
                return Poll::Ready(());
            }
            if self.buffered.len() + chunk.filled().len() > MAX_HEAD_BYTES {
                // No client that waits for its response sends so much.
                self.connection.mark_last_request();
                self.buffered.clear();
            }
            if !self.connection.is_last_request() {
                self.buffered.extend_from_slice(chunk.filled());
            }
        }
        // No waker is needed: only hyper makes the connection busy, and this is polled after hyper.
        Poll::Pending
    }

    /// Reads for hyper: passes on what was inspected, and nothing while a request is being answered.
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
            // hyper expects that only the socket can wake what is pending here.
            self.connection.read_waker.replace(Some(context.waker().clone()));
            if self.connection.state() == ConnectionState::Busy {
                // What follows is inspected once this request is answered; `poll_disconnected` reads until
                // then.
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
            // What has arrived is read first, however late that is: it may be the end of a request, which
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

    /// Moves buffered bytes that may be passed on to the reader.
    fn forward_buffered(&mut self, out: &mut ReadBuf<'_>) {
        let limit = usize::try_from(self.forwardable_bytes).unwrap_or(usize::MAX);
        let part = self.buffered.split_to(limit.min(self.buffered.len()).min(out.remaining()));
        out.put_slice(&part);
        if self.forwardable_bytes != UNLIMITED {
            self.forwardable_bytes -= part.len() as u64;
        }
    }

    /// Reads from the socket into the buffer. The number of bytes, 0 at the end of the stream.
    fn poll_fill_buffer(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut chunk = [MaybeUninit::uninit(); READ_CHUNK_BYTES];
        let mut chunk = ReadBuf::uninit(&mut chunk);
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut chunk))?;
        let read = chunk.filled().len();
        if read > 0 {
            self.connection.last_progress.set(Instant::now());
            self.buffered.extend_from_slice(chunk.filled());
        }
        Poll::Ready(Ok(read))
    }

    /// Inspects the buffered head, as far as it has arrived, and passes it on with its body.
    fn inspect_head(&mut self) {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let head_bytes = match head.parse(&self.buffered) {
            Ok(httparse::Status::Complete(head_bytes)) => head_bytes as u64,
            Ok(httparse::Status::Partial) if self.buffered.len() <= MAX_HEAD_BYTES => return,
            // hyper answers what is wrong with it more precisely; nothing behind it is read.
            Ok(httparse::Status::Partial) | Err(_) => {
                self.metrics.add(Counter::RequestsMalformed);
                self.forwardable_bytes = UNLIMITED;
                return;
            }
        };
        match BodyFraming::of(head.headers) {
            BodyFraming::Length(body_bytes) => {
                self.forwardable_bytes = head_bytes.saturating_add(body_bytes);
            }
            BodyFraming::Chunked => {
                // The end of a chunked body is known to hyper alone.
                self.connection.mark_last_request();
                self.forwardable_bytes = UNLIMITED;
            }
            BodyFraming::Ambiguous => self.substitute_invalid_request(),
        }
    }

    /// Has hyper answer 400 in place of serving what is buffered.
    fn substitute_invalid_request(&mut self) {
        self.metrics.add(Counter::RequestsMalformed);
        self.substitute(INVALID_REQUEST);
    }

    /// Has the service answer 503 in place of serving what is buffered.
    fn substitute_rejected_request(&mut self) {
        self.connection.reject_request();
        self.substitute(REJECTED_REQUEST);
    }

    /// Passes on a request in place of what is buffered, and then all that follows.
    fn substitute(&mut self, request: &[u8]) {
        self.buffered.clear();
        self.buffered.extend_from_slice(request);
        self.forwardable_bytes = UNLIMITED;
    }
}

/// How the end of a request's body is found.
enum BodyFraming {
    /// Length in bytes; 0 where the request has no body.
    Length(u64),
    /// Transfer-Encoding alone.
    Chunked,
    /// Several lengths, one that is no number, or a length beside Transfer-Encoding.
    Ambiguous,
}

impl BodyFraming {
    fn of(headers: &[httparse::Header]) -> BodyFraming {
        let named =
            |name: &'static str| headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name));
        let is_chunked = named("transfer-encoding").next().is_some();
        let mut lengths = named("content-length").map(parse_content_length);
        match (lengths.next(), lengths.next(), is_chunked) {
            (None, _, false) => BodyFraming::Length(0),
            (Some(Some(length)), None, false) => BodyFraming::Length(length),
            (None, _, true) => BodyFraming::Chunked,
            (Some(_), _, _) => BodyFraming::Ambiguous,
        }
    }
}

/// The value of a Content-Length header: digits only, no sign and no list.
fn parse_content_length(header: &httparse::Header) -> Option<u64> {
    let digits_only = !header.value.is_empty() && header.value.iter().all(u8::is_ascii_digit);
    if !digits_only {
        return None;
    }
    std::str::from_utf8(header.value).ok()?.parse().ok()
}
