//! What decides which workers take new work: the endpoint list, and what operators have disabled.

use super::fleet::{Fleet, MAX_WORKER_SLOTS};
use super::subset::Candidate;
use super::worker::Worker;
use crate::{Endpoint, EndpointUpdate, Timestamp, WorkerId, WorkerStatus};

impl Fleet {
    /// Takes over an endpoint list, or changes to it. A snapshot is complete: workers that it does not name are
    /// gone.
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

    /// Takes over the new entry of a known worker.
    fn update_worker(&mut self, now: Timestamp, index: usize, endpoint: &Endpoint) {
        let (kind_index, listed_slots) =
            (self.find_or_insert_kind(endpoint.kind), self.listed_slots(endpoint));
        let started_at = endpoint.started_at.min(now);
        let worker = &mut self.workers[index];
        (worker.zone, worker.kind, worker.cell) = (endpoint.zone, endpoint.kind, endpoint.cell);
        worker.status = endpoint.status;
        if started_at > worker.started_at {
            // What has not been accepted was meant for the process before the restart.
            self.pending_revocations.extend(worker.revoke_unaccepted_attempts());
        }
        worker.started_at = worker.started_at.max(started_at);
        (worker.kind_index, worker.listed_slots) = (kind_index, listed_slots);
    }

    /// Adds a worker at its place in the order of ids.
    fn insert_worker(&mut self, index: usize, endpoint: &Endpoint) {
        let mut worker = Worker::new(endpoint, self.find_or_insert_kind(endpoint.kind));
        worker.listed_slots = self.listed_slots(endpoint);
        if let Some(reenabled_at) = self.reenabled_unlisted.remove(&endpoint.worker) {
            worker.reenable(reenabled_at, reenabled_at);
        }
        self.workers.insert(index, worker);
    }

    /// The size of a worker in the list, in slots; 1 where the list has no sizes.
    fn listed_slots(&self, endpoint: &Endpoint) -> f64 {
        let is_listed = self.sizes_listed && endpoint.size.is_finite();
        if is_listed { endpoint.size.round().clamp(1.0, MAX_WORKER_SLOTS as f64) } else { 1.0 }
    }

    /// Disables a worker: nothing is sent to it until it is enabled again.
    pub fn disable_worker(&mut self, now: Timestamp, id: WorkerId) {
        self.reenabled_unlisted.remove(&id);
        self.disabled.entry(id).or_insert(now);
        if let Some(index) = self.find(id) {
            self.pending_revocations.extend(self.workers[index].revoke_unaccepted_attempts());
        }
        self.rebuild_subset();
    }

    /// Enables a worker again, with its failures forgotten.
    pub fn reenable_worker(&mut self, now: Timestamp, id: WorkerId) {
        let Some(disabled_at) = self.disabled.remove(&id) else { return };
        match self.find(id) {
            Some(index) => self.workers[index].reenable(disabled_at, now),
            // One for each id that was disabled: those are bounded.
            None => _ = self.reenabled_unlisted.insert(id, now),
        }
        self.rebuild_subset();
    }

    /// Whether a worker takes new work: ready by the list, and not disabled by operators.
    pub fn is_available(&self, worker: &Worker) -> bool {
        worker.status == WorkerStatus::Ready && !self.disabled.contains_key(&worker.id)
    }

    /// Assigns the workers that take new work to the subsets anew.
    fn rebuild_subset(&mut self) {
        let indices = (0..self.workers.len()).filter(|index| self.is_available(&self.workers[*index]));
        let candidates: Vec<Candidate> = indices.map(|index| self.workers[index].candidate(index)).collect();
        self.subset.rebuild(candidates);
        self.workers.iter_mut().for_each(|worker| worker.in_subset = false);
        self.subset.members().iter().for_each(|index| self.workers[*index].in_subset = true);
    }
}
