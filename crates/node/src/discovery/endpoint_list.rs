//! The endpoint list as discovery writes it, and its translation into the dispatcher's numbers.
//!
//! A message is one JSON object: either a complete list (`snapshot`) or the endpoints that have changed since
//! the version before it. [`EndpointListParser`](super::list_parser::EndpointListParser) finds these objects
//! in a stream of bytes.

use std::net::SocketAddr;

use curlewusher_core::{CellId, Endpoint, EndpointUpdate, KindId, WorkerId, WorkerStatus, ZoneId};
use curlewusher_settings::Site;
use serde::Deserialize;

use crate::dispatch::{NamedEndpoint, WallTime};

/// Version of the endpoint list by which the complete list is requested.
pub const NO_LIST_INDEX: u64 = 0;

/// A complete endpoint list, or the endpoints that changed.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointListMessage {
    /// The version of the list that this message leads to.
    pub index: u64,
    /// Whether `endpoints` is the complete list, so that an endpoint that it does not name is no longer listed.
    #[serde(default)]
    pub snapshot: bool,
    /// The complete list, or the changed endpoints of it.
    #[serde(default)]
    pub endpoints: Vec<EndpointRecord>,
}

impl EndpointListMessage {
    /// How the message changes the endpoint list.
    pub fn update(&self) -> EndpointUpdate {
        if self.snapshot { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta }
    }

    /// A message that changes nothing: the list of this version is still valid.
    pub fn unchanged(index: u64) -> Self {
        EndpointListMessage { index, snapshot: false, endpoints: Vec::new() }
    }
}

/// One worker in a message of discovery.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointRecord {
    name: String,
    address: SocketAddr,
    zone: String,
    #[serde(rename = "type")]
    kind: String,
    /// The cell of the worker.
    #[serde(default)]
    group: u32,
    status: ServiceStatus,
    /// Capacity relative to a usual worker of its kind.
    #[serde(default = "EndpointRecord::default_weight")]
    weight: f64,
    /// When the worker started, in milliseconds since the Unix epoch; 0 if that is not known.
    #[serde(default)]
    since_ms: u64,
}

impl EndpointRecord {
    fn default_weight() -> f64 {
        1.0
    }
}

/// The state of a worker as discovery names it.
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

/// Translates the names of zones and kinds into the numbers that the dispatcher uses.
///
/// A name of the settings has its position there. Any other name is appended when it is first seen, so that
/// it keeps one number for the lifetime of the process.
pub struct EndpointResolver {
    zones: Vec<String>,
    kinds: Vec<String>,
}

impl EndpointResolver {
    /// A resolver that knows the names of these settings.
    pub fn new(site: &Site) -> Self {
        EndpointResolver { zones: site.zone_names.clone(), kinds: site.kind_names.clone() }
    }

    /// The endpoints in the dispatcher's terms, in the order of the message.
    pub fn resolve(&mut self, records: &[EndpointRecord]) -> Vec<NamedEndpoint> {
        records.iter().map(|record| self.resolve_record(record)).collect()
    }

    fn resolve_record(&mut self, record: &EndpointRecord) -> NamedEndpoint {
        let endpoint = Endpoint {
            worker: WorkerId::from_name(&record.name),
            zone: ZoneId(index_of_name(&mut self.zones, &record.zone)),
            kind: KindId(index_of_name(&mut self.kinds, &record.kind)),
            cell: CellId(record.group),
            status: record.status.into(),
            started_at: WallTime::from_unix_millis(record.since_ms).moment(),
            size: record.weight,
        };
        NamedEndpoint { name: record.name.as_str().into(), address: record.address, endpoint }
    }
}

/// The position of a name, which is appended if it is not there yet.
fn index_of_name(names: &mut Vec<String>, name: &str) -> u32 {
    let index = names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    });
    index as u32
}
