//! Archive from which workers fetch data sets. Concurrent fetches share its bandwidth.

use std::collections::HashMap;

use super::event::{AttemptNumber, WorkerIndex};
use crate::Timestamp;
use crate::processor_sharing::ProcessorSharing;

/// Fetches in progress.
///
/// The caller must call [`Archive::update_rate`] after it has added or removed fetches.
#[derive(Debug)]
pub(super) struct Archive {
    fetch_seconds: f64,
    concurrency: f64,
    sharing: ProcessorSharing,
    worker_by_attempt: HashMap<AttemptNumber, WorkerIndex>,
}

impl Archive {
    pub(super) fn new(fetch_seconds: f64, concurrency: f64) -> Self {
        Archive {
            fetch_seconds,
            concurrency,
            sharing: ProcessorSharing::new(),
            worker_by_attempt: HashMap::new(),
        }
    }

    pub(super) fn begin_fetch(&mut self, now: Timestamp, worker: WorkerIndex, attempt: AttemptNumber) {
        self.worker_by_attempt.insert(attempt, worker);
        self.sharing.add(now, attempt, self.fetch_seconds);
    }

    /// Cancels the fetch of an attempt, if there is one.
    pub(super) fn cancel_fetch(&mut self, now: Timestamp, attempt: AttemptNumber) {
        if self.worker_by_attempt.remove(&attempt).is_some() {
            self.sharing.remove(now, attempt);
        }
    }

    /// Divides the bandwidth among the current fetches. Up to `concurrency` fetches run at full speed.
    pub(super) fn update_rate(&mut self, now: Timestamp) {
        let rate = (self.concurrency / self.sharing.len().max(1) as f64).min(1.0);
        self.sharing.set_rate(now, rate);
    }

    pub(super) fn next_completion(&self) -> Option<Timestamp> {
        self.sharing.next_completion()
    }

    /// Returns the next attempt whose fetch is complete at `now`, and ends the fetch. The worker of the
    /// attempt stays on record until [`Archive::take_worker`].
    pub(super) fn pop_completed(&mut self, now: Timestamp) -> Option<AttemptNumber> {
        self.sharing.pop_completed(now)
    }

    /// Removes the record of a completed fetch and returns its worker.
    pub(super) fn take_worker(&mut self, attempt: AttemptNumber) -> Option<WorkerIndex> {
        self.worker_by_attempt.remove(&attempt)
    }
}
