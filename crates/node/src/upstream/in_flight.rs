//! Counts the attempts and cancellations in flight, so that a shutdown can wait for them.

use std::cell::Cell;

/// How many operations are in flight.
#[derive(Default)]
pub struct InFlightCounter(Cell<usize>);

impl InFlightCounter {
    /// Counts an operation until the guard is dropped.
    pub fn enter(&self) -> InFlightGuard<'_> {
        self.0.set(self.0.get() + 1);
        InFlightGuard(&self.0)
    }

    /// Whether nothing is in flight.
    pub fn is_idle(&self) -> bool {
        self.0.get() == 0
    }
}

/// Counts an operation as in flight. Dropping it ends that, even if the operation was aborted.
pub struct InFlightGuard<'a>(&'a Cell<usize>);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
