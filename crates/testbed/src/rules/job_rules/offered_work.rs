//! The work that nodes sent to each worker, by which the cause of an overload is found.

use std::collections::HashMap;

use curlewusher_model::{TimeSpan, Timestamp};

#[derive(Debug)]
struct WorkArrival {
    at: Timestamp,
    node: usize,
    work_seconds: f64,
}

/// The starts of the workers and the work that arrived at them.
#[derive(Debug, Default)]
pub(super) struct OfferedWork {
    arrivals: HashMap<usize, Vec<WorkArrival>>,
    starts: HashMap<usize, Timestamp>,
}

/// Work that arrived at a worker, in seconds on a core of speed 1.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkByKnowledge {
    /// From nodes that knew of the worker's start.
    pub(super) informed_seconds: f64,
    /// From other nodes.
    pub(super) uninformed_seconds: f64,
}

impl OfferedWork {
    pub(super) fn observe_start(&mut self, at: Timestamp, worker: usize) {
        self.starts.insert(worker, at);
    }

    pub(super) fn observe_arrival(&mut self, at: Timestamp, node: usize, worker: usize, work_seconds: f64) {
        self.arrivals.entry(worker).or_default().push(WorkArrival { at, node, work_seconds });
    }

    /// The last start of a worker; the beginning of the run if it has been up since.
    pub(super) fn started_at(&self, worker: usize) -> Timestamp {
        self.starts.get(&worker).copied().unwrap_or_default()
    }

    /// The work that arrived at a worker within the window before a moment.
    pub(super) fn work_within(
        &self,
        at: Timestamp,
        worker: usize,
        window: TimeSpan,
        is_informed: impl Fn(usize) -> bool,
    ) -> WorkByKnowledge {
        let mut work = WorkByKnowledge::default();
        let arrivals = self.arrivals.get(&worker).into_iter().flatten();
        for arrival in arrivals.filter(|arrival| arrival.at + window >= at) {
            if is_informed(arrival.node) {
                work.informed_seconds += arrival.work_seconds;
            } else {
                work.uninformed_seconds += arrival.work_seconds;
            }
        }
        work
    }
}

impl WorkByKnowledge {
    /// Whether nodes that knew of the start sent most of the work, so that the overload is their fault.
    pub(super) fn is_mostly_informed(&self) -> bool {
        self.informed_seconds >= 2.0 * self.uninformed_seconds && self.informed_seconds > 0.0
    }
}
