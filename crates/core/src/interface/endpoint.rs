//! Entries of the endpoint list: which workers there are, and in what state.

use super::{CellId, KindId, Timestamp, WorkerId, ZoneId};

/// State of a worker according to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStatus {
    /// Accepts new jobs.
    Ready,
    /// Completes the jobs that it has and accepts no new ones.
    Draining,
    /// Removed.
    Removed,
}

/// How the entries of a message of discovery change the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// These are all entries: a worker that is not among them is gone.
    Snapshot,
    /// The entries have changed; all others stay as they are.
    Delta,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Which worker it describes.
    pub worker: WorkerId,
    /// Zone of the worker.
    pub zone: ZoneId,
    /// Kind of the worker's machine.
    pub kind: KindId,
    /// Cell of the worker.
    pub cell: CellId,
    /// Whether the worker accepts new jobs.
    pub status: WorkerStatus,
    /// When the worker's process started; [`Timestamp::ORIGIN`]: long ago.
    pub started_at: Timestamp,
    /// Approximate number of slots; used only where [`Settings::sizes_listed`](crate::Settings::sizes_listed).
    pub size: f64,
}
