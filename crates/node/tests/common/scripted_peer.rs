//! Peer process of a node on a handover connection, scripted by the test.

use bytes::Bytes;
use curlewusher_control::frame::{Decoder, Frame};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};
use std::io::{IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};

use super::TEST_TIMEOUT;
use super::process::Node;

/// Peer process of a node, scripted by the test. It closes the file descriptors that it receives.
pub struct ScriptedPeer {
    pub stream: UnixStream,
    pub decoder: Decoder,
}

impl ScriptedPeer {
    /// Creates a peer on an open handover connection.
    pub fn on_stream(stream: UnixStream) -> ScriptedPeer {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("setting the read timeout failed");
        ScriptedPeer { stream, decoder: Decoder::default() }
    }

    /// Connects to the node's rendezvous socket and sends nothing yet.
    pub fn connect(node: &Node) -> ScriptedPeer {
        let path = format!("{}/curlewusher-127.0.0.1-0.sock", node.temp_directory());
        ScriptedPeer::on_stream(
            UnixStream::connect(path).expect("connecting to the rendezvous socket failed"),
        )
    }

    /// Takes over from the node as its successor: sends the hello, receives the listener, and requests the
    /// takeover.
    pub fn take_over(node: &Node) -> ScriptedPeer {
        let mut successor = ScriptedPeer::connect(node);
        successor.send_frame(0, &Frame::Hello { node: "n0".into(), listen: "127.0.0.1:0".into() });
        successor.read_listener();
        assert!(matches!(successor.next_frame(), (_, Frame::Accepted(_))));
        successor.send_frame(1, &Frame::TakeoverRequest);
        assert!(matches!(successor.next_frame(), (1, Frame::TakeoverGranted(_))));
        successor
    }

    /// Starts a node with this configuration as the successor of the scripted peer, which sends it the
    /// listener.
    pub fn accept_successor(config: &str, listener: &TcpListener) -> (ScriptedPeer, Node) {
        ScriptedPeer::accept_successor_with_snapshot(config, listener, "".into())
    }

    /// Does the same as [`Self::accept_successor`], and also sends a state snapshot.
    pub fn accept_successor_with_snapshot(
        config: &str,
        listener: &TcpListener,
        snapshot: Bytes,
    ) -> (ScriptedPeer, Node) {
        let file = Node::write_config_file(config);
        let directory = format!("{file}.d");
        let rendezvous_socket = UnixListener::bind(format!("{directory}/curlewusher-127.0.0.1-0.sock"))
            .expect("binding the rendezvous socket failed");
        let child = Node::spawn_in(&directory, &file, 1024, None);
        let mut predecessor = ScriptedPeer::on_stream(
            rendezvous_socket.accept().expect("accepting the handover connection failed").0,
        );
        assert!(matches!(predecessor.next_frame(), (_, Frame::Hello { .. })));
        predecessor.send_with_descriptor(listener, b"+");
        predecessor.send_frame(0, &Frame::Accepted(snapshot));
        (predecessor, Node::wait_until_serving((child, file)))
    }

    /// Reads the byte that carries the listener.
    pub fn read_listener(&mut self) {
        self.stream.read_exact(&mut [0]).expect("reading the byte with the listener failed");
    }

    /// Sends these bytes, the first of which carries a file descriptor.
    pub fn send_with_descriptor(&mut self, fd: &impl AsFd, bytes: &[u8]) {
        let fds = [fd.as_fd()];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        assert!(control.push(SendAncillaryMessage::ScmRights(&fds)));
        let length = sendmsg(&self.stream, &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL);
        assert_eq!(length.expect("sending the descriptor failed"), bytes.len());
    }

    /// Sends a frame.
    pub fn send_frame(&mut self, sequence: u64, frame: &Frame) {
        self.stream
            .write_all(&frame.encode(sequence).expect("the frame is too long"))
            .expect("writing the frame failed");
    }

    /// Waits for the next frame and returns it with its sequence number.
    pub fn next_frame(&mut self) -> (u64, Frame) {
        loop {
            if let Some(received) = self.decoder.next_frame().expect("the frame is malformed") {
                return (received.sequence, received.frame);
            }
            let mut chunk = [0; 4096];
            let length = self.stream.read(&mut chunk).expect("no frame arrived");
            assert!(length > 0, "the peer link is closed");
            self.decoder.feed(&chunk[..length]);
        }
    }

    /// Waits for the next frame, which must migrate a job to this peer, and returns it with its sequence
    /// number.
    pub fn next_migrated_job(&mut self) -> (u64, Frame) {
        let (sequence, frame) = self.next_frame();
        assert!(matches!(frame, Frame::MigrateJob(_)), "{frame:?}");
        (sequence, frame)
    }
}
