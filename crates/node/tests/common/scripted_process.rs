//! The other process of a node on a handover connection, as the test scripts it.

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

/// The other process of a node, scripted by the test. It closes the descriptors that come to it.
pub struct ScriptedProcess {
    pub stream: UnixStream,
    pub decoder: Decoder,
}

impl ScriptedProcess {
    /// A process on a handover connection that is open.
    pub fn on_stream(stream: UnixStream) -> ScriptedProcess {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        ScriptedProcess { stream, decoder: Decoder::default() }
    }

    /// Connects to the node's handover socket and sends nothing yet.
    pub fn connect(node: &Node) -> ScriptedProcess {
        let place = format!("{}/curlewusher-127.0.0.1-0.sock", node.temp_directory());
        ScriptedProcess::on_stream(UnixStream::connect(place).expect("the node listens there"))
    }

    /// Takes over from the node as its successor.
    pub fn take_over(node: &Node) -> ScriptedProcess {
        let mut successor = ScriptedProcess::connect(node);
        successor.send_frame(0, &Frame::Hello { node: "n0".into(), listen: "127.0.0.1:0".into() });
        successor.read_listener();
        assert!(matches!(successor.next_frame(), (_, Frame::Accepted(_))));
        successor.send_frame(1, &Frame::TakeoverRequest);
        assert!(matches!(successor.next_frame(), (1, Frame::TakeoverGranted(_))));
        successor
    }

    /// Starts a node with this configuration as the successor of the scripted process, which hands it the listener.
    pub fn accept_successor(text: &str, listener: &TcpListener) -> (ScriptedProcess, Node) {
        ScriptedProcess::accept_successor_with(text, listener, "".into())
    }

    /// Like [`Self::accept_successor`], with a state snapshot.
    pub fn accept_successor_with(
        text: &str,
        listener: &TcpListener,
        snapshot: Bytes,
    ) -> (ScriptedProcess, Node) {
        let file = Node::write_config_file(text);
        let folder = format!("{file}.d");
        let handover_socket =
            UnixListener::bind(format!("{folder}/curlewusher-127.0.0.1-0.sock")).expect("a place");
        let child = Node::spawn_in(&folder, &file, 1024, None);
        let mut predecessor = ScriptedProcess::on_stream(handover_socket.accept().expect("a hello").0);
        assert!(matches!(predecessor.next_frame(), (_, Frame::Hello { .. })));
        predecessor.send_with_descriptor(listener, b"+");
        predecessor.send_frame(0, &Frame::Accepted(snapshot));
        (predecessor, Node::wait_until_serving((child, file)))
    }

    /// Reads the byte that carries the listener.
    pub fn read_listener(&mut self) {
        self.stream.read_exact(&mut [0]).expect("a welcome");
    }

    /// Sends these bytes, the first of which carries a descriptor.
    pub fn send_with_descriptor(&mut self, fd: &impl AsFd, bytes: &[u8]) {
        let fds = [fd.as_fd()];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        assert!(control.push(SendAncillaryMessage::ScmRights(&fds)));
        let length = sendmsg(&self.stream, &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL);
        assert_eq!(length.expect("it reads"), bytes.len());
    }

    /// Sends a frame.
    pub fn send_frame(&mut self, seq: u64, frame: &Frame) {
        self.stream.write_all(&frame.encode(seq).expect("short")).expect("it reads");
    }

    /// Waits for the next frame; returns its sequence number with it.
    pub fn next_frame(&mut self) -> (u64, Frame) {
        loop {
            if let Some(received) = self.decoder.next_frame().expect("a frame") {
                return (received.sequence, received.frame);
            }
            let mut chunk = [0; 4096];
            let length = self.stream.read(&mut chunk).expect("a frame");
            assert!(length > 0, "the link is lost");
            self.decoder.feed(&chunk[..length]);
        }
    }

    /// Waits for the next job that migrates here; returns the sequence number with the frame.
    pub fn next_migrated_job(&mut self) -> (u64, Frame) {
        let (seq, frame) = self.next_frame();
        assert!(matches!(frame, Frame::MigrateJob(_)), "{frame:?}");
        (seq, frame)
    }
}
