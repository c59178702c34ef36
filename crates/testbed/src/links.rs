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

/// All connections of all clients, by node.
pub struct Links(Vec<Mutex<OfNode>>);

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

impl Links {
    pub fn new(nodes: usize) -> Self {
        Links((0..nodes).map(|_| Mutex::default()).collect())
    }

    /// Takes the connection to a node that was used last and is still open.
    pub fn take(&self, node: usize) -> Option<TcpStream> {
        let mut of = self.0[node].lock();
        of.idle.retain(|(since, stream)| since.elapsed() < IDLE_TIME && is_open(stream));
        of.idle.pop().map(|(_, stream)| stream)
    }

    /// How many connections to a node are held idle, and how many bear a job that was sent a moment ago.
    pub fn standing(&self, node: usize) -> (usize, usize) {
        let mut of = self.0[node].lock();
        of.idle.retain(|(_, stream)| is_open(stream));
        (of.idle.len(), of.busy.values().filter(|sent| sent.elapsed() < FRESH).count())
    }

    /// Sends a request on a connection that was taken, or on a new one, and reads the answer. With `keep` the
    /// connection is held afterwards if the node allows that.
    pub async fn send(
        &self,
        node: usize,
        place: SocketAddr,
        taken: Option<TcpStream>,
        request: &[u8],
        keep: bool,
    ) -> Result<Answer, FailureReason> {
        let mut stream = match taken {
            Some(stream) => stream,
            None => match timeout(CONNECT_TIME, TcpStream::connect(place)).await {
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
mod tests {
    use super::*;
    use tokio::net::{TcpListener, TcpSocket};

    #[tokio::test]
    async fn what_was_read_and_dropped_is_told_from_what_was_never_read() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let place = listener.local_addr().expect("an address");
        let links = Links::new(1);
        let dropped = async {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut all = [0; 4];
            stream.read_exact(&mut all).await.expect("all of it");
        };
        let (seen, ()) = tokio::join!(links.send(0, place, None, b"read", true), dropped);
        assert_eq!(seen, Err(FailureReason::Closed));
        // A queue that ends with what is in it.
        let (seen, ()) = tokio::join!(links.send(0, place, None, b"unread", true), async {
            let (stream, _) = listener.accept().await.expect("a connection");
            stream.readable().await.expect("something");
        });
        assert_eq!(seen, Err(FailureReason::Reset));
        drop(listener);
        assert_eq!(links.send(0, place, None, b"none", true).await, Err(FailureReason::Unreachable));
    }

    #[tokio::test]
    async fn a_connection_is_held_while_the_node_leaves_it_open() {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(8).expect("a port");
        let place = listener.local_addr().expect("an address");
        let links = Links::new(1);
        let serve = async {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut all = [0; 3];
            stream.read_exact(&mut all).await.expect("all of it");
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi").await.expect("an answer");
            stream
        };
        let (seen, mut server) = tokio::join!(links.send(0, place, None, b"ask", true), serve);
        assert_eq!(seen.map(|a| (a.status, a.body)), Ok((200, b"hi".to_vec())));
        assert_eq!(links.standing(0), (1, 0));
        let taken = links.take(0).expect("the same");
        let again = async {
            let mut all = [0; 3];
            server.read_exact(&mut all).await.expect("all of it");
            let end =
                b"HTTP/1.1 503 No\r\nConnection: close\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n";
            server.write_all(end).await.expect("an answer");
        };
        let (seen, ()) = tokio::join!(links.send(0, place, Some(taken), b"ask", true), again);
        assert_eq!(seen.map(|a| (a.status, a.retry_after)), Ok((503, Some(1.5))));
        assert_eq!(links.standing(0), (0, 0), "it was told to close it");
    }
}
