//! Attempts in flight: sent to a worker and not ended.

use super::job::AttemptId;
use crate::{JobId, TimeSpan, Timestamp};

/// Total work of a running attempt, as a multiple of its hint: hints are rough ...
const RUNNING_HINT_FACTOR: f64 = 1.1;
/// ... and least work that it has left, as a share of what it has done: work has a long tail.
const MIN_REMAINING_SHARE: f64 = 0.35;

/// An attempt that was sent to a worker and has not ended.
pub(crate) struct InFlightAttempt {
    /// Its job.
    pub job: JobId,
    /// Its number among the job's attempts, from 0.
    pub number: u32,
    /// Hinted work, fetch included, in seconds at speed 1.
    pub work: f64,
    /// Slots that it takes.
    pub slots: f64,
    /// When it was sent.
    pub sent_at: Timestamp,
    /// The worker has accepted it.
    pub accepted: bool,
    /// Its revocation was requested, which is done once.
    pub revoked: bool,
    /// It was written to a connection that had ended while it was idle.
    pub on_stale_connection: bool,
    /// Wait that was predicted when it was sent, in seconds.
    pub predicted_wait: f64,
    /// When it started to run.
    pub started_at: Option<Timestamp>,
    /// The last progress report.
    pub progress: Option<Progress>,
    /// Set where the job came without a hint.
    pub unhinted: Option<UnhintedWork>,
}

/// A worker's report on how far an attempt is.
#[derive(Clone, Copy)]
pub(crate) struct Progress {
    /// Share done, from 0 to 1.
    pub fraction_done: f64,
    /// When the report came.
    pub at: Timestamp,
}

/// The estimate that stood in for a missing hint.
#[derive(Clone, Copy)]
pub(crate) struct UnhintedWork {
    /// Index of the job's class in the settings.
    pub class: usize,
    /// Estimated work, in seconds at speed 1.
    pub work: f64,
}

impl InFlightAttempt {
    /// Its name.
    pub fn id(&self) -> AttemptId {
        AttemptId { job: self.job, number: self.number }
    }

    /// Whether the worker should have accepted it by now and has not. A timeout of 0 stands for workers that
    /// do not report it.
    pub fn is_acceptance_overdue(&self, now: Timestamp, timeout: TimeSpan) -> bool {
        !timeout.is_zero() && !self.accepted && now > self.sent_at + timeout
    }

    /// Whether it runs, as far as that is known.
    pub fn has_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// Work that it has left, in seconds at speed 1: by its progress if reported, else by its hint.
    pub fn remaining_work(&self, now: Timestamp, speed: f64) -> f64 {
        let Some(started_at) = self.started_at else { return self.work };
        let ran = now.seconds_since(started_at);
        match self.progress {
            Some(progress) if progress.fraction_done > 0.0 => {
                (progress.at.seconds_since(started_at) / progress.fraction_done - ran).max(0.0) * speed
            }
            _ => (self.work * RUNNING_HINT_FACTOR - ran * speed).max(MIN_REMAINING_SHARE * ran * speed),
        }
    }

    /// Seconds since the predicted start; negative before it.
    pub fn start_delay(&self, now: Timestamp) -> f64 {
        now.seconds_since(self.sent_at) - self.predicted_wait
    }
}
