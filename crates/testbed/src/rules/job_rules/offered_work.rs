//! Work that nodes sent to each worker, from which the cause of an overload is determined.

use std::collections::HashMap;

use curlewusher_model::{TimeSpan, Timestamp};

/// Arrival of an attempt at a worker.
#[derive(Debug)]
struct WorkArrival {
    at: Timestamp,
    node: usize,
    /// Work of the attempt, in seconds on a core of speed 1.
    work_seconds: f64,
}

/// Starts of the workers, and the work that arrived at them.
#[derive(Debug, Default)]
pub(super) struct OfferedWork {
    /// Arrivals at each worker, oldest first.
    arrivals: HashMap<usize, Vec<WorkArrival>>,
    /// Last start of each worker that started during the run.
    starts: HashMap<usize, Timestamp>,
}

/// Work that arrived at a worker, by whether its node had been notified of the worker's start. In seconds on
/// a core of speed 1.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkByNotification {
    /// Work from nodes that had been notified.
    pub(super) seconds_from_notified: f64,
    /// Work from nodes that had not been notified.
    pub(super) seconds_from_unnotified: f64,
}

impl OfferedWork {
    /// Records the start of a worker.
    pub(super) fn observe_start(&mut self, at: Timestamp, worker: usize) {
        self.starts.insert(worker, at);
    }

    /// Records the work of an attempt that arrived at a worker.
    pub(super) fn observe_arrival(&mut self, at: Timestamp, node: usize, worker: usize, work_seconds: f64) {
        self.arrivals.entry(worker).or_default().push(WorkArrival { at, node, work_seconds });
    }

    /// Returns the last start of a worker, or the beginning of the run if the worker did not start during it.
    pub(super) fn started_at(&self, worker: usize) -> Timestamp {
        self.starts.get(&worker).copied().unwrap_or_default()
    }

    /// Returns the work that arrived at a worker within the window before a time.
    pub(super) fn work_within(
        &self,
        at: Timestamp,
        worker: usize,
        window: TimeSpan,
        is_notified: impl Fn(usize) -> bool,
    ) -> WorkByNotification {
        let mut work = WorkByNotification::default();
        let arrivals = self.arrivals.get(&worker).into_iter().flatten();
        for arrival in arrivals.filter(|arrival| arrival.at + window >= at) {
            if is_notified(arrival.node) {
                work.seconds_from_notified += arrival.work_seconds;
            } else {
                work.seconds_from_unnotified += arrival.work_seconds;
            }
        }
        work
    }
}

impl WorkByNotification {
    /// Returns whether nodes that had been notified of the start sent at least two thirds of the work, so
    /// that they caused the overload.
    pub(super) fn is_mostly_from_notified(&self) -> bool {
        self.seconds_from_notified >= 2.0 * self.seconds_from_unnotified && self.seconds_from_notified > 0.0
    }
}
