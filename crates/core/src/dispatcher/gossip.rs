//! Gossip: reports of the nodes of a subset to each other about their own work at its workers.

use super::Dispatcher;
use crate::gossip::{self, GossipEntry};
use crate::state::{RemoteBacklog, Worker};
use crate::{Action, TimeSpan, Timestamp};

/// Time after which work at a worker is reported again although it has not changed.
const GOSSIP_REFRESH_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
/// Minimum interval between two rounds of messages, divided by the number of other nodes of the subset. The
/// interval grows with that number, because all of these nodes must read each message.
const GOSSIP_INTERVAL_PER_NODE: TimeSpan = TimeSpan::from_millis(2);

/// Schedule of the gossip about this node's work.
#[derive(Default)]
pub(super) struct GossipSchedule {
    /// Whether this node's work at some worker has changed since it was last gossiped.
    has_changes: bool,
    /// Time at which the next messages are due.
    due_at: Option<Timestamp>,
}

impl GossipSchedule {
    /// Records that this node's work at some worker has changed.
    pub fn record_change(&mut self) {
        self.has_changes = true;
    }

    /// Returns the time at which the next messages are due.
    pub fn due_at(&self) -> Option<Timestamp> {
        self.due_at
    }

    /// Schedules the messages for changes that are not scheduled yet.
    pub fn schedule(&mut self, now: Timestamp, other_nodes: u32) {
        if self.has_changes && self.due_at.is_none() {
            self.due_at = Some(now + GOSSIP_INTERVAL_PER_NODE * u64::from(other_nodes));
        }
    }

    /// Returns whether messages are due, and removes them from the schedule.
    pub fn clear_if_due(&mut self, now: Timestamp) -> bool {
        let is_due = self.due_at.is_some_and(|due| due <= now);
        if is_due {
            self.due_at = None;
        }
        is_due
    }
}

impl Dispatcher {
    /// Reports this node's own work to the other nodes of its subset, for the workers at which it has
    /// changed.
    pub(super) fn send_gossip(&mut self, now: Timestamp) {
        self.gossip.has_changes = false;
        let mut data = Vec::new();
        let mut free_entries = gossip::MAX_ENTRIES;
        for position in 0..self.fleet.subset().len() {
            let index = self.fleet.subset().members()[position];
            let worker = self.fleet.worker_mut(index);
            let is_due = worker.is_gossip_due(now, GOSSIP_REFRESH_INTERVAL);
            if is_due && free_entries == 0 {
                self.gossip.has_changes = true;
            } else if is_due {
                gossip::append_entry(
                    &mut data,
                    worker.id(),
                    worker.remaining_load(now),
                    worker.requested_slots(),
                );
                worker.record_gossip_sent(now);
                free_entries -= 1;
            }
        }
        if !data.is_empty() {
            let other_nodes = self.fleet.subset().other_nodes();
            self.outbox.extend(other_nodes.map(|node| Action::SendGossip { to: node, data: data.clone() }));
        }
    }

    /// Records the report of another node. Entries of workers that are not in this node's subset are ignored.
    pub(super) fn receive_gossip(&mut self, now: Timestamp, node: u32, data: &[u8]) {
        // This bounds the memory: one record for each worker and node.
        if node >= self.settings.nodes {
            return;
        }
        for GossipEntry { worker_hash: hash, work, slots } in gossip::read_entries(data) {
            let matches_hash = |worker: &Worker| gossip::hash_worker_id(worker.id()) == hash;
            if let Some(index) = self.fleet.find_in_subset(matches_hash) {
                self.fleet.worker_mut(index).record_remote_backlog(RemoteBacklog {
                    node,
                    work,
                    slots,
                    at: now,
                });
            }
        }
    }
}
