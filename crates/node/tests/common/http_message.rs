//! HTTP/1.1 messages as bytes on plain sockets, and the requests that clients and operators send.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};

use super::TEST_TIMEOUT;

/// A request or a response as it was read. An empty message stands for the close of a connection.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl HttpMessage {
    /// Returns the value of the first header with this name, compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("the response has no status")
    }

    /// Reads one whole message. Returns `None` if the connection closes first.
    pub fn read(from: &mut impl BufRead) -> Option<HttpMessage> {
        let mut line = || {
            let mut line = String::new();
            (from.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
        };
        let mut message = HttpMessage { start_line: line()?, ..HttpMessage::default() };
        while let Some((name, value)) = line()?.split_once(": ") {
            message.headers.push((name.to_owned(), value.to_owned()));
        }
        let length = message
            .header("content-length")
            .map_or(0, |v| v.parse().expect("Content-Length is not a number"));
        let mut body = vec![0; length];
        from.read_exact(&mut body).ok()?;
        message.body = String::from_utf8(body).expect("the body is not UTF-8");
        Some(message)
    }
}

/// Opens a connection and writes a request, or any other text, on it.
pub fn open_request(to: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(to).expect("connecting failed");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("setting the read timeout failed");
    stream.write_all(request.as_bytes()).expect("writing the request failed");
    stream
}

/// Reads the response on a connection and closes the connection.
pub fn read_response(stream: TcpStream) -> HttpMessage {
    HttpMessage::read(&mut BufReader::new(stream)).expect("the connection closed without a response")
}

/// Sends a request on a new connection and reads its response.
pub fn send_request(to: SocketAddr, request: &str) -> HttpMessage {
    read_response(open_request(to, request))
}

/// Returns the request that submits a client's job, with a deadline in seconds and with `extra_headers` in
/// addition to the usual headers.
pub fn job_request(id: &str, class: &str, deadline_s: f64, extra_headers: &str) -> String {
    format!(
        "POST /api/k1?q=2 HTTP/1.1\r\nHost: x\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\n\
         X-Deadline: {deadline_s}\r\nX-Cost-Hint: 100000\r\n{extra_headers}Content-Length: 4\r\n\r\nbody"
    )
}

/// Sends a line to an admin address and returns the response line.
pub fn send_admin_command(address: SocketAddr, line: &str) -> String {
    let mut response = String::new();
    BufReader::new(open_request(address, line))
        .read_line(&mut response)
        .expect("reading the response failed");
    response.trim_end().to_owned()
}

/// A client that sends several requests on one connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Connects a client.
    pub fn connect(to: SocketAddr) -> Client {
        Client(BufReader::new(open_request(to, "")))
    }

    /// Writes a request, or a part of one.
    pub fn send(&mut self, request: &str) {
        self.0.get_mut().write_all(request.as_bytes()).expect("writing the request failed");
    }

    /// Returns the connection of the client.
    pub fn stream(&self) -> &TcpStream {
        self.0.get_ref()
    }

    /// Reads the next response. Returns `None` if the connection closes instead.
    pub fn read_response(&mut self) -> Option<HttpMessage> {
        HttpMessage::read(&mut self.0)
    }
}
