//! Handshake between two processes of one node. The successor sends a hello. The predecessor accepts the
//! hello and transfers the descriptor of the client listener and a state snapshot, or it rejects the hello.
//!
//! | successor | predecessor |
//! | --- | --- |
//! | `Hello` | |
//! | | one byte with the listener's descriptor, then `Accepted` with the snapshot: both processes are linked |
//! | | or `Rejected` with the reason |

use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

use bytes::Bytes;
use curlewusher_control::frame::{Decoder, Frame, FrameError, RejectReason};
use curlewusher_control::takeover::LinkRole;
use rustix::net::sockopt::socket_acceptconn;
use tokio::net::UnixStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::handover::descriptor_stream::{
    ByteWithDescriptor, read_frame, receive_byte_with_descriptor, send_with_descriptor, write_all,
};
use crate::handover::error::HandoverError;
use crate::handover::link::{LinkEnds, PeerLink, limit_snapshot};
use crate::handover::rendezvous::Rendezvous;

/// Maximum time for the successor to connect, to send its hello and to receive the response. After this time
/// the successor starts without a predecessor.
const HELLO_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum time for which the predecessor waits for a hello, and then for the first byte of its acceptance or
/// for its rejection to be written.
pub(super) const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// Byte with which the descriptor of the listener is sent. No frame begins with this byte.
const DESCRIPTOR_CARRIER: u8 = b'+';

/// Predecessor that has accepted this process as its successor.
pub struct Predecessor {
    /// Client listener of the predecessor. From now on both processes hold a descriptor of it.
    pub listener: TcpListener,
    /// State snapshot of the predecessor; empty if it has none to transfer.
    pub snapshot: Bytes,
    /// Link to the predecessor, with its requests.
    pub link: LinkEnds,
}

/// Sends a hello to the process that listens on the rendezvous socket. Returns `None` if no process listens
/// there. Takes 1.5 s at most.
pub async fn contact_predecessor(
    rendezvous: &Rendezvous,
    node: &str,
    listen: SocketAddr,
) -> Result<Option<Predecessor>, HandoverError> {
    let contacted = timeout(HELLO_RESPONSE_TIMEOUT, send_hello(rendezvous, node, listen)).await;
    contacted.unwrap_or(Err(HandoverError::TimedOut))
}

async fn send_hello(
    rendezvous: &Rendezvous,
    node: &str,
    listen: SocketAddr,
) -> Result<Option<Predecessor>, HandoverError> {
    let Some(stream) = rendezvous.connect().await? else { return Ok(None) };
    rendezvous.verify_same_user(&stream)?;
    let hello = Frame::Hello { node: node.to_owned(), listen: listen.to_string() };
    write_all(&stream, hello.encode(0)?).await.map_err(HandoverError::Disconnected)?;
    receive_hello_response(stream, listen).await.map(Some)
}

async fn receive_hello_response(
    stream: UnixStream,
    listen: SocketAddr,
) -> Result<Predecessor, HandoverError> {
    let received = receive_byte_with_descriptor(&stream).await;
    let ByteWithDescriptor { byte, descriptor } = received.map_err(HandoverError::Disconnected)?;
    let mut decoder = Decoder::default();
    if byte != DESCRIPTOR_CARRIER {
        decoder.feed(&[byte]);
    }
    match (read_frame(&stream, &mut decoder).await?, descriptor) {
        (Frame::Rejected(reason), _) => Err(HandoverError::Rejected(reason)),
        (Frame::Accepted(snapshot), Some(descriptor)) => {
            let listener = client_listener(descriptor, listen);
            let listener = listener.ok_or(HandoverError::NoListener { listen })?;
            let link = PeerLink::start(stream, LinkRole::Successor, decoder);
            Ok(Predecessor { listener, snapshot, link })
        }
        (Frame::Accepted(_), None) => Err(HandoverError::NoListener { listen }),
        _ => Err(HandoverError::UnexpectedFrame),
    }
}

/// Converts the received descriptor to a non-blocking listener. Returns `None` if the descriptor is not a
/// listener on the client address of this node.
fn client_listener(descriptor: OwnedFd, listen: SocketAddr) -> Option<TcpListener> {
    let is_listening = socket_acceptconn(&descriptor).unwrap_or(false);
    let listener = TcpListener::from(descriptor);
    let bound = listener.local_addr().ok().filter(|_| is_listening)?;
    listener.set_nonblocking(true).ok()?;
    let is_any_port = listen.port() == 0;
    let is_expected = bound.ip() == listen.ip() && (is_any_port || bound.port() == listen.port());
    is_expected.then_some(listener)
}

/// Hello of a process that requests to be the successor of this one. Dropping it closes the connection
/// without a response.
pub struct SuccessorHello {
    /// Name of the node to which the sender belongs.
    pub node: String,
    /// Client address of the node to which the sender belongs.
    pub listen: String,
    stream: UnixStream,
    decoder: Decoder,
}

impl SuccessorHello {
    /// Reads the hello from a new connection. Rejects a process that uses another version of the protocol.
    pub(super) async fn receive(
        stream: UnixStream,
        rendezvous: &Rendezvous,
    ) -> Result<SuccessorHello, HandoverError> {
        rendezvous.verify_same_user(&stream)?;
        let mut decoder = Decoder::default();
        match read_frame(&stream, &mut decoder).await {
            Ok(Frame::Hello { node, listen }) => Ok(SuccessorHello { node, listen, stream, decoder }),
            Ok(_) => Err(HandoverError::UnexpectedFrame),
            Err(error) => {
                if let HandoverError::Protocol(FrameError::OtherVersion { .. }) = error {
                    send_rejection(&stream, RejectReason::OtherVersion).await;
                }
                Err(error)
            }
        }
    }

    /// Adds the hello to `hello_queue`, or rejects it as busy if the queue is full.
    pub(super) async fn enqueue_or_reject(self, hello_queue: &mpsc::Sender<SuccessorHello>) {
        if let Err(error) = hello_queue.try_send(self) {
            error.into_inner().reject(RejectReason::Busy).await;
        }
    }

    /// Accepts the sender as the successor, and sends it the client listener and the state snapshot. After an
    /// error the sender counts as disconnected.
    pub async fn accept(self, listener: impl AsFd, snapshot: Bytes) -> Result<LinkEnds, HandoverError> {
        let send = send_with_descriptor(&self.stream, &[DESCRIPTOR_CARRIER], listener);
        let sent = timeout(HELLO_TIMEOUT, send).await;
        sent.map_err(|_| HandoverError::TimedOut)?.map_err(HandoverError::Disconnected)?;
        let ends = PeerLink::start(self.stream, LinkRole::Predecessor, self.decoder);
        ends.link.send_acceptance(limit_snapshot(snapshot));
        Ok(ends)
    }

    /// Rejects the hello with this reason.
    pub async fn reject(self, reason: RejectReason) {
        send_rejection(&self.stream, reason).await;
    }
}

/// Sends a rejection. The caller then closes the connection.
async fn send_rejection(stream: &UnixStream, reason: RejectReason) {
    if let Ok(frame) = Frame::Rejected(reason).encode(0) {
        // The write may fail: closing the connection also rejects the hello.
        let _ = timeout(HELLO_TIMEOUT, write_all(stream, frame)).await;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/handover/handshake.rs"]
mod tests;
