//! Owns the phases of the program, from its start to its exit.
//! It must never touch a socket or a job: the other parts ask it which phase it is, and act on that themselves.

use std::cell::Cell;
use std::time::Duration;

/// After SIGTERM the front still sends new connections here for up to 0.4 s, and clients use what they have.
pub const DRAIN_AT_LEAST: Duration = Duration::from_millis(700);

/// The kill follows SIGTERM after the longest deadline, or this where that is longer, and `DRAIN_AT_LEAST`.
pub const DRAIN_AT_MOST: Duration = Duration::from_millis(3000);
/// So long before it the last answers go out.
pub const LAST_ANSWERS: Duration = Duration::from_millis(400);

/// A phase of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It listens, and has no transport map yet.
    Starting,
    /// It serves.
    Ready,
    /// It was told to end: it serves on and answers all that it has taken.
    Draining,
    /// Everything is answered.
    Stopped,
}

/// The one object that knows the phase. Phases only go forward.
pub struct Lifecycle {
    phase: Cell<Phase>,
}

impl Lifecycle {
    pub fn new() -> Self {
        Lifecycle { phase: Cell::new(Phase::Starting) }
    }

    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Goes on to a later phase; an earlier one is passed over, as when the first list comes while draining.
    pub fn enter(&self, phase: Phase) {
        self.phase.set(self.phase.get().max(phase));
    }
}
