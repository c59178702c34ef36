//! State of discovery: endpoint registry, open watches, and the endpoint list that each node was sent.

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

/// Interval of the heartbeats on endpoint watches.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Heartbeat of a watch: an empty line.
const HEARTBEAT: &[u8] = b"\n";

/// Endpoint list that each node was sent last, by node, in the form of discovery's protocol. `None` for a
/// node that was sent no list.
pub(super) type SentLists = Arc<Mutex<Vec<Option<serde_json::Value>>>>;

/// State of discovery.
pub(super) struct DiscoveryState {
    registry: EndpointRegistry,
    watches: Vec<EndpointWatch>,
    is_down: bool,
    recorder: SentListRecorder,
}

struct EndpointWatch {
    server: DiscoveryServerId,
    lines: UnboundedSender<Bytes>,
}

impl DiscoveryState {
    /// Creates the state of discovery that is up and has no watches.
    pub(super) fn new(registry: EndpointRegistry, recorder: SentListRecorder) -> Self {
        DiscoveryState { registry, watches: Vec::new(), is_down: false, recorder }
    }

    /// Records a change of a worker's status, which becomes visible after the registry's delay.
    pub(super) fn record_change(&mut self, now: Timestamp, worker: WorkerIndex, status: EndpointStatus) {
        self.registry.record_change(now, EndpointEntry { worker, status, started_at: None });
    }

    /// Records that a worker has started, which becomes visible after the registry's delay.
    pub(super) fn record_start(&mut self, now: Timestamp, worker: WorkerIndex) {
        let status = EndpointStatus::InService;
        self.registry.record_change(now, EndpointEntry { worker, status, started_at: Some(now) });
    }

    /// Returns the time at which the next change becomes visible.
    pub(super) fn next_publication(&self) -> Option<Timestamp> {
        self.registry.next_publication()
    }

    /// Opens a watch and sends its first line, unless discovery is down.
    pub(super) fn open_watch(&mut self, poll: EndpointPoll) {
        if self.is_down {
            return;
        }
        let EndpointPoll { server, since, lines } = poll;
        let index = self.registry.index();
        let (line, entries) = if let Some(changes) = self.registry.changes_since(since) {
            (self.recorder.encoder.changes_line(index, &changes), changes)
        } else {
            let snapshot = self.registry.snapshot();
            (self.recorder.encoder.snapshot_line(index, &snapshot), snapshot)
        };
        if lines.send(line).is_ok() {
            self.recorder.record(server.node, &self.registry, &entries);
            self.watches.push(EndpointWatch { server, lines });
        }
    }

    /// Closes the watches of a replaced server.
    pub(super) fn close_watches(&mut self, server: DiscoveryServerId) {
        self.watches.retain(|watch| watch.server != server);
    }

    /// Sends a heartbeat on all watches, and removes the watches that nodes have closed.
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
        self.recorder.log.record(Event::DiscoveryChanged { is_down });
    }

    /// Sends on all watches the changes that have become visible.
    pub(super) fn publish(&mut self) {
        let Publication { index, entries } = self.registry.publish(self.recorder.log.now());
        if entries.is_empty() {
            return;
        }
        for entry in &entries {
            let in_service = entry.status == EndpointStatus::InService;
            self.recorder.log.record(Event::EndpointPublished { worker: entry.worker, in_service });
        }
        let line = self.recorder.encoder.changes_line(index, &entries);
        self.watches.retain(|watch| {
            let is_open = watch.lines.send(line.clone()).is_ok();
            if is_open {
                self.recorder.record(watch.server.node, &self.registry, &entries);
            }
            is_open
        });
    }
}

/// Recorder of the endpoint lists and entries that were sent to nodes.
pub(super) struct SentListRecorder {
    pub(super) encoder: EndpointEncoder,
    pub(super) links: Arc<FleetLinks>,
    pub(super) lists: SentLists,
    pub(super) log: EventLog,
}

impl SentListRecorder {
    /// Records entries that were sent to a node, unless its link is cut or refuses connections.
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
