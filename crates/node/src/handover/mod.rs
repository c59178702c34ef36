//! Takeover between two processes of one node: the search for the predecessor, the link between both
//! processes, and the task that executes the takeover. `curlewusher_control::takeover` decides which process
//! owns each part of the node at which time. A process that does not answer or read counts as ended; it never
//! delays its peer.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `rendezvous`, `rendezvous_listener` | well-known socket and start lock in `$TMPDIR` |
//! | `handshake` | hello, acceptance or rejection, and transfer of the client listener's descriptor |
//! | `link` | requests in both directions, with their timeouts and limits |
//! | `peer` | access to the peer for all parts that send requests to it |
//! | `startup` | search for a predecessor when the process starts |
//! | `state_transfer` | record of the state that a successor receives |
//! | `takeover` | task that passes events to the state machine and executes its commands |
//! | `descriptor_stream` | reads and writes with descriptors on a Unix socket |

mod descriptor_stream;
mod error;
mod handshake;
mod link;
mod peer;
mod rendezvous;
mod rendezvous_listener;
mod startup;
mod state_transfer;
pub mod takeover;

pub use self::link::{ForwardResult, MIN_TIME_FOR_MIGRATION, PeerLink};
pub use self::peer::Peer;
pub use self::startup::StartupHandover;

#[cfg(test)]
#[path = "../../tests/unit/handover/support.rs"]
mod test_support;
