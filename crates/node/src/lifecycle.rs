//! Owns the phase that the program is in, from its start to its exit, as an object that all parts can ask.
//! It must never touch a socket or a job, nor know a move that the table in `curlewusher_control::phase` has not.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

pub use curlewusher_control::phase::{Phase, PhaseEvent};

/// After SIGTERM the front still sends new connections here for up to 0.4 s, and clients use what they have.
pub const DRAIN_AT_LEAST: Duration = Duration::from_millis(700);

/// The kill follows SIGTERM after the longest deadline, or this where that is longer, and `DRAIN_AT_LEAST`.
pub const DRAIN_AT_MOST: Duration = Duration::from_millis(3000);
/// So long before it the last answers go out.
pub const LAST_ANSWERS: Duration = Duration::from_millis(400);

/// The one object that knows the phase; operators' calls ask it from a thread of their own.
#[derive(Clone)]
pub struct Lifecycle {
    /// Place in [`Phase::ALL`].
    at: Arc<AtomicUsize>,
}

impl Lifecycle {
    pub fn new() -> Self {
        Lifecycle { at: Arc::new(AtomicUsize::new(0)) }
    }

    pub fn phase(&self) -> Phase {
        Phase::ALL[self.at.load(Ordering::Relaxed)]
    }

    /// Moves to the phase that the table has for it, and says which that is; none where it has none, as when a list
    /// comes while the program ends. Called by the node's own thread only.
    pub fn apply(&self, by: PhaseEvent) -> Option<Phase> {
        let phase = self.phase().next(by)?;
        let at = Phase::ALL.iter().position(|p| *p == phase)?;
        self.at.store(at, Ordering::Relaxed);
        Some(phase)
    }
}
