//! Wire format of gossip: reports of a node to the other nodes about its own work in flight at workers.
//!
//! A message is a sequence of entries of [`ENTRY_BYTES`] without header or padding:
//!
//! | offset | bytes | content |
//! | --- | --- | --- |
//! | 0 | 2 | [`hash_worker_id`], little-endian |
//! | 2 | 1 | remaining work: 64 x the square root of its seconds on a core of speed 1, rounded up, at most 255 |
//! | 3 | 1 | slots in use, rounded down, at most 255 |
//!
//! An entry replaces the previous entry of the same node for that worker. 0 slots mean that the node has
//! nothing in flight there. There is no version field: all nodes of a deployment use this format.

use crate::WorkerId;

/// Size of an entry in bytes.
pub(crate) const ENTRY_BYTES: usize = 4;
/// Maximum size of a message in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 256;
/// Maximum number of entries in a message.
pub(crate) const MAX_ENTRIES: usize = MAX_MESSAGE_BYTES / ENTRY_BYTES;

/// Number of steps of the encoded work per square root of a second.
const WORK_SCALE: f64 = 64.0;

/// Decoded entry: the work in flight of the reporting node at one worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct GossipEntry {
    /// Hash of the worker, see [`hash_worker_id`].
    pub(crate) worker_hash: u16,
    /// Remaining work, in seconds on a core of speed 1.
    pub(crate) work: f64,
    /// Number of slots in use.
    pub(crate) slots: f64,
}

/// Folds the number of a worker to 16 bits. Collisions are unlikely among the workers of one subset; a
/// collision makes the load estimate of one worker wrong.
pub(crate) fn hash_worker_id(worker: WorkerId) -> u16 {
    let number = worker.0;
    (number ^ number >> 16 ^ number >> 32 ^ number >> 48) as u16
}

/// Appends an entry to a message. Values above the maximum are encoded as the maximum.
pub(crate) fn append_entry(message: &mut Vec<u8>, worker: WorkerId, work: f64, slots: f64) {
    message.extend(hash_worker_id(worker).to_le_bytes());
    message.extend([(WORK_SCALE * work.sqrt()).ceil() as u8, slots as u8]);
}

/// Decodes the entries of a message. An incomplete entry at the end is ignored.
pub(crate) fn read_entries(message: &[u8]) -> impl Iterator<Item = GossipEntry> {
    message.chunks_exact(ENTRY_BYTES).map(|entry| GossipEntry {
        worker_hash: u16::from_le_bytes([entry[0], entry[1]]),
        work: (f64::from(entry[2]) / WORK_SCALE).powi(2),
        slots: f64::from(entry[3]),
    })
}

#[cfg(test)]
#[path = "../tests/unit/gossip.rs"]
mod tests;
