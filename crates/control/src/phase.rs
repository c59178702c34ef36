//! Phases of a process of a node, and the transitions between them.
//!
//! A process begins in `Starting` and ends in `Stopped`. In the table, `St` and `Su` stand for `Starting` and
//! `Superseded`, and `+d` means that `drained` is set. Each cell contains the next phase. An empty cell means
//! that the event does not apply and the phase stays the same.
//!
//! | event | `St` | `St+d` | `Ready` | `Drained` | `Su` | `Su+d` | `ShuttingDown` | `Stopped` |
//! | --- | --- | --- | --- | --- | --- | --- | --- | --- |
//! | `EndpointsAvailable` | `Ready` | `Drained` | | | | | | |
//! | `Drain` | `St+d` | `St+d` | `Drained` | | `Su+d` | `Su+d` | | |
//! | `Undrain` | | `St` | | `Ready` | | `Su` | | |
//! | `HandedOver` | `Su` | `Su+d` | `Su` | `Su+d` | `Su` | `Su+d` | | |
//! | `RolledBack` | | | | | `Ready` | `Drained` | | |
//! | `Terminate` | `ShuttingDown` | `ShuttingDown` | `ShuttingDown` | `ShuttingDown` | `ShuttingDown` | `ShuttingDown` | | |
//! | `ShutdownCompleted` | | | | | | | `Stopped` | |
//!
//! Invariants: the latest of `Drain` and `Undrain` stays in effect until the shutdown begins, and a shutdown
//! is never reversed.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Phase of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The process has no endpoint list yet, or waits for its predecessor to grant the takeover.
    Starting {
        /// Whether an operator has drained the node.
        drained: bool,
    },
    /// The process serves.
    Ready,
    /// An operator has drained the node: the process serves requests that still arrive, and redirects clients
    /// to other nodes.
    Drained,
    /// The successor serves: this process finishes the jobs that it has accepted, and serves again if the
    /// successor terminates.
    #[serde(rename = "Retired")]
    Superseded {
        /// Whether an operator has drained the node.
        drained: bool,
    },
    /// SIGTERM has arrived: the process serves until all jobs that it has accepted are answered.
    #[serde(rename = "Ending")]
    ShuttingDown,
    /// All jobs are answered.
    Stopped,
}

/// Event that can change the phase of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PhaseEvent {
    /// An endpoint list has arrived.
    EndpointsAvailable,
    /// An operator drains the node.
    Drain,
    /// An operator ends the drain.
    Undrain,
    /// The successor is ready and accepts the new connections from now on.
    HandedOver,
    /// The successor has terminated, and this process accepts new connections again.
    RolledBack,
    /// SIGTERM has arrived.
    Terminate,
    /// All jobs are answered.
    ShutdownCompleted,
}

impl Phase {
    /// All phases, with each value of `drained`.
    pub const ALL: [Phase; 8] = [
        Phase::Starting { drained: false },
        Phase::Starting { drained: true },
        Phase::Ready,
        Phase::Drained,
        Phase::Superseded { drained: false },
        Phase::Superseded { drained: true },
        Phase::ShuttingDown,
        Phase::Stopped,
    ];

    /// Returns the phase after an event, or `None` if the event does not apply and the phase stays the same.
    pub fn next(self, event: PhaseEvent) -> Option<Phase> {
        match event {
            PhaseEvent::EndpointsAvailable => self.after_endpoints_available(),
            PhaseEvent::Drain => self.after_drain(),
            PhaseEvent::Undrain => self.after_undrain(),
            PhaseEvent::HandedOver => self.after_handover(),
            PhaseEvent::RolledBack => self.after_rollback(),
            PhaseEvent::Terminate => self.after_terminate(),
            PhaseEvent::ShutdownCompleted => self.after_shutdown(),
        }
    }

    fn after_endpoints_available(self) -> Option<Phase> {
        match self {
            Phase::Starting { drained } => Some(Phase::serving(drained)),
            Phase::Ready
            | Phase::Drained
            | Phase::Superseded { .. }
            | Phase::ShuttingDown
            | Phase::Stopped => None,
        }
    }

    fn after_drain(self) -> Option<Phase> {
        match self {
            Phase::Starting { .. } => Some(Phase::Starting { drained: true }),
            Phase::Ready => Some(Phase::Drained),
            Phase::Superseded { .. } => Some(Phase::Superseded { drained: true }),
            Phase::Drained | Phase::ShuttingDown | Phase::Stopped => None,
        }
    }

