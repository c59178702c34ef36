//! A non-blocking connection that buffers received bytes, splits them into messages and distinguishes an
//! orderly close from a reset.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::common::HttpMessage;

/// Way in which the remote end closed a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    Closed,
    Reset,
}

/// A non-blocking connection of a scripted client, worker or discovery.
pub struct Connection {
    /// Stream of the connection; `None` once this side has closed it.
    pub stream: Option<TcpStream>,
    /// Received bytes that no message has been taken from yet.
    pub bytes: Vec<u8>,
    /// End of the connection by the remote end, if it was read.
    pub end: Option<ConnectionEnd>,
}

impl Connection {
    /// Makes a stream non-blocking.
    pub fn new(stream: TcpStream) -> Connection {
        stream.set_nonblocking(true).expect("setting the socket option failed");
        stream.set_nodelay(true).expect("setting the socket option failed");
        Connection { stream: Some(stream), bytes: vec![], end: None }
    }

    /// Connects to an address. Returns `None` if the connection fails, such as where nothing listens.
    pub fn connect(to: SocketAddr) -> Option<Connection> {
        TcpStream::connect(to).ok().map(Connection::new)
    }

    /// Reads all that has arrived. Returns whether anything has arrived, including the end of the connection.
    pub fn read(&mut self) -> bool {
        let mut received = false;
        let mut buffer = [0; 4096];
        while let (Some(stream), None) = (&mut self.stream, self.end) {
            match stream.read(&mut buffer) {
                Ok(0) => self.end = Some(ConnectionEnd::Closed),
                Ok(n) => self.bytes.extend_from_slice(&buffer[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => self.end = Some(ConnectionEnd::Reset),
            }
            received = true;
        }
        received
    }

    /// Writes a text that must fit into the socket buffers. Returns whether the write succeeded.
    pub fn write(&mut self, text: &str) -> bool {
        self.stream.as_mut().is_some_and(|stream| stream.write_all(text.as_bytes()).is_ok())
    }

    /// Removes the first message from the received bytes and returns it, once it has arrived completely.
    pub fn take_message(&mut self) -> Option<HttpMessage> {
        let head = self.bytes.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
        let text = String::from_utf8_lossy(&self.bytes[..head]).to_ascii_lowercase();
        let length = text.split("\r\ncontent-length: ").nth(1).and_then(|rest| rest.split("\r\n").next());
        let length: usize =
            length.map_or(0, |length| length.parse().expect("Content-Length is not a number"));
        if self.bytes.len() < head + length {
            return None;
        }
        let message_bytes: Vec<u8> = self.bytes.drain(..head + length).collect();
        HttpMessage::read(&mut &message_bytes[..])
    }

    /// Returns whether this side has not closed the connection and no close by the remote end was read.
    pub fn is_open(&self) -> bool {
        self.stream.is_some() && self.end.is_none()
    }

    /// Closes the connection, with a reset if `reset` is set.
    pub fn close(&mut self, reset: bool) {
        if let Some(stream) = self.stream.take()
            && reset
        {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }
}
