//! Attempts in flight at workers.

use std::collections::HashMap;

use curlewusher_model::worker_pool::{AttemptNumber, WorkerIndex};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use super::callback::{AttemptReport, Callback};
use super::message::Admission;

/// Attempt that a worker has received and that has not ended.
pub(super) struct InFlightAttempt {
    pub(super) request_id: String,
    pub(super) worker: WorkerIndex,
    /// Channel for the worker's decision. `None` once the worker has accepted or rejected the attempt.
    pub(super) admission: Option<oneshot::Sender<Admission>>,
    pub(super) callbacks: UnboundedSender<Callback>,
}

/// All attempts in flight at workers.
pub(super) struct AttemptTable {
    next_number: AttemptNumber,
    in_flight: HashMap<AttemptNumber, InFlightAttempt>,
    /// Newest attempt of each request at each worker.
    by_request: HashMap<(WorkerIndex, String), AttemptNumber>,
}

impl AttemptTable {
    /// Creates an empty table. The first attempt gets the number 1.
    pub(super) fn new() -> Self {
        AttemptTable { next_number: 1, in_flight: HashMap::new(), by_request: HashMap::new() }
    }

    /// Returns the number for a new attempt.
    pub(super) fn allocate_number(&mut self) -> AttemptNumber {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Adds an attempt that has arrived at its worker.
    pub(super) fn insert(&mut self, number: AttemptNumber, attempt: InFlightAttempt) {
        self.by_request.insert((attempt.worker, attempt.request_id.clone()), number);
        self.in_flight.insert(number, attempt);
    }

    /// Returns whether an attempt is in flight.
    pub(super) fn contains(&self, number: AttemptNumber) -> bool {
        self.in_flight.contains_key(&number)
    }

    /// Returns the newest attempt in flight of a request at a worker.
    pub(super) fn find(&self, worker: WorkerIndex, request_id: String) -> Option<AttemptNumber> {
        self.by_request.get(&(worker, request_id)).copied()
    }

    /// Sends the worker's decision on an attempt to its server, which responds to the request.
    pub(super) fn send_admission(&mut self, number: AttemptNumber, admission: Admission) {
        let admission_channel = self.in_flight.get_mut(&number).and_then(|attempt| attempt.admission.take());
        if let Some(admission_channel) = admission_channel {
            // Fails if the node has closed the connection, which cancels the attempt.
            let _ = admission_channel.send(admission);
        }
    }

    /// Queues a callback that reports the state of an attempt.
    pub(super) fn report(&self, number: AttemptNumber, report: AttemptReport) {
        let Some(attempt) = self.in_flight.get(&number) else { return };
        let callback = Callback { request_id: attempt.request_id.clone(), worker: attempt.worker, report };
        // Fails only when the runtime shuts down.
        let _ = attempt.callbacks.send(callback);
    }

    /// Returns the request id of an attempt.
    pub(super) fn request_id(&self, number: AttemptNumber) -> Option<&str> {
        self.in_flight.get(&number).map(|attempt| attempt.request_id.as_str())
    }

    /// Removes an attempt that has ended.
    pub(super) fn remove(&mut self, number: AttemptNumber) {
        if let Some(attempt) = self.in_flight.remove(&number) {
            let key = (attempt.worker, attempt.request_id);
            if self.by_request.get(&key) == Some(&number) {
                self.by_request.remove(&key);
            }
        }
    }
}
