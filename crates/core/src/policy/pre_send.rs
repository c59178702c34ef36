//! Decides on attempts between the decision to send them and their first byte, where an embedder's way to a worker
//! takes time: a connection that rests, a place for one, a dial. It must never choose a worker, and never take back
//! what may have left.

use crate::dispatcher::Dispatcher;
use crate::interface::*;
use crate::policy::DEDUPLICATION_MARGIN;
use crate::state::*;

impl Dispatcher {
    /// A worker that takes nothing new gets nothing late either.
    pub(crate) fn revoke_attempts(&mut self, out: &mut Vec<Action>) {
        out.extend(
            self.fleet
                .pending_revocations
                .drain(..)
                .map(|(job, attempt)| Action::RevokeAttempt { job, attempt }),
        );
    }

    /// Whether an attempt that is out was recalled.
    pub(crate) fn is_revoked(&self, job: JobId, attempt: u32) -> bool {
        let at = self.worker_index_of(job, attempt).map(|i| self.fleet.workers[i].id);
        at.and_then(|at| self.in_flight_attempt(job, attempt, at)).is_some_and(|f| f.revoked)
    }

    /// A job whose recalled attempt never left is where it was before, and waits for a worker if none may take it now:
    /// that was no failure, and costs no retry. False where it is not as it came, and what follows is to be decided.
    pub(crate) fn requeue_unsent_job(&mut self, now: Micros, id: JobId, out: &mut Vec<Action>) -> bool {
        let most = (self.settings.max_attempts as usize).min(MAX_ATTEMPTS);
        let as_it_came = |job: &Job| {
            !job.is_answered
                && job.in_flight().next().is_none()
                && job.first_possible_run().is_none()
                && job.attempts.len() < most
        };
        if !self.jobs.get(&id).is_some_and(as_it_came) {
            return false;
        }
        if let Some(job) = self.jobs.remove(&id) {
            self.enqueue_job(job);
            self.dispatch_pending(now, out);
        }
        true
    }

    /// Until when the attempt booked last may leave: within the window of a keyed repeat, and while this node can stand
    /// for the list that it goes by.
    pub(crate) fn latest_send(&self, job: &Job) -> Option<Micros> {
        self.deduplication_ends(job).into_iter().chain(self.discovery.leave_by()).min()
    }

    /// A keyed repeat has to be with its worker while that discards it: however long it waits for its connection, it
    /// leaves no later than the shortest way before that ends.
    fn deduplication_ends(&self, job: &Job) -> Option<Micros> {
        let Idempotency::WithKey { window, .. } = self.settings.classes[job.class].idempotency else {
            return None;
        };
        let (_, earlier) = job.attempts.split_last()?;
        let first = earlier.iter().find(|a| !a.outcome.is_some_and(Outcome::never_ran))?;
        Some(first.deduplicated_until(window).saturating_sub(DEDUPLICATION_MARGIN))
    }
}
