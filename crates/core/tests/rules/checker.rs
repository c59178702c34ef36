//! Checker of the four rules, as invariants of the actions of a node. The checker shares no code with the
//! dispatcher.

use std::collections::{BTreeMap, BTreeSet};

use crate::common::*;

/// Maximum time by which a final response may be later than the deadline of its job.
const RESPONSE_TOLERANCE: TimeSpan = millis(20);
/// Maximum length of a gossip message.
const MAX_GOSSIP_BYTES: usize = 256;

/// Errors of [`Checker`]: violations of the rules and of the interface of the dispatcher.
#[derive(Debug, PartialEq)]
pub enum Violation {
    /// Rule 1: a job has a single final response, at most [`RESPONSE_TOLERANCE`] after its deadline.
    RepeatedOrLateResponse,
    /// Rule 1: every job has a final response.
    MissingResponse(JobId),
    /// Rule 1: no attempt is sent after the final response, or can last past the deadline.
    LateAttempt,
    /// Rule 2: a job that may have run is retried only as far as the idempotency of its class allows.
    UnsafeRetry,
    /// Rule 2: a job that may have run is rejected only if it is idempotent or every worker discards
    /// duplicate runs.
    UnsafeRejection,
    /// Rule 3: attempts are sent only to workers that are listed as ready and not disabled.
    UnavailableWorker,
    /// Rule 4: a worker that is warming up is sent at most its budget, in seconds of work.
    WarmUpBudgetExceeded { work: f64, budget: f64 },
    /// An action refers to a job that was not submitted.
    UnknownJob,
    /// A job has more attempts, or more attempts in flight, than the settings allow.
    TooManyAttempts,
    /// An attempt that was not sent was cancelled, or the settings do not allow cancellation.
    CancelledUnsentAttempt,
    /// An attempt that is not in flight was revoked.
    RevokedEndedAttempt,
    /// A gossip message is too long, or the settings do not allow gossip.
    ForbiddenGossip,
}

pub type CheckResult = Result<(), Violation>;

fn require(condition: bool, violation: Violation) -> CheckResult {
    if condition { Ok(()) } else { Err(violation) }
}

pub struct Attempt {
    /// Endpoint of the worker as listed when the attempt was sent.
    pub endpoint: Endpoint,
    sent_at: Timestamp,
    pub outcome: Option<Outcome>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

pub struct Job {
    pub submission: JobSubmission,
    pub attempts: Vec<Attempt>,
    pub is_answered: bool,
}

impl Job {
    /// Returns the seconds of work, summed over all slots.
    pub fn load(&self) -> f64 {
        self.submission.cost_hint.unwrap_or(0.1) * self.submission.slots
    }
}

/// State of the checker: the events that the node has received, and the actions that it has returned.
pub struct Checker {
    settings: Settings,
    pub jobs: BTreeMap<JobId, Job>,
    pub endpoints: BTreeMap<WorkerId, Endpoint>,
    /// Workers that an operator has disabled.
    pub disabled: BTreeSet<WorkerId>,
    /// Upper bound of the slots observed in use at any worker. It bounds the capacity at speed 1.
    pub slots: f64,
}

impl Checker {
    pub fn new(settings: Settings) -> Self {
        Checker {
            settings,
            jobs: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            disabled: BTreeSet::new(),
            slots: 1.0,
        }
    }

    pub fn record_submission(&mut self, submission: JobSubmission) {
        self.jobs.insert(submission.job, Job { submission, attempts: Vec::new(), is_answered: false });
    }

    pub fn check(&mut self, now: Timestamp, action: &Action) -> CheckResult {
        match action {
            Action::SendAttempt { job, worker, timeout, send_deadline, .. } => {
                let endpoint = self.endpoints.get(worker).cloned().ok_or(Violation::UnavailableWorker)?;
                self.check_in_time(*job, now + *timeout)?;
                self.check_send(now, &self.jobs[job], &endpoint, *send_deadline)?;
                self.job(*job)?.attempts.push(Attempt { endpoint, sent_at: now, outcome: None });
                Ok(())
            }
            Action::Reject { job, .. } => {
                self.check_final_response(now, *job)?;
                self.check_rejection(&self.jobs[job])
            }
            Action::Fail { job } => self.check_final_response(now, *job),
            Action::CancelAttempt { job, attempt } => {
                let is_sent = (*attempt as usize) < self.job(*job)?.attempts.len();
                require(is_sent && self.settings.may_cancel, Violation::CancelledUnsentAttempt)
            }
            Action::RevokeAttempt { job, attempt } => {
                let attempt = self.job(*job)?.attempts.get(*attempt as usize);
                let is_in_flight = attempt.is_some_and(|attempt| attempt.outcome.is_none());
                require(is_in_flight, Violation::RevokedEndedAttempt)
            }
            Action::SendGossip { data, .. } => {
                let is_allowed = self.settings.may_gossip && data.len() <= MAX_GOSSIP_BYTES;
                require(is_allowed, Violation::ForbiddenGossip)
            }
            Action::SetTimer { .. } | Action::WatchEndpoints => Ok(()),
        }
    }

