//! Steps of the migration of a job to or from the peer process; see
//! [`migration`](crate::dispatch::migration).

use std::rc::Rc;

use curlewusher_core::{Event, JobId, Timestamp};
use tokio::sync::oneshot;
use tracing::debug;

use super::DispatchTask;
use crate::attempt::{AttemptId, AttemptRequest, AttemptTransport, SendPermit};
use crate::dispatch::attempts::{Attempt, AttemptState};
use crate::dispatch::jobs::{Job, JobHandle};
use crate::dispatch::migration::{
    IncomingJob, IncomingMigration, JobMigration, MigratedAttempt, MigrationOutcome, OutgoingJob,
    OutgoingMigration, is_migratable,
};
use crate::dispatch::timers::Timer;
use crate::telemetry::logging::DISPATCH;
use crate::telemetry::metrics::Counter;

/// A migrated job whose attempts are being resumed.
struct ResumedJob<'a, P> {
    id: JobId,
    request_id: &'a Rc<str>,
    payload: &'a Rc<P>,
    now: Timestamp,
}

impl<T: AttemptTransport> DispatchTask<T> {
    /// Removes a job from the table and sends it to the caller, which sends it to the peer process. If the
    /// job cannot be migrated now, has no effect other than closing the channel.
    pub(super) fn start_outgoing_migration(
        &mut self,
        job_handle: &JobHandle,
        migration_channel: oneshot::Sender<OutgoingMigration<T::Payload>>,
    ) {
        let Some(id) = job_handle.job_id() else { return };
        let now = self.clock.now();
        let is_migratable =
            self.jobs.get(id).is_some_and(|job| is_migratable(job, now, self.min_time_for_migration));
        if !is_migratable || migration_channel.is_closed() {
            return;
        }
        let (Some(released), Some(job)) = (self.dispatcher.release_job(id), self.jobs.remove(id)) else {
            return;
        };
        for (attempt, number) in job.attempts.iter().zip(0..) {
            self.timers.cancel(attempt.expires_at, Timer::AttemptTimeout(AttemptId { job: id, number }));
        }
        let migration = JobMigration::new(&job, released);
        debug!(target: DISPATCH, request_id = %job.request_id, "job migration started");
        let outgoing = OutgoingMigration { migration: migration.clone(), payload: Rc::clone(&job.payload) };
        let is_receiver_closed = migration_channel.send(outgoing).is_err();
        self.migrations.insert_outgoing(id, OutgoingJob { migration, job });
        if is_receiver_closed {
            self.finish_outgoing_migration(job_handle, MigrationOutcome::RolledBack);
        }
    }

    /// Ends a migration to the peer process: either the peer now owns the job, or the job is rolled back.
    pub(super) fn finish_outgoing_migration(&mut self, job_handle: &JobHandle, outcome: MigrationOutcome) {
        let Some(id) = job_handle.job_id() else { return };
        let Some(outgoing) = self.migrations.remove_outgoing(id) else { return };
        match outcome {
            MigrationOutcome::Accepted => {
                self.jobs.release(&outgoing.job.request_id);
                self.metrics.add(Counter::JobsMigratedAway);
            }
            MigrationOutcome::RolledBack => self.roll_back_migration(id, outgoing),
        }
    }

    /// Returns a job that the peer process has not accepted to the table.
    fn roll_back_migration(&mut self, id: JobId, outgoing: OutgoingJob<T::Payload>) {
        let OutgoingJob { migration, job } = outgoing;
        // No response is sent to the client of an outgoing job, so only a disconnection can have taken its
        // response channel.
        let is_client_disconnected = job.is_answered();
        if is_client_disconnected && !migration.has_attempt_in_flight() {
            self.jobs.release(&job.request_id);
            return;
        }
        self.jobs.insert(id, job);
        let in_flight = migration.attempts.iter().zip(0..).filter(|(attempt, _)| attempt.in_flight);
        for (attempt, number) in in_flight {
            let timer = Timer::AttemptTimeout(AttemptId { job: id, number });
            self.timers.schedule(attempt.expires_at.to_timestamp(), timer);
        }
        // The dispatcher always accepts a job that it has just released.
        self.dispatcher.adopt_job(self.clock.now(), id, &migration.job, &mut self.actions);
        self.perform_actions();
        if is_client_disconnected {
            self.apply_event(Event::ClientDisconnected { job: id });
        }
    }

