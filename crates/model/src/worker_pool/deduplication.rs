//! Drops repeats of jobs with an idempotency key: within a bay, for a fixed time after the first arrival, a job that is
//! complete is not run again.

use std::collections::{HashMap, HashSet};

use crate::{TimeSpan, Timestamp};

/// A job's idempotency key within a bay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct BayKey {
    pub(super) bay: u32,
    pub(super) key: u64,
}

#[derive(Debug)]
pub(super) struct Deduplication {
    window: TimeSpan,
    first_arrivals: HashMap<BayKey, Timestamp>,
    completed: HashSet<BayKey>,
}

impl Deduplication {
    pub(super) fn new(window: TimeSpan) -> Self {
        Deduplication { window, first_arrivals: HashMap::new(), completed: HashSet::new() }
    }

    /// Records an arrival; true if the job is a repeat of one that is complete, within the window.
    pub(super) fn is_repeat(&mut self, now: Timestamp, key: BayKey) -> bool {
        let first_arrival = *self.first_arrivals.entry(key).or_insert(now);
        now < first_arrival + self.window && self.completed.contains(&key)
    }

    pub(super) fn record_completion(&mut self, key: BayKey) {
        self.completed.insert(key);
    }
}