    pub fn check_all_answered(&self, now: Timestamp) -> CheckResult {
        let is_overdue = |job: &Job| !job.is_answered && now > job.submission.deadline + RESPONSE_TOLERANCE;
        let overdue = self.jobs.iter().find(|(_, job)| is_overdue(job));
        overdue.map_or(Ok(()), |(id, _)| Err(Violation::MissingResponse(*id)))
    }

    pub fn job(&mut self, job: JobId) -> Result<&mut Job, Violation> {
        self.jobs.get_mut(&job).ok_or(Violation::UnknownJob)
    }

    fn check_final_response(&mut self, now: Timestamp, job: JobId) -> CheckResult {
        let job = self.job(job)?;
        let is_late = now > job.submission.deadline + RESPONSE_TOLERANCE;
        require(!job.is_answered && !is_late, Violation::RepeatedOrLateResponse)?;
        job.is_answered = true;
        Ok(())
    }

    fn check_rejection(&self, job: &Job) -> CheckResult {
        let may_run_anywhere = matches!(
            self.idempotency(job),
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. }
        );
        let may_have_run = job.attempts.iter().any(Attempt::may_have_run);
        require(!may_have_run || may_run_anywhere, Violation::UnsafeRejection)
    }

    fn check_in_time(&mut self, job: JobId, times_out_at: Timestamp) -> CheckResult {
        let job = self.job(job)?;
        require(!job.is_answered && times_out_at <= job.submission.deadline, Violation::LateAttempt)
    }

    fn check_send(
        &self,
        now: Timestamp,
        job: &Job,
        to: &Endpoint,
        send_deadline: Option<Timestamp>,
    ) -> CheckResult {
        let is_available = to.status == WorkerStatus::Ready && !self.disabled.contains(&to.worker);
        require(is_available, Violation::UnavailableWorker)?;
        let has_attempt_in_flight = job.attempts.iter().any(|attempt| attempt.outcome.is_none());
        let may_send = self.settings.may_hedge || !has_attempt_in_flight;
        let has_attempts_left = job.attempts.len() < self.settings.max_attempts as usize;
        require(may_send && has_attempts_left, Violation::TooManyAttempts)?;
        self.check_retry(job, to, now, send_deadline)?;
        self.check_warm_up_budget(job, to, now)
    }

    fn idempotency(&self, job: &Job) -> Idempotency {
        self.settings.classes[job.submission.class.0].idempotency
    }

    fn check_retry(
        &self,
        job: &Job,
        to: &Endpoint,
        now: Timestamp,
        send_deadline: Option<Timestamp>,
    ) -> CheckResult {
        let may_follow = |earlier: &Attempt| match self.idempotency(job) {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::WithKey { scope, window } => {
                let in_scope = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => earlier.endpoint.zone == to.zone,
                    DeduplicationScope::Cell => earlier.endpoint.cell == to.cell,
                };
                in_scope
                    && send_deadline.is_some_and(|send_deadline| {
                        now < send_deadline && send_deadline < earlier.sent_at + window
                    })
            }
        };
        let mut may_have_run = job.attempts.iter().filter(|attempt| attempt.may_have_run());
        require(may_have_run.all(may_follow), Violation::UnsafeRetry)
    }

    fn is_warming_up(&self, endpoint: &Endpoint, now: Timestamp) -> bool {
        endpoint.started_at > Timestamp::ORIGIN && now < endpoint.started_at + self.settings.warm_up
    }

    fn check_warm_up_budget(&self, job: &Job, to: &Endpoint, now: Timestamp) -> CheckResult {
        if !self.is_warming_up(to, now) {
            return Ok(());
        }
        let settings = &self.settings;
        let warm_up_progress = now.seconds_since(to.started_at) / settings.warm_up.as_secs_f64();
        let warm_up_fraction = settings.warm_up_floor + (1.0 - settings.warm_up_floor) * warm_up_progress;
        let window = settings.overload_window.as_secs_f64();
        // The rotation may allow one of several nodes a large part of the budget, but at most half of it.
        let share = f64::from(settings.nodes.min(2));
        let budget = settings.overload_factor * warm_up_fraction * self.slots * window / share;
        let is_counted = |attempt: &&Attempt| {
            attempt.endpoint.worker == to.worker
                && attempt.sent_at + settings.overload_window > now
                && self.is_warming_up(&attempt.endpoint, attempt.sent_at)
        };
        let load_in_window =
            |other: &Job| other.attempts.iter().filter(is_counted).count() as f64 * other.load();
        let work = job.load() + self.jobs.values().map(load_in_window).sum::<f64>();
        require(work <= budget, Violation::WarmUpBudgetExceeded { work, budget })
    }
}
