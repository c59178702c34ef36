//! Messages of discovery, and their translation into the identifiers of the dispatcher.
//!
//! A message is one JSON object: either the complete endpoint list (`snapshot`) or the endpoints that have
//! changed since the previous version. [`EndpointListParser`](super::list_parser::EndpointListParser) finds
//! these objects in a byte stream.

use std::net::SocketAddr;

use curlewusher_core::{CellId, Endpoint, EndpointUpdate, KindId, WorkerId, WorkerStatus, ZoneId};
use curlewusher_settings::Site;
use serde::Deserialize;

use crate::dispatch::{NamedEndpoint, WallTime};

/// Version of the endpoint list with which a poll requests the complete list.
pub const NO_LIST_INDEX: u64 = 0;

/// A complete endpoint list, or a change to it.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointListMessage {
    /// Version of the list once this message has been applied.
    pub index: u64,
    /// Whether `endpoints` is the complete list, so that an endpoint missing from it is no longer listed.
    #[serde(default)]
    pub snapshot: bool,
    /// Complete list, or the changed endpoints.
    #[serde(default)]
    pub endpoints: Vec<EndpointRecord>,
}

impl EndpointListMessage {
    /// Returns how the message changes the endpoint list.
    pub fn update(&self) -> EndpointUpdate {
        if self.snapshot { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta }
    }

    /// Creates a message without changes, which states that the list of version `index` is still valid.
    pub fn unchanged(index: u64) -> Self {
        EndpointListMessage { index, snapshot: false, endpoints: Vec::new() }
    }
}

/// Record of one worker in a message of discovery.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointRecord {
    name: String,
    address: SocketAddr,
    zone: String,
    #[serde(rename = "type")]
    kind: String,
    /// Cell of the worker.
    #[serde(default)]
    group: u32,
    status: ServiceStatus,
    /// Capacity relative to a usual worker of the same kind.
    #[serde(default = "EndpointRecord::default_weight")]
    weight: f64,
    /// Time at which the worker started, in milliseconds since the Unix epoch; 0 if unknown.
    #[serde(default)]
    since_ms: u64,
}

impl EndpointRecord {
    fn default_weight() -> f64 {
        1.0
    }
}

/// State of a worker in a message of discovery.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ServiceStatus {
    InService,
    Terminating,
    Terminated,
}

impl From<ServiceStatus> for WorkerStatus {
    fn from(status: ServiceStatus) -> Self {
        match status {
            ServiceStatus::InService => WorkerStatus::Ready,
            ServiceStatus::Terminating => WorkerStatus::Draining,
            ServiceStatus::Terminated => WorkerStatus::Removed,
        }
    }
}

/// Resolver of the names of zones and kinds into the indexes that the dispatcher uses.
///
/// The index of a name in the settings is its position there. Any other name is appended when it is first
/// received, so that it keeps its index for the lifetime of the process.
pub struct EndpointResolver {
    zones: Vec<String>,
    kinds: Vec<String>,
}

impl EndpointResolver {
    /// Creates a resolver with the zone and kind names of the settings.
    pub fn new(site: &Site) -> Self {
        EndpointResolver { zones: site.zone_names.clone(), kinds: site.kind_names.clone() }
    }

    /// Converts records into endpoints of the dispatcher, in the order of the message.
    pub fn resolve(&mut self, records: &[EndpointRecord]) -> Vec<NamedEndpoint> {
        records.iter().map(|record| self.resolve_record(record)).collect()
    }

    fn resolve_record(&mut self, record: &EndpointRecord) -> NamedEndpoint {
        let endpoint = Endpoint {
            worker: WorkerId::from_name(&record.name),
            zone: ZoneId(find_or_append(&mut self.zones, &record.zone)),
            kind: KindId(find_or_append(&mut self.kinds, &record.kind)),
            cell: CellId(record.group),
            status: record.status.into(),
            started_at: WallTime::from_unix_millis(record.since_ms).to_timestamp(),
            size: record.weight,
        };
        NamedEndpoint { name: record.name.as_str().into(), address: record.address, endpoint }
    }
}

/// Returns the position of a name, and appends the name if it is missing.
fn find_or_append(names: &mut Vec<String>, name: &str) -> u32 {
    let index = names.iter().position(|existing| existing == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    });
    index as u32
}
