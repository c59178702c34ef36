//! Registry of workers behind the discovery service: the changes, their indexes, and the times at which they
//! become visible.
//!
//! A change is published a fixed delay after it was recorded. Publication gives each change the next index. A
//! client passes the last index that it has received to request the changes after it.

use std::collections::BTreeMap;

use crate::worker_pool::WorkerIndex;
use crate::{TimeSpan, Timestamp};

/// Published status of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The worker accepts jobs.
    InService,
    /// The worker completes its running jobs and accepts no new ones.
    Terminating,
    /// The worker's process has exited.
    Terminated,
}

/// Registry entry of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Worker that the entry describes.
    pub worker: WorkerIndex,
    /// Status of the worker.
    pub status: EndpointStatus,
    /// Time of the start that the change reports. `None` if the change is not a start, or if the worker
    /// started before the driver's clock did.
    pub started_at: Option<Timestamp>,
}

/// Change that is not visible yet.
#[derive(Debug)]
struct PendingChange {
    visible_at: Timestamp,
    entry: EndpointEntry,
}

/// Visible entry with the index of its last change.
#[derive(Debug)]
struct IndexedEntry {
    index: u64,
    entry: EndpointEntry,
}

/// Changes that one publication makes visible.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publication {
    /// Index of the newest visible change.
    pub index: u64,
    /// Changes from the oldest to the newest, empty if no change was ready for publication.
    pub entries: Vec<EndpointEntry>,
}

/// Registry of workers whose changes become visible after a fixed delay.
#[derive(Debug)]
pub struct EndpointRegistry {
    publication_delay: TimeSpan,
    /// Changes that are not visible yet, from the oldest to the newest.
    pending: Vec<PendingChange>,
    index: u64,
    /// Newest visible entry of each worker.
    published: BTreeMap<WorkerIndex, IndexedEntry>,
}

impl EndpointRegistry {
    /// Creates a registry in which all of `workers` are visible as in service, with index 1.
    pub fn new(workers: impl IntoIterator<Item = WorkerIndex>, publication_delay: TimeSpan) -> Self {
        let in_service = |worker| {
            let entry = EndpointEntry { worker, status: EndpointStatus::InService, started_at: None };
            (worker, IndexedEntry { index: 1, entry })
        };
        let published = workers.into_iter().map(in_service).collect();
        EndpointRegistry { publication_delay, pending: Vec::new(), index: 1, published }
    }

    /// Records a change that happens at `now`. It becomes visible after the publication delay.
    pub fn record_change(&mut self, now: Timestamp, entry: EndpointEntry) {
        self.pending.push(PendingChange { visible_at: now + self.publication_delay, entry });
    }

    /// Returns the time at which the next change becomes visible, or `None` if no change is pending.
    pub fn next_publication(&self) -> Option<Timestamp> {
        self.pending.first().map(|change| change.visible_at)
    }

    /// Publishes the changes that have become visible by `now`.
    pub fn publish(&mut self, now: Timestamp) -> Publication {
        let visible = self.pending.iter().take_while(|change| change.visible_at <= now).count();
        let entries: Vec<_> = self.pending.drain(..visible).map(|change| change.entry).collect();
        for entry in &entries {
            self.index += 1;
            self.published.insert(entry.worker, IndexedEntry { index: self.index, entry: *entry });
        }
        Publication { index: self.index, entries }
    }

    /// Returns the index of the newest visible change.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns all visible entries except those of terminated workers, in the order of the workers.
    pub fn snapshot(&self) -> Vec<EndpointEntry> {
        let entries = self.published.values().map(|published| published.entry);
        entries.filter(|entry| entry.status != EndpointStatus::Terminated).collect()
    }

    /// Returns the entries that changed after `index`, or `None` if the registry has never issued that index.
    /// The client then needs a snapshot.
    pub fn changes_since(&self, index: u64) -> Option<Vec<EndpointEntry>> {
        if !(1..=self.index).contains(&index) {
            return None;
        }
        let changed = self.published.values().filter(|published| published.index > index);
        Some(changed.map(|published| published.entry).collect())
    }
}
