//! The rules as invariants of the actions that a node asks for. The checker shares nothing with the dispatcher.

use std::collections::{BTreeMap, BTreeSet};

use curlewusher_core::{
    Action, DeduplicationScope, Endpoint, Idempotency, JobId, JobSubmission, Micros, Outcome, Settings,
    WorkerId, WorkerStatus,
};

/// A final answer may come so long after the deadline.
const ANSWER_TOLERANCE: Micros = 20_000;
const MAX_GOSSIP_BYTES: usize = 256;

#[derive(Debug, PartialEq)]
pub enum Violation {
    UnknownJob,
    /// Rule 1: one answer for each job, in time.
    SecondOrLateAnswer,
    /// Rule 1.
    NoAnswer(JobId),
    /// Rule 1: no attempt after the answer, or past the deadline.
    LateAttempt,
    /// Rule 2: what may have run is retried only as far as the class allows it.
    UnsafeRetry,
    /// Rule 2: what may have run is rejected only if every worker discards repeats.
    UnsafeRejection,
    /// Rule 3: attempts go to workers that are listed as ready and not disabled.
    UnavailableWorker,
    /// Rule 4: a worker that warms up gets no more than its budget, in seconds of work.
    WarmUpBudgetExceeded {
        work: f64,
        budget: f64,
    },
    TooManyAttempts,
    CancelledUnsentAttempt,
    RevokedEndedAttempt,
    ForbiddenGossip,
}

pub type Checked = Result<(), Violation>;

fn require(condition: bool, violation: Violation) -> Checked {
    if condition { Ok(()) } else { Err(violation) }
}

pub struct Attempt {
    pub worker: Endpoint,
    sent_at: Micros,
    pub outcome: Option<Outcome>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

pub struct Job {
    class: usize,
    pub deadline: Micros,
    /// Seconds of work, over all its slots.
    pub load: f64,
    pub attempts: Vec<Attempt>,
    pub is_answered: bool,
}

/// Work that was sent to a worker that warms up.
struct WarmUpSend {
    at: Micros,
    load: f64,
}

/// What the node has received, and what it has done.
pub struct Checker {
    settings: Settings,
    pub jobs: BTreeMap<JobId, Job>,
    pub endpoints: BTreeMap<WorkerId, Endpoint>,
    /// Disabled by an operator.
    pub disabled: BTreeSet<WorkerId>,
    /// Most slots that any worker was observed to use: bounds the capacity at speed 1.
    pub slots: f64,
    warm_up_sends: BTreeMap<WorkerId, Vec<WarmUpSend>>,
}

impl Checker {
    pub fn new(settings: Settings) -> Self {
        let (jobs, endpoints, warm_up_sends) = Default::default();
        Checker { settings, jobs, endpoints, disabled: BTreeSet::new(), slots: 1.0, warm_up_sends }
    }

    pub fn record_submission(&mut self, submission: &JobSubmission) {
        let job = Job {
            class: submission.class.0,
            deadline: submission.deadline,
            load: submission.cost_hint.unwrap_or(0.1) * submission.slots,
            attempts: Vec::new(),
            is_answered: false,
        };
        self.jobs.insert(submission.job, job);
    }

    pub fn check(&mut self, now: Micros, action: &Action) -> Checked {
        match action {
            Action::SendAttempt { job, worker, timeout, send_by } => {
                let job_state = self.job(*job)?;
                let endpoint = self.endpoints.get(worker).ok_or(Violation::UnavailableWorker)?;
                check_attempt_in_time(job_state, now + timeout)?;
                self.check_worker_available(endpoint)?;
                self.check_attempt_limits(job_state)?;
                self.check_retry(job_state, endpoint, now, *send_by)?;
                self.check_warm_up_budget(job_state.load, endpoint, now)?;
                self.record_attempt(now, *job, *worker)
            }
            Action::Reject { job, .. } => {
                self.check_rejection(self.job(*job)?)?;
                self.check_answer(now, *job)
            }
            Action::Fail { job } => self.check_answer(now, *job),
            Action::CancelAttempt { job, attempt } => {
                let is_sent = (*attempt as usize) < self.job(*job)?.attempts.len();
                require(is_sent && self.settings.may_cancel, Violation::CancelledUnsentAttempt)
            }
            Action::RevokeAttempt { job, attempt } => {
                let attempt = self.job(*job)?.attempts.get(*attempt as usize);
                require(
                    attempt.is_some_and(|attempt| attempt.outcome.is_none()),
                    Violation::RevokedEndedAttempt,
                )
            }
            Action::SendGossip { data, .. } => {
                let is_allowed = self.settings.may_gossip && data.len() <= MAX_GOSSIP_BYTES;
                require(is_allowed, Violation::ForbiddenGossip)
            }
            Action::SetTimer { .. } | Action::WatchEndpoints => Ok(()),
        }
    }

