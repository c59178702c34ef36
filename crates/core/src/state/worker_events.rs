//! Updates of a worker's record for events of the worker.

use super::in_flight::{InFlightAttempt, Progress};
use super::job::AttemptId;
use super::worker::{
    EXCESS_WAIT_TIME_CONSTANT, MAX_WORKER_KEYS, RemoteBacklog, WarmUpSend, Worker, WorkerHealth,
};
use crate::Timestamp;

impl Worker {
    /// Records the key of a job that is sent to the worker.
    pub fn record_key(&mut self, key: u64) {
        self.recent_keys.retain(|recent| *recent != key);
        self.recent_keys.push_front(key);
        self.recent_keys.truncate(MAX_WORKER_KEYS);
    }

    /// Invalidates the estimates after an event of the worker.
    pub fn invalidate_estimates(&mut self) {
        self.estimates.derived_at = Timestamp::ORIGIN;
    }

    /// Records evidence that the worker is reachable.
    pub fn record_reachable(&mut self, now: Timestamp) {
        self.invalidate_estimates();
        if self.health.unreachable {
            // The worker may have restarted, and may be warming up long before the endpoint list shows the
            // restart.
            self.health.unreachable = false;
            self.started_at = self.started_at.max(now);
        }
    }

    /// Records that this node's work at the worker was gossiped.
    pub fn record_gossip_sent(&mut self, now: Timestamp) {
        (self.gossip_pending, self.gossiped_at) = (false, now);
    }

    /// Replaces the report of another node on its work at the worker.
    pub fn record_remote_backlog(&mut self, backlog: RemoteBacklog) {
        self.remote_backlogs.retain(|other| other.node != backlog.node);
        if backlog.slots > 0.0 {
            self.remote_backlogs.push(backlog);
        }
    }

    /// Records a failure, for which the worker is ejected until `ejected_until`.
    pub fn record_failure(&mut self, ejected_until: Timestamp) {
        self.health.ejected_until = ejected_until;
        self.health.consecutive_failures += 1;
    }

    /// Records that no connection to the worker could be established.
    pub fn record_unreachable(&mut self) {
        self.health.unreachable = true;
    }

    /// Records that the worker has accepted an attempt. Any other report on the attempt implies acceptance.
    pub fn record_acceptance(&mut self, now: Timestamp, id: AttemptId) {
        if let Some(attempt) = self.attempt_mut(id).filter(|attempt| !attempt.accepted) {
            attempt.accepted = true;
            self.record_reachable(now);
        }
    }

    /// Records that an attempt was written to a connection that had closed while it was idle.
    pub fn record_stale_connection(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempt_mut(id) {
            attempt.on_stale_connection = true;
        }
    }

    /// Records the completed fraction of an attempt.
    pub fn record_progress(&mut self, now: Timestamp, id: AttemptId, fraction_done: f64) {
        if let Some(attempt) = self.attempt_mut(id) {
            attempt.progress = Some(Progress { fraction_done: fraction_done.clamp(0.0, 1.0), at: now });
        }
        self.record_reachable(now);
    }

    /// Records the start of an attempt. Returns the seconds by which it was later than predicted; `None` if
    /// the start has been recorded before or the attempt is not in flight.
    pub fn record_start(&mut self, now: Timestamp, id: AttemptId) -> Option<f64> {
        let previous_excess = self.excess_wait.get(now, EXCESS_WAIT_TIME_CONSTANT);
        let attempt = self.attempt_mut(id).filter(|attempt| !attempt.has_started())?;
        attempt.started_at = Some(now);
        let delay = attempt.start_delay(now).max(0.0);
        self.excess_wait.set(now, (previous_excess + delay) / 2.0);
        self.record_reachable(now);
        Some(delay)
    }

    /// Records work that is sent while the worker may be warming up. Sends that are `window` seconds old or
    /// older are removed.
    pub fn record_warm_up_send(&mut self, now: Timestamp, work: f64, window: f64) {
        self.warm_up_sends.retain(|send| now.seconds_since(send.at) < window);
        if self.estimates.warm_up_fraction < 1.0 {
            self.warm_up_sends.push_back(WarmUpSend { at: now, work });
        }
    }

    /// Records that operators have enabled the worker again after they disabled it at `disabled_at`.
    ///
    /// Operators usually restart a worker meanwhile, and the endpoint list shows that late. Unless it shows a
    /// start since `disabled_at`, the worker is assumed to start now.
    pub fn reenable(&mut self, disabled_at: Timestamp, now: Timestamp) {
        if self.started_at < disabled_at || self.started_at == Timestamp::ORIGIN {
            self.started_at = now;
        }
        self.health = WorkerHealth::default();
        self.reenabled_at = Some(now);
        self.invalidate_estimates();
    }

    /// Marks the attempts that the worker has not accepted as revoked, since they may not have been sent yet.
    /// Returns those that were not marked before.
    pub fn revoke_unaccepted_attempts(&mut self) -> impl Iterator<Item = AttemptId> {
        self.in_flight.iter_mut().filter(|attempt| !attempt.accepted && !attempt.revoked).map(|attempt| {
            attempt.revoked = true;
            attempt.id()
        })
    }

    /// Adopts an attempt of the peer. `key` is the key of its job.
    pub fn adopt_attempt(&mut self, attempt: InFlightAttempt, key: Option<u64>) {
        if let Some(key) = key {
            self.record_key(key);
        }
        self.in_flight.push(attempt);
        self.gossip_pending = true;
        self.invalidate_estimates();
    }

    /// Removes an attempt that has ended.
    pub fn remove_attempt(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        let index = self.in_flight.iter().position(|attempt| attempt.id() == id)?;
        self.gossip_pending = true;
        self.invalidate_estimates();
        Some(self.in_flight.remove(index))
    }

    fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut InFlightAttempt> {
        self.in_flight.iter_mut().find(|attempt| attempt.id() == id)
    }
}
