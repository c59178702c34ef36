//! The state of discovery: the registry of endpoints, the open watches, and the list that each node was sent.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use curlewusher_model::Timestamp;
use curlewusher_model::endpoint_registry::{EndpointEntry, EndpointRegistry, EndpointStatus, Publication};
use curlewusher_model::worker_pool::WorkerIndex;
use parking_lot::Mutex;
use tokio::sync::mpsc::UnboundedSender;

use super::endpoint_encoder::EndpointEncoder;
use super::links::FleetLinks;
use super::message::{DiscoveryServerId, EndpointPoll};
use crate::event_log::{Event, EventLog};

/// An endpoint watch without changes gets a heartbeat at this interval.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
const HEARTBEAT: &[u8] = b"\n";

/// The endpoint list that each node was sent last, in the form of discovery's protocol.
pub(super) type SentLists = Arc<Mutex<Vec<Option<serde_json::Value>>>>;

/// The state of discovery.
pub(super) struct DiscoveryState {
    registry: EndpointRegistry,
    watches: Vec<EndpointWatch>,
    is_down: bool,
    sent: SentEndpoints,
}

struct EndpointWatch {
    server: DiscoveryServerId,
    lines: UnboundedSender<Bytes>,
}

impl DiscoveryState {
    /// Discovery that is up, without watches.
    pub(super) fn new(registry: EndpointRegistry, sent: SentEndpoints) -> Self {
        DiscoveryState { registry, watches: Vec::new(), is_down: false, sent }
    }

    /// Records a change, which becomes visible after the registry's delay.
    pub(super) fn record_change(&mut self, now: Timestamp, worker: WorkerIndex, status: EndpointStatus) {
        self.registry.record_change(now, EndpointEntry { worker, status, started_at: None });
    }

    /// Records that a worker has started.
    pub(super) fn record_start(&mut self, now: Timestamp, worker: WorkerIndex) {
        let status = EndpointStatus::InService;
        self.registry.record_change(now, EndpointEntry { worker, status, started_at: Some(now) });
    }

    /// When the next change becomes visible.
    pub(super) fn next_publication(&self) -> Option<Timestamp> {
        self.registry.next_publication()
    }

    /// Opens a watch, unless discovery is down.
    pub(super) fn open_watch(&mut self, poll: EndpointPoll) {
        if self.is_down {
            return;
        }
        let EndpointPoll { server, since, lines } = poll;
        let index = self.registry.index();
        let (line, entries) = if let Some(changes) = self.registry.changes_since(since) {
            (self.sent.encoder.changes_line(index, &changes), changes)
        } else {
            let snapshot = self.registry.snapshot();
            (self.sent.encoder.snapshot_line(index, &snapshot), snapshot)
        };
        if lines.send(line).is_ok() {
            self.sent.record(server.node, &self.registry, &entries);
            self.watches.push(EndpointWatch { server, lines });
        }
    }

    /// Closes the watches of a server that was replaced.
    pub(super) fn close_watches(&mut self, server: DiscoveryServerId) {
        self.watches.retain(|watch| watch.server != server);
    }

    /// Sends a heartbeat on all watches, and forgets those that their nodes have closed.
    pub(super) fn send_heartbeats(&mut self) {
        self.watches.retain(|watch| watch.lines.send(Bytes::from_static(HEARTBEAT)).is_ok());
    }

    /// Stops discovery and closes all watches.
    pub(super) fn stop(&mut self) {
        self.set_down(true);
        self.watches.clear();
    }

    /// Starts discovery again.
    pub(super) fn start(&mut self) {
        self.set_down(false);
    }

    fn set_down(&mut self, is_down: bool) {
        self.is_down = is_down;
        self.sent.log.record(Event::DiscoveryChanged { is_down });
    }

    /// Sends the changes that have become visible on all watches.
    pub(super) fn publish(&mut self) {
        let Publication { index, entries } = self.registry.publish(self.sent.log.now());
        if entries.is_empty() {
            return;
        }
        for entry in &entries {
            let in_service = entry.status == EndpointStatus::InService;
            self.sent.log.record(Event::EndpointPublished { worker: entry.worker, in_service });
        }
        let line = self.sent.encoder.changes_line(index, &entries);
        self.watches.retain(|watch| {
            let is_open = watch.lines.send(line.clone()).is_ok();
            if is_open {
                self.sent.record(watch.server.node, &self.registry, &entries);
            }
            is_open
        });
    }
}

/// Records what the nodes were sent.
pub(super) struct SentEndpoints {
    pub(super) encoder: EndpointEncoder,
    pub(super) links: Arc<FleetLinks>,
    pub(super) lists: SentLists,
    pub(super) log: EventLog,
}

impl SentEndpoints {
    /// Records entries that were written to a node, unless the link loses them.
    fn record(&self, node: usize, registry: &EndpointRegistry, entries: &[EndpointEntry]) {
        let link = *self.links.discovery[node].borrow();
        if link.is_cut || link.is_refusing {
            return;
        }
        let list = self.encoder.snapshot(registry.index(), &registry.snapshot());
        self.lists.lock()[node] = Some(list);
        for entry in entries {
            let in_service = entry.status == EndpointStatus::InService;
            let started_at = entry.started_at.unwrap_or_default();
            self.log.record(Event::EndpointSent { node, worker: entry.worker, in_service, started_at });
        }
    }
}
