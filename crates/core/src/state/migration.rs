//! Migration of an open job, with all its attempts, from one process of a node to its peer.
//!
//! | step | process | call |
//! | --- | --- | --- |
//! | release | the one that releases the job | [`Dispatcher::release_job`](crate::Dispatcher::release_job) |
//! | check | the one that adopts the job | [`Dispatcher::accepts_migrated_job`](crate::Dispatcher::accepts_migrated_job) |
//! | adopt | the one that adopts the job | [`Dispatcher::adopt_job`](crate::Dispatcher::adopt_job) |
//!
//! The attempts in flight continue. The embedder reports their further events to the process that adopted the
//! job.
//!
//! The record is not trusted: every value is checked and bounded when the job is adopted. The serialized
//! names are part of the protocol between processes of all versions. Times are in microseconds since the Unix
//! epoch.

use serde::{Deserialize, Serialize};

use super::untrusted::{clamp_seconds, clamp_slots};
use super::{Attempt, AttemptId, InFlightAttempt, Job, MAX_ATTEMPTS, Progress};
use crate::{
    CellId, ClassId, JobId, JobSubmission, Outcome, Settings, TenantId, Timestamp, WorkerId, ZoneId,
};

/// Job that migrates to the peer. The fields are those of the record of a job.
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

/// Attempt of a migrated job.
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

/// Record of an attempt in flight. The fields are those of [`InFlightAttempt`].
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

/// Last progress report of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, Timestamp)", into = "(f64, Timestamp)")]
struct MigratedProgress {
    /// Completed fraction, from 0 to 1.
    fraction_done: f64,
    /// Time at which the report arrived.
    at: Timestamp,
}

impl MigratedJob {
    /// Returns the class of the job.
    pub fn class(&self) -> ClassId {
        ClassId(self.class)
    }

    /// Returns the time at which the client stops waiting.
    pub fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// Creates the record of a job that is released. `remove_in_flight` removes an attempt in flight from the
    /// record of its worker.
    pub(crate) fn capture(
        job: &Job,
        mut remove_in_flight: impl FnMut(WorkerId, AttemptId) -> Option<InFlightAttempt>,
    ) -> Self {
        let numbered = job.attempts.iter().zip(0..);
        let attempts = numbered.map(|(attempt, number)| {
            MigratedAttempt::new(attempt, remove_in_flight(attempt.worker, AttemptId { job: job.id, number }))
        });
        MigratedJob {
            class: job.class,
            over_quota: job.over_quota,
            weight: job.weight,
            is_first_submission: job.is_first_submission,
            work: job.work,
            slots: job.slots,
            key: job.key,
            objective_at: job.objective_at,
            deadline: job.deadline,
            attempts: attempts.collect(),
        }
    }

    /// Returns whether the job can be adopted: its class exists, its values are finite and not negative, and
    /// it has at most [`MAX_ATTEMPTS`] attempts.
    pub(crate) fn is_valid(&self, settings: &Settings) -> bool {
        let values = [self.work, self.slots, self.weight];
        self.class < settings.classes.len()
            && values.iter().all(|value| value.is_finite() && *value >= 0.0)
            && self.attempts.len() <= MAX_ATTEMPTS
    }

    /// Returns the job under its new id.
    pub(crate) fn restore(&self, id: JobId) -> Job {
        Job {
            over_quota: self.over_quota,
            weight: self.weight,
            is_first_submission: self.is_first_submission,
            work: self.work,
            slots: self.slots,
            objective_at: self.objective_at,
            attempts: self.attempts.iter().map(MigratedAttempt::restore).collect(),
            ..Job::new(&self.submission(id))
        }
    }

    /// Returns the attempts that are in flight, each with its worker.
    pub(crate) fn restore_in_flight(
        &self,
        now: Timestamp,
        job: JobId,
    ) -> impl Iterator<Item = (WorkerId, InFlightAttempt)> {
        let numbered = self.attempts.iter().zip(0..);
        numbered.filter_map(move |(attempt, number)| {
            let in_flight = attempt.in_flight.as_ref().filter(|_| attempt.outcome.is_none())?;
            let attempt_id = AttemptId { job, number };
            Some((WorkerId(attempt.worker), in_flight.restore(now, attempt_id, attempt.sent_at)))
        })
    }

    fn submission(&self, id: JobId) -> JobSubmission {
        JobSubmission {
            job: id,
            class: ClassId(self.class),
            // Not used: the process to which the client submitted the job has charged the quota.
            tenant: TenantId(0),
            deadline: self.deadline,
            cost_hint: None,
            slots: self.slots,
            key: self.key,
            is_retry: !self.is_first_submission,
        }
    }
}

impl MigratedAttempt {
    fn new(attempt: &Attempt, in_flight: Option<InFlightAttempt>) -> Self {
        MigratedAttempt {
            worker: attempt.worker.0,
            zone: attempt.zone.0,
            cell: attempt.cell.0,
            sent_at: attempt.sent_at,
            outcome: attempt.outcome,
            in_flight: in_flight.map(MigratedInFlight::from),
        }
    }

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

impl MigratedInFlight {
    fn restore(&self, now: Timestamp, id: AttemptId, sent_at: Timestamp) -> InFlightAttempt {
        InFlightAttempt {
            job: id.job,
            number: id.number,
            work: clamp_seconds(self.work).unwrap_or(0.0),
            slots: clamp_slots(self.slots).unwrap_or(1.0),
            sent_at: sent_at.min(now),
            accepted: self.accepted,
            revoked: false,
            on_stale_connection: false,
            predicted_wait: clamp_seconds(self.predicted_wait).unwrap_or(0.0),
            started_at: self.started_at.map(|time| time.min(now)),
            progress: self.progress.map(|progress| progress.restore(now)),
            unhinted: None,
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
        Progress { fraction_done: self.fraction_done.clamp(0.0, 1.0), at: self.at.min(now) }
    }
}

impl From<Progress> for MigratedProgress {
    fn from(progress: Progress) -> Self {
        MigratedProgress { fraction_done: progress.fraction_done, at: progress.at }
    }
}

impl From<(f64, Timestamp)> for MigratedProgress {
    fn from((fraction_done, at): (f64, Timestamp)) -> Self {
        MigratedProgress { fraction_done, at }
    }
}

impl From<MigratedProgress> for (f64, Timestamp) {
    fn from(progress: MigratedProgress) -> Self {
        (progress.fraction_done, progress.at)
    }
}
