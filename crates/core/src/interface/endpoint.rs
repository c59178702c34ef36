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
