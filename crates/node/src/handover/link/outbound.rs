//! Frames that wait to be written to the other process, and the bounds on them.

use std::collections::VecDeque;
use std::os::fd::OwnedFd;
use std::rc::Rc;

use bytes::Bytes;
use curlewusher_control::frame::{FrameError, MAX_SNAPSHOT_BYTES};
use tokio::sync::oneshot;
use tracing::warn;

use crate::telemetry::logging::NODE;

/// How many bytes may wait to be written: one state snapshot (4 MiB) and other frames beside it. A process that
/// reads so little counts as ended.
pub(super) const MAX_OUTBOUND_BYTES: usize = 6 << 20;

/// An encoded frame, with what belongs to its writing.
pub(super) struct OutboundFrame {
    /// The frame.
    pub(super) bytes: Bytes,
    /// The descriptor that goes with its first byte.
    pub(super) descriptor: Option<Rc<OwnedFd>>,
    /// Notified once the complete frame is written; dropped if it never is.
    pub(super) written: Option<oneshot::Sender<()>>,
}

/// Frames in the order in which they are written. A frame stays in front until it is completely written.
#[derive(Default)]
pub(super) struct OutboundQueue {
    frames: VecDeque<OutboundFrame>,
    bytes: usize,
}

impl OutboundQueue {
    /// Adds a frame at the end.
    pub(super) fn push(&mut self, frame: OutboundFrame) {
        self.bytes += frame.bytes.len();
        self.frames.push_back(frame);
    }

    /// The bytes and the descriptor of the frame in front.
    pub(super) fn front(&self) -> Option<(Bytes, Option<Rc<OwnedFd>>)> {
        self.frames.front().map(|frame| (frame.bytes.clone(), frame.descriptor.clone()))
    }

    /// Removes the frame in front, which is completely written. The queue is empty where the link was lost
    /// meanwhile.
    pub(super) fn remove_written(&mut self) {
        if let Some(frame) = self.frames.pop_front() {
            self.bytes -= frame.bytes.len();
            if let Some(written) = frame.written {
                // A receiver that was dropped no longer needs it.
                let _ = written.send(());
            }
        }
    }

    /// Whether every frame is written.
    pub(super) fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Whether more waits than `MAX_OUTBOUND_BYTES`.
    pub(super) fn is_over_limit(&self) -> bool {
        self.bytes > MAX_OUTBOUND_BYTES
    }
}

/// The snapshot, or an empty one where it is over the bound of a frame: the successor then starts without it.
pub(in crate::handover) fn limit_snapshot(snapshot: Bytes) -> Bytes {
    let length = snapshot.len();
    if length <= MAX_SNAPSHOT_BYTES {
        return snapshot;
    }
    warn!(target: NODE, error = %FrameError::TooLong { length }, "state snapshot not transferred");
    Bytes::new()
}
