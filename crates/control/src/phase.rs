//! Owns the phases of a node's process and the table of moves between them. It must never know why a move is made.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A phase of a process. `drained` says that an operator has drained the node and not ended the drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It listens, or waits to, and has no transport map yet.
    Starting {
        /// See [`Phase`].
        drained: bool,
    },
    /// It serves.
    Ready,
    /// An operator has drained the node: it serves what still comes, and sends clients on elsewhere.
    Drained,
    /// Its successor serves: it answers what it has taken, and would take the node back should that one end.
    #[serde(rename = "Retired")]
    Superseded {
        /// See [`Phase`].
        drained: bool,
    },
    /// It was told to end: it serves on and answers all that it has taken.
    #[serde(rename = "Ending")]
    ShuttingDown,
    /// Everything is answered.
    Stopped,
}

/// What moves a process from phase to phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PhaseEvent {
    /// The transport map is there.
    EndpointsAvailable,
    /// An operator drains the node.
    Drain,
    /// An operator ends the drain.
    Undrain,
    /// The successor is ready.
    HandedOver,
    /// The successor is gone.
    TookBack,
    /// SIGTERM.
    Terminate,
    /// All is answered.
    ShutdownCompleted,
}

impl Phase {
    /// All of them.
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

    /// The phase after a move; none where the table has no such move, and the phase stays.
    pub fn next(self, by: PhaseEvent) -> Option<Phase> {
        use Phase::*;
        Some(match (self, by) {
            (Starting { .. } | Ready | Drained | Superseded { .. }, PhaseEvent::Terminate) => ShuttingDown,
            (ShuttingDown, PhaseEvent::ShutdownCompleted) => Stopped,
            (Starting { drained: false } | Superseded { drained: false }, PhaseEvent::Undrain) => {
                return None;
            }
            (Starting { .. }, PhaseEvent::Drain) => Starting { drained: true },
            (Starting { .. }, PhaseEvent::Undrain) => Starting { drained: false },
            (Starting { drained: false }, PhaseEvent::EndpointsAvailable) => Ready,
            (Starting { drained: true }, PhaseEvent::EndpointsAvailable) => Drained,
            (Ready, PhaseEvent::Drain) => Drained,
            (Drained, PhaseEvent::Undrain) => Ready,
            (Starting { drained } | Superseded { drained }, PhaseEvent::HandedOver) => Superseded { drained },
            (Ready, PhaseEvent::HandedOver) => Superseded { drained: false },
            (Drained, PhaseEvent::HandedOver) => Superseded { drained: true },
            (Superseded { .. }, PhaseEvent::Drain) => Superseded { drained: true },
            (Superseded { .. }, PhaseEvent::Undrain) => Superseded { drained: false },
            (Superseded { drained: false }, PhaseEvent::TookBack) => Ready,
            (Superseded { drained: true }, PhaseEvent::TookBack) => Drained,
            _ => return None,
        })
    }

    /// Whether the node, of which this is one process, wants new clients: what the front is told.
    pub fn accepts_new_clients(self) -> bool {
        matches!(self, Phase::Ready | Phase::Superseded { drained: false })
    }

    /// Whether clients on open connections are to go on elsewhere: to another node, or to the successor.
    pub fn redirects_clients(self) -> bool {
        !matches!(self, Phase::Starting { drained: false } | Phase::Ready)
    }

    /// Whether the process was told to end.
    pub fn is_shutting_down(self) -> bool {
        matches!(self, Phase::ShuttingDown | Phase::Stopped)
    }

    /// Whether an operator has drained the node.
    pub fn is_drained(self) -> bool {
        matches!(
            self,
            Phase::Starting { drained: true } | Phase::Drained | Phase::Superseded { drained: true }
        )
    }

    /// What an operator can do about a process that is not ready.
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

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Phase::Starting { .. } => "starting",
            Phase::Ready => "ready",
            Phase::Drained => "drained",
            Phase::Superseded { .. } => "retired",
            Phase::ShuttingDown => "ending",
            Phase::Stopped => "stopped",
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn moves() -> impl Strategy<Value = PhaseEvent> {
        prop::sample::select(vec![
            PhaseEvent::EndpointsAvailable,
            PhaseEvent::Drain,
            PhaseEvent::Undrain,
            PhaseEvent::HandedOver,
            PhaseEvent::TookBack,
            PhaseEvent::Terminate,
            PhaseEvent::ShutdownCompleted,
        ])
    }

    proptest! {
        /// Whatever happens in whatever order: the last of DRAIN and UNDRAIN holds, an end is never left, and only a
        /// node that is not drained and has a map, here or at its successor, wants clients.
        #[test]
        fn phases_keep_to_their_table(all in prop::collection::vec(moves(), 0..40)) {
            let (mut phase, mut drained, mut listed) = (Phase::Starting { drained: false }, false, false);
            for by in all {
                let before = phase;
                phase = phase.next(by).unwrap_or(phase);
                if before.is_shutting_down() {
                    prop_assert!(phase.is_shutting_down());
                    continue;
                }
                match by {
                    PhaseEvent::Drain => drained = true,
                    PhaseEvent::Undrain => drained = false,
                    PhaseEvent::EndpointsAvailable | PhaseEvent::HandedOver => listed = true,
                    _ => {}
                }
                prop_assert_eq!(phase.is_shutting_down(), by == PhaseEvent::Terminate);
                if !phase.is_shutting_down() {
                    prop_assert_eq!(phase.is_drained(), drained, "{:?} after {:?}", phase, by);
                    prop_assert_eq!(phase.accepts_new_clients(), listed && !drained);
                }
            }
        }
    }

    #[test]
    fn what_the_front_is_told_and_what_clients_are_told_go_together() {
        for phase in Phase::ALL {
            assert!(
                phase.accepts_new_clients()
                    || phase.redirects_clients()
                    || phase == Phase::Starting { drained: false }
            );
            assert!(phase.next(PhaseEvent::Terminate).is_some() != phase.is_shutting_down());
            assert!(!phase.operator_advice().is_empty());
        }
    }
}
