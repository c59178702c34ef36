//! Availability of workers for new work, according to the endpoint list and the maintenance commands of
//! operators.

use super::fleet::{Fleet, MAX_WORKER_SLOTS};
use super::subset::Candidate;
use super::worker::Worker;
use crate::{Endpoint, EndpointUpdate, Timestamp, WorkerId, WorkerStatus};

impl Fleet {
    /// Applies a complete endpoint list or changes to it. A snapshot is complete: workers that it does not
    /// name are removed.
    pub fn apply_endpoints(&mut self, now: Timestamp, endpoints: &[Endpoint], update: EndpointUpdate) {
        if update == EndpointUpdate::Snapshot {
            self.workers.iter_mut().for_each(|worker| worker.status = WorkerStatus::Removed);
        }
        for endpoint in endpoints {
            match self.workers.binary_search_by_key(&endpoint.worker, |worker| worker.id) {
                Ok(index) => self.update_worker(now, index, endpoint),
                Err(index) => self.insert_worker(index, endpoint),
            }
        }
        self.workers.retain(|worker| worker.status != WorkerStatus::Removed || !worker.in_flight.is_empty());
        for worker in self.workers.iter_mut().filter(|worker| worker.status != WorkerStatus::Ready) {
            self.pending_revocations.extend(worker.revoke_unaccepted_attempts());
        }
        self.rebuild_subset();
    }

    /// Updates a worker from its new entry in the endpoint list.
    fn update_worker(&mut self, now: Timestamp, index: usize, endpoint: &Endpoint) {
        let (kind_index, listed_slots) =
            (self.find_or_insert_kind(endpoint.kind), self.listed_slots(endpoint));
        let started_at = endpoint.started_at.min(now);
        let worker = &mut self.workers[index];
        (worker.zone, worker.kind, worker.cell) = (endpoint.zone, endpoint.kind, endpoint.cell);
        worker.status = endpoint.status;
        if started_at > worker.started_at {
            // Attempts that have not been accepted were meant for the process before the restart.
            self.pending_revocations.extend(worker.revoke_unaccepted_attempts());
        }
        worker.started_at = worker.started_at.max(started_at);
        (worker.kind_index, worker.listed_slots) = (kind_index, listed_slots);
    }

    /// Inserts a worker in the order of ids.
    fn insert_worker(&mut self, index: usize, endpoint: &Endpoint) {
        let mut worker = Worker::new(endpoint, self.find_or_insert_kind(endpoint.kind));
        worker.listed_slots = self.listed_slots(endpoint);
        if let Some(reenabled_at) = self.reenabled_unlisted.remove(&endpoint.worker) {
            worker.reenable(reenabled_at, reenabled_at);
        }
        self.workers.insert(index, worker);
    }

    /// Returns the listed size of a worker, in slots; 1 if the endpoint list has no sizes.
    fn listed_slots(&self, endpoint: &Endpoint) -> f64 {
        let is_listed = self.sizes_listed && endpoint.size.is_finite();
        if is_listed { endpoint.size.round().clamp(1.0, MAX_WORKER_SLOTS as f64) } else { 1.0 }
    }

    /// Disables a worker. Nothing is sent to it until it is enabled again.
    pub fn disable_worker(&mut self, now: Timestamp, id: WorkerId) {
        self.reenabled_unlisted.remove(&id);
        self.disabled.entry(id).or_insert(now);
        if let Some(index) = self.find(id) {
            self.pending_revocations.extend(self.workers[index].revoke_unaccepted_attempts());
        }
        self.rebuild_subset();
    }

    /// Enables a worker again and resets its recorded failures.
    pub fn reenable_worker(&mut self, now: Timestamp, id: WorkerId) {
        let Some(disabled_at) = self.disabled.remove(&id) else { return };
        match self.find(id) {
            Some(index) => self.workers[index].reenable(disabled_at, now),
            // Bounded, since only ids that were disabled are inserted.
            None => _ = self.reenabled_unlisted.insert(id, now),
        }
        self.rebuild_subset();
    }

    /// Returns whether a worker accepts new work: it is listed as ready, and operators have not disabled it.
    pub fn is_available(&self, worker: &Worker) -> bool {
        worker.status == WorkerStatus::Ready && !self.disabled.contains_key(&worker.id)
    }

    /// Reassigns the available workers to the subsets.
    fn rebuild_subset(&mut self) {
        let indices = (0..self.workers.len()).filter(|index| self.is_available(&self.workers[*index]));
        let candidates: Vec<Candidate> =
            indices.map(|index| self.workers[index].to_candidate(index)).collect();
        self.subset.rebuild(candidates);
        self.workers.iter_mut().for_each(|worker| worker.in_subset = false);
        self.subset.members().iter().for_each(|index| self.workers[*index].in_subset = true);
    }
}
