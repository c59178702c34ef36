//! Catalogs: numbered endpoint lists, which the simulator sends once for all instances.

use std::collections::BTreeMap;

use curlewusher_core::{CellId, Endpoint, KindId, Timestamp, WorkerId, WorkerStatus, ZoneId};

use crate::error::{FieldError, LineError};
use crate::fields::{Fields, malformed};

/// Endpoint list.
#[derive(Default)]
pub struct Catalog {
    /// Entries of the list.
    pub endpoints: Vec<Endpoint>,
    /// Names of the workers on the wire, in the order of the entries.
    pub worker_names: Vec<String>,
}

/// Catalog to which the next `executor` lines belong.
struct OpenCatalog {
    /// Number of the catalog.
    table: u64,
    /// Number of endpoints that have not been received yet.
    remaining: usize,
}

/// All catalogs by number, and the catalog that is being received.
#[derive(Default)]
pub struct Catalogs {
    by_table: BTreeMap<u64, Catalog>,
    open: Option<OpenCatalog>,
}

impl Catalogs {
    /// Handles `catalog`: begins a catalog, which replaces an earlier one with the same number.
    pub fn open(&mut self, fields: Fields) -> Result<(), FieldError> {
        let table = fields.required("table")?;
        self.open = Some(OpenCatalog { table, remaining: fields.required("nodesList")? });
        self.by_table.insert(table, Catalog::default());
        Ok(())
    }

    /// Handles `executor`: appends an endpoint to the open catalog.
    pub fn append(&mut self, fields: Fields) -> Result<(), LineError> {
        let name = fields.text("executor")?;
        let endpoint = parse_endpoint(name, fields)?;
        let open = self.open.as_mut().filter(|open| open.remaining > 0).ok_or(LineError::NoOpenCatalog)?;
        open.remaining -= 1;
        let catalog = self.by_table.entry(open.table).or_default();
        catalog.endpoints.push(endpoint);
        catalog.worker_names.push(name.to_owned());
        Ok(())
    }

    /// Returns the catalog whose number is in the field `table`.
    pub fn find(&self, fields: Fields) -> Result<&Catalog, FieldError> {
        let table = fields.required("table")?;
        self.by_table.get(&table).ok_or(FieldError::UnknownCatalog { table })
    }
}

fn parse_endpoint(worker_name: &str, fields: Fields) -> Result<Endpoint, FieldError> {
    let status = parse_status(fields.text("lifecycle")?)?;
    Ok(Endpoint {
        worker: WorkerId::from_name(worker_name),
        zone: ZoneId(fields.value_or("area", 0)?),
        kind: KindId(fields.value_or("classOfHost", 0)?),
        cell: CellId(fields.value_or("unitGroup", 0)?),
        status,
        started_at: Timestamp::from_micros(fields.value_or("cameUpUs", 0)?),
        size: fields.value_or("scale", 1.0)?,
    })
}

fn parse_status(value: &str) -> Result<WorkerStatus, FieldError> {
    match value {
        "live" => Ok(WorkerStatus::Ready),
        "quiescing" => Ok(WorkerStatus::Draining),
        "dead" => Ok(WorkerStatus::Removed),
        other => Err(malformed("lifecycle", other)),
    }
}
