//! Takeover between two processes of one node: how a newer process finds the older one, the link between them,
//! and the task that carries out the takeover. Which process owns what, and when, is decided by
//! `curlewusher_control::takeover`. A process that does not answer or read counts as ended; it never delays this
//! one.
//!
//! | module | job |
//! | --- | --- |
//! | `rendezvous`, `rendezvous_listener` | the well-known socket and start lock in `$TMPDIR` |
//! | `handshake` | hello, acceptance or rejection, and the client listener's descriptor |
//! | `link` | requests in both directions, with their timeouts and bounds |
//! | `peer` | the other process, for all parts that send requests to it |
//! | `startup` | the search for a predecessor when the process starts |
//! | `state_transfer` | the record of state that a successor receives |
//! | `takeover` | the task: events in, commands out |
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

pub use self::link::{ForwardResult, MIGRATION_TIMEOUT, PeerLink};
pub use self::peer::Peer;
pub use self::startup::StartupHandover;

#[cfg(test)]
#[path = "../../tests/unit/handover/support.rs"]
mod test_support;
