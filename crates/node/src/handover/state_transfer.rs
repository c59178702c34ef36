//! Record of the state that a process transfers to its successor, as JSON in a frame of the handshake or of
//! the takeover.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tracing::warn;

use crate::dispatch::TransferableState;
use crate::lifecycle::Phase;
use crate::telemetry::logging::NODE;

/// Version of the format of the record. Records of other versions are ignored.
const FORMAT_VERSION: u32 = 1;

/// State of a process for its successor. The field names in JSON are those of format version 1.
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
    /// Creates the record of a process in this phase.
    pub(super) fn new(phase: Phase, state: TransferableState) -> StateTransfer {
        StateTransfer { format_version: FORMAT_VERSION, drained: phase.is_drained(), state }
    }

    /// Returns a copy of the record with another state of the dispatch task.
    pub(super) fn with_state(&self, state: TransferableState) -> StateTransfer {
        StateTransfer { format_version: self.format_version, drained: self.drained, state }
    }

    /// Decodes a record. If the record cannot be used, logs the reason and returns `None`; the process then
    /// starts without it.
    pub(super) fn decode(bytes: &Bytes) -> Option<StateTransfer> {
        match serde_json::from_slice::<StateTransfer>(bytes) {
            Ok(record) if record.format_version == FORMAT_VERSION => return Some(record),
            Ok(record) => warn!(
                target: NODE,
                format_version = record.format_version,
                expected = FORMAT_VERSION,
                "predecessor state ignored"
            ),
            // The predecessor had no state to transfer, and has logged the reason.
            Err(_) if bytes.is_empty() => {}
            Err(error) => {
                warn!(target: NODE, %error, "predecessor state unreadable");
            }
        }
        None
    }

    /// Encodes the record. If it cannot be encoded, logs the error and returns an empty buffer.
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
