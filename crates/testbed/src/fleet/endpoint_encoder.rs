//! Encoding of the endpoint list in the form of discovery's protocol.

use std::net::SocketAddr;

use bytes::Bytes;
use curlewusher_model::endpoint_registry::{EndpointEntry, EndpointStatus};
use curlewusher_model::worker_pool::WorkerIndex;
use serde_json::{Value, json};

/// Returns the name of a worker on the endpoint list.
pub fn worker_name(worker: WorkerIndex) -> String {
    format!("w-{worker:05}")
}

/// Fixed attributes of a worker on the endpoint list.
pub(super) struct EndpointAttributes {
    pub(super) address: SocketAddr,
    /// Name of the worker's kind.
    pub(super) kind: String,
    pub(super) cell: u32,
}

/// Encoder of endpoint lists.
pub(super) struct EndpointEncoder {
    /// Attributes of the workers, by worker.
    pub(super) attributes: Vec<EndpointAttributes>,
    /// Start of the event log, in milliseconds of Unix time.
    pub(super) log_start_unix_ms: u64,
}

impl EndpointEncoder {
    fn endpoint(&self, entry: &EndpointEntry) -> Value {
        let EndpointAttributes { address, kind, cell } = &self.attributes[entry.worker];
        json!({
            "name": worker_name(entry.worker), "address": address, "zone": "lab", "type": kind, "group": cell,
            "status": status_name(entry.status), "weight": 1.0,
            "since_ms": entry.started_at.map_or(0, |started_at| self.log_start_unix_ms + started_at.as_micros() / 1000),
        })
    }

    /// Encodes the complete endpoint list.
    pub(super) fn snapshot(&self, index: u64, entries: &[EndpointEntry]) -> Value {
        self.message(index, true, entries)
    }

    /// Encodes the complete list as a line of a watch.
    pub(super) fn snapshot_line(&self, index: u64, entries: &[EndpointEntry]) -> Bytes {
        line(&self.message(index, true, entries))
    }

    /// Encodes changes as a line of a watch.
    pub(super) fn changes_line(&self, index: u64, entries: &[EndpointEntry]) -> Bytes {
        line(&self.message(index, false, entries))
    }

    fn message(&self, index: u64, is_snapshot: bool, entries: &[EndpointEntry]) -> Value {
        let endpoints: Vec<_> = entries.iter().map(|entry| self.endpoint(entry)).collect();
        json!({"index": index, "snapshot": is_snapshot, "endpoints": endpoints})
    }
}

fn line(message: &Value) -> Bytes {
    format!("{message}\n").into()
}

fn status_name(status: EndpointStatus) -> &'static str {
    match status {
        EndpointStatus::InService => "in_service",
        EndpointStatus::Terminating => "terminating",
        EndpointStatus::Terminated => "terminated",
    }
}
