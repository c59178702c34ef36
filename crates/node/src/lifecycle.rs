//! The phase of this process, shared by all its parts.
//!
//! The phases and the transitions between them are the table in [`curlewusher_control::phase`]. Only the node's own
//! thread changes the phase; any thread may read it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

pub use curlewusher_control::phase::{Phase, PhaseEvent};

/// A shared handle on the phase of this process. Clones refer to the same phase.
#[derive(Clone)]
pub struct Lifecycle {
    /// Index of the phase in [`Phase::ALL`]. Atomic, because the thread of the admin address reads it too.
    phase_index: Arc<AtomicUsize>,
}

impl Lifecycle {
    /// A process that starts.
    pub fn new() -> Self {
        Lifecycle { phase_index: Arc::new(AtomicUsize::new(0)) }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        Phase::ALL[self.phase_index.load(Ordering::Relaxed)]
    }

    /// Makes the transition that the table has for this event, and returns the new phase. Where the table has none,
    /// as for an endpoint list that arrives during shutdown, returns none and the phase stays. To be called on the
    /// node's own thread only.
    pub fn apply(&self, event: PhaseEvent) -> Option<Phase> {
        let next_phase = self.phase().next(event)?;
        let index = Phase::ALL.iter().position(|phase| *phase == next_phase)?;
        self.phase_index.store(index, Ordering::Relaxed);
        Some(next_phase)
    }
}
