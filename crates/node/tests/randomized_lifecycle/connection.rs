//! A non-blocking connection: it collects what has arrived, splits it into messages and distinguishes a close from a reset.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::common::HttpMessage;

/// How the peer ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    Closed,
    Reset,
}

pub struct Connection {
    /// None once this side has closed it.
    pub stream: Option<TcpStream>,
    pub bytes: Vec<u8>,
    pub end: Option<ConnectionEnd>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        stream.set_nonblocking(true).expect("a socket");
        stream.set_nodelay(true).expect("a socket");
        Connection { stream: Some(stream), bytes: vec![], end: None }
    }

    /// Connects; none where nothing listens.
    pub fn connect(to: SocketAddr) -> Option<Connection> {
        TcpStream::connect(to).ok().map(Connection::new)
    }

    /// Reads all that has arrived; returns whether that was anything, the end included.
    pub fn read(&mut self) -> bool {
        let mut any = false;
        let mut room = [0; 4096];
        while let (Some(stream), None) = (&mut self.stream, self.end) {
            match stream.read(&mut room) {
                Ok(0) => self.end = Some(ConnectionEnd::Closed),
                Ok(n) => self.bytes.extend_from_slice(&room[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => self.end = Some(ConnectionEnd::Reset),
            }
            any = true;
        }
        any
    }

    /// Writes a text that is small enough for the socket buffers; returns whether it could be written.
    pub fn write(&mut self, text: &str) -> bool {
        self.stream.as_mut().is_some_and(|stream| stream.write_all(text.as_bytes()).is_ok())
    }

    /// Takes the first message, once it has arrived completely.
    pub fn message(&mut self) -> Option<HttpMessage> {
        let head = self.bytes.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
        let text = String::from_utf8_lossy(&self.bytes[..head]).to_ascii_lowercase();
        let length = text.split("\r\ncontent-length: ").nth(1).and_then(|rest| rest.split("\r\n").next());
        let length: usize = length.map_or(0, |length| length.parse().expect("a length"));
        if self.bytes.len() < head + length {
            return None;
        }
        let whole: Vec<u8> = self.bytes.drain(..head + length).collect();
        HttpMessage::read(&mut &whole[..])
    }

    pub fn is_open(&self) -> bool {
        self.stream.is_some() && self.end.is_none()
    }

    /// Closes the connection, with a reset or in order.
    pub fn close(&mut self, reset: bool) {
        if let Some(stream) = self.stream.take()
            && reset
        {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }
}