    fn after_undrain(self) -> Option<Phase> {
        match self {
            Phase::Starting { drained: true } => Some(Phase::Starting { drained: false }),
            Phase::Drained => Some(Phase::Ready),
            Phase::Superseded { drained: true } => Some(Phase::Superseded { drained: false }),
            Phase::Starting { drained: false }
            | Phase::Ready
            | Phase::Superseded { drained: false }
            | Phase::ShuttingDown
            | Phase::Stopped => None,
        }
    }

    fn after_handover(self) -> Option<Phase> {
        match self {
            Phase::Starting { drained } | Phase::Superseded { drained } => {
                Some(Phase::Superseded { drained })
            }
            Phase::Ready => Some(Phase::Superseded { drained: false }),
            Phase::Drained => Some(Phase::Superseded { drained: true }),
            Phase::ShuttingDown | Phase::Stopped => None,
        }
    }

    fn after_rollback(self) -> Option<Phase> {
        match self {
            Phase::Superseded { drained } => Some(Phase::serving(drained)),
            Phase::Starting { .. } | Phase::Ready | Phase::Drained | Phase::ShuttingDown | Phase::Stopped => {
                None
            }
        }
    }

    fn after_terminate(self) -> Option<Phase> {
        match self {
            Phase::Starting { .. } | Phase::Ready | Phase::Drained | Phase::Superseded { .. } => {
                Some(Phase::ShuttingDown)
            }
            Phase::ShuttingDown | Phase::Stopped => None,
        }
    }

    fn after_shutdown(self) -> Option<Phase> {
        match self {
            Phase::ShuttingDown => Some(Phase::Stopped),
            Phase::Starting { .. }
            | Phase::Ready
            | Phase::Drained
            | Phase::Superseded { .. }
            | Phase::Stopped => None,
        }
    }

    /// Returns the phase of a process that accepts the new connections of its node.
    fn serving(drained: bool) -> Phase {
        if drained { Phase::Drained } else { Phase::Ready }
    }

    /// Returns whether the node of this process accepts new clients. The node reports this value to the load
    /// balancer in front of it.
    pub fn accepts_new_clients(self) -> bool {
        match self {
            Phase::Ready | Phase::Superseded { drained: false } => true,
            Phase::Starting { .. }
            | Phase::Drained
            | Phase::Superseded { drained: true }
            | Phase::ShuttingDown
            | Phase::Stopped => false,
        }
    }

    /// Returns whether clients on open connections should reconnect, to another node or to the successor.
    pub fn redirects_clients(self) -> bool {
        match self {
            Phase::Starting { drained: false } | Phase::Ready => false,
            Phase::Starting { drained: true }
            | Phase::Drained
            | Phase::Superseded { .. }
            | Phase::ShuttingDown
            | Phase::Stopped => true,
        }
    }

    /// Returns whether the shutdown has begun.
    pub fn is_shutting_down(self) -> bool {
        match self {
            Phase::ShuttingDown | Phase::Stopped => true,
            Phase::Starting { .. } | Phase::Ready | Phase::Drained | Phase::Superseded { .. } => false,
        }
    }

    /// Returns whether an operator has drained the node. Always false once the shutdown has begun.
    pub fn is_drained(self) -> bool {
        match self {
            Phase::Starting { drained } | Phase::Superseded { drained } => drained,
            Phase::Drained => true,
            Phase::Ready | Phase::ShuttingDown | Phase::Stopped => false,
        }
    }

    /// Returns advice to an operator on a process that is not ready.
    pub fn operator_advice(self) -> &'static str {
        match self {
            Phase::Starting { .. } => "no list of core workers yet; look at discovery if this lasts",
            Phase::Ready => "it serves",
            Phase::Drained | Phase::Superseded { drained: true } => "send UNDRAIN to end the drain",
            Phase::Superseded { drained: false } => "its successor serves; ask that one",
            Phase::ShuttingDown => "told to end; wait for its successor",
            Phase::Stopped => "it has ended; start it again",
        }
    }
}

/// Formats the name of the phase in responses to operators and in log lines.
impl fmt::Display for Phase {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Phase::Starting { .. } => "starting",
            Phase::Ready => "ready",
            Phase::Drained => "drained",
            Phase::Superseded { .. } => "retired",
            Phase::ShuttingDown => "ending",
            Phase::Stopped => "stopped",
        })
    }
}
