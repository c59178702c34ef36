//! One request of a client and its response, on one connection. The request is written as it is given; of the response only
//! what the clients need is read.

use std::mem::MaybeUninit;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::event_log::FailureReason;

/// A response may have this many bytes, its head included.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
const MAX_HEADERS: usize = 32;
const INITIAL_BUFFER_BYTES: usize = 512;
/// The minor version of HTTP/1.1, whose connections are persistent.
const PERSISTENT_MINOR_VERSION: u8 = 1;

/// A complete response.
#[derive(Debug, PartialEq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The seconds of `Retry-After`, if the response has it.
    pub retry_after: Option<f64>,
    /// The body.
    pub body: Vec<u8>,
}

/// A response, and what became of its connection.
pub(super) struct Exchange {
    pub(super) response: Response,
    /// Whether the connection may carry another request.
    pub(super) is_reusable: bool,
}

/// Whether the node has left an idle connection open. Asks the operating system: the runtime learns of a close only when
/// it polls the socket.
pub(super) fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let peeked = socket2::SockRef::from(stream).peek(&mut byte);
    matches!(peeked, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}

/// The bytes of a request, and how they are written.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingRequest<'run> {
    /// What is written.
    pub bytes: &'run [u8],
    /// How many bytes are written first, and the pause after them; none if all are written at once.
    pub split: Option<(usize, Duration)>,
}

impl OutgoingRequest<'_> {
    async fn write(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let mut rest = self.bytes;
        if let Some((first_length, pause)) = self.split {
            let (first, second) = self.bytes.split_at(first_length.min(self.bytes.len()));
            stream.write_all(first).await?;
            sleep(pause).await;
            rest = second;
        }
        stream.write_all(rest).await
    }
}

/// Sends a request and reads its response. A response may have come although the request could not be written.
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
            Ok(0) if received.is_empty() => return Err(failure_of_silent_end(stream)),
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

/// Why a connection ended before the first byte of a response. A node that had read the request closes the connection; if
/// it had not, the operating system resets the connection, which shows as an error of the socket.
fn failure_of_silent_end(stream: &TcpStream) -> FailureReason {
    match stream.take_error() {
        Ok(None) => FailureReason::Closed,
        _ => FailureReason::Reset,
    }
}

/// Parses a response; none while it is incomplete. Text that is no response counts as a closed connection.
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
    // Without a length the client does not know where the response ends.
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
