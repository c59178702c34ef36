//! Gossip: the nodes of a subset report to each other their own work at its workers.

use crate::state::PeerBacklog;
use crate::{Action, Dispatcher, Timestamp, gossip};

/// Work at a worker is reported again after this though it has not changed, in seconds.
const GOSSIP_REFRESH_S: f64 = 0.5;

impl Dispatcher {
    /// Reports this node's own work to the other nodes of its subset, at workers where it has changed.
    pub(super) fn send_gossip(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.gossip.has_changes = false;
        let mut data = Vec::new();
        let mut free_entries = gossip::MAX_ENTRIES;
        for position in 0..self.fleet.subset.len() {
            let index = self.fleet.subset[position];
            let worker = &self.fleet.workers[index];
            let is_old = now.seconds_since(worker.gossiped_at) > GOSSIP_REFRESH_S;
            let is_due = worker.gossip_pending || is_old && !worker.in_flight.is_empty();
            if is_due && free_entries == 0 {
                self.gossip.has_changes = true;
            } else if is_due {
                let speed = worker.estimates.speed;
                let in_flight = worker.in_flight.iter();
                let work = in_flight.map(|attempt| self.remaining_work(now, speed, attempt) * attempt.slots);
                let slots = worker.in_flight.iter().map(|attempt| attempt.slots);
                gossip::append_entry(&mut data, worker.id, work.sum(), slots.sum());
                let worker = &mut self.fleet.workers[index];
                (worker.gossip_pending, worker.gossiped_at) = (false, now);
                free_entries -= 1;
            }
        }
        if !data.is_empty() {
            self.send_to_peers(&data, actions);
        }
    }

    /// Sends a message to each other node of this node's subset.
    fn send_to_peers(&self, data: &[u8], actions: &mut Vec<Action>) {
        let (own_index, subset_count) = (self.settings.node_index, self.fleet.subset_count as u32);
        let members = (own_index % subset_count..self.settings.nodes).step_by(subset_count as usize);
        let peers = members.filter(|node| *node != own_index);
        actions.extend(peers.map(|to| Action::SendGossip { to, data: data.to_vec() }));
    }

    /// Takes in another node's report. Entries of workers that are not in this node's subset are ignored.
    pub(super) fn receive_gossip(&mut self, now: Timestamp, node: u32, data: &[u8]) {
        // Bounds the memory: one record for each worker and node.
        if node >= self.settings.nodes {
            return;
        }
        for gossip::GossipEntry { worker: worker_hash, work, slots } in gossip::read_entries(data) {
            let has_hash =
                |index: &&usize| gossip::short_worker_id(self.fleet.workers[**index].id) == worker_hash;
            let Some(&index) = self.fleet.subset.iter().find(has_hash) else { continue };
            let backlogs = &mut self.fleet.workers[index].peer_backlogs;
            backlogs.retain(|backlog| backlog.node != node);
            if slots > 0.0 {
                backlogs.push(PeerBacklog { node, work, slots, at: now });
            }
        }
    }
}
