//! Owns one connection of a life as bytes: it reads what has come without waiting, finds whole messages in
//! it, and
//! tells a close from a reset. It must never wait, nor know what a message means.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::common::HttpMessage;

/// How the far end ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Closed,
    Reset,
}

pub struct Wire {
    /// None once this side has closed it.
    pub stream: Option<TcpStream>,
    pub bytes: Vec<u8>,
    pub end: Option<End>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        stream.set_nonblocking(true).expect("a socket");
        stream.set_nodelay(true).expect("a socket");
        Wire { stream: Some(stream), bytes: vec![], end: None }
    }

    /// None where nobody listens any more.
    pub fn connect(to: SocketAddr) -> Option<Wire> {
        TcpStream::connect(to).ok().map(Wire::new)
    }

    /// Takes in all that has come; whether that was anything.
    pub fn read(&mut self) -> bool {
        let mut any = false;
        let mut room = [0; 4096];
        while let (Some(stream), None) = (&mut self.stream, self.end) {
            match stream.read(&mut room) {
                Ok(0) => self.end = Some(End::Closed),
                Ok(n) => self.bytes.extend_from_slice(&room[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => self.end = Some(End::Reset),
            }
            any = true;
        }
        any
    }

    /// What is written here is small, and the far end's buffer takes it whole.
    pub fn write(&mut self, text: &str) -> bool {
        self.stream.as_mut().is_some_and(|stream| stream.write_all(text.as_bytes()).is_ok())
    }

    /// The first message, once it is whole.
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

    /// Closes it, or where `reset` says so ends it without the usual good-bye.
    pub fn close(&mut self, reset: bool) {
        if let Some(stream) = self.stream.take()
            && reset
        {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }
}
