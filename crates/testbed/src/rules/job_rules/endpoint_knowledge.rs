//! What discovery has sent to each node about each worker, and what it has published to all of them.

use std::collections::HashMap;

use curlewusher_model::{TimeSpan, Timestamp};

use crate::event_log::Event;

/// Starts that differ by less than this are the same: the registry gives them in milliseconds.
const START_PRECISION: TimeSpan = TimeSpan::from_millis(2);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct WorkerAtNode {
    node: usize,
    worker: usize,
}

/// What a node was sent about a worker last.
#[derive(Debug)]
struct KnownEndpoint {
    /// Since when the node knows that the worker is draining or has ended.
    unavailable_since: Option<Timestamp>,
    started_at: Timestamp,
}

/// Since when all nodes could know that a worker is draining or has ended.
#[derive(Clone, Copy, Debug)]
enum UnavailabilityPublished {
    /// Discovery had the change at this moment and was up.
    At(Timestamp),
    /// Discovery has been down since before the change.
    Pending,
}

/// What the nodes know, or count as knowing, of the workers.
#[derive(Debug, Default)]
pub(super) struct EndpointKnowledge {
    known: HashMap<WorkerAtNode, KnownEndpoint>,
    /// By worker that is draining or has ended.
    published: HashMap<usize, UnavailabilityPublished>,
    is_discovery_down: bool,
}

impl EndpointKnowledge {
    /// Records an entry that discovery sent or published, or a change of discovery itself.
    pub(super) fn observe(&mut self, at: Timestamp, event: &Event) {
        match event {
            Event::EndpointSent { node, worker, in_service, started_at } => {
                let target = WorkerAtNode { node: *node, worker: *worker };
                let since = self.unavailable_since(*node, *worker).unwrap_or(at);
                let unavailable_since = (!in_service).then_some(since);
                self.known.insert(target, KnownEndpoint { unavailable_since, started_at: *started_at });
            }
            Event::EndpointPublished { worker, in_service: true } => {
                self.published.remove(worker);
            }
            Event::EndpointPublished { worker, in_service: false } => {
                let published = if self.is_discovery_down {
                    UnavailabilityPublished::Pending
                } else {
                    UnavailabilityPublished::At(at)
                };
                self.published.entry(*worker).or_insert(published);
            }
            Event::DiscoveryChanged { is_down } => {
                self.is_discovery_down = *is_down;
                if !is_down {
                    self.publish_pending(at);
                }
            }
            _ => {}
        }
    }

    fn publish_pending(&mut self, at: Timestamp) {
        for published in self.published.values_mut() {
            if matches!(published, UnavailabilityPublished::Pending) {
                *published = UnavailabilityPublished::At(at);
            }
        }
    }

    /// Forgets what a node was sent: its next process has been sent nothing.
    pub(super) fn forget_node(&mut self, node: usize) {
        self.known.retain(|target, _| target.node != node);
    }

    /// Since when a node knows that a worker is draining or has ended.
    pub(super) fn unavailable_since(&self, node: usize, worker: usize) -> Option<Timestamp> {
        self.known.get(&WorkerAtNode { node, worker })?.unavailable_since
    }

    /// When discovery published to all nodes that a worker is draining or has ended.
    pub(super) fn unavailability_published_at(&self, worker: usize) -> Option<Timestamp> {
        match self.published.get(&worker)? {
            UnavailabilityPublished::At(at) => Some(*at),
            UnavailabilityPublished::Pending => None,
        }
    }

    /// Whether a node was sent the entry of this start of a worker.
    pub(super) fn knows_start(&self, node: usize, worker: usize, start: Timestamp) -> bool {
        let known = self.known.get(&WorkerAtNode { node, worker });
        known.is_some_and(|known| known.started_at.abs_diff(start) < START_PRECISION)
    }
}
