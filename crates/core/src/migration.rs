//! Job migration: an open job moves from one process of a node to another, with everything that was attempted for it.
//!
//! | step | process | call |
//! | --- | --- | --- |
//! | release | the one that gives the job up | [`Dispatcher::release_job`] |
//! | check | the one that takes it | [`Dispatcher::accepts_migrated_job`] |
//! | adopt | the one that takes it | [`Dispatcher::adopt_job`] |
//!
//! The attempts in flight continue; the embedder reports their further events to the process that adopted the job. The
//! record is not trusted: every figure is checked and bounded when the job is adopted. The serialized names are those
//! that processes of all versions exchange. Times are microseconds since the Unix epoch.

use serde::{Deserialize, Serialize};

use crate::state::{Attempt, InFlightAttempt, Job, MAX_ATTEMPTS, Progress};
use crate::untrusted::{bounded_seconds, bounded_slots};
use crate::{
    Action, CellId, ClassId, Dispatcher, JobId, JobSubmission, Outcome, TenantId, Timestamp, WorkerId, ZoneId,
};

/// A job that moves to another process of the node. Fields as in the record of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MigratedJob {
    class: usize,
    over_quota: bool,
    #[serde(rename = "value")]
    weight: f64,
    #[serde(rename = "first")]
    is_first_submission: bool,
    work: f64,
    slots: f64,
    key: Option<u64>,
    #[serde(rename = "aim_at")]
    objective_at: Timestamp,
    deadline: Timestamp,
    attempts: Vec<MigratedAttempt>,
}

/// An attempt of a job that moves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct MigratedAttempt {
    worker: u64,
    zone: u32,
    cell: u32,
    #[serde(rename = "sent")]
    sent_at: Timestamp,
    #[serde(rename = "end")]
    outcome: Option<Outcome>,
    #[serde(rename = "flight")]
    in_flight: Option<MigratedInFlight>,
}

/// What is known of an attempt in flight. Fields as in [`InFlightAttempt`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct MigratedInFlight {
    work: f64,
    slots: f64,
    accepted: bool,
    #[serde(rename = "foreseen")]
    predicted_wait: f64,
    #[serde(rename = "started")]
    started_at: Option<Timestamp>,
    progress: Option<MigratedProgress>,
}

/// The last progress report of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, Timestamp)", into = "(f64, Timestamp)")]
struct MigratedProgress {
    /// Completed fraction, from 0 to 1.
    share: f64,
    /// When it was reported.
    at: Timestamp,
}

impl MigratedJob {
    /// JobClass of the job.
    pub fn class(&self) -> ClassId {
        ClassId(self.class)
    }

    /// The moment at which the client stops waiting.
    pub fn deadline(&self) -> Timestamp {
        self.deadline
    }

    fn submission(&self, id: JobId) -> JobSubmission {
        JobSubmission {
            job: id,
            class: ClassId(self.class),
            // Unused: the quota was charged by the process that the client submitted the job to.
            tenant: TenantId(0),
            deadline: self.deadline,
            cost_hint: None,
            slots: self.slots,
            key: self.key,
            is_retry: !self.is_first_submission,
        }
    }

    /// The job without its attempts.
    fn restore(&self, id: JobId) -> Job {
        Job {
            over_quota: self.over_quota,
            weight: self.weight,
            is_first_submission: self.is_first_submission,
            work: self.work,
            slots: self.slots,
            objective_at: self.objective_at,
            ..Job::new(&self.submission(id))
        }
    }
}

impl Dispatcher {
    /// Removes a job that has no response yet, so that another process can adopt it. Its attempts in flight are not
    /// cancelled. None where there is no such job, or its response has begun.
    pub fn release_job(&mut self, job: JobId) -> Option<MigratedJob> {
        if !self.jobs.get(&job)?.is_open() {
            return None;
        }
        let job = self.jobs.remove(&job)?;
        self.queue.retain(|key| key.job != job.id);
        let numbered = job.attempts.iter().zip(0..);
        let attempts =
            numbered.map(|(attempt, number)| self.release_attempt(job.id, attempt, number)).collect();
        Some(MigratedJob {
            class: job.class,
            over_quota: job.over_quota,
            weight: job.weight,
            is_first_submission: job.is_first_submission,
            work: job.work,
            slots: job.slots,
            key: job.key,
            objective_at: job.objective_at,
            deadline: job.deadline,
            attempts,
        })
    }

