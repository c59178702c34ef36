//! Event handlers: each event updates the records in `state` and calls the decisions in `policy` that follow.

mod gossip;
mod timers;

use crate::state::AttemptRef;
use crate::{Action, Event, JobId, Outcome, Timestamp};

pub use crate::state::Dispatcher;

impl Dispatcher {
    /// Takes an event in and appends the actions that are to be carried out.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsChanged { endpoints, snapshot } => {
                self.poll_schedule.record_endpoints(now);
                self.fleet.apply_endpoints(now, endpoints, snapshot);
                self.revoke_attempts(actions);
            }
            Event::EndpointsConfirmed { as_of } => self.poll_schedule.record_confirmation(as_of.min(now)),
            Event::PollAnswered { duration } => self.poll_schedule.record_poll_duration(duration),
            Event::EndpointsUnreadable => self.poll_schedule.record_unreadable_list(now),
            Event::DiscoveryMoved => self.poll_schedule.record_discovery_move(now),
            Event::WatchFailed => self.poll_schedule.record_failure(now, &mut self.rng),
            Event::JobSubmitted(submission) => self.admit_job(now, &submission, actions),
            Event::AttemptAccepted { job, attempt } => self.record_acceptance(now, job, attempt),
            Event::AttemptStarted { job, attempt } => {
                self.record_acceptance(now, job, attempt);
                self.handle_start(now, job, attempt, actions);
            }
            Event::AttemptProgressed { job, attempt, fraction_done } => {
                self.record_acceptance(now, job, attempt);
                self.record_progress(now, job, attempt, fraction_done);
            }
            Event::AttemptStreaming { job, attempt } => {
                self.handle_start(now, job, attempt, actions);
                self.jobs.entry(job).and_modify(|job| job.is_streaming = true);
            }
            Event::AttemptEnded { job, attempt, outcome, settled } => {
                self.handle_end(now, AttemptEnd { job, attempt, outcome, settled }, actions);
            }
            Event::ClientDisconnected { job } => self.disconnect_client(job, actions),
            Event::GossipReceived { from, data } => self.receive_gossip(now, from, data),
            Event::MaintenanceChanged { worker, disabled: true } => {
                self.fleet.disable_worker(now, worker);
                self.revoke_attempts(actions);
            }
            Event::MaintenanceChanged { worker, disabled: false } => {
                self.fleet.reenable_worker(now, worker);
                self.dispatch_pending(now, actions);
            }
            Event::SuccessorActive { active } => self.lifecycle.is_superseded = active,
            Event::ShutdownStarted { deadline } => {
                self.lifecycle.shutdown_at = deadline;
                self.handle_timer(now, actions);
            }
            Event::TimerExpired => self.handle_timer(now, actions),
        }
        self.set_timer(now, actions);
    }

    /// An attempt has started to run, or to answer.
    fn handle_start(&mut self, now: Timestamp, job: JobId, attempt: u32, actions: &mut Vec<Action>) {
        if !self.record_start(now, job, attempt) {
            return;
        }
        // The first attempt to start is kept: a hedged request must not run as well.
        if let Some(job) = self.jobs.get(&job) {
            self.cancel_in_flight(job, Some(attempt), actions);
        }
    }

    /// An attempt has ended, by what its worker or its connection reported.
    fn handle_end(&mut self, now: Timestamp, end: AttemptEnd, actions: &mut Vec<Action>) {
        let AttemptEnd { job, attempt, outcome, settled } = end;
        let was_held_back = outcome == Outcome::NotSent && self.is_revoked(job, attempt);
        let is_first_report = self.record_outcome(job, attempt, outcome);
        if is_first_report && let Some(ended) = self.remove_ended(job, attempt, outcome) {
            self.assess_worker(now, &ended);
        }
        if !is_first_report && !settled {
            return;
        }
        let is_requeued = was_held_back && !settled && self.requeue_unsent_job(now, job, actions);
        if !is_requeued {
            self.follow_up(now, job, settled, actions);
        }
    }

    /// Revokes attempts whose worker takes nothing new any more.
    fn revoke_attempts(&mut self, actions: &mut Vec<Action>) {
        let pending = self.fleet.pending_revocations.drain(..);
        actions.extend(pending.map(|id| Action::RevokeAttempt { job: id.job, attempt: id.number }));
    }

    /// Whether an attempt that is in flight was revoked.
    fn is_revoked(&self, job: JobId, number: u32) -> bool {
        let worker = self.worker_index_of(job, number).map(|index| self.fleet.workers[index].id);
        let attempt = worker.and_then(|worker| self.in_flight_attempt(job, AttemptRef { number, worker }));
        attempt.is_some_and(|attempt| attempt.revoked)
    }

    /// The client of a job has gone: no answer is needed any more.
    fn disconnect_client(&mut self, job: JobId, actions: &mut Vec<Action>) {
        let Some(mut job) = self.jobs.remove(&job) else { return };
        if !job.is_answered {
            self.close_job(&mut job, actions);
        }
        self.store_job(job);
    }
}

/// The fields of [`Event::AttemptEnded`].
struct AttemptEnd {
    job: JobId,
    attempt: u32,
    outcome: Outcome,
    settled: bool,
}
