//! Reads and writes on the Unix socket between two processes, including the descriptors that are sent with
//! frames.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};

use bytes::{Buf, Bytes};
use curlewusher_control::frame::{Decoder, Frame, ReceivedFrame};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use tokio::io::Interest;
use tokio::net::UnixStream;

use crate::handover::error::HandoverError;

/// Maximum number of received descriptors that wait for the frames to which they belong. Further descriptors
/// are closed, so that the peer cannot use up the descriptors of this process.
const MAX_PENDING_DESCRIPTORS: usize = 16;
/// Maximum number of bytes that one read receives.
const READ_CHUNK_BYTES: usize = 8 << 10;

/// Received descriptors, in the order of the frames to which they belong. `None` stands for a descriptor that
/// was sent, and for which this process had no free one.
pub(super) type PendingDescriptors = VecDeque<Option<OwnedFd>>;

/// Received byte, with the descriptor that arrived with it.
pub(super) struct ByteWithDescriptor {
    pub(super) byte: u8,
    pub(super) descriptor: Option<OwnedFd>,
}

/// Receives one byte and the descriptor that arrives with it, if any.
pub(super) async fn receive_byte_with_descriptor(stream: &UnixStream) -> io::Result<ByteWithDescriptor> {
    let receive = || {
        let mut byte = [0];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut buffers = [IoSliceMut::new(&mut byte)];
        let received = recvmsg(stream, &mut buffers, &mut control, RecvFlags::CMSG_CLOEXEC)?;
        let descriptor = control.drain().find_map(|message| match message {
            RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
            _ => None,
        });
        if received.bytes == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        Ok(ByteWithDescriptor { byte: byte[0], descriptor })
    };
    stream.async_io(Interest::READABLE, receive).await
}

/// Sends a descriptor with the first of these bytes. Returns the number of bytes that were written, which may
/// be less than the total.
pub(super) async fn send_with_descriptor(
    stream: &UnixStream,
    bytes: &[u8],
    descriptor: impl AsFd,
) -> io::Result<usize> {
    let descriptors = [descriptor.as_fd()];
    let send = || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !control.push(SendAncillaryMessage::ScmRights(&descriptors)) {
            return Err(ErrorKind::InvalidInput.into());
        }
        Ok(sendmsg(stream, &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL)?)
    };
    stream.async_io(Interest::WRITABLE, send).await
}

/// Writes all bytes. Waits as long as the peer reads nothing.
pub(super) async fn write_all(stream: &UnixStream, mut bytes: Bytes) -> io::Result<()> {
    while bytes.has_remaining() {
        stream.writable().await?;
        match stream.try_write(&bytes) {
            Ok(written) => bytes.advance(written),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// State of a stream after a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamState {
    /// The read has received bytes, and more may follow.
    Open,
    /// The peer has closed its end.
    Closed,
}

/// Reads the next chunk of bytes into the decoder, and the descriptors that arrive with it into
/// `descriptors`.
pub(super) async fn read_chunk(
    stream: &UnixStream,
    decoder: &mut Decoder,
    descriptors: &mut PendingDescriptors,
) -> io::Result<StreamState> {
    let receive = || {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut buffers = [IoSliceMut::new(&mut chunk)];
        let received = recvmsg(stream, &mut buffers, &mut control, RecvFlags::CMSG_CLOEXEC)?;
        decoder.feed(&chunk[..received.bytes]);
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(received) = message {
                let free = MAX_PENDING_DESCRIPTORS.saturating_sub(descriptors.len());
                descriptors.extend(received.take(free).map(Some));
            }
        }
        // The system has dropped the descriptor of this chunk. The place is kept, so that the next frame does
        // not get the descriptor of another one.
        if received.flags.contains(ReturnFlags::CTRUNC) {
            descriptors.push_back(None);
        }
        Ok(if received.bytes > 0 { StreamState::Open } else { StreamState::Closed })
    };
    stream.async_io(Interest::READABLE, receive).await
}

/// Reads until the decoder has a complete frame. Closes descriptors that arrive in the meantime.
pub(super) async fn read_frame(stream: &UnixStream, decoder: &mut Decoder) -> Result<Frame, HandoverError> {
    loop {
        if let Some(ReceivedFrame { frame, .. }) = decoder.next_frame()? {
            return Ok(frame);
        }
        let mut unused_descriptors = PendingDescriptors::new();
        let read = read_chunk(stream, decoder, &mut unused_descriptors).await;
        if read.map_err(HandoverError::Disconnected)? == StreamState::Closed {
            decoder.finish()?;
            return Err(HandoverError::closed_by_peer());
        }
    }
}