    pub fn check_all_answered(&self, now: Micros) -> Checked {
        let is_overdue = |job: &Job| !job.is_answered && now > job.deadline + ANSWER_TOLERANCE;
        let overdue = self.jobs.iter().find(|(_, job)| is_overdue(job));
        overdue.map_or(Ok(()), |(id, _)| Err(Violation::NoAnswer(*id)))
    }

    fn job(&self, job: JobId) -> Result<&Job, Violation> {
        self.jobs.get(&job).ok_or(Violation::UnknownJob)
    }

    fn check_answer(&mut self, now: Micros, job: JobId) -> Checked {
        let job = self.jobs.get_mut(&job).ok_or(Violation::UnknownJob)?;
        let is_late = now > job.deadline + ANSWER_TOLERANCE;
        require(!job.is_answered && !is_late, Violation::SecondOrLateAnswer)?;
        job.is_answered = true;
        Ok(())
    }

    fn check_rejection(&self, job: &Job) -> Checked {
        let may_run_anywhere = matches!(
            self.settings.classes[job.class].idempotency,
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. }
        );
        let may_have_run = job.attempts.iter().any(Attempt::may_have_run);
        require(!may_have_run || may_run_anywhere, Violation::UnsafeRejection)
    }

    fn check_worker_available(&self, endpoint: &Endpoint) -> Checked {
        let is_enabled = !self.disabled.contains(&endpoint.worker);
        require(is_enabled && endpoint.status == WorkerStatus::Ready, Violation::UnavailableWorker)
    }

    fn check_attempt_limits(&self, job: &Job) -> Checked {
        let has_attempt_in_flight = job.attempts.iter().any(|attempt| attempt.outcome.is_none());
        let is_within = job.attempts.len() < self.settings.max_attempts as usize
            && (self.settings.may_duplicate || !has_attempt_in_flight);
        require(is_within, Violation::TooManyAttempts)
    }

    fn check_retry(&self, job: &Job, to: &Endpoint, now: Micros, send_by: Option<Micros>) -> Checked {
        let may_follow = |earlier: &Attempt| match self.settings.classes[job.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::WithKey { scope, window } => {
                let in_scope = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => earlier.worker.zone == to.zone,
                    DeduplicationScope::Cell => earlier.worker.cell == to.cell,
                };
                in_scope && send_by.is_some_and(|by| now < by && by < earlier.sent_at + window)
            }
        };
        let mut may_have_run = job.attempts.iter().filter(|attempt| attempt.may_have_run());
        require(may_have_run.all(may_follow), Violation::UnsafeRetry)
    }

    fn is_warming_up(&self, endpoint: &Endpoint, now: Micros) -> bool {
        endpoint.started > 0 && now < endpoint.started + self.settings.warm_up
    }

    fn check_warm_up_budget(&self, load: f64, endpoint: &Endpoint, now: Micros) -> Checked {
        if !self.is_warming_up(endpoint, now) {
            return Ok(());
        }
        let settings = &self.settings;
        let age = (now - endpoint.started) as f64 / settings.warm_up as f64;
        let warm_up_fraction = settings.warm_up_floor + (1.0 - settings.warm_up_floor) * age;
        let window = settings.overload_window as f64 / 1e6;
        // One of many nodes may have its turn, but never the whole budget.
        let share = f64::from(settings.nodes.min(2));
        let budget = settings.overload_factor * warm_up_fraction * self.slots * window / share;
        let sends = self.warm_up_sends.get(&endpoint.worker).into_iter().flatten();
        let in_window = sends.filter(|send| send.at + settings.overload_window > now);
        let work = in_window.map(|send| send.load).sum::<f64>() + load;
        require(work <= budget, Violation::WarmUpBudgetExceeded { work, budget })
    }

    fn record_attempt(&mut self, now: Micros, job: JobId, worker: WorkerId) -> Checked {
        let endpoint = self.endpoints[&worker].clone();
        let is_warming_up = self.is_warming_up(&endpoint, now);
        let job = self.jobs.get_mut(&job).ok_or(Violation::UnknownJob)?;
        if is_warming_up {
            let send = WarmUpSend { at: now, load: job.load };
            self.warm_up_sends.entry(worker).or_default().push(send);
        }
        job.attempts.push(Attempt { worker: endpoint, sent_at: now, outcome: None });
        Ok(())
    }
}

fn check_attempt_in_time(job: &Job, timeout_at: Micros) -> Checked {
    require(!job.is_answered && timeout_at <= job.deadline, Violation::LateAttempt)
}
