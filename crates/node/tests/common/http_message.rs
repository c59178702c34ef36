//! HTTP/1.1 messages as bytes on plain sockets, and the requests that clients and operators send.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};

use super::TEST_TIMEOUT;

/// A request or a response as it was read. An empty one stands for the end of a connection.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl HttpMessage {
    /// The first header of this name, whatever its case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status")
    }

    /// Reads one whole message; none at the end of the connection.
    pub fn read(from: &mut impl BufRead) -> Option<HttpMessage> {
        let mut line = || {
            let mut line = String::new();
            (from.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
        };
        let mut message = HttpMessage { start_line: line()?, ..HttpMessage::default() };
        while let Some((name, value)) = line()?.split_once(": ") {
            message.headers.push((name.to_owned(), value.to_owned()));
        }
        let length = message.header("content-length").map_or(0, |v| v.parse().expect("a length"));
        let mut body = vec![0; length];
        from.read_exact(&mut body).ok()?;
        message.body = String::from_utf8(body).expect("text");
        Some(message)
    }
}

/// Writes a request, or any other text, on a new connection.
pub fn open_request(to: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(to).expect("it listens");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    stream.write_all(request.as_bytes()).expect("it reads");
    stream
}

/// Reads the response on a connection that is of no further use.
pub fn read_response(stream: TcpStream) -> HttpMessage {
    HttpMessage::read(&mut BufReader::new(stream)).expect("an answer")
}

/// Sends a request on a new connection and reads its response.
pub fn send_request(to: SocketAddr, request: &str) -> HttpMessage {
    read_response(open_request(to, request))
}

/// A client's job with a deadline in seconds, and with `extra_headers` besides the usual ones.
pub fn job_request(id: &str, class: &str, deadline_s: f64, extra_headers: &str) -> String {
    format!(
        "POST /api/k1?q=2 HTTP/1.1\r\nHost: x\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\n\
         X-Deadline: {deadline_s}\r\nX-Cost-Hint: 100000\r\n{extra_headers}Content-Length: 4\r\n\r\nbody"
    )
}

/// Sends a line to an operator address and reads the line that answers it.
pub fn call_operator(at: SocketAddr, line: &str) -> String {
    let mut response = String::new();
    BufReader::new(open_request(at, line)).read_line(&mut response).expect("an answer");
    response.trim_end().to_owned()
}

/// A client that sends several requests on one connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// A client on a new connection.
    pub fn connect(to: SocketAddr) -> Client {
        Client(BufReader::new(open_request(to, "")))
    }

    /// Writes a request, or a part of one.
    pub fn send(&mut self, request: &str) {
        self.0.get_mut().write_all(request.as_bytes()).expect("it reads");
    }

    /// Its connection.
    pub fn stream(&self) -> &TcpStream {
        self.0.get_ref()
    }

    /// The next response; none where the connection has ended instead.
    pub fn read_response(&mut self) -> Option<HttpMessage> {
        HttpMessage::read(&mut self.0)
    }
}
