//! Decides on attempts between the decision to send them and their first byte, where an embedder's way to a worker
//! takes time: a connection that rests, a place for one, a dial. It must never choose a worker, and never take back
//! what may have left.

use crate::dispatcher::Dispatcher;
use crate::interface::*;
use crate::policy::WINDOW_MARGIN;
use crate::state::*;

impl Dispatcher {
    /// A worker that takes nothing new gets nothing late either.
    pub(crate) fn recall(&mut self, out: &mut Vec<Action>) {
        out.extend(self.fleet.recalls.drain(..).map(|(job, attempt)| Action::RevokeAttempt { job, attempt }));
    }

    /// Whether an attempt that is out was recalled.
    pub(crate) fn was_recalled(&self, job: JobId, attempt: u32) -> bool {
        let at = self.worker_of(job, attempt).map(|i| self.fleet.workers[i].id);
        at.and_then(|at| self.flight(job, attempt, at)).is_some_and(|f| f.recalled)
    }

    /// A job whose recalled attempt never left is where it was before, and waits for a worker if none may take it now:
    /// that was no failure, and costs no retry. False where it is not as it came, and what follows is to be decided.
    pub(crate) fn back_in_line(&mut self, now: Micros, id: JobId, out: &mut Vec<Action>) -> bool {
        let most = (self.settings.max_attempts as usize).min(MAX_ATTEMPTS);
        let as_it_came = |job: &Job| {
            !job.ended
                && job.live().next().is_none()
                && job.may_have_run().is_none()
                && job.attempts.len() < most
        };
        if !self.jobs.get(&id).is_some_and(as_it_came) {
            return false;
        }
        if let Some(job) = self.jobs.remove(&id) {
            self.hold(job);
            self.dispatch(now, out);
        }
        true
    }

    /// Until when the attempt booked last may leave: within the window of a keyed repeat, and while this node can stand
    /// for the list that it goes by.
    pub(crate) fn leave_by(&self, job: &Job) -> Option<Micros> {
        self.window_ends(job).into_iter().chain(self.poll_schedule.send_by()).min()
    }

    /// A keyed repeat has to be with its worker while that discards it: however long it waits for its connection, it
    /// leaves no later than the shortest way before that ends.
    fn window_ends(&self, job: &Job) -> Option<Micros> {
        let Idempotency::WithKey { window, .. } = self.settings.classes[job.class].idempotency else {
            return None;
        };
        let (_, earlier) = job.attempts.split_last()?;
        let first = earlier.iter().find(|a| !a.end.is_some_and(Outcome::never_ran))?;
        Some(first.repeats_until(window).saturating_sub(WINDOW_MARGIN))
    }
}
