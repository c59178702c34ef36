//! Admission: the work, weight, quota and latency objective of a submitted job, and whether the job is
//! accepted.

use super::deadlines::{DeadlineContext, RESPONSE_MARGIN};
use crate::permission::EndpointLease;
use crate::state::{AdmissionState, Fleet, Job, MAX_JOB_SLOTS, RELIABLE_HINT_SHARE, clamp_job_work};
use crate::{JobSubmission, Settings, TimeSpan, Timestamp};

/// Time within which a first submission reaches this node. A job that has waited for this time or longer
/// counts as a client retry.
const MAX_TRANSIT: TimeSpan = TimeSpan::from_millis(15);

/// Decision on a submitted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionDecision {
    /// The job is queued.
    Queue,
    /// The job is answered at once, since it cannot be served in time.
    RejectOrFail,
    /// The client of the job is redirected to another node.
    Redirect,
}

/// Decides on a submitted job.
pub(crate) fn decide(context: &DeadlineContext, lease: &EndpointLease, job: &Job) -> AdmissionDecision {
    if context.now + RESPONSE_MARGIN >= job.deadline || context.exceeds_shutdown_deadline(job) {
        // This is probably the last retry of a client: its deadline would pass before the next sweep.
        return AdmissionDecision::RejectOrFail;
    }
    if job.is_first_submission && lease.is_hold_limit_exceeded(context.now) {
        // This node alone may be cut off from discovery, so the client is redirected once. Its retry is
        // queued, since all nodes may be in the same state.
        return AdmissionDecision::Redirect;
    }
    AdmissionDecision::Queue
}

/// Derives the work, weight and latency objective of a job from its submission, and charges the quota of its
/// tenant.
pub(crate) fn assess_job(
    now: Timestamp,
    settings: &Settings,
    fleet: &Fleet,
    admission: &mut AdmissionState,
    submission: &JobSubmission,
) -> Job {
    let class_index = submission.class.0;
    let class = &settings.classes[class_index];
    let hint = submission.cost_hint.filter(|hint| hint.is_finite() && *hint > 0.0);
    let estimate = fleet.estimate_unhinted_work(class_index);
    let work = hint.map_or(estimate, clamp_job_work);
    // A client retry has less time left than a first submission. Its objective counts from the first
    // submission.
    let time_left = submission.deadline.saturating_since(now).min(class.client_timeout);
    let waited = admission.estimate_client_wait(class_index, time_left);
    let is_first_submission = !submission.is_retry && waited < MAX_TRANSIT;
    let work_allowance =
        TimeSpan::from_secs_f64(class.latency_objective_work_factor * work * RELIABLE_HINT_SHARE);
    let objective_at = (now + class.latency_objective + work_allowance).saturating_sub(waited);
    let slots = if submission.slots.is_finite() { submission.slots.clamp(1.0, MAX_JOB_SLOTS) } else { 1.0 };
    let weight = class.priority_weight / admission.max_priority_weight / slots;
    let over_quota = admission.charge_quota(now, settings, submission.tenant.0, is_first_submission);
    let mut job = Job::new(submission);
    job.over_quota = over_quota;
    job.weight = if over_quota { weight * settings.over_quota_weight } else { weight };
    job.is_first_submission = is_first_submission;
    job.work = work;
    job.is_unhinted = hint.is_none();
    job.slots = slots;
    job.objective_at = objective_at;
    job
}
