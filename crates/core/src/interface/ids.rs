//! Identifiers of jobs, workers and their properties.

use std::hash::Hasher;

/// Number of a job, assigned by the embedder. A number is never reused for another job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// Number of a worker. Nodes that exchange gossip must use the same number for the same worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u64);

impl WorkerId {
    /// Derives the number of a worker from its name. Every node derives the same number.
    pub fn from_name(name: &str) -> Self {
        WorkerId(stable_hash(name))
    }
}

/// Returns the FNV-1a hash of a name: the same at every node, on every machine and in every version of the
/// program.
pub fn stable_hash(name: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// Index of a job class in [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`Settings::tenant_quotas`](crate::Settings::tenant_quotas).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub usize);

/// Number of a zone of the network. Traffic between two zones has a price, see
/// [`Settings::cross_zone_price`](crate::Settings::cross_zone_price).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneId(pub u32);

/// Number of a kind of machine. Workers of one kind are expected to run at about the same speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindId(pub u32);

/// Number of a cell: a group of workers that share their record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellId(pub u32);
