//! Records of attempts: what is updated when one is sent, starts, progresses and ends.

use super::estimates::SEND_RATE_SPAN_S;
use super::worker::{EXCESS_WAIT_SPAN_S, Progress, UnhintedWork, WarmUpSend};
use super::{Attempt, Dispatcher, InFlightAttempt, Job, LATE_START_S, PlacementEstimate};
use crate::{Action, JobId, Outcome, TimeSpan, Timestamp};

/// Shortest run that a speed is learned from, in seconds.
const MIN_MEASURED_RUN_S: f64 = 1e-3;
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

impl Dispatcher {
    /// Records an attempt that is being sent. Sends to a worker that is warming up are remembered for
    /// `window` seconds.
    pub(crate) fn record_send(
        &mut self,
        now: Timestamp,
        job: &mut Job,
        placement: &PlacementEstimate,
        window: f64,
    ) {
        let worker = &mut self.fleet.workers[placement.worker_index];
        worker.warm_up_sends.retain(|send| now.seconds_since(send.at) < window);
        if worker.estimates.warm_up_fraction < 1.0 {
            worker.warm_up_sends.push_back(WarmUpSend { at: now, work: job.load() });
        }
        worker.sent_work.add(now, job.load(), SEND_RATE_SPAN_S);
        self.fleet.kinds[worker.kind_index].sent_work.add(now, job.load(), SEND_RATE_SPAN_S);
        (worker.gossip_pending, worker.reenabled_at) = (true, None);
        self.gossip.has_changes = true;
        job.key.into_iter().for_each(|key| worker.record_key(key));
        worker.in_flight.push(InFlightAttempt {
            job: job.id,
            attempt: job.attempts.len() as u32,
            work: placement.run * worker.estimates.speed,
            slots: job.slots,
            sent_at: now,
            accepted: false,
            revoked: false,
            predicted_wait: placement.wait,
            // Workers that do not report starts are assumed to start as predicted.
            started_at: (!self.settings.reports_start)
                .then_some(now + TimeSpan::from_secs_f64(placement.wait)),
            progress: None,
            unhinted: job.is_unhinted.then_some(UnhintedWork { class: job.class, work: job.work }),
        });
        let (worker, zone, cell) = (worker.id, worker.zone, worker.cell);
        job.attempts.push(Attempt { worker, zone, cell, sent_at: now, outcome: None });
    }

    /// Records that a worker has accepted an attempt. Any other report on it implies that.
    pub(crate) fn record_acceptance(&mut self, now: Timestamp, job: JobId, attempt: u32) {
        let Some(index) = self.worker_index_of(job, attempt) else { return };
        let worker = &mut self.fleet.workers[index];
        if let Some(attempt) = worker.attempt_mut(job, attempt).filter(|attempt| !attempt.accepted) {
            attempt.accepted = true;
            worker.record_contact(now);
        }
    }

    /// Records the start of an attempt. Returns whether it was not known before.
    pub(crate) fn record_start(&mut self, now: Timestamp, job: JobId, attempt: u32) -> bool {
        let Some(index) = self.worker_index_of(job, attempt) else { return false };
        let worker = &mut self.fleet.workers[index];
        let known_excess = worker.excess_wait.get(now, EXCESS_WAIT_SPAN_S);
        let waiting = worker.attempt_mut(job, attempt).filter(|attempt| !attempt.has_started());
        let Some(attempt) = waiting else { return false };
        attempt.started_at = Some(now);
        let delay = attempt.start_delay(now).max(0.0);
        worker.excess_wait.set(now, (known_excess + delay) / 2.0);
        worker.record_contact(now);
        self.fleet.record_start_delay(now, index, delay);
        true
    }

    /// Records progress: `share` of the attempt is done.
    pub(crate) fn record_progress(&mut self, now: Timestamp, job: JobId, attempt: u32, share: f64) {
        let Some(index) = self.worker_index_of(job, attempt) else { return };
        let worker = &mut self.fleet.workers[index];
        if let Some(attempt) = worker.attempt_mut(job, attempt) {
            attempt.progress = Some(Progress { share: share.clamp(0.0, 1.0), at: now });
        }
        worker.record_contact(now);
    }

    /// Records a served attempt. Only a warm worker's speed is learned from it.
    pub(crate) fn record_success(&mut self, now: Timestamp, index: usize, attempt: &InFlightAttempt) {
        self.fleet.workers[index].record_contact(now);
        let is_warm = self.warm_up_fraction(now, &self.fleet.workers[index]) >= 1.0;
        self.fleet.workers[index].health.consecutive_failures /= 2;
        if is_warm {
            let run = now.seconds_since(attempt.started_at.unwrap_or(attempt.sent_at));
            self.fleet.record_speed(index, attempt, run.max(MIN_MEASURED_RUN_S));
        }
    }

    /// Records an attempt that was cancelled before it started, because another one of its job did: this
    /// worker is at least as late as that shows.
    pub(crate) fn record_cancelled_wait(&mut self, now: Timestamp, index: usize, attempt: &InFlightAttempt) {
        let delay = attempt.start_delay(now);
        self.fleet.record_start_delay(now, index, delay.max(LATE_START_S));
        let excess_wait = &mut self.fleet.workers[index].excess_wait;
        excess_wait.set(now, delay.max(excess_wait.get(now, EXCESS_WAIT_SPAN_S)));
    }

    /// Records how an attempt ended. Returns false if its end was known or it was never sent: a repeated
    /// report must not queue the job twice.
    pub(crate) fn record_outcome(&mut self, job: JobId, attempt: u32, outcome: Outcome) -> bool {
        let known = self.jobs.get_mut(&job).and_then(|job| job.attempts.get_mut(attempt as usize));
        let Some(attempt) = known.filter(|attempt| attempt.outcome.is_none()) else { return false };
        attempt.outcome = Some(outcome);
        true
    }

    /// Removes an attempt that has ended from its worker.
    pub(crate) fn remove_ended(
        &mut self,
        job: JobId,
        attempt: u32,
        outcome: Outcome,
    ) -> Option<EndedAttempt> {
        let worker_index = self.worker_index_of(job, attempt)?;
        let attempt = self.fleet.workers[worker_index].remove_attempt(job, attempt)?;
        self.gossip.has_changes = true;
        Some(EndedAttempt { worker_index, attempt, outcome })
    }

    /// Cancels the attempts of a job that are in flight, but for the one that is to run on.
    pub(crate) fn cancel_in_flight(&self, job: &Job, except: Option<u32>, actions: &mut Vec<Action>) {
        if !self.settings.may_cancel {
            return;
        }
        let cancelled = job.in_flight().filter(|attempt| Some(attempt.number) != except);
        actions.extend(cancelled.map(|at| Action::CancelAttempt { job: job.id, attempt: at.number }));
    }

    /// Updates how many slots each worker of the subset runs at once.
    pub(crate) fn observe_slots(&mut self, now: Timestamp) {
        for index in &self.fleet.subset {
            let worker = &mut self.fleet.workers[*index];
            let running = worker.slots_running_since(now.saturating_sub(START_SETTLING_TIME));
            worker.max_concurrent_slots = worker.max_concurrent_slots.max(running);
        }
    }
}
