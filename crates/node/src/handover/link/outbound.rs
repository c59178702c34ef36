//! Outbound queue of a link: frames that wait to be written to the peer, and the limits on them.

use std::collections::VecDeque;
use std::os::fd::OwnedFd;
use std::rc::Rc;

use bytes::Bytes;
use curlewusher_control::frame::{FrameError, MAX_SNAPSHOT_BYTES};
use tokio::sync::{OwnedSemaphorePermit, oneshot};
use tracing::warn;

use crate::telemetry::logging::NODE;

/// Maximum number of bytes of requests that wait to be written. Further requests wait for capacity. Responses
/// and one-way frames are not limited: the peer's requests limit their number, and they are short, except for
/// one state snapshot.
pub(super) const MAX_OUTBOUND_REQUEST_BYTES: usize = 1 << 20;

/// Encoded frame, with the values that are needed to write it.
pub(super) struct OutboundFrame {
    /// Bytes of the frame.
    pub(super) bytes: Bytes,
    /// Descriptor that is sent with the first byte of the frame.
    pub(super) descriptor: Option<Rc<OwnedFd>>,
    /// Sender that is notified when the complete frame is written. Dropped if the frame is never written.
    pub(super) written: Option<oneshot::Sender<()>>,
    /// Capacity that a request uses until it is written.
    pub(super) _capacity: Option<OwnedSemaphorePermit>,
}

/// Queue of frames in the order in which they are written. A frame stays at the front until it is completely
/// written.
#[derive(Default)]
pub(super) struct OutboundQueue {
    frames: VecDeque<OutboundFrame>,
    /// Number of bytes of all frames in the queue.
    bytes: usize,
}

impl OutboundQueue {
    /// Adds a frame at the end of the queue.
    pub(super) fn push(&mut self, frame: OutboundFrame) {
        self.bytes += frame.bytes.len();
        self.frames.push_back(frame);
    }

    /// Returns the bytes and the descriptor of the frame at the front.
    pub(super) fn front(&self) -> Option<(Bytes, Option<Rc<OwnedFd>>)> {
        self.frames.front().map(|frame| (frame.bytes.clone(), frame.descriptor.clone()))
    }

    /// Removes the frame at the front, which is completely written. Does nothing if the queue is empty
    /// because the link was lost during the write.
    pub(super) fn remove_written(&mut self) {
        if let Some(frame) = self.frames.pop_front() {
            self.bytes -= frame.bytes.len();
            if let Some(written) = frame.written {
                // Sending fails if the receiver was dropped and no longer needs the notification.
                let _ = written.send(());
            }
        }
    }

    /// Returns the number of bytes that wait to be written.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether every frame is written.
    pub(super) fn is_empty(&self) -> bool {
        self.bytes() == 0
    }
}

/// Returns the snapshot, or an empty one if the snapshot exceeds the limit of a frame. The successor then
/// starts without it.
pub(in crate::handover) fn limit_snapshot(snapshot: Bytes) -> Bytes {
    let length = snapshot.len();
    if length <= MAX_SNAPSHOT_BYTES {
        return snapshot;
    }
    warn!(target: NODE, error = %FrameError::TooLong { length }, "state snapshot not transferred");
    Bytes::new()
}
