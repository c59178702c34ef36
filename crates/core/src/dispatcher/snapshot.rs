//! State snapshot that a successor of this process restores.

use super::Dispatcher;
use crate::{StateSnapshot, Timestamp};

impl Dispatcher {
    /// Captures the present state for a successor.
    pub fn snapshot(&self) -> StateSnapshot {
        StateSnapshot::capture(&self.fleet, &self.demand)
    }

    /// Adds the estimates of the predecessor for workers that are also in this process's endpoint list.
    /// Estimates for which this process has samples of its own are kept.
    pub fn restore(&mut self, now: Timestamp, snapshot: &StateSnapshot) {
        snapshot.restore_to(now, &mut self.fleet, &mut self.demand);
    }
}
