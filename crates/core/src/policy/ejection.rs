//! Outlier ejection: which workers are avoided, and for how long after failures.

use crate::state::{Dispatcher, EndedAttempt, Job, Worker};
use crate::{Outcome, TimeSpan, Timestamp};

/// Mean time of a first ejection, in seconds; it doubles with each failure in a row.
const BASE_EJECTION_S: f64 = 0.1;
/// Most doublings of that time.
const MAX_EJECTION_DOUBLINGS: u32 = 6;

impl Dispatcher {
    /// Whether a worker is avoided: while it does not accept what it was sent, while it is ejected, and then
    /// until an idempotent job has been served there. A late start counts in w instead.
    pub(super) fn is_avoided(&self, now: Timestamp, worker: &Worker, job: &Job) -> bool {
        let may_probe = self.is_idempotent(job) && worker.in_flight.is_empty();
        let on_trial = worker.health.consecutive_failures > 1 && !may_probe;
        now < worker.health.ejected_until
            || on_trial
            || worker.has_overdue_acceptance(now, self.settings.accept_timeout)
    }

    /// Updates a worker's health and estimates by the end of an attempt there.
    pub(crate) fn assess_worker(&mut self, now: Timestamp, ended: &EndedAttempt) {
        let (index, attempt) = (ended.worker_index, &ended.attempt);
        match ended.outcome {
            Outcome::Done => self.record_success(now, index, attempt),
            // A broken connection alone does not show a restart, so a warm worker stays warm.
            Outcome::Unreachable => {
                self.fleet.workers[index].health.unreachable = true;
                self.eject_worker(now, index);
            }
            Outcome::Error | Outcome::Rejected | Outcome::Lost => self.eject_worker(now, index),
            Outcome::TimedOut if !attempt.has_started() => self.eject_worker(now, index),
            Outcome::Cancelled if attempt.is_acceptance_overdue(now, self.settings.accept_timeout) => {
                self.eject_worker(now, index);
            }
            Outcome::Cancelled if !attempt.has_started() => self.record_cancelled_wait(now, index, attempt),
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Ejects a worker, with exponential backoff so that a dead one costs few attempts, and with jitter so
    /// that nodes do not return in step.
    fn eject_worker(&mut self, now: Timestamp, index: usize) {
        let jitter = 0.75 + 0.5 * self.rng.f64();
        let health = &mut self.fleet.workers[index].health;
        let factor = f64::from(1u32 << health.consecutive_failures.min(MAX_EJECTION_DOUBLINGS));
        health.ejected_until = now + TimeSpan::from_secs_f64(BASE_EJECTION_S * factor * jitter);
        health.consecutive_failures += 1;
    }
}
