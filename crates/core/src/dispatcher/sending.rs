//! Dispatch of queued jobs: the queue, the choice of a worker for a job, and each send.

use super::Dispatcher;
use crate::permission::slow_start_window;
use crate::policy::pending_queue::{QueueContext, max_skipped_jobs, reserved_share};
use crate::policy::placement::{Placement, PlacementRequest, RatedWorker, workers_outside_subset};
use crate::policy::retries::needs_new_connection;
use crate::state::{Job, QueueKey};
use crate::{Action, Timestamp};

impl Dispatcher {
    /// Sends queued jobs while workers are free for them.
    pub(super) fn dispatch_pending(&mut self, now: Timestamp) {
        // Rule 3: a node whose list may be out of date sends nothing based on it. Jobs wait for the next
        // confirmation.
        if self.jobs.queue_len() == 0 || self.check_endpoint_lease(now).is_err() {
            return;
        }
        self.refresh_estimates(now);
        let reserved_share = reserved_share(now, &self.demand);
        let max_skipped = max_skipped_jobs(&self.fleet);
        let (mut skipped, mut last) = (0, None);
        while skipped < max_skipped {
            let Some(key) = self.jobs.next_queued(last) else { return };
            skipped += usize::from(!self.dispatch_job(now, key, reserved_share));
            last = Some(key);
        }
    }

    /// Refreshes the expired estimates of the workers, and the capacity that results from them.
    pub(super) fn refresh_estimates(&mut self, now: Timestamp) {
        self.capacity = self.fleet.refresh_estimates(now, &self.settings);
    }

    /// Sends a queued job if a worker is free for it. Returns whether the job has left the queue.
    fn dispatch_job(&mut self, now: Timestamp, key: QueueKey, reserved_share: f64) -> bool {
        let context = self.queue_context(now, reserved_share);
        if self.jobs.get(key.job).is_some_and(|job| context.must_wait(job)) {
            return false;
        }
        let Some(mut job) = self.jobs.take(key.job) else { return self.jobs.dequeue(&key) };
        let placement = self.choose_worker(&PlacementRequest::new(now, &self.fleet, &job));
        let should_send =
            |placement: &Placement| self.queue_context(now, reserved_share).should_send(&job, placement);
        let placement = placement.filter(should_send);
        let is_sent = placement.is_some_and(|placement| self.send_attempt(now, &mut job, &placement));
        self.jobs.store(job);
        if is_sent {
            self.jobs.dequeue(&key);
        }
        is_sent
    }

    /// Chooses a worker of this node's subset or, if none of those may take the job, one of a random
    /// selection of others, at most as many as the subset has. Near ties are broken at random.
    pub(super) fn choose_worker(&mut self, request: &PlacementRequest) -> Option<Placement> {
        let tied = request.cheapest_workers(&self.send_rules(), self.fleet.subset().members());
        let chosen = self.pick_worker(&tied);
        if chosen.is_some() || !self.fleet.subset().has_outside_workers() {
            return chosen.map(|worker| request.place(&self.fleet, worker));
        }
        let others = workers_outside_subset(&self.fleet, &mut self.rng);
        for index in &others {
            self.fleet.refresh_worker(request.now(), &self.settings, *index);
        }
        let tied = request.cheapest_workers(&self.send_rules(), &others);
        let chosen = self.pick_worker(&tied);
        chosen.map(|worker| request.place(&self.fleet, worker))
    }

    /// Picks one of several workers at random.
    fn pick_worker(&mut self, workers: &[RatedWorker]) -> Option<RatedWorker> {
        let picked = self.rng.usize(0..workers.len().max(1));
        workers.get(picked).copied()
    }

    /// Sends an attempt to the chosen worker and records it. All sends use this function. A send without
    /// permission is counted as a violation and not made. Returns whether the attempt was sent.
    pub(super) fn send_attempt(&mut self, now: Timestamp, job: &mut Job, placement: &Placement) -> bool {
        let index = placement.estimate.worker_index;
        let rules = self.send_rules();
        if let Err(denial) = rules.check_send(now, self.fleet.worker(index), job) {
            self.violations.record(denial);
            return false;
        }
        let send_deadline = rules.send_deadline(job);
        let needs_new_connection = needs_new_connection(&self.settings, job);
        let window = slow_start_window(&self.settings);
        self.fleet.worker_mut(index).record_warm_up_send(now, job.load(), window);
        let attempt = self.fleet.record_send(now, &self.settings, job, &placement.estimate);
        job.record_attempt(attempt);
        self.gossip.record_change();
        self.fleet.refresh_worker(now, &self.settings, index);
        self.outbox.push(Action::SendAttempt {
            job: job.id,
            worker: attempt.worker,
            timeout: job.deadline - now,
            send_deadline,
            needs_new_connection,
        });
        true
    }

    fn queue_context(&self, now: Timestamp, reserved_share: f64) -> QueueContext<'_> {
        QueueContext {
            now,
            settings: &self.settings,
            fleet: &self.fleet,
            capacity: &self.capacity,
            reserved_share,
            queue_len: self.jobs.queue_len(),
        }
    }
}
