//! Attempts in flight: attempts that were sent to a worker and have not ended.

use super::job::AttemptId;
use crate::{JobId, TimeSpan, Timestamp};

/// Estimated total work of a running attempt, as a multiple of its hint. Hints are rough.
const RUNNING_HINT_FACTOR: f64 = 1.1;
/// Minimum remaining work of a running attempt, as a share of the work done. The distribution of work has a
/// long tail.
const MIN_REMAINING_SHARE: f64 = 0.35;

/// Attempt that was sent to a worker and has not ended.
pub(crate) struct InFlightAttempt {
    /// Job of the attempt.
    pub job: JobId,
    /// Number of the attempt among the attempts of the job, from 0.
    pub number: u32,
    /// Hinted work, fetch included, in seconds at speed 1.
    pub work: f64,
    /// Number of slots that the attempt takes.
    pub slots: f64,
    /// Time at which the attempt was sent.
    pub sent_at: Timestamp,
    /// Whether the worker has accepted the attempt.
    pub accepted: bool,
    /// Whether revocation has been requested. It is requested once only.
    pub revoked: bool,
    /// Whether the attempt was written to a connection that had closed while it was idle.
    pub on_stale_connection: bool,
    /// Wait predicted when the attempt was sent, in seconds.
    pub predicted_wait: f64,
    /// Time at which the attempt started to run; `None` if it has not started.
    pub started_at: Option<Timestamp>,
    /// Last progress report.
    pub progress: Option<Progress>,
    /// Estimate used in place of a hint; `None` if the job came with a hint.
    pub unhinted: Option<UnhintedWork>,
}

/// Progress of an attempt as reported by its worker.
#[derive(Clone, Copy)]
pub(crate) struct Progress {
    /// Completed fraction, from 0 to 1.
    pub fraction_done: f64,
    /// Time at which the report arrived.
    pub at: Timestamp,
}

/// Estimate used in place of a missing hint.
#[derive(Clone, Copy)]
pub(crate) struct UnhintedWork {
    /// Index of the job's class in the settings.
    pub class: usize,
    /// Estimated work, in seconds at speed 1.
    pub work: f64,
}

impl InFlightAttempt {
    /// Returns the identifier of the attempt.
    pub fn id(&self) -> AttemptId {
        AttemptId { job: self.job, number: self.number }
    }

    /// Returns whether the worker should have accepted the attempt by now and has not. The timeout is 0 for
    /// workers that do not report acceptance.
    pub fn is_acceptance_overdue(&self, now: Timestamp, timeout: TimeSpan) -> bool {
        !timeout.is_zero() && !self.accepted && now > self.sent_at + timeout
    }

    /// Returns whether the attempt has started, according to the reports of the worker or the predicted
    /// start.
    pub fn has_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// Returns the remaining work in seconds at speed 1, estimated from the reported progress or, without a
    /// report, from the hint.
    pub fn remaining_work(&self, now: Timestamp, speed: f64) -> f64 {
        let Some(started_at) = self.started_at else { return self.work };
        let run_time = now.seconds_since(started_at);
        match self.progress {
            Some(progress) if progress.fraction_done > 0.0 => {
                (progress.at.seconds_since(started_at) / progress.fraction_done - run_time).max(0.0) * speed
            }
            _ => (self.work * RUNNING_HINT_FACTOR - run_time * speed)
                .max(MIN_REMAINING_SHARE * run_time * speed),
        }
    }

    /// Returns the seconds since the predicted start; negative before it.
    pub fn start_delay(&self, now: Timestamp) -> f64 {
        now.seconds_since(self.sent_at) - self.predicted_wait
    }
}
