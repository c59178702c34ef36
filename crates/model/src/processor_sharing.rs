//! Egalitarian processor sharing of one resource: all tasks in service advance at the same rate.
//!
//! The model represents both a worker's cores and the data archive. It keeps one virtual time: the service
//! that a task would have attained if it had been present since the beginning. A task completes when the
//! virtual time reaches the task's virtual finish time. A change of the rate therefore updates no task.

use std::collections::{BTreeSet, HashMap};

use crate::{TimeSpan, Timestamp};

const NANOS_PER_SECOND: f64 = 1e9;
const NANOS_PER_MICRO: f64 = 1e3;

/// Completion of a task. Completions are ordered by virtual finish time and then by task number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Completion {
    /// Virtual time at which the task is complete, in nanoseconds of work. An integer, so that it has a total
    /// order.
    finish_ns: u64,
    task: u64,
}

/// Resource that is divided equally between its tasks.
#[derive(Debug, Default)]
pub struct ProcessorSharing {
    /// Virtual time at `updated_at`: service that a task present since the beginning would have attained, in
    /// nanoseconds of work.
    virtual_time_ns: f64,
    /// Service rate of each task, in seconds of work per second.
    rate: f64,
    updated_at: Timestamp,
    completions: BTreeSet<Completion>,
    finish_ns_by_task: HashMap<u64, u64>,
}

impl ProcessorSharing {
    /// Creates a resource that has no tasks and a rate of 0.
    pub fn new() -> Self {
        Self::default()
    }

    fn virtual_time_ns_at(&self, now: Timestamp) -> f64 {
        self.virtual_time_ns
            + now.saturating_since(self.updated_at).as_micros() as f64 * NANOS_PER_MICRO * self.rate
    }

    fn advance(&mut self, now: Timestamp) {
        if now > self.updated_at {
            self.virtual_time_ns = self.virtual_time_ns_at(now);
            self.updated_at = now;
        }
    }

    /// Sets the service rate of each task from `now` on, in seconds of work per second. A negative rate
    /// counts as 0.
    pub fn set_rate(&mut self, now: Timestamp, rate: f64) {
        self.advance(now);
        self.rate = rate.max(0.0);
    }

    /// Adds a task of `seconds` seconds of work.
    ///
    /// # Panics
    ///
    /// Panics if a task with this number is already in service.
    pub fn add(&mut self, now: Timestamp, task: u64, seconds: f64) {
        self.advance(now);
        let finish_ns = (self.virtual_time_ns + seconds.max(0.0) * NANOS_PER_SECOND).ceil() as u64;
        let previous = self.finish_ns_by_task.insert(task, finish_ns);
        assert!(previous.is_none(), "task {task} is already in service");
        self.completions.insert(Completion { finish_ns, task });
    }

    /// Removes a task and returns its remaining work, in seconds. Returns `None` if the task is not in
    /// service.
    pub fn remove(&mut self, now: Timestamp, task: u64) -> Option<f64> {
        self.advance(now);
        let finish_ns = self.finish_ns_by_task.remove(&task)?;
        self.completions.remove(&Completion { finish_ns, task });
        Some(seconds_until_finish(self.virtual_time_ns, finish_ns))
    }

    /// Returns the remaining work of a task at `now`, in seconds. Returns `None` if the task is not in
    /// service.
    pub fn remaining_seconds(&self, now: Timestamp, task: u64) -> Option<f64> {
        let virtual_time_ns = self.virtual_time_ns_at(now);
        self.finish_ns_by_task.get(&task).map(|finish_ns| seconds_until_finish(virtual_time_ns, *finish_ns))
    }

    /// Returns the number of tasks in service.
    pub fn len(&self) -> usize {
        self.finish_ns_by_task.len()
    }

    /// Returns whether no task is in service.
    pub fn is_empty(&self) -> bool {
        self.finish_ns_by_task.is_empty()
    }

    /// Returns the time at which the next task completes if neither the tasks nor the rate change. Returns
    /// `None` if no task is in service or the rate is 0.
    pub fn next_completion(&self) -> Option<Timestamp> {
        let next = self.completions.first()?;
        let remaining_ns = (next.finish_ns as f64 - self.virtual_time_ns).max(0.0);
        let wait = || TimeSpan::from_micros((remaining_ns / NANOS_PER_MICRO / self.rate).ceil() as u64);
        (self.rate > 0.0).then(|| self.updated_at + wait())
    }

    /// Removes and returns the next task that is complete at `now`, or `None` if there is none.
    pub fn pop_completed(&mut self, now: Timestamp) -> Option<u64> {
        self.advance(now);
        let next = *self.completions.first()?;
        // The clock has a resolution of 1 µs: a task that completes within the current microsecond is
        // complete.
        if next.finish_ns as f64 > self.virtual_time_ns + NANOS_PER_MICRO * self.rate {
            return None;
        }
        self.completions.remove(&next);
        self.finish_ns_by_task.remove(&next.task);
        Some(next.task)
    }
}

fn seconds_until_finish(virtual_time_ns: f64, finish_ns: u64) -> f64 {
    (finish_ns as f64 - virtual_time_ns).max(0.0) / NANOS_PER_SECOND
}
