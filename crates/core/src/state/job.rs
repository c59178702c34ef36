//! Record of a job: the contents of its submission, and its attempts.

use arrayvec::ArrayVec;

use crate::{CellId, JobId, JobSubmission, Outcome, TimeSpan, Timestamp, WorkerId, ZoneId};

/// Maximum number of attempts of one job. Settings that allow more are reduced to it.
pub(crate) const MAX_ATTEMPTS: usize = 8;
/// Maximum number of slots of one job. Submissions that request more are reduced to it.
pub(crate) const MAX_JOB_SLOTS: f64 = 64.0;
/// Minimum work of a job, in seconds at speed 1.
const MIN_JOB_WORK: f64 = 1e-4;
/// Maximum work of a job, in seconds at speed 1.
const MAX_JOB_WORK: f64 = 1e4;

/// Clamps the hinted or estimated work of a job, in seconds at speed 1.
pub(crate) fn clamp_job_work(work: f64) -> f64 {
    work.clamp(MIN_JOB_WORK, MAX_JOB_WORK)
}

/// Attempt of a job, in flight or ended.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    /// Worker to which the attempt was sent.
    pub worker: WorkerId,
    /// Zone of the worker when the attempt was sent.
    pub zone: ZoneId,
    /// Cell of the worker when the attempt was sent.
    pub cell: CellId,
    /// Time at which the attempt was sent.
    pub sent_at: Timestamp,
    /// Outcome of the attempt; `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// Returns the end of the deduplication window of the attempt. Duplicate runs are discarded before it.
    pub fn deduplicated_until(&self, window: TimeSpan) -> Timestamp {
        self.sent_at.saturating_add(window)
    }

    /// Returns whether the attempt may have run the job.
    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// Identifier of an attempt of any job.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct AttemptId {
    /// Job of the attempt.
    pub job: JobId,
    /// Number of the attempt among the attempts of the job, from 0.
    pub number: u32,
}

/// Reference to an attempt within its job.
#[derive(Clone, Copy)]
pub(crate) struct AttemptRef {
    /// Number of the attempt among the attempts of the job, from 0.
    pub number: u32,
    /// Worker to which the attempt was sent.
    pub worker: WorkerId,
}

/// Job that this node has accepted.
#[derive(Clone)]
pub(crate) struct Job {
    /// Identifier of the job.
    pub id: JobId,
    /// Index of the class of the job in the settings.
    pub class: usize,
    /// Whether the job exceeds this node's part of the quota of its tenant.
    pub over_quota: bool,
    /// Priority weight per slot, as a share of the highest priority weight of any class. It is reduced if the
    /// job exceeds the quota, see [`Settings::over_quota_weight`](crate::Settings::over_quota_weight).
    pub weight: f64,
    /// Whether the job is a first submission, as opposed to a client retry.
    pub is_first_submission: bool,
    /// Hinted work, in seconds at speed 1.
    pub work: f64,
    /// Whether the job was submitted without a hint. `work` is then an estimate for its class.
    pub is_unhinted: bool,
    /// Number of slots that the job takes.
    pub slots: f64,
    /// Affinity key: the hash of the data that the job needs.
    pub key: Option<u64>,
    /// Time by which the job must be answered to meet its latency objective.
    pub objective_at: Timestamp,
    /// Time at which the client stops waiting.
    pub deadline: Timestamp,
    /// Attempts in the order in which they were sent.
    pub(super) attempts: ArrayVec<Attempt, MAX_ATTEMPTS>,
    /// Whether the response has begun to stream to the client. No more decisions are made for the job then.
    pub(super) is_streaming: bool,
    /// Whether the job has its final response, or no longer needs one.
    pub(super) is_answered: bool,
}

impl Job {
    /// Returns a job as submitted, before admission has set the derived fields.
    pub fn new(submission: &JobSubmission) -> Self {
        Job {
            id: submission.job,
            class: submission.class.0,
            over_quota: false,
            weight: 1.0,
            is_first_submission: true,
            work: 0.0,
            is_unhinted: false,
            slots: 1.0,
            key: submission.key,
            objective_at: Timestamp::ORIGIN,
            deadline: submission.deadline,
            attempts: ArrayVec::new(),
            is_streaming: false,
            is_answered: false,
        }
    }

    /// Returns the work that the job puts on a worker, in seconds at speed 1: all its slots for the time of
    /// its run.
    pub fn load(&self) -> f64 {
        self.work * self.slots
    }

    /// Records an attempt that is being sent.
    pub fn record_attempt(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
    }

    /// Returns the number of attempts so far.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Records that the response has begun to stream to the client.
    pub fn mark_streaming(&mut self) {
        self.is_streaming = true;
    }

    /// Records that the job has its final response, or no longer needs one.
    pub fn mark_answered(&mut self) {
        self.is_answered = true;
    }

    /// Returns whether the job has its final response, or no longer needs one.
    pub fn is_answered(&self) -> bool {
        self.is_answered
    }

    /// Returns whether the job needs a response that has not begun.
    pub fn is_open(&self) -> bool {
        !self.is_answered && !self.is_streaming
    }

    /// Returns the attempts in flight.
    pub fn in_flight(&self) -> impl Iterator<Item = AttemptRef> {
        let in_flight = self.attempts.iter().zip(0..).filter(|(attempt, _)| attempt.outcome.is_none());
        in_flight.map(|(attempt, number)| AttemptRef { number, worker: attempt.worker })
    }

    /// Returns whether no attempt is in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight().next().is_none()
    }

    /// Returns the first attempt that may have run the job.
    pub fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }

    /// Returns a copy of the job in which one of the attempts is cancelled.
    pub fn with_cancelled_attempt(&self, number: u32) -> Job {
        let mut job = self.clone();
        if let Some(attempt) = job.attempts.get_mut(number as usize) {
            attempt.outcome = Some(Outcome::Cancelled);
        }
        job
    }

    /// Returns the number of cancelled attempts. Unlike attempts that failed or could not connect, these
    /// waited at their worker.
    pub fn cancelled_attempts(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.outcome == Some(Outcome::Cancelled)).count()
    }

    /// Returns whether a worker may still report the end of an earlier attempt that was cancelled or lost.
    /// Its callback names the job but not the attempt, and would be attributed to a new attempt at that
    /// worker.
    pub fn may_receive_stale_callback(&self, worker: WorkerId) -> bool {
        let may_still_end = |outcome| matches!(outcome, Some(Outcome::Cancelled | Outcome::Lost));
        self.attempts.iter().any(|attempt| attempt.worker == worker && may_still_end(attempt.outcome))
    }

    /// Returns whether an attempt of the job was sent to a worker.
    pub fn was_sent_to(&self, worker: WorkerId) -> bool {
        self.attempts.iter().any(|attempt| attempt.worker == worker)
    }
}

/// Sort key of a job in the queue. Jobs that exceed a quota are last, since their responses have little
/// value. The other jobs are ordered by the latest start that meets their latency objective.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    /// Whether the job exceeds this node's part of the quota of its tenant.
    pub over_quota: bool,
    /// Latest start that meets the latency objective.
    pub latest_start: Timestamp,
    /// Job in the queue.
    pub job: JobId,
}
