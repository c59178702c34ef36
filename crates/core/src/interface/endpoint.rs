//! Entries of the endpoint list: the workers and their status.

use super::{CellId, KindId, Timestamp, WorkerId, ZoneId};

/// Status of a worker according to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStatus {
    /// The worker accepts new jobs.
    Ready,
    /// The worker completes its jobs and accepts no new ones.
    Draining,
    /// The worker was removed.
    Removed,
}

/// Way in which the entries of a message of discovery change the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The entries are the whole list: a worker that is not among them was removed.
    Snapshot,
    /// The entries have changed; all others stay as they are.
    Delta,
}

/// Entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Worker that the entry describes.
    pub worker: WorkerId,
    /// Zone of the worker.
    pub zone: ZoneId,
    /// Kind of the worker's machine.
    pub kind: KindId,
    /// Cell of the worker.
    pub cell: CellId,
    /// Status of the worker.
    pub status: WorkerStatus,
    /// Time at which the process of the worker started. [`Timestamp::ORIGIN`] means that it has run for a
    /// long time.
    pub started_at: Timestamp,
    /// Approximate number of slots. Used only if [`Settings::sizes_listed`](crate::Settings::sizes_listed) is
    /// set.
    pub size: f64,
}

/// Received message that shows how current the endpoint list of this node is.
///
/// A change of the list is no evidence by itself: discovery may have made it at any time before its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListEvidence {
    /// The answer to a poll of the present address of discovery, applied to the list. It opened a watch.
    PollAnswer {
        /// Time at which the poll was sent. The answer was made later.
        sent_at: Timestamp,
        /// Time at which the answer was read. The answer was made earlier.
        read_at: Timestamp,
    },
    /// A heartbeat on the watch that the last such answer opened, after all changes before it.
    Heartbeat {
        /// Time at which its bytes were read. The heartbeat was made earlier.
        read_at: Timestamp,
    },
    /// A change that lists a worker whose process started at this time, applied to the list. The change was made
    /// later. The dispatcher takes this evidence from the change itself.
    WorkerStart {
        /// Time of the start.
        started_at: Timestamp,
    },
}
