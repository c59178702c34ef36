//! The registry of workers behind the discovery service: what changed, under which index, and from when it is visible.
//!
//! A change is published a fixed delay after it was recorded. Publication gives each change the next index, with
//! which a client requests the changes after the last one that it has received.

use std::collections::BTreeMap;

use crate::worker_pool::WorkerIndex;
use crate::{TimeSpan, Timestamp};

/// The published status of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It accepts jobs.
    InService,
    /// It completes what is running and accepts nothing more.
    Terminating,
    /// Its process has ended.
    Terminated,
}

/// The registry's entry of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// The worker.
    pub worker: WorkerIndex,
    /// Its status.
    pub status: EndpointStatus,
    /// Its last start; none if it started before the driver's clock did.
    pub started_at: Option<Timestamp>,
}

#[derive(Debug)]
struct PendingChange {
    visible_at: Timestamp,
    entry: EndpointEntry,
}

#[derive(Debug)]
struct IndexedEntry {
    index: u64,
    entry: EndpointEntry,
}

/// The changes that one publication makes visible.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publication {
    /// Index of the newest visible change.
    pub index: u64,
    /// The changes, oldest first; empty if there was nothing to publish.
    pub entries: Vec<EndpointEntry>,
}

/// The registry, whose changes become visible after a fixed delay.
#[derive(Debug)]
pub struct EndpointRegistry {
    publication_delay: TimeSpan,
    /// Changes that are not visible yet, oldest first.
    pending: Vec<PendingChange>,
    index: u64,
    /// The newest visible entry of each worker.
    published: BTreeMap<WorkerIndex, IndexedEntry>,
}

impl EndpointRegistry {
    /// A registry in which these workers are visibly in service, under index 1.
    pub fn new(workers: impl IntoIterator<Item = WorkerIndex>, publication_delay: TimeSpan) -> Self {
        let in_service = |worker| {
            let entry = EndpointEntry { worker, status: EndpointStatus::InService, started_at: None };
            (worker, IndexedEntry { index: 1, entry })
        };
        let published = workers.into_iter().map(in_service).collect();
        EndpointRegistry { publication_delay, pending: Vec::new(), index: 1, published }
    }

    /// Records a change that happens at `now`; it becomes visible after the delay.
    pub fn record_change(&mut self, now: Timestamp, entry: EndpointEntry) {
        self.pending.push(PendingChange { visible_at: now + self.publication_delay, entry });
    }

    /// When the next change becomes visible.
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

    /// Index of the newest visible change.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// All visible entries except those of terminated workers, in the order of the workers.
    pub fn snapshot(&self) -> Vec<EndpointEntry> {
        let entries = self.published.values().map(|published| published.entry);
        entries.filter(|entry| entry.status != EndpointStatus::Terminated).collect()
    }

    /// Entries that changed after `index`; none if that index was never issued, so that only a snapshot will do.
    pub fn changes_since(&self, index: u64) -> Option<Vec<EndpointEntry>> {
        if !(1..=self.index).contains(&index) {
            return None;
        }
        let changed = self.published.values().filter(|published| published.index > index);
        Some(changed.map(|published| published.entry).collect())
    }
}
