//! Gossip: the nodes of a subset report to each other their own work at its workers.

use super::Dispatcher;
use crate::gossip::{self, GossipEntry};
use crate::state::{RemoteBacklog, Worker};
use crate::{Action, TimeSpan, Timestamp};

/// Work at a worker is reported again after this though it has not changed.
const GOSSIP_REFRESH: TimeSpan = TimeSpan::from_millis(500);
/// Nodes gossip no more often than this, for each other node of the subset: all must read each message.
const GOSSIP_INTERVAL_PER_NODE: TimeSpan = TimeSpan::from_millis(2);

/// When this node's work is gossiped.
#[derive(Default)]
pub(super) struct GossipSchedule {
    /// This node's work at some worker has changed since it was last gossiped.
    has_changes: bool,
    /// When the next messages are due.
    due_at: Option<Timestamp>,
}

impl GossipSchedule {
    /// This node's work at some worker has changed.
    pub fn record_change(&mut self) {
        self.has_changes = true;
    }

    /// When the next messages are due.
    pub fn due_at(&self) -> Option<Timestamp> {
        self.due_at
    }

    /// Schedules the messages for changes that are not scheduled yet.
    pub fn schedule(&mut self, now: Timestamp, other_nodes: u32) {
        if self.has_changes && self.due_at.is_none() {
            self.due_at = Some(now + GOSSIP_INTERVAL_PER_NODE * u64::from(other_nodes));
        }
    }

    /// Returns whether messages are due, and takes them off the schedule.
    pub fn clear_if_due(&mut self, now: Timestamp) -> bool {
        let is_due = self.due_at.is_some_and(|due| due <= now);
        if is_due {
            self.due_at = None;
        }
        is_due
    }
}

impl Dispatcher {
    /// Reports this node's own work to the other nodes of its subset, at workers where it has changed.
    pub(super) fn send_gossip(&mut self, now: Timestamp) {
        self.gossip.has_changes = false;
        let mut data = Vec::new();
        let mut free_entries = gossip::MAX_ENTRIES;
        for position in 0..self.fleet.subset().len() {
            let index = self.fleet.subset().members()[position];
            let worker = self.fleet.worker_mut(index);
            let is_due = worker.is_gossip_due(now, GOSSIP_REFRESH);
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

    /// Takes in another node's report. Entries of workers that are not in this node's subset are ignored.
    pub(super) fn receive_gossip(&mut self, now: Timestamp, node: u32, data: &[u8]) {
        // Bounds the memory: one record for each worker and node.
        if node >= self.settings.nodes {
            return;
        }
        for GossipEntry { worker_hash: hash, work, slots } in gossip::read_entries(data) {
            let has_hash = |worker: &Worker| gossip::hash_worker_id(worker.id()) == hash;
            if let Some(index) = self.fleet.find_in_subset(has_hash) {
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
