//! Records of attempts at workers: what is updated when one is sent, starts and ends.

use super::estimates::{RunEstimate, SEND_RATE_TIME_CONSTANT};
use super::fleet::{Fleet, LATE_START_THRESHOLD};
use super::in_flight::{InFlightAttempt, UnhintedWork};
use super::job::{Attempt, AttemptId, AttemptRef, Job};
use super::worker::EXCESS_WAIT_TIME_CONSTANT;
use crate::{JobId, Outcome, Settings, TimeSpan, Timestamp};

/// Shortest run that a speed is learned from.
const MIN_MEASURED_RUN: TimeSpan = TimeSpan::from_millis(1);
/// Time after which a start counts for the slots in use: the report of a start can overtake that of the end
/// before it, and slots would be overestimated for good.
const START_SETTLING_TIME: TimeSpan = TimeSpan::from_millis(30);

/// An attempt that has ended.
pub(crate) struct EndedAttempt {
    /// Index of its worker.
    pub worker_index: usize,
    /// What was known of it.
    pub attempt: InFlightAttempt,
    /// How it ended.
    pub outcome: Outcome,
}

impl EndedAttempt {
    /// Whether it was lost with a connection that had ended while it was idle.
    pub fn is_lost_with_stale_connection(&self) -> bool {
        self.outcome == Outcome::Lost && self.attempt.on_stale_connection
    }
}

impl Fleet {
    /// Records an attempt that is being sent, at the worker of the estimate. Returns the job's own record of it.
    pub fn record_send(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        job: &Job,
        estimate: &RunEstimate,
    ) -> Attempt {
        let worker = &mut self.workers[estimate.worker_index];
        worker.sent_work.add(now, job.load(), SEND_RATE_TIME_CONSTANT);
        self.kinds[worker.kind_index].sent_work.add(now, job.load(), SEND_RATE_TIME_CONSTANT);
        (worker.gossip_pending, worker.reenabled_at) = (true, None);
        job.key.into_iter().for_each(|key| worker.record_key(key));
        let predicted_start = now + TimeSpan::from_secs_f64(estimate.wait);
        worker.in_flight.push(InFlightAttempt {
            job: job.id,
            number: job.attempts.len() as u32,
            work: estimate.run * worker.estimates.speed,
            slots: job.slots,
            sent_at: now,
            accepted: false,
            revoked: false,
            on_stale_connection: false,
            predicted_wait: estimate.wait,
            // Workers that do not report starts are assumed to start as predicted.
            started_at: (!settings.reports_start).then_some(predicted_start),
            progress: None,
            unhinted: job.is_unhinted.then_some(UnhintedWork { class: job.class, work: job.work }),
        });
        Attempt { worker: worker.id, zone: worker.zone, cell: worker.cell, sent_at: now, outcome: None }
    }

    /// The record of an attempt that is in flight.
    pub fn in_flight_attempt(&self, job: JobId, attempt: AttemptRef) -> Option<&InFlightAttempt> {
        self.workers[self.find(attempt.worker)?].attempt(AttemptId { job, number: attempt.number })
    }

    /// Records a served attempt. Only a warm worker's speed is learned from it.
    pub fn record_success(&mut self, now: Timestamp, settings: &Settings, ended: &EndedAttempt) {
        let (index, attempt) = (ended.worker_index, &ended.attempt);
        let worker = &mut self.workers[index];
        worker.record_reachable(now);
        worker.health.consecutive_failures /= 2;
        if worker.warm_up_fraction(now, settings) >= 1.0 {
            let run = now.seconds_since(attempt.started_at.unwrap_or(attempt.sent_at));
            self.record_speed(index, attempt, run.max(MIN_MEASURED_RUN.as_secs_f64()));
        }
    }

    /// Records an attempt that was cancelled before it started, because another one of its job did: this
    /// worker is at least as late as that shows.
    pub fn record_cancelled_wait(&mut self, now: Timestamp, ended: &EndedAttempt) {
        let delay = ended.attempt.start_delay(now);
        self.record_start_delay(now, ended.worker_index, delay.max(LATE_START_THRESHOLD.as_secs_f64()));
        let excess_wait = &mut self.workers[ended.worker_index].excess_wait;
        excess_wait.set(now, delay.max(excess_wait.get(now, EXCESS_WAIT_TIME_CONSTANT)));
    }

    /// Updates how many slots each worker of the subset runs at once.
    pub fn observe_slots(&mut self, now: Timestamp) {
        for index in self.subset.members() {
            let worker = &mut self.workers[*index];
            let running = worker.slots_running_since(now.saturating_sub(START_SETTLING_TIME));
            worker.max_concurrent_slots = worker.max_concurrent_slots.max(running);
        }
    }
}
