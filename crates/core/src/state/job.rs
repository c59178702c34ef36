//! One job: what its submission contained, and the attempts made for it.

use arrayvec::ArrayVec;

use crate::{CellId, JobId, JobSubmission, Outcome, TimeSpan, Timestamp, WorkerId, ZoneId};

/// Most attempts of one job; settings that allow more are cut to this.
pub(crate) const MAX_ATTEMPTS: usize = 8;
/// Most slots of one job; submissions that ask for more are cut to this.
pub(crate) const MAX_JOB_SLOTS: f64 = 64.0;
/// Least work of a job, in seconds at speed 1.
const MIN_JOB_WORK: f64 = 1e-4;
/// Most work of a job, in seconds at speed 1.
const MAX_JOB_WORK: f64 = 1e4;

/// Bounds the work of a job, whether hinted or estimated, in seconds at speed 1.
pub(crate) fn clamp_job_work(work: f64) -> f64 {
    work.clamp(MIN_JOB_WORK, MAX_JOB_WORK)
}

/// One attempt of a job, in flight or ended.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    /// Where it was sent.
    pub worker: WorkerId,
    /// The worker's zone when it was sent.
    pub zone: ZoneId,
    /// The worker's cell when it was sent.
    pub cell: CellId,
    /// When it was sent.
    pub sent_at: Timestamp,
    /// How it ended; none while it is in flight.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// When repeats of what it ran are no longer discarded, given the length of that window.
    pub fn deduplicated_until(&self, window: TimeSpan) -> Timestamp {
        self.sent_at.saturating_add(window)
    }

    /// Whether the job may have run by it.
    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// Names an attempt of any job.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct AttemptId {
    /// Its job.
    pub job: JobId,
    /// Its number among the job's attempts, from 0.
    pub number: u32,
}

/// Names an attempt of a known job.
#[derive(Clone, Copy)]
pub(crate) struct AttemptRef {
    /// Its number among the job's attempts, from 0.
    pub number: u32,
    /// Where it was sent.
    pub worker: WorkerId,
}

/// A job that this node has taken.
#[derive(Clone)]
pub(crate) struct Job {
    /// Its number.
    pub id: JobId,
    /// Index of its class in the settings.
    pub class: usize,
    /// It is beyond this node's part of its tenant's quota.
    pub over_quota: bool,
    /// Priority weight of a slot's work, as a share of the highest.
    pub weight: f64,
    /// It is not a retry by its client.
    pub is_first_submission: bool,
    /// Hinted work, in seconds at speed 1.
    pub work: f64,
    /// It was submitted without a hint: its work is an estimate for its class.
    pub is_unhinted: bool,
    /// Slots that it takes.
    pub slots: f64,
    /// Affinity key: the hash of the data that it needs.
    pub key: Option<u64>,
    /// An answer after this misses its latency objective.
    pub objective_at: Timestamp,
    /// When its client stops waiting.
    pub deadline: Timestamp,
    /// Its attempts in the order of sends.
    pub(super) attempts: ArrayVec<Attempt, MAX_ATTEMPTS>,
    /// Its answer has begun to stream to the client; there are no more decisions on it.
    pub(super) is_streaming: bool,
    /// It has its final answer, or needs none any more.
    pub(super) is_answered: bool,
}

impl Job {
    /// A job as submitted, before admission has derived anything.
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

    /// Work that it puts on a worker, in seconds at speed 1: all its slots for as long as it runs.
    pub fn load(&self) -> f64 {
        self.work * self.slots
    }

    /// Records an attempt that is being sent.
    pub fn record_attempt(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
    }

    /// Number of attempts so far.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Its answer has begun to stream to the client.
    pub fn mark_streaming(&mut self) {
        self.is_streaming = true;
    }

    /// It has its final answer, or needs none any more.
    pub fn mark_answered(&mut self) {
        self.is_answered = true;
    }

    /// Whether it has its final answer, or needs none any more.
    pub fn is_answered(&self) -> bool {
        self.is_answered
    }

    /// Whether its answer has not begun.
    pub fn is_open(&self) -> bool {
        !self.is_answered && !self.is_streaming
    }

    /// Its attempts that are in flight.
    pub fn in_flight(&self) -> impl Iterator<Item = AttemptRef> {
        let open = self.attempts.iter().zip(0..).filter(|(attempt, _)| attempt.outcome.is_none());
        open.map(|(attempt, number)| AttemptRef { number, worker: attempt.worker })
    }

    /// Whether none of its attempts is in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight().next().is_none()
    }

    /// The first attempt that may have run.
    pub fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }

    /// The job as it would be if one of its attempts were cancelled.
    pub fn with_cancelled_attempt(&self, number: u32) -> Job {
        let mut job = self.clone();
        if let Some(attempt) = job.attempts.get_mut(number as usize) {
            attempt.outcome = Some(Outcome::Cancelled);
        }
        job
    }

    /// Number of its attempts that were cancelled: those waited at their worker, unlike ones that failed or
    /// could not connect.
    pub fn cancelled_attempts(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.outcome == Some(Outcome::Cancelled)).count()
    }

    /// Whether a worker may still report the end of an earlier attempt that was cancelled or lost. Its
    /// callback names the job but not the attempt, and would be taken for the end of a new attempt there.
    pub fn may_receive_stale_callback(&self, worker: WorkerId) -> bool {
        let open = |outcome| matches!(outcome, Some(Outcome::Cancelled | Outcome::Lost));
        self.attempts.iter().any(|attempt| attempt.worker == worker && open(attempt.outcome))
    }

    /// Whether an attempt of it went to that worker.
    pub fn was_sent_to(&self, worker: WorkerId) -> bool {
        self.attempts.iter().any(|attempt| attempt.worker == worker)
    }
}

/// Sort key of a job in the queue. Jobs beyond a quota come last, since their answers have little value; the
/// others are ordered by the latest start that meets their objective.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    /// The job is beyond its tenant's quota.
    pub over_quota: bool,
    /// Latest start with which its objective can be met.
    pub start_by: Timestamp,
    /// Which job.
    pub job: JobId,
}
