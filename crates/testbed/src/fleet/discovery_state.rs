//! State of discovery: endpoint registry, open watches, and the endpoint list that each node was sent.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use curlewusher_model::endpoint_registry::{EndpointEntry, EndpointRegistry, EndpointStatus, Publication};
use curlewusher_model::worker_pool::WorkerIndex;
use curlewusher_model::{TimeSpan, Timestamp};
use parking_lot::Mutex;
use tokio::sync::mpsc::UnboundedSender;

use super::endpoint_encoder::EndpointEncoder;
use super::links::FleetLinks;
use super::message::{DiscoveryServerId, EndpointPoll};
use crate::event_log::{Event, EventLog};

/// Interval of the heartbeats on endpoint watches.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
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
    /// Time by which each line of a watch is written later than the line before it. Zero: lines are on time.
    lateness_growth: TimeSpan,
    recorder: SentListRecorder,
}

struct EndpointWatch {
    server: DiscoveryServerId,
    lines: UnboundedSender<Bytes>,
    /// Number of lines of this watch that were late.
    late_lines: u64,
    /// Lines that are late and not written yet.
    delayed: VecDeque<DelayedLine>,
}

/// Line of a watch that is written later than it is due.
struct DelayedLine {
    write_at: Timestamp,
    line: WatchLine,
}

/// Line of a watch.
#[derive(Clone)]
struct WatchLine {
    bytes: Bytes,
    /// Content of the line; `None` for a heartbeat.
    content: Option<SentList>,
}

/// Entries of a line, and the complete list as of the time at which the line was made.
#[derive(Clone)]
struct SentList {
    entries: Vec<EndpointEntry>,
    list: serde_json::Value,
}

impl EndpointWatch {
    fn is_open(&self) -> bool {
        !self.lines.is_closed()
    }

    /// Queues a line that is `growth` later than the line before it.
    fn delay(&mut self, now: Timestamp, growth: TimeSpan, line: WatchLine) {
        self.late_lines += 1;
        let lateness = TimeSpan::from_micros(growth.as_micros() * self.late_lines);
        self.delayed.push_back(DelayedLine { write_at: now + lateness, line });
    }

    fn write(&self, line: &WatchLine, recorder: &SentListRecorder) {
        // Fails only when the node has closed the watch, which is removed with the next line.
        if self.lines.send(line.bytes.clone()).is_ok()
            && let Some(content) = &line.content
        {
            recorder.record(self.server.node, content);
        }
    }
}

impl DiscoveryState {
    /// Creates the state of discovery that is up and has no watches.
    pub(super) fn new(registry: EndpointRegistry, recorder: SentListRecorder) -> Self {
        DiscoveryState {
            registry,
            watches: Vec::new(),
            is_down: false,
            lateness_growth: TimeSpan::ZERO,
            recorder,
        }
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
        let line = WatchLine { bytes: line, content: Some(self.sent_list(entries)) };
        let watch = EndpointWatch { server, lines, late_lines: 0, delayed: VecDeque::new() };
        watch.write(&line, &self.recorder);
        self.watches.push(watch);
    }

    /// Returns the time at which the next line that is late will be written.
    pub(super) fn next_delayed_line(&self) -> Option<Timestamp> {
        self.watches.iter().filter_map(|watch| watch.delayed.front()).map(|delayed| delayed.write_at).min()
    }

    /// Makes each further line of a watch later than the line before it by `growth`. Zero: lines are on time
    /// again, and those that are still delayed are written at once.
    pub(super) fn set_lateness_growth(&mut self, growth: TimeSpan) {
        self.lateness_growth = growth;
        if growth == TimeSpan::ZERO {
            self.write_delayed_lines(Timestamp::from_micros(u64::MAX));
            self.watches.iter_mut().for_each(|watch| watch.late_lines = 0);
        }
    }

    /// Writes the lines that were delayed until `now` at most.
    pub(super) fn write_delayed_lines(&mut self, now: Timestamp) {
        for watch in &mut self.watches {
            while let Some(delayed) = watch.delayed.pop_front_if(|delayed| delayed.write_at <= now) {
                watch.write(&delayed.line, &self.recorder);
            }
        }
    }

    /// Closes the watches of a replaced server.
    pub(super) fn close_watches(&mut self, server: DiscoveryServerId) {
        self.watches.retain(|watch| watch.server != server);
    }

    /// Sends a heartbeat on all watches, and removes the watches that nodes have closed.
    pub(super) fn send_heartbeats(&mut self) {
        self.send_line(&WatchLine { bytes: Bytes::from_static(HEARTBEAT), content: None });
    }

    /// Sends a line on all watches, late if a lateness is set, and removes the watches that nodes have closed.
    fn send_line(&mut self, line: &WatchLine) {
        let (now, growth) = (self.recorder.log.now(), self.lateness_growth);
        self.watches.retain(EndpointWatch::is_open);
        for watch in &mut self.watches {
            if growth == TimeSpan::ZERO {
                watch.write(line, &self.recorder);
            } else {
                watch.delay(now, growth, line.clone());
            }
        }
    }

    fn sent_list(&self, entries: Vec<EndpointEntry>) -> SentList {
        let list = self.recorder.encoder.snapshot(self.registry.index(), &self.registry.snapshot());
        SentList { entries, list }
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
        let bytes = self.recorder.encoder.changes_line(index, &entries);
        let content = Some(self.sent_list(entries));
        self.send_line(&WatchLine { bytes, content });
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
    fn record(&self, node: usize, sent: &SentList) {
        let link = *self.links.discovery[node].borrow();
        if link.is_cut || link.is_refusing {
            return;
        }
        self.lists.lock()[node] = Some(sent.list.clone());
        for entry in &sent.entries {
            let in_service = entry.status == EndpointStatus::InService;
            let started_at = entry.started_at.unwrap_or_default();
            self.log.record(Event::EndpointSent { node, worker: entry.worker, in_service, started_at });
        }
    }
}
