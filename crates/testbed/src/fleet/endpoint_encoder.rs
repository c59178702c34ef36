//! The endpoint list in the form of discovery's protocol.

use std::net::SocketAddr;

use bytes::Bytes;
use curlewusher_model::endpoint_registry::{EndpointEntry, EndpointStatus};
use curlewusher_model::worker_pool::WorkerIndex;
use serde_json::{Value, json};

/// The name of a worker on the endpoint list.
pub fn worker_name(worker: WorkerIndex) -> String {
    format!("w-{worker:05}")
}

/// What the endpoint list says of a worker beside its status.
pub(super) struct EndpointAttributes {
    pub(super) address: SocketAddr,
    /// The name of its kind.
    pub(super) kind: String,
    pub(super) bay: u32,
}

/// Writes entries of the endpoint list.
pub(super) struct EndpointEncoder {
    /// By worker.
    pub(super) attributes: Vec<EndpointAttributes>,
    /// The beginning of the event log in milliseconds of Unix time.
    pub(super) log_start_unix_ms: u64,
}

impl EndpointEncoder {
    fn endpoint(&self, entry: &EndpointEntry) -> Value {
        let EndpointAttributes { address, kind, bay } = &self.attributes[entry.worker];
        json!({
            "name": worker_name(entry.worker), "address": address, "zone": "lab", "type": kind, "group": bay,
            "status": status_name(entry.status), "weight": 1.0,
            "since_ms": entry.started_at.map_or(0, |started_at| self.log_start_unix_ms + started_at.as_micros() / 1000),
        })
    }

    /// The complete endpoint list.
    pub(super) fn snapshot(&self, index: u64, entries: &[EndpointEntry]) -> Value {
        self.message(index, true, entries)
    }

    /// A line of a watch with the complete list.
    pub(super) fn snapshot_line(&self, index: u64, entries: &[EndpointEntry]) -> Bytes {
        line(&self.message(index, true, entries))
    }

    /// A line of a watch with changes.
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
