//! Owns the clients' connections to the nodes: which are held, which bear a job, and how a job ended on one.
//! It must never choose a node, and never hide from the judge that a connection was reset.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::event_log::FailureReason;

const CONNECT_TIME: Duration = Duration::from_secs(1);
/// A client closes a connection that it has not used for this.
const IDLE_TIME: Duration = Duration::from_secs(20);
/// A job is fresh on its connection for this.
const FRESH: Duration = Duration::from_secs(2);
/// Bytes of an answer, and header lines.
const LONGEST_ANSWER: usize = 1 << 20;
const MOST_HEADERS: usize = 32;

/// A whole answer.
#[derive(Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    /// Advice when to come again, s.
    pub retry_after: Option<f64>,
    pub body: Vec<u8>,
}

/// Where a request goes.
pub struct Route {
    pub node: usize,
    pub address: SocketAddr,
    /// A connection that was kept, in place of a new one.
    pub kept_connection: Option<TcpStream>,
}

/// Open connections of all clients to one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections without a request.
    pub idle: usize,
    /// Connections with a request that was sent within the last two seconds.
    pub fresh: usize,
}

/// All connections of all clients, by node.
pub struct ClientConnections(Vec<Mutex<OfNode>>);

#[derive(Default)]
struct OfNode {
    /// Held since when; the one used last at the back.
    idle: Vec<(Instant, TcpStream)>,
    /// When the job of each was sent.
    busy: HashMap<u64, Instant>,
    next: u64,
}

/// A job that is on a connection; dropped, it is not.
struct Busy<'a>(&'a Mutex<OfNode>, u64);

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.lock().busy.remove(&self.1);
    }
}

impl ClientConnections {
    pub fn new(nodes: usize) -> Self {
        ClientConnections((0..nodes).map(|_| Mutex::default()).collect())
    }

    /// Takes the connection to a node that was used last and is still open.
    pub fn take(&self, node: usize) -> Option<TcpStream> {
        let mut of = self.0[node].lock();
        of.idle.retain(|(since, stream)| since.elapsed() < IDLE_TIME && is_open(stream));
        of.idle.pop().map(|(_, stream)| stream)
    }

    /// Counts the open connections to a node.
    pub fn count(&self, node: usize) -> ConnectionCounts {
        let mut of = self.0[node].lock();
        of.idle.retain(|(_, stream)| is_open(stream));
        let fresh = of.busy.values().filter(|sent| sent.elapsed() < FRESH).count();
        ConnectionCounts { idle: of.idle.len(), fresh }
    }

    /// Sends a request on a connection that was taken, or on a new one, and reads the answer. With `keep` the
    /// connection is held afterwards if the node allows that.
    pub async fn send(&self, route: Route, request: &[u8], keep: bool) -> Result<Answer, FailureReason> {
        let Route { node, address, kept_connection } = route;
        let mut stream = match kept_connection {
            Some(stream) => stream,
            None => match timeout(CONNECT_TIME, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => stream,
                _ => return Err(FailureReason::Unreachable),
            },
        };
        let _ = stream.set_nodelay(true);
        let busy = {
            let mut of = self.0[node].lock();
            of.next += 1;
            let number = of.next;
            of.busy.insert(number, Instant::now());
            Busy(&self.0[node], number)
        };
        let (answer, stays) = exchange(&mut stream, request).await?;
        drop(busy);
        if stays && keep {
            self.0[node].lock().idle.push((Instant::now(), stream));
        }
        Ok(answer)
    }
}

/// Whether the node has left a connection open on which nothing is asked. Asks the system: what the runtime
/// knows of a socket is a turn old.
fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    matches!(socket2::SockRef::from(stream).peek(&mut byte), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

/// One request and its answer; the flag says whether the connection can be used again.
async fn exchange(stream: &mut TcpStream, request: &[u8]) -> Result<(Answer, bool), FailureReason> {
    if stream.write_all(request).await.is_err() {
        return Err(FailureReason::Reset);
    }
    let mut text = Vec::with_capacity(512);
    loop {
        match stream.read_buf(&mut text).await {
            // A node that had read all ends with an end; where it had not, the system resets the connection,
            // which shows on the socket beside the end.
            Ok(0) if text.is_empty() && matches!(stream.take_error(), Ok(None)) => {
                return Err(FailureReason::Closed);
            }
            Ok(0) | Err(_) if text.is_empty() => return Err(FailureReason::Reset),
            Ok(0) | Err(_) => return Err(FailureReason::Closed),
            Ok(_) => {}
        }
        if let Some(answer) = read(&text)? {
            return Ok(answer);
        }
        if text.len() > LONGEST_ANSWER {
            return Err(FailureReason::Closed);
        }
    }
}

/// An answer, once all of it is there. One that is none counts as no answer.
fn read(text: &[u8]) -> Result<Option<(Answer, bool)>, FailureReason> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let begin = match head.parse(text) {
        Ok(httparse::Status::Complete(begin)) => begin,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(FailureReason::Closed),
    };
    let field = |name: &str| {
        let found = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(found.value).ok().map(str::trim)
    };
    // Without a length the client cannot know where the answer ends.
    let length: usize = field("content-length").and_then(|v| v.parse().ok()).ok_or(FailureReason::Closed)?;
    let Some(body) = text.get(begin..begin + length) else { return Ok(None) };
    let stays = !field("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
    let retry_after = field("retry-after").and_then(|v| v.parse().ok());
    let status = head.code.unwrap_or_default();
    Ok(Some((Answer { status, retry_after, body: body.to_vec() }, stays && head.version == Some(1))))
}

#[cfg(test)]
#[path = "../tests/unit/client_connections.rs"]
mod tests;
