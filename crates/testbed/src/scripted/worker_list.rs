//! Workers that discovery has listed, and the selection of one for an attempt.

use std::collections::HashSet;
use std::net::SocketAddr;

use parking_lot::Mutex;
use serde::Deserialize;

use super::flaw::Flaw;
use super::shared_folder::SharedFolder;

/// Entry of the endpoint list.
#[derive(Clone, Deserialize)]
pub(super) struct Endpoint {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    status: String,
    /// Start time of the worker, in milliseconds of Unix time.
    since_ms: u64,
}

/// Message of an endpoint watch.
#[derive(Deserialize)]
pub(super) struct WatchMessage {
    /// Whether the message replaces the whole list.
    snapshot: bool,
    endpoints: Vec<Endpoint>,
}

/// Workers in service.
pub(super) struct WorkerList {
    flaw: Flaw,
    workers: Mutex<Vec<Endpoint>>,
    /// Names of all workers that have ever been listed.
    ever_listed: Mutex<HashSet<String>>,
    /// Number of selections by round-robin so far.
    round_robin_counter: Mutex<usize>,
}

impl WorkerList {
    /// Creates an empty list.
    pub(super) fn new(flaw: Flaw) -> Self {
        WorkerList {
            flaw,
            workers: Mutex::default(),
            ever_listed: Mutex::default(),
            round_robin_counter: Mutex::default(),
        }
    }

    /// Returns whether no worker is in service.
    pub(super) fn is_empty(&self) -> bool {
        self.workers.lock().is_empty()
    }

    /// Returns whether a worker has ever been listed.
    pub(super) fn was_listed(&self, worker: &str) -> bool {
        self.ever_listed.lock().contains(worker)
    }

    /// Applies a message of the endpoint watch.
    pub(super) fn apply(&self, message: WatchMessage) {
        self.ever_listed.lock().extend(message.endpoints.iter().map(|endpoint| endpoint.name.clone()));
        let mut workers = self.workers.lock();
        if message.snapshot {
            workers.clear();
        }
        for endpoint in message.endpoints {
            let ignores_drain = self.flaw == Flaw::IgnoresWorkerDrains && endpoint.status == "terminating";
            if ignores_drain && workers.iter().any(|worker| worker.name == endpoint.name) {
                continue;
            }
            workers.retain(|worker| worker.name != endpoint.name);
            if endpoint.status == "in_service" {
                workers.push(endpoint);
            }
        }
    }

    /// Selects the next worker by round-robin that is neither excluded nor disabled. With the flaw
    /// [`Flaw::OverloadsNewWorkers`], selects the worker that started last, even if it is excluded or
    /// disabled.
    pub(super) fn select_next(&self, excluded: &[String], shared: &SharedFolder) -> Option<Endpoint> {
        let workers = self.workers.lock();
        if self.flaw == Flaw::OverloadsNewWorkers {
            return workers.iter().max_by_key(|worker| worker.since_ms).cloned();
        }
        let mut round_robin_counter = self.round_robin_counter.lock();
        *round_robin_counter += 1;
        let count = workers.len();
        (0..count)
            .map(|offset| &workers[(*round_robin_counter + offset) % count])
            .find(|worker| !excluded.contains(&worker.name) && !shared.is_disabled(&worker.name))
            .cloned()
    }
}
