//! Phase of this process, shared by all its parts.
//!
//! The table in [`curlewusher_control::phase`] defines the phases and the transitions between them. Only the
//! node's main thread changes the phase; any thread may read it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

pub use curlewusher_control::phase::{Phase, PhaseEvent};

/// A shared handle to the phase of this process. Clones refer to the same phase.
#[derive(Clone)]
pub struct Lifecycle {
    /// Index of the phase in [`Phase::ALL`]. Atomic, because the thread of the admin address also reads it.
    phase_index: Arc<AtomicUsize>,
}

impl Lifecycle {
    /// Creates the handle of a process that is starting.
    pub fn new() -> Self {
        Lifecycle { phase_index: Arc::new(AtomicUsize::new(0)) }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        Phase::ALL[self.phase_index.load(Ordering::Relaxed)]
    }

    /// Applies the transition of the phase table for this event, and returns the new phase. If the table has
    /// no transition, as for an endpoint list that arrives during shutdown, returns `None`, and the phase
    /// stays unchanged. Must be called only on the node's main thread.
    pub fn apply(&self, event: PhaseEvent) -> Option<Phase> {
        let next_phase = self.phase().next(event)?;
        let index = Phase::ALL.iter().position(|phase| *phase == next_phase)?;
        self.phase_index.store(index, Ordering::Relaxed);
        Some(next_phase)
    }
}
