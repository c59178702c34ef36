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
    Retired {
        /// See [`Phase`].
        drained: bool,
    },
    /// It was told to end: it serves on and answers all that it has taken.
    Ending,
    /// Everything is answered.
    Stopped,
}

/// What moves a process from phase to phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Move {
    /// The transport map is there.
    Listed,
    /// An operator drains the node.
    Drain,
    /// An operator ends the drain.
    Undrain,
    /// The successor is ready.
    HandOver,
    /// The successor is gone.
    TakeBack,
    /// SIGTERM.
    Terminate,
    /// All is answered.
    Answered,
}

impl Phase {
    /// All of them.
    pub const ALL: [Phase; 8] = [
        Phase::Starting { drained: false },
        Phase::Starting { drained: true },
        Phase::Ready,
        Phase::Drained,
        Phase::Retired { drained: false },
        Phase::Retired { drained: true },
        Phase::Ending,
        Phase::Stopped,
    ];

    /// The phase after a move; none where the table has no such move, and the phase stays.
    pub fn after(self, by: Move) -> Option<Phase> {
        use Phase::*;
        Some(match (self, by) {
            (Starting { .. } | Ready | Drained | Retired { .. }, Move::Terminate) => Ending,
            (Ending, Move::Answered) => Stopped,
            (Starting { drained: false } | Retired { drained: false }, Move::Undrain) => return None,
            (Starting { .. }, Move::Drain) => Starting { drained: true },
            (Starting { .. }, Move::Undrain) => Starting { drained: false },
            (Starting { drained: false }, Move::Listed) => Ready,
            (Starting { drained: true }, Move::Listed) => Drained,
            (Ready, Move::Drain) => Drained,
            (Drained, Move::Undrain) => Ready,
            (Starting { drained } | Retired { drained }, Move::HandOver) => Retired { drained },
            (Ready, Move::HandOver) => Retired { drained: false },
            (Drained, Move::HandOver) => Retired { drained: true },
            (Retired { .. }, Move::Drain) => Retired { drained: true },
            (Retired { .. }, Move::Undrain) => Retired { drained: false },
            (Retired { drained: false }, Move::TakeBack) => Ready,
            (Retired { drained: true }, Move::TakeBack) => Drained,
            _ => return None,
        })
    }

    /// Whether the node, of which this is one process, wants new clients: what the front is told.
    pub fn wants_clients(self) -> bool {
        matches!(self, Phase::Ready | Phase::Retired { drained: false })
    }

    /// Whether clients on open connections are to go on elsewhere: to another node, or to the successor.
    pub fn sends_on(self) -> bool {
        !matches!(self, Phase::Starting { drained: false } | Phase::Ready)
    }

    /// Whether the process was told to end.
    pub fn ends(self) -> bool {
        matches!(self, Phase::Ending | Phase::Stopped)
    }

    /// Whether an operator has drained the node.
    pub fn drained(self) -> bool {
        matches!(self, Phase::Starting { drained: true } | Phase::Drained | Phase::Retired { drained: true })
    }

    /// What an operator can do about a process that is not ready.
    pub fn advice(self) -> &'static str {
        match self {
            Phase::Starting { .. } => "no list of core workers yet; look at discovery if this lasts",
            Phase::Ready => "it serves",
            Phase::Drained | Phase::Retired { drained: true } => "send UNDRAIN to end the drain",
            Phase::Retired { drained: false } => "its successor serves; ask that one",
            Phase::Ending => "told to end; wait for its successor",
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
            Phase::Retired { .. } => "retired",
            Phase::Ending => "ending",
            Phase::Stopped => "stopped",
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn moves() -> impl Strategy<Value = Move> {
        prop::sample::select(vec![
            Move::Listed,
            Move::Drain,
            Move::Undrain,
            Move::HandOver,
            Move::TakeBack,
            Move::Terminate,
            Move::Answered,
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
                phase = phase.after(by).unwrap_or(phase);
                if before.ends() {
                    prop_assert!(phase.ends());
                    continue;
                }
                match by {
                    Move::Drain => drained = true,
                    Move::Undrain => drained = false,
                    Move::Listed | Move::HandOver => listed = true,
                    _ => {}
                }
                prop_assert_eq!(phase.ends(), by == Move::Terminate);
                if !phase.ends() {
                    prop_assert_eq!(phase.drained(), drained, "{:?} after {:?}", phase, by);
                    prop_assert_eq!(phase.wants_clients(), listed && !drained);
                }
            }
        }
    }

    #[test]
    fn what_the_front_is_told_and_what_clients_are_told_go_together() {
        for phase in Phase::ALL {
            assert!(phase.wants_clients() || phase.sends_on() || phase == Phase::Starting { drained: false });
            assert!(phase.after(Move::Terminate).is_some() != phase.ends());
            assert!(!phase.advice().is_empty());
        }
    }
}
