//! Endpoint entries that discovery has sent to each node, and changes that it has published to all nodes.

use std::collections::HashMap;

use curlewusher_model::{TimeSpan, Timestamp};

use crate::event_log::Event;

/// Difference below which two start times of a worker count as equal. Discovery sends them in milliseconds.
const START_PRECISION: TimeSpan = TimeSpan::from_millis(2);

/// Pair of a node and a worker: each node is sent its own entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct WorkerAtNode {
    node: usize,
    worker: usize,
}

/// Last endpoint entry of a worker that a node was sent.
#[derive(Debug)]
struct SentEndpoint {
    /// Time of the first entry sent to the node that lists the worker as draining or terminated. `None` if
    /// the last entry lists the worker as in service.
    unavailable_since: Option<Timestamp>,
    /// Start of the worker according to the entry.
    started_at: Timestamp,
}

/// Publication of the change by which a worker became unavailable: it is draining or has terminated.
#[derive(Clone, Copy, Debug)]
enum UnavailabilityPublication {
    /// Discovery had the change at this time and was up.
    At(Timestamp),
    /// Discovery has been down since before the change.
    Pending,
}

/// Changes of workers that the nodes have received or count as having received.
#[derive(Debug, Default)]
pub(super) struct EndpointNotifications {
    /// Last entry of each worker that each node was sent.
    sent: HashMap<WorkerAtNode, SentEndpoint>,
    /// Publication for each worker that is draining or has terminated.
    published: HashMap<usize, UnavailabilityPublication>,
    is_discovery_down: bool,
}

impl EndpointNotifications {
    /// Records an entry that discovery sent or published, or an outage of discovery; ignores other events.
    pub(super) fn observe(&mut self, at: Timestamp, event: &Event) {
        match event {
            Event::EndpointSent { node, worker, in_service, started_at } => {
                let target = WorkerAtNode { node: *node, worker: *worker };
                let since = self.unavailable_since(*node, *worker).unwrap_or(at);
                let unavailable_since = (!in_service).then_some(since);
                self.sent.insert(target, SentEndpoint { unavailable_since, started_at: *started_at });
            }
            Event::EndpointPublished { worker, in_service: true } => {
                self.published.remove(worker);
            }
            Event::EndpointPublished { worker, in_service: false } => {
                let published = if self.is_discovery_down {
                    UnavailabilityPublication::Pending
                } else {
                    UnavailabilityPublication::At(at)
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

    /// Marks pending changes as published now that discovery is up again.
    fn publish_pending(&mut self, at: Timestamp) {
        for published in self.published.values_mut() {
            if matches!(published, UnavailabilityPublication::Pending) {
                *published = UnavailabilityPublication::At(at);
            }
        }
    }

    /// Removes the entries that a node was sent: its next process starts without any.
    pub(super) fn remove_node(&mut self, node: usize) {
        self.sent.retain(|target, _| target.node != node);
    }

    /// Returns the time of the first entry sent to a node that lists a worker as draining or terminated, or
    /// `None` if the last entry lists the worker as in service or no entry was sent.
    pub(super) fn unavailable_since(&self, node: usize, worker: usize) -> Option<Timestamp> {
        self.sent.get(&WorkerAtNode { node, worker })?.unavailable_since
    }

    /// Returns the time at which discovery published to all nodes that a worker is draining or has
    /// terminated, or `None` if it has not published this or has published a later start.
    pub(super) fn unavailability_published_at(&self, worker: usize) -> Option<Timestamp> {
        match self.published.get(&worker)? {
            UnavailabilityPublication::At(at) => Some(*at),
            UnavailabilityPublication::Pending => None,
        }
    }

    /// Returns whether the last entry of a worker that a node was sent is that of this start of the worker.
    pub(super) fn was_notified_of_start(&self, node: usize, worker: usize, start: Timestamp) -> bool {
        let sent = self.sent.get(&WorkerAtNode { node, worker });
        sent.is_some_and(|sent| sent.started_at.abs_diff(start) < START_PRECISION)
    }
}
