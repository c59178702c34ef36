//! The record of state that a process transfers to its successor, as JSON in a frame of the handshake or of the
//! takeover.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tracing::warn;

use crate::dispatch::TransferableState;
use crate::lifecycle::Phase;
use crate::telemetry::logging::NODE;

/// Version of the record's format; a record of another version is ignored.
const FORMAT_VERSION: u32 = 1;

/// A process's state for its successor. The names of its fields in JSON are those of format version 1.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct StateTransfer {
    #[serde(rename = "form")]
    format_version: u32,
    /// Whether an operator has drained the node.
    pub(super) drained: bool,
    /// State of the dispatch task.
    #[serde(rename = "estate")]
    pub(super) state: TransferableState,
}

impl StateTransfer {
    /// The state of a process in that phase.
    pub(super) fn new(phase: Phase, state: TransferableState) -> StateTransfer {
        StateTransfer { format_version: FORMAT_VERSION, drained: phase.is_drained(), state }
    }

    /// The same drain with another state of the dispatch task.
    pub(super) fn with_state(&self, state: TransferableState) -> StateTransfer {
        StateTransfer { format_version: self.format_version, drained: self.drained, state }
    }

    /// Reads a record. None, with a log event that states the reason, where the process starts without it.
    pub(super) fn decode(bytes: &Bytes) -> Option<StateTransfer> {
        match serde_json::from_slice::<StateTransfer>(bytes) {
            Ok(record) if record.format_version == FORMAT_VERSION => return Some(record),
            Ok(record) => warn!(
                target: NODE,
                format_version = record.format_version,
                expected = FORMAT_VERSION,
                "predecessor state ignored"
            ),
            // The predecessor had nothing to transfer, and has logged why.
            Err(_) if bytes.is_empty() => {}
            Err(error) => {
                warn!(target: NODE, %error, "predecessor state unreadable");
            }
        }
        None
    }

    /// Writes the record. Empty, with a log line, where it cannot be written.
    pub(super) fn encode(&self) -> Bytes {
        match serde_json::to_vec(self) {
            Ok(bytes) => bytes.into(),
            Err(error) => {
                warn!(target: NODE, %error, "state snapshot not encoded");
                Bytes::new()
            }
        }
    }
}
