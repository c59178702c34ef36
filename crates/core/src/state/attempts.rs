//! Records of attempts at workers, and their updates when an attempt is sent, starts and ends.

use super::estimates::{RunEstimate, SEND_RATE_TIME_CONSTANT};
use super::fleet::{Fleet, LATE_START_THRESHOLD};
use super::in_flight::{InFlightAttempt, UnhintedWork};
use super::job::{Attempt, AttemptId, AttemptRef, Job};
use super::worker::EXCESS_WAIT_TIME_CONSTANT;
use crate::{JobId, Outcome, Settings, TimeSpan, Timestamp};

/// Minimum duration of a run in the measurement of a speed. A shorter run counts as this long.
const MIN_MEASURED_RUN: TimeSpan = TimeSpan::from_millis(1);
/// Delay after which a started attempt counts in the observed slots of its worker. The report of a start can
/// overtake that of the end before it; without the delay the slots would then be overestimated permanently.
const SLOT_OBSERVATION_DELAY: TimeSpan = TimeSpan::from_millis(30);

/// An attempt that has ended.
pub(crate) struct EndedAttempt {
    /// Index of the worker of the attempt.
    pub worker_index: usize,
    /// Record of the attempt while it was in flight.
    pub attempt: InFlightAttempt,
    /// Outcome of the attempt.
    pub outcome: Outcome,
}

impl EndedAttempt {
    /// Returns whether the attempt was lost with a connection that had closed while it was idle.
    pub fn is_lost_with_stale_connection(&self) -> bool {
        self.outcome == Outcome::Lost && self.attempt.on_stale_connection
    }
}

impl Fleet {
    /// Records an attempt that is being sent to the worker of the estimate. Returns the record of the attempt
    /// for the job.
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

    /// Returns the record of an attempt that is in flight.
    pub fn in_flight_attempt(&self, job: JobId, attempt: AttemptRef) -> Option<&InFlightAttempt> {
        self.workers[self.find(attempt.worker)?].attempt(AttemptId { job, number: attempt.number })
    }

    /// Records a successful attempt. The speed of the worker is learned from it only if the worker is warm.
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

    /// Records an attempt that was cancelled before its start, for example because another attempt of its job
    /// had started. The attempt would have started later still: its start delay counts as the delay until the
    /// cancellation, but at least as [`LATE_START_THRESHOLD`].
    pub fn record_cancelled_wait(&mut self, now: Timestamp, ended: &EndedAttempt) {
        let delay = ended.attempt.start_delay(now);
        self.record_start_delay(now, ended.worker_index, delay.max(LATE_START_THRESHOLD.as_secs_f64()));
        let excess_wait = &mut self.workers[ended.worker_index].excess_wait;
        excess_wait.set(now, delay.max(excess_wait.get(now, EXCESS_WAIT_TIME_CONSTANT)));
    }

    /// Updates the maximum number of concurrent slots of each worker of the subset.
    pub fn observe_slots(&mut self, now: Timestamp) {
        for index in self.subset.members() {
            let worker = &mut self.workers[*index];
            let running = worker.slots_running_since(now.saturating_sub(SLOT_OBSERVATION_DELAY));
            worker.max_concurrent_slots = worker.max_concurrent_slots.max(running);
        }
    }
}
