//! Deduplication of jobs with an idempotency key. For a fixed period after the first arrival of a job, the
//! cell does not run it again once it has completed.

use std::collections::{HashMap, HashSet};

use crate::{TimeSpan, Timestamp};

/// Idempotency key of a job within a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct CellKey {
    pub(super) cell: u32,
    pub(super) key: u64,
}

/// Jobs with an idempotency key that have arrived, and those that have completed.
#[derive(Debug)]
pub(super) struct Deduplication {
    window: TimeSpan,
    first_arrivals: HashMap<CellKey, Timestamp>,
    completed: HashSet<CellKey>,
}

impl Deduplication {
    pub(super) fn new(window: TimeSpan) -> Self {
        Deduplication { window, first_arrivals: HashMap::new(), completed: HashSet::new() }
    }

    /// Records an arrival and returns whether it is a duplicate: the job has already completed, and the
    /// window since its first arrival has not ended.
    pub(super) fn is_duplicate(&mut self, now: Timestamp, key: CellKey) -> bool {
        let first_arrival = *self.first_arrivals.entry(key).or_insert(now);
        now < first_arrival + self.window && self.completed.contains(&key)
    }

    pub(super) fn record_completion(&mut self, key: CellKey) {
        self.completed.insert(key);
    }
}