    fn release_attempt(&mut self, job: JobId, attempt: &Attempt, number: u32) -> MigratedAttempt {
        let index = self.fleet.find(attempt.worker);
        let in_flight = index.and_then(|index| self.fleet.workers[index].remove_attempt(job, number));
        MigratedAttempt {
            worker: attempt.worker.0,
            zone: attempt.zone.0,
            cell: attempt.cell.0,
            sent_at: attempt.sent_at,
            outcome: attempt.outcome,
            in_flight: in_flight.map(MigratedInFlight::from),
        }
    }

    /// Whether a job can be adopted here: its class exists, and its figures are in range.
    pub fn accepts_migrated_job(&self, migrated: &MigratedJob) -> bool {
        let figures = [migrated.work, migrated.slots, migrated.weight];
        migrated.class < self.settings.classes.len()
            && figures.iter().all(|figure| figure.is_finite() && *figure >= 0.0)
            && migrated.attempts.len() <= MAX_ATTEMPTS
    }

    /// Adopts a job that another process of this node released, under a new number of this process. Returns false and
    /// changes nothing where the job cannot be adopted or the number is in use.
    pub fn adopt_job(
        &mut self,
        now: Timestamp,
        id: JobId,
        migrated: &MigratedJob,
        actions: &mut Vec<Action>,
    ) -> bool {
        if !self.accepts_migrated_job(migrated) || self.jobs.contains_key(&id) {
            return false;
        }
        let mut job = migrated.restore(id);
        for (attempt, number) in migrated.attempts.iter().zip(0..) {
            job.attempts.push(attempt.restore());
            self.restore_in_flight(now, &job, attempt, number);
        }
        if job.is_idle() {
            self.enqueue_job(job);
            self.dispatch_pending(now, actions);
        } else {
            self.store_job(job);
        }
        self.set_timer(now, actions);
        true
    }

    /// Records an attempt in flight at its worker, if it has no outcome and the worker is known here.
    fn restore_in_flight(&mut self, now: Timestamp, job: &Job, attempt: &MigratedAttempt, number: u32) {
        let Some(in_flight) = &attempt.in_flight else { return };
        let Some(index) = self.fleet.find(WorkerId(attempt.worker)) else { return };
        if attempt.outcome.is_some() {
            return;
        }
        let worker = &mut self.fleet.workers[index];
        if let Some(key) = job.key {
            worker.record_key(key);
        }
        worker.in_flight.push(InFlightAttempt {
            job: job.id,
            attempt: number,
            work: bounded_seconds(in_flight.work).unwrap_or(0.0),
            slots: bounded_slots(in_flight.slots).unwrap_or(1.0),
            sent_at: attempt.sent_at.min(now),
            accepted: in_flight.accepted,
            revoked: false,
            predicted_wait: bounded_seconds(in_flight.predicted_wait).unwrap_or(0.0),
            started_at: in_flight.started_at.map(|at| at.min(now)),
            progress: in_flight.progress.map(|progress| progress.restore(now)),
            unhinted: None,
        });
        worker.gossip_pending = true;
        worker.invalidate_estimates();
    }
}

impl MigratedAttempt {
    fn restore(&self) -> Attempt {
        Attempt {
            worker: WorkerId(self.worker),
            zone: ZoneId(self.zone),
            cell: CellId(self.cell),
            sent_at: self.sent_at,
            outcome: self.outcome,
        }
    }
}

impl From<InFlightAttempt> for MigratedInFlight {
    fn from(attempt: InFlightAttempt) -> Self {
        MigratedInFlight {
            work: attempt.work,
            slots: attempt.slots,
            accepted: attempt.accepted,
            predicted_wait: attempt.predicted_wait,
            started_at: attempt.started_at,
            progress: attempt.progress.map(MigratedProgress::from),
        }
    }
}

impl MigratedProgress {
    fn restore(self, now: Timestamp) -> Progress {
        Progress { share: self.share.clamp(0.0, 1.0), at: self.at.min(now) }
    }
}

impl From<Progress> for MigratedProgress {
    fn from(progress: Progress) -> Self {
        MigratedProgress { share: progress.share, at: progress.at }
    }
}

impl From<(f64, Timestamp)> for MigratedProgress {
    fn from((share, at): (f64, Timestamp)) -> Self {
        MigratedProgress { share, at }
    }
}

impl From<MigratedProgress> for (f64, Timestamp) {
    fn from(progress: MigratedProgress) -> Self {
        (progress.share, progress.at)
    }
}
