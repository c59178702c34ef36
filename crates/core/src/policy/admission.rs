//! Admission: what a submitted job may claim, and whether it is taken at all.

use super::deadlines::ANSWER_MARGIN;
use crate::state::{Dispatcher, Job, MAX_JOB_SLOTS, RELIABLE_HINT_SHARE, clamp_job_work};
use crate::{Action, JobSubmission, TimeSpan, Timestamp};

/// A job that has waited no longer than this, on its way here, is a first submission.
const MAX_TRANSIT: TimeSpan = TimeSpan::from_millis(15);

impl Dispatcher {
    /// Takes a submitted job into the queue, or answers it at once.
    pub(crate) fn admit_job(
        &mut self,
        now: Timestamp,
        submission: &JobSubmission,
        actions: &mut Vec<Action>,
    ) {
        if submission.class.0 >= self.settings.classes.len() {
            return actions.push(Action::Fail { job: submission.job });
        }
        if self.jobs.contains_key(&submission.job) {
            return;
        }
        let mut job = self.assess_job(now, submission);
        if now + ANSWER_MARGIN >= job.deadline || self.outlasts_shutdown(now, &job) {
            // Probably a client's last retry: its time would be up before the next sweep.
            return self.reject_or_fail(&mut job, actions);
        }
        if job.is_first_submission && self.poll_schedule.is_hold_long(now) {
            // This node alone may be cut off from discovery: the client is sent elsewhere once. Its retry is held, since
            // all nodes may be in the same state.
            return self.redirect(&mut job, actions);
        }
        self.budgets.earn(&job, self.fleet.prompt_start_share);
        self.demand.record_submitted(now, &job);
        self.fleet.record_key(job.key);
        self.fleet.record_work(job.work);
        self.enqueue_job(job);
        self.dispatch_pending(now, actions);
    }

    /// Derives a job's work, weight and latency objective from its submission, and charges its tenant's
    /// quota.
    fn assess_job(&mut self, now: Timestamp, submission: &JobSubmission) -> Job {
        let class_index = submission.class.0;
        let class = &self.settings.classes[class_index];
        let hint = submission.cost_hint.filter(|hint| hint.is_finite() && *hint > 0.0);
        let estimate = self.fleet.estimate_unhinted_work(class_index);
        let work = hint.map_or(estimate, clamp_job_work);
        // A client's retry has less time left than a first submission: its objective counts from the latter.
        let time_left = submission.deadline.saturating_since(now).min(class.client_timeout);
        let waited = self.admission.time_waited(class_index, time_left);
        let is_first_submission = !submission.is_retry && waited < MAX_TRANSIT;
        let stretch = TimeSpan::from_secs_f64(class.latency_objective_stretch * work * RELIABLE_HINT_SHARE);
        let objective_at = (now + class.latency_objective + stretch).saturating_sub(waited);
        let slots =
            if submission.slots.is_finite() { submission.slots.clamp(1.0, MAX_JOB_SLOTS) } else { 1.0 };
        let weight = class.priority_weight / self.admission.max_priority_weight / slots;
        let tenant = submission.tenant.0;
        let over_quota = self.admission.charge_quota(now, &self.settings, tenant, is_first_submission);
        Job {
            over_quota,
            weight: if over_quota { weight * self.settings.over_quota_weight } else { weight },
            is_first_submission,
            work,
            is_unhinted: hint.is_none(),
            slots,
            objective_at,
            ..Job::new(submission)
        }
    }
}