    /// Reserves the request id of a job from the peer process, and reports whether the job can be accepted.
    pub(super) fn start_incoming_migration(&mut self, incoming: IncomingMigration<T::Payload>) {
        let IncomingMigration { migration, payload, job_handle, response_channel, accepted } = incoming;
        let request_id = Rc::<str>::from(migration.request_id());
        let is_in_use = self.jobs.find(&request_id).is_some();
        if is_in_use || !self.dispatcher.accepts_migrated_job(&migration.job) {
            // Fails if the link is lost: the peer keeps the job in either case.
            let _ = accepted.send(false);
            return;
        }
        let job_id = self.jobs.reserve(Rc::clone(&request_id));
        job_handle.set_job_id(job_id);
        let incoming = IncomingJob { request_id, migration, payload, response_channel, job_handle };
        self.migrations.insert_incoming(job_id, incoming);
        // Fails if the link is lost: `MigrationConfirmed` then reports that the migration was rolled back.
        let _ = accepted.send(true);
    }

    /// Ends a migration from the peer process: either this process now owns the job, or the peer still owns
    /// it.
    pub(super) fn finish_incoming_migration(&mut self, job_handle: &JobHandle, outcome: MigrationOutcome) {
        let Some(id) = job_handle.job_id() else { return };
        let Some(incoming) = self.migrations.remove_incoming(id) else { return };
        let now = self.clock.now();
        let is_adopted = outcome == MigrationOutcome::Accepted
            && self.dispatcher.adopt_job(now, id, &incoming.migration.job, &mut self.actions);
        if is_adopted {
            self.add_migrated_job(id, now, incoming);
        } else {
            self.jobs.release(&incoming.request_id);
        }
    }

    /// Adds a job that the dispatcher has adopted to the table, and resumes its attempts.
    fn add_migrated_job(&mut self, id: JobId, now: Timestamp, incoming: IncomingJob<T::Payload>) {
        let IncomingJob { request_id, migration, payload, response_channel, job_handle } = incoming;
        let payload = Rc::new(payload);
        let resumed = ResumedJob { id, request_id: &request_id, payload: &payload, now };
        let attempts = migration
            .attempts
            .into_iter()
            .zip(0..)
            .map(|(attempt, number)| self.resume_attempt(&resumed, number, attempt))
            .collect();
        debug!(target: DISPATCH, %request_id, "migrated job adopted");
        self.metrics.add(Counter::JobsMigratedHere);
        self.jobs.insert(
            id,
            Job {
                request_id,
                class: migration.job.class(),
                submitted_at: migration.submitted_at.to_timestamp(),
                deadline: migration.job.deadline(),
                payload,
                response_channel: Some(response_channel),
                job_handle,
                attempts,
            },
        );
        self.perform_actions();
    }

    /// Passes an attempt that is in flight to the transport. Any other attempt is only recorded, as ended.
    fn resume_attempt(
        &mut self,
        job: &ResumedJob<'_, T::Payload>,
        number: u32,
        migrated: MigratedAttempt,
    ) -> Attempt {
        let expires_at = migrated.expires_at.to_timestamp();
        let mut state = AttemptState::Ended;
        let mut cancel = None;
        // The peer process has written the first byte of the attempt, so this permit has no effect.
        let send_permit = Rc::<SendPermit>::default();
        if let (true, Some(address)) = (migrated.in_flight, migrated.address) {
            let attempt_id = AttemptId { job: job.id, number };
            let (cancel_channel, cancel_receiver) = oneshot::channel();
            state = AttemptState::InFlight;
            cancel = Some(cancel_channel);
            self.timers.schedule(expires_at, Timer::AttemptTimeout(attempt_id));
            self.worker_client.resume_attempt(AttemptRequest {
                id: attempt_id,
                request_id: Rc::clone(job.request_id),
                address,
                payload: Rc::clone(job.payload),
                timeout: expires_at.saturating_since(job.now).into(),
                needs_new_connection: false,
                cancel: cancel_receiver,
                send_permit: Rc::clone(&send_permit),
            });
        }
        Attempt {
            worker_name: migrated.worker_name.into(),
            address: migrated.address,
            state,
            accepted: true,
            progress: migrated.progress,
            last_callback: migrated.last_callback,
            cancel,
            send_permit,
            expires_at,
        }
    }
}
