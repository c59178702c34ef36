//! The attempts that workers have.

use std::collections::HashMap;

use curlewusher_model::worker_pool::{AttemptNumber, WorkerIndex};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use super::callback::{AttemptReport, Callback};
use super::message::Admission;

/// An attempt that a worker has.
pub(super) struct InFlightAttempt {
    pub(super) request_id: String,
    pub(super) worker: WorkerIndex,
    /// Until the worker has accepted or rejected the attempt.
    pub(super) admission: Option<oneshot::Sender<Admission>>,
    pub(super) callbacks: UnboundedSender<Callback>,
}

/// All attempts that workers have.
pub(super) struct AttemptTable {
    next: AttemptNumber,
    in_flight: HashMap<AttemptNumber, InFlightAttempt>,
    /// The newest attempt of a request at a worker.
    by_request: HashMap<(WorkerIndex, String), AttemptNumber>,
}

impl AttemptTable {
    /// No attempts yet; the first one gets number 1.
    pub(super) fn new() -> Self {
        AttemptTable { next: 1, in_flight: HashMap::new(), by_request: HashMap::new() }
    }

    /// Numbers a new attempt.
    pub(super) fn allocate_number(&mut self) -> AttemptNumber {
        let number = self.next;
        self.next += 1;
        number
    }

    /// Adds an attempt that has arrived at its worker.
    pub(super) fn insert(&mut self, number: AttemptNumber, attempt: InFlightAttempt) {
        self.by_request.insert((attempt.worker, attempt.request_id.clone()), number);
        self.in_flight.insert(number, attempt);
    }

    /// Whether the worker still has an attempt.
    pub(super) fn contains(&self, number: AttemptNumber) -> bool {
        self.in_flight.contains_key(&number)
    }

    /// The attempt of a request that a worker has.
    pub(super) fn find(&self, worker: WorkerIndex, request_id: String) -> Option<AttemptNumber> {
        self.by_request.get(&(worker, request_id)).copied()
    }

    /// Lets the worker respond to the request of an attempt.
    pub(super) fn admit(&mut self, number: AttemptNumber, admission: Admission) {
        let waiting = self.in_flight.get_mut(&number).and_then(|attempt| attempt.admission.take());
        if let Some(waiting) = waiting {
            // Fails if the node has closed its connection, which cancels the attempt.
            let _ = waiting.send(admission);
        }
    }

    /// Sends a callback on an attempt.
    pub(super) fn report(&self, number: AttemptNumber, report: AttemptReport) {
        let Some(attempt) = self.in_flight.get(&number) else { return };
        let callback = Callback { request_id: attempt.request_id.clone(), worker: attempt.worker, report };
        // Fails only when the runtime shuts down.
        let _ = attempt.callbacks.send(callback);
    }

    /// The id of the request that an attempt is of.
    pub(super) fn request_id(&self, number: AttemptNumber) -> Option<&str> {
        self.in_flight.get(&number).map(|attempt| attempt.request_id.as_str())
    }

    /// Forgets an attempt that has ended.
    pub(super) fn remove(&mut self, number: AttemptNumber) {
        if let Some(attempt) = self.in_flight.remove(&number) {
            let key = (attempt.worker, attempt.request_id);
            if self.by_request.get(&key) == Some(&number) {
                self.by_request.remove(&key);
            }
        }
    }
}
