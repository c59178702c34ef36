//! The state snapshot that a successor process of this node takes over.

use super::Dispatcher;
use crate::{StateSnapshot, Timestamp};

impl Dispatcher {
    /// What is known now, for a successor.
    pub fn snapshot(&self) -> StateSnapshot {
        StateSnapshot::capture(&self.fleet, &self.demand)
    }

    /// Adds what the predecessor has learned of workers that this process's endpoint list names too. Estimates for
    /// which this process has samples of its own are kept.
    pub fn restore(&mut self, now: Timestamp, snapshot: &StateSnapshot) {
        snapshot.restore_to(now, &mut self.fleet, &mut self.demand);
    }
}
