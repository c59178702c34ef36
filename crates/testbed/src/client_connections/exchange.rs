//! Exchange of one request and its response on a client's connection. The request is written unchanged. Only
//! the parts of the response that the clients need are parsed.

use std::mem::MaybeUninit;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until};

use crate::event_log::FailureReason;

/// Maximum size of a response, its head included.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Maximum number of header fields of a response.
const MAX_HEADERS: usize = 32;
/// Initial capacity of the buffer for a response.
const INITIAL_BUFFER_BYTES: usize = 512;
/// Minor version of HTTP/1.1, in which connections are persistent by default.
const PERSISTENT_MINOR_VERSION: u8 = 1;

/// Complete response.
#[derive(Debug, PartialEq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Value of `Retry-After` in seconds, if the response has this header.
    pub retry_after: Option<f64>,
    /// Body.
    pub body: Vec<u8>,
}

/// Response, and state of its connection after it.
pub(super) struct Exchange {
    pub(super) response: Response,
    /// Whether the connection may carry another request.
    pub(super) is_reusable: bool,
}

/// Returns whether the node has left a connection open and has sent nothing on it. The check reads the socket directly, because
/// the runtime observes a close only when it polls the socket.
pub(super) fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let peeked = socket2::SockRef::from(stream).peek(&mut byte);
    matches!(peeked, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}

/// Bytes of a request, and the way in which they are written.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingRequest<'run> {
    /// Bytes of the request.
    pub bytes: &'run [u8],
    /// Way in which the bytes are written.
    pub pattern: WritePattern,
}

/// Way in which a request is written.
#[derive(Clone, Copy, Debug)]
pub enum WritePattern {
    /// All bytes are written at once.
    AtOnce,
    /// The first bytes are written, and the others after a pause.
    TwoParts {
        /// Number of bytes that are written first.
        first_bytes: usize,
        /// Pause after them.
        pause: Duration,
    },
    /// Pieces are written at a constant rate.
    Pieces {
        /// Length of a piece, in bytes.
        piece_bytes: usize,
        /// Time in which all pieces are written.
        duration: Duration,
    },
}

impl OutgoingRequest<'_> {
    async fn write(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        match self.pattern {
            WritePattern::AtOnce => stream.write_all(self.bytes).await,
            WritePattern::TwoParts { first_bytes, pause } => {
                let (first, second) = self.bytes.split_at(first_bytes.min(self.bytes.len()));
                stream.write_all(first).await?;
                sleep(pause).await;
                stream.write_all(second).await
            }
            WritePattern::Pieces { piece_bytes, duration } => {
                self.write_pieces(stream, piece_bytes, duration).await
            }
        }
    }

    /// Writes pieces, each once its time has come. Stops early if the node closes the connection or responds,
    /// as a client does that reads while it writes.
    async fn write_pieces(
        &self,
        stream: &mut TcpStream,
        piece_bytes: usize,
        duration: Duration,
    ) -> std::io::Result<()> {
        let started_at = Instant::now();
        let interval = duration.div_f64(self.bytes.len().div_ceil(piece_bytes) as f64);
        for (piece, number) in self.bytes.chunks(piece_bytes).zip(0..) {
            sleep_until(started_at + interval * number).await;
            if !is_open(stream) {
                break;
            }
            stream.write_all(piece).await?;
        }
        Ok(())
    }
}

/// Sends a request and reads its response. The response is read even if the write fails, because the node may
/// have responded before.
pub(super) async fn exchange(
    stream: &mut TcpStream,
    request: OutgoingRequest<'_>,
) -> Result<Exchange, FailureReason> {
    let is_written = request.write(stream).await.is_ok();
    let mut received = Vec::with_capacity(INITIAL_BUFFER_BYTES);
    loop {
        match stream.read_buf(&mut received).await {
            Ok(1..) => {}
            Ok(0) if received.is_empty() && !is_written => return Err(FailureReason::Reset),
            Ok(0) if received.is_empty() => return Err(classify_early_close(stream)),
            Err(_) if received.is_empty() => return Err(FailureReason::Reset),
            Ok(0) | Err(_) => return Err(FailureReason::Closed),
        }
        if let Some(exchange) = parse(&received)? {
            return Ok(exchange);
        }
        if received.len() > MAX_RESPONSE_BYTES {
            return Err(FailureReason::Closed);
        }
    }
}

/// Returns the failure reason of a connection that ended before the first byte of a response. If the node had
/// read the request, the connection was closed. Otherwise the operating system reset it, which leaves an
/// error on the socket.
fn classify_early_close(stream: &TcpStream) -> FailureReason {
    match stream.take_error() {
        Ok(None) => FailureReason::Closed,
        _ => FailureReason::Reset,
    }
}

/// Parses a response. Returns `None` while it is incomplete. A malformed response counts as a closed
/// connection.
fn parse(received: &[u8]) -> Result<Option<Exchange>, FailureReason> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let body_start = match head.parse(received) {
        Ok(httparse::Status::Complete(head_length)) => head_length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(FailureReason::Closed),
    };
    let field = |name: &str| {
        let found = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(found.value).ok().map(str::trim)
    };
    // Without `Content-Length` the end of the response cannot be determined.
    let length = field("content-length").and_then(|value| value.parse::<usize>().ok());
    let length = length.ok_or(FailureReason::Closed)?;
    let Some(body) = received.get(body_start..body_start + length) else { return Ok(None) };
    let closes = field("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let response = Response {
        status: head.code.unwrap_or_default(),
        retry_after: field("retry-after").and_then(|value| value.parse().ok()),
        body: body.to_vec(),
    };
    let is_reusable = !closes && head.version == Some(PERSISTENT_MINOR_VERSION);
    Ok(Some(Exchange { response, is_reusable }))
}
