//! Identifiers of jobs, workers and their properties.

use std::hash::Hasher;

/// A job, numbered by the embedder. A number is never used for a second job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A worker. Where nodes exchange gossip, every node must use the same number for the same worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u64);

impl WorkerId {
    /// The number that every node derives from a worker's name.
    pub fn from_name(name: &str) -> Self {
        WorkerId(stable_hash(name))
    }
}

/// FNV-1a hash of a name: the same at every node, on every machine and in every version of the program.
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

/// A zone of the network. Traffic between two zones has a price, see
/// [`Settings::cross_zone_price`](crate::Settings::cross_zone_price).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneId(pub u32);

/// A kind of machine. Workers of one kind are expected to run at about the same speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindId(pub u32);

/// A cell: a group of workers that share their record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellId(pub u32);
